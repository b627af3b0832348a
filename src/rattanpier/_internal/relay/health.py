"""Outlier detection: temporarily avoids workers that fail requests.

This covers workers that fail some requests although their health check
succeeds, that crashed but whose registration has not expired yet, and that
hang. A worker is compared with the other workers of its service: if all fail
equally the cause is not the worker. A service always keeps at least half of
its workers.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import structlog

from rattanpier._internal.models.policy import DEFAULT_POLICY, Policy
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="health")

HALF_LIFE_S = 5.0  # Of a result's weight; about the duration of faults.
MIN_FAILURES = 2.5  # Weighted; fewer may be random.
OUTLIER_FACTOR = 2.5  # Relative to the failure rate of the other workers.
MIN_FAILURE_RATE = 0.2  # Below this a worker is still worth using.
# First pause after a refused or timed-out connection.
UNREACHABLE_PAUSE_S = 1.0
FIRST_PAUSE_S = 2.0  # First pause of a worker that fails too often.
MAX_PAUSE_S = 8.0
MAX_AVOIDED_SHARE = 0.5  # Of a service's workers.


@attrs.define(eq=False, repr=False)
class WorkerRecord:
    """Recent results of one worker.

    Attributes:
      results: Weighted number of results.
      failures: Weighted number of failures among them.
      updated_at: When the weights were last decayed, in monotonic seconds.
      avoided_until: End of the last pause, in monotonic seconds.
      pause_s: Length of the last pause, in seconds.
      unreachable: Whether the last pause is due to a failed connection.
    """

    results: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    avoided_until: float = 0.0
    pause_s: float = 0.0
    unreachable: bool = False

    def decay(self, now: float) -> None:
        """Decays the weights to a time, given in monotonic seconds."""
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.results *= factor
        self.failures *= factor
        self.updated_at = now


@attrs.define(eq=False, repr=False)
class Health:
    """Recent results of all workers.

    Attributes:
      clock: Source of monotonic time.
      policy: Enabled mechanisms.
      records: Results by worker id.
    """

    clock: Clock
    policy: Policy = DEFAULT_POLICY
    records: dict[str, WorkerRecord] = attrs.Factory(dict)

    def record_result(
        self,
        worker: RegisteredWorker,
        failed: bool,
        peers: Sequence[RegisteredWorker],
    ) -> None:
        """Records a result, and avoids the worker if it is an outlier.

        Args:
          worker: Whose result it is.
          failed: Whether it failed or gave no valid answer.
          peers: All workers of its service.
        """
        now = self.clock.monotonic()
        record = self.records.setdefault(
            worker.id, WorkerRecord(updated_at=now)
        )
        record.decay(now)
        record.results += 1.0
        if not failed:
            if record.unreachable:
                record.avoided_until = 0.0
                record.unreachable = False
            return
        record.failures += 1.0
        if self.is_outlier(worker, peers, now):
            self.avoid(worker, record, FIRST_PAUSE_S, "fails often")

    def record_unreachable(self, worker: RegisteredWorker) -> None:
        """Records that a worker could not be reached, and avoids it."""
        now = self.clock.monotonic()
        record = self.records.setdefault(
            worker.id, WorkerRecord(updated_at=now)
        )
        record.unreachable = True
        self.avoid(worker, record, UNREACHABLE_PAUSE_S, "unreachable")

    def is_outlier(
        self,
        worker: RegisteredWorker,
        peers: Sequence[RegisteredWorker],
        now: float,
    ) -> bool:
        """Returns whether a worker fails more than others of its service."""
        record = self.records[worker.id]
        rate = record.failures / record.results
        if record.failures < MIN_FAILURES or rate < MIN_FAILURE_RATE:
            return False
        others = [
            self.records[peer.id]
            for peer in peers
            if peer.id != worker.id and peer.id in self.records
        ]
        for other in others:
            other.decay(now)
        results = sum(other.results for other in others)
        failures = sum(other.failures for other in others)
        # One failure in ten results is added, so that few results don't yield a
        # rate of zero.
        peer_rate = (failures + 1.0) / (results + 10.0)
        return rate > OUTLIER_FACTOR * peer_rate

    def avoid(
        self,
        worker: RegisteredWorker,
        record: WorkerRecord,
        first_pause_s: float,
        reason: str,
    ) -> None:
        """Avoids a worker for a pause, unless it is avoided already.

        The pause doubles if it follows soon after the previous one.

        Args:
          worker: The worker.
          record: Its results.
          first_pause_s: Length of a first pause, in seconds.
          reason: Reason for the log.
        """
        now = self.clock.monotonic()
        if now < record.avoided_until:
            return
        repeated = record.pause_s and now < record.avoided_until + MAX_PAUSE_S
        record.pause_s = (
            min(MAX_PAUSE_S, 2 * record.pause_s) if repeated else first_pause_s
        )
        record.avoided_until = now + record.pause_s
        log.info(
            "Worker avoided.",
            worker=worker.id,
            service=worker.service,
            reason=reason,
            pause_s=record.pause_s,
            failures=round(record.failures, 1),
            results=round(record.results, 1),
        )

    def usable(
        self, workers: Sequence[RegisteredWorker]
    ) -> list[RegisteredWorker]:
        """Returns the workers that are not avoided, at least half of them.

        If more than half would be avoided, those whose pause ends first are
        included, so that outlier detection can't empty a pool.
        """
        if not self.policy.avoidance:
            return list(workers)
        now = self.clock.monotonic()
        good: list[RegisteredWorker] = []
        avoided: list[tuple[float, RegisteredWorker]] = []
        for worker in workers:
            record = self.records.get(worker.id)
            if record is None or record.avoided_until <= now:
                good.append(worker)
            else:
                avoided.append((record.avoided_until, worker))
        min_usable = len(workers) - int(MAX_AVOIDED_SHARE * len(workers))
        if len(good) < min_usable:
            avoided.sort(key=lambda entry: entry[0])
            restored = avoided[: min_usable - len(good)]
            good.extend(worker for _, worker in restored)
        return good

    def forget(self, id: str) -> None:
        """Removes the record of a worker that was deregistered."""
        self.records.pop(id, None)
