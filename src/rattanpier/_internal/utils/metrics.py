"""Counters and timings, sent by statsd over UDP."""

from __future__ import annotations

import bisect
import collections
import ipaddress

import attrs
import statsd

from rattanpier._internal.exceptions import SettingsError

# Upper edges in seconds: from an answer at once to the longest timeouts.
TIMING_EDGES_S = tuple(0.005 * 2**step for step in range(13))


@attrs.define(eq=False, repr=False)
class Timing:
    """A histogram of durations.

    Attributes:
      buckets: Counts up to each of `TIMING_EDGES_S`, and one of the rest.
      total_s: Sum of the durations.
    """

    buckets: list[int] = attrs.Factory(lambda: [0] * (len(TIMING_EDGES_S) + 1))
    total_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Counts a duration."""
        self.buckets[bisect.bisect_left(TIMING_EDGES_S, seconds)] += 1
        self.total_s += seconds


class Metrics:
    """Counts locally and, where an address is given, sends by statsd.

    Attributes:
      counts: Totals since the start, by metric name.
      gauges: Levels, by metric name.
      timings: Histograms, by metric name.
    """

    def __init__(self, host: str = "", port: int = 8125) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.timings: dict[str, Timing] = collections.defaultdict(Timing)
        self.client: statsd.StatsClient | None = None
        if host:
            # A name would be resolved, and could block, on the hot path.
            check_ip_number(host)
            self.client = statsd.StatsClient(host, port, prefix="rattanpier")

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.counts[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)

    def timing(self, name: str, seconds: float) -> None:
        """Reports how long something took."""
        self.timings[name].add(seconds)
        if self.client is not None:
            self.client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Reports a level."""
        self.gauges[name] = value
        if self.client is not None:
            self.client.gauge(name, value)


def check_ip_number(host: str) -> None:
    """Raises SettingsError unless the host is an IP number."""
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise SettingsError(
            f"statsd host {host!r} is a name",
            "give its IP number",
        ) from error
