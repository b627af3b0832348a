"""Compares roll-out strategies by the requests exposed to bad versions.

Usage: python benchmarks/rollout.py [--seeds N] [--processes N] [--out DIR]

All strategies run on the same simulated traffic. The thresholds of the fixed
steps are tuned on other seeds than those of the table. "tight" is the lowest
threshold that halts no good version in tuning; "level" is looser by a factor,
so that it has as few false halts as the evaluation by evidence. A strategy that
halts good versions also exposes fewer callers to bad ones, so its exposure is
not meaningful without its false halts.
"""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import functools
import pathlib
import subprocess
from collections.abc import Callable

import attrs
import numpy as np

from rattanpier._internal.rollout.evaluation import RolloutEvaluation
from rattanpier._internal.rollout.evidence import (
    BUCKET_COUNT,
    LATENCY_BUCKET_EDGES_S,
    Counts,
    Measure,
    VersionCounts,
    first_slow_bucket,
    trials_of,
)
from rattanpier._internal.rollout.paired_evaluator import (
    ALL_WORKSPACES,
    Batch,
    Halt,
    Narrow,
    PairedEvaluator,
    Widen,
)
from rattanpier._internal.rollout.sequential import (
    ALTERNATIVE_RATIOS,
    ChangePointTest,
    paired_factors,
)

TICK_S = 2.0
HORIZON_S = 7200.0
REQUESTS_PER_S = 40.0
WORKSPACES = [f"w{number}" for number in range(10)]
WORKSPACE_SHARES = np.array(
    [1 / (number + 1) for number in range(len(WORKSPACES))]
)
WORKSPACE_SHARES /= WORKSPACE_SHARES.sum()
RATED_SHARE = 0.1
RATING_DELAY_TICKS = 15
FAILED_RATE, TRUNCATED_RATE, POOR_RATE = 0.005, 0.003, 0.1
MEDIAN_LATENCY_S, LATENCY_SIGMA = 0.25, 0.5
TUNING_SEEDS = 30  # Seeds below this are used for tuning only.
WINDOWS_S = (60.0, 120.0, 300.0)
LOOSE_FACTOR = 1.25
FIXED_SHARES = (0.01, 0.05, 0.25, 0.5, 1.0)
STEP_DURATION_S = 600.0
CHECK_INTERVAL_S = 60.0
MIN_ATTEMPTS, MIN_RATED = 50, 20
MEASURES = tuple(Measure)

Totals = Callable[[], dict[str, VersionCounts]]


@attrs.frozen
class Fault:
    """Fault of a candidate: rates of bad answers and the time of onset.

    Attributes:
      failed: Rate of failed attempts.
      truncated: Rate of truncated answers.
      poor: Rate of answers of low quality.
      slowdown: Factor of the latency.
      one_workspace: Whether only one workspace is affected.
      from_start: Whether the fault is present from the start.
      after_full: Whether the fault begins after full roll-out.
    """

    name: str
    failed: float = FAILED_RATE
    truncated: float = TRUNCATED_RATE
    poor: float = POOR_RATE
    slowdown: float = 1.0
    one_workspace: bool = False
    from_start: bool = False
    after_full: bool = False


GOOD = Fault("good")
FAULTS = (
    Fault("poor, sharply", poor=0.6),
    Fault("poor, slightly", poor=0.2),
    Fault("poor, one workspace", poor=0.6, one_workspace=True),
    Fault("latency only", slowdown=3.0),
    Fault("errors only", failed=0.1),
    Fault("truncated only", truncated=0.05),
    Fault("poor from the start", poor=0.35, from_start=True),
    Fault("poor after full roll-out", poor=0.4, after_full=True),
    Fault("errors after full roll-out", failed=0.05, after_full=True),
)


def latency_probabilities(median_s: float) -> np.ndarray:
    """Returns the probability of each bucket of a lognormal latency."""
    from math import erf, log, sqrt

    edges = [
        0.5 * (1 + erf(log(edge / median_s) / LATENCY_SIGMA / sqrt(2)))
        for edge in LATENCY_BUCKET_EDGES_S
    ]
    return np.diff([0.0, *edges, 1.0])


