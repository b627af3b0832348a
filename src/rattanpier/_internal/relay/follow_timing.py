"""Times at which a follower of a table acts, so that changes apply in time.

Operators set a bound within which a change has to apply on every entry that is
in touch. Whatever fails on the way, an entry then has to ask the store itself
before the bound has passed since an answer last confirmed what it knows. All
times are fractions of the bound, and fit into it in this order: a watcher's
feed answers, a failed watcher gives up a call, standby watchers step in, each
other entry asks for itself. The rest is left for the check, the call and
timers that are late.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.utils.record import Record

# Longer bounds are treated as this one: a feed that waits long saves calls, but
# a silent connection is noticed only when the call ends.
MAX_BOUND_S = 5.0
# Shorter bounds are treated as this one: the calls to the store are billed.
MIN_BOUND_S = 0.5
FEED_WAIT_RATIO = 0.4
WATCHER_TIMEOUT_RATIO = 0.5
STANDBY_TIMEOUT_RATIO = 0.54
STANDBY_STEP_RATIO = 0.03
FOLLOWER_TIMEOUT_RATIO = 0.62
# Spreads the calls of all entries that miss the same confirmation.
FOLLOWER_JITTER_RATIO = 0.06
POLL_RATIO = 0.05
# An entry that has just started knows of no peer that reaches the store, so it
# would become a watcher. Within this time it learns which peers do.
STARTUP_GRACE_RATIO = 0.5
# If all entries start at once, no watcher publishes during the grace period, so
# an entry relies longer on its first read than on an update.
STARTUP_TIMEOUT_RATIO = 0.75
# A call and an update cost the same for one change or for many.
BATCH_DELAY_RATIO = 0.12
# Changes in quick succession cost an entry that fetches them one call.
FETCH_JITTER_RATIO = 0.1
# Time for an update of the first watcher to arrive at the second one.
DELIVERY_RATIO = 0.05

WATCHER_COUNT = 2  # If one fails, changes still arrive in time.
# Entries that read and publish in place of watchers that both fail, so that
# the others need not call the store.
STANDBY_COUNT = 2


@attrs.frozen(eq=False, repr=False)
class FollowTiming(Record):
    """Times of a follower, for one bound.

    Attributes:
      bound_s: Seconds within which a change has to apply.
    """

    bound_s: float = 2.0

    @property
    def scale_s(self) -> float:
        """The bound that the times are derived from, in seconds."""
        return min(MAX_BOUND_S, max(MIN_BOUND_S, self.bound_s))

    @property
    def feed_wait_s(self) -> float:
        """Interval at which a watcher's feed answers without a change."""
        return FEED_WAIT_RATIO * self.scale_s

    @property
    def max_jitter_s(self) -> float:
        """Upper bound of the random delay of an entry's own call."""
        return FOLLOWER_JITTER_RATIO * self.scale_s

    @property
    def poll_interval_s(self) -> float:
        """Interval at which an idle follower checks whether to read."""
        return POLL_RATIO * self.scale_s

    @property
    def startup_grace_s(self) -> float:
        """Time after the first read in which an entry is no watcher."""
        return STARTUP_GRACE_RATIO * self.scale_s

    @property
    def startup_timeout_s(self) -> float:
        """How long an entry relies on its first read."""
        return STARTUP_TIMEOUT_RATIO * self.scale_s

    @property
    def batch_delay_s(self) -> float:
        """Time for which a watcher collects further changes after one."""
        return BATCH_DELAY_RATIO * self.scale_s

    @property
    def max_fetch_jitter_s(self) -> float:
        """Upper bound of the delay before an entry fetches a change."""
        return FETCH_JITTER_RATIO * self.scale_s

    def backup_delay_s(self, has_changes: object) -> float:
        """Returns how long the second watcher waits for the first one.

        Args:
          has_changes: Whether there are changes, which the first watcher may
            be collecting.
        """
        collecting_s = self.batch_delay_s if has_changes else 0.0
        return collecting_s + DELIVERY_RATIO * self.scale_s

    def timeout_s(self, rank: int | None) -> float:
        """Returns after how long without confirmation an entry asks itself.

        Args:
          rank: Position among watchers and standby watchers, None for others.

        >>> timing = FollowTiming(2.0)
        >>> [round(timing.timeout_s(rank), 2) for rank in (0, 1, 2, 3, None)]
        [1.0, 1.0, 1.08, 1.14, 1.24]
        """
        if rank is None:
            return FOLLOWER_TIMEOUT_RATIO * self.scale_s
        if rank < WATCHER_COUNT:
            return WATCHER_TIMEOUT_RATIO * self.scale_s
        ratio = STANDBY_TIMEOUT_RATIO
        ratio += STANDBY_STEP_RATIO * (rank - WATCHER_COUNT)
        return ratio * self.scale_s
