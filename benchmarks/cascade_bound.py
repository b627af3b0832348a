"""Computes a lower bound on the cost of policies with the same features.

Run from the root: `python -m benchmarks.cascade_bound`. The probability of a
good answer and the cost are estimated from many generated traces, for each
class, prompt length and confidence threshold. From these follow the cheapest
thresholds that meet the target of each workspace on average. Such a policy
needs no ratings and no margin, so a policy that has to learn and uses the same
features is cheaper only by chance.
"""

from __future__ import annotations

import attrs
import numpy as np

from benchmarks.cascade_run import oracle
from benchmarks.workloads import Trace, draw, federation

SEEDS = range(1001, 1021)  # Neither used for tuning nor held out.
SURPLUSES = (0.0, 0.005, 0.01, 0.02, 0.03)
START_STRONG = 9.0
THRESHOLDS = np.array([*np.arange(0.0, 1.03, 0.025), START_STRONG])
LENGTH_BINS = 32
MAX_PRICE = 1e3
BISECTION_STEPS = 60


@attrs.frozen
class Choices:
    """Outcome of each threshold in each cell.

    Attributes:
      quality: [cell, threshold] share of good answers.
      cost: [cell, threshold] credits per request.
      counts: [cell, workspace] number of requests.
    """

    quality: np.ndarray
    cost: np.ndarray
    counts: np.ndarray


def request_cells(trace: Trace) -> np.ndarray:
    """Returns the cell number of each request."""
    length = np.round(np.log2(trace.prompt_tokens + 1)).astype(int)
    return trace.label * LENGTH_BINS + length


def collect_choices(traces: list[Trace]) -> Choices:
    """Returns the outcomes of a two-step cascade by threshold."""
    cells = np.concatenate([request_cells(trace) for trace in traces])
    confidence = np.concatenate([trace.confidence[:, 0] for trace in traces])
    good = np.concatenate([trace.good for trace in traces])
    costs = np.concatenate([trace.costs() for trace in traces])
    customer = np.concatenate([trace.customer for trace in traces])
    size = len(traces[0].workload.customers)
    quality, cost, counts = [], [], []
    for cell in np.unique(cells):
        mine = cells == cell
        accept = confidence[mine] >= THRESHOLDS[:, None]
        cheap, strong = good[mine].T
        quality.append(np.where(accept, cheap, strong).mean(axis=1))
        paid, further = costs[mine].T
        spent = (paid + np.where(accept, 0, further)).mean(axis=1)
        spent[THRESHOLDS == START_STRONG] = further.mean()
        cost.append(spent)
        counts.append(np.bincount(customer[mine], minlength=size))
    return Choices(np.stack(quality), np.stack(cost), np.stack(counts))


def at_price(
    choices: Choices, counts: np.ndarray, price: float
) -> tuple[float, float]:
    """Returns the quality and the total cost at a price of quality."""
    best = (price * choices.quality - choices.cost).argmax(axis=1)
    rows = np.arange(len(best))
    quality = counts @ choices.quality[rows, best] / counts.sum()
    return float(quality), float(counts @ choices.cost[rows, best])


def least_cost(choices: Choices, counts: np.ndarray, target: float) -> float:
    """Returns the lowest cost that meets a target.

    Requests are divided between two prices so that the target is met exactly,
    if it can be.
    """
    low, high = 0.0, MAX_PRICE
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if at_price(choices, counts, middle)[0] >= target:
            high = middle
        else:
            low = middle
    missed, less = at_price(choices, counts, low)
    reached, more = at_price(choices, counts, high)
    if reached <= missed:
        return more
    part = min(1.0, max(0.0, (target - missed) / (reached - missed)))
    return less + (more - less) * part


def main() -> None:
    """Prints the bound for the steady federation workload."""
    traces = [draw(federation(), "steady", seed) for seed in SEEDS]
    choices = collect_choices(traces)
    strong = sum(float(trace.costs()[:, -1].sum()) for trace in traces)
    best = sum(float(oracle(trace).cost.sum()) for trace in traces)
    print("| points over target | cost / strong | cost / oracle |")
    print("|---|---|---|")
    for surplus in SURPLUSES:
        cost = sum(
            least_cost(choices, choices.counts[:, n], customer.target + surplus)
            for n, customer in enumerate(traces[0].workload.customers)
        )
        print(
            f"| {100 * surplus:.1f} | {cost / strong:.3f} | {cost / best:.2f} |"
        )


if __name__ == "__main__":
    main()
