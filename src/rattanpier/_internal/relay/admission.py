"""Queue of an entry for requests whose eligible workers are all full.

Free of I/O. The order is by priority, then by the workspace with the lowest
virtual token counter, then by deadline. A request that can't be answered in
time at the measured drain rate is refused immediately, so that its caller can
ask again; the same rule sheds queued requests. Nothing is queued while any
worker that a request may be sent to has room.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Iterator

import attrs
import structlog

from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.placement.drain_rate import (
    DRAIN_SAMPLE_S,
    find_unservable,
)
from rattanpier._internal.placement.fair_queue import (
    QueuedRequest,
)
from rattanpier._internal.placement.worker_room import NoRoom
from rattanpier._internal.relay.drain import leaving_refusal
from rattanpier._internal.relay.load import InFlight
from rattanpier._internal.relay.placement import Choice
from rattanpier._internal.relay.service_queue import (
    UNQUEUED,
    ServiceQueue,
    Waiter,
    next_head,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="admission")

# Requests queued for one service. Each holds its body in memory, and the rule
# for what can't be in time walks the queue.
MAX_QUEUED = 256
# Queued requests that are passed over because none of their workers has room,
# before the rest of the queue is left for the next time.
MAX_PASSED_OVER = 8
MIN_RETRY_AFTER_S = 0.05
# Share of `Retry-After` that is taken off at random, so that callers refused at
# the same moment do not return together.
RETRY_JITTER = 0.4
MAX_RETRY_SHARE = 1 / 3  # Of the time left; callers honor no more.


@attrs.define(eq=False, repr=False)
class EntryAdmission:
    """Queues of one entry, by service.

    Attributes:
      clock: Source of monotonic time.
      rng: Source of the jitter of `Retry-After`.
      metrics: Counters, timings and the length of the queues.
      open_share: Returns the share of a service's workers that have room; 1 if
        it has none.
      services: Queue and usage of each service.
      stopping: Whether the entry is stopping, so that nothing is queued.
      others_serve: Returns whether another entry is offered to callers.
      releasing: Whether `release_all` is called periodically.
      shed_at: When requests were last shed, in monotonic seconds.
    """

    clock: Clock
    rng: random.Random
    metrics: Metrics
    open_share: Callable[[str], float] = lambda _service: 1.0
    services: dict[str, ServiceQueue] = attrs.Factory(
        lambda: collections.defaultdict(ServiceQueue)
    )
    stopping: bool = False
    others_serve: Callable[[], bool] = lambda: True
    releasing: bool = False
    shed_at: float = 0.0

    # Usage.

    def record_sent(
        self, service: str, flight: InFlight, queued: bool = False
    ) -> None:
        """Records that a request is sent, and charges its workspace.

        Args:
          service: Service that it is sent to.
          flight: The request.
          queued: Whether it was queued.
        """
        state = self.services[service]
        flight.began_at = self.clock.monotonic()
        if state.size and not queued:
            state.record_arrival(*UNQUEUED, flight.cost, flight.began_at)
        state.running += 1
        state.running_cost += flight.cost
        state.charge(flight.workspace, flight.cost, flight.began_at)

    def record_ended(self, service: str, flight: InFlight) -> None:
        """Records that a request ended; what did not run is not charged."""
        state = self.services[service]
        now = self.clock.monotonic()
        state.running -= 1
        state.running_cost -= flight.cost
        if flight.not_run:
            before = state.counters.get(flight.workspace, 0.0)
            state.counters[flight.workspace] = max(0.0, before - flight.cost)
        else:
            state.record_ended(flight.cost, now - flight.began_at, now)
        self.release(service)

    # Queueing.

    def queued(self) -> int:
        """Returns the number of queued requests of all services."""
        return sum(state.size for state in self.services.values())

    def is_empty(self, service: str) -> bool:
        """Returns whether no request is queued for a service."""
        state = self.services.get(service)
        return state is None or not state.size

    def enqueue(self, waiter: Waiter) -> QueuedRequest[Waiter] | Refusal:
        """Queues a request, or returns why it is refused immediately."""
        demand = waiter.demand
        state = self.services[demand.service]
        now = self.clock.monotonic()
        self.metrics.count(f"relay.full.{waiter.no_room.limit.value}")
        if self.stopping:
            return self.refuse(
                waiter, now, leaving_refusal(self.others_serve())
            )
        if state.size >= MAX_QUEUED:
            return self.refuse(waiter, now, self.full_refusal(state, waiter))
        if not state.size:
            state.start_measuring(demand.cost, now)
        state.record_arrival(
            demand.priority, demand.workspace, demand.cost, now
        )
        queued = state.push(waiter)
        late = list(self.find_late(state, now))
        for each in late:
            state.remove(each)
        for each in late:
            if each is not queued:
                self.shed_one(state, each, now)
        self.update_length()
        if queued in late:
            return self.refuse(waiter, now, self.full_refusal(state, waiter))
        self.metrics.count("relay.queued")
        log.info(
            "Queued.",
            request=demand.request_id,
            service=demand.service,
            workspace=demand.workspace,
            priority=demand.priority,
            limit=waiter.no_room.limit.value,
            queued=state.size,
            drain_rate=round(state.drain.rate, 1),
            report_age_s=rounded(waiter.no_room.report_age_s),
            left_s=round(demand.deadline - now, 3),
        )
        return queued

    def remove(self, queued: QueuedRequest[Waiter]) -> None:
        """Removes a request whose caller left."""
        self.services[queued.item.demand.service].remove(queued)
        self.metrics.count("relay.queue_left")
        self.update_length()

    def release(self, service: str) -> None:
        """Sends queued requests for which a worker has room, in order."""
        state = self.services.get(service)
        if state is None or not state.size:
            return
        share = self.open_share(service)
        state.add_credit(share, self.clock.monotonic())
        if not share:
            return
        passed_over: set[QueuedRequest[Waiter]] = set()
        while state.credit > 0 and len(passed_over) < MAX_PASSED_OVER:
            queued = next_head(state, passed_over)
            if queued is None:
                break
            if self.clock.monotonic() > queued.item.demand.latest_start:
                state.remove(queued)
                self.shed_one(state, queued, self.clock.monotonic())
                continue
            found = queued.item.find()
            if isinstance(found, NoRoom):
                passed_over.add(queued)
                continue
            state.remove(queued)
            if found is not None:
                state.credit -= queued.cost
                self.record_released(state, queued.item, found)
            queued.item.resolve(found)
        self.update_length()

    def release_all(self) -> None:
        """Releases and sheds requests of all services."""
        for service in list(self.services):
            self.release(service)
        if self.clock.monotonic() - self.shed_at >= DRAIN_SAMPLE_S:
            self.shed()

    def record_released(
        self, state: ServiceQueue, waiter: Waiter, choice: Choice
    ) -> None:
        """Records that a request leaves the queue for a worker."""
        waited_s = self.clock.monotonic() - waiter.since
        self.metrics.count("relay.queue_admitted")
        self.metrics.timing("relay.queue_wait_s", waited_s)
        log.info(
            "Left the queue.",
            request=waiter.demand.request_id,
            service=waiter.demand.service,
            workspace=waiter.demand.workspace,
            worker=choice.worker.id,
            queued=state.size,
            waited_s=round(waited_s, 3),
        )

    # Refusals.

    def find_late(
        self, state: ServiceQueue, now: float
    ) -> Iterator[QueuedRequest[Waiter]]:
        """Yields the requests that can't be answered in time."""
        before = 0.0
        for queue in state.in_order_of_priority():
            late = list(
                find_unservable(
                    queue,
                    lambda queued, cost: state.wait_s(queued, cost, now),
                    lambda waiter: waiter.demand.latest_start,
                    now,
                    before,
                )
            )
            yield from late
            before += queue.cost - sum(each.cost for each in late)

    def shed(self) -> None:
        """Refuses queued requests that can't be answered in time any more."""
        now = self.shed_at = self.clock.monotonic()
        for state in self.services.values():
            if not state.size:
                continue
            state.measure(0.0, now)
            late = list(self.find_late(state, now))
            for queued in late:
                state.remove(queued)
            for queued in late:
                self.shed_one(state, queued, now)
        self.update_length()

    def shed_one(
        self, state: ServiceQueue, queued: QueuedRequest[Waiter], now: float
    ) -> None:
        """Refuses a request that was queued and has been removed."""
        self.metrics.count("relay.queue_shed")
        refusal = self.full_refusal(state, queued.item)
        queued.item.resolve(self.refuse(queued.item, now, refusal))

    def stop(self) -> None:
        """Refuses all queued requests, and further ones from now on."""
        self.stopping = True
        now = self.clock.monotonic()
        for state in self.services.values():
            for queue in state.in_order_of_priority():
                for queued in [
                    each for row in queue.waiting.values() for each in row
                ]:
                    state.remove(queued)
                    refusal = leaving_refusal(self.others_serve())
                    queued.item.resolve(self.refuse(queued.item, now, refusal))
        self.update_length()

    def refuse(self, waiter: Waiter, now: float, refusal: Refusal) -> Refusal:
        """Records a refusal and returns it."""
        demand = waiter.demand
        state = self.services[demand.service]
        self.metrics.count("relay.queue_refused")
        log.info(
            "Refused by the queue.",
            request=demand.request_id,
            service=demand.service,
            workspace=demand.workspace,
            priority=demand.priority,
            code=refusal.code.value,
            limit=waiter.no_room.limit.value,
            queued=state.size,
            drain_rate=round(state.drain.rate, 1),
            report_age_s=rounded(waiter.no_room.report_age_s),
            waited_s=round(now - waiter.since, 3),
            left_s=round(demand.deadline - now, 3),
            retry_after_s=rounded(refusal.retry_after_s),
        )
        return refusal

    def full_refusal(self, state: ServiceQueue, waiter: Waiter) -> Refusal:
        """Returns the refusal of a request that can't be in time."""
        left_s = waiter.demand.deadline - self.clock.monotonic()
        wait_s = state.drain.wait_s(state.cost + waiter.demand.cost)
        retry_s = min(MAX_RETRY_SHARE * left_s, max(MIN_RETRY_AFTER_S, wait_s))
        retry_s *= 1.0 - RETRY_JITTER * self.rng.random()
        limit = waiter.no_room.limit.value
        return Refusal(
            RefusalCode.QUEUE_FULL,
            f"all workers are full: {limit}, {state.size} queued",
            True,
            max(0.0, retry_s),
        )

    def update_length(self) -> None:
        """Exports the number of queued requests."""
        self.metrics.gauge("relay.queue_length", self.queued())


def rounded(value: float | None) -> float | None:
    """Returns a number of seconds rounded for a log line.

    >>> rounded(0.12345), rounded(None)
    (0.123, None)
    """
    return None if value is None else round(value, 3)
