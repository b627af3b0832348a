"""A stand-in for the list of live and leaving VMs, with a lag."""

from __future__ import annotations

import asyncio

import attrs
from aiohttp import web

from rattanpier._internal.store.vms import Vm, VmList
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import sha256_hex


@attrs.define
class VmFaults:
    """The fault switch.

    Attributes:
      lag_s: Seconds until a change can be read.
      down: True if every read is refused.
    """

    lag_s: float = 0.0
    down: bool = False


@attrs.define
class VmServer:
    """The list, as set by tests and as read by the system."""

    shown: list[Vm] = attrs.Factory(list)
    faults: VmFaults = attrs.Factory(VmFaults)

    async def read(self, request: web.Request) -> web.Response:
        """Answers with the list as it is shown now."""
        if self.faults.down:
            return web.Response(status=503)
        text = encode(VmList(self.shown))
        etag = f'"{sha256_hex(text)[:16]}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        return web.Response(text=text, headers={"ETag": etag})

    async def change(self, request: web.Request) -> web.Response:
        """Sets the list; it is shown after the lag."""
        vms = decode(VmList, await request.read()).vms
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.lag_s, self.show, vms)
        return web.Response(status=204)

    def show(self, vms: list[Vm]) -> None:
        """Shows a list from now on."""
        self.shown = vms

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets the fault switch."""
        self.faults = decode(VmFaults, await request.read())
        return web.Response(text=encode(self.faults))

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application()
        app.router.add_get("/v1/vms", self.read)
        app.router.add_post("/standin/vms", self.change)
        app.router.add_post("/standin/faults", self.set_faults)
        return app
