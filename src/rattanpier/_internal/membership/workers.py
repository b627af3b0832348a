"""Upstream workers that must get nothing new: leaving, or not answering.

Each worker is probed by two entries, so that an entry's share of the probes
does not grow with the fleet. What one entry finds narrows its own choice at
once and is spread to the others by notices. A worker comes back by a probe.
"""

from __future__ import annotations

import asyncio
import enum
import urllib.parse
from collections.abc import Awaitable, Callable, Iterator

import aiohttp
import attrs
import structlog

from rattanpier._internal.exceptions import PlatformUnavailableError
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.members import Members
from rattanpier._internal.membership.ring import owners, ring_order
from rattanpier._internal.models.configuration import (
    Configuration,
    Upstream,
    Worker,
)
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.platform.vms import Vm, VmState
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="workers")

PROBE_S = 0.8  # Between two probes of one worker by one entry.
PROBE_TIMEOUT_S = 0.7
PROBERS = 2  # Entries that probe one worker, and that read the VM list.
VMS_S = 1.0  # Between reads of the VM list.
REMIND_S = 10.0  # Between notices that a worker still is down.
EXPIRE_S = 30.0  # A worker of which nobody reminds is tried again.
MAX_SUSPECT_SHARE = 0.5  # Of a pool; more are not left out on suspicion.

ProbeWorker = Callable[[str], Awaitable[bool]]
ReadVms = Callable[[], Awaitable[list[Vm]]]


class Reason(enum.StrEnum):
    """Why a worker gets nothing new."""

    LEAVING = "leaving"  # The platform says so.
    SILENT = "silent"  # It does not answer.


@attrs.define
class Absence:
    """A worker that gets nothing new.

    Attributes:
      reason: Why.
      since: When this entry learned of it.
      heard: When it last heard of it.
      url: Where the worker was then; a new address is a new machine.
      told: When it last told others.
    """

    reason: Reason
    since: float
    heard: float
    url: str
    told: float = float("-inf")


@attrs.define
class Workers:
    """Which workers get nothing new; a collection of their names.

    Attributes:
      probe: Says whether the worker at a base address answers.
      read_vms: Returns the platform's list, or None if there is none.
      absent: Workers that are leaving or silent, by name.
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
    absent: dict[str, Absence] = attrs.Factory(dict)
    checking: set[str] = attrs.Factory(set)
    listed: set[str] = attrs.Factory(set)
    sequence: int = 0
    heard: dict[tuple[str, str], int] = attrs.Factory(dict)

    # The choice of a worker.

    def __contains__(self, name: object) -> bool:
        """Says whether a worker gets nothing new."""
        absence = self.absent.get(str(name))
        if absence is None or absence.url != self.url_of(str(name)):
            return False
        if absence.reason is Reason.LEAVING:
            return True
        return str(name) in self.left_out(self.pool_of(str(name)))

    def __iter__(self) -> Iterator[str]:
        """Iterates over the workers that get nothing new."""
        return (name for name in self.absent if name in self)

    def __len__(self) -> int:
        """Returns how many workers get nothing new."""
        return sum(1 for _ in self)

    def pool_of(self, name: str) -> Upstream | None:
        """Returns the pool of a worker, or None."""
        for upstream in self.configuration().upstreams.values():
            if name in upstream.workers:
                return upstream
        return None

    def left_out(self, pool: Upstream | None) -> list[str]:
        """Returns the silent workers of a pool that are left out.

        Should most of a pool seem silent, the fault may be the observer's:
        those suspected last stay in use.
        """
        if pool is None:
            return []
        silent = [
            name
            for name in pool.workers
            if name in self.absent and self.absent[name].reason is Reason.SILENT
        ]
        silent.sort(key=lambda name: (self.absent[name].since, name))
        return silent[: int(len(pool.workers) * MAX_SUSPECT_SHARE)]

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
        worker = self.find(name)
        if worker is not None and name not in self.checking:
            self.checking.add(name)
            self.spawn(self.check(name, worker))

    def find(self, name: str) -> Worker | None:
        """Returns a worker of the configuration in force."""
        pool = self.pool_of(name)
        return pool.workers[name] if pool else None

    def url_of(self, name: str) -> str:
        """Returns where a worker is by the configuration in force."""
        worker = self.find(name)
        return worker.url if worker else ""

    # Probes.

    async def run(self, kernel: Kernel) -> None:
        """Probes this entry's share of the workers until the end."""
        while not kernel.stopping.is_set():
            self.expire()
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
            for upstream in self.configuration().upstreams.values()
            for name, worker in upstream.workers.items()
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

    def expire(self) -> None:
        """Tries workers again of which nobody reminded."""
        now = self.clock.monotonic()
        for name, absence in list(self.absent.items()):
            if now - absence.heard > EXPIRE_S or self.find(name) is None:
                del self.absent[name]

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
            for upstream in self.configuration().upstreams.values()
            for name, worker in upstream.workers.items()
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
        absence = self.absent.get(name)
        if absence is None or absence.reason is not Reason.LEAVING:
            self.mark(name, Reason.SILENT)

    def mark(self, name: str, reason: Reason) -> None:
        """Leaves out a worker and tells the others, now and then again."""
        now = self.clock.monotonic()
        absence = self.absent.get(name)
        moved = absence is not None and absence.url != self.url_of(name)
        if absence is None or absence.reason is not reason or moved:
            url = self.url_of(name)
            absence = self.absent[name] = Absence(reason, now, now, url)
            self.metrics.count(f"workers.absent.{reason.value}")
            log.warning("Worker gets nothing new.", worker=name, why=reason)
        absence.heard = now
        if now - absence.told >= REMIND_S:
            absence.told = now
            self.tell(name, down=True, reason=reason)

    def clear(self, name: str, reason: Reason) -> None:
        """Takes a worker into use again and tells the others."""
        absence = self.absent.get(name)
        if absence is None or absence.reason is not reason:
            return
        del self.absent[name]
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
        known = self.find(body.worker) is not None
        heard = self.heard.get((body.worker, body.origin), 0)
        if not known or body.sequence <= heard:
            return
        self.heard[body.worker, body.origin] = body.sequence
        self.forget_old_origins()
        now = self.clock.monotonic()
        reason = Reason(body.reason)
        absence = self.absent.get(body.worker)
        if not body.down:
            if absence is not None and absence.reason is reason:
                del self.absent[body.worker]
        elif absence is None or reason is Reason.LEAVING:
            since = absence.since if absence else now
            url = self.url_of(body.worker)
            self.absent[body.worker] = Absence(reason, since, now, url, now)
        else:
            absence.heard = now
        self.members.spread(notice)

    def forget_old_origins(self) -> None:
        """Drops numbers of processes that are gone."""
        live = {item.incarnation for item in self.members.live.value.values()}
        if len(self.heard) > 4 * (len(live) + len(self.absent)):
            self.heard = {
                key: number
                for key, number in self.heard.items()
                if key[1] in live
            }


def addresses(worker: Worker) -> set[str]:
    """Returns the addresses under which the platform may list a worker.

    >>> sorted(addresses(Worker("http://10.0.0.1:80", "a")))
    ['10.0.0.1', '10.0.0.1:80']
    """
    parts = urllib.parse.urlsplit(worker.url)
    return {parts.hostname or "", parts.netloc}


def http_probe(session: aiohttp.ClientSession) -> ProbeWorker:
    """Returns the probe by HTTP: any answer will do."""

    async def probe(url: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        try:
            async with session.get(f"{url}/health", timeout=timeout):
                return True
        except (aiohttp.ClientError, TimeoutError):
            return False

    return probe
