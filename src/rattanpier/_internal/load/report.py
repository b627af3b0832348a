"""Counters and latency percentiles of a load run."""

from __future__ import annotations

import collections
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9, 100.0)


def make_histogram() -> HdrHistogram:
    """Returns a histogram of latencies up to an hour, in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@attrs.define
class Report:
    """Results of a load run as callers observed them.

    Attributes:
      counts: Requests, answers and faults by kind; refusals by code.
      first: Time to the first token of streams, in microseconds.
      whole: Time to the complete answer, in microseconds.
    """

    counts: collections.Counter[str] = attrs.Factory(collections.Counter)
    first: HdrHistogram = attrs.Factory(make_histogram)
    whole: HdrHistogram = attrs.Factory(make_histogram)

    @property
    def faults(self) -> int:
        """Number of violated guarantees.

        These are a text that is not the answer to the request, a repeated
        request with a different answer, and a session that changed its
        version without notice.
        """
        names = ("wrong", "repeat_differs", "session_moved")
        return sum(self.counts[name] for name in names)

    def data(self) -> dict[str, Any]:
        """Returns the report as JSON-compatible data, times in milliseconds."""
        return {
            "counts": dict(sorted(self.counts.items())),
            "faults": self.faults,
            "first_token_ms": percentiles(self.first),
            "whole_answer_ms": percentiles(self.whole),
        }


def record(histogram: HdrHistogram, seconds: float) -> None:
    """Records a duration given in seconds."""
    histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_S)))


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Returns percentiles in milliseconds; empty if nothing was recorded."""
    if not histogram.get_total_count():
        return {}
    return {
        f"p{point:g}": histogram.get_value_at_percentile(point) / 1000
        for point in PERCENTILES
    }
