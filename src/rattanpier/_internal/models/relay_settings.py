"""Settings of an entry on a platform where workers register themselves."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from rattanpier._internal.models.policy import DEFAULT_POLICY, Policy
from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class Address(Record):
    """An IP address and a port.

    Attributes:
      host: IP address.
      port: Port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the address as `host:port`.

        >>> str(Address("10.0.0.1", 80))
        '10.0.0.1:80'
        """
        return f"{self.host}:{self.port}"


@attrs.frozen(eq=False, repr=False)
class Bounds(Record):
    """Guarantees of the operators to callers and workers.

    Attributes:
      drain_s: Seconds after a worker announced that it leaves, from which on it
        must get no new requests.
      apply_s: Seconds after the store accepted a change of the operators, from
        which on it must be in force on entries that are in touch.
      grace_s: Seconds from SIGTERM to SIGKILL.
      contact_s: Seconds for which a VM must have been healthy and connected,
        for rules with a time bound to apply to it.
      retry_ratio: Additional upstream requests per request for a service.
      retry_window_s: Seconds over which that ratio is measured.
      retry_slack: Additional upstream requests beyond that ratio, over all
        entries together.
      exposure_ratio: Largest share of requests that a bad version may get.
      exposure_slack: Number of requests that it may get beyond that share.
      warm_up_ratio: Multiple of a worker's warm-up rate that may reach it in
        any one second while it warms up.
      warm_up_slack: Number of requests that may reach it beyond that.
      session_s: Maximum seconds between two requests of a session.
      address_ttl_s: Maximum seconds for which callers cache a list of entries.
    """

    drain_s: float = 2.0
    apply_s: float = 2.0
    grace_s: float = 8.0
    contact_s: float = 3.0
    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_slack: float = 10.0
    exposure_ratio: float = 0.1
    exposure_slack: float = 0.0
    warm_up_ratio: float = 1.0
    warm_up_slack: float = 0.0
    session_s: float = 5.0
    address_ttl_s: float = 5.0


@attrs.frozen(eq=False, repr=False)
class StoreSettings(Record):
    """Connection to the platform's store.

    Attributes:
      address: Where it listens.
      history_s: Seconds for which it can report past changes.
      row_bytes: Maximum size of a row's value, in bytes.
    """

    address: Address
    history_s: float = 20.0
    row_bytes: int = 65536


@attrs.frozen(eq=False, repr=False)
class RelaySettings(Record):
    """Settings of one entry.

    Attributes:
      name: Unique name of the VM.
      host: Its IP address.
      domain: Its failure domain.
      region: Its region.
      regions: Region of each failure domain.
      callers: Listening address for callers' requests.
      readiness: Listening address for the platform's readiness probes.
      directory: Listening address for queries for entries' addresses.
      peers: Listening address for connections of peers.
      hints: Listening address for datagrams of peers.
      seeds: Peers to contact while the store is unavailable; may be outdated.
      metrics: Listening address for metrics, or None.
      heartbeat_s: Seconds between renewals of a worker's registration.
      store: The platform's store.
      bounds: Guarantees to callers and workers.
      policy: Enabled mechanisms of the entry's decisions.
      memory_bytes: Memory of the VM, or None if it is unknown.
    """

    name: str
    host: str
    domain: str
    region: str
    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    hints: Address
    seeds: tuple[Address, ...]
    store: StoreSettings
    metrics: Address | None = None
    heartbeat_s: float = 1.2
    bounds: Bounds = attrs.Factory(Bounds)
    regions: Mapping[str, str] = attrs.Factory(dict)
    policy: Policy = DEFAULT_POLICY
    memory_bytes: int | None = None
