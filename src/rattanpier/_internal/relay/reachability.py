"""Detects that no worker of a service can be reached from this entry.

A single worker that refuses connections has most likely crashed. If no
connection to any worker of a service succeeds, the service may be down, or the
path from this entry is interrupted while other entries still serve it. Until
that is known, nothing is concluded about a worker. An entry without a path
forwards requests to its peers, see `forwarding`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection, Sequence

import attrs
import structlog

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.ports import listens

log = structlog.get_logger(part="reachability")

# Distinct workers that have to fail, or all of a smaller service. Fewer may
# have crashed together.
MIN_FAILED_WORKERS = 4
# A VM answers a SYN within a few ms; the rest is for a busy entry.
PROBE_TIMEOUT_S = 0.3
MAX_ROUNDS = 3  # Of probes, while workers register or fail meanwhile.
RECOVERY_PROBES = 2  # Workers that are probed together.
RECOVERY_INTERVAL_S = 0.25
# If a service is down, all entries probe its workers.
MAX_RECOVERY_INTERVAL_S = 0.8
RECOVERY_INTERVAL_PER_ENTRY_S = 0.01
RELIST_DELAY_S = 1.0  # A path that comes and goes doesn't change the list.


@attrs.define(eq=False, repr=False)
class ServicePath:
    """Results of connecting to the workers of one service.

    Attributes:
      failed_at: When connecting last failed, in monotonic seconds, by
        incarnation; cleared when a connection to any worker succeeds.
      unreachable_since: First of the failures that made the service
        unreachable, in monotonic seconds; None while it is reachable.
      check: Check in progress of whether it is reachable, or None.
    """

    failed_at: dict[str, float] = attrs.Factory(dict)
    unreachable_since: float | None = None
    check: asyncio.Task[None] | None = None


@attrs.define(eq=False, repr=False)
class Reachability:
    """Reachability of all services from this entry.

    Attributes:
      clock: Source of monotonic time.
      workers_of: Returns the workers of a service that accept requests and are
        not known to have terminated.
      services: Returns the services that have registered workers.
      rng: Random source that selects the workers to probe.
      listens: Returns whether a process listens at a host and port, within a
        timeout in seconds; None if unknown.
      paused_since: Returns whether this process did not run for a while since
        a time in monotonic seconds.
      entries_without_path: Returns how many entries can't reach a service.
      on_unreachable: Called with a service that can't be reached any more.
      on_reachable: Called with a service that can be reached again.
      on_change: Called when a service became reachable or unreachable.
      paths: Results of connecting, by service.
      partitioned_at: When no service could be reached last, in monotonic
        seconds.
      probing_needed: Set while a service is unreachable.
    """

    clock: Clock
    workers_of: Callable[[str], Sequence[RegisteredWorker]]
    services: Callable[[], Collection[str]]
    rng: random.Random
    listens: Callable[[str, int, float], Awaitable[bool | None]] = listens
    paused_since: Callable[[float], bool] = lambda _at: False
    entries_without_path: Callable[[str], int] = lambda _service: 1
    on_unreachable: Callable[[str], None] = lambda _service: None
    on_reachable: Callable[[str], None] = lambda _service: None
    on_change: Callable[[], None] = lambda: None
    paths: dict[str, ServicePath] = attrs.Factory(dict)
    partitioned_at: float = float("-inf")
    probing_needed: asyncio.Event = attrs.Factory(asyncio.Event)

    # Results.

    def is_reachable(self, service: str) -> bool:
        """Returns whether connections to a service's workers may succeed."""
        path = self.paths.get(service)
        if path is None or path.unreachable_since is None:
            return True
        return not self.workers_of(service)

    def unreachable_services(self) -> list[str]:
        """Returns the services that can't be reached, sorted by name."""
        return sorted(
            service for service in self.paths if not self.is_reachable(service)
        )

    def unreachable_for_s(self) -> float:
        """Returns for how long a service has been unreachable; 0 if none is."""
        since = [
            path.unreachable_since
            for path in self.paths.values()
            if path.unreachable_since is not None
        ]
        return self.clock.monotonic() - min(since) if since else 0.0

    def is_partitioned(self) -> bool:
        """Returns whether no service can be reached, or none could just now."""
        now = self.clock.monotonic()
        if self.unreachable_services() and not any(
            map(self.is_reachable, self.services())
        ):
            self.partitioned_at = now
        return now - self.partitioned_at < RELIST_DELAY_S

    async def settle(self, service: str) -> bool:
        """Returns whether a service can be reached, after any running check."""
        path = self.paths.get(service)
        if path is not None and path.check is not None:
            await asyncio.shield(path.check)
        return self.is_reachable(service)

    # Evidence.

    def record_connect(self, worker: RegisteredWorker, connected: bool) -> None:
        """Records whether a connection to a worker could be opened.

        A failure starts a check of the other workers.
        """
        path = self.paths.setdefault(worker.service, ServicePath())
        if connected:
            self.record_reachable(worker.service, path)
            return
        path.failed_at[worker.incarnation] = self.clock.monotonic()
        self.start_check(worker.service)

    async def confirm_failure(
        self, worker: RegisteredWorker, connected: bool
    ) -> bool:
        """Records a probe of a worker by another component.

        Returns:
          Whether the path works, so that a failure is the worker's.
        """
        self.record_connect(worker, connected)
        return await self.settle(worker.service)

    def start_check(self, service: str) -> None:
        """Starts to check a service unless that is known or in progress."""
        path = self.paths.setdefault(service, ServicePath())
        if path.unreachable_since is not None or path.check is not None:
            return
        path.check = asyncio.ensure_future(self.check(service, path))
        path.check.add_done_callback(lambda _: self.end_check(path))

    def end_check(self, path: ServicePath) -> None:
        """Forgets a check that has ended."""
        path.check = None

    async def check(self, service: str, path: ServicePath) -> None:
        """Probes workers until one connects or enough have failed."""
        for _ in range(MAX_ROUNDS):
            untried = [
                worker
                for worker in self.workers_of(service)
                if worker.incarnation not in path.failed_at
            ]
            missing = max(1, MIN_FAILED_WORKERS - len(path.failed_at))
            if await self.probe_some(path, untried, missing):
                return
            if self.all_fail(service, path):
                self.record_unreachable(service, path)
                return

    async def probe_some(
        self,
        path: ServicePath,
        workers: Sequence[RegisteredWorker],
        count: int,
    ) -> bool:
        """Probes some of the given workers; returns whether one connected."""
        chosen = self.rng.sample(workers, min(count, len(workers)))
        probes = [asyncio.ensure_future(self.probe(each)) for each in chosen]
        try:
            for probe in asyncio.as_completed(probes):
                worker, connected = await probe
                if connected:
                    self.record_connect(worker, connected=True)
                    return True
                path.failed_at[worker.incarnation] = self.clock.monotonic()
        finally:
            for task in probes:
                task.cancel()
        return False

    async def probe(
        self, worker: RegisteredWorker
    ) -> tuple[RegisteredWorker, bool]:
        """Returns a worker and whether it accepts a connection."""
        while True:
            began_at = self.clock.monotonic()
            found = await self.listens(
                worker.host, worker.port, PROBE_TIMEOUT_S
            )
            if found is True or not self.paused_since(began_at):
                return worker, found is True

    def all_fail(self, service: str, path: ServicePath) -> bool:
        """Returns whether enough registered workers of a service failed."""
        registered = self.workers_of(service)
        count = sum(
            worker.incarnation in path.failed_at for worker in registered
        )
        return count >= max(1, min(MIN_FAILED_WORKERS, len(registered)))

    def record_unreachable(self, service: str, path: ServicePath) -> None:
        """Records that a service can't be reached, and checks the others."""
        path.unreachable_since = min(path.failed_at.values())
        self.probing_needed.set()
        log.warning(
            "Service can't be reached.",
            service=service,
            failed=len(path.failed_at),
            registered=len(self.workers_of(service)),
            failing_for_s=round(
                self.clock.monotonic() - path.unreachable_since, 3
            ),
        )
        self.on_unreachable(service)
        self.on_change()
        for other in self.services():
            self.start_check(other)

    def record_reachable(self, service: str, path: ServicePath) -> None:
        """Records that a worker of a service accepted a connection."""
        path.failed_at.clear()
        since, path.unreachable_since = path.unreachable_since, None
        if since is None:
            return
        log.info(
            "Service can be reached again.",
            service=service,
            after_s=round(self.clock.monotonic() - since, 3),
        )
        self.on_reachable(service)
        self.on_change()

    # Recovery.

    async def run(self) -> None:
        """Probes unreachable services until cancelled."""
        while True:
            await self.probing_needed.wait()
            self.forget_services_without_workers()
            unreachable = self.unreachable_services()
            if not unreachable:
                self.probing_needed.clear()
                continue
            await asyncio.gather(*map(self.probe_unreachable, unreachable))
            interval_s = max(map(self.recovery_interval_s, unreachable))
            await self.clock.sleep(interval_s * self.rng.uniform(0.8, 1.2))

    def forget_services_without_workers(self) -> None:
        """Forgets results for services whose workers all deregistered."""
        for service in list(self.paths):
            if not self.workers_of(service):
                del self.paths[service]

    def recovery_interval_s(self, service: str) -> float:
        """Returns the seconds between two probes of an unreachable service."""
        entries = self.entries_without_path(service)
        spread_s = RECOVERY_INTERVAL_PER_ENTRY_S * entries
        return min(MAX_RECOVERY_INTERVAL_S, RECOVERY_INTERVAL_S + spread_s)

    async def probe_unreachable(self, service: str) -> None:
        """Probes a few workers of an unreachable service."""
        path = self.paths[service]
        workers = self.workers_of(service)
        await self.probe_some(path, workers, RECOVERY_PROBES)
