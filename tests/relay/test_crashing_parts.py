"""A prompt part that crashes workers is kept from them, others are served."""

import asyncio
import random

import pytest

from tests.lib.crashing_parts import (
    CRASH_S,
    SERVED_SHARE,
    Load,
    RestartingPool,
    add_entries,
    late_sends,
    sound_calls_after,
)
from tests.lib.part_judge import ALLOWED_SENDS
from tests.lib.platform_site import platform_site

ENTRIES = 4
ENGINES = 9
WARM_S = 1.5  # Of sound requests alone.
SECONDS = 13.0
CRASHES_BY_THEMSELVES = 20
CRASH_INTERVAL_S = 0.5
INSIDE_EVENT = {"chunked": False, "crash_tail": b"id: 1\nda"}
AFTER_EVENT = {"chunked": False, "crash_tail": b"id: 1\ndata: x\n\n"}
LATE_TAIL = {"crash_events": 2, "crash_tail": b"id: 3\nda"}
LINGERS = {"crash_linger_s": 0.05}
LINGERS_LONG = {"crash_linger_s": 0.5}
SECOND = [("system", "bad")]

CASES = {
    "chunked": ({}, SECOND),
    "ends inside an event": (INSIDE_EVENT, SECOND),
    "ends after an event": (AFTER_EVENT, SECOND),
    "listens after its connections ended": (
        {**LATE_TAIL, **LINGERS, "chunked": False},
        SECOND,
    ),
    "listens after an event": ({**AFTER_EVENT, **LINGERS}, SECOND),
    "listens after chunks": ({"crash_events": 2, **LINGERS}, SECOND),
    "listens long after chunks": ({"crash_events": 2, **LINGERS_LONG}, SECOND),
    "listens long after an event": ({**AFTER_EVENT, **LINGERS_LONG}, SECOND),
    "first part": ({}, [("bad", "document 1"), ("bad", "document 2")]),
    "two parts": ({}, [("system", "bad"), ("system", "worse")]),
}


@pytest.mark.parametrize("case", CASES)
async def test_part_that_crashes_workers_reaches_few_of_them(case):
    options, crashing = CASES[case]
    deadly = frozenset({"bad", "worse"})
    options = {
        "deadly_parts": deadly,
        "crash_s": CRASH_S,
        "event_gap_s": 0.05,
        **options,
    }
    async with platform_site() as site:
        pool = RestartingPool(site, options)
        for _ in range(ENGINES):
            await pool.add()
        await add_entries(site, ENTRIES)
        load = Load(site, crashing, random.Random(case))
        await load.run(SECONDS, WARM_S)
        late = {part: len(late_sends(pool, part)) for part in deadly}
        sound = sound_calls_after(load, pool, deadly)
    assert max(late.values()) <= ALLOWED_SENDS
    assert len(sound) >= 20
    served = sum(call.served for call in sound)
    assert served >= SERVED_SHARE * len(sound)


async def test_crashes_that_no_request_causes_hold_no_part():
    async with platform_site() as site:
        pool = RestartingPool(site, {"event_gap_s": 0.05})
        for _ in range(ENGINES):
            await pool.add()
        entries = await add_entries(site, ENTRIES)
        load = Load(site, [], random.Random(1))
        sending = asyncio.ensure_future(load.run(SECONDS, 0.0))
        rng = random.Random(2)
        for _ in range(CRASHES_BY_THEMSELVES):
            await asyncio.sleep(CRASH_INTERVAL_S)
            await pool.crash_one(rng)
        await sending
    held = [entry.metrics.counts["relay.held_for_part"] for entry in entries]
    assert held == [0] * ENTRIES
    assert len(pool.crash_times) == CRASHES_BY_THEMSELVES
    served = sum(call.served for call in load.calls)
    assert served >= SERVED_SHARE * len(load.calls)
