"""What a worker has room for now, by the constraint that is binding.

Free of I/O. A worker counts as full only by evidence: it just refused a request
as full, more requests are in flight there than it runs and queues, or their
tokens would exceed its key-value cache. Own requests count immediately; those
of peers count by the worker's last report, whose weight decays with its age. A
worker whose load is unknown therefore has room.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Sequence

import attrs

from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.models.route_table import EngineSpec
from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.load import Loads, WorkerLoad, report_weight
from rattanpier._internal.utils.record import Record
from rattanpier._internal.utils.samples import DecayingSum

REFUSED_FULL_S = 0.2  # A plain request takes about 0.1 s.
# Queued requests are sent one by one to a worker that refused a request within
# this time and has not reported room since: a whole queue would be refused, and
# each request may be sent only a few times.
CAUTION_S = 2.0
PROBE_INTERVAL_S = 0.05  # Between two such requests.
# Requests that may wait at a worker, per slot. An engine orders its own queue
# by priority, so that waiting there is no worse than waiting at an entry.
QUEUE_PER_SLOT = 2
TOKENS_HALF_LIFE_S = 10.0
# Age up to which a figure keeps its weight: queue lengths are published every
# 0.5 s and are 0.1 s old then.
FRESH_S = 0.7
# Requests in flight per slot from which a service counts as contended.
CONTENDED_PER_SLOT = 2.0
MIN_CONTENDED_SHARE = 0.25  # Of a service's workers.
CONTENTION_CHECK_S = 0.25  # Looking at 45 workers takes about 0.1 ms.


class RoomLimit(enum.StrEnum):
    """Constraint by which a worker is full."""

    REFUSED = "refused"
    SLOTS = "slots"
    KV_CACHE = "kv_cache"


@attrs.frozen(eq=False, repr=False)
class NoRoom(Record):
    """Why all workers that are eligible for a request are full.

    Attributes:
      limit: Constraint of the first worker.
      report_age_s: Age of the latest load report of any of them, in seconds;
        None if there is none.
    """

    limit: RoomLimit
    report_age_s: float | None


def request_tokens(request: RelayRequest) -> int:
    """Returns the tokens that a request occupies in a key-value cache."""
    return request.prompt.tokens + request.prompt.expected_output


@attrs.define(eq=False, repr=False)
class WorkerRooms:
    """Free capacity of all workers, as far as this entry knows.

    Attributes:
      loads: Load of each worker.
      engine_of: Returns the properties of a service's engines; None for plain
        services.
      full_until: Until when a worker that refused a request counts as full, in
        monotonic seconds, by worker id; until it reports room.
      freed: How many more of this entry's requests have ended at such a worker
        than queued ones were sent there since, by worker id.
      contended: When `is_contended` was last computed, in monotonic seconds,
        and its result, by service.
      tokens: Tokens of this entry's requests, by service.
    """

    loads: Loads
    engine_of: Callable[[str], EngineSpec | None] = lambda _service: None
    full_until: dict[str, float] = attrs.Factory(dict)
    freed: dict[str, int] = attrs.Factory(dict)
    contended: dict[str, tuple[float, bool]] = attrs.Factory(dict)
    tokens: dict[str, DecayingSum] = attrs.Factory(dict)

    # What workers say.

    def record_refusal(self, worker: RegisteredWorker) -> None:
        """Records that a worker refused a request as full."""
        now = self.loads.clock.monotonic()
        self.full_until[worker.id] = now + REFUSED_FULL_S
        self.freed[worker.id] = 0

    def record_answer(
        self, worker: RegisteredWorker, report: ReportedLoad | None
    ) -> None:
        """Records that a worker answered a request.

        Args:
          worker: The worker.
          report: The load that it reported with its answer, or None.
        """
        if worker.id in self.full_until and is_below_slots(worker, report):
            self.forget(worker.id)

    def record_ended(self, worker: RegisteredWorker) -> None:
        """Records that a worker ended a request that it ran."""
        if worker.id in self.freed:
            self.freed[worker.id] += 1

    def record_release(self, worker: RegisteredWorker) -> None:
        """Records that a queued request is sent to a worker."""
        freed = self.freed.get(worker.id)
        if freed is None:
            return
        if freed:
            self.freed[worker.id] = freed - 1
        else:
            now = self.loads.clock.monotonic()
            self.full_until[worker.id] = now + PROBE_INTERVAL_S

    def record_sent(self, service: str, tokens: int) -> None:
        """Records the tokens of a request that is sent to a service."""
        if tokens:
            now = self.loads.clock.monotonic()
            if service not in self.tokens:
                self.tokens[service] = DecayingSum(TOKENS_HALF_LIFE_S)
            self.tokens[service].add(tokens, now)

    def forget(self, worker: str) -> None:
        """Forgets a worker that was deregistered, by its id."""
        self.full_until.pop(worker, None)
        self.freed.pop(worker, None)

    # What there is room for.

    def limit_of(
        self, worker: RegisteredWorker, tokens: int = 0
    ) -> RoomLimit | None:
        """Returns by which constraint a worker is full; None if it has room.

        Args:
          worker: The worker.
          tokens: Tokens that the request occupies in its key-value cache.
        """
        now = self.loads.clock.monotonic()
        if now < self.full_until.get(worker.id, -math.inf):
            return RoomLimit.REFUSED
        load = self.loads.workers.get(worker.id)
        if load is None:
            return None
        if in_flight_per_slot(worker, load, now) >= 1 + QUEUE_PER_SLOT:
            return RoomLimit.SLOTS
        if tokens and self.exceeds_cache(worker, load, tokens, now):
            return RoomLimit.KV_CACHE
        return None

    def exceeds_cache(
        self,
        worker: RegisteredWorker,
        load: WorkerLoad,
        tokens: int,
        now: float,
    ) -> bool:
        """Returns whether tokens in flight would exceed a key-value cache.

        Requests of peers are assumed to be as long as those of this entry.

        Args:
          worker: The worker.
          load: Its load.
          tokens: Tokens of the request to send.
          now: Monotonic seconds.
        """
        engine = self.engine_of(worker.service)
        if engine is None or not engine.kv_tokens:
            return False
        used = load.tokens
        known = self.tokens.get(worker.service)
        if known is not None:
            used += fresh_peer_requests(load, now)[0] * known.mean(0.0)
        return used + tokens > engine.kv_tokens

    def has_room(self, worker: RegisteredWorker, tokens: int = 0) -> bool:
        """Returns whether a worker has room for a request of some tokens."""
        return self.limit_of(worker, tokens) is None

    def may_release(self, worker: RegisteredWorker, tokens: int) -> bool:
        """Returns whether a queued request may be sent to a worker.

        A worker that refused a request gets one for each that ends there, or
        one at a time if this entry has none there.
        """
        if not self.has_room(worker, tokens):
            return False
        freed = self.freed.get(worker.id)
        if freed is None or freed:
            return True
        now = self.loads.clock.monotonic()
        if now - self.full_until[worker.id] >= CAUTION_S:
            return True
        return not self.loads.workers[worker.id].running

    def open_workers(
        self, workers: Sequence[RegisteredWorker], tokens: int, queued: bool
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that a request may be sent to.

        Args:
          workers: The workers.
          tokens: Tokens of the request.
          queued: Whether the request is queued, see `may_release`.
        """
        test = self.may_release if queued else self.has_room
        return [each for each in workers if test(each, tokens)]

    def open_share(self, workers: Sequence[RegisteredWorker]) -> float:
        """Returns the share of some workers that have room; 1 if none given."""
        if not workers:
            return 1.0
        return sum(map(self.has_room, workers)) / len(workers)

    def why_full(
        self, workers: Sequence[RegisteredWorker], tokens: int
    ) -> NoRoom:
        """Returns why a request may be sent to none of some workers."""
        limits = (self.limit_of(worker, tokens) for worker in workers)
        # A worker that may only not be used for queued requests has no limit.
        limit = next(filter(None, limits), RoomLimit.REFUSED)
        return NoRoom(limit, self.report_age_s(workers))

    def is_contended(
        self, service: str, workers: Sequence[RegisteredWorker]
    ) -> bool:
        """Returns whether as many requests wait as run at many of the workers.

        A single worker may be that full because it hangs.

        Args:
          service: The service.
          workers: Its workers.
        """
        now = self.loads.clock.monotonic()
        checked_at, contended = self.contended.get(service, (-math.inf, False))
        if now - checked_at >= CONTENTION_CHECK_S:
            loads = self.loads.workers
            count = sum(
                in_flight_per_slot(worker, loads[worker.id], now)
                >= CONTENDED_PER_SLOT
                for worker in workers
                if worker.id in loads
            )
            contended = count >= least_contended(len(workers))
            self.contended[service] = now, contended
        return contended

    def report_age_s(self, workers: Sequence[RegisteredWorker]) -> float | None:
        """Returns the age of the latest load report of some workers."""
        now = self.loads.clock.monotonic()
        loads = (self.loads.workers.get(worker.id) for worker in workers)
        ages = (
            now - load.report_at
            for load in loads
            if load is not None and load.report is not None
        )
        return min(ages, default=None)

    def cache_size(self, service: str) -> int | None:
        """Returns the tokens that a worker's cache holds; None: unknown."""
        engine = self.engine_of(service)
        return None if engine is None else engine.kv_tokens or None


