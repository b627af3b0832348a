"""Counters, gauges and timings, sent to statsd over UDP."""

from __future__ import annotations

import bisect
import collections
import ipaddress
from typing import TYPE_CHECKING

import attrs

from rattanpier._internal.exceptions import SettingsError

if TYPE_CHECKING:
    import statsd

# Upper bounds of the buckets, from 5 ms for immediate answers to 20 s for the
# longest timeouts.
TIMING_EDGES_S = tuple(0.005 * 2**step for step in range(13))


@attrs.define(eq=False, repr=False)
class Timing:
    """A histogram of durations.

    Attributes:
      buckets: Number of durations up to each of `TIMING_EDGES_S`, and of longer
        ones.
      total_s: Sum of the durations, in seconds.
    """

    buckets: list[int] = attrs.Factory(lambda: [0] * (len(TIMING_EDGES_S) + 1))
    total_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Records a duration."""
        self.buckets[bisect.bisect_left(TIMING_EDGES_S, seconds)] += 1
        self.total_s += seconds


class Metrics:
    """Keeps metrics locally and sends them to statsd if a host is given.

    Attributes:
      counts: Totals since the start, by metric name.
      gauges: Current values, by metric name.
      timings: Histograms, by metric name.
      client: The statsd client, or None.
    """

    def __init__(self, host: str = "", port: int = 8125) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.timings: dict[str, Timing] = collections.defaultdict(Timing)
        self.client: statsd.StatsClient | None = None
        if host:
            # The client would resolve a name on the hot path and could block.
            check_ip_number(host)
            import statsd  # Deferred: most processes send no metrics.

            self.client = statsd.StatsClient(host, port, prefix="rattanpier")

    def count(self, name: str, amount: int = 1) -> None:
        """Increases a counter."""
        self.counts[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""
        self.timings[name].add(seconds)
        if self.client is not None:
            self.client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Sets the value of a gauge."""
        self.gauges[name] = value
        if self.client is not None:
            self.client.gauge(name, value)


def check_ip_number(host: str) -> None:
    """Checks that a host is an IP address.

    Raises:
      SettingsError: It is a name.
    """
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise SettingsError(
            f"statsd host {host!r} is a name",
            "give its IP number",
        ) from error
