"""Entries converge to the state that authors wrote, despite store restores.

Before that, no entry reverts a change of an author that it has received.
"""

import random

import pytest

from tests.lib.restored_fleet import Fleet

ACTIONS = {
    "start_worker": 2,
    "renew_worker": 3,
    "drain_worker": 2,
    "remove_worker": 2,
    "order_domain": 3,
    "write_again": 2,
    "keep_copy": 2,
    "come_back": 1,
    "lose_message": 2,
    "deliver_message": 8,
    "ask_store": 8,
    "catch_up": 4,
    "wait": 2,
}
STEPS = 200


@pytest.mark.parametrize("seed", range(150))
async def test_store_restore_reverts_no_change_of_author(seed):
    random.seed(seed)  # Followers randomize the times of their reads.
    rng = random.Random(seed)
    names = rng.choices(list(ACTIONS), ACTIONS.values(), k=STEPS)
    fleet = Fleet()
    for name in names:
        await fleet.act(name, rng.randrange(12))
        fleet.check()
    await fleet.settle()
    fleet.check_end()
