"""Tests of the evaluation of roll-outs: widening, narrowing and halts."""

import random

import pytest

from rattanpier._internal.rollout.evaluation import RolloutEvaluation
from rattanpier._internal.rollout.evidence import (
    NO_COUNTS,
    Counts,
    Measure,
    VersionCounts,
    latency_bucket,
)
from rattanpier._internal.rollout.paired_evaluator import (
    ALL_WORKSPACES,
    EvaluationPolicy,
    Halt,
    Hold,
    Narrow,
    PairedEvaluator,
    Widen,
)


class Traffic:
    """Generates the answers of both versions from a seed."""

    def __init__(self, seed=1, workspaces=("a", "b"), per_step=100):
        self.rng = random.Random(seed)
        self.workspaces = workspaces
        self.per_step = per_step
        self.totals = {name: VersionCounts() for name in workspaces}

    def run(self, share, candidate=None, stable=None, affected_workspace=None):
        """Adds one step; `candidate` may affect a single workspace only."""
        for name in self.workspaces:
            affected = affected_workspace in (None, name)
            sums = {True: NO_COUNTS, False: NO_COUNTS}
            for _ in range(self.per_step):
                is_candidate = self.rng.random() < share
                rates = (
                    (candidate if affected else None)
                    if is_candidate
                    else stable
                )
                sums[is_candidate] += self.answer(rates or {})
            pair = self.totals[name]
            self.totals[name] = VersionCounts(
                pair.stable + sums[False], pair.candidate + sums[True]
            )
        return self.totals

    def answer(self, rates):
        failed = self.rng.random() < rates.get(Measure.FAILED, 0.01)
        truncated = self.rng.random() < rates.get(Measure.TRUNCATED, 0.01)
        poor = self.rng.random() < rates.get(Measure.POOR, 0.1)
        slow = self.rng.random() < rates.get(Measure.SLOW, 0.05)
        latency = [0] * 16
        latency[latency_bucket(2.0 if slow else 0.2)] = 1
        return Counts(
            1, int(failed), int(truncated), 1, int(poor), tuple(latency)
        )


def run_until_halt(traffic, share=0.2, steps=60, **rates):
    evaluator = PairedEvaluator()
    for _ in range(steps):
        evaluator.observe(traffic.run(share, **rates))
        decision = evaluator.decide(share, 1.0)
        if isinstance(decision, Halt):
            return decision
    return decision


@pytest.mark.parametrize("measure", list(Measure))
def test_regression_of_each_measure_halts_and_is_reported(measure):
    decision = run_until_halt(Traffic(), candidate={measure: 0.4})
    assert isinstance(decision, Halt)
    assert decision.measure is measure


def test_a_fault_in_one_small_workspace_halts():
    traffic = Traffic(workspaces=tuple("abcdefgh"), per_step=20)
    decision = run_until_halt(
        traffic,
        steps=200,
        candidate={Measure.POOR: 0.7},
        affected_workspace="h",
    )
    assert isinstance(decision, Halt)
    assert decision.workspace == "h"


def test_false_halts_stay_within_the_error_rate():
    halts = sum(
        isinstance(run_until_halt(Traffic(seed), steps=20), Halt)
        for seed in range(30)
    )
    assert halts <= 1


def test_an_incident_that_hits_both_versions_is_no_evidence():
    outage = {Measure.FAILED: 0.5, Measure.SLOW: 0.9}
    decision = run_until_halt(
        Traffic(), steps=40, candidate=outage, stable=outage
    )
    assert not isinstance(decision, Halt)


def test_a_better_candidate_is_not_halted():
    decision = run_until_halt(Traffic(), stable={Measure.POOR: 0.3})
    assert not isinstance(decision, Halt)


def test_regression_after_many_good_answers_is_found_without_delay():
    """A test without restarts is delayed by the earlier good answers."""

    def steps_to_halt(good_steps):
        traffic, evaluator = Traffic(), PairedEvaluator()
        for _ in range(good_steps):
            evaluator.observe(traffic.run(0.2))
        for step in range(100):
            evaluator.observe(traffic.run(0.2, {Measure.POOR: 0.4}))
            if evaluator.first_halt:
                return step
        return 100

    assert steps_to_halt(200) <= 3 * steps_to_halt(0) + 3


