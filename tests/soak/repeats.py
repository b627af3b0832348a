"""Repeats of all entries together while entries are killed, stopped and frozen.

A run of its own: entries before plain workers that fail most of what they run.
The entries are killed in series, all at once or some, and started again, while
others are frozen or stopped. Callers keep their connections.
"""

import asyncio
import contextlib
import random
import signal
import time

import attrs

from rattanpier._internal.standin.platform_worker import (
    PlatformWorkerServer,
    WorkerFault,
)
from tests.lib.kept_callers import KeptCaller, request_bytes
from tests.lib.platform_site import LARGE, SMALL, platform_site
from tests.lib.relay_process import start_entry
from tests.lib.repeat_judge import RepeatBound, worst_window

BOUND = RepeatBound(ratio=0.9, slack=52, window_s=10.0)
WORKERS = 9
WORK_S = 0.02
BURST_WORK_S = 0.3
LENGTH_S = 32.0
DEADLINE_S = 3.0
# The bound has to hold with entries that ran for a window, and with new ones.
QUIET_S = (0.0, 6.0, 12.0)
FAIL_SHARES = (0.6, 0.9, 1.0)
RATES = (6.0, 12.0, 30.0, 60.0)
FAULTS = (WorkerFault.FAIL, WorkerFault.SHED, WorkerFault.CUT)


@attrs.define
class FailingWorker(PlatformWorkerServer):
    """A worker that fails a share of its runs, and notes all arrivals."""

    rng: random.Random = attrs.Factory(random.Random)
    share: float = 0.0
    failure: WorkerFault = WorkerFault.FAIL
    arrived: list = attrs.Factory(list)

    def take_fault(self):
        failing = self.rng.random() < self.share
        return self.failure if failing else WorkerFault.NONE

    async def answer(self, run, writer):
        if run.id:
            self.arrived.append((run.id, time.monotonic()))
        return await super().answer(run, writer)


def random_gaps(run):
    """Yields the seconds until the next request."""
    while True:
        yield run.rng.expovariate(run.per_s)


def burst_gaps(size, gap_s):
    """Returns the gaps of bursts of requests, and nothing between them."""

    def gaps(_run):
        while True:
            yield from [0.0] * (size - 1)
            yield gap_s

    return gaps


# Bursts at distances that are shorter and longer than a window.
LOADS = {
    "random": random_gaps,
    "bursts 9.8 s apart": burst_gaps(150, 9.8),
    "bursts 6 s apart": burst_gaps(100, 6.0),
    "bursts 11 s apart": burst_gaps(200, 11.0),
}


@attrs.define
class RepeatRun:
    """Record of a run, for the judge.

    `statuses` holds the status of each answer, None if there was none; `ending`
    the ids of processes that got a signal.
    """

    seed: int
    rng: random.Random
    troubles: tuple
    per_s: float
    path: str = "/safe/x"
    gaps: object = random_gaps
    work_s: float = WORK_S
    site: object = None
    folder: object = None
    entries: list = attrs.Factory(list)
    idle: dict = attrs.Factory(dict)  # Callers' connections, by process id.
    sent: list = attrs.Factory(list)
    statuses: list = attrs.Factory(list)
    ending: set = attrs.Factory(set)

    def arrived(self):
        workers = self.site.workers.values()
        return [pair for worker in workers for pair in worker.arrived]

    def worst(self):
        return worst_window(self.sent, self.arrived(), BOUND)


def judge_repeats(run):
    """Yields one sentence for each violated guarantee."""
    worst = run.worst()
    if worst.excess > 0:
        yield (
            f"{worst.repeats} repeats in {BOUND.window_s:.0f} s for "
            f"{worst.requests} requests, allowed {worst.allowed:.0f}"
        )


async def run_repeats(
    seed,
    folder,
    entries=6,
    troubles=None,
    per_s=0.0,
    length_s=LENGTH_S,
    load="random",
    work_s=WORK_S,
    path="/safe/x",
):
    """Runs a seed and returns the record.

    Args:
      seed: Of all that is drawn.
      folder: For the settings files of the entries.
      entries: Number of entries; 0 draws it.
      troubles: Names of the troubles to draw from; None for all.
      per_s: Requests a second; 0 draws the rate.
      length_s: Seconds of requests.
      load: Name of the load.
      work_s: Seconds for which a worker runs a request.
      path: Of the requests. Chats escalate, and are resumed if they are cut.
    """
    rng = random.Random(f"repeats/{seed}")
    if troubles is None:
        troubles = TROUBLES
    troubles = tuple(TROUBLES[name] for name in troubles)
    run = RepeatRun(seed, rng, troubles, per_s or rng.choice(RATES))
    run.folder = folder
    run.gaps = LOADS[load]
    run.work_s = work_s
    run.path = path
    entries = entries or rng.randint(2, 6)
    async with platform_site() as site, contextlib.AsyncExitStack() as stack:
        run.site = site
        for number in range(WORKERS):
            await add_worker(run, f"w{number}")
        stack.push_async_callback(end_all, run)
        for _ in range(entries):
            await add_entry(run)
        for entry in run.entries:
            await entry.wait_until_ready(site.session)
        await asyncio.sleep(rng.choice(QUIET_S))
        await play(run, length_s)
    return run


