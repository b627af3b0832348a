"""Sessions that stay with the old version while an order is tried.

A session keeps its version. Those under way when an order comes would be moved
by it: each entry holds its own back and tells the others, since a session's
next request may come to any of them.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import stable_hash

HASH_RANGE = 2**64


@attrs.frozen
class HeldSession:
    """A session that is under way at the old version.

    Attributes:
      order: The order under which it would be moved.
      point: Its place among all sessions.
      age_s: Seconds since its last request.
    """

    order: int
    point: int
    age_s: float


def session_point(order: int, session: str) -> int:
    """Returns a session's place among all, the same in each entry."""
    return stable_hash(f"{order}/{session}")


@attrs.define(eq=False, repr=False)
class HeldSessions:
    """Which sessions are under way, and which are held.

    Attributes:
      session_s: Requests of a session follow each other within this time.
      clock: Monotonic.
      recent: When each session was last served, by service and id.
      held: When each session that stays with the old version was last
        served, by order and point.
      changed: Keys of `held` that changed here.
    """

    session_s: float
    clock: Clock
    recent: dict[tuple[str, str], float] = attrs.Factory(dict)
    held: dict[tuple[int, int], float] = attrs.Factory(dict)
    changed: set[tuple[int, int]] = attrs.Factory(set)

    def record_request(self, service: str, session: str) -> None:
        """Notes that a session is under way, in case an order comes."""
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
        """Keeps a session with the old version, and has others told."""
        self.held[order, point] = served_at
        self.changed.add((order, point))

    def hold_active(self, order: int, service: str, share: float) -> None:
        """Holds the sessions under way that an order would move.

        Args:
          order: Its id.
          service: That it is for.
          share: Of all sessions that it moves at first.
        """
        limit = share * HASH_RANGE
        now = self.clock.monotonic()
        for (served_by, session), served_at in self.recent.items():
            point = session_point(order, session)
            active = now - served_at < self.session_s
            if served_by == service and active and point < limit:
                self.hold(order, point, served_at)

    def is_held(self, order: int, point: int) -> bool:
        """Says whether a session that is served now stays where it is."""
        now = self.clock.monotonic()
        served_at = self.held.get((order, point))
        if served_at is None or now - served_at > self.session_s:
            return False
        self.hold(order, point, now)
        return True

    # What entries tell each other.

    def apply_held(self, sessions: Iterable[HeldSession]) -> None:
        """Takes in which sessions others hold."""
        now = self.clock.monotonic()
        for session in sessions:
            key = session.order, session.point
            served_at = now - session.age_s
            self.held[key] = max(self.held.get(key, served_at), served_at)

    def drain_updates(self) -> list[HeldSession]:
        """Returns the sessions that this entry holds since it was asked."""
        changed, self.changed = self.changed, set()
        return list(self.to_messages(changed))

    def all_updates(self) -> list[HeldSession]:
        """Returns all sessions that are held."""
        return list(self.to_messages(self.held))

    def to_messages(
        self, keys: Iterable[tuple[int, int]]
    ) -> Iterable[HeldSession]:
        """Yields sessions with their age."""
        now = self.clock.monotonic()
        for order, point in keys:
            age_s = now - self.held[order, point]
            if age_s < self.session_s:
                yield HeldSession(order, point, round(age_s, 3))
