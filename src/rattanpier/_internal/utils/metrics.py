"""Counters and timings, sent by statsd over UDP."""

from __future__ import annotations

import collections
import ipaddress

import statsd

from rattanpier._internal.exceptions import SettingsError


class Metrics:
    """Counts locally and, where an address is given, sends by statsd.

    Attributes:
      counts: Totals since the start, by metric name.
    """

    def __init__(self, host: str = "", port: int = 8125) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
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
        if self.client is not None:
            self.client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Reports a level."""
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
