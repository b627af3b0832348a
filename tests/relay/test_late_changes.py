"""Every entry in touch applies a change within the bound of the settings."""

import asyncio
import random

import pytest

from tests.lib.followed_ring import make_followed_ring, now
from tests.lib.virtual import run_virtual

SETTLE_S = 6.0  # Until only the watchers read the table.
SEEDS = range(1, 13)


def late_changes(count, play, seed=1, bound_s=2.0):
    """Plays faults on a ring; returns the changes that came too late."""

    async def run():
        ring = make_followed_ring(count, seed, bound_s=bound_s)
        await asyncio.sleep(SETTLE_S)
        await play(ring)
        await asyncio.sleep(2 * bound_s + 1.0)
        return list(ring.late_changes())

    return run_virtual(run())


def watchers(ring):
    return ring.entries["e000"].fleet.preferred("watch", 2)


@pytest.mark.parametrize("count", [8, 100])
@pytest.mark.parametrize("bound_s", [1.0, 2.0, 3.0])
def test_a_change_is_not_late_when_both_watchers_lose_the_store(count, bound_s):
    async def play(ring):
        ring.store.write()
        await asyncio.sleep(0.1)
        cut = asyncio.ensure_future(
            ring.silence_store(watchers(ring), bound_s + 2.0)
        )
        await asyncio.sleep(0.1)
        ring.store.write()
        await cut

    assert not late_changes(count, play, bound_s=bound_s)


@pytest.mark.parametrize("bound_s", [1.0, 2.0, 3.0])
def test_a_change_is_not_late_at_an_entry_that_missed_its_update(bound_s):
    async def play(ring):
        other = next(
            each for each in ring.names() if each not in watchers(ring)
        )
        ring.store.write()
        await asyncio.sleep(0.1)
        cut = asyncio.ensure_future(ring.cut_off([other], 0.3))
        await asyncio.sleep(0.1)
        ring.store.write()
        await cut

    assert not late_changes(8, play, bound_s=bound_s)


@pytest.mark.parametrize("bound_s", [1.0, 2.0, 3.0])
def test_a_change_is_not_late_at_an_entry_not_yet_told_after_its_start(
    bound_s,
):
    async def play(ring):
        other = next(
            each for each in ring.names() if each not in watchers(ring)
        )
        await ring.kill([other], 0.2)
        # Its peers still take it for down.
        cut = asyncio.ensure_future(ring.cut_off([other], 0.3))
        await asyncio.sleep(0.1)
        ring.store.write()
        await cut

    assert not late_changes(8, play, bound_s=bound_s)


async def change_at_random(ring, rng, end):
    while now() < end:
        await asyncio.sleep(rng.choice((0.2, 1.0, 2.5)) * rng.random())
        ring.store.write()


async def impair_at_random(ring, rng, end):
    """Injects faults of a few entries that overlap, mostly of watchers."""
    faults = (ring.kill, ring.freeze, ring.silence_store, ring.cut_off)
    running = []
    while now() < end:
        await asyncio.sleep(rng.uniform(0.1, 2.5))
        names = ring.names()
        rng.shuffle(names)
        if rng.random() < 0.6:
            names = watchers(ring) + names
        names = [
            name for name in dict.fromkeys(names) if not ring.entries[name].dead
        ]
        fault = rng.choice(faults)
        chosen = names[: rng.randint(1, 3)]
        running.append(
            asyncio.ensure_future(fault(chosen, rng.uniform(0.2, 4.0)))
        )
    await asyncio.gather(*running)


@pytest.mark.parametrize(
    ("count", "seed", "bound_s"),
    [
        *((8, seed, 2.0) for seed in SEEDS),
        *((8, 100 + seed, 1.0) for seed in SEEDS),
        (100, 1, 2.0),
        (100, 2, 3.0),
        (420, 1, 2.0),
    ],
)
def test_no_change_is_late_under_random_faults(count, seed, bound_s):
    async def play(ring):
        rng = random.Random(f"late/{seed}")
        end = now() + (20.0 if count < 400 else 4.0)
        await asyncio.gather(
            change_at_random(ring, rng, end), impair_at_random(ring, rng, end)
        )

    assert not late_changes(count, play, seed, bound_s)
