"""The members that one process knows; local state without network access."""

from __future__ import annotations

import collections

import attrs
from reactivex.subject import BehaviorSubject

from rattanpier._internal.membership.records import (
    Presence,
    incarnation_id,
)
from rattanpier._internal.models.member import Member, MemberState, Role

MAX_DEPARTED = 2_000  # Incarnations recorded as gone.


@attrs.define
class Roster:
    """Members by name, and the incarnations that are gone.

    Attributes:
      known: Members believed to be alive, by name.
      departed: Ids of incarnations that are gone, the oldest first.
      live: Emits `known` whenever it changes.
    """

    known: dict[str, Member] = attrs.Factory(dict)
    departed: collections.OrderedDict[str, None] = attrs.Factory(
        collections.OrderedDict
    )
    live: BehaviorSubject[dict[str, Member]] = attrs.field(
        factory=lambda: BehaviorSubject({})
    )

    def apply_presence(self, presence: Presence) -> bool:
        """Applies a presence; returns whether it was new."""
        if presence.gone:
            return self.apply_departure(incarnation_id(presence.member))
        member = presence.member
        if incarnation_id(member) in self.departed:
            return False
        known = self.known.get(member.name)
        if known is not None:
            if known.incarnation != member.incarnation:
                if presence.rank:
                    # A leaving incarnation is older than the known one.
                    return False
                # A restarted process replaces its previous incarnation.
                self.record_departed(incarnation_id(known))
            elif presence.rank < Presence(known).rank or known == member:
                return False
        self.known[member.name] = member
        self.publish()
        return True

    def apply_departure(self, identity: str) -> bool:
        """Records an incarnation as gone; returns whether that was new."""
        if identity in self.departed:
            return False
        self.record_departed(identity)
        name = identity.split("/")[0]
        known = self.known.get(name)
        if known is not None and incarnation_id(known) == identity:
            del self.known[name]
            self.publish()
        return True

    def record_departed(self, identity: str) -> None:
        """Adds an incarnation to those recorded as gone."""
        self.departed[identity] = None
        while len(self.departed) > MAX_DEPARTED:
            self.departed.popitem(last=False)

    def publish(self) -> None:
        """Emits the current members."""
        self.live.on_next(dict(self.known))

    def alive(self, identity: str) -> bool:
        """Returns whether "name/incarnation" may still be running."""
        known = self.known.get(identity.split("/")[0])
        return known is not None and incarnation_id(known) == identity

    def entries(self) -> list[Member]:
        """Returns the entries that callers may be sent to."""
        return [
            member
            for member in self.live.value.values()
            if member.role is Role.ENTRY
            and member.state is MemberState.LIVE
            and member.caller_url
        ]

    def others(self, name: str) -> list[Member]:
        """Returns the live members except the one with a name."""
        live = self.live.value.values()
        return [member for member in live if member.name != name]
