"""State that entries share, other than the states of entries."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from rattanpier._internal.placement.brittle_workers import BrittleWorkers
from rattanpier._internal.placement.drained_domains import DrainedDomains
from rattanpier._internal.placement.rate_limits import RateLimits
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.fleet import EntryState
from rattanpier._internal.relay.history import StoreHistory
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.updates import StateUpdate
from rattanpier._internal.retries.quarantine import Quarantine


@attrs.define(eq=False, repr=False)
class SharedState:
    """The parts of an entry's state that are exchanged with peers.

    Attributes:
      rollouts: Progress of roll-outs.
      quarantine: Requests under which workers crashed.
      domains: Failure domains that are drained.
      limits: Rate limits that workers announced.
      brittle: Brittle workers.
      directory: Registered workers, and those that leave or deregistered.
      history: Tracks the newest era of the store.
      table_version: Returns the version of the route table in force.
      peer_table_version: Newest table version that a peer announced, or -1.
      on_deregistered: Called with the id of each worker that peers know to be
        deregistered.
    """

    rollouts: Rollouts
    quarantine: Quarantine
    domains: DrainedDomains
    limits: RateLimits
    brittle: BrittleWorkers
    directory: WorkerDirectory
    history: StoreHistory
    table_version: Callable[[], int] = lambda: -1
    peer_table_version: int = -1
    on_deregistered: Callable[[str], None] = lambda _worker: None

    def digest(self) -> int:
        """Returns a digest that is equal on entries with the same state."""
        known = self.quarantine.digest() ^ self.domains.digest()
        known ^= self.directory.deregistrations.digest()
        known ^= self.rollouts.known_orders.digest() ^ self.rollouts.digest()
        known ^= self.brittle.reports.digest()
        return known ^ self.limits.digest() ^ self.directory.leaving_digest()

    def apply_update(self, update: StateUpdate) -> None:
        """Applies an update from a peer, except for the states of entries."""
        self.history.record_restored(update.restored)
        self.peer_table_version = max(
            self.peer_table_version, update.table_version
        )
        self.rollouts.apply_unconfirmed(update.orders)
        for record in update.records:
            self.rollouts.apply_record(record)
        for order in update.stopped:
            self.rollouts.stop(order, "told by a peer")
        self.rollouts.sessions.apply_held(update.held)
        self.quarantine.apply_update(update.quarantine)
        self.domains.apply_peer_orders(update.drained)
        self.limits.apply_limits(update.limits)
        self.brittle.reports.apply_limits(update.brittle)
        self.brittle.apply_full(update.full)
        self.directory.apply_leaving(update.leaving)
        for worker in self.directory.apply_deregistrations(update.departed):
            self.on_deregistered(worker)

    def full_update(self, members: list[EntryState]) -> StateUpdate:
        """Returns an update with all shared state.

        Args:
          members: States of entries to include.
        """
        return StateUpdate(
            members=members,
            records=list(self.rollouts.records.values()),
            stopped=sorted(self.rollouts.stopped),
            held=self.rollouts.sessions.all_updates(),
            quarantine=self.quarantine.full_update(),
            drained=self.domains.active_orders(),
            limits=self.limits.registered_limits(),
            brittle=self.brittle.reports.registered_limits(),
            leaving=self.directory.leaving_incarnations(),
            departed=self.directory.deregistrations.disputed(),
            orders=self.rollouts.known_orders.unconfirmed(),
            table_version=self.table_version()
            if self.history.is_recent()
            else -1,
        )

    def has_older_table(self) -> bool:
        """Returns whether a peer announced a newer route table."""
        return self.table_version() < self.peer_table_version

    def has_unsummarized_state(self) -> bool:
        """Returns whether there is state that summaries do not cover."""
        held = self.quarantine.crashes or self.quarantine.cleared
        said = self.limits.reported or self.brittle.reports.reported
        said = said or self.directory.leaving_incarnations()
        disputed = self.directory.deregistrations.pending
        lost = self.rollouts.known_orders.unconfirmed()
        orders = lost or self.rollouts.records or self.rollouts.stopped
        return bool(held or said or disputed or orders or self.domains.drained)
