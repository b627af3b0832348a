"""Upstream workers that must get nothing new: leaving, or not answering.

Each worker is probed by two entries, so that an entry's share of the probes
does not grow with the fleet. What one entry finds narrows its own choice at
once and is spread to the others by notices. A worker comes back by a probe.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator

import aiohttp
import attrs
import structlog

from rattanpier._internal.exceptions import PlatformUnavailableError
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.exclusions import (
    ExclusionReason,
    WorkerExclusions,
)
from rattanpier._internal.membership.members import Members
from rattanpier._internal.membership.ring import owners, ring_order
from rattanpier._internal.membership.worker_probe import (
    ProbeWorker,
    addresses,
)
from rattanpier._internal.models.configuration import Configuration, Worker
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.store.vms import Vm, VmState
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="workers")

PROBE_INTERVAL_S = 0.8  # Between two probes of one worker by one entry.
ENTRIES_PER_WORKER = (
    2  # Entries that probe one worker, and that read the VM list.
)
VM_LIST_INTERVAL_S = 1.0  # Between reads of the VM list.
REMINDER_INTERVAL_S = 10.0  # Between notices that a worker still is down.
EXCLUSION_TTL_S = 30.0  # A worker of which nobody reminds is tried again.
MAX_SEQUENCES_PER_ORIGIN = (
    4  # Notice numbers, for each live process and absence.
)

ReadVms = Callable[[], Awaitable[list[Vm]]]


@attrs.define
class Workers:
    """Which workers get nothing new; a collection of their names.

    Attributes:
      configuration: Returns the configuration in force.
      probe: Says whether the worker at a base address answers.
      spawn: Runs a task.
      read_vms: Returns the platform's list, or None if there is none.
      exclusions: Workers that are leaving or silent.
      checking: Workers that are being probed out of turn.
      listed: Workers that were leaving when the list was last read here.
      sequence: Number of the last notice sent.
      heard: The latest notice's number, by worker and origin.
    """

    configuration: Callable[[], Configuration]
    members: Members
    clock: Clock
    metrics: Metrics
    probe: ProbeWorker
    spawn: Callable[..., asyncio.Task]
    read_vms: ReadVms | None = None
    checking: set[str] = attrs.Factory(set)
    listed_leaving: set[str] = attrs.Factory(set)
    sequence: int = 0
    last_sequences: dict[tuple[str, str], int] = attrs.Factory(dict)
    exclusions: WorkerExclusions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Puts the parts together."""
        self.exclusions = WorkerExclusions(self.configuration)

    # The choice of a worker.

    def __contains__(self, name: object) -> bool:
        """Says whether a worker gets nothing new."""
        return name in self.exclusions

    def leaving(self) -> list[str]:
        """Returns the workers that leave; not those that seem silent."""
        return [name for name in self if self.exclusions.is_leaving(name)]

    def __iter__(self) -> Iterator[str]:
        """Iterates over the workers that get nothing new."""
        return iter(self.exclusions)

    def __len__(self) -> int:
        """Returns how many workers get nothing new."""
        return len(self.exclusions)

    # What dispatch sees.

    def record_failure(self, name: str, error: Exception) -> None:
        """Takes in that a request to a worker failed."""
        cause = error.__cause__
        if isinstance(cause, aiohttp.ClientConnectorError):
            self.suspect(name)
        elif isinstance(cause, aiohttp.ClientError | TimeoutError):
            self.check_soon(name)

    def check_soon(self, name: str) -> None:
        """Probes a worker out of turn."""
        worker = self.exclusions.find(name)
        if worker is not None and name not in self.checking:
            self.checking.add(name)
            self.spawn(self.check(name, worker))

    # Probes.

    async def run(self, kernel: Kernel) -> None:
        """Probes this entry's share of the workers until the end."""
        while not kernel.stopping.is_set():
            # Workers of which nobody reminded are tried again.
            self.exclusions.expire(self.clock.monotonic() - EXCLUSION_TTL_S)
            for name, worker in self.assigned_workers():
                if name not in self.checking:
                    self.checking.add(name)
                    self.spawn(self.check(name, worker))
            await self.clock.sleep(PROBE_INTERVAL_S)

    def assigned_workers(self) -> list[tuple[str, Worker]]:
        """Returns the workers that this entry probes."""
        ring = self.ring_of_entries()
        me = self.members.me.name
        return [
            (name, worker)
            for name, worker in self.exclusions.workers()
            if me in owners(name, ring, ENTRIES_PER_WORKER)
        ]

    def ring_of_entries(self) -> list[tuple[int, str]]:
        """Returns the entries in ring order."""
        return ring_order(member.name for member in self.members.entries())

    async def check(self, name: str, worker: Worker) -> None:
        """Probes a worker, twice if need be, and tells what was found."""
        try:
            # A second probe, since one answer may be late or lost.
            alive = await self.probe(worker.url) or await self.probe(worker.url)
        finally:
            self.checking.discard(name)
        if alive:
            self.readmit(name, ExclusionReason.SILENT)
        else:
            self.suspect(name)

    # The platform's list.

    async def follow_vms(self, kernel: Kernel) -> None:
        """Reads the list of VMs until the end, if it is this entry's turn."""
        assert self.read_vms is not None
        while not kernel.stopping.is_set():
            readers = owners("vms", self.ring_of_entries(), ENTRIES_PER_WORKER)
            if self.members.me.name in readers:
                try:
                    self.apply_vms(await self.read_vms())
                except PlatformUnavailableError:
                    self.metrics.count("workers.retry.vms_down")
            await self.clock.sleep(VM_LIST_INTERVAL_S)

    def apply_vms(self, vms: list[Vm]) -> None:
        """Takes in the platform's list."""
        leaving = {vm.address for vm in vms if vm.state is VmState.LEAVING}
        listed = {
            name
            for name, worker in self.exclusions.workers()
            if addresses(worker) & leaving
        }
        for name in sorted(listed):
            self.exclude(name, ExclusionReason.LEAVING)
        # Only what this entry read itself: a peer may have a newer list.
        for name in sorted(self.listed_leaving - listed):
            self.readmit(name, ExclusionReason.LEAVING)
        self.listed_leaving = listed

    # Changes, and the others.

    def suspect(self, name: str) -> None:
        """Leaves out a worker that does not answer."""
        exclusion = self.exclusions.get(name)
        if exclusion is None or exclusion.reason is not ExclusionReason.LEAVING:
            self.exclude(name, ExclusionReason.SILENT)

    def exclude(self, name: str, reason: ExclusionReason) -> None:
        """Leaves out a worker and tells the others, now and then again."""
        now = self.clock.monotonic()
        exclusion = self.exclusions.get(name)
        if (
            exclusion is None
            or exclusion.reason is not reason
            or exclusion.url != self.exclusions.url_of(name)
        ):
            exclusion = self.exclusions.add(name, reason, now, now)
            self.metrics.count(f"workers.absent.{reason.value}")
            log.warning("Worker gets nothing new.", worker=name, why=reason)
        exclusion.confirmed_at = now
        if now - exclusion.announced_at >= REMINDER_INTERVAL_S:
            exclusion.announced_at = now
            self.announce(name, down=True, reason=reason)

    def readmit(self, name: str, reason: ExclusionReason) -> None:
        """Takes a worker into use again and tells the others."""
        exclusion = self.exclusions.get(name)
        if exclusion is None or exclusion.reason is not reason:
            return
        self.exclusions.remove(name)
        self.metrics.count(f"workers.back.{reason.value}")
        log.info("Worker is back.", worker=name)
        self.announce(name, down=False, reason=reason)

    def announce(self, name: str, down: bool, reason: ExclusionReason) -> None:
        """Tells the others of a change."""
        self.sequence += 1
        notice = peer_pb2.WorkerNotice(
            worker=name,
            origin=self.members.me.incarnation,
            sequence=self.sequence,
            down=down,
            reason=reason.value,
        )
        self.last_sequences[name, notice.origin] = self.sequence
        self.members.notify_neighbours(peer_pb2.Notice(worker=notice))

    def apply_notice(self, notice: peer_pb2.Notice) -> None:
        """Takes in what a peer found, and passes it on."""
        body = notice.worker
        known = self.exclusions.find(body.worker) is not None
        heard = self.last_sequences.get((body.worker, body.origin), 0)
        if not known or body.sequence <= heard:
            return
        self.last_sequences[body.worker, body.origin] = body.sequence
        self.forget_old_origins()
        now = self.clock.monotonic()
        reason = ExclusionReason(body.reason)
        exclusion = self.exclusions.get(body.worker)
        if not body.down:
            if exclusion is not None and exclusion.reason is reason:
                self.exclusions.remove(body.worker)
        elif exclusion is None or reason is ExclusionReason.LEAVING:
            since = exclusion.since if exclusion else now
            added = self.exclusions.add(body.worker, reason, since, now)
            # The origin told the others.
            added.announced_at = now
        else:
            exclusion.confirmed_at = now
        self.members.notify_neighbours(notice)

    def forget_old_origins(self) -> None:
        """Drops numbers of processes that are gone."""
        live = {item.incarnation for item in self.members.live.value.values()}
        origins = len(live) + len(self.exclusions.exclusions)
        if len(self.last_sequences) > MAX_SEQUENCES_PER_ORIGIN * origins:
            self.last_sequences = {
                key: number
                for key, number in self.last_sequences.items()
                if key[1] in live
            }