class TrafficSimulation:
    """Requests of callers and behaviour of versions, from a seed."""

    def __init__(self, fault: Fault, seed: int) -> None:
        self.fault = fault
        self.rng = np.random.default_rng([seed, len(fault.name)])
        self.onset_s = self.rng.uniform(0, 3600)
        if fault.from_start:
            self.onset_s = 0.0
        self.onset_delay_s = self.rng.uniform(300, 1800)
        if fault.after_full:
            self.onset_s = float("inf")
        self.affected_workspace = int(self.rng.integers(0, 5))
        self.workspace_difficulty = self.rng.lognormal(0, 0.3, len(WORKSPACES))
        # An incident that affects both versions equally.
        self.incident_s = self.rng.uniform(300, 5000)
        self.latency = latency_probabilities(MEDIAN_LATENCY_S)
        self.slow_latency = latency_probabilities(
            MEDIAN_LATENCY_S * fault.slowdown
        )
        self.pending_ratings: collections.deque = collections.deque()
        shape = (len(WORKSPACES), 2)
        self.sums = np.zeros((*shape, 5), dtype=np.int64)
        self.histogram = np.zeros((*shape, BUCKET_COUNT), dtype=np.int64)
        self.exposed = 0
        self.bad = 0

    def schedule_late_onset(self, now: float) -> None:
        """Schedules the onset of a fault that begins after full roll-out."""
        if self.fault.after_full and self.onset_s == float("inf"):
            self.onset_s = now + self.onset_delay_s

    def tick(self, now: float, share: float) -> None:
        """Simulates one tick of `TICK_S`."""
        rng, fault = self.rng, self.fault
        mean = REQUESTS_PER_S * TICK_S * WORKSPACE_SHARES
        attempts = rng.poisson(
            np.stack([mean * (1 - share), mean * share], axis=1)
        )
        affected = np.zeros(attempts.shape, dtype=bool)
        if now >= self.onset_s and fault != GOOD:
            affected[:, 1] = True
            if fault.one_workspace:
                affected[:, 1] = (
                    np.arange(len(WORKSPACES)) == self.affected_workspace
                )
        incident = 0 <= now - self.incident_s < 60
        failed_rate = np.where(affected, fault.failed, FAILED_RATE)
        failed_rate = failed_rate + (0.05 if incident else 0.0)
        failed = rng.binomial(attempts, failed_rate)
        truncated = rng.binomial(
            attempts - failed,
            np.where(affected, fault.truncated, TRUNCATED_RATE),
        )
        drift = 1 + 0.1 * np.sin(now / 1200)
        poor_rate = np.where(affected, fault.poor, POOR_RATE) * drift
        poor_rate = np.clip(
            poor_rate * self.workspace_difficulty[:, None], 0, 0.95
        )
        complete = attempts - failed - truncated
        poor = rng.binomial(complete, poor_rate)
        rated = rng.binomial(complete, RATED_SHARE)
        rated_poor = rng.hypergeometric(poor, complete - poor, rated)
        answered = attempts - failed
        latency = rng.multinomial(
            answered,
            np.where(affected[..., None], self.slow_latency, self.latency),
        )
        self.histogram += latency
        self.sums[..., 0] += attempts
        self.sums[..., 1] += failed
        self.sums[..., 2] += truncated
        self.pending_ratings.append((rated, rated_poor))
        if len(self.pending_ratings) > RATING_DELAY_TICKS:
            rated, rated_poor = self.pending_ratings.popleft()
            self.sums[..., 3] += rated
            self.sums[..., 4] += rated_poor
        self.exposed += int(attempts[affected].sum())
        self.bad += int((failed + truncated + poor)[affected].sum())
        if fault.slowdown > 1:
            self.bad += int(latency[affected][:, 10:].sum())

    def totals(self) -> dict[str, VersionCounts]:
        """Returns the counters by workspace."""
        return {
            name: VersionCounts(self.counts(row, 0), self.counts(row, 1))
            for row, name in enumerate(WORKSPACES)
        }

    def counts(self, row: int, column: int) -> Counts:
        """Returns the counters of one workspace and version."""
        return Counts(
            *self.sums[row, column].tolist(),
            tuple(self.histogram[row, column].tolist()),
        )


