"""Health checks of upstream workers, shared by the entries.

Workers that leave or do not answer are excluded from new requests. Each worker
is probed by two entries, so that the number of probes an entry sends does not
grow with the fleet. An entry applies its own findings at once and sends them
to its peers by notices. A silent worker is used again after a successful probe.
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
# Entries that probe one worker, and that read the list of VMs.
ENTRIES_PER_WORKER = 2
VM_LIST_INTERVAL_S = 1.0  # Between reads of the list of VMs.
REMINDER_INTERVAL_S = 10.0  # Between notices that a worker still is down.
# An exclusion without reminders ends after this time.
EXCLUSION_TTL_S = 30.0
# Sequence numbers kept for each live process and each exclusion.
MAX_SEQUENCES_PER_ORIGIN = 4

ReadVms = Callable[[], Awaitable[list[Vm]]]


@attrs.define
class Workers:
    """Tracks which workers are excluded; a collection of their names.

    Attributes:
      configuration: Returns the configuration in force.
      probe: Returns whether the worker at a base address answers.
      spawn: Runs a task.
      read_vms: Returns the VMs that the platform lists; None without such a
        list.
      exclusions: Workers that are leaving or silent, as this entry knows them.
      checking: Names of workers with a probe in progress.
      listed_leaving: Workers listed as leaving when this entry last read the
        list.
      sequence: Sequence number of the last notice sent.
      last_sequences: Highest sequence number applied, by worker and origin;
        older notices are ignored.
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
        """Creates the collection of exclusions."""
        self.exclusions = WorkerExclusions(self.configuration)

    # Collection of excluded workers.

    def __contains__(self, name: object) -> bool:
        """Returns whether a worker is excluded from new requests."""
        return name in self.exclusions

    def leaving(self) -> list[str]:
        """Returns the workers listed as leaving, without the silent ones."""
        return [name for name in self if self.exclusions.is_leaving(name)]

    def __iter__(self) -> Iterator[str]:
        """Iterates over the names of the excluded workers."""
        return iter(self.exclusions)

    def __len__(self) -> int:
        """Returns the number of excluded workers."""
        return len(self.exclusions)

    # Failures seen by dispatch.

    def record_failure(self, name: str, error: Exception) -> None:
        """Records that a request to a worker failed.

        A failed connection excludes the worker at once; any other network
        error or a timeout causes a probe.
        """
        cause = error.__cause__
        if isinstance(cause, aiohttp.ClientConnectorError):
            self.suspect(name)
        elif isinstance(cause, aiohttp.ClientError | TimeoutError):
            self.check_soon(name)

    def check_soon(self, name: str) -> None:
        """Probes a worker now, unless a probe is in progress."""
        worker = self.exclusions.find(name)
        if worker is not None and name not in self.checking:
            self.checking.add(name)
            self.spawn(self.check(name, worker))

    # Probes.

    async def run(self, kernel: Kernel) -> None:
        """Probes the workers assigned to this entry until shutdown."""
        while not kernel.stopping.is_set():
            # Without reminders an exclusion expires and the worker is used.
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
        """Probes a worker, twice if need be, and publishes the result."""
        try:
            # A second probe, since a single answer may be late or lost.
            alive = await self.probe(worker.url) or await self.probe(worker.url)
        finally:
            self.checking.discard(name)
        if alive:
            self.readmit(name, ExclusionReason.SILENT)
        else:
            self.suspect(name)

    # The platform's list of VMs.

    async def follow_vms(self, kernel: Kernel) -> None:
        """Reads the list of VMs until shutdown, while assigned to do so."""
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
        """Applies the platform's list of VMs."""
        leaving = {vm.address for vm in vms if vm.state is VmState.LEAVING}
        listed = {
            name
            for name, worker in self.exclusions.workers()
            if addresses(worker) & leaving
        }
        for name in sorted(listed):
            self.exclude(name, ExclusionReason.LEAVING)
        # Only workers that this entry itself saw listed: a peer may have read
        # a newer list.
        for name in sorted(self.listed_leaving - listed):
            self.readmit(name, ExclusionReason.LEAVING)
        self.listed_leaving = listed

    # Changes, and notices to and from peers.

    def suspect(self, name: str) -> None:
        """Excludes a worker that does not answer, unless it is leaving."""
        exclusion = self.exclusions.get(name)
        if exclusion is None or exclusion.reason is not ExclusionReason.LEAVING:
            self.exclude(name, ExclusionReason.SILENT)

    def exclude(self, name: str, reason: ExclusionReason) -> None:
        """Excludes a worker and notifies peers, with periodic reminders."""
        now = self.clock.monotonic()
        exclusion = self.exclusions.get(name)
        if (
            exclusion is None
            or exclusion.reason is not reason
            or exclusion.url != self.exclusions.url_of(name)
        ):
            exclusion = self.exclusions.add(name, reason, now, now)
            self.metrics.count(f"workers.absent.{reason.value}")
            log.warning(
                "Worker excluded from new requests.", worker=name, why=reason
            )
        exclusion.confirmed_at = now
        if now - exclusion.announced_at >= REMINDER_INTERVAL_S:
            exclusion.announced_at = now
            self.announce(name, down=True, reason=reason)

    def readmit(self, name: str, reason: ExclusionReason) -> None:
        """Removes an exclusion with this reason and notifies peers."""
        exclusion = self.exclusions.get(name)
        if exclusion is None or exclusion.reason is not reason:
            return
        self.exclusions.remove(name)
        self.metrics.count(f"workers.back.{reason.value}")
        log.info("Worker in use again.", worker=name)
        self.announce(name, down=False, reason=reason)

    def announce(self, name: str, down: bool, reason: ExclusionReason) -> None:
        """Notifies peers of a change."""
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
        """Applies a notice of a peer and forwards it if it is new."""
        body = notice.worker
        known = self.exclusions.find(body.worker) is not None
        last_sequence = self.last_sequences.get((body.worker, body.origin), 0)
        if not known or body.sequence <= last_sequence:
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
            # The origin has notified the peers already.
            added.announced_at = now
        else:
            exclusion.confirmed_at = now
        self.members.notify_neighbours(notice)

    def forget_old_origins(self) -> None:
        """Drops sequence numbers of processes that are no longer live."""
        live = {item.incarnation for item in self.members.live.value.values()}
        origins = len(live) + len(self.exclusions.exclusions)
        if len(self.last_sequences) > MAX_SEQUENCES_PER_ORIGIN * origins:
            self.last_sequences = {
                key: number
                for key, number in self.last_sequences.items()
                if key[1] in live
            }
