"""Puts a control process together."""

from __future__ import annotations

from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.member import Role
from rattanpier._internal.models.settings import Settings
from rattanpier._internal.programs.common import add_base, add_membership


async def build_control(settings: Settings) -> Kernel:
    """Starts a control process and returns its kernel."""
    kernel = Kernel()
    await add_base(kernel, settings)
    members = await add_membership(kernel, settings, Role.CONTROL, "")
    kernel.spawn(kernel.find("follower").run(kernel))
    kernel.spawn(members.run(kernel))
    return kernel
