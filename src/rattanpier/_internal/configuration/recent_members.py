"""Who was live lately, though the member's row may be gone by now."""

from __future__ import annotations

import attrs

from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.models.member import Member

CLOCK_MARGIN_S = 0.3  # For clocks that run at slightly unlike rates.


@attrs.frozen
class RecentMember:
    """A member that was seen live.

    Attributes:
      last_seen: When it last was, in monotonic seconds.
    """

    last_seen: float
    member: Member


@attrs.define
class RecentMembers:
    """The members seen live for as long as they may matter.

    Attributes:
      by_id: The last sighting of each member, by its id.
      longest_validity_s: The longest validity that this process has seen.
    """

    by_id: dict[str, RecentMember] = attrs.Factory(dict)
    longest_validity_s: float = 0.0

    def record_validity(self, validity_s: float) -> None:
        """Takes in the validity of a revision."""
        self.longest_validity_s = max(self.longest_validity_s, validity_s)

    def record_live(self, live: list[Member], now: float) -> None:
        """Notes who is live, and forgets who was not for long enough.

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
        """Returns the members seen lately."""
        return [recent.member for recent in self.by_id.values()]

    def retention_s(self) -> float:
        """Returns how long a node without a row may take itself for current.

        It looks for its row once per half validity, and a confirmation lasts
        for one more; see `Follower.check_registration`.
        """
        return 2 * self.longest_validity_s + CLOCK_MARGIN_S
