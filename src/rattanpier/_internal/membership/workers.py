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
from rattanpier._internal.membership.absences import Absences, Reason
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

PROBE_S = 0.8  # Between two probes of one worker by one entry.
PROBERS = 2  # Entries that probe one worker, and that read the VM list.
VMS_S = 1.0  # Between reads of the VM list.
REMIND_S = 10.0  # Between notices that a worker still is down.
EXPIRE_S = 30.0  # A worker of which nobody reminds is tried again.
KEPT_PER_ORIGIN = 4  # Notice numbers, for each live process and absence.

ReadVms = Callable[[], Awaitable[list[Vm]]]


@attrs.define
class Workers:
    """Which workers get nothing new; a collection of their names.

    Attributes:
      configuration: Returns the configuration in force.
      probe: Says whether the worker at a base address answers.
      spawn: Runs a task.
      read_vms: Returns the platform's list, or None if there is none.
      absences: Workers that are leaving or silent.
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
    listed: set[str] = attrs.Factory(set)
    sequence: int = 0
    heard: dict[tuple[str, str], int] = attrs.Factory(dict)
    absences: Absences = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Puts the parts together."""
        self.absences = Absences(self.configuration)

    # The choice of a worker.

    def __contains__(self, name: object) -> bool:
        """Says whether a worker gets nothing new."""
        return name in self.absences

    def announced(self) -> list[str]:
        """Returns the workers that leave; not those that seem silent."""
        return [name for name in self if self.absences.is_leaving(name)]

    def __iter__(self) -> Iterator[str]:
        """Iterates over the workers that get nothing new."""
        return iter(self.absences)

    def __len__(self) -> int:
        """Returns how many workers get nothing new."""
        return len(self.absences)

    # What dispatch sees.

    def note_failure(self, name: str, error: Exception) -> None:
        """Takes in that a request to a worker failed."""
        cause = error.__cause__
        if isinstance(cause, aiohttp.ClientConnectorError):
            self.suspect(name)
        elif isinstance(cause, aiohttp.ClientError | TimeoutError):
            self.check_soon(name)

    def check_soon(self, name: str) -> None:
        """Probes a worker out of turn."""
        worker = self.absences.find(name)
        if worker is not None and name not in self.checking:
            self.checking.add(name)
            self.spawn(self.check(name, worker))

    # Probes.

    async def run(self, kernel: Kernel) -> None:
        """Probes this entry's share of the workers until the end."""
        while not kernel.stopping.is_set():
            # Workers of which nobody reminded are tried again.
            self.absences.expire(self.clock.monotonic() - EXPIRE_S)
            for name, worker in self.share():
                if name not in self.checking:
                    self.checking.add(name)
                    self.spawn(self.check(name, worker))
            await self.clock.sleep(PROBE_S)

    def share(self) -> list[tuple[str, Worker]]:
        """Returns the workers that this entry probes."""
        ring = self.entry_ring()
        me = self.members.me.name
        return [
            (name, worker)
            for name, worker in self.absences.workers()
            if me in owners(name, ring, PROBERS)
        ]

    def entry_ring(self) -> list[tuple[int, str]]:
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
            self.clear(name, Reason.SILENT)
        else:
            self.suspect(name)

    # The platform's list.

    async def follow_vms(self, kernel: Kernel) -> None:
        """Reads the list of VMs until the end, if it is this entry's turn."""
        assert self.read_vms is not None
        while not kernel.stopping.is_set():
            readers = owners("vms", self.entry_ring(), PROBERS)
            if self.members.me.name in readers:
                try:
                    self.take_vms(await self.read_vms())
                except PlatformUnavailableError:
                    self.metrics.count("workers.retry.vms_down")
            await self.clock.sleep(VMS_S)

    def take_vms(self, vms: list[Vm]) -> None:
        """Takes in the platform's list."""
        leaving = {vm.address for vm in vms if vm.state is VmState.LEAVING}
        listed = {
            name
            for name, worker in self.absences.workers()
            if addresses(worker) & leaving
        }
        for name in sorted(listed):
            self.mark(name, Reason.LEAVING)
        # Only what this entry read itself: a peer may have a newer list.
        for name in sorted(self.listed - listed):
            self.clear(name, Reason.LEAVING)
        self.listed = listed

    # Changes, and the others.

    def suspect(self, name: str) -> None:
        """Leaves out a worker that does not answer."""
        absence = self.absences.get(name)
        if absence is None or absence.reason is not Reason.LEAVING:
            self.mark(name, Reason.SILENT)

    def mark(self, name: str, reason: Reason) -> None:
        """Leaves out a worker and tells the others, now and then again."""
        now = self.clock.monotonic()
        absence = self.absences.get(name)
        if (
            absence is None
            or absence.reason is not reason
            or absence.url != self.absences.url_of(name)
        ):
            absence = self.absences.add(name, reason, now, now)
            self.metrics.count(f"workers.absent.{reason.value}")
            log.warning("Worker gets nothing new.", worker=name, why=reason)
        absence.heard = now
        if now - absence.told >= REMIND_S:
            absence.told = now
            self.tell(name, down=True, reason=reason)

    def clear(self, name: str, reason: Reason) -> None:
        """Takes a worker into use again and tells the others."""
        absence = self.absences.get(name)
        if absence is None or absence.reason is not reason:
            return
        self.absences.drop(name)
        self.metrics.count(f"workers.back.{reason.value}")
        log.info("Worker is back.", worker=name)
        self.tell(name, down=False, reason=reason)

    def tell(self, name: str, down: bool, reason: Reason) -> None:
        """Tells the others of a change."""
        self.sequence += 1
        notice = peer_pb2.WorkerNotice(
            worker=name,
            origin=self.members.me.incarnation,
            sequence=self.sequence,
            down=down,
            reason=reason.value,
        )
        self.heard[name, notice.origin] = self.sequence
        self.members.spread(peer_pb2.Notice(worker=notice))

    def take_notice(self, notice: peer_pb2.Notice) -> None:
        """Takes in what a peer found, and passes it on."""
        body = notice.worker
        known = self.absences.find(body.worker) is not None
        heard = self.heard.get((body.worker, body.origin), 0)
        if not known or body.sequence <= heard:
            return
        self.heard[body.worker, body.origin] = body.sequence
        self.forget_old_origins()
        now = self.clock.monotonic()
        reason = Reason(body.reason)
        absence = self.absences.get(body.worker)
        if not body.down:
            if absence is not None and absence.reason is reason:
                self.absences.drop(body.worker)
        elif absence is None or reason is Reason.LEAVING:
            since = absence.since if absence else now
            added = self.absences.add(body.worker, reason, since, now)
            # The origin told the others.
            added.told = now
        else:
            absence.heard = now
        self.members.spread(notice)

    def forget_old_origins(self) -> None:
        """Drops numbers of processes that are gone."""
        live = {item.incarnation for item in self.members.live.value.values()}
        origins = len(live) + len(self.absences.absent)
        if len(self.heard) > KEPT_PER_ORIGIN * origins:
            self.heard = {
                key: number
                for key, number in self.heard.items()
                if key[1] in live
            }
