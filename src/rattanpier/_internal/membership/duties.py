"""Assigns duties to control processes, one process for each duty."""

from __future__ import annotations

from collections.abc import Mapping

from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.utils.hashing import rendezvous


def control_for(duty: str, live: Mapping[str, Member]) -> Member | None:
    """Returns the first control process in a duty's rendezvous order.

    Processes that see different members may return different ones, so the
    process that carries out the duty needs a lease as well.

    Args:
      duty: Name of the duty.
      live: The live members by name.

    Returns:
      The control process, or None if none is live.
    """
    controls = {
        name: member
        for name, member in live.items()
        if member.role is Role.CONTROL
    }
    names = rendezvous(duty, controls)
    return controls[names[0]] if names else None
