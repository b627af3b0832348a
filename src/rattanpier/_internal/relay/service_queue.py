"""Queue of one service at an entry: its order, its rates and usage.

Free of I/O. The order is by priority, then by the workspace with the lowest
virtual token counter, then by deadline.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.placement.drain_rate import (
    DRAIN_SAMPLE_S,
    DrainMeter,
)
from rattanpier._internal.placement.fair_queue import (
    QueuedRequest,
    TokenCounterQueue,
)
from rattanpier._internal.placement.worker_room import NoRoom
from rattanpier._internal.relay.placement import Choice
from rattanpier._internal.utils.record import Record
from rattanpier._internal.utils.samples import DecayingSum

COUNTER_HALF_LIFE_S = 10.0
DURATION_HALF_LIFE_S = 10.0
ARRIVAL_HALF_LIFE_S = 1.0
UNQUEUED = (-1, "")  # Ahead of every priority.
LN_2 = math.log(2.0)
# A request that is overtaken all the time is still served at this share of the
# drain rate, so that its wait is finite.
MIN_RATE_SHARE = 0.3
# A drain rate is measured over at least this many expected ends of requests:
# over fewer, it is mostly chance.
ENDS_PER_SAMPLE = 2.0
# Rate at which queued requests are sent while all workers have room, as a
# multiple of the drain rate; less while only some have room. All entries learn
# of room at the same time; if each sent its whole queue, workers would be far
# beyond full before the next reports.
RELEASE_RATIO = 3.0


@attrs.frozen(eq=False, repr=False)
class Demand(Record):
    """What the queue needs to know of a request.

    Attributes:
      request_id: Id of the request.
      service: Service that it is sent to.
      workspace: Name of its workspace, or empty.
      priority: Priority, 0 is the highest.
      cost: Cost in prompt tokens, see `fair_queue.request_cost`.
      latest_start: When it has to be sent to be answered in time, in monotonic
        seconds.
      deadline: When its caller or route times out, in monotonic seconds.
    """

    request_id: str
    service: str
    workspace: str
    priority: int
    cost: float
    latest_start: float
    deadline: float


@attrs.frozen(eq=False, repr=False)
class Waiter:
    """A request that is queued.

    Attributes:
      demand: What the queue needs to know of it.
      no_room: Why it is queued.
      since: When it was queued, in monotonic seconds.
      find: Returns the worker that has room for it, why there is none, or None
        if no worker is eligible any more.
      resolve: Called once with the worker, the refusal, or None if no worker is
        eligible any more.
    """

    demand: Demand
    no_room: NoRoom
    since: float
    find: Callable[[], Choice | NoRoom | None]
    resolve: Callable[[Choice | Refusal | None], None]


@attrs.define(eq=False, repr=False)
class ServiceQueue:
    """Queue and usage of one service.

    Attributes:
      counters: Decaying cost that was sent, by workspace.
      decayed_at: When the counters last decayed, in monotonic seconds.
      classes: Queue of each priority.
      arrivals: Cost that arrived while requests were queued, by priority and
        workspace; under `UNQUEUED` if it was sent without being queued.
      formed_at: When the queue formed, in monotonic seconds.
      drain: Rate at which this entry's requests end; measured while any are
        queued.
      credit: Cost that may be released now; negative after a large request.
      credit_at: When it was last updated, in monotonic seconds.
      running: Number of this entry's requests in flight.
      running_cost: Their cost.
      ended_cost: Cost of requests that ended.
      ended_cost_s: Their costs, each multiplied by its seconds.
      ended_s: Seconds of requests that ended.
    """

    counters: dict[str, float] = attrs.Factory(dict)
    decayed_at: float = 0.0
    classes: dict[int, TokenCounterQueue[Waiter]] = attrs.Factory(dict)
    arrivals: dict[tuple[int, str], DecayingSum] = attrs.Factory(dict)
    formed_at: float = 0.0
    drain: DrainMeter = attrs.Factory(DrainMeter)
    credit: float = 0.0
    credit_at: float = 0.0
    running: int = 0
    running_cost: float = 0.0
    ended_cost: DecayingSum = attrs.Factory(
        lambda: DecayingSum(DURATION_HALF_LIFE_S)
    )
    ended_cost_s: DecayingSum = attrs.Factory(
        lambda: DecayingSum(DURATION_HALF_LIFE_S)
    )
    ended_s: DecayingSum = attrs.Factory(
        lambda: DecayingSum(DURATION_HALF_LIFE_S)
    )

    @property
    def size(self) -> int:
        """Number of queued requests."""
        return sum(queue.size for queue in self.classes.values())

    @property
    def cost(self) -> float:
        """Cost of the queued requests."""
        return sum(queue.cost for queue in self.classes.values())

    def in_order_of_priority(self) -> list[TokenCounterQueue[Waiter]]:
        """Returns the queues that are not empty, most urgent first."""
        queues = (self.classes[each] for each in sorted(self.classes))
        return [queue for queue in queues if queue.size]

    def push(self, waiter: Waiter) -> QueuedRequest[Waiter]:
        """Adds a request to the queue of its priority."""
        demand = waiter.demand
        queue = self.classes.get(demand.priority)
        if queue is None:
            queue = TokenCounterQueue(
                counters=self.counters, limits_credit=False
            )
            self.classes[demand.priority] = queue
        queued = QueuedRequest(
            waiter, demand.workspace, demand.cost, rank=demand.deadline
        )
        queue.push(queued)
        return queued

    def remove(self, queued: QueuedRequest[Waiter]) -> None:
        """Removes a request from the queue, if it is queued."""
        self.classes[queued.item.demand.priority].remove(queued)

    def charge(self, workspace: str, cost: float, now: float) -> None:
        """Adds a cost to a workspace's counter."""
        elapsed = now - self.decayed_at
        if elapsed >= DRAIN_SAMPLE_S:
            factor = 0.5 ** (elapsed / COUNTER_HALF_LIFE_S)
            for name in self.counters:
                self.counters[name] *= factor
            self.decayed_at = now
        self.counters[workspace] = self.counters.get(workspace, 0.0) + cost

    def typical_s(self) -> float:
        """Returns the mean seconds of a request; 0 until one has ended."""
        ended = self.ended_s
        return ended.total / ended.weight if ended.weight else 0.0

    def record_ended(self, cost: float, seconds: float, now: float) -> None:
        """Records the cost and the duration of a request that a worker ran."""
        self.ended_cost.add(cost, now)
        self.ended_cost_s.add(cost * seconds, now)
        self.ended_s.add(seconds, now)
        if self.size:
            self.measure(cost, now)

    def start_measuring(self, cost: float, now: float) -> None:
        """Starts the measurement of the drain rate when a queue forms.

        Before, requests end as fast as they arrive, which is less than workers
        can do. By Little's law, the rate is the cost in flight divided by the
        time that it takes; at least one request is assumed to be in flight.

        Args:
          cost: Cost of the first queued request.
          now: Monotonic seconds.
        """
        total_s = self.ended_cost_s.total
        rate = 0.0
        if total_s > 0:
            rate = (
                max(cost, self.running_cost) * self.ended_cost.total / total_s
            )
        self.drain = DrainMeter(rate=rate, since=now)
        self.credit, self.credit_at = 0.0, now
        self.arrivals.clear()
        self.formed_at = now

    def record_arrival(
        self, priority: int, workspace: str, cost: float, now: float
    ) -> None:
        """Records a request that arrives while requests are queued."""
        key = priority, workspace
        if key not in self.arrivals:
            self.arrivals[key] = DecayingSum(ARRIVAL_HALF_LIFE_S)
        self.arrivals[key].add(cost, now)

    def overtaking_rate(
        self, queued: QueuedRequest[Waiter], now: float
    ) -> float:
        """Returns the cost per second that arrives and overtakes a request.

        That is the cost of more urgent requests, of workspaces that were
        served less, and of requests that are sent without being queued.
        """
        priority, workspace = queued.item.demand.priority, queued.workspace
        counter = self.counters.get(workspace, 0.0)
        total = 0.0
        for (other, name), arrived in self.arrivals.items():
            if other > priority or (other == priority and name == workspace):
                continue
            if other < priority or self.counters.get(name, 0.0) < counter:
                arrived.decay(now)
                total += arrived.total
        age_s = max(DRAIN_SAMPLE_S, now - self.formed_at)
        seen = 1.0 - 0.5 ** (age_s / ARRIVAL_HALF_LIFE_S)
        return total * LN_2 / (ARRIVAL_HALF_LIFE_S * seen)

    def wait_s(
        self, queued: QueuedRequest[Waiter], cost: float, now: float
    ) -> float:
        """Returns the seconds until a request is expected to be sent.

        Args:
          queued: The request.
          cost: Cost that is served up to its end.
          now: Monotonic seconds.
        """
        if not self.drain.rate:
            return 0.0
        left = self.drain.rate - self.overtaking_rate(queued, now)
        return cost / max(MIN_RATE_SHARE * self.drain.rate, left)

    def add_credit(self, open_share: float, now: float) -> None:
        """Adds the cost that may be released since the last call.

        While the drain rate is unknown, one request may be released at a time.

        Args:
          open_share: Share of the workers that have room.
          now: Monotonic seconds.
        """
        rate = RELEASE_RATIO * self.drain.rate * open_share
        self.credit += rate * (now - self.credit_at)
        self.credit = min(self.credit, rate * DRAIN_SAMPLE_S)
        self.credit_at = now
        if not rate:
            self.credit = 1.0

    def measure(self, cost: float, now: float) -> None:
        """Updates the drain rate, once enough requests should have ended."""
        gap_s = self.typical_s() / max(1, self.running)
        if now - self.drain.since < ENDS_PER_SAMPLE * gap_s:
            self.drain.finished += cost
        else:
            self.drain.add(cost, now)


def next_head(
    state: ServiceQueue, passed_over: set[QueuedRequest[Waiter]]
) -> QueuedRequest[Waiter] | None:
    """Returns the request that is served next; None if none is left.

    Args:
      state: Queue and usage of the service.
      passed_over: Requests that no worker has room for. Later requests of the
        same workspace and priority are passed over as well.
    """
    for queue in state.in_order_of_priority():
        for queued in queue.heads():
            if queued not in passed_over:
                return queued
    return None
