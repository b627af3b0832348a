"""Estimates how long work takes on each worker, against a typical worker.

Workers of a service differ in speed, and they share their VMs with other
workloads, which slow them down for some hundred milliseconds at a time. The
momentary slowdown is what a worker reports in its answers. Its intrinsic speed
is estimated from measured work, of this entry and, by updates, of all others.

Estimates are means of logarithms: twice and half as long cancel each other.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable, Mapping

import attrs
import structlog

from rattanpier._internal.models.policy import DEFAULT_POLICY, Policy
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.record import Record
from rattanpier._internal.utils.samples import DecayingSum

log = structlog.get_logger(part="paces")

# Slowdowns last about 0.6 s, so that half of them have ended after this time.
RATIO_HALF_LIFE_S = 0.3
# A ratio of 2.5 then changes a factor by 1.5%, less than `COST_JITTER`.
MAX_RATIO_AGE_S = 2.0
SAMPLE_HALF_LIFE_S = 30.0
# Number of samples at which an estimate counts half. A stream that is slowed
# down for part of its time deviates by about as much as workers differ.
PRIOR_SAMPLES = 4.0
# Workers differ by up to 2.7; a larger difference is probably a wrong estimate.
MIN_FACTOR = 0.4
MAX_FACTOR = 3.0
# Above this, a worker is not chosen while there is any other.
MAX_RATIO = 10.0
# A worker that hung for seconds gives a sample of many times the usual time.
MAX_SAMPLE_LOG = math.log(4.0)
# The estimates change over tens of seconds; a refresh looks at all workers.
REFRESH_S = 1.0
# Two samples decay to less than this in 100 s; fewer are not worth a message.
MIN_WEIGHT = 0.2
# Change of an intrinsic factor that is logged.
LOGGED_CHANGE = 0.15
# Paces on the wire are integers, which take a third of the bytes of floats.
FACTOR_UNIT = 1000.0
WEIGHT_UNIT = 10.0
# A worker gives some 1,000 samples in 43 s, their mean life, at 25 requests/s.
# A larger number would outweigh all that follow for minutes.
MAX_WEIGHT = 1e4

NO_FACTORS: Mapping[str, float] = {}


@attrs.frozen(eq=False, repr=False)
class CurrentPaces(Record):
    """Paces of a service's workers at one moment, by worker id.

    Workers that are not listed have the factor 1.0.

    Attributes:
      intrinsic: Expected time on a worker, relative to a typical worker, while
        its VM is not slowed down.
      momentary: By which factor its VM is slowed down at that moment.
    """

    intrinsic: Mapping[str, float] = NO_FACTORS
    momentary: Mapping[str, float] = NO_FACTORS

    def factor(self, worker_id: str) -> float:
        """Returns the expected time on a worker, relative to a typical one."""
        intrinsic = self.intrinsic.get(worker_id, 1.0)
        return intrinsic * self.momentary.get(worker_id, 1.0)


NO_PACES = CurrentPaces()


def make_samples() -> DecayingSum:
    """Returns an empty sum of samples."""
    return DecayingSum(SAMPLE_HALF_LIFE_S)


@attrs.define(eq=False, repr=False)
class PaceSamples:
    """Logarithms of the paces that were measured on one worker.

    Attributes:
      own: Samples of this entry, relative to its expected times.
      pending: Those of them that were not sent to the publishing entry yet.
      shared: Samples of all entries, as last published. Each entry sends its
        samples relative to their mean over all workers of the version, since
        entries expect different times.
    """

    own: DecayingSum = attrs.Factory(make_samples)
    pending: DecayingSum = attrs.Factory(make_samples)
    shared: DecayingSum = attrs.Factory(make_samples)

    @property
    def weight(self) -> float:
        """Number of samples, as of their last decay."""
        return self.own.weight + self.shared.weight

    def mean(self, now: float, typical: float) -> tuple[float, float]:
        """Returns the mean of all samples, and their weight.

        Args:
          now: Monotonic seconds.
          typical: Mean of this entry's samples of the version.
        """
        self.own.decay(now)
        self.shared.decay(now)
        weight = self.weight
        if weight < MIN_WEIGHT:
            return 0.0, 0.0
        own = self.own.total - self.own.weight * typical
        return (own + self.shared.total) / weight, weight


@attrs.define(eq=False, repr=False)
class WorkerPaces:
    """Paces of all workers.

    Attributes:
      clock: Source of monotonic time.
      worker_of: Returns the registered worker of an id, or None.
      policy: Enabled mechanisms.
      services: Services of which a worker has reported a ratio, here or to
        another entry; only these have factors other than 1.0.
      ratios: Last reported ratio of each worker, and its monotonic time in
        seconds.
      slowed: Workers whose last reported ratio is not 1.0 and not too old.
      samples: Measured work, by worker id.
      typical: Samples of all workers of a version, by service and version.
      intrinsic: Cached intrinsic factors, by service and worker id.
      refreshed_at: When they were computed, in monotonic seconds, by service.
      logged: Intrinsic factor of each worker that was last logged.
      on_sample: Called for each recorded sample.
      on_invalid: Called for each pace in an update that can't be used.
    """

    clock: Clock
    worker_of: Callable[[str], RegisteredWorker | None] = lambda _worker: None
    policy: Policy = DEFAULT_POLICY
    services: set[str] = attrs.Factory(set)
    ratios: dict[str, tuple[float, float]] = attrs.Factory(dict)
    slowed: set[str] = attrs.Factory(set)
    samples: dict[str, PaceSamples] = attrs.Factory(
        lambda: collections.defaultdict(PaceSamples)
    )
    typical: dict[tuple[str, str], DecayingSum] = attrs.Factory(
        lambda: collections.defaultdict(make_samples)
    )
    intrinsic: dict[str, dict[str, float]] = attrs.Factory(dict)
    refreshed_at: dict[str, float] = attrs.Factory(dict)
    logged: dict[str, float] = attrs.Factory(dict)
    on_sample: Callable[[], None] = lambda: None
    on_invalid: Callable[[], None] = lambda: None

    # What this entry learns.

    def record_report(self, worker_id: str, ratio: float | None) -> None:
        """Records how long work takes on a worker at this moment.

        Args:
          worker_id: The worker.
          ratio: Relative to the usual time there; None: not reported.
        """
        worker = self.worker_of(worker_id)
        if ratio is None or worker is None or not self.policy.worker_pace:
            return
        self.start_service(worker.service)
        ratio = min(max(ratio, MIN_FACTOR), MAX_RATIO)
        self.ratios[worker_id] = ratio, self.clock.monotonic()
        if ratio == 1.0:
            self.slowed.discard(worker_id)
        else:
            self.slowed.add(worker_id)

    def record_work(
        self,
        worker_id: str,
        service: str,
        expected_s: float,
        measured_s: float,
    ) -> None:
        """Records one measured piece of work that has just ended.

        Args:
          worker_id: Where it ran.
          service: Service of the worker.
          expected_s: Seconds that a typical worker is expected to take.
          measured_s: Seconds that it took.
        """
        worker = self.worker_of(worker_id)
        if service not in self.services or worker is None:
            return
        if not (expected_s > 0.0 and 0.0 < measured_s < math.inf):
            return
        now = self.clock.monotonic()
        ratio = self.mean_ratio(worker_id, now - measured_s, now)
        sample = math.log(measured_s / expected_s / ratio)
        typical = self.typical[service, worker.version]
        typical.decay(now)
        if typical.weight >= MIN_WEIGHT:
            sample = clamp_sample(sample, self.typical_mean(worker))
        typical.add(sample, now)
        samples = self.samples[worker_id]
        samples.own.add(sample, now)
        samples.pending.add(sample, now)
        self.on_sample()

    def typical_mean(self, worker: RegisteredWorker) -> float:
        """Returns the mean of this entry's samples of a worker's version."""
        typical = self.typical.get((worker.service, worker.version))
        if typical is None or not typical.weight:
            return 0.0
        return typical.total / typical.weight

    def mean_ratio(self, worker_id: str, start: float, end: float) -> float:
        """Returns the mean of a worker's ratio over a time, as far as known.

        Args:
          worker_id: The worker.
          start: Start of the time, in monotonic seconds.
          end: Its end.
        """
        # Not only of `slowed`: a stream may end long after its report.
        ratio, at = self.ratios.get(worker_id, (1.0, end))
        if ratio == 1.0:
            return 1.0
        return 1.0 + (ratio - 1.0) * mean_weight(start - at, end - at)

    def forget(self, worker_id: str) -> None:
        """Removes what is known of a worker."""
        self.ratios.pop(worker_id, None)
        self.slowed.discard(worker_id)
        self.samples.pop(worker_id, None)
        self.logged.pop(worker_id, None)
        for factors in self.intrinsic.values():
            factors.pop(worker_id, None)

    def start_service(self, service: str) -> None:
        """Lets the paces of a service's workers take effect."""
        if service not in self.services:
            self.services.add(service)
            log.info("Paces of a service's workers are used.", service=service)

    # What others ask for.

    def factor(self, worker_id: str, service: str) -> float:
        """Returns the expected time on a worker, relative to a typical one.

        Args:
          worker_id: The worker.
          service: Its service.
        """
        if service not in self.services:
            return 1.0
        now = self.clock.monotonic()
        intrinsic = self.intrinsic_factors(service, now).get(worker_id, 1.0)
        return intrinsic * self.momentary_factor(worker_id, now)

    def current(self, service: str, now: float) -> CurrentPaces:
        """Returns the paces of a service's workers.

        A choice asks once for all workers, which leaves two look-ups for each.

        Args:
          service: The service.
          now: Monotonic seconds.
        """
        if service not in self.services:
            return NO_PACES
        momentary = {
            worker_id: self.momentary_factor(worker_id, now)
            for worker_id in tuple(self.slowed)
        }
        return CurrentPaces(self.intrinsic_factors(service, now), momentary)

    def momentary_factor(self, worker_id: str, now: float) -> float:
        """Returns by which factor a worker is probably slowed down.

        Args:
          worker_id: The worker.
          now: Monotonic seconds.
        """
        if worker_id not in self.slowed:
            return 1.0
        ratio, at = self.ratios[worker_id]
        age_s = now - at
        if age_s > MAX_RATIO_AGE_S:
            self.slowed.discard(worker_id)
            return 1.0
        return 1.0 + (ratio - 1.0) * 0.5 ** (age_s / RATIO_HALF_LIFE_S)

    def report_age_s(self, worker_id: str, now: float) -> float | None:
        """Returns the age of a worker's last ratio in seconds, or None."""
        known = self.ratios.get(worker_id)
        return None if known is None else now - known[1]

    def intrinsic_factors(self, service: str, now: float) -> dict[str, float]:
        """Returns the intrinsic factors of a service's workers by id."""
        if now - self.refreshed_at.get(service, -math.inf) >= REFRESH_S:
            self.refreshed_at[service] = now
            self.intrinsic[service] = self.estimate(service, now)
            self.log_changes(service, now)
        return self.intrinsic[service]

    def estimate(self, service: str, now: float) -> dict[str, float]:
        """Computes `intrinsic_factors`.

        Workers are compared with the median of their version, since all
        workers of a version may be slower than those of another.
        """
        versions: dict[str, dict[str, tuple[float, float]]] = {}
        for worker_id, samples in self.samples.items():
            worker = self.worker_of(worker_id)
            if worker is None or worker.service != service:
                continue
            mean, weight = samples.mean(now, self.typical_mean(worker))
            if weight:
                known = versions.setdefault(worker.version, {})
                known[worker_id] = mean, weight
        for key in tuple(self.typical):
            if key[0] == service and key[1] not in versions:
                del self.typical[key]
        factors = {}
        for known in versions.values():
            middle = median([mean for mean, _ in known.values()])
            for worker_id, (mean, weight) in known.items():
                shrunk = (mean - middle) * weight / (weight + PRIOR_SAMPLES)
                factors[worker_id] = min(
                    max(math.exp(shrunk), MIN_FACTOR), MAX_FACTOR
                )
        return factors

    def extremes(self) -> tuple[float, float]:
        """Returns the lowest and the highest intrinsic factor in use."""
        factors = [
            factor
            for by_worker in self.intrinsic.values()
            for factor in by_worker.values()
        ]
        return min(factors, default=1.0), max(factors, default=1.0)

    def log_changes(self, service: str, now: float) -> None:
        """Logs the workers whose intrinsic factor has changed."""
        for worker_id, factor in self.intrinsic[service].items():
            before = self.logged.get(worker_id, 1.0)
            if abs(math.log(factor / before)) < LOGGED_CHANGE:
                continue
            self.logged[worker_id] = factor
            log.info(
                "Worker's pace changed.",
                worker=worker_id,
                service=service,
                factor=round(factor, 2),
                before=round(before, 2),
                samples=round(self.samples[worker_id].weight, 1),
                ratio_age_s=round_age(self.report_age_s(worker_id, now)),
            )

    # Sharing between entries.

    def take_pending(self, limit: int) -> dict[str, list[float]]:
        """Returns samples to send to the publishing entry, which are then sent.

        Args:
          limit: Maximum number of workers, those with most samples first.

        Returns:
          The packed pace of each worker.
        """
        now = self.clock.monotonic()
        taken = {}
        pending = (
            (samples.pending.weight, worker_id)
            for worker_id, samples in self.samples.items()
            if samples.pending.weight
        )
        for _, worker_id in sorted(pending, reverse=True)[:limit]:
            sums = self.samples[worker_id].pending
            sums.decay(now)
            worker = self.worker_of(worker_id)
            if sums.weight >= MIN_WEIGHT and worker is not None:
                mean = sums.total / sums.weight - self.typical_mean(worker)
                taken[worker_id] = pack_pace(mean, sums.weight)
            sums.weight = sums.total = 0.0
        return taken

    def merge(self, paces: Mapping[str, list[float]]) -> None:
        """Adds samples of another entry to those to be published."""
        now = self.clock.monotonic()
        for worker_id, mean, weight in self.valid_paces(paces):
            shared = self.samples[worker_id].shared
            shared.decay(now)
            shared.weight += weight
            shared.total += weight * mean

    def published(self, worker_ids: Iterable[str]) -> dict[str, list[float]]:
        """Returns the packed paces of some workers, as far as known.

        Args:
          worker_ids: The workers.
        """
        now = self.clock.monotonic()
        found = {}
        for worker_id in worker_ids:
            samples = self.samples.get(worker_id)
            if samples is None:
                continue
            samples.shared.decay(now)
            weight = samples.shared.weight
            if weight >= MIN_WEIGHT:
                mean = samples.shared.total / weight
                found[worker_id] = pack_pace(mean, weight)
        return found

    def apply_published(self, paces: Mapping[str, list[float]]) -> None:
        """Applies the paces that another entry published.

        A pace that rests on less than half the samples of the known one is
        ignored: an entry that has just started may publish, and knows little.
        """
        now = self.clock.monotonic()
        for worker_id, mean, weight in self.valid_paces(paces):
            shared = self.samples[worker_id].shared
            shared.decay(now)
            if weight >= shared.weight / 2:
                shared.weight, shared.total = weight, weight * mean

    def valid_paces(
        self, paces: Mapping[str, list[float]]
    ) -> Iterable[tuple[str, float, float]]:
        """Yields the id, mean logarithm and weight of each valid pace.

        Paces of workers that are not registered here are skipped.
        """
        if not self.policy.worker_pace:
            return
        for worker_id, packed in paces.items():
            worker = self.worker_of(worker_id)
            if worker is None:
                continue
            pace = unpack_pace(packed)
            if pace is None:
                self.on_invalid()
                log.warning(
                    "Invalid pace in an update.", worker=worker_id, pace=packed
                )
                continue
            self.start_service(worker.service)
            yield worker_id, *pace


