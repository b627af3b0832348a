"""Simulation of model engines that process prompts in order, without a network.

Models only what placement decides about: a worker reads its prompts in order of
arrival, and nothing else takes time.
"""

import heapq
import itertools
import random

import attrs

from rattanpier._internal.models.route_table import ModelCost
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.model_groups import ModelGroups
from rattanpier._internal.relay.model_timings import ModelTimings
from rattanpier._internal.relay.placement import Chooser
from rattanpier._internal.relay.prompt_updates import MIN_PUBLISHED_READ_S
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import MODELS, make_chat, make_workers

READ_S_PER_TOKEN = {
    "small": 1e-5,
    "large": 1e-4,
}  # Seconds per token, by model.
COSTS = (ModelCost("small", 0.02), ModelCost("large", 0.3))


@attrs.define
class SimulatedLatencies:
    """Seconds from arrival to the first event, by model."""

    first_s: dict = attrs.Factory(lambda: {"small": [], "large": []})

    def quantile(self, model, share):
        ordered = sorted(self.first_s[model])
        return ordered[int(share * (len(ordered) - 1))]


def make_chooser(clock, seed):
    """Returns the chooser of one entry."""
    pace = ModelTimings(clock)
    pace.apply_prices(COSTS)
    loads = Loads(clock)
    return Chooser(loads, "a", random.Random(seed), pace, ModelGroups(clock))


def simulate_engines(
    workers=9,
    entries=6,
    per_s=30.0,
    seconds=40.0,
    large=0.4,
    grouped=True,
    shared=0.0,
):
    """Simulates requests, a fraction `large` of them for the large model.

    With `grouped`, workers are grouped by model. Entries learn of a fraction
    `shared` of the prompts that their peers send.
    """
    rng = random.Random(11)
    clock = ManualClock()
    pool = make_workers(workers)
    choosers = [make_chooser(clock, seed) for seed in range(entries)]
    free_at = dict.fromkeys((worker.id for worker in pool), 0.0)
    pending, latencies, serial = [], SimulatedLatencies(), itertools.count()
    while clock.now < seconds:
        clock.now += rng.expovariate(per_s)
        while pending and pending[0][0] <= clock.now:
            _, _, end = heapq.heappop(pending)
            end()
        model = "large" if rng.random() < large else "small"
        tokens = int(rng.lognormvariate(7.5, 1.0))
        request = make_chat(parts=((f"p{next(serial)}", tokens),))
        if not grouped:
            # A route with one model has no groups.
            route = attrs.evolve(request.route, models=MODELS[:1])
            request = attrs.evolve(request, route=route)
        chooser = rng.choice(choosers)
        choice = chooser.choose(request, pool, model)
        chooser.record_upstream_request(request, model, choice)
        id, sent = choice.worker.id, clock.now
        flight = chooser.loads.begin(id, choice.read_s)
        is_shared = shared > 0.0 and rng.random() < shared
        for other in choosers if is_shared else ():
            if other is not chooser and choice.read_s >= MIN_PUBLISHED_READ_S:
                other.loads.apply_peer_prompt(id, choice.read_s)
        first_at = max(sent, free_at[id]) + READ_S_PER_TOKEN[model] * tokens
        free_at[id] = first_at
        latencies.first_s[model].append(first_at - sent)

        def end(
            chooser=chooser,
            id=id,
            flight=flight,
            model=model,
            sent=sent,
            tokens=choice.to_read,
        ):
            chooser.loads.end(id, flight)
            chooser.timings.record_first_event(
                model, 0, tokens, clock.now - sent
            )

        heapq.heappush(pending, (first_at, next(serial), end))
    return latencies
