"""Handling of version orders by a stand-in engine."""

from __future__ import annotations

import attrs
from aiohttp import web

from rattanpier._internal.orders.client import PATH
from rattanpier._internal.orders.records import Order, WorkerState
from rattanpier._internal.utils.codec import decode, encode


@attrs.define
class OrderDesk:
    """Applies orders, with or without a check of fencing numbers.

    Attributes:
      skills: Skill of each served version; shared with the engine.
      checks_fencing: Whether orders with outdated numbers are refused.
      default_skill: Skill of a version that an order adds.
      epoch: Highest fencing number received.
      taken: Applied orders, oldest first.
      refused: Refused orders, oldest first.
    """

    skills: dict[str, float]
    checks_fencing: bool = False
    default_skill: float = 0.9
    epoch: int = 0
    taken: list[Order] = attrs.Factory(list)
    refused: list[Order] = attrs.Factory(list)

    def take(self, order: Order) -> bool:
        """Applies an order; returns False if it is refused instead."""
        if self.checks_fencing and order.epoch < self.epoch:
            self.refused.append(order)
            return False
        self.epoch = max(self.epoch, order.epoch)
        kept = {
            name: self.skills.get(name, self.default_skill)
            for name in order.versions
        }
        self.skills.clear()
        self.skills.update(kept)
        self.taken.append(order)
        return True

    def state(self) -> WorkerState:
        """Returns the state that the worker reports."""
        epoch = self.epoch if self.checks_fencing else 0
        return WorkerState(sorted(self.skills), epoch)

    async def post_order(self, request: web.Request) -> web.Response:
        """Handles an order; answers 409 if it is refused."""
        taken = self.take(decode(Order, await request.read()))
        return web.Response(status=200 if taken else 409)

    async def get_state(self, _request: web.Request) -> web.Response:
        """Answers with the worker's state."""
        return web.Response(text=encode(self.state()))

    def add_routes(self, app: web.Application) -> None:
        """Adds the order routes to the application of an engine."""
        app.router.add_post(PATH, self.post_order)
        app.router.add_get(PATH, self.get_state)
