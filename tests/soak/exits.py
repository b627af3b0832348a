"""Entries that are stopped, reloaded and frozen in series, under kept callers.

A separate run from `site`: callers use their open connections until the entry
closes them, also after seconds of silence; signals, restarts, outages of the
store and departures of workers are drawn and overlap.
"""

import asyncio
import collections
import contextlib
import random
import signal
import time

import attrs

from rattanpier._internal.standin.platform_store import StoreFault
from tests.lib.kept_callers import KeptCaller, request_bytes
from tests.lib.platform_site import platform_site
from tests.lib.relay_process import start_entry
from tests.soak.manifests import CONTACT_S, in_touch, recorded

GRACE_S = 4.0
DRAIN_S = 2.0
DEADLINE_S = 3.0
FAULTS_S = 14.0
# A departing worker goes on for this long after the end of its drain time.
LINGER_S = 0.08
# Few requests at a time leave moments without any, in which an exit is decided.
BUSY, SPARSE = (0.05, 0.5, 2.0, 6.0), (6.0,)
BUSY_CALLERS, SPARSE_CALLERS = 8, 18  # Of each entry.
BUSY_WORK_S, SPARSE_WORK_S = (0.03, 0.1, 0.42), (0.42, 0.8)
WORKERS = 4
# An answer that is not all there so close to its deadline may be late.
DEADLINE_SHARE = 0.9
# Least time in which a started process ends if SIGTERM comes at any moment.
END_S = GRACE_S + 1.0


class TimedRuns(list):
    """The runs of a worker, with the time at which each began."""

    def __init__(self):
        super().__init__()
        self.times = collections.defaultdict(list)

    def append(self, run):
        super().append(run)
        self.times[run.id].append(time.monotonic())


@attrs.frozen
class Sent:
    """A request on a kept connection.

    `status` is None if the connection ended without a complete answer.
    """

    id: str
    entry: int
    safe: bool
    sent_at: float
    ended_at: float
    status: int | None


@attrs.define
class ExitRun:
    """Record of a run, for the checks.

    `out_of_touch` holds intervals by entry, as in `ManifestRun`. `terminated`
    holds when each process got its first SIGTERM, by pid.
    """

    seed: int
    rng: random.Random
    site: object = None
    entries: list = attrs.Factory(list)
    sent: list = attrs.Factory(list)
    out_of_touch: list = attrs.Factory(list)
    departures: dict = attrs.Factory(dict)  # Times by worker.
    terminated: dict = attrs.Factory(dict)
    overdue: list = attrs.Factory(list)
    exits_s: list = attrs.Factory(list)
    ends: list = attrs.Factory(list)  # (entry, from, to) of forced ends.
    workers: int = 0
    sparse: bool = False


def judge_exits(run):
    """Yields one sentence for each violated guarantee."""
    arrivals = collections.defaultdict(list)
    for name, worker in run.site.workers.items():
        for id, times in worker.runs.times.items():
            arrivals[id] += [(name, at) for at in times]
    for each in run.sent:
        ran = arrivals[each.id]
        if len(ran) > 1 and not each.safe:
            yield f"{each.id} ran {len(ran)} times"
        if ran and each.status in (429, 503):
            yield f"{each.id} ran and was refused as not run"
        if ran and each.status is None and not is_excused(run, each, ran):
            yield (
                f"{each.id} was read by entry-{each.entry} and cut "
                f"{each.ended_at - each.sent_at:.2f} s after it was sent"
            )
        yield from judge_departures(run, each, ran)
    for name, seconds in run.overdue:
        yield f"{name} ended {seconds:.2f} s after SIGTERM"


def is_excused(run, sent, ran):
    """Whether a request may end without an answer."""
    if sent.ended_at - sent.sent_at > DEADLINE_SHARE * DEADLINE_S:
        return True
    if any(
        name in run.departures
        and run.departures[name] + DRAIN_S + LINGER_S < sent.ended_at
        for name, _ in ran
    ):
        return True  # Its worker has ended.
    return any(
        entry == sent.entry and began <= sent.ended_at <= ended
        for entry, began, ended in run.ends
    )


