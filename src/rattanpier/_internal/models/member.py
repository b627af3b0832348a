"""Membership records of the system's processes."""

from __future__ import annotations

import enum

import attrs

from rattanpier._internal.utils.record import Record


class Role(enum.StrEnum):
    """Role of a process."""

    ENTRY = "entry"
    CONTROL = "control"


class MemberState(enum.StrEnum):
    """Lifecycle state of a process."""

    LIVE = "live"
    LEAVING = "leaving"  # No longer advertised; still serves.


@attrs.frozen(eq=False, repr=False)
class Member(Record):
    """One process.

    Attributes:
      name: Unique name from its settings.
      incarnation: Unique id of this incarnation of the process.
      role: Entry or control.
      domain: Failure domain.
      region: Region.
      caller_url: URL for callers; empty for a control process.
      peer_host: IP address for connections of peers.
      peer_port: Port for connections of peers.
      state: Live or leaving.
      operator_url: URL for operators; empty for an entry.
      hint_port: Port for datagrams from peers; 0 if it accepts none.
    """

    name: str
    incarnation: str
    role: Role
    domain: str
    region: str
    caller_url: str
    peer_host: str
    peer_port: int
    state: MemberState = MemberState.LIVE
    operator_url: str = ""
    hint_port: int = 0

    @property
    def is_reachable(self) -> bool:
        """Whether it serves yet: an entry does once it has a caller URL."""
        return bool(self.caller_url) or self.role is not Role.ENTRY


MEMBER_PREFIX = "member/"


def member_key(name: str) -> str:
    """Returns the key of a member's row."""
    return f"{MEMBER_PREFIX}{name}"
