"""Fair queue with a virtual token counter for each workspace.

The counter of a workspace is the cost that it was served, divided by its share.
The workspace with the lowest counter is served next. A workspace that floods
the entry therefore delays its own requests, not those of others.
"""

from __future__ import annotations

import collections
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


@attrs.frozen(eq=False)
class QueuedRequest(Generic[T]):
    """A request in a queue.

    Attributes:
      item: Data of the queue's user.
      workspace: Workspace of the request.
      cost: Estimated cost in prompt tokens.
      share: Weight of the workspace.
    """

    item: T
    workspace: str
    cost: float
    share: float


@attrs.define
class TokenCounterQueue(Generic[T]):
    """Queue of the requests for one pool, fair between workspaces.

    Attributes:
      waiting: Queued requests by workspace, the oldest first; without empty
        queues.
      counters: Cost served divided by share, by workspace.
      min_counter: Minimum counter of a workspace that starts to queue again.
      cost: Total estimated cost of the queued requests.
      size: Number of queued requests.
    """

    waiting: dict[str, collections.deque[QueuedRequest[T]]] = attrs.Factory(
        dict
    )
    counters: dict[str, float] = attrs.Factory(dict)
    min_counter: float = 0.0
    cost: float = 0.0
    size: int = 0

    def push(self, queued: QueuedRequest[T]) -> None:
        """Adds a request to the end of its workspace's queue."""
        name = queued.workspace
        if name not in self.waiting:
            self.waiting[name] = collections.deque()
            # A workspace that was idle must not gain credit against the others.
            self.counters[name] = max(
                self.counters.get(name, 0.0), self.min_counter
            )
        self.waiting[name].append(queued)
        self.cost += queued.cost
        self.size += 1

    def pop(self) -> QueuedRequest[T] | None:
        """Removes and returns the next request; None if there is none.

        Its estimated cost is charged to its workspace.
        """
        if not self.waiting:
            return None
        name = min(self.waiting, key=lambda key: self.counters[key])
        self.min_counter = max(self.min_counter, self.counters[name])
        queued = self.waiting[name].popleft()
        self.subtract_from_totals(queued)
        self.charge(name, queued.cost, queued.share)
        return queued

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
