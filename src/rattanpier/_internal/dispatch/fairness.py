"""Which waiting request goes next: a virtual token counter per workspace.

Each workspace has a counter of the cost it was served, divided by its share.
The workspace with the lowest counter goes next, so one that floods the entry
waits behind its own requests and not before those of others.
"""

from __future__ import annotations

import collections
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")

OUTPUT_TOKEN_COST = 4.0  # A generated token costs about as much as 4 read ones.


def request_cost(prompt_tokens: int, output_tokens: int) -> float:
    """Returns the cost of a request in units of prompt tokens.

    >>> request_cost(100, 50)
    300.0
    """
    return prompt_tokens + OUTPUT_TOKEN_COST * output_tokens


@attrs.frozen(eq=False)
class QueuedRequest(Generic[T]):
    """Something that waits.

    Attributes:
      item: What waits.
      workspace: Whose it is.
      cost: Its estimated cost.
      share: Weight of the workspace.
    """

    item: T
    workspace: str
    cost: float
    share: float


@attrs.define
class TokenCounterQueue(Generic[T]):
    """Waiting requests of one pool, fair between workspaces.

    Attributes:
      waiting: Requests of each workspace that has any, in order of arrival.
      counters: Counter of each workspace: cost served divided by share.
      min_counter: Lowest counter that a workspace may come back with.
      cost: Estimated cost of all that wait.
      size: How many wait.
    """

    waiting: dict[str, collections.deque[QueuedRequest[T]]] = attrs.Factory(
        dict
    )
    counters: dict[str, float] = attrs.Factory(dict)
    min_counter: float = 0.0
    cost: float = 0.0
    size: int = 0

    def push(self, queued: QueuedRequest[T]) -> None:
        """Adds a request behind those of its workspace."""
        name = queued.workspace
        if name not in self.waiting:
            self.waiting[name] = collections.deque()
            # Time spent away earns no credit against those who stayed.
            self.counters[name] = max(
                self.counters.get(name, 0.0), self.min_counter
            )
        self.waiting[name].append(queued)
        self.cost += queued.cost
        self.size += 1

    def pop(self) -> QueuedRequest[T] | None:
        """Takes the next request and charges its estimated cost."""
        if not self.waiting:
            return None
        name = min(self.waiting, key=lambda key: self.counters[key])
        self.min_counter = max(self.min_counter, self.counters[name])
        queued = self.waiting[name].popleft()
        self.subtract_from_totals(queued)
        self.charge(name, queued.cost, queued.share)
        return queued

    def remove(self, queued: QueuedRequest[T]) -> None:
        """Removes a request that no longer waits."""
        queue = self.waiting.get(queued.workspace)
        if queue is None or queued not in queue:
            return
        queue.remove(queued)
        self.subtract_from_totals(queued)

    def subtract_from_totals(self, queued: QueuedRequest[T]) -> None:
        """Takes a request that left its queue out of the sums."""
        self.cost = max(0.0, self.cost - queued.cost)
        self.size -= 1
        if not self.waiting[queued.workspace]:
            del self.waiting[queued.workspace]

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Adds to a counter; a negative cost corrects an estimate."""
        before = self.counters.get(workspace, self.min_counter)
        self.counters[workspace] = before + cost / share

    def queued(self, workspace: str) -> int:
        """Returns how many requests of a workspace wait."""
        return len(self.waiting.get(workspace, ()))