async def run_loads(seed, folder, entries=6):
    """Runs a seed with a drawn load, with and without troubles."""
    rng = random.Random(f"loads/{seed}")
    return await run_repeats(
        seed,
        folder,
        entries,
        troubles=rng.choice(([], None)),
        load=rng.choice(list(LOADS)),
        work_s=rng.choice((WORK_S, BURST_WORK_S, 1.0)),
        path=rng.choice(("/safe/x", "/chat/x")),
    )


async def add_worker(run, name):
    worker = FailingWorker(
        name,
        work_s=run.work_s,
        rng=random.Random(f"{run.seed}/{name}"),
        failure=run.rng.choice(FAULTS),
        confidence={SMALL: 10.0, LARGE: 90.0},
    )
    await worker.start()
    run.site.workers[name] = worker
    service = "engine" if run.path.startswith("/chat/") else "plain"
    run.site.register(name, service)


async def add_entry(run):
    entry = await start_entry(
        run.site.store_address,
        run.folder,
        f"entry-{len(run.entries)}",
        seeds=[str(each.settings.peers) for each in run.entries[:3]],
        retryBudgetRatio=BOUND.ratio,
        budgetWindowS=BOUND.window_s,
        budgetSlack=BOUND.slack,
    )
    run.entries.append(entry)


async def end_all(run):
    for callers in run.idle.values():
        for caller in callers:
            caller.close()
    for entry in run.entries:
        await entry.kill()


async def play(run, length_s):
    end = time.monotonic() + length_s
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(fail_workers(run, length_s))
        tasks.create_task(make_trouble(run, end))
        for gap_s in run.gaps(run):
            tasks.create_task(ask(run))
            await asyncio.sleep(gap_s)
            if time.monotonic() >= end:
                break


async def fail_workers(run, length_s):
    share = run.rng.choice(FAIL_SHARES)
    await asyncio.sleep(run.rng.uniform(0.0, 0.25 * length_s))
    for worker in run.site.workers.values():
        worker.share = share


async def ask(run):
    """Sends a request to any entry, on a kept connection if there is one."""
    id = f"{run.rng.getrandbits(64):016x}"
    entry = run.rng.choice(run.entries)
    idle = run.idle.setdefault(entry.process.pid, [])
    run.sent.append((id, time.monotonic()))
    caller, answer = None, None
    try:
        async with asyncio.timeout(DEADLINE_S):
            if idle:
                caller = idle.pop()
            else:
                caller = await KeptCaller.connect(entry.settings.callers)
            answer = await caller.ask(request_bytes(id, run.path))
    except (OSError, TimeoutError):
        pass
    run.statuses.append(None if answer is None else answer[0])
    if answer is not None and answer[1].get("connection") != "close":
        idle.append(caller)
    elif caller is not None:
        caller.close()


# Troubles, drawn in series.


async def make_trouble(run, end):
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < end:
            await asyncio.sleep(run.rng.choice((1.0, 3.0, 6.0, 7.0)))
            if run.troubles:
                tasks.create_task(run.rng.choice(run.troubles)(run))


async def restart(run, number, sent_signal, down_s):
    old = run.entries[number]
    if old.process.returncode is None:
        old.process.send_signal(sent_signal)
    if old.process.pid in run.ending:
        return  # Another trouble starts it again.
    run.ending.add(old.process.pid)
    await old.process.wait()
    await asyncio.sleep(down_s)
    run.entries[number] = await old.start_again()


async def kill_all(run):
    down_s = run.rng.choice((0.0, 0.3, 1.0))
    async with asyncio.TaskGroup() as tasks:
        for number in range(len(run.entries)):
            tasks.create_task(restart(run, number, signal.SIGKILL, down_s))


async def kill_in_turn(run):
    gap_s = run.rng.choice((0.3, 1.0))
    async with asyncio.TaskGroup() as tasks:
        for number in range(len(run.entries)):
            tasks.create_task(restart(run, number, signal.SIGKILL, 0.3))
            await asyncio.sleep(gap_s)


async def stop_in_turn(run):
    async with asyncio.TaskGroup() as tasks:
        for number in range(len(run.entries)):
            tasks.create_task(restart(run, number, signal.SIGTERM, 0.3))
            await asyncio.sleep(1.0)


async def freeze_half(run):
    """Freezes half of the entries, again and again."""
    numbers = range(0, len(run.entries), 2)
    for _ in range(2):
        processes = [run.entries[number].process for number in numbers]
        send_all(processes, signal.SIGSTOP)
        await asyncio.sleep(3.0)
        send_all(processes, signal.SIGCONT)
        await asyncio.sleep(6.0)


def send_all(processes, sent_signal):
    for process in processes:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(sent_signal)


async def join(run):
    await add_entry(run)


TROUBLES = {
    "kill all": kill_all,
    "kill in turn": kill_in_turn,
    "stop in turn": stop_in_turn,
    "freeze half": freeze_half,
    "join": join,
}
