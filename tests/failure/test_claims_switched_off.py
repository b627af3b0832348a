"""Fault tests of claims that have to fail with one mechanism disabled.

They show that the tests can detect a missing mechanism, and which failure each
mechanism prevents.
"""

import pytest

from rattanpier._internal.claims import (
    outage,
    owner,
    ownership,
    service,
    writer,
)
from rattanpier._internal.claims.records import ClaimResult, SettleOp, log_key
from rattanpier._internal.claims.shard_log import FlushResult
from rattanpier._internal.models.outcomes import Committed
from rattanpier._internal.store.table import Put, Transaction
from rattanpier._internal.utils.codec import encode
from tests.failure import test_claims_faults as faults
from tests.failure import test_claims_outage as outage_tests
from tests.failure import test_claims_ownership as ownership_tests
from tests.lib.virtual import run_virtual


def no_fence(patch):
    """Writes batches without checking the lease."""

    async def write_once(self, batch):
        put = Put(log_key(self.shard, batch.sequence), encode(batch))
        outcome = await self.table.transact(Transaction([], [put]))
        if isinstance(outcome, Committed):
            return FlushResult.DURABLE
        return FlushResult.STORE_DOWN

    patch.setattr(owner.ShardOwner, "write_once", write_once)


def read_back_assumes_durable(patch):
    """Reports a batch that is missing on read-back as durable."""
    original = owner.ShardOwner.read_back

    async def read_back(self, batch):
        result = await original(self, batch)
        if result is FlushResult.STORE_DOWN:
            return FlushResult.DURABLE
        return result

    patch.setattr(owner.ShardOwner, "read_back", read_back)


def no_disown(patch):
    patch.setattr(service.Claims, "disown", lambda *_: None)


def no_bill_replication(patch):
    """Releases answers in an outage although no peer keeps their bills."""

    async def keep(self, bill):
        return True

    patch.setattr(outage.Outage, "keep", keep)


def no_collect(patch):
    """Lets a new owner grant without the bills that peers keep."""

    async def collect(self, dead, shard):
        return []

    patch.setattr(outage.Outage, "collect", collect)


def dead_owners_count_as_alive(patch):
    """Treats all owners named in leases as alive."""
    patch.setattr(
        ownership.Ownership,
        "has_owner",
        lambda self, lease: bool(lease.owner),
    )


def no_leftover_leases(patch):
    """Recognizes no lease as left over from this process."""
    patch.setattr(ownership.Ownership, "is_mine", lambda *_: False)


def no_hand_over(patch):
    patch.setattr(ownership.Ownership, "should_hand_over", lambda *_: False)


def no_release_of_refused_asks(patch):
    """Leaves the operation of a refused ask in the log."""

    def release_op(op):
        return SettleOp(op.workspace, op.key, -1, ClaimResult.RELEASED)

    patch.setattr(writer, "release_op", release_op)


def no_epoch_confirmation(patch):
    """Returns decisions without a write before the lease is checked."""

    async def confirm_epoch(self):
        return None

    patch.setattr(owner.ShardOwner, "confirm_epoch", confirm_epoch)


def no_peer_check(patch):
    """Treats the store as down if only this entry can't reach it."""

    async def check(self):
        self.confirmed = True

    async def keep(self, bill):
        return True

    patch.setattr(outage.Outage, "check", check)
    patch.setattr(outage.Outage, "keep", keep)


TESTS = (
    (
        no_collect,
        outage_tests.test_repeat_after_owner_death_gets_the_released_answer,
    ),
    (
        no_release_of_refused_asks,
        outage_tests.test_asks_queued_when_the_store_fails_are_released,
    ),
    (
        no_peer_check,
        outage_tests.test_partitioned_entry_releases_no_answers,
    ),
    (
        no_leftover_leases,
        ownership_tests.test_shard_with_unreadable_log_is_acquired_again,
    ),
    (
        no_leftover_leases,
        ownership_tests.test_lost_acquisition_reply_leaves_no_shard_unowned,
    ),
    (no_hand_over, ownership_tests.test_planned_stop_delays_no_request),
    (
        no_hand_over,
        ownership_tests.test_joining_entries_get_their_share_of_shards,
    ),
    (
        no_epoch_confirmation,
        ownership_tests.test_resumed_owner_does_not_confirm_its_stale_grant,
    ),
)


@pytest.mark.parametrize(
    "switch_off, test", TESTS, ids=lambda value: value.__name__
)
def test_scenario_fails_without_the_mechanism(monkeypatch, switch_off, test):
    switch_off(monkeypatch)
    with pytest.raises(AssertionError):
        test()


CASES = (
    (no_fence, (faults.frozen_owners,), True),
    (no_fence, (faults.delayed_writes, faults.frozen_owners), False),
    (read_back_assumes_durable, (faults.dropped_writes,), True),
    (
        read_back_assumes_durable,
        (faults.dropped_writes, faults.killed_owners),
        False,
    ),
    (no_disown, (faults.unconfirmed_outage,), True),
    (no_bill_replication, (faults.outage, faults.killed_late), True),
    (dead_owners_count_as_alive, (faults.killed_owners,), True),
)


@pytest.mark.parametrize(
    "switch_off, combined_faults, idempotent",
    CASES,
    ids=lambda value: getattr(value, "__name__", None),
)
def test_load_fails_without_the_mechanism(
    monkeypatch, switch_off, combined_faults, idempotent
):
    switch_off(monkeypatch)
    count = run_virtual(faults.run_load(combined_faults, idempotent, seed=7))
    print(
        switch_off.__name__, faults.name_of(combined_faults), idempotent, count
    )
    assert count != faults.Count(asked=faults.REQUESTS)
