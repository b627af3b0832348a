"""Stand-in for the answer-rating service: delayed, noisy, priced."""

from __future__ import annotations

import asyncio
import random

import attrs
from aiohttp import web

from rattanpier._internal.store.ratings import (
    RatingItem,
    RatingPage,
    RatingResult,
)
from rattanpier._internal.utils.codec import decode, encode

GOOD_ANSWER = "good"  # First word of good answers of the engine stand-in.


@attrs.define
class RatingFaults:
    """Fault settings.

    Attributes:
      down: Whether every call is refused.
      stall_s: Seconds added to every call.
      keep_back: Whether results are withheld; items are still accepted.
    """

    down: bool = False
    stall_s: float = 0.0
    keep_back: bool = False


@attrs.frozen
class RatingBehaviour:
    """Behaviour of the ratings.

    Attributes:
      delay_s: Seconds until a rating is ready.
      noise: Fraction of ratings that are inverted.
      price: Credits per item.
      fails: Version whose answers to some prompts are rated as poor; none if
        empty.
      fails_on: Text that these prompts contain.
    """

    delay_s: float = 0.2
    noise: float = 0.0
    price: float = 1.0
    fails: str = ""
    fails_on: str = ""


@attrs.define
class RatingServer:
    """HTTP server of the rating service.

    Attributes:
      items: All submitted items, in order.
      ready: Results by client.
    """

    behaviour: RatingBehaviour = attrs.Factory(RatingBehaviour)
    faults: RatingFaults = attrs.Factory(RatingFaults)
    items: list[RatingItem] = attrs.Factory(list)
    ready: dict[str, list[RatingResult]] = attrs.Factory(dict)
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    tasks: set[asyncio.Task] = attrs.Factory(set)

    async def take(self, request: web.Request) -> web.Response:
        """Accepts items and schedules their ratings."""
        await self.apply_faults()
        items = decode(list[RatingItem], await request.read())
        self.items.extend(items)
        for item in items:
            task = asyncio.create_task(self.rate(item))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        price = self.behaviour.price * len(items)
        return web.json_response({"price": price}, status=202)

    async def rate(self, item: RatingItem) -> None:
        """Rates an item after the delay."""
        await asyncio.sleep(self.behaviour.delay_s)
        good = self.is_good(item) ^ (self.rng.random() < self.behaviour.noise)
        results = self.ready.setdefault(item.client, [])
        results.append(RatingResult(len(results) + 1, item.id, good))

    def is_good(self, item: RatingItem) -> bool:
        """Returns whether an answer is good."""
        behaviour = self.behaviour
        if (
            item.version == behaviour.fails
            and behaviour.fails_on in item.prompt
        ):
            return False
        return item.answer.startswith(GOOD_ANSWER)

    async def results(self, request: web.Request) -> web.Response:
        """Answers with the results of a client."""
        await self.apply_faults()
        ready = self.ready.get(request.query["client"], [])
        after = int(request.query.get("after", "0"))
        page = [] if self.faults.keep_back else ready[after:]
        return web.Response(text=encode(RatingPage(page)))

    async def apply_faults(self) -> None:
        """Refuses or delays a call according to the fault settings.

        Raises:
          HTTPServiceUnavailable: The service is down.
        """
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        await asyncio.sleep(self.faults.stall_s)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the fault settings."""
        self.faults = decode(RatingFaults, await request.read())
        return web.Response(text=encode(self.faults))

    async def get_items(self, _request: web.Request) -> web.Response:
        """Answers with all submitted items."""
        return web.Response(text=encode(self.items))

    def app(self) -> web.Application:
        """Returns the aiohttp application of this stand-in."""
        app = web.Application(client_max_size=64 * 2**20)
        app.router.add_post("/v1/items", self.take)
        app.router.add_get("/v1/results", self.results)
        app.router.add_post("/standin/faults", self.set_faults)
        app.router.add_get("/standin/runs", self.get_items)
        return app
