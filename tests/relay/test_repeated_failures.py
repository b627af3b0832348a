"""Guards against repeats of one request that count as several failures.

A request that fails for a reason of its own fails at each worker.
"""

import attrs

from rattanpier._internal.models.rollout_order import RolloutPhase
from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.lib.platform_site import platform_site, until


async def test_a_repeated_request_fails_once_in_the_evidence():
    async with platform_site() as site:
        await site.add_worker("old", version="v1")
        new = [
            await site.add_worker(name, version="v2", fault=WorkerFault.FAIL)
            for name in ("new", "newer")
        ]
        entry = await site.add_entry(exposureRatio=1.0)
        site.store.put(
            "op",
            "rollout/plain",
            {"service": "plain", "to": "v2", "deadlineS": 60},
        )
        rollouts = entry.state.rollouts
        await until(lambda: "plain" in rollouts.records)
        directory = entry.state.directory
        await until(lambda: len(directory.accepting_workers("plain")) == 3)
        order = rollouts.orders["plain"]
        full = attrs.evolve(rollouts.records["plain"], phase=RolloutPhase.FULL)
        rollouts.apply_record(full)
        await site.ask()
        assert sum(len(worker.runs) for worker in new) == 2
        assert rollouts.summary(order.id, candidate=True)["bad"] == 1