def pack_pace(mean: float, weight: float) -> list[float]:
    """Returns a pace as sent to other entries.

    Args:
      mean: Mean logarithm of the samples.
      weight: Number of samples.

    Returns:
      The factor in thousandths, and the number of samples in tenths.

    >>> pack_pace(0.0, 2.5)
    [1000, 25]
    """
    return [round(FACTOR_UNIT * math.exp(mean)), round(WEIGHT_UNIT * weight)]


def unpack_pace(packed: list[float]) -> tuple[float, float] | None:
    """Returns the mean logarithm and the weight of a pace, if it is valid.

    >>> unpack_pace([1000, 25])
    (0.0, 2.5)
    >>> unpack_pace([-1000, 25])
    """
    if len(packed) < 2:
        return None
    factor, weight = packed[0] / FACTOR_UNIT, packed[1] / WEIGHT_UNIT
    # Comparisons with NaN are false.
    if not (factor > 0.0 and 0.0 < weight <= MAX_WEIGHT):
        return None
    mean = math.log(factor)
    if abs(mean) > 2 * MAX_SAMPLE_LOG:
        return None
    return mean, weight


def round_age(age_s: float | None) -> float | None:
    """Returns an age as logged."""
    return None if age_s is None else round(age_s, 3)


def clamp_sample(sample: float, mean: float) -> float:
    """Returns a sample, limited to a range around the mean of all samples."""
    return min(max(sample, mean - MAX_SAMPLE_LOG), mean + MAX_SAMPLE_LOG)


def mean_weight(start_s: float, end_s: float) -> float:
    """Returns the mean weight of a report over a time, 0 to 1.

    Args:
      start_s: Start of the time, in seconds after the report; below 0 if it
        began before the report.
      end_s: Its end.

    >>> mean_weight(0.0, 1e-9)
    1.0
    >>> round(mean_weight(-0.3, 0.3), 3)
    0.721
    """
    if start_s < 0.0 < end_s:
        before, after = -start_s, end_s
        total = before * mean_weight(0.0, before)
        total += after * mean_weight(0.0, after)
        return total / (before + after)
    nearest, farthest = sorted((abs(start_s), abs(end_s)))
    first = 0.5 ** (nearest / RATIO_HALF_LIFE_S)
    if farthest - nearest < 1e-6:
        return first
    last = 0.5 ** (farthest / RATIO_HALF_LIFE_S)
    scale_s = RATIO_HALF_LIFE_S / math.log(2.0)
    return scale_s * (first - last) / (farthest - nearest)


def median(values: list[float]) -> float:
    """Returns the median of at least one value.

    >>> median([3.0, 1.0, 2.0]), median([4.0, 1.0])
    (2.0, 2.5)
    """
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
