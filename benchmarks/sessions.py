"""What keeping a session's version costs, by the way of keeping it.

Run: python -m benchmarks.sessions

Seeded requests of sessions at eight entries while a roll-out's share moves;
callers change their entry now and then, and one entry is replaced half way.
Plans, tokens and pins are the production code; the store is the stand-in in
memory, which counts what reaches it. The pin at the claim shard is a fake of
its own: it was never built.
"""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable

import attrs
import fire

from rattanpier._internal.edge.pins import SessionPins
from rattanpier._internal.edge.sessions import SessionTokens
from rattanpier._internal.models.configuration import (
    Configuration,
    Rollout,
    Rule,
    Then,
)
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.routing.plan import make_plan
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.utils.clock import SystemClock
from rattanpier._internal.utils.hashing import stable_hash
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import (
    LARGE,
    SMALL,
    build_configuration,
    build_request,
)

ENTRIES = 8
SECONDS = 60.0
RATE = 200.0  # Requests a second of all callers.
MOVE = 0.1  # Chance that a request goes to another entry than the last.
SHARES = (None, 0.1, 0.3, 0.6, 1.0)  # None: no roll-out yet.
SHARDS = 16
BATCHES_PER_S = 15  # Of one claim shard.

Ask = Callable[["Call"], Awaitable[str]]


@attrs.frozen
class Call:
    """One request of a session.

    Attributes:
      time: Seconds from the start.
      session: Its session's name.
      entry: Number of the entry that gets it.
    """

    time: float
    session: str
    entry: int


@attrs.define
class World:
    """What all ways have in common.

    Attributes:
      configuration: The one in force.
      messages: Messages between entries that only the pins need.
    """

    configuration: Configuration
    table: MemoryTable = attrs.Factory(MemoryTable)
    messages: int = 0

    def decide(self, session: str, pinned: str = "") -> str:
        """Returns the version that the plan gives a request."""
        request = build_request(session=session, pinned=pinned)
        plan = make_plan(self.configuration, request)
        assert isinstance(plan, Plan)
        return plan.steps[0]


def make_calls(sessions: int, seed: int) -> list[Call]:
    """Returns the requests in order of time."""
    rng = random.Random(seed)
    at: dict[int, int] = {}
    calls = []
    now = 0.0
    while now < SECONDS:
        now += rng.expovariate(RATE)
        session = rng.randrange(sessions)
        if session not in at or rng.random() < MOVE:
            at[session] = rng.randrange(ENTRIES)
        calls.append(Call(now, f"session-{session}", at[session]))
    return calls


def configuration_at(number: int) -> Configuration:
    """Returns the configuration of one stage of the roll-out."""
    share = SHARES[number]
    rollouts = {} if share is None else {"r": Rollout(SMALL, LARGE, share)}
    return build_configuration(
        revision=number + 1,
        rules=[Rule("all", Then(version=SMALL))],
        rollouts=rollouts,
    )


def by_hash(world: World) -> Ask:
    """Keeps nothing."""

    async def ask(call: Call) -> str:
        return world.decide(call.session)

    return ask


def by_token(world: World) -> Ask:
    """Lets the caller carry a signed token."""
    tokens = SessionTokens("key")
    carried: dict[str, str] = {}

    async def ask(call: Call) -> str:
        pinned = tokens.pinned_version("desk", carried.get(call.session, ""))
        version = world.decide(call.session, pinned)
        carried[call.session] = tokens.sign("desk", version)
        return version

    return ask


def by_rows(world: World) -> Ask:
    """Pins by a row while a roll-out is open, as callers with an id get it."""

    def fresh() -> SessionPins:
        return SessionPins(
            world.table,
            SystemClock(),
            Metrics(),
            lambda: world.configuration,
        )

    pins = [fresh() for _ in range(ENTRIES)]
    replaced = []

    async def ask(call: Call) -> str:
        if call.time > SECONDS / 2 and not replaced:
            pins[0] = fresh()
            replaced.append(0)
        mine = pins[call.entry]
        pinned = await mine.find("desk", call.session)
        version = world.decide(call.session, pinned)
        return await mine.keep("desk", call.session, version)

    return ask


def by_rows_always(world: World) -> Ask:
    """Pins by a row whether or not a roll-out is open."""
    known: list[dict[str, str]] = [{} for _ in range(ENTRIES)]
    rows: dict[str, str] = {}
    replaced = []

    async def ask(call: Call) -> str:
        if call.time > SECONDS / 2 and not replaced:
            known[0] = {}
            replaced.append(0)
        mine = known[call.entry]
        if call.session not in mine:
            world.table.stats.reads += 1
            if call.session not in rows:
                rows[call.session] = world.decide(call.session)
                world.table.stats.writes += 1
            mine[call.session] = rows[call.session]
        return world.decide(call.session, mine[call.session])

    return ask


def by_shard(world: World) -> Ask:
    """Pins at the shard's owner, written with the batch of claims."""
    pins: dict[str, str] = {}
    batches: set[tuple[int, int]] = set()

    async def ask(call: Call) -> str:
        moment = int(call.time * BATCHES_PER_S)
        # The batch that the request's own claim goes out with anyway.
        batches.add((stable_hash(f"{call}") % SHARDS, moment))
        shard = stable_hash(call.session) % SHARDS
        world.messages += 1
        if call.session not in pins:
            pins[call.session] = world.decide(call.session)
            if (shard, moment) not in batches:
                batches.add((shard, moment))
                world.table.stats.writes += 1
        return world.decide(call.session, pins[call.session])

    return ask


WAYS: dict[str, Callable[[World], Ask]] = {
    "nothing kept": by_hash,
    "signed token": by_token,
    "row while a roll-out is open": by_rows,
    "row always (fake)": by_rows_always,
    "claim shard (fake)": by_shard,
}


async def run(way: Callable[[World], Ask], calls: list[Call]) -> str:
    """Returns a line of figures for one way."""
    world = World(configuration_at(0))
    ask = way(world)
    versions: dict[str, list[str]] = collections.defaultdict(list)
    for call in calls:
        stage = int(call.time / SECONDS * len(SHARES))
        world.configuration = configuration_at(min(stage, len(SHARES) - 1))
        versions[call.session].append(await ask(call))
    stats = world.table.stats
    moved = sum(len(set(found)) > 1 for found in versions.values())
    pinned = len(versions)
    return (
        f"{stats.writes / pinned:6.3f} writes a session,"
        f" {stats.writes / len(calls):6.3f} a request;"
        f" {stats.reads / pinned:6.3f} reads a session,"
        f" {stats.reads / len(calls):6.3f} a request;"
        f" {world.messages / len(calls):4.1f} messages a request;"
        f" {moved} of {pinned} sessions changed version"
    )


def main(sessions: int = 2000, seed: int = 1) -> None:
    """Compares the ways.

    Args:
      sessions: Sessions that ask.
      seed: For the requests.
    """
    calls = make_calls(sessions, seed)
    print(f"{len(calls)} requests of {sessions} sessions, seed {seed}")
    for name, way in WAYS.items():
        print(f"{name:29} {asyncio.run(run(way, calls))}")


if __name__ == "__main__":
    fire.Fire(main)
