"""Repeats of all kinds, with all troubles together, before real entries.

A run of its own: entries as processes, each connection of which goes through a
tunnel, before engines and plain workers. Requests, prompt parts or nothing
crash workers, while drawn troubles of workers, entries, paths and the store
overlap. All sentences of the judge of repeats are judged in each run.
"""

import asyncio
import contextlib
import functools
import pathlib
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
from tests.lib.budget_judge import (
    Arrival,
    BudgetRecord,
    Crash,
    Rest,
    Sent,
    judge_budget,
)
from tests.lib.platform_site import HOST, KEY, LARGE, SMALL, platform_site
from tests.lib.relay_process import Program, start_entry
from tests.lib.repeat_judge import RepeatBound
from tests.lib.tunnels import Tunnels
from tests.lib.worker_cuts import Cut
from tests.soak.proxy import PathFault, Proxy
from tests.soak.site import freeze

TUNNELLED = pathlib.Path(__file__).parents[1] / "lib" / "tunnelled_relay.py"
BOUND = RepeatBound(ratio=0.9, slack=52, window_s=10.0)
ENGINES, PLAIN = 9, 4
CORE_SHARES = (None, None, 0.537)  # Of a core, for each entry.
SHARE_INTERVAL_S = 0.02
LENGTH_S = 24.0
TURNS_BAD_S = (6.0, 9.0)
TROUBLES_FROM_S, TROUBLES_TO_S = 4.0, 18.0
CHATS_PER_S, PLAIN_PER_S = 14.0, 6.0
CRASHING_PER_S = 5.0
DEADLINES_S = (0.9, 1.5, 3.0)
CHAT_DEADLINE_S = 5.0
WORK_S = 0.05
EVENT_GAP_S = 0.05
MAX_EVENTS = 60
ROUTES, DOCUMENTS = 3, 40
CRASHING_BODY = b"the request that crashes its workers"
RESTART_S = (2.0, 4.0)
EXPIRY_S = 3.6
REST_S = 2.0

# Parts of requests that crash workers; the last names the one that does.
TURNED_PART = ("route 0", "document 3")
CAUSES = {
    "none": (),
    "part": ("route 0", "bad"),
    "first part": ("bad", "document 1"),
    "turned part": TURNED_PART,
    "turned first part": TURNED_PART,
    "content": ("route 0", "document 1"),
}
BAD_PARTS = {
    "part": "bad",
    "first part": "bad",
    "turned part": "document 3",
    "turned first part": "route 0",
}
CRASHES = (
    {},
    {"crash_events": 2},
    {"chunked": False, "crash_tail": b"id: 1\nda"},
    {"chunked": False, "crash_tail": b"id: 1\ndata: x\n\n"},
    {"crash_linger_s": 0.05},
    {"crash_linger_s": 0.5},
)


@attrs.define(eq=False)
class RecordedWorker(PlatformWorkerServer):
    """A worker that records what reached it.

    Attributes:
      run: The run, whose record it writes.
      number: Its place, which its successors keep.
      service: Its service.
      share: Share of its runs that fail with `failure`.
      under_way: Ids of the requests that it runs.
      arrived: Requests that reached it, in order.
      reused_port: Port to listen at; 0 for a free one.
    """

    run: object = None
    number: int = 0
    service: str = "engine"
    share: float = 0.0
    failure: WorkerFault = WorkerFault.FAIL
    under_way: set = attrs.Factory(set)
    arrived: list = attrs.Factory(list)
    reused_port: int = 0
    over: bool = False

    async def start(self):
        try:
            self.server = await asyncio.start_server(
                self.serve, "127.0.0.1", self.reused_port
            )
        except OSError:  # Another connection took the port meanwhile.
            await super().start()
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def take_fault(self):
        if self.fault is not WorkerFault.NONE:
            return self.fault
        failing = self.run.rng.random() < self.share
        return self.failure if failing else WorkerFault.NONE

    async def answer(self, run, writer):
        if run.id:
            left = run.headers.get("x-deadline-ms")
            self.arrived.append(
                Arrival(
                    run.id,
                    time.monotonic(),
                    self.id,
                    self.entry_of(writer),
                    None if left is None else int(left) / 1000,
                )
            )
        return await super().answer(run, writer)

    def entry_of(self, writer):
        source = writer.get_extra_info("peername")
        return self.run.tunnels.source_of.get(source, "")

    def refuse(self, writer):
        super().refuse(writer)
        if self.rest:
            now = time.monotonic()
            until = now + float(self.rest)
            rest = Rest(self.id, self.entry_of(writer), now, until)
            self.run.record.rests.append(rest)

    async def take(self, run, writer):
        self.under_way.add(run.id)
        try:
            return await super().take(run, writer)
        finally:
            self.under_way.discard(run.id)

    def is_deadly(self, run):
        since = self.run.bad_from
        now = time.monotonic()
        if run.body == CRASHING_BODY:
            return True
        return any(now >= since.get(part, now + 1) for part in run.shared_parts)

    async def numbers(self, run, writer, first):
        events = 2 + int(run.id, 16) % MAX_EVENTS
        for number in range(first, events + 1):
            await self.work(run, writer, EVENT_GAP_S)
            yield number

    async def stop(self):
        if not self.over:
            self.over = True
            running = frozenset(self.under_way)
            crash = Crash(time.monotonic(), self.id, running)
            self.run.record.crashes.append(crash)
        await super().stop()


