"""The limit of an entry at a pool."""

from rattanpier._internal.dispatch.limits import PoolLimit


def test_own_part_is_sure():
    limit = PoolLimit()
    for _ in range(100):
        limit.record_failure()
    assert limit.limit(slots=64, entries=8) == 8


def test_lone_busy_entry_takes_what_the_others_leave():
    limit = PoolLimit()
    for _ in range(3000):
        limit.record_first_token(0.1)
        limit.limit(slots=64, entries=8)
    assert limit.limit(slots=64, entries=8) == 64


def test_late_first_tokens_give_the_extra_back():
    limit = PoolLimit()
    for _ in range(3000):
        limit.record_first_token(0.1)
        limit.limit(slots=64, entries=8)
    for _ in range(100):
        limit.record_first_token(2.0)
    assert limit.limit(slots=64, entries=8) < 12