def least_contended(workers: int) -> float:
    """Returns how many of a service's workers make it contended.

    >>> least_contended(1), least_contended(4), least_contended(45)
    (1.0, 2.0, 11.25)
    """
    return max(1.0, min(2.0, workers), MIN_CONTENDED_SHARE * workers)


def in_flight_per_slot(
    worker: RegisteredWorker, load: WorkerLoad, now: float
) -> float:
    """Returns how many requests are in flight at a worker, per slot.

    Args:
      worker: The worker.
      load: Its load.
      now: Monotonic seconds.
    """
    running, waiting = fresh_peer_requests(load, now)
    slots = slots_of(worker, load)
    in_flight = len(load.running) + running
    if waiting >= 1.0:
        # Requests wait only while the slots are in use.
        unread = load.count_unread()
        in_flight = max(in_flight - unread, slots) + unread + waiting
    return in_flight / slots


def fresh_peer_requests(load: WorkerLoad, now: float) -> tuple[float, float]:
    """Returns the numbers of running and waiting requests of peers.

    As `WorkerLoad.peer_requests`, but a figure loses weight only once a newer
    one should have arrived. Otherwise a full worker would seem to have room
    just before each update, to all entries at the same time.

    Args:
      load: Load of a worker.
      now: Monotonic seconds.
    """
    waiting_age_s = max(0.0, now - load.waiting_at - FRESH_S)
    waiting = load.waiting * report_weight(waiting_age_s)
    if load.report is None:
        return 0.0, waiting
    running = max(0, load.report.running - load.own_at_report)
    report_age_s = max(0.0, now - load.report_at - FRESH_S)
    return running * report_weight(report_age_s), waiting


def slots_of(worker: RegisteredWorker, load: WorkerLoad) -> int:
    """Returns the slots of a worker, by its registration or its last report.

    The larger one counts: too low a number would be no evidence.
    """
    reported = 0 if load.report is None else load.report.slots
    return max(worker.slots, reported)


def is_below_slots(
    worker: RegisteredWorker, report: ReportedLoad | None
) -> bool:
    """Returns whether a worker reported a load below its slots."""
    if report is None:
        return False
    return report.running < (report.slots or worker.slots)