def judge_departures(run, sent, ran):
    for name, at in ran:
        left_at = run.departures.get(name, float("inf"))
        if at < left_at + DRAIN_S:
            continue
        stable = in_touch(run, None, left_at, left_at)
        if stable and in_touch(run, sent.entry, sent.sent_at, at):
            yield (
                f"entry-{sent.entry} sent {sent.id} to {name} "
                f"{at - left_at:.2f} s after it was removed"
            )


async def run_exits(seed, folder, entries=0):
    """Runs a seed and returns the record; `entries` 0 draws their number."""
    run = ExitRun(seed, random.Random(f"exits/{seed}"))
    entries = entries or run.rng.randint(1, 4)
    run.sparse = run.rng.random() < 0.5
    async with platform_site() as site, contextlib.AsyncExitStack() as stack:
        run.site = site
        for _ in range(WORKERS):
            await add_worker(run)
        stack.push_async_callback(end_all, run)
        for number in range(entries):
            entry = await start_entry(
                site.store_address,
                folder,
                f"entry-{number}",
                seeds=[str(each.settings.peers) for each in run.entries[:3]],
                graceS=GRACE_S,
                drainMs=1000 * DRAIN_S,
                contactMs=1000 * CONTACT_S,
            )
            run.entries.append(entry)
        for entry in run.entries:
            await entry.wait_until_ready(site.session)
        await asyncio.sleep(1.0)
        await play(run)
    return run


async def end_all(run):
    for entry in run.entries:
        await entry.kill()


async def add_worker(run):
    run.workers += 1
    name = f"w{run.workers}"
    work_s = run.rng.choice(SPARSE_WORK_S if run.sparse else BUSY_WORK_S)
    worker = await run.site.add_worker(name, work_s=work_s)
    worker.runs = TimedRuns()


async def play(run):
    end = time.monotonic() + FAULTS_S
    callers_end = end + END_S
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(inject_faults(run, end))
        callers = SPARSE_CALLERS if run.sparse else BUSY_CALLERS
        for number in range(callers * len(run.entries)):
            tasks.create_task(ask_on_kept_connections(run, number, callers_end))


