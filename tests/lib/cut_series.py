"""Series of cuts, with other trouble beside them, drawn from a seed."""

import asyncio
import enum
import random

import attrs

from rattanpier._internal.programs.relay import shut_down
from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.lib.cut_site import CONTACT_S, ENTRIES, ZONES, add_entry
from tests.lib.first_tries import FirstTries
from tests.lib.worker_cuts import Cut, cut_off

COUNTED_S = 2.5
PHASE_S = CONTACT_S + COUNTED_S
PHASES = 2
CALM_S = 0.5  # Before the first phase.


class Trouble(enum.StrEnum):
    """What happens beside a cut."""

    NONE = "none"
    CRASH = "crash"  # A worker ends; its registration goes later.
    HANG = "hang"  # A worker answers nothing for a second.
    RESTART = "restart"  # An entry stops as planned, and starts again.


CRASH_UNREGISTERED_S = 1.0
HANG_S = 1.0


@attrs.frozen
class Phase:
    """Entries that are cut off at one time, and the trouble beside it."""

    cut: tuple
    kind: Cut
    trouble: Trouble
    target: str


def draw_phases(seed):
    rng = random.Random(seed)
    return [draw_phase(rng) for _ in range(PHASES)]


def draw_phase(rng):
    kind = rng.choice([Cut.REFUSED, Cut.SILENT, Cut.HALF])
    if rng.random() < 0.4:
        zone = rng.randrange(len(ZONES))
        cut = ENTRIES[zone :: len(ZONES)]
    else:
        cut = tuple(rng.sample(ENTRIES, rng.randint(1, 3)))
    trouble = rng.choice(list(Trouble))
    if trouble is Trouble.RESTART:
        target = rng.choice(ENTRIES)
    else:
        target = rng.choice(["w0", "w1", "e0"])
    return Phase(cut, kind, trouble, target)


@attrs.define
class PhaseResult:
    """First tries served and made, at entries that were cut and at others."""

    cut: tuple
    others: tuple


async def play(site, seed):
    """Plays the phases of a seed and returns their results."""
    tries = FirstTries(site)
    loop = asyncio.get_running_loop()
    seconds = CALM_S + PHASES * PHASE_S
    callers = asyncio.create_task(tries.run(ENTRIES, seconds))
    await asyncio.sleep(CALM_S)
    spans = []
    for phase in draw_phases(seed):
        spans.append((phase, loop.time() + CONTACT_S, loop.time() + PHASE_S))
        await play_phase(site, phase)
    await callers
    return [count_phase(tries, *span) for span in spans]


async def play_phase(site, phase):
    ends = asyncio.get_running_loop().time() + PHASE_S
    cuts = cut_off(site, *phase.cut)
    for cut in cuts:
        cut.set(phase.kind)
    await asyncio.sleep(0.2)
    await cause_trouble(site, phase)
    await asyncio.sleep(ends - asyncio.get_running_loop().time())
    for cut in cuts:
        cut.set(Cut.NONE)


async def cause_trouble(site, phase):
    match phase.trouble:
        case Trouble.CRASH:
            await site.workers[phase.target].stop()
            await asyncio.sleep(CRASH_UNREGISTERED_S)
            site.store.remove("servers", phase.target)
        case Trouble.HANG:
            worker = site.workers[phase.target]
            worker.fault = WorkerFault.HANG
            await asyncio.sleep(HANG_S)
            worker.fault = WorkerFault.NONE
        case Trouble.RESTART:
            await shut_down(site.entries[phase.target])
            number = ENTRIES.index(phase.target)
            await add_entry(site, phase.target, number)
            if phase.target in phase.cut:
                (cut,) = cut_off(site, phase.target)
                cut.set(phase.kind)


def count_phase(tries, phase, since, until):
    restarted = phase.target if phase.trouble is Trouble.RESTART else ""
    others = [
        name for name in ENTRIES if name not in phase.cut and name != restarted
    ]
    cut = [name for name in phase.cut if name != restarted]
    return PhaseResult(
        tries.count(cut, since, until), tries.count(others, since, until)
    )
