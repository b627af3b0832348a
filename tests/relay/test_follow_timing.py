"""The times of a follower fit into the bound that they are derived from."""

import pytest

from rattanpier._internal.platform.settings import decode_settings
from rattanpier._internal.relay.follow_timing import (
    MIN_BOUND_S,
    STANDBY_COUNT,
    WATCHER_COUNT,
    FollowTiming,
)
from tests.lib.platform_site import platform_site, settings_document

BOUNDS_S = (MIN_BOUND_S, 1.0, 2.0, 3.0, 19.0)
# Of the bound, for the call itself and for timers that are late.
MIN_MARGIN_RATIO = 0.15


@pytest.mark.parametrize("bound_s", BOUNDS_S)
def test_an_entry_that_nobody_tells_asks_well_within_the_bound(bound_s):
    timing = FollowTiming(bound_s)
    longest_s = max(
        timing.timeout_s(None) + timing.max_jitter_s, timing.startup_timeout_s
    )
    longest_s += timing.poll_interval_s
    assert longest_s <= (1 - MIN_MARGIN_RATIO) * bound_s


@pytest.mark.parametrize("bound_s", BOUNDS_S)
def test_a_change_that_has_to_be_fetched_arrives_within_the_bound(bound_s):
    timing = FollowTiming(bound_s)
    # The first watcher fails while it collects changes.
    delay_s = timing.batch_delay_s + timing.backup_delay_s([1])
    delay_s += timing.poll_interval_s + timing.max_fetch_jitter_s
    assert delay_s <= (1 - MIN_MARGIN_RATIO) * bound_s


@pytest.mark.parametrize("bound_s", BOUNDS_S)
def test_entries_act_in_the_order_of_their_ranks(bound_s):
    timing = FollowTiming(bound_s)
    ranks = [*range(WATCHER_COUNT - 1, WATCHER_COUNT + STANDBY_COUNT), None]
    timeouts = [timing.timeout_s(rank) for rank in ranks]
    assert timeouts == sorted(set(timeouts))
    assert timing.feed_wait_s < timeouts[0]


async def test_followers_take_their_bounds_from_the_settings():
    async with platform_site() as site:
        await site.add_worker("w1")
        entry = await site.add_entry(configApplyMs=1200, drainMs=900)
        followers = entry.gossip.followers
        assert followers["op"].timing.bound_s == 1.2
        assert followers["servers"].timing.bound_s == 0.9


def test_a_missing_bound_has_a_default():
    settings = decode_settings(settings_document("127.0.0.1:1"), "test")
    assert settings.bounds.apply_s == 2.0
