"""Stand-in for the list of live and leaving VMs, with a delay."""

from __future__ import annotations

import asyncio

import attrs
from aiohttp import web

from rattanpier._internal.store.vms import Vm, VmList
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import sha256_hex


@attrs.define
class VmFaults:
    """Fault settings.

    Attributes:
      lag_s: Seconds until a change becomes visible to readers.
      down: Whether every read is refused.
    """

    lag_s: float = 0.0
    down: bool = False


@attrs.define
class VmServer:
    """Server of the VM list, which tests set and the system reads."""

    shown: list[Vm] = attrs.Factory(list)
    faults: VmFaults = attrs.Factory(VmFaults)

    async def read(self, request: web.Request) -> web.Response:
        """Answers with the list that is visible now."""
        if self.faults.down:
            return web.Response(status=503)
        text = encode(VmList(self.shown))
        etag = f'"{sha256_hex(text)[:16]}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        return web.Response(text=text, headers={"ETag": etag})

    async def change(self, request: web.Request) -> web.Response:
        """Sets the list, which becomes visible after the lag."""
        vms = decode(VmList, await request.read()).vms
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.lag_s, self.show, vms)
        return web.Response(status=204)

    def show(self, vms: list[Vm]) -> None:
        """Makes a list visible to readers."""
        self.shown = vms

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the fault settings."""
        self.faults = decode(VmFaults, await request.read())
        return web.Response(text=encode(self.faults))

    def app(self) -> web.Application:
        """Returns the aiohttp application of this stand-in."""
        app = web.Application()
        app.router.add_get("/v1/vms", self.read)
        app.router.add_post("/standin/vms", self.change)
        app.router.add_post("/standin/faults", self.set_faults)
        return app