class EvidenceStrategy:
    """The product's evaluation of a roll-out."""

    def __init__(
        self, evaluator: Callable[[], PairedEvaluator] = PairedEvaluator
    ) -> None:
        self.evaluation = RolloutEvaluation(paired_evaluator=evaluator())
        self.share = 0.0
        self.full = False
        self.narrowed = 0

    def step(self, now: float, totals: Totals) -> Halt | None:
        """Processes the counters, sets the share and returns a halt, if any."""
        self.evaluation.observe(totals())
        match self.evaluation.decide(self.share, 1.0):
            case Halt() as halt:
                return halt
            case Widen(share):
                self.set_share(share)
            case Narrow(share):
                self.narrowed += 1
                self.set_share(share)
        return None

    def set_share(self, share: float) -> None:
        """Sets the share."""
        self.share = share
        self.evaluation.start_share_step()
        self.full = self.full or share >= 1.0


class NoRestartEvaluator(PairedEvaluator):
    """Test by betting without restarts for changes during the run."""

    def update_tests(
        self, workspace: str, measure: Measure, batch: Batch
    ) -> None:
        """Updates products of likelihood ratios since the first batch."""
        if not batch.stable.bad and not batch.candidate.bad:
            return
        factors = paired_factors(
            batch.stable, batch.candidate, self.policy.tolerance
        )
        for scope in (ALL_WORKSPACES, workspace):
            test = self.tests.setdefault(
                (scope, measure),
                ChangePointTest([1.0] * len(ALTERNATIVE_RATIOS)),
            )
            test.ratio_sums = [
                total * factor
                for total, factor in zip(test.ratio_sums, factors, strict=True)
            ]
            if (
                test.value >= self.halt_threshold(scope)
                and self.first_halt is None
            ):
                self.first_halt = Halt(measure, scope, test.value)


class NormalMixtureEvaluator(PairedEvaluator):
    """Always-valid test of the difference of rates: normal mixture, mSPRT."""

    def __init__(self) -> None:
        super().__init__()
        self.sides: dict = collections.defaultdict(Batch)

    def update_tests(
        self, workspace: str, measure: Measure, batch: Batch
    ) -> None:
        """Updates the difference of rates and its mixture."""
        for scope in (ALL_WORKSPACES, workspace):
            side = self.sides[scope, measure]
            side.stable += batch.stable
            side.candidate += batch.candidate
            value = normal_mixture(side, self.policy.tolerance)
            self.tests.setdefault(
                (scope, measure), ChangePointTest()
            ).ratio_sums = [value] * len(ALTERNATIVE_RATIOS)
            if value >= self.halt_threshold(scope) and self.first_halt is None:
                self.first_halt = Halt(measure, scope, value)


def normal_mixture(side: Batch, tolerance: float) -> float:
    """Returns the likelihood ratio of a mixture of positive differences."""
    stable, candidate = side.stable, side.candidate
    stable_rate = (stable.bad + 0.5) / (stable.total + 1)
    candidate_rate = (candidate.bad + 0.5) / (candidate.total + 1)
    pooled = (stable.bad + candidate.bad + 1) / (
        stable.total + candidate.total + 2
    )
    variance = pooled * (1 - pooled)
    variance *= 1 / stable.total + 1 / candidate.total
    difference = candidate_rate - stable_rate * tolerance
    if difference <= 0 or candidate.total < 30:
        return 0.0
    prior = 0.05**2
    exponent = prior * difference**2 / (2 * variance * (variance + prior))
    scale = (variance / (variance + prior)) ** 0.5
    return min(2 * scale * np.exp(min(exponent, 400)), 1e200)


@attrs.frozen
class Thresholds:
    """Highest allowed rise of each rate of bad answers over a window."""

    window_s: float
    rises: dict[Measure, float]


