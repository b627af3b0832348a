"""Processes of the system as they see each other."""

from __future__ import annotations

import enum

import attrs


class Role(enum.StrEnum):
    """What a process does."""

    ENTRY = "entry"
    CONTROL = "control"


class MemberState(enum.StrEnum):
    """Where a process is in its life."""

    LIVE = "live"
    LEAVING = "leaving"  # Not advertised any more; still serves.


@attrs.frozen
class Member:
    """One process.

    Attributes:
      name: Unique name from its settings.
      incarnation: Unique to this start of the process.
      role: Entry or control.
      domain: Failure domain.
      region: Region.
      caller_url: Where callers connect; empty for a control process.
      peer_host: IP number for peers.
      peer_port: Port for peers.
      state: Live or leaving.
      operator_url: Where operators connect; empty for an entry.
      hint_port: Port for datagrams from peers; 0 where it takes none.
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
        """Whether it serves already: an entry needs an address for callers."""
        return bool(self.caller_url) or self.role is not Role.ENTRY


MEMBER_PREFIX = "member/"


def member_key(name: str) -> str:
    """Returns the key of a member's row."""
    return f"{MEMBER_PREFIX}{name}"
