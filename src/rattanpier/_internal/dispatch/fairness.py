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

OUTPUT_WEIGHT = 4.0  # A generated token costs about as much as 4 read ones.


def request_cost(prompt_tokens: int, output_tokens: int) -> float:
    """Returns the cost of a request in units of prompt tokens.

    >>> request_cost(100, 50)
    300.0
    """
    return prompt_tokens + OUTPUT_WEIGHT * output_tokens


@attrs.frozen(eq=False)
class Entry(Generic[T]):
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
      served: Counter of each workspace: cost served divided by share.
      floor: Lowest counter that a workspace may come back with.
      cost: Estimated cost of all that wait.
      size: How many wait.
    """

    waiting: dict[str, collections.deque[Entry[T]]] = attrs.Factory(dict)
    served: dict[str, float] = attrs.Factory(dict)
    floor: float = 0.0
    cost: float = 0.0
    size: int = 0

    def push(self, entry: Entry[T]) -> None:
        """Adds a request behind those of its workspace."""
        name = entry.workspace
        if name not in self.waiting:
            self.waiting[name] = collections.deque()
            # Time spent away earns no credit against those who stayed.
            self.served[name] = max(self.served.get(name, 0.0), self.floor)
        self.waiting[name].append(entry)
        self.cost += entry.cost
        self.size += 1

    def pop(self) -> Entry[T] | None:
        """Takes the next request and charges its estimated cost."""
        if not self.waiting:
            return None
        name = min(self.waiting, key=lambda key: self.served[key])
        self.floor = max(self.floor, self.served[name])
        entry = self.waiting[name].popleft()
        self.forget(entry)
        self.charge(name, entry.cost, entry.share)
        return entry

    def remove(self, entry: Entry[T]) -> None:
        """Removes a request that no longer waits."""
        queue = self.waiting.get(entry.workspace)
        if queue is None or entry not in queue:
            return
        queue.remove(entry)
        self.forget(entry)

    def forget(self, entry: Entry[T]) -> None:
        """Takes a request that left its queue out of the sums."""
        self.cost = max(0.0, self.cost - entry.cost)
        self.size -= 1
        if not self.waiting[entry.workspace]:
            del self.waiting[entry.workspace]

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Adds to a counter; a negative cost corrects an estimate."""
        before = self.served.get(workspace, self.floor)
        self.served[workspace] = before + cost / share

    def queued(self, workspace: str) -> int:
        """Returns how many requests of a workspace wait."""
        return len(self.waiting.get(workspace, ()))