class FixedStepsStrategy:
    """Steps at fixed times, with thresholds checked every minute."""

    def __init__(self, thresholds: Thresholds) -> None:
        self.thresholds = thresholds
        self.share = FIXED_SHARES[0]
        self.full = False
        self.start_s: float | None = None
        self.window: collections.deque = collections.deque()
        self.last_check_s = 0.0
        self.reference: dict[str, VersionCounts] | None = None
        self.highest: collections.Counter = collections.Counter()

    def step(self, now: float, totals: Totals) -> Halt | None:
        """Processes the counters, sets the share and returns a halt, if any."""
        self.start_s = now if self.start_s is None else self.start_s
        step = min(
            int((now - self.start_s) / STEP_DURATION_S), len(FIXED_SHARES) - 1
        )
        self.share = FIXED_SHARES[step]
        if self.share >= 1.0 and not self.full:
            self.full = True
            self.reference = totals()
        if now - self.last_check_s < CHECK_INTERVAL_S:
            return None
        self.last_check_s = now
        self.window.append((now, sum_totals(totals())))
        while now - self.window[0][0] > self.thresholds.window_s:
            self.window.popleft()
        if len(self.window) < 2:
            return None
        return self.check(self.window[-1][1], self.window[0][1])

    def check(self, last: VersionCounts, first: VersionCounts) -> Halt | None:
        """Compares the window with the stable version or with the reference."""
        candidate = last.candidate - first.candidate
        stable = last.stable - first.stable
        if self.reference is not None:
            reference = sum_totals(self.reference)
            stable = reference.stable + reference.candidate
        slow_from = first_slow_bucket(stable.latency, 0.9)
        for measure in MEASURES:
            min_trials = MIN_RATED if measure is Measure.POOR else MIN_ATTEMPTS
            stable_trials = trials_of(stable, measure, slow_from)
            candidate_trials = trials_of(candidate, measure, slow_from)
            if (
                candidate_trials.total < min_trials
                or stable_trials.total < min_trials
            ):
                continue
            rise = (
                candidate_trials.bad / candidate_trials.total
                - stable_trials.bad / stable_trials.total
            )
            self.highest[measure] = max(self.highest[measure], rise)
            if rise > self.thresholds.rises.get(measure, float("inf")):
                return Halt(measure, ALL_WORKSPACES, 0.0)
        return None


def sum_totals(totals: dict[str, VersionCounts]) -> VersionCounts:
    """Returns the counters over all workspaces."""
    return VersionCounts(
        sum((pair.stable for pair in totals.values()), Counts()),
        sum((pair.candidate for pair in totals.values()), Counts()),
    )


@attrs.frozen
class Result:
    """Result of one run."""

    exposed: int
    bad: int
    halted_s: float | None
    full_s: float | None
    onset_s: float
    false_halt: bool
    narrowed: int = 0
    highest: dict[Measure, float] = attrs.Factory(dict)


def run(strategy: Callable[[], object], fault: Fault, seed: int) -> Result:
    """Runs one roll-out on one simulation."""
    simulation, policy = TrafficSimulation(fault, seed), strategy()
    full_s = halted_s = None
    now = 0.0
    while now < HORIZON_S and halted_s is None:
        now += TICK_S
        simulation.tick(now, policy.share)
        # A decision uses counters that are one tick old, and takes effect one
        # tick later.
        if policy.step(now, simulation.totals) is not None:
            halted_s = now
            simulation.tick(now, policy.share)
        if policy.full and full_s is None:
            full_s = now
            simulation.schedule_late_onset(now)
    false_halt = halted_s is not None and (
        fault == GOOD or halted_s < simulation.onset_s
    )
    highest = dict(getattr(policy, "highest", {}))
    return Result(
        simulation.exposed,
        simulation.bad,
        halted_s,
        full_s,
        simulation.onset_s,
        false_halt,
        getattr(policy, "narrowed", 0),
        highest,
    )


def run_job(job: tuple) -> Result:
    """Runs one job of the process pool."""
    return run(*job)


def tune(pool, window_s: float, factor: float) -> Thresholds:
    """Returns the tightest thresholds without a false halt in tuning.

    Args:
      pool: The process pool.
      window_s: Length of the window in seconds.
      factor: Factor by which the thresholds are raised.
    """
    loose = functools.partial(FixedStepsStrategy, Thresholds(window_s, {}))
    jobs = [(loose, GOOD, seed) for seed in range(TUNING_SEEDS)]
    results = list(pool.map(run_job, jobs))
    return Thresholds(
        window_s,
        {
            measure: factor * max(result.highest[measure] for result in results)
            for measure in MEASURES
        },
    )


