"""What a policy could reach at best with what the cascade may know.

Run from the root: `python -m benchmarks.cascade_bound`. For each class and
length of prompt the chance of a good answer and the cost are taken from many
drawn runs, for every threshold on the confidence. The cheapest thresholds that
meet each workspace's target on average follow. Such a policy knows all of this
without a rating and needs no margin, so that no policy that has to learn, and
decides by the same features, costs less but by chance.
"""

from __future__ import annotations

import attrs
import numpy as np

from benchmarks.cascade_run import oracle
from benchmarks.workloads import Trace, draw, federation

SEEDS = range(1001, 1021)  # Neither tuning nor held-back ones.
SURPLUSES = (0.0, 0.005, 0.01, 0.02, 0.03)
START_STRONG = 9.0
THRESHOLDS = np.array([*np.arange(0.0, 1.03, 0.025), START_STRONG])
LENGTH_BINS = 32
MAX_PRICE = 1e3
BISECTION_STEPS = 60


@attrs.frozen
class Choices:
    """What each threshold yields in each cell.

    Attributes:
      quality: [cell, threshold] share of good answers.
      cost: [cell, threshold] credits a request.
      counts: [cell, workspace] requests.
    """

    quality: np.ndarray
    cost: np.ndarray
    counts: np.ndarray


def request_cells(trace: Trace) -> np.ndarray:
    """Returns the number of each request's cell."""
    length = np.round(np.log2(trace.prompt_tokens + 1)).astype(int)
    return trace.label * LENGTH_BINS + length


def collect_choices(traces: list[Trace]) -> Choices:
    """Returns what two steps yield by threshold."""
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
    """Returns quality and total cost at a price of quality."""
    best = (price * choices.quality - choices.cost).argmax(axis=1)
    rows = np.arange(len(best))
    quality = counts @ choices.quality[rows, best] / counts.sum()
    return float(quality), float(counts @ choices.cost[rows, best])


def least_cost(choices: Choices, counts: np.ndarray, target: float) -> float:
    """Returns the least cost, requests shared out between two prices."""
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
    """Prints the bound for federation, steady."""
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
