"""Entries before full workers, in virtual time and without a network.

Dispatch is the real one; connections to workers are replaced by simulated
workers with slots and a queue of their own.
"""

import asyncio
import contextlib
import heapq
import itertools
import random

import attrs

from rattanpier._internal.models.policy import DEFAULT_POLICY
from rattanpier._internal.models.relay_answer import (
    AnswerChunk,
    AnswerRefused,
    AnswerTruncated,
    CompleteAnswer,
)
from rattanpier._internal.models.relay_request import Prompt, PromptPart
from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.models.route_table import EngineSpec, Workspace
from rattanpier._internal.models.upstream_request import (
    AnswerHead,
    ReportedLoad,
)
from rattanpier._internal.placement.brittle_workers import BrittleWorkers
from rattanpier._internal.placement.eligibility import (
    TRIED,
    Condition,
    untried,
)
from rattanpier._internal.placement.worker_room import WorkerRooms
from rattanpier._internal.relay.admission import EntryAdmission
from rattanpier._internal.relay.answering import answer
from rattanpier._internal.relay.budgets import ServiceRetryBudgets
from rattanpier._internal.relay.crash_checks import CrashChecks
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.dispatch import Dispatcher
from rattanpier._internal.relay.exchange import SendError
from rattanpier._internal.relay.exposure import ExposureBound
from rattanpier._internal.relay.forwarding import Forwarder
from rattanpier._internal.relay.health import Health
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.model_groups import ModelGroups
from rattanpier._internal.relay.model_timings import ModelTimings
from rattanpier._internal.relay.placement import Chooser
from rattanpier._internal.relay.prompt_updates import MIN_PUBLISHED_READ_S
from rattanpier._internal.relay.reachability import Reachability
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.slow_readers import HeldBytes
from rattanpier._internal.relay.termination_checks import TerminationChecks
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.relay_parts import make_request, make_route, make_workers
from tests.lib.virtual import LoopClock
from tests.lib.warm_fleet import make_fleet

QUEUE_NEWS_S = 0.5  # Interval at which entries hear of waiting requests.


class Engine:
    """A worker with slots; further requests wait there or are refused.

    `queue` is the number of requests that may wait; None for any number. More
    urgent requests go first.
    """

    def __init__(self, worker, queue=None):
        self.worker = worker
        self.queue = queue
        self.running = 0
        self.waiting = []
        self.order = itertools.count()
        self.runs = {}
        self.refused = set()
        self.most_waiting = 0

    def waits(self):
        return sum(not place.done() for _, _, place in self.waiting)

    def load(self):
        return ReportedLoad(self.running, self.waits(), self.worker.slots)

    async def enter(self, id, urgency):
        """Waits for a slot; raises if the request is refused."""
        if self.running < self.worker.slots:
            self.running += 1
        elif self.queue is not None and self.waits() >= self.queue:
            self.refused.add(id)
            raise SendError("worker refused with 503", not_run=True)
        else:
            place = asyncio.get_running_loop().create_future()
            item = (urgency or 0, next(self.order), place)
            heapq.heappush(self.waiting, item)
            self.most_waiting = max(self.most_waiting, self.waits())
            try:
                await place
            except asyncio.CancelledError:
                if place.done() and not place.cancelled():
                    self.leave()
                raise
        self.runs[id] = self.runs.get(id, 0) + 1

    def leave(self):
        """Frees a slot, or hands it to the next request that waits."""
        while self.waiting:
            _, _, place = heapq.heappop(self.waiting)
            if not place.done():
                place.set_result(None)
                return
        self.running -= 1


@attrs.define(eq=False)
class SimulatedAnswer:
    """An answer; its body arrives `rest_s` after its head."""

    head: AnswerHead
    rest_s: float
    deadline: float

    def unread_size(self):
        return 0

    async def read_all(self, _max_bytes, _held):
        return b"".join([piece async for piece in self.pieces()])

    async def pieces(self):
        async with asyncio.timeout_at(self.deadline):
            await asyncio.sleep(self.rest_s)
        yield b"id: 1\ndata: all\n\n"


@attrs.define(eq=False)
class SimulatedSender:
    """Takes requests to simulated workers."""

    engines: dict
    loads: Loads
    rooms: WorkerRooms
    work_s: object
    reports: bool = True

    @contextlib.asynccontextmanager
    async def send(self, request, sending, deadline):
        engine = self.engines[sending.worker.id]
        try:
            async with asyncio.timeout_at(deadline):
                await engine.enter(request.id, sending.urgency)
        except SendError:
            self.report(engine)
            self.rooms.record_refusal(engine.worker)
            raise
        try:
            work_s = self.work_s(request)
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(0.1 * work_s)
            self.report(engine)
            self.rooms.record_answer(engine.worker, self.load(engine))
            head = AnswerHead(200, (), request.id, "receipt")
            yield SimulatedAnswer(head, 0.9 * work_s, deadline)
        finally:
            engine.leave()

    def load(self, engine):
        return engine.load() if self.reports else None

    def report(self, engine):
        self.loads.record_report(engine.worker.id, self.load(engine))


@attrs.define(eq=False)
class Result:
    """A request and how it ended."""

    id: str
    workspace: str
    priority: int
    at: float
    ended_at: float = -1.0
    outcome: str = "cut off"
    refusal: object = None

    @property
    def served(self):
        return self.outcome == "served"

    @property
    def took_s(self):
        return self.ended_at - self.at


