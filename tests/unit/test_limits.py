"""Tests of the limit of an entry at a pool."""

from rattanpier._internal.dispatch.limits import PoolLimit


def test_limit_never_falls_below_the_own_part():
    limit = PoolLimit()
    for _ in range(100):
        limit.record_failure()
    assert limit.limit(slots=64, entries=8) == 8


def test_single_busy_entry_uses_the_slots_of_idle_peers():
    limit = PoolLimit()
    for _ in range(3000):
        limit.record_first_token(0.1)
        limit.limit(slots=64, entries=8)
    assert limit.limit(slots=64, entries=8) == 64


def test_late_first_tokens_lower_the_limit():
    limit = PoolLimit()
    for _ in range(3000):
        limit.record_first_token(0.1)
        limit.limit(slots=64, entries=8)
    for _ in range(100):
        limit.record_first_token(2.0)
    assert limit.limit(slots=64, entries=8) < 12
