"""Baselines for the fairness benchmark: FIFO and deficit round-robin.

Both have the interface of `dispatch.fairness.TokenCounterQueue`.
"""

from __future__ import annotations

import collections

import attrs

from rattanpier._internal.placement.fair_queue import QueuedRequest

JOB_QUANTUM = 4  # Jobs per visit, times the share, as in the paper.
COST_QUANTUM = 500.0  # Cost per visit, times the share.


@attrs.define
class FifoQueue:
    """Serves requests in the order of arrival.

    Attributes:
      entries: Waiting requests, the oldest first.
    """

    entries: collections.deque[QueuedRequest] = attrs.Factory(collections.deque)

    def push(self, entry: QueuedRequest) -> None:
        """Adds a request."""
        self.entries.append(entry)

    def pop(self) -> QueuedRequest | None:
        """Removes and returns the oldest request; None if there is none."""
        return self.entries.popleft() if self.entries else None

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Does nothing, since FIFO does not account for costs."""


@attrs.define
class DeficitQueue:
    """Deficit round-robin over workspaces.

    Follows "Preventing Tenant Starvation with Weighted Queues": tenants with
    waiting requests are visited in rotation, and each visit adds a quantum by
    share.

    Attributes:
      by_cost: Whether the quantum is a cost and actual costs are charged to the
        deficit; otherwise the quantum is a number of jobs, as in the paper.
      waiting: Waiting requests by workspace, the oldest first.
      rotation: Workspaces with waiting requests; the first is visited.
      deficit: Remaining quantum by workspace, in jobs or cost.
    """

    by_cost: bool
    waiting: dict[str, collections.deque[QueuedRequest]] = attrs.Factory(dict)
    rotation: collections.deque[str] = attrs.Factory(collections.deque)
    deficit: dict[str, float] = attrs.Factory(dict)

    def push(self, entry: QueuedRequest) -> None:
        """Adds a request; a new workspace joins the end of the rotation."""
        name = entry.workspace
        if name not in self.waiting:
            self.waiting[name] = collections.deque()
            self.rotation.append(name)
            self.deficit[name] = min(0.0, self.deficit.get(name, 0.0))
        self.waiting[name].append(entry)

    def pop(self) -> QueuedRequest | None:
        """Removes and returns the next request; None if there is none."""
        if not self.rotation:
            return None
        while True:
            name = self.rotation[0]
            entry = self.waiting[name][0]
            price = entry.cost if self.by_cost else 1.0
            if self.deficit[name] >= price:
                return self.pop_first(name, price)
            self.rotation.rotate(-1)
            self.add_quantum()

    def add_quantum(self) -> None:
        """Adds a quantum to the workspace whose visit begins."""
        name = self.rotation[0]
        quantum = COST_QUANTUM if self.by_cost else JOB_QUANTUM
        self.deficit[name] += quantum * self.waiting[name][0].share

    def pop_first(self, name: str, price: float) -> QueuedRequest:
        """Removes and returns a workspace's first request.

        Args:
          name: Of the workspace.
          price: Jobs or cost to subtract from its deficit.
        """
        self.deficit[name] -= price
        entry = self.waiting[name].popleft()
        if not self.waiting[name]:
            del self.waiting[name]
            self.rotation.popleft()
            if self.rotation:
                self.add_quantum()
        return entry

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Corrects the deficit when the actual cost of a request is known."""
        if self.by_cost:
            self.deficit[workspace] = self.deficit.get(workspace, 0.0) - cost