def tune_window(pool, factor: float) -> Thresholds:
    """Returns the thresholds of the window with the lowest exposure."""
    exposure = {}
    for window_s in WINDOWS_S:
        thresholds = tune(pool, window_s, factor)
        strategy = functools.partial(FixedStepsStrategy, thresholds)
        jobs = [
            (strategy, fault, seed) for fault in FAULTS for seed in range(4)
        ]
        results = list(pool.map(run_job, jobs))
        exposure[thresholds.window_s] = (
            sum(result.exposed for result in results),
            thresholds,
        )
        print(f"tuning {factor}: {exposure[window_s]}", flush=True)
    return min(exposure.values(), key=lambda pair: pair[0])[1]


def make_strategies(pool) -> dict[str, Callable[[], object]]:
    """Returns the strategies to compare, with tuned baselines."""
    tight, level = tune_window(pool, 1.0), tune_window(pool, LOOSE_FACTOR)
    errors = Thresholds(
        level.window_s, {Measure.FAILED: level.rises[Measure.FAILED]}
    )
    return {
        "fixed steps, errors only": functools.partial(
            FixedStepsStrategy, errors
        ),
        "fixed steps, tight": functools.partial(FixedStepsStrategy, tight),
        "fixed steps, level": functools.partial(FixedStepsStrategy, level),
        "betting, no restart": functools.partial(
            EvidenceStrategy, NoRestartEvaluator
        ),
        "normal mixture": functools.partial(
            EvidenceStrategy, NormalMixtureEvaluator
        ),
        "by evidence": EvidenceStrategy,
    }


def report(name: str, fault: str, results: list[Result]) -> str:
    """Returns one row of the table."""
    exposed = np.mean([result.exposed for result in results])
    bad = np.mean([result.bad for result in results])
    false_halts = sum(result.false_halt for result in results)
    caught = sum(
        result.halted_s is not None and not result.false_halt
        for result in results
    )
    full = [r.full_s for r in results if r.full_s is not None]
    median = f"{np.median(full):.0f}" if full else "-"
    return (
        f"| {fault} | {name} | {exposed:.0f} | {bad:.0f} | {caught} | "
        f"{false_halts} | {len(results)} | {median} |"
    )


def plot(table: dict, out: pathlib.Path) -> None:
    """Plots the exposure by fault and strategy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 5))
    strategies = list(table)
    for number, strategy in enumerate(strategies):
        means = [
            np.mean([r.exposed for r in table[strategy][f]]) for f in FAULTS
        ]
        places = np.arange(len(FAULTS)) + number / (len(strategies) + 1)
        axes.bar(
            places,
            np.maximum(means, 1),
            1 / (len(strategies) + 1),
            label=strategy,
        )
    axes.set_yscale("log")
    axes.set_ylabel("callers exposed, mean")
    axes.set_xticks(np.arange(len(FAULTS)) + 0.4)
    axes.set_xticklabels([f.name for f in FAULTS], rotation=20, ha="right")
    axes.legend()
    figure.tight_layout()
    out.mkdir(parents=True, exist_ok=True)
    figure.savefig(out / "rollout.png")


def main() -> None:
    """Runs the comparison."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--good-seeds", type=int, default=60)
    parser.add_argument("--first-seed", type=int, default=1000)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--out", default="out")
    arguments = parser.parse_args()
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    print(f"commit {commit}, {arguments}")
    first = arguments.first_seed
    table: dict = {}
    with concurrent.futures.ProcessPoolExecutor(arguments.processes) as pool:
        strategies = make_strategies(pool)
        print(
            "| fault | way | exposed | bad answers | caught | false halts"
            " | runs | full at s |"
        )
        print("|---|---|---|---|---|---|---|---|")
        for fault in (GOOD, *FAULTS):
            count = arguments.good_seeds if fault == GOOD else arguments.seeds
            for name, strategy in strategies.items():
                jobs = [
                    (strategy, fault, first + seed) for seed in range(count)
                ]
                results = list(pool.map(run_job, jobs))
                table.setdefault(name, {})[fault] = results
                print(report(name, fault.name, results), flush=True)
    for name in strategies:
        own = sum(r.exposed for f in FAULTS for r in table["by evidence"][f])
        other = sum(r.exposed for f in FAULTS for r in table[name][f])
        print(f"exposure of 'by evidence' to '{name}': {own / other:.3f}")
    plot(table, pathlib.Path(arguments.out))


if __name__ == "__main__":
    main()
