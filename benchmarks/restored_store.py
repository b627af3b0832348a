"""Compares how all entries can follow a store restored from a backup.

The store is unavailable for 0.5 s and is restored from a backup; 0.1 s later a
worker leaves. Prints, for each strategy and fleet size, the number of calls to
the store within 3 s, the most within 1 s, and the seconds until all entries
know that the worker leaves.

    PYTHONPATH=. python -m benchmarks.restored_store
"""

from __future__ import annotations

import asyncio
import collections
import json
import logging

import attrs
import structlog

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.feed import FeedRow, Page
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.relay import watch
from rattanpier._internal.relay.store import StoreClock, StoreHealth
from tests.lib.ring import make_ring
from tests.lib.virtual import run_virtual

SIZES = (8, 77, 200, 420)
# Seconds to wait for watchers' updates, and the size limit of an update.
STRATEGIES = {
    "told by two watchers": (watch.ERA_UPDATE_WAIT_S, watch.MAX_UPDATE_BYTES),
    "each reads for itself": (0.0, 100),
}
TABLE = "servers"
RESPONSE_S = 0.004
PAGE_ROWS = 500
WORKERS_PER_ENTRY = 600 / 420
OUTAGE_S = 0.5
CHANGE_DELAY_S = 0.1
DURATION_S = 3.0


@attrs.define
class FakeStore:
    """A table of workers, of which one leaves in the second era.

    Attributes:
      rows: Number of workers.
      revision: Revision of the newest change.
      unavailable: Whether all calls fail.
      leaving_row: Row of the leaving worker, None before it leaves.
      calls: Times of the calls, in seconds of the event loop.
    """

    rows: int
    revision: Revision = Revision(1, 1000)
    unavailable: bool = False
    leaving_row: FeedRow | None = None
    calls: list[float] = attrs.Factory(list)

    async def respond(self) -> None:
        """Records a call and answers it.

        Raises:
          StoreUnavailableError: The store is unavailable.
        """
        self.calls.append(asyncio.get_running_loop().time())
        await asyncio.sleep(RESPONSE_S)
        if self.unavailable:
            raise StoreUnavailableError("away")

    def page(self, whole: bool) -> Page:
        """Returns the rows, or those that changed in the new era."""
        rows = [] if self.leaving_row is None else [self.leaving_row]
        if whole:
            rows += [
                FeedRow(f"w{number}", VALUE, Revision(self.revision.era, 1))
                for number in range(1, self.rows)
            ]
        return Page(rows, self.revision, 0.0, whole)


@attrs.define
class FakeStoreClient:
    """The store's client in one entry."""

    store: FakeStore
    history: object

    async def scan(self, _table: str) -> Page:
        """Returns all rows."""
        for _ in range(0, self.store.rows, PAGE_ROWS):
            await self.store.respond()
        self.history.record_era(self.store.revision.era, "store")
        return self.store.page(whole=True)

    async def changes(
        self, _table: str, since: Revision, wait_s: float
    ) -> Page:
        """Waits up to `wait_s` for changes."""
        await self.store.respond()
        end = asyncio.get_running_loop().time() + wait_s
        while since >= self.store.revision and not self.store.unavailable:
            if asyncio.get_running_loop().time() >= end:
                break
            await asyncio.sleep(RESPONSE_S)
        if self.store.unavailable:
            raise StoreUnavailableError("away")
        self.history.record_era(self.store.revision.era, "store")
        return self.store.page(whole=False)


VALUE = json.dumps(
    {
        "service": "s",
        "address": "10.0.0.1:8000",
        "zone": "zone-a",
        "version": "v1",
        "slots": 128,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
).encode()


def add_follower(
    entry: object, store: FakeStore, clock: object, known_at: dict[str, float]
) -> asyncio.Task:
    """Starts a follower; records when it learns of the leaving worker."""
    history = entry.gossip.shared_state.history
    name = entry.fleet.me.member.name

    def take(page: Page, _after_outage: bool) -> None:
        if any(row.key == "w0" for row in page.rows):
            known_at.setdefault(name, clock.monotonic())

    health = StoreHealth(clock)
    health.record_answer()
    follower = watch.TableFollower(
        store=FakeStoreClient(store, history),
        clock=clock,
        health=health,
        store_clock=StoreClock(clock),
        table=TABLE,
        on_page=take,
        rank=lambda: watch.watch_rank(entry.fleet),
        publish=entry.gossip.broadcast_store_news,
        history=history,
    )
    entry.gossip.followers[TABLE] = follower
    entry.broadcaster.handlers["store_news"] = entry.gossip.receive_store_news
    return asyncio.ensure_future(follower.run())


async def simulate(size: int) -> tuple[int, int, float]:
    """Returns the calls, their peak in 1 s, and the seconds until all know."""
    ring = make_ring(size)
    for entry in ring.live():
        for each in ring.live():
            entry.fleet.apply_state(
                attrs.evolve(each.fleet.me, store=True, sequence=1)
            )
        entry.fleet.update_own_state(store=True)
        entry.gossip.shared_state.history.record_era(1, "store")
    store = FakeStore(int(size * WORKERS_PER_ENTRY))
    known_at: dict[str, float] = {}
    tasks = [
        add_follower(entry, store, ring.clock, known_at)
        for entry in ring.live()
    ]
    await ring.run_rounds(6)
    store.unavailable = True
    gossip_task = asyncio.ensure_future(ring.run_rounds(12))
    await asyncio.sleep(OUTAGE_S)
    store.calls.clear()
    store.unavailable, store.revision = False, Revision(2, 900)
    await asyncio.sleep(CHANGE_DELAY_S)
    store.revision = Revision(2, 901)
    store.leaving_row = FeedRow("w0", VALUE, store.revision)
    left_at = ring.clock.monotonic()
    await asyncio.sleep(DURATION_S)
    for task in (*tasks, gossip_task):
        task.cancel()
    seconds = collections.Counter(int(at - left_at) for at in store.calls)
    known_s = max(known_at.values()) - left_at
    unaware = size - len(known_at)
    return len(store.calls), max(seconds.values()), known_s + 1000 * unaware


def main() -> None:
    """Prints the results as a table."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    print(f"{'way':<24}{'entries':>8}{'calls':>7}{'in 1 s':>8}{'known s':>9}")
    for strategy, (update_wait_s, max_bytes) in STRATEGIES.items():
        watch.ERA_UPDATE_WAIT_S = update_wait_s
        watch.MAX_UPDATE_BYTES = max_bytes
        for size in SIZES:
            calls, peak_calls, known_s = run_virtual(simulate(size))
            print(
                f"{strategy:<24}{size:>8}{calls:>7}{peak_calls:>8}{known_s:>9.2f}"
            )


if __name__ == "__main__":
    main()