@attrs.define
class BudgetRun:
    """A run and its record, for the judge.

    Attributes:
      cause: Name of what crashes workers.
      bad_from: When each part begins to crash workers.
      ways: What is cut now: by entry for all workers, by entry and address for
        a peer.
      peers: Address of each entry for its peers.
      core_share: Share of a core that each entry may use, or None.
      ending: Ids of the processes that got a signal to end.
    """

    seed: int
    folder: object
    rng: random.Random
    cause: str = "none"
    core_share: float | None = None
    record: BudgetRecord = attrs.Factory(lambda: BudgetRecord(BOUND))
    tunnels: Tunnels = attrs.Factory(Tunnels)
    bad_from: dict = attrs.Factory(dict)
    ways: dict = attrs.Factory(dict)
    peers: dict = attrs.Factory(dict)
    site: object = None
    session: object = None
    entries: list = attrs.Factory(list)
    paths: list = attrs.Factory(list)
    workers: list = attrs.Factory(list)
    ended_workers: list = attrs.Factory(list)
    tasks: set = attrs.Factory(set)
    ending: set = attrs.Factory(set)
    faults: list = attrs.Factory(list)
    served: dict = attrs.Factory(dict)
    over: bool = False

    @property
    def sent(self):
        return self.record.sent

    def start_task(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def name_of(self, number):
        return self.entries[number].settings.name

    def cut_of(self, entry, target):
        if target in self.peers:
            return self.ways.get((entry, target), Cut.NONE)
        return self.ways.get(entry, Cut.NONE)

    @contextlib.contextmanager
    def disturbance(self, *names):
        """Records that entries did not run or lost the store meanwhile."""
        since = time.monotonic()
        try:
            yield
        finally:
            now = time.monotonic()
            self.record.disturbed += [(name, since, now) for name in names]


def judge_budgets(run):
    """Yields one sentence for each violated guarantee."""
    for name, seen in judge_budget(run.record):
        yield f"{name} ({run.cause}): {seen}"


async def run_budgets(seed, folder, entries=0, cause=""):
    """Runs a seed and returns the run.

    Args:
      seed: Of all that is drawn.
      folder: For the settings files of the entries.
      entries: Number of entries; 0 draws it.
      cause: Key of `CAUSES`; empty draws it.
    """
    rng = random.Random(f"budgets/{seed}")
    run = BudgetRun(seed, folder, rng, rng.choice(list(CAUSES)))
    run.cause = cause or run.cause
    run.core_share = rng.choice(CORE_SHARES)
    crash = rng.choice(CRASHES)
    entries = entries or rng.randint(4, 6)
    async with (
        platform_site() as site,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session,
        contextlib.AsyncExitStack() as stack,
    ):
        run.site, run.session = site, session
        run.tunnels.cut_of = run.cut_of
        await run.tunnels.start()
        stack.push_async_callback(run.tunnels.stop)
        for number in range(ENGINES + PLAIN):
            await add_worker(run, number, f"w{number}", crash)
        stack.push_async_callback(end_all, run)
        for number in range(entries):
            await add_entry(run, number, stack)
        for entry in run.entries:
            await entry.wait_until_ready(site.session)
        await asyncio.sleep(rng.choice((1.0, 11.0)))
        await play(run)
        run.over = True
    collect_arrivals(run)
    return run


async def add_worker(run, number, name, crash, port=0):
    worker = RecordedWorker(
        name,
        run=run,
        number=number,
        service="engine" if number < ENGINES else "plain",
        work_s=0.0 if number < ENGINES else WORK_S,
        reused_port=port,
        crash_s=run.rng.uniform(0.03, 0.15),
        **crash,
    )
    if number % 3 == 0:
        worker.confidence = {SMALL: 10.0, LARGE: 90.0}
    worker.ended = functools.partial(schedule_restart, run, worker, crash)
    await worker.start()
    run.workers[number : number + 1] = [worker]
    run.site.workers[name] = worker
    run.site.register(name, worker.service)


def schedule_restart(run, worker, crash):
    if not run.over and not any(worker is each for each in run.ended_workers):
        run.ended_workers.append(worker)
        run.start_task(restart_worker(run, worker, crash))


async def restart_worker(run, worker, crash):
    """Starts the next incarnation, often at the same address."""
    run.start_task(expire(run, worker.id))
    await asyncio.sleep(run.rng.uniform(*RESTART_S))
    port = 0
    if run.rng.random() < 0.5:
        port = int(worker.address.partition(":")[2])
    name = f"w{worker.number}-{len(run.ended_workers)}"
    await add_worker(run, worker.number, name, crash, port)


async def expire(run, name):
    await asyncio.sleep(EXPIRY_S)
    run.site.store.remove("servers", name)


async def add_entry(run, number, stack):
    host, port = run.site.store_address.split(":")
    path = Proxy(host, int(port))
    await path.start()
    stack.push_async_callback(path.stop)
    run.paths.append(path)
    name = f"entry-{number}"
    variables = {"TUNNEL_NAME": name, "TUNNEL_PORT": str(run.tunnels.port)}
    entry = await start_entry(
        path.address,
        run.folder,
        name,
        program=Program(TUNNELLED, variables),
        seeds=[str(each.settings.peers) for each in run.entries[:3]],
        retryBudgetRatio=BOUND.ratio,
        budgetWindowS=BOUND.window_s,
        budgetSlack=BOUND.slack,
    )
    run.entries.append(entry)
    peers = entry.settings.peers
    run.peers[peers.host, peers.port] = name


async def end_all(run):
    run.over = True
    for task in list(run.tasks):
        task.cancel()
    await asyncio.gather(*run.tasks, return_exceptions=True)
    for entry in run.entries:
        await entry.kill()


def collect_arrivals(run):
    workers = {worker.id: worker for worker in run.workers + run.ended_workers}
    for worker in workers.values():
        ran = {each.id for each in worker.runs}
        run.record.arrivals += [
            attrs.evolve(each, ran=each.id in ran) for each in worker.arrived
        ]


# Requests.


async def play(run):
    end = time.monotonic() + LENGTH_S
    if run.core_share is not None:
        for number in range(len(run.entries)):
            run.start_task(limit_core(run, number, run.core_share))
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(make_troubles(run))
        send = functools.partial(send_at_rate, run, tasks, end)
        tasks.create_task(send(CHATS_PER_S, send_chat))
        tasks.create_task(send(PLAIN_PER_S, send_plain))
        if run.cause != "none":
            tasks.create_task(send_crashing(run, send))


async def send_at_rate(run, tasks, end, per_s, send):
    while time.monotonic() < end:
        tasks.create_task(send(run))
        await asyncio.sleep(run.rng.expovariate(per_s))


async def send_crashing(run, send):
    """Turns a part bad, if that is the cause, and sends requests with it."""
    await asyncio.sleep(run.rng.uniform(*TURNS_BAD_S))
    now = time.monotonic()
    if run.cause in BAD_PARTS:
        part = BAD_PARTS[run.cause]
        run.bad_from[part] = run.record.bad_parts[part] = now
    body = CRASHING_BODY if run.cause == "content" else b""
    parts = CAUSES[run.cause]
    await send(
        CRASHING_PER_S,
        functools.partial(send_chat, parts=parts, body=body),
    )


async def send_chat(run, parts=(), body=b""):
    rng = run.rng
    if not parts:
        document = f"document {rng.randrange(DOCUMENTS)}"
        parts = (f"route {rng.randrange(ROUTES)}", document)
    id = new_id(run)
    own = "the same" if body else id
    content = "crashing" if body else ""
    sent = Sent(
        id,
        0.0,
        "",
        "engine",
        CHAT_DEADLINE_S,
        True,
        parts=parts,
        content=content,
    )
    headers = {
        "X-Model": "*",
        "X-Token-Usage": "300,50",
        "X-Prefix-Hash": ",".join(f"{each}:100" for each in (*parts, own)),
    }
    await ask(run, sent, "/chat/x", headers, body or id.encode())


async def send_plain(run):
    path = run.rng.choice(("/safe/x", "/unsafe/x"))
    left_s = run.rng.choice(DEADLINES_S)
    await ask(run, Sent(new_id(run), 0.0, left_s=left_s), path, {}, b"")


def new_id(run):
    return f"{run.rng.getrandbits(64):016x}"


async def ask(run, sent, path, headers, body):
    """Sends a request to any entry, on a kept connection if there is one."""
    entry = run.rng.choice(run.entries)
    sent = attrs.evolve(sent, at=time.monotonic(), entry=entry.settings.name)
    run.record.sent.append(sent)
    headers |= {
        "Host": HOST,
        "X-Attempt-Id": sent.id,
        "X-Deadline-Ms": str(int(sent.left_s * 1000)),
        "Authorization": f"Bearer {KEY}",
    }
    timeout = aiohttp.ClientTimeout(total=sent.left_s, sock_connect=1.0)
    run.served[sent.id] = 0
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        async with run.session.post(
            f"http://{entry.settings.callers}{path}",
            data=body,
            headers=headers,
            timeout=timeout,
        ) as response:
            await response.read()
            run.served[sent.id] = response.status


# Troubles, drawn; they overlap.


async def make_troubles(run):
    began = time.monotonic()
    drawn = sorted(
        (run.rng.uniform(TROUBLES_FROM_S, TROUBLES_TO_S), run.rng.choice(names))
        for names in [list(TROUBLES)] * run.rng.randint(3, 6)
    )
    run.faults += drawn
    async with asyncio.TaskGroup() as tasks:
        for at, name in drawn:
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            tasks.create_task(TROUBLES[name](run))


async def crash_by_themselves(run):
    end = time.monotonic() + 8.0
    while time.monotonic() < end:
        await asyncio.sleep(run.rng.expovariate(1.0))
        alive = [each for each in run.workers[:ENGINES] if not each.over]
        if alive:
            worker = run.rng.choice(alive)
            await worker.stop()
            worker.ended()


async def fail_runs(run):
    share = run.rng.choice((0.3, 0.6, 0.9))
    failure = run.rng.choice(
        (WorkerFault.FAIL, WorkerFault.SHED, WorkerFault.CUT, WorkerFault.RESET)
    )
    for worker in run.workers:
        worker.share, worker.failure = share, failure
    await asyncio.sleep(run.rng.uniform(3.0, 8.0))
    for worker in run.workers:
        worker.share = 0.0


async def ask_for_rest(run):
    for _ in range(4):
        workers = run.rng.sample(run.workers, run.rng.randint(1, 5))
        for worker in workers:
            worker.fault, worker.rest = WorkerFault.SHED, str(REST_S)
        await asyncio.sleep(1.0)
        for worker in workers:
            worker.fault, worker.rest = WorkerFault.NONE, ""


async def hang(run):
    workers = run.rng.sample(run.workers, 3)
    for worker in workers:
        worker.fault = WorkerFault.HANG
    await asyncio.sleep(run.rng.uniform(1.0, 4.0))
    for worker in workers:
        worker.fault = WorkerFault.NONE


async def burst(run):
    async with asyncio.TaskGroup() as tasks:
        for _ in range(50):
            tasks.create_task(send_plain(run))
            tasks.create_task(send_chat(run))


async def restart(run, number, sent_signal, down_s):
    old = run.entries[number]
    if old.process.pid in run.ending:
        return  # Another trouble starts it again.
    run.ending.add(old.process.pid)
    with run.disturbance(run.name_of(number)):
        with contextlib.suppress(ProcessLookupError):
            old.process.send_signal(sent_signal)
            old.process.send_signal(signal.SIGCONT)
        await old.process.wait()
        await asyncio.sleep(down_s)
        run.entries[number] = await old.start_again()


async def kill_one(run):
    number = run.rng.randrange(len(run.entries))
    await restart(run, number, signal.SIGKILL, run.rng.uniform(0.0, 2.0))


async def kill_all(run):
    async with asyncio.TaskGroup() as tasks:
        for number in range(len(run.entries)):
            tasks.create_task(restart(run, number, signal.SIGKILL, 0.3))


async def stop_one(run):
    number = run.rng.randrange(len(run.entries))
    await restart(run, number, signal.SIGTERM, 0.3)


async def freeze_one(run):
    number = run.rng.randrange(len(run.entries))
    with run.disturbance(run.name_of(number)):
        await freeze(run.entries[number].process, run.rng.uniform(0.5, 4.0))


async def cut_from_workers(run):
    """Cuts some entries from all workers; they stay in touch."""
    kind = run.rng.choice((Cut.REFUSED, Cut.SILENT))
    count = run.rng.randint(1, len(run.entries) - 1)
    names = run.rng.sample([e.settings.name for e in run.entries], count)
    since = time.monotonic()
    run.ways |= dict.fromkeys(names, kind)
    run.tunnels.apply_cuts()
    await asyncio.sleep(run.rng.uniform(2.0, 8.0))
    for name in names:
        run.ways.pop(name, None)
    run.tunnels.apply_cuts()
    now = time.monotonic()
    run.record.cuts += [
        (name, worker.id, since, now)
        for name in names
        for worker in (*run.workers, *run.ended_workers)
    ]


async def cut_from_peer(run):
    """Cuts the way of one entry to others, not the way back."""
    number = run.rng.randrange(len(run.entries))
    name = run.name_of(number)
    others = [peer for peer, each in run.peers.items() if each != name]
    cut = run.rng.sample(others, run.rng.randint(1, len(others)))
    kind = run.rng.choice((Cut.REFUSED, Cut.SILENT))
    run.ways |= {(name, peer): kind for peer in cut}
    run.tunnels.apply_cuts()
    await asyncio.sleep(run.rng.uniform(2.0, 8.0))
    for peer in cut:
        run.ways.pop((name, peer), None)
    run.tunnels.apply_cuts()


async def cut_from_store(run):
    number = run.rng.randrange(len(run.entries))
    kind = run.rng.choice((PathFault.SILENT, PathFault.RESET))
    with run.disturbance(run.name_of(number)):
        run.paths[number].set(kind)
        await asyncio.sleep(run.rng.uniform(1.0, 5.0))
        run.paths[number].set(PathFault.NONE)


async def lose_store(run):
    fault = run.rng.choice((StoreFault.BUSY, StoreFault.SILENT))
    with run.disturbance(*(each.settings.name for each in run.entries)):
        run.site.store.set_fault(fault)
        await asyncio.sleep(run.rng.uniform(1.0, 4.0))
        run.site.store.set_fault(StoreFault.NONE)


TROUBLES = {
    each.__name__: each
    for each in (
        crash_by_themselves,
        fail_runs,
        ask_for_rest,
        hang,
        burst,
        kill_one,
        kill_all,
        stop_one,
        freeze_one,
        cut_from_workers,
        cut_from_peer,
        cut_from_store,
        lose_store,
    )
}


async def limit_core(run, number, share):
    """Lets an entry use a share of a core, by stopping it in between."""
    used, since = None, time.monotonic()
    while True:
        await asyncio.sleep(SHARE_INTERVAL_S)
        process = run.entries[number].process
        if process.pid in run.ending or process.returncode is not None:
            used = None
            continue
        now, total = time.monotonic(), processor_s(process.pid)
        if used is None or now - since > 0.1:
            used, since = total, now
        over_s = (total - used) - share * (now - since)
        if over_s > 0.005:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(min(0.1, over_s / share))
                process.send_signal(signal.SIGCONT)
            used, since = processor_s(process.pid), time.monotonic()


def processor_s(pid):
    """Returns the processor time of a process in seconds, 0 if it is gone."""
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        return 0.0
    return int(text.split()[0]) / 1e9
