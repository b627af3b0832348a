"""Remembers members that were live recently.

A member whose row was removed from the store may still be current for a while,
so that it has to be counted.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.models.member import Member

CLOCK_MARGIN_S = 0.3  # Tolerates clocks that run at slightly different rates.


@attrs.frozen
class RecentMember:
    """A member that was live recently.

    Attributes:
      last_seen: When it was last seen live, in monotonic seconds.
      member: The member.
    """

    last_seen: float
    member: Member


@attrs.define
class RecentMembers:
    """Members that were live within the retention time.

    Attributes:
      by_id: Members by incarnation id.
      longest_validity_s: The longest validity that this process has seen, in
        seconds.
    """

    by_id: dict[str, RecentMember] = attrs.Factory(dict)
    longest_validity_s: float = 0.0

    def record_validity(self, validity_s: float) -> None:
        """Records the validity of a revision, in seconds."""
        self.longest_validity_s = max(self.longest_validity_s, validity_s)

    def record_live(self, live: list[Member], now: float) -> None:
        """Records live members and drops those past the retention time.

        Args:
          live: The members that are live.
          now: Monotonic seconds.
        """
        for member in live:
            self.by_id[incarnation_id(member)] = RecentMember(now, member)
        retention_s = self.retention_s()
        self.by_id = {
            name: recent
            for name, recent in self.by_id.items()
            if now - recent.last_seen < retention_s
        }

    def members(self) -> list[Member]:
        """Returns the members that were live recently."""
        return [recent.member for recent in self.by_id.values()]

    def retention_s(self) -> float:
        """Returns for how many seconds a node without a row may be current.

        It checks for its row once per half validity, and a confirmation lasts
        for one more validity. See `Follower.check_registration`.
        """
        return 2 * self.longest_validity_s + CLOCK_MARGIN_S
