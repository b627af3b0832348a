"""Tracks whether this entry can connect to the workers of each service.

A single worker that refuses connections has most likely crashed. If no
connection to any worker of a service succeeds, the service may be down, or the
path from this entry is interrupted while other entries still serve it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs
import structlog

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="reachability")

# Distinct workers that have to fail, or all of a smaller service. Fewer may
# have crashed together.
MIN_FAILED_WORKERS = 4


@attrs.define(eq=False, repr=False)
class ServicePath:
    """Results of connecting to the workers of one service.

    Attributes:
      failed_at: When connecting last failed, in monotonic seconds, by
        incarnation; cleared when a connection to any worker succeeds.
      unreachable_since: First of the failures that made the service
        unreachable, in monotonic seconds; None while it is reachable.
    """

    failed_at: dict[str, float] = attrs.Factory(dict)
    unreachable_since: float | None = None


@attrs.define(eq=False, repr=False)
class Reachability:
    """Reachability of all services from this entry.

    Attributes:
      clock: Source of monotonic time.
      workers_of: Returns the workers of a service that accept requests.
      paths: Results of connecting, by service.
    """

    clock: Clock
    workers_of: Callable[[str], Sequence[RegisteredWorker]]
    paths: dict[str, ServicePath] = attrs.Factory(dict)

    def record_connect(self, worker: RegisteredWorker, connected: bool) -> None:
        """Records whether a connection to a worker could be opened."""
        path = self.paths.setdefault(worker.service, ServicePath())
        if connected:
            self.record_reachable(worker.service, path)
            return
        path.failed_at[worker.incarnation] = self.clock.monotonic()
        if path.unreachable_since is None and self.all_fail(worker.service):
            self.record_unreachable(worker.service, path)

    def all_fail(self, service: str) -> bool:
        """Returns whether enough workers of a service failed, and none else."""
        failed = self.paths[service].failed_at
        registered = [worker.incarnation for worker in self.workers_of(service)]
        count = sum(incarnation in failed for incarnation in registered)
        return count >= max(1, min(MIN_FAILED_WORKERS, len(registered)))

    def record_unreachable(self, service: str, path: ServicePath) -> None:
        """Records that a service can't be reached."""
        path.unreachable_since = min(path.failed_at.values())
        log.warning(
            "Service can't be reached.",
            service=service,
            failed=len(path.failed_at),
            registered=len(self.workers_of(service)),
            failing_for_s=round(
                self.clock.monotonic() - path.unreachable_since, 3
            ),
        )

    def record_reachable(self, service: str, path: ServicePath) -> None:
        """Records that a worker of a service accepted a connection."""
        path.failed_at.clear()
        since, path.unreachable_since = path.unreachable_since, None
        if since is not None:
            log.info(
                "Service can be reached again.",
                service=service,
                after_s=round(self.clock.monotonic() - since, 3),
            )

    def is_reachable(self, service: str) -> bool:
        """Returns whether connections to a service's workers may succeed."""
        path = self.paths.get(service)
        return path is None or path.unreachable_since is None

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
