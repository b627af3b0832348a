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
from rattanpier._internal.relay.load import Loads, WorkerLoad
from rattanpier._internal.utils.samples import DecayingSum

REFUSED_FULL_S = 0.2  # A plain request takes about 0.1 s.
# Time between requests to a worker that refused one as full and has not yet
# reported room. Without it, a whole queue would be sent there and be refused.
PROBE_INTERVAL_S = 0.05
# Requests that may wait at a worker, per slot. An engine orders its own queue
# by priority, so that waiting there is no worse than waiting at an entry.
QUEUE_PER_SLOT = 2
TOKENS_HALF_LIFE_S = 10.0


class RoomLimit(enum.StrEnum):
    """Constraint by which a worker is full."""

    REFUSED = "refused"
    SLOTS = "slots"
    KV_CACHE = "kv_cache"


@attrs.frozen
class NoRoom:
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
        monotonic seconds, by worker id. Kept until it accepts requests again.
      tokens: Tokens of this entry's requests, by service.
    """

    loads: Loads
    engine_of: Callable[[str], EngineSpec | None] = lambda _service: None
    full_until: dict[str, float] = attrs.Factory(dict)
    tokens: dict[str, DecayingSum] = attrs.Factory(dict)

    # What workers say.

    def record_refusal(self, worker: RegisteredWorker) -> None:
        """Records that a worker refused a request as full."""
        now = self.loads.clock.monotonic()
        self.full_until[worker.id] = now + REFUSED_FULL_S

    def record_answer(
        self, worker: RegisteredWorker, report: ReportedLoad | None
    ) -> None:
        """Records that a worker answered a request.

        Args:
          worker: The worker.
          report: The load that it reported with its answer, or None.
        """
        until = self.full_until.get(worker.id)
        if until is None:
            return
        if self.loads.clock.monotonic() >= until or is_below_slots(
            worker, report
        ):
            del self.full_until[worker.id]

    def record_probe(self, worker: RegisteredWorker) -> None:
        """Records that a queued request is sent to a worker.

        If the worker refused a request and has not reported room since, the
        next one follows after `PROBE_INTERVAL_S`.
        """
        if worker.id in self.full_until:
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
        running, waiting = load.peer_requests(now)
        in_flight = len(load.running) + running + waiting
        if in_flight >= (1 + QUEUE_PER_SLOT) * slots_of(worker, load):
            return RoomLimit.SLOTS
        if tokens and self.exceeds_cache(worker, load, running, tokens):
            return RoomLimit.KV_CACHE
        return None

    def exceeds_cache(
        self,
        worker: RegisteredWorker,
        load: WorkerLoad,
        peers_running: float,
        tokens: int,
    ) -> bool:
        """Returns whether tokens in flight would exceed a key-value cache.

        Requests of peers are assumed to be as long as those of this entry.

        Args:
          worker: The worker.
          load: Its load.
          peers_running: Number of peers' requests that it runs.
          tokens: Tokens of the request to send.
        """
        engine = self.engine_of(worker.service)
        if engine is None or not engine.kv_tokens:
            return False
        used = load.tokens
        known = self.tokens.get(worker.service)
        if known is not None:
            used += peers_running * known.mean(0.0)
        return used + tokens > engine.kv_tokens

    def has_room(self, worker: RegisteredWorker, tokens: int = 0) -> bool:
        """Returns whether a worker has room for a request of some tokens."""
        return self.limit_of(worker, tokens) is None

    def open_workers(
        self, workers: Sequence[RegisteredWorker], tokens: int
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that have room for a request of some tokens."""
        return [each for each in workers if self.has_room(each, tokens)]

    def why_full(
        self, workers: Sequence[RegisteredWorker], tokens: int
    ) -> NoRoom | None:
        """Returns why none of some workers has room; None if one has."""
        first = None
        for worker in workers:
            limit = self.limit_of(worker, tokens)
            if limit is None:
                return None
            first = first or limit
        if first is None:
            return None
        return NoRoom(first, self.report_age_s(workers))

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