@attrs.define(eq=False)
class FullFleet:
    """Entries and workers of one service.

    Attributes:
      policy: Mechanisms that are on.
      work_s: Returns the seconds of work of a request.
      reports: Whether workers report their load with answers.
      kv_tokens: Size of a worker's cache; 0: unknown.
    """

    policy: object = DEFAULT_POLICY
    work_s: object = lambda _request: 1.0
    reports: bool = True
    kv_tokens: int = 0
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    clock: LoopClock = attrs.Factory(LoopClock)
    engines: dict = attrs.Factory(dict)
    entries: list = attrs.Factory(list)
    results: list = attrs.Factory(list)
    tasks: set = attrs.Factory(set)
    ids: object = attrs.Factory(itertools.count)

    def add_workers(self, count, slots, queue=None):
        for worker in make_workers(count, slots=slots):
            self.engines[worker.id] = Engine(worker, queue)

    def add_entries(self, count):
        for number in range(count):
            self.entries.append(self.make_entry(number, count))

    def make_entry(self, number, count):
        clock, rng = self.clock, random.Random(number)
        directory = WorkerDirectory(clock)
        for engine in self.engines.values():
            directory.put(engine.worker)
        loads, metrics = Loads(clock), Metrics()
        slots = next(iter(self.engines.values())).worker.slots
        spec = EngineSpec(slots, self.kv_tokens) if self.kv_tokens else None
        rooms = WorkerRooms(loads, lambda _service: spec)
        fleet = make_fleet(number, range(count), clock)
        reachability = Reachability(
            clock, directory.accepting_workers, lambda: ["s"], rng
        )

        def open_share(service):
            return rooms.open_share(directory.accepting_workers(service))

        def publish(id, _model, _prompt, read_s):
            if read_s < MIN_PUBLISHED_READ_S:
                return
            for entry in self.entries:
                if entry.loads is not loads:
                    entry.loads.apply_peer_prompt(id, read_s)

        terminations = TerminationChecks(clock, 3.6)
        quarantine = Quarantine(clock)
        return Dispatcher(
            clock=clock,
            metrics=metrics,
            directory=directory,
            health=Health(clock),
            loads=loads,
            chooser=Chooser(
                loads, "a", rng, ModelTimings(clock), ModelGroups(clock)
            ),
            sender=SimulatedSender(
                self.engines, loads, rooms, self.work_s, self.reports
            ),
            terminations=terminations,
            crashes=CrashChecks(clock, terminations, quarantine, metrics),
            reachability=reachability,
            forwarder=Forwarder(fleet, reachability, None, clock, metrics, rng),
            conditions=(Condition(TRIED, untried),),
            available_in_s=lambda _worker: 0.0,
            on_request_started=lambda _worker: None,
            limits=None,
            backoffs=None,
            brittle=BrittleWorkers(
                fleet, clock, directory.accepting_workers, lambda _id: 0
            ),
            quarantine=quarantine,
            rollouts=Rollouts(ExposureBound(0.15, 30.0), 5.0, clock),
            budgets=ServiceRetryBudgets(
                Bounds(retry_ratio=0.9), lambda: count, clock
            ),
            rooms=rooms,
            admission=EntryAdmission(clock, rng, metrics, open_share),
            policy=self.policy,
            publish_prompt=publish,
        )

    # Load.

    async def share_queues(self, entries=None):
        """Tells entries of waiting requests, as `QueueWatch` does."""
        while True:
            await asyncio.sleep(QUEUE_NEWS_S)
            waits = {id: each.waits() for id, each in self.engines.items()}
            for entry in self.entries if entries is None else entries:
                for id, waiting in waits.items():
                    entry.loads.workers[id].record_waiting(
                        waiting, self.clock.monotonic() - 0.1
                    )

    async def arrive(self, per_s, seconds, make, entries=None):
        """Sends random requests, each to a random entry."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            if loop.time() >= end:
                return
            self.start(make(), self.rng.choice(entries or self.entries))

    def start(self, request, entry):
        task = asyncio.ensure_future(self.ask(request, entry))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def make(self, workspace, priority=5, timeout_s=4.0, tokens=0, **route):
        """Returns a request that arrives now."""
        now = self.clock.monotonic()
        prompt = Prompt()
        if tokens:
            shared = PromptPart(f"{self.rng.randrange(400)}", tokens // 2)
            own = PromptPart(f"own {now}", tokens - tokens // 2)
            prompt = Prompt(tokens, 100, (shared, own))
        fields = {
            "streaming": True,
            "resumable": True,
            "priority": priority,
            "timeout_s": timeout_s,
            "objective_s": timeout_s,
        }
        return make_request(
            f"r{next(self.ids)}",
            route=make_route(**{**fields, **route}),
            workspace=Workspace(workspace),
            arrived=now,
            deadline=now + timeout_s,
            prompt=prompt,
        )

    async def ask(self, request, entry):
        result = Result(
            request.id,
            request.workspace.name,
            request.priority,
            request.arrived,
        )
        self.results.append(result)
        try:
            await self.read_answer(request, entry, result)
        finally:
            result.ended_at = self.clock.monotonic()

    async def read_answer(self, request, entry, result):
        async with contextlib.aclosing(
            answer(entry, request, HeldBytes())
        ) as parts:
            async for part in parts:
                match part:
                    case AnswerRefused(refusal, status):
                        result.outcome = str(status)
                        result.refusal = refusal
                    case AnswerTruncated():
                        result.outcome = "cut off"
                    case CompleteAnswer() | AnswerChunk():
                        result.outcome = "served"

    # What was seen.

    def runs_of(self, id):
        return sum(each.runs.get(id, 0) for each in self.engines.values())

    def queued(self):
        return sum(entry.admission.queued() for entry in self.entries)

    def in_flight(self):
        return sum(
            len(load.running)
            for entry in self.entries
            for load in entry.loads.workers.values()
        )

    def refused(self):
        return [each for each in self.results if each.outcome == "503"]


def served_share(results):
    results = list(results)
    return sum(each.served for each in results) / max(1, len(results))
