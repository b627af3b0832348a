"""One soak run: real entries, proxied store and workers, and faults."""

import asyncio
import contextlib
import functools
import random
import signal
import time

import aiohttp
import attrs

from rattanpier._internal.standin.platform_store import StoreFault
from rattanpier._internal.standin.platform_worker import (
    PlatformWorkerServer,
    WorkerFault,
)
from tests.lib.platform_site import manifest, manifest_with_route, platform_site
from tests.lib.relay_process import start_entry
from tests.lib.slow_callers import pad
from tests.soak.callers import (
    CRASHING_PART,
    Caller,
    CrashingCaller,
    SlowReadingCaller,
)
from tests.soak.faults import (
    FAULTS_S,
    MAX_FAULT_S,
    STARTUP_S,
    Kind,
    draw_faults,
)
from tests.soak.judge import (
    COLD_OVERSHOOT,
    COLD_PER_S,
    COLD_TOLERANCE,
    DRAIN_S,
    LIMIT_PER_S,
    REST_S,
)
from tests.soak.proxy import PathFault, Proxy

ENTRIES = 3
WORKERS = 6  # Every second one is a model engine.
CALLERS = 6
# Beside them, callers that read slowly; how many is drawn by seed. They draw
# from generators of their own, so that the rest of a seed does not change.
MAX_SLOW_CALLERS = 3
MEMORY_MB = 12  # 1.5 MB for all callers: two slow ones may exceed it.
# After the last fault, entries restart and excluded workers are retried.
RECOVERY_S = 6.0
CALM_S = 2.0
PLANNED = (
    Kind.STOP,
    Kind.RELOAD,
    Kind.MANIFEST,
    Kind.DRAIN,
    Kind.LEAVE,
    Kind.DRAIN_DOMAIN,
    Kind.COLD,
    Kind.LIMIT,
    Kind.SAY_LEAVE,
    Kind.REST,
    Kind.RESTORE,
)
# Two workers each. The entries are in the first, which is never drained.
DOMAINS = ("zone-a", "zone-b", "zone-c")
COLD_S = 3.0
RESTORE_OUTAGE_S = 0.4  # Store outage during a restore.
REWRITE_INTERVAL_S = 0.2  # Between two rewritten rows.
LIMIT_S = 5.0
RESTART_S = 2.0  # From a crash to the restart.
EXPIRY_S = 3.6  # From a crash until the registration expires.


@attrs.define
class TimedWorker(PlatformWorkerServer):
    """A worker that records when it ran each request.

    `leave_announced_at` is when an answer first announced that it leaves,
    `former_ids` are those under which it ran before it crashed.
    """

    times: list = attrs.Factory(list)
    former_ids: list = attrs.Factory(list)
    started: list = attrs.Factory(list)  # Id of each run, and when it came.
    leave_announced_at: float | None = None

    def make_event(self, run, number):
        event = super().make_event(run, number)
        return pad(event, int(run.headers.get("x-event-bytes", "0")))

    def make_body(self, run):
        body = super().make_body(run)
        return body.rjust(int(run.headers.get("x-body-bytes", "0")), b".")

    async def take(self, run, writer):
        self.started.append((run.id, time.monotonic()))
        return await super().take(run, writer)

    async def answer(self, run, writer):
        before = len(self.runs)
        leaving = self.leaving
        try:
            return await super().answer(run, writer)
        finally:
            if len(self.runs) > before:
                self.times.append(time.monotonic())
                if leaving and self.leave_announced_at is None:
                    self.leave_announced_at = time.monotonic()


