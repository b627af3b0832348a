"""Stand-in for the weight store: sends files at a limited rate."""

from __future__ import annotations

import asyncio
import enum

import attrs
from aiohttp import web

from rattanpier._internal.utils.codec import decode, encode

CHUNK_BYTES = 64 * 1024
DEFAULT_BYTES = 4 * 2**20
DEFAULT_RATE = 64 * 2**20


class WeightFault(enum.StrEnum):
    """Fault of the weight store."""

    NONE = "none"
    DOWN = "down"  # Refuses everything.
    CUT = "cut"  # Aborts a transfer half way.


@attrs.define
class WeightFaults:
    """Fault settings.

    Attributes:
      fault: Fault that is active.
      bytes_per_s: Total rate of all transfers.
    """

    fault: WeightFault = WeightFault.NONE
    bytes_per_s: float = DEFAULT_RATE


@attrs.define
class WeightStats:
    """Counts of transfers and bytes sent."""

    transfers: int = 0
    finished: int = 0
    sent_bytes: int = 0


@attrs.define
class WeightServer:
    """Server of weights of any version, all of the same size.

    Attributes:
      size: Size of the weights of a version, in bytes.
      turn: Held while a chunk is paced, so that transfers share the rate.
    """

    size: int = DEFAULT_BYTES
    faults: WeightFaults = attrs.Factory(WeightFaults)
    stats: WeightStats = attrs.Factory(WeightStats)
    turn: asyncio.Lock = attrs.Factory(asyncio.Lock)

    async def get_weights(self, request: web.Request) -> web.StreamResponse:
        """Sends the weights of one version."""
        if self.faults.fault is WeightFault.DOWN:
            return web.Response(status=503, headers={"Retry-After": "1"})
        self.stats.transfers += 1
        response = web.StreamResponse()
        response.content_length = self.size
        await response.prepare(request)
        for start in range(0, self.size, CHUNK_BYTES):
            if self.cuts(start):
                assert request.transport is not None
                request.transport.abort()
                return response
            await self.send(response, min(CHUNK_BYTES, self.size - start))
        self.stats.finished += 1
        return response

    def cuts(self, start: int) -> bool:
        """Returns whether a transfer is aborted at this offset."""
        return self.faults.fault is WeightFault.CUT and start >= self.size // 2

    async def send(self, response: web.StreamResponse, count: int) -> None:
        """Sends one chunk, paced to the total rate."""
        async with self.turn:
            await asyncio.sleep(count / self.faults.bytes_per_s)
        await response.write(bytes(count))
        self.stats.sent_bytes += count

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the fault settings."""
        self.faults = decode(WeightFaults, await request.read())
        return web.Response(text=encode(self.faults))

    async def get_stats(self, _request: web.Request) -> web.Response:
        """Answers with the counts."""
        return web.Response(text=encode(self.stats))

    def app(self) -> web.Application:
        """Returns the aiohttp application of this stand-in."""
        app = web.Application()
        app.router.add_get("/v1/weights/{version}", self.get_weights)
        app.router.add_post("/standin/faults", self.set_faults)
        app.router.add_get("/standin/stats", self.get_stats)
        return app
