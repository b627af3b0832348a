"""Times at which callers send requests, for tests of retry budgets.

Each load returns times in seconds, from 0 on. They are drawn from `rng`.
"""

import attrs

from tests.lib.repeat_fleet import make_idle_fleet

BURST_S = 0.01  # In which the requests of a burst are sent.
LONGEST_GAP_S = 20.0
LENGTH_S = 40.0
# From a run that fails at once to one that takes a stream's whole time.
SHORTEST_RUN_S = 0.3
LONGEST_RUN_S = 12.0


@attrs.frozen
class Burst:
    """Requests that are sent together.

    Attributes:
      at: When they are sent, in seconds.
      count: Number of requests.
      part: Part of the entries that receives them, 0 or 1; None for all.
    """

    at: float
    count: int
    part: int | None = None


def steady(rng, per_s):
    return [rng.uniform(0.0, LENGTH_S) for _ in range(int(per_s * LENGTH_S))]


def bursts(rng, per_s):
    """Bursts at random times, with a third of the requests between them."""
    count = rng.randint(2, 8)
    size = int(per_s * LENGTH_S * 2 / 3 / count)
    starts = [rng.uniform(0.0, LENGTH_S) for _ in range(count)]
    burst = [
        at + rng.uniform(0.0, BURST_S) for at in starts for _ in range(size)
    ]
    return burst + steady(rng, per_s / 3)


def pairs(rng, per_s):
    return pairs_at(rng.uniform(0.0, LONGEST_GAP_S), per_s)(rng, per_s)


def pairs_at(gap_s, per_s):
    """Returns a load of bursts at a distance, and nothing else."""

    def load(rng, _per_s):
        size, at, times = int(10.0 * per_s), 0.0, []
        while at < LENGTH_S:
            times += [at + rng.uniform(0.0, BURST_S) for _ in range(size)]
            at += max(gap_s, 0.5)
        return times

    return load


def ramps(rng, per_s):
    """More and more requests, then fewer, or the reverse."""
    peak = rng.choice((0.0, LENGTH_S / 2, LENGTH_S))
    return [
        rng.triangular(0.0, LENGTH_S, peak)
        for _ in range(int(per_s * LENGTH_S))
    ]


def herds(rng, per_s):
    """Silence, after which all callers come back within a second."""
    begin, end = sorted(rng.uniform(0.0, LENGTH_S) for _ in range(2))
    times = steady(rng, per_s)
    return [
        at if not begin < at < end else end + rng.uniform(0.0, 1.0)
        for at in times
    ]


LOADS = {
    "steady": steady,
    "bursts": bursts,
    "pairs of bursts": pairs,
    "ramps": ramps,
    "herds": herds,
}


def make_loaded_fleet(bounds, seed, count, load, per_s, fails=0.9):
    """Returns a fleet with a load and attempts of a drawn length to come."""
    fleet = make_idle_fleet(bounds, seed, count)
    rng = fleet.rng
    fleet.fails = fails
    shortest = rng.choice((0.005, SHORTEST_RUN_S))
    longest = rng.choice((2 * SHORTEST_RUN_S, 3.0, LONGEST_RUN_S))
    fleet.run_s = (shortest, longest)
    for at in load(rng, per_s):
        fleet.after(at, fleet.send_request)
    return fleet


def play_bursts(bounds, count, bursts, run_s):
    """Plays bursts of requests that all fail; returns the fleet.

    Args:
      bounds: What operators allow.
      count: Number of entries.
      bursts: The bursts.
      run_s: Shortest and longest run at a worker, in seconds.
    """
    fleet = make_idle_fleet(bounds, 0, count)
    fleet.fails = 1.0
    fleet.run_s = run_s
    for burst in bursts:
        for _ in range(burst.count):
            fleet.after(burst.at, fleet.send_request, burst.part)
    last = max(burst.at for burst in bursts)
    fleet.run(last + 3 * run_s[1] + 1.0)
    return fleet
