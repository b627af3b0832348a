"""Entries that start during or after a roll-out.

Guards against entries that serve requests before they have read how far the
roll-out went, and against a deadline that counts from its first record.
"""

import time

from rattanpier._internal.models.rollout_order import (
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.relay.own_table import ROLLOUT_PREFIX, TABLE
from rattanpier._internal.utils.codec import converter
from tests.lib.platform_site import platform_site, until
from tests.lib.relay_parts import at


async def add_versions_and_record(site, phase):
    """Adds two versions, an order for the second and a record of its phase."""
    await site.add_worker("old", version="v1")
    await site.add_worker("new", version="v2")
    site.store.put(
        "op",
        "rollout/plain",
        {"service": "plain", "to": "v2", "deadlineS": 20},
    )
    order = at(site.store.version).number
    record = RolloutRecord(order, "plain", "v2", phase, 0.0, 0.0)
    site.store.put(
        TABLE, f"{ROLLOUT_PREFIX}plain", converter.unstructure(record)
    )


async def test_a_restarted_entry_uses_the_new_version_of_a_completed_roll_out():
    async with platform_site() as site:
        await add_versions_and_record(site, RolloutPhase.COMPLETED)
        await site.add_entry()
        for _ in range(8):
            answer = await site.ask()
            assert answer.body.startswith(b"new ran")


async def test_a_restarted_entry_avoids_a_version_that_was_rolled_back():
    async with platform_site() as site:
        await add_versions_and_record(site, RolloutPhase.ROLLED_BACK)
        await site.add_entry()
        for _ in range(8):
            answer = await site.ask()
            assert answer.body.startswith(b"old ran")


async def test_a_started_roll_out_is_shown_to_operators_as_in_progress():
    async with platform_site() as site:
        await site.add_worker("old", version="v1")
        await site.add_worker("new", version="v2")
        await site.add_entry()
        site.store.put(
            "op",
            "rollout/plain",
            {"service": "plain", "to": "v2", "deadlineS": 4},
        )
        await until(lambda: site.store.value("status", "rollout/plain"))
        status = site.store.value("status", "rollout/plain")
        assert (status["state"], status["to"]) == ("in_progress", "v2")


async def test_the_deadline_counts_from_the_order_not_from_its_first_record():
    async with platform_site() as site:
        await site.add_worker("old", version="v1")
        await site.add_worker("new", version="v2")
        entry = await site.add_entry()
        rollouts = entry.state.rollouts
        site.store.put(
            "op",
            "rollout/plain",
            {"service": "plain", "to": "v2", "deadlineS": 20},
        )
        await until(lambda: rollouts.orders)
        known_ms = time.monotonic() * 1000  # The stand-in's steady clock.
        order = rollouts.orders["plain"]
        rollouts.known_at[order.id] -= 3.0
        await until(lambda: "plain" in rollouts.records)
        begun_ms = rollouts.records["plain"].begun_ms
        assert known_ms - 4000 < begun_ms < known_ms - 2000
