"""Baselines for fairness: FIFO and deficit round-robin.

Both have the interface of `dispatch.fairness.TokenCounterQueue`.
"""

from __future__ import annotations

import collections

import attrs

from rattanpier._internal.dispatch.fairness import Entry

JOB_QUANTUM = 4  # Jobs of a visit, times the share, as in the paper.
COST_QUANTUM = 500.0  # Cost of a visit, times the share.


@attrs.define
class FifoQueue:
    """Serves requests in the order of arrival."""

    entries: collections.deque[Entry] = attrs.Factory(collections.deque)

    def push(self, entry: Entry) -> None:
        """Adds a request."""
        self.entries.append(entry)

    def pop(self) -> Entry | None:
        """Takes the oldest request."""
        return self.entries.popleft() if self.entries else None

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Does nothing: FIFO keeps no account."""


@attrs.define
class DeficitQueue:
    """Deficit round-robin over workspaces.

    After "Preventing Tenant Starvation with Weighted Queues": a rotation of
    the tenants with work, and a quantum of work by share at each visit. With
    `by_cost` the quantum is cost, and real costs are charged to the deficit;
    without it the quantum is jobs, as in the paper.
    """

    by_cost: bool
    waiting: dict[str, collections.deque[Entry]] = attrs.Factory(dict)
    rotation: collections.deque[str] = attrs.Factory(collections.deque)
    deficit: dict[str, float] = attrs.Factory(dict)

    def push(self, entry: Entry) -> None:
        """Adds a request; a new workspace joins the rotation's end."""
        name = entry.workspace
        if name not in self.waiting:
            self.waiting[name] = collections.deque()
            self.rotation.append(name)
            self.deficit[name] = min(0.0, self.deficit.get(name, 0.0))
        self.waiting[name].append(entry)

    def pop(self) -> Entry | None:
        """Takes a request of the workspace whose turn it is."""
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
        """Gives the workspace whose turn begins its quantum."""
        name = self.rotation[0]
        quantum = COST_QUANTUM if self.by_cost else JOB_QUANTUM
        self.deficit[name] += quantum * self.waiting[name][0].share

    def pop_first(self, name: str, price: float) -> Entry:
        """Takes the workspace's first request."""
        self.deficit[name] -= price
        entry = self.waiting[name].popleft()
        if not self.waiting[name]:
            del self.waiting[name]
            self.rotation.popleft()
            if self.rotation:
                self.add_quantum()
        return entry

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Corrects the deficit by what a request really cost."""
        if self.by_cost:
            self.deficit[workspace] = self.deficit.get(workspace, 0.0) - cost
