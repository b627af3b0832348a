"""Fair queue with a virtual token counter for each workspace.

The counter of a workspace is the cost that it was served, divided by its share.
The workspace with the lowest counter is served next. A workspace that floods
the entry therefore delays its own requests, not those of others.
"""

from __future__ import annotations

import bisect
import collections
import heapq
from collections.abc import Callable, Iterator, Sequence
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")

# A generated token costs about as much as 4 prompt tokens.
OUTPUT_TOKEN_COST = 4.0


def request_cost(prompt_tokens: int, output_tokens: int) -> float:
    """Returns the cost of a request in units of prompt tokens.

    >>> request_cost(100, 50)
    300.0
    """
    return prompt_tokens + OUTPUT_TOKEN_COST * output_tokens


@attrs.frozen(eq=False, repr=False)
class QueuedRequest(Generic[T]):
    """A request in a queue.

    Attributes:
      item: Data of the queue's user.
      workspace: Workspace of the request.
      cost: Estimated cost in prompt tokens.
      share: Weight of the workspace.
      rank: Position among the requests of its workspace: the lowest is served
        first, and of equal ones the oldest.
    """

    item: T
    workspace: str
    cost: float
    share: float = 1.0
    rank: float = 0.0


@attrs.define(eq=False, repr=False)
class TokenCounterQueue(Generic[T]):
    """Queue of the requests for one pool, fair between workspaces.

    Attributes:
      waiting: Queued requests by workspace, the next one first; without empty
        queues.
      counters: Cost served divided by share, by workspace. Queues of several
        priorities may have the same.
      limits_credit: Whether a workspace that was idle starts at `min_counter`.
        Not needed where counters decay, which ends its credit as well.
      min_counter: Minimum counter of a workspace that starts to queue again.
      cost: Total estimated cost of the queued requests.
      size: Number of queued requests.
    """

    waiting: dict[str, collections.deque[QueuedRequest[T]]] = attrs.Factory(
        dict
    )
    counters: dict[str, float] = attrs.Factory(dict)
    limits_credit: bool = True
    min_counter: float = 0.0
    cost: float = 0.0
    size: int = 0

    def push(self, queued: QueuedRequest[T]) -> None:
        """Adds a request to its workspace's queue, in the order of ranks."""
        name = queued.workspace
        if name not in self.waiting:
            self.waiting[name] = collections.deque()
            # A workspace that was idle must not gain credit against the others.
            self.counters[name] = max(
                self.counters.get(name, 0.0), self.min_counter
            )
        bisect.insort(self.waiting[name], queued, key=lambda each: each.rank)
        self.cost += queued.cost
        self.size += 1

    def pop(self) -> QueuedRequest[T] | None:
        """Removes and returns the next request; None if there is none.

        Its estimated cost is charged to its workspace.
        """
        heads = self.heads()
        if not heads:
            return None
        self.take(heads[0])
        return heads[0]

    def heads(self) -> list[QueuedRequest[T]]:
        """Returns the next request of each workspace, in order of service."""
        names = sorted(self.waiting, key=lambda name: self.counters[name])
        return [self.waiting[name][0] for name in names]

    def take(self, head: QueuedRequest[T]) -> None:
        """Removes one of `heads` and charges its estimated cost."""
        name = head.workspace
        if self.limits_credit:
            self.min_counter = max(self.min_counter, self.counters[name])
        self.waiting[name].popleft()
        self.subtract_from_totals(head)
        self.charge(name, head.cost, head.share)

    def remove(self, queued: QueuedRequest[T]) -> None:
        """Removes a request; does nothing if it is not queued any more."""
        queue = self.waiting.get(queued.workspace)
        if queue is None or queued not in queue:
            return
        queue.remove(queued)
        self.subtract_from_totals(queued)

    def subtract_from_totals(self, queued: QueuedRequest[T]) -> None:
        """Subtracts a removed request from the totals."""
        self.cost = max(0.0, self.cost - queued.cost)
        self.size -= 1
        if not self.waiting[queued.workspace]:
            del self.waiting[queued.workspace]

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Adds a cost to a workspace's counter.

        Args:
          workspace: Workspace to charge.
          cost: Cost in prompt tokens; negative to correct an estimate that was
            too high.
          share: Weight of the workspace.
        """
        before = self.counters.get(workspace, self.min_counter)
        self.counters[workspace] = before + cost / share

    def queued(self, workspace: str) -> int:
        """Returns the number of queued requests of a workspace."""
        return len(self.waiting.get(workspace, ()))

    def in_order(
        self,
        skips: Callable[[QueuedRequest[T], float], bool],
        cost_before: float = 0.0,
        added: QueuedRequest[T] | None = None,
    ) -> Iterator[tuple[QueuedRequest[T], float]]:
        """Yields the requests in the order in which they will be served.

        Requests that arrive later are not considered. The queue must not be
        changed meanwhile.

        Args:
          skips: Returns whether a request will not be served, given the cost
            up to its end; its cost then does not count for those after it.
          cost_before: Cost that is served before the first one.
          added: A further request that is not in the queue.

        Yields:
          Each request, and the cost served up to its end.
        """
        rows: dict[str, Sequence[QueuedRequest[T]]] = dict(self.waiting)
        counters = dict(self.counters)
        if added is not None:
            name = added.workspace
            row = list(rows.get(name, ()))
            bisect.insort(row, added, key=lambda each: each.rank)
            rows[name] = row
            counters.setdefault(name, self.min_counter)
        heap = [(counters[name], name, 0) for name in rows]
        heapq.heapify(heap)
        done = cost_before
        while heap:
            counter, name, index = heap[0]
            queued = rows[name][index]
            cost = done + queued.cost
            if not skips(queued, cost):
                done = cost
                counter += queued.cost / queued.share
            yield queued, cost
            if index + 1 < len(rows[name]):
                heapq.heapreplace(heap, (counter, name, index + 1))
            else:
                heapq.heappop(heap)
