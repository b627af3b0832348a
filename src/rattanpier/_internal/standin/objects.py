"""In-memory stand-in for the object store, with faults."""

from __future__ import annotations

import asyncio
import enum

import attrs
from aiohttp import web

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.utils.codec import decode, encode


@attrs.define
class MemoryObjects:
    """In-memory object store.

    Attributes:
      texts: Text of each object, by name.
      down: Whether every call is refused.
    """

    texts: dict[str, str] = attrs.Factory(dict)
    down: bool = False

    async def put(self, name: str, text: str) -> None:
        """Writes an object."""
        self.check()
        self.texts[name] = text

    async def get(self, name: str) -> str | None:
        """Returns an object's text, or None."""
        self.check()
        return self.texts.get(name)

    async def delete(self, name: str) -> None:
        """Deletes an object."""
        self.check()
        self.texts.pop(name, None)

    def check(self) -> None:
        """Raises StoreUnavailableError while the stand-in is down."""
        if self.down:
            raise StoreUnavailableError("object store is down")


class ObjectFault(enum.StrEnum):
    """Fault of the object store."""

    NONE = "none"
    DOWN = "down"  # Refuses everything.
    LOSE_ANSWERS = "lose_answers"  # Writes take effect, answers are lost.


@attrs.define
class ObjectFaults:
    """Fault settings.

    Attributes:
      fault: Fault that is active.
      delay_s: Seconds added to every call.
    """

    fault: ObjectFault = ObjectFault.NONE
    delay_s: float = 0.0


@attrs.define
class ObjectServer:
    """HTTP server of the stand-in."""

    objects: MemoryObjects = attrs.Factory(MemoryObjects)
    faults: ObjectFaults = attrs.Factory(ObjectFaults)

    async def apply_faults(self) -> bool:
        """Applies the faults; returns whether the call is refused."""
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        return self.faults.fault is ObjectFault.DOWN

    async def put(self, request: web.Request) -> web.Response:
        """Writes an object."""
        if await self.apply_faults():
            return web.Response(status=503)
        await self.objects.put(request.match_info["name"], await request.text())
        return self.answer_write(request)

    async def get(self, request: web.Request) -> web.Response:
        """Answers with an object's text."""
        if await self.apply_faults():
            return web.Response(status=503)
        text = await self.objects.get(request.match_info["name"])
        return (
            web.Response(status=404)
            if text is None
            else web.Response(text=text)
        )

    async def delete(self, request: web.Request) -> web.Response:
        """Deletes an object; succeeds also if it does not exist."""
        if await self.apply_faults():
            return web.Response(status=503)
        await self.objects.delete(request.match_info["name"])
        return self.answer_write(request)

    async def list_names(self, request: web.Request) -> web.Response:
        """Answers with the sorted names that start with a prefix."""
        if await self.apply_faults():
            return web.Response(status=503)
        prefix = request.query.get("prefix", "")
        names = [name for name in self.objects.texts if name.startswith(prefix)]
        return web.Response(text=encode(sorted(names)))

    def answer_write(self, request: web.Request) -> web.Response:
        """Answers a write; aborts if its answer is to be lost."""
        if self.faults.fault is ObjectFault.LOSE_ANSWERS:
            assert request.transport is not None
            request.transport.abort()
        return web.Response(status=204)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the fault settings."""
        self.faults = decode(ObjectFaults, await request.read())
        return web.Response(text=encode(self.faults))

    def app(self) -> web.Application:
        """Returns the aiohttp application of this stand-in."""
        app = web.Application(client_max_size=64 * 2**20)
        app.router.add_put("/v1/objects/{name:.+}", self.put)
        app.router.add_get("/v1/objects/{name:.+}", self.get)
        app.router.add_delete("/v1/objects/{name:.+}", self.delete)
        app.router.add_get("/v1/objects", self.list_names)
        app.router.add_post("/standin/faults", self.set_faults)
        return app
