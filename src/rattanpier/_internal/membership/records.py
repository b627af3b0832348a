"""Rows of the directory of members, and how changes are applied to it."""

from __future__ import annotations

import uuid

import attrs

from rattanpier._internal.models.member import Member, MemberState
from rattanpier._internal.utils.record import Record

LEASE_KEY = "directory/lease"
FULL_KEY = "directory/full"
CHANGE_PREFIX = "directory/change/"
REQUEST_PREFIX = "directory/request/"


@attrs.frozen(eq=False, repr=False)
class Presence(Record):
    """The state of one incarnation of a member.

    Attributes:
      member: The member, with its state.
      gone: Whether it was declared gone or has exited.
    """

    member: Member
    gone: bool = False

    @property
    def rank(self) -> int:
        """Order of the states; an incarnation only moves to higher ones."""
        if self.gone:
            return 2
        return int(self.member.state is MemberState.LEAVING)


@attrs.frozen(eq=False, repr=False)
class DirectoryLease(Record):
    """The lease of the directory's writer.

    Attributes:
      holder: "name/incarnation" of the writer.
    """

    holder: str


@attrs.frozen(eq=False, repr=False)
class Change(Record):
    """The changes of one revision of the directory."""

    revision: int
    presences: list[Presence]


@attrs.frozen(eq=False, repr=False)
class Directory(Record):
    """All members, as of a revision."""

    revision: int = 0
    members: list[Member] = attrs.Factory(list)


def change_key(revision: int) -> str:
    """Returns the key of the row with a revision's changes."""
    return f"{CHANGE_PREFIX}{revision:012d}"


def request_key(presence: Presence) -> str:
    """Returns the key of a request to record a presence."""
    member = presence.member
    state = "gone" if presence.gone else member.state.value
    return f"{REQUEST_PREFIX}{member.name}/{member.incarnation}/{state}"


def incarnation_id(member: Member) -> str:
    """Returns "name/incarnation"."""
    return f"{member.name}/{member.incarnation}"


def new_incarnation() -> str:
    """Returns a unique id for an incarnation of a process."""
    return uuid.uuid4().hex[:12]


def apply_presences(
    directory: Directory, presences: list[Presence]
) -> tuple[Directory, Change]:
    """Returns the next revision of the directory and its changes.

    A member is removed only by a "gone" presence of its own incarnation, and
    never changes back from leaving to live.
    """
    members = {member.name: member for member in directory.members}
    applied = []
    for presence in sorted(presences, key=lambda item: item.rank):
        known = members.get(presence.member.name)
        same = known is not None and incarnation_id(known) == incarnation_id(
            presence.member
        )
        if presence.gone:
            if same:
                del members[presence.member.name]
        elif known is None or (
            # A leaving process never replaces a newer one of its name.
            presence.rank > Presence(known).rank if same else not presence.rank
        ):
            members[presence.member.name] = presence.member
        applied.append(presence)
    revision = directory.revision + 1
    ordered = [members[name] for name in sorted(members)]
    return Directory(revision, ordered), Change(revision, applied)
