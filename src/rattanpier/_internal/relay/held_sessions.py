"""Holds active sessions at the old version while a new one is on trial.

A session should not change its version. Sessions that are active when an order
comes would be moved by it. Each entry holds those that it serves and sends them
to its peers, since the next request of a session may come to any entry.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import stable_hash
from rattanpier._internal.utils.record import Record

HASH_RANGE = 2**64


@attrs.frozen(eq=False, repr=False)
class HeldSession(Record):
    """An active session that is held at the old version.

    Attributes:
      order: Id of the order that would move it.
      point: Hash of the session under the order, below `HASH_RANGE`.
      age_s: Seconds since its last request.
    """

    order: int
    point: int
    age_s: float


def session_point(order: int, session: str) -> int:
    """Returns a session's hash, which is the same in each entry.

    Args:
      order: The order's id.
      session: The session's id.
    """
    return stable_hash(f"{order}/{session}")


@attrs.define(eq=False, repr=False)
class HeldSessions:
    """Active sessions, and those among them that are held.

    Attributes:
      session_s: Seconds after its last request for which a session is active.
      clock: Monotonic clock.
      recent: When each session was last served, in monotonic seconds, by
        service and session id; the oldest first.
      held: When each held session was last served, in monotonic seconds, by
        order and point.
      changed: Keys of `held` that changed here and are yet to be sent.
    """

    session_s: float
    clock: Clock
    recent: dict[tuple[str, str], float] = attrs.Factory(dict)
    held: dict[tuple[int, int], float] = attrs.Factory(dict)
    changed: set[tuple[int, int]] = attrs.Factory(set)

    def record_request(self, service: str, session: str) -> None:
        """Records that a session is active, in case an order comes.

        Args:
          service: Name of the service.
          session: The session's id; an empty one is ignored.
        """
        if not session:
            return
        now = self.clock.monotonic()
        self.recent.pop((service, session), None)
        self.recent[service, session] = now
        oldest = next(iter(self.recent))
        while now - self.recent[oldest] > self.session_s:
            del self.recent[oldest]
            oldest = next(iter(self.recent))

    def hold(self, order: int, point: int, served_at: float) -> None:
        """Holds a session at the old version and queues it for peers.

        Args:
          order: The order's id.
          point: Hash of the session under the order.
          served_at: When it was last served, in monotonic seconds.
        """
        self.held[order, point] = served_at
        self.changed.add((order, point))

    def hold_active(self, order: int, service: str, share: float) -> None:
        """Holds the active sessions that an order would move.

        Args:
          order: The order's id.
          service: Name of the order's service.
          share: Share of sessions that the order moves at first, 0 to 1.
        """
        limit = share * HASH_RANGE
        now = self.clock.monotonic()
        for (served_by, session), served_at in self.recent.items():
            point = session_point(order, session)
            active = now - served_at < self.session_s
            if served_by == service and active and point < limit:
                self.hold(order, point, served_at)

    def is_held(self, order: int, point: int) -> bool:
        """Returns whether a session is held, and prolongs the hold if so.

        It is called as the session is served.

        Args:
          order: The order's id.
          point: Hash of the session under the order.
        """
        now = self.clock.monotonic()
        served_at = self.held.get((order, point))
        if served_at is None or now - served_at > self.session_s:
            return False
        self.hold(order, point, now)
        return True

    # Exchange between entries.

    def apply_held(self, sessions: Iterable[HeldSession]) -> None:
        """Applies the sessions that a peer holds."""
        now = self.clock.monotonic()
        for session in sessions:
            key = session.order, session.point
            served_at = now - session.age_s
            self.held[key] = max(self.held.get(key, served_at), served_at)

    def drain_updates(self) -> list[HeldSession]:
        """Returns the sessions held or prolonged since the last call."""
        changed, self.changed = self.changed, set()
        return list(self.to_messages(changed))

    def all_updates(self) -> list[HeldSession]:
        """Returns all held sessions."""
        return list(self.to_messages(self.held))

    def to_messages(
        self, keys: Iterable[tuple[int, int]]
    ) -> Iterable[HeldSession]:
        """Yields the held sessions of some keys that are still active."""
        now = self.clock.monotonic()
        for order, point in keys:
            age_s = now - self.held[order, point]
            if age_s < self.session_s:
                yield HeldSession(order, point, round(age_s, 3))