@attrs.define
class Run:
    """Record of a run, for the checks."""

    seed: int
    folder: object
    faults: list
    site: object = None
    entries: list = attrs.Factory(list)
    paths: list = attrs.Factory(list)  # From each entry to the store.
    workers: list = attrs.Factory(list)
    worker_paths: list = attrs.Factory(list)
    calls: list = attrs.Factory(list)
    crashing_calls: list = attrs.Factory(list)
    drained: list = attrs.Factory(list)
    drained_domains: list = attrs.Factory(list)  # Name, since, until.
    cold: list = attrs.Factory(list)  # Id, since, until.
    limited: list = attrs.Factory(list)  # Id, since, until.
    rested: list = attrs.Factory(list)  # Id, since, until, rejected.
    crash_times: list = attrs.Factory(list)
    restarts: set = attrs.Factory(set)  # Tasks that restart workers.
    stopped: list = attrs.Factory(list)
    expected_ends: set = attrs.Factory(set)
    unexpected_ends: list = attrs.Factory(list)
    versions: dict = attrs.Factory(dict)
    version: int = 1
    began: float = 0.0
    recovered_at: float = 0.0

    def run_times(self, worker):
        return next(
            each
            for each in self.workers
            if worker in (each.id, *each.former_ids)
        ).times

    def workers_of(self, domain):
        return [
            worker.id
            for number, worker in enumerate(self.workers)
            if domain_of(number) == domain
        ]

    def has_left(self, worker):
        said = {each.id for each in self.workers if each.leaving}
        return worker in {id for id, _ in self.drained} | said

    def has_unplanned_fault(self, since, until):
        """Returns whether an unplanned fault was active near an interval."""
        return any(
            fault.kind not in PLANNED
            and self.began + fault.at < until + MAX_FAULT_S
            and self.began + fault.at + fault.for_s + MAX_FAULT_S > since
            for fault in self.faults
        )


async def run_seed(seed, folder):
    """Runs a seed and returns the record of the run."""
    run = Run(seed, folder, draw_faults(seed, ENTRIES, WORKERS))
    async with (
        platform_site(cold_manifest()) as site,
        contextlib.AsyncExitStack() as stack,
    ):
        run.site = site
        await start_workers(run, stack)
        await start_entries(run, stack)
        await run_callers(run)
        for entry in run.entries:
            lines = entry.logged("state: Routes in force.")
            # None if the entry never had routes; judge_end reports it.
            version = lines[-1]["version"] if lines else None
            run.versions[entry.settings.name] = version
    return run


async def start_workers(run, stack):
    for number in range(WORKERS):
        engine = number % 2 == 1
        worker = TimedWorker(f"w{number}", work_s=0.02, events=5)
        worker.event_gap_s = 0.02 if engine else 0.0
        await worker.start()
        stack.push_async_callback(worker.stop)
        host, port = worker.address.split(":")
        path = Proxy(host, int(port))
        await path.start()
        stack.push_async_callback(path.stop)
        run.workers.append(worker)
        run.worker_paths.append(path)
        run.site.workers[worker.id] = (
            path  # Registered with the proxy's address.
        )
        register(run, number)


def service_of(number):
    return "engine" if number % 2 else "plain"


