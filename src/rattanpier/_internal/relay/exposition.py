"""Renders metrics in the Prometheus text format for the metrics address."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from rattanpier._internal.utils.metrics import TIMING_EDGES_S, Metrics

PREFIX = "rattanpier_"


@attrs.define(eq=False)
class MetricsCollector:
    """Collector that exports the metrics of the process.

    Attributes:
      metrics: Counters, gauges and timings of the process.
    """

    metrics: Metrics

    def collect(self) -> Iterable[Metric]:
        """Yields each counter, gauge and histogram."""
        for name, count in sorted(self.metrics.counts.items()):
            yield CounterMetricFamily(metric_name(name), name, value=count)
        for name, value in sorted(self.metrics.gauges.items()):
            yield GaugeMetricFamily(metric_name(name), name, value=value)
        for name, timing in sorted(self.metrics.timings.items()):
            yield HistogramMetricFamily(
                metric_name(name),
                name,
                buckets=list(cumulative_buckets(timing.buckets)),
                sum_value=timing.total_s,
            )


def metric_name(name: str) -> str:
    """Converts the name of a metric to one that the text format allows.

    >>> metric_name("relay.first_event_s")
    'rattanpier_relay_first_event_s'
    """
    return PREFIX + name.replace(".", "_").replace("-", "_")


def cumulative_buckets(buckets: list[int]) -> Iterable[tuple[str, int]]:
    """Yields the upper bound and the cumulative count of each bucket."""
    total = 0
    for edge, count in zip(TIMING_EDGES_S, buckets, strict=False):
        total += count
        yield f"{edge:g}", total
    yield "+Inf", total + buckets[-1]


def render(metrics: Metrics) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)