def test_share_is_not_widened_by_steps_without_evidence():
    evaluator = PairedEvaluator()
    assert evaluator.decide(0.0, 1.0) == Widen(0.01)
    evaluator.start_share_step()
    for _ in range(1000):
        evaluator.observe({})
    assert isinstance(evaluator.decide(0.01, 1.0), Hold)


def test_good_version_is_widened_up_to_max_share():
    traffic, evaluator, share = Traffic(per_step=500), PairedEvaluator(), 0.0
    shares = []
    for _ in range(60):
        evaluator.observe(traffic.run(share))
        decision = evaluator.decide(share, 0.5)
        if isinstance(decision, Widen):
            share = decision.share
            shares.append(share)
            evaluator.start_share_step()
    assert shares[-1] == 0.5
    assert shares == sorted(shares)


def test_suspected_version_is_narrowed_before_a_halt():
    traffic, evaluator = Traffic(per_step=20), PairedEvaluator()
    for _ in range(200):
        evaluator.observe(traffic.run(0.5, {Measure.POOR: 0.25}))
        decision = evaluator.decide(0.5, 1.0)
        if not isinstance(decision, Hold | Widen):
            break
    assert isinstance(decision, Narrow)
    assert decision.share == EvaluationPolicy().narrow_share


def test_counters_of_an_earlier_driver_are_no_evidence():
    """The share changed meanwhile, so they compare different times."""
    pair = VersionCounts(
        Counts(1000, 10, 10, 1000, 100), Counts(1000, 500, 500, 1000, 900)
    )
    evaluator = PairedEvaluator()
    evaluator.start_from({"a": pair})
    evaluator.observe({"a": pair})
    assert evaluator.first_halt is None
    assert isinstance(evaluator.decide(0.1, 1.0), Hold)


@pytest.mark.parametrize("measure", list(Measure))
def test_regression_after_full_roll_out_narrows_the_share(measure):
    evaluation, traffic = run_full_roll_out()
    for _ in range(40):
        evaluation.observe(traffic.run(1.0, {measure: 0.4}))
        decision = evaluation.decide(1.0, 1.0)
        if isinstance(decision, Narrow):
            break
    assert isinstance(decision, Narrow)


def test_a_good_version_stays_at_full_share():
    evaluation, traffic = run_full_roll_out()
    for _ in range(100):
        evaluation.observe(traffic.run(1.0))
        assert isinstance(evaluation.decide(1.0, 1.0), Hold)


def test_paired_test_halts_a_bad_version_after_an_alarm():
    evaluation, traffic = run_full_roll_out()
    bad = {Measure.FAILED: 0.3}
    share = 1.0
    for _ in range(60):
        evaluation.observe(traffic.run(share, bad))
        decision = evaluation.decide(share, 1.0)
        if isinstance(decision, Narrow):
            share = decision.share
            evaluation.start_share_step()
        if isinstance(decision, Halt):
            break
    assert decision.measure is Measure.FAILED
    assert decision.workspace in (ALL_WORKSPACES, "a", "b")


def run_full_roll_out():
    """Returns an evaluation at full share with known reference rates."""
    evaluation, traffic = RolloutEvaluation(), Traffic()
    for _ in range(20):
        evaluation.observe(traffic.run(0.5))
    evaluation.start_share_step()
    evaluation.decide(1.0, 1.0)
    return evaluation, traffic


@pytest.mark.parametrize("bad", [0, 100_000, 900_000])
def test_a_batch_of_any_size_is_evaluated(bad):
    """Guards against overflow in large batches.

    They occur after a store outage or at thousands of requests per second.
    """
    million_counts = Counts(1_000_000, bad, 0, 1_000_000, bad)
    evaluator = PairedEvaluator()
    evaluator.observe({"a": VersionCounts(million_counts, million_counts)})
    assert evaluator.first_halt is None
    worse_counts = Counts(2_000_000, bad + 950_000, 0, 2_000_000, bad + 950_000)
    evaluator.observe({"a": VersionCounts(million_counts, worse_counts)})
    evaluation, traffic = run_full_roll_out()
    totals = traffic.totals
    totals["a"] = VersionCounts(
        totals["a"].stable, totals["a"].candidate + million_counts
    )
    evaluation.observe(totals)
    assert isinstance(evaluation.decide(1.0, 1.0), Hold if bad == 0 else Narrow)
