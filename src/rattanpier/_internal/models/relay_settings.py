"""Settings of an entry on a platform that workers register with."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from rattanpier._internal.models.policy import DEFAULT_POLICY, Policy


@attrs.frozen
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the usual spelling.

        >>> str(Address("10.0.0.1", 80))
        '10.0.0.1:80'
        """
        return f"{self.host}:{self.port}"


@attrs.frozen
class Bounds:
    """What operators promised to callers and workers.

    Attributes:
      drain_s: After a worker announced that it leaves, it gets nothing new.
      grace_s: From SIGTERM to SIGKILL.
      contact_s: Rules with a time bound hold for a VM that was well so long.
      retry_ratio: Further sends to a service for each request for it.
      retry_window_s: Time over which that ratio is taken.
      retry_slack: Further sends beyond that ratio, in all entries together.
      exposure_ratio: Largest share of requests that a bad version may get.
      exposure_slack: Requests that it may get beyond that share.
      warm_up_ratio: Times the rate that a worker bears while it warms up which
        may reach it in any one second.
      warm_up_slack: Requests that may reach it beyond that.
      session_s: Requests of a session follow each other within this time.
      address_ttl_s: Longest time that callers keep a list of entries.
    """

    drain_s: float = 2.0
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


@attrs.frozen
class StoreSettings:
    """The platform's store.

    Attributes:
      address: Where it listens.
      history_s: Time for which it tells past changes.
      row_bytes: Longest value of a row.
    """

    address: Address
    history_s: float = 20.0
    row_bytes: int = 65536


@attrs.frozen
class RelaySettings:
    """One entry.

    Attributes:
      name: Unique name of the VM.
      host: Its IP number.
      domain: Its failure domain.
      region: Its region.
      regions: Region of each failure domain.
      callers: Where callers' requests come in.
      readiness: Where the platform asks whether the entry is ready.
      directory: Where callers ask for entries' addresses.
      peers: Where other entries connect.
      hints: Where other entries send datagrams.
      seeds: Peers to ask while the store is away; may be stale.
      metrics: Where metrics are served, or None.
      heartbeat_s: Workers renew their registration this often.
      store: The platform's store.
      bounds: Promises.
      policy: What the entry decides by.
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
