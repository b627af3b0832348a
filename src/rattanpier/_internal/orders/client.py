"""HTTP client that sends orders to workers and reads their state."""

from __future__ import annotations

from typing import Protocol

import aiohttp

from rattanpier._internal.models.configuration import Worker
from rattanpier._internal.orders.records import Order, WorkerState
from rattanpier._internal.utils.codec import decode, encode

PATH = "/v1/orders"
TIMEOUT_S = 2.0


class EngineOrders(Protocol):
    """Interface to workers that accept orders."""

    async def read(self, worker: Worker) -> WorkerState | None:
        """Returns the worker's state, or None if it can't be read."""
        ...

    async def send(self, worker: Worker, order: Order) -> None:
        """Sends an order without reporting its result.

        The caller reads the worker's state later to see the effect.
        """
        ...


class HttpEngineOrders:
    """HTTP client of workers that accept orders."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)

    async def read(self, worker: Worker) -> WorkerState | None:
        """Returns the worker's state, or None if it can't be read."""
        try:
            async with self.session.get(
                worker.url + PATH, timeout=self.timeout
            ) as response:
                if response.status != 200:
                    return None
                return decode(WorkerState, await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None

    async def send(self, worker: Worker, order: Order) -> None:
        """Sends an order without reporting its result.

        The caller reads the worker's state later to see the effect.
        """
        try:
            async with self.session.post(
                worker.url + PATH, data=encode(order), timeout=self.timeout
            ):
                return
        except (aiohttp.ClientError, TimeoutError):
            return