def domain_of(number):
    return DOMAINS[number // 2]


def register(run, number, **more):
    run.site.register(
        run.workers[number].id,
        service_of(number),
        zone=domain_of(number),
        **more,
    )


def cold_manifest(**more):
    """Returns a manifest with a cold-start rate limit for workers."""
    document = manifest(**more)
    for service in document["services"]:
        service |= {"coldStartS": COLD_S, "coldPerS": COLD_PER_S}
    return document


async def start_entries(run, stack):
    host, port = run.site.store_address.split(":")
    for number in range(ENTRIES):
        path = Proxy(host, int(port))
        await path.start()
        stack.push_async_callback(path.stop)
        run.paths.append(path)
        entry = await start_entry(
            path.address,
            run.folder,
            f"entry-{number}",
            memory_mb=MEMORY_MB,
            coldOvershoot=COLD_OVERSHOOT,
            coldTolerance=COLD_TOLERANCE,
        )
        run.entries.append(entry)
    stack.push_async_callback(end_all, run)
    for entry in run.entries:
        await entry.wait_until_ready(run.site.session)


async def end_all(run):
    for entry in run.entries:
        await entry.kill()


async def run_callers(run):
    """Runs the callers during the faults and after recovery."""
    run.began = time.monotonic()
    heal = STARTUP_S + FAULTS_S + MAX_FAULT_S + RECOVERY_S
    run.recovered_at = run.began + heal
    async with aiohttp.ClientSession() as session:
        directories = [str(entry.settings.directory) for entry in run.entries]
        callers = [
            Caller(f"{run.seed}/{number}", directories, session)
            for number in range(CALLERS)
        ]
        callers += [
            SlowReadingCaller(f"{run.seed}/slow/{number}", directories, session)
            for number in range(draw_slow_callers(run.seed))
        ]
        injections = [
            asyncio.create_task(inject_fault(run, fault))
            for fault in run.faults
        ]
        watch = asyncio.create_task(record_unexpected_ends(run))
        end = run.recovered_at + CALM_S
        await asyncio.gather(*(caller.run(end) for caller in callers))
        await asyncio.gather(*injections)
        watch.cancel()
    run.calls = [each for caller in callers for each in caller.calls]


def draw_slow_callers(seed):
    """Returns the number of callers that read slowly."""
    return random.Random(f"slow/{seed}").randint(0, MAX_SLOW_CALLERS)


async def record_unexpected_ends(run):
    """Records entries that exit without having been stopped."""
    while True:
        for entry in run.entries:
            code = entry.process.returncode
            if code is not None and entry.process.pid not in run.expected_ends:
                run.expected_ends.add(entry.process.pid)
                run.unexpected_ends.append((entry.settings.name, code))
        await asyncio.sleep(0.05)


async def inject_fault(run, fault):
    """Injects one fault at its time and reverts it if it has a duration."""
    await asyncio.sleep(max(0.0, run.began + fault.at - time.monotonic()))
    entry = fault.target % ENTRIES
    worker = fault.target % WORKERS
    match fault.kind:
        case Kind.STORE:
            run.site.store.set_fault(fault.detail)
            await asyncio.sleep(fault.for_s)
            run.site.store.set_fault(StoreFault.NONE)
        case Kind.STORE_PATH:
            await apply_path_fault(run.paths[entry], fault)
        case Kind.WORKER_PATH:
            await apply_path_fault(run.worker_paths[worker], fault)
        case Kind.WORKER:
            run.workers[worker].fault = fault.detail
            await asyncio.sleep(fault.for_s)
            run.workers[worker].fault = WorkerFault.NONE
        case Kind.COMPACT:
            run.site.store.compact()
        case Kind.FREEZE:
            await freeze(run.entries[entry].process, fault.for_s)
        case Kind.KILL:
            await restart(run, entry, signal.SIGKILL, fault.for_s)
        case Kind.STOP:
            run.stopped.append(
                (str(run.entries[entry].settings.callers), time.monotonic())
            )
            await restart(run, entry, signal.SIGTERM, 0.1)
        case Kind.RELOAD:
            with contextlib.suppress(ProcessLookupError):
                run.entries[entry].process.send_signal(signal.SIGHUP)
        case Kind.MANIFEST:
            run.version += 1
            timeout_ms = 2500 + 10 * run.version
            document = manifest_with_route(
                "safe", version=run.version, timeoutMs=timeout_ms
            )
            document["services"] = cold_manifest()["services"]
            run.site.store.put("op", "config", document)
        case Kind.DRAIN | Kind.LEAVE:
            await leave(run, worker, fault)
        case Kind.DRAIN_DOMAIN:
            await drain_domain(run, DOMAINS[1 + fault.target % 2], fault)
        case Kind.COLD:
            await turn_cold(run, worker)
        case Kind.LIMIT:
            await name_limit(run, run.workers[worker])
        case Kind.SAY_LEAVE:
            # Workers 0 and 1 never leave: one of each service stays.
            run.workers[worker].leaving = worker >= 2
        case Kind.REST:
            await ask_for_rest(run, run.workers[worker], fault)
        case Kind.RESTORE:
            await restore_old_copy(run, fault)
        case Kind.CRASHING_PART:
            await crash_under_part(run, fault)


async def crash_under_part(run, fault):
    """Sends requests with a part that crashes each engine."""
    for number, worker in enumerate(run.workers):
        if service_of(number) == "engine":
            worker.deadly_parts = frozenset({CRASHING_PART})
            worker.ended = functools.partial(record_crash, run, number)
    directories = [str(entry.settings.directory) for entry in run.entries]
    async with aiohttp.ClientSession() as session:
        caller = CrashingCaller(f"{run.seed}/crash", directories, session)
        await caller.run(time.monotonic() + fault.for_s)
    run.crashing_calls += caller.calls
    await asyncio.gather(*run.restarts)


def record_crash(run, number):
    run.crash_times.append(time.monotonic())
    run.worker_paths[number].refuse()
    restarting = asyncio.ensure_future(restart_worker(run, number))
    run.restarts.add(restarting)


async def restart_worker(run, number):
    """Restarts a crashed worker under a new id at its address."""
    worker = run.workers[number]
    crashed, count = worker.id, len(worker.former_ids) + 1
    await asyncio.sleep(RESTART_S)
    worker.former_ids.append(crashed)
    worker.id = f"w{number}-{count}"
    worker.leaving = False
    await worker.start()
    port = int(worker.address.partition(":")[2])
    await run.worker_paths[number].listen_again(port)
    run.site.workers[worker.id] = run.worker_paths[number]
    register(run, number)
    await asyncio.sleep(EXPIRY_S - RESTART_S)
    run.site.store.remove("servers", crashed)


async def restore_old_copy(run, fault):
    """Restores the store from a copy, then rewrites the lost rows."""
    store = run.site.store
    kept, kept_at = store.take_backup(), time.monotonic()
    await asyncio.sleep(fault.for_s)
    store.set_fault(StoreFault.BUSY)
    await asyncio.sleep(RESTORE_OUTAGE_S)
    lost = [
        (row.version, where, row)
        for where, row in store.rows.items()
        if where[0] in ("op", "servers") and row.version > kept.version
    ]
    store.restore_backup(kept)
    lost_at = time.monotonic()
    store.set_fault(StoreFault.NONE)
    for _, where, row in sorted(lost, key=lambda each: each[0]):
        await asyncio.sleep(REWRITE_INTERVAL_S)
        now = store.rows.get(where)
        if now is None or now.version <= kept.version:
            store.write_again(*where, row)
    # A lost drain counts from when its row was rewritten.
    run.drained = [
        (worker, time.monotonic() if kept_at < at < lost_at else at)
        for worker, at in run.drained
    ]


async def apply_path_fault(path, fault):
    path.set(fault.detail)
    await asyncio.sleep(fault.for_s)
    path.set(PathFault.NONE)


async def freeze(process, seconds):
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)


