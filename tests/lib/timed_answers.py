"""Builds durations of answers of two versions."""

from rattanpier._internal.relay.durations import (
    NO_DURATIONS,
    DurationCounts,
    duration_bucket,
    ended_duration,
)

STRATUM = ("r", "small")
SPREAD = 0.3  # Standard deviation of the logarithm of a duration.


def draw_durations(rng, count, factor=1.0, share=1.0, spread=SPREAD):
    """Returns durations of which a share takes a multiple of the time."""
    ended = {}
    for _ in range(count):
        slower = factor if rng.random() < share else 1.0
        bucket = duration_bucket(rng.lognormvariate(0.0, spread) * slower)
        ended[bucket] = ended.get(bucket, 0) + 1
    return DurationCounts(ended)


def draw_series(rng, count, step, factor=1.0, share=1.0):
    """Yields durations as they grow, some more each time."""
    total = NO_DURATIONS
    for _ in range(0, count, step):
        total += draw_durations(rng, step, factor, share)
        yield total


def equal_durations(count, duration=1.0):
    """Returns equal durations."""
    return sum([ended_duration(duration)] * count, NO_DURATIONS)
