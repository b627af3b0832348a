"""Compares the cost of cascade policies at equal quality with baselines.

Run from the root: `python -m benchmarks.cascade`. Seeds 1 to 3 were used for
tuning and are not reported. `python -m benchmarks.cascade ours` skips the
baselines that don't depend on the learned policy.
"""

from __future__ import annotations

import concurrent.futures
import pathlib
import sys

import attrs
import numpy as np

from benchmarks.cascade_run import (
    PolicyFactory,
    Result,
    make_calibrated,
    make_learned,
    make_static,
    oracle,
    run_policy,
)
from benchmarks.workloads import SHIFTS, Trace, draw, federation, tuakana
from rattanpier._internal.cascade.policy import always_strong, fixed_threshold

TUNING_SEEDS = (1, 2, 3)
HELD_OUT_SEEDS = (101, 102)
WORKLOADS = {"federation": federation, "tuakana": tuakana}
THRESHOLD = 0.6  # Performed best on the tuning seed.
THRESHOLDS = np.arange(0.3, 1.0, 0.05)  # Candidates in hindsight.
PROCESSES = 6
OUTPUT_DIR = pathlib.Path("out")


@attrs.frozen
class Row:
    """Result of one policy on one trace.

    Attributes:
      workload: Name of the workload.
      shift: Name of the shift.
      seed: Seed of the trace.
      policy: Name of the policy.
      cost_to_strong: Cost relative to the policy that is always strong.
      cost_to_oracle: Cost relative to the oracle.
      worst: Lowest quality of a workspace, in percentage points above its
        target.
      below: Number of workspaces below their target.
      worst_late: Like `worst`, for the last third of the run.
      ratings: Number of paid ratings.
    """

    workload: str
    shift: str
    seed: int
    policy: str
    cost_to_strong: float
    cost_to_oracle: float
    worst: float
    below: int
    worst_late: float
    ratings: int


def hindsight_threshold(trace: Trace) -> Result:
    """Returns the result of the lowest threshold that meets every target.

    If none does, it is that of the highest threshold.
    """
    targets = np.array([c.target for c in trace.workload.customers])
    for threshold in THRESHOLDS:
        make = make_static(fixed_threshold(float(threshold)))
        result = run_policy("threshold in hindsight", make, trace)
        if (result.quality() >= targets).all():
            break
    return result


def policies(
    shift: str, seed: int, ours_only: bool
) -> dict[str, PolicyFactory]:
    """Returns the factories of the policies of a run, by name."""
    made = {"ours": make_learned()}
    if not ours_only:
        cheap_first = make_static(fixed_threshold(THRESHOLD))
        made[f"cheap first, {THRESHOLD}"] = cheap_first
        made["threshold steered"] = make_calibrated()
    if seed == HELD_OUT_SEEDS[0] and shift == "steady":
        made["ours, 1/8 of ratings"] = make_learned(1 / 8)
        made["ours, all rated at once"] = make_learned(1.0, True)
    return made


def run_one(workload: str, shift: str, seed: int, ours_only: bool) -> list[Row]:
    """Runs every policy on one generated trace."""
    trace = draw(WORKLOADS[workload](), shift, seed)
    strong = run_policy("always strong", make_static(always_strong()), trace)
    best = oracle(trace)
    results = [strong, best]
    if not ours_only:
        results.append(hindsight_threshold(trace))
    for name, make in policies(shift, seed, ours_only).items():
        results.append(run_policy(name, make, trace))
    return [
        make_row(workload, shift, seed, result, strong, best, trace)
        for result in results
    ]


def make_row(
    workload: str,
    shift: str,
    seed: int,
    result: Result,
    strong: Result,
    best: Result,
    trace: Trace,
) -> Row:
    """Returns the row for a result."""
    targets = np.array([c.target for c in trace.workload.customers])
    margin = result.quality() - targets
    late = result.late_good / np.maximum(1, result.late_count) - targets
    return Row(
        workload,
        shift,
        seed,
        result.policy,
        float(result.cost.sum() / strong.cost.sum()),
        float(result.cost.sum() / best.cost.sum()),
        100 * float(margin.min()),
        int((margin < 0).sum()),
        100 * float(late.min()),
        int(result.ratings.sum()),
    )


def table(rows: list[Row]) -> str:
    """Returns the results as a Markdown table."""
    lines = [
        "| workload | shift | seed | policy | cost / strong | cost / oracle "
        "| worst workspace, points over target | workspaces below "
        "| worst in the last third | ratings |",
        "|---|---|---|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {r.workload} | {r.shift} | {r.seed} | {r.policy} "
        f"| {r.cost_to_strong:.3f} | {r.cost_to_oracle:.2f} | {r.worst:+.1f} "
        f"| {r.below} | {r.worst_late:+.1f} | {r.ratings} |"
        for r in rows
    ]
    return "\n".join(lines)


def plot(rows: list[Row], path: pathlib.Path) -> None:
    """Plots the cost against the quality of the worst workspace."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4.5), sharey=True)
    for axis, workload in zip(axes, WORKLOADS, strict=True):
        mine = [row for row in rows if row.workload == workload]
        for policy in dict.fromkeys(row.policy for row in mine):
            points = [row for row in mine if row.policy == policy]
            axis.scatter(
                [row.cost_to_strong for row in points],
                [row.worst for row in points],
                label=policy,
            )
        axis.axhline(0, color="black", linewidth=0.8)
        axis.set_title(workload)
        axis.set_xlabel("cost, always strong = 1")
    axes[0].set_ylabel("worst workspace, points over target")
    axes[1].legend(fontsize="small")
    figure.tight_layout()
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path)


def main() -> None:
    """Runs all policies, prints the table and writes the plot."""
    ours_only = sys.argv[1:] == ["ours"]
    runs = [
        (workload, shift, seed, ours_only)
        for workload in WORKLOADS
        for shift in SHIFTS
        for seed in HELD_OUT_SEEDS
    ]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        rows: list[Row] = []
        for done in pool.map(run_one, *zip(*runs, strict=True)):
            rows.extend(done)
            print(table(done), file=sys.stderr, flush=True)
    print(table(rows))
    OUTPUT_DIR.mkdir(exist_ok=True)
    (OUTPUT_DIR / "cascade.md").write_text(table(rows) + "\n")
    plot(rows, OUTPUT_DIR / "cascade.png")


if __name__ == "__main__":
    main()