async def ask_on_kept_connections(run, number, end):
    """Asks on one connection until the entry closes it, then on another."""
    rng = random.Random(f"callers/{run.seed}/{number}")
    pause_s = rng.choice(SPARSE if run.sparse else BUSY)
    await asyncio.sleep(pause_s * rng.random())
    caller, entry = None, 0
    while time.monotonic() < end:
        if caller is None:
            entry = rng.randrange(len(run.entries))
            try:
                caller = await KeptCaller.connect(
                    run.entries[entry].settings.callers
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
        if not await ask(run, rng, caller, entry):
            caller.close()
            caller = None
        await asyncio.sleep(pause_s * rng.uniform(0.5, 1.0))
    if caller is not None:
        caller.close()


async def ask(run, rng, caller, entry):
    """Sends a request; returns whether the connection stays open."""
    id = f"{rng.getrandbits(64):016x}"
    safe = rng.random() < 0.3
    path = "/safe/x" if safe else "/unsafe/x"
    body = b"x" * rng.choice((0, 10, 5000))
    data = request_bytes(id, path, body, deadline_ms=int(DEADLINE_S * 1000))
    sent_at = time.monotonic()
    if rng.random() < 0.2:  # In two parts.
        split = rng.randrange(1, len(data))
        caller.send(data[:split])
        await asyncio.sleep(rng.choice((0.01, 0.2)))
        data = data[split:]
    try:
        async with asyncio.timeout(DEADLINE_S + MAX_FREEZE_S + 1.0):
            answer = await caller.ask(data)
    except TimeoutError:
        return False
    status = None if answer is None else answer[0]
    run.sent.append(Sent(id, entry, safe, sent_at, time.monotonic(), status))
    return answer is not None and answer[1].get("connection") != "close"


# Faults and planned work, drawn in series.

MAX_FREEZE_S = 4.0


async def inject_faults(run, end):
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < end:
            await asyncio.sleep(run.rng.choice((0.05, 0.3, 1.0, 2.5)))
            numbers = list(range(len(run.entries)))
            run.rng.shuffle(numbers)
            chosen = numbers[: run.rng.randint(1, len(numbers))]
            kind = run.rng.choice(FAULTS)
            tasks.create_task(kind(run, chosen))


async def roll(run, numbers):
    """Stops entries one after the other and starts each again."""
    gap_s = run.rng.choice((0.0, 0.3, 1.0))
    async with asyncio.TaskGroup() as tasks:
        for number in numbers:
            tasks.create_task(restart(run, number))
            await asyncio.sleep(gap_s)


async def restart(run, number):
    """Ends an entry by SIGTERM, with other signals beside it."""
    old = run.entries[number]
    if old.process.pid in run.terminated:
        return
    began = time.monotonic()
    run.terminated[old.process.pid] = began
    signals = run.rng.choice(SIGNALS)
    delay_s = run.rng.choice((0.0, 0.05, 1.0))
    with recorded(run, number):
        for each in signals:
            if old.process.returncode is None:
                old.process.send_signal(each)
            await asyncio.sleep(delay_s)
    await wait_for_end(run, number, old, began)
    with recorded(run, number):
        await asyncio.sleep(run.rng.choice((0.0, 0.5)))
        run.entries[number] = await old.start_again()


async def wait_for_end(run, number, old, began):
    """Waits for the end of a process; kills it after the grace period."""
    left_s = began + GRACE_S + MAX_FREEZE_S + 1.0 - time.monotonic()
    try:
        async with asyncio.timeout(max(0.1, left_s)):
            await old.process.wait()
    except TimeoutError:
        run.overdue.append((old.settings.name, time.monotonic() - began))
        old.process.kill()
        await old.process.wait()
    ended = time.monotonic()
    run.exits_s.append(ended - began)
    # Close to the end of the grace period, requests may be cut.
    if ended - began > GRACE_S - 0.1:
        run.ends.append((number, began + GRACE_S - 0.1, ended + 0.1))


async def reload(run, numbers):
    for number in numbers:
        if run.entries[number].process.returncode is None:
            run.entries[number].process.send_signal(signal.SIGHUP)


async def freeze(run, numbers):
    for_s = run.rng.choice((0.4, 0.9, 2.0, MAX_FREEZE_S))
    processes = [run.entries[number].process for number in numbers]
    with contextlib.ExitStack() as stack:
        for number, process in zip(numbers, processes, strict=True):
            stack.enter_context(recorded(run, number))
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)


async def impair_store(run, _numbers):
    with recorded(run, None):
        run.site.store.set_fault(
            run.rng.choice((StoreFault.BUSY, StoreFault.SILENT))
        )
        await asyncio.sleep(run.rng.choice((0.5, 2.0, 5.0)))
        run.site.store.set_fault(StoreFault.NONE)


async def remove_worker(run, _numbers):
    """Removes a worker that never says that it drains; adds another."""
    names = [name for name in run.site.workers if name not in run.departures]
    name = run.rng.choice(names)
    run.site.store.remove("servers", name)
    run.departures[name] = time.monotonic()
    await add_worker(run)
    await asyncio.sleep(DRAIN_S + LINGER_S)
    await run.site.workers[name].stop()


async def remove_worker_after_freeze(run, numbers):
    await freeze(run, numbers)
    await asyncio.sleep(run.rng.uniform(1.0, 2.0))
    await remove_worker(run, numbers)


SIGNALS = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
)
FAULTS = (
    roll,
    roll,
    roll,
    reload,
    freeze,
    freeze,
    impair_store,
    remove_worker,
    remove_worker_after_freeze,
    remove_worker_after_freeze,
)