async def restart(run, number, how, pause_s):
    """Stops an entry by a signal and restarts it."""
    old = run.entries[number]
    if old.process.pid in run.expected_ends:
        return  # Another fault is already stopping it.
    run.expected_ends.add(old.process.pid)
    with contextlib.suppress(ProcessLookupError):
        old.process.send_signal(how)
        old.process.send_signal(signal.SIGCONT)
    async with asyncio.timeout(10):
        await old.process.wait()
    await asyncio.sleep(pause_s)
    run.entries[number] = await old.start_again()


async def leave(run, number, fault):
    """Makes a worker leave, with or without notice."""
    worker = run.workers[number]
    # Workers 0 and 1 never leave: one of each service stays.
    if number < 2:
        return
    if fault.kind is Kind.DRAIN:
        register(run, number, state="draining")
    else:
        run.site.store.remove("servers", worker.id)
    run.drained.append((worker.id, time.monotonic()))


async def drain_domain(run, domain, fault):
    """Drains a failure domain for a while, as operators do."""
    row = f"evacuate/{domain}"
    if run.site.store.value("op", row) is not None:
        return
    run.site.store.put("op", row, {})
    since = time.monotonic()
    await asyncio.sleep(DRAIN_S + fault.for_s)
    run.drained_domains.append((domain, since, time.monotonic()))
    run.site.store.remove("op", row)


async def turn_cold(run, number):
    """Registers a worker as cold, and later as warm."""
    worker = run.workers[number].id
    if run.has_left(worker):
        return
    register(run, number, coldRemainingMs=COLD_S * 1000)
    since = time.monotonic()
    await asyncio.sleep(COLD_S)
    run.cold.append((worker, since, time.monotonic()))
    if not run.has_left(worker):
        register(run, number)


async def name_limit(run, worker):
    """Makes a worker state a rate limit in its answers for a while."""
    since = time.monotonic()
    worker.limit = str(LIMIT_PER_S)
    await asyncio.sleep(LIMIT_S)
    run.limited.append((worker.id, since, time.monotonic()))
    worker.limit = ""


async def ask_for_rest(run, worker, fault):
    """Makes a worker reject all requests and ask for a pause."""
    since, shed = time.monotonic(), worker.shed
    worker.fault, worker.rest = WorkerFault.SHED, str(REST_S)
    await asyncio.sleep(fault.for_s)
    worker.fault, worker.rest = WorkerFault.NONE, ""
    run.rested.append((worker.id, since, time.monotonic(), worker.shed - shed))
