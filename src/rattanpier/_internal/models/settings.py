"""Settings of one process, as read from its TOML file."""

from __future__ import annotations

import attrs

MEBIBYTE = 2**20


@attrs.frozen
class NodeSettings:
    """Identity of the process.

    Attributes:
      name: Name, unique among all processes of the system.
      domain: Failure domain of the entry VM.
      region: Region of the entry VM.
    """

    name: str
    domain: str
    region: str = "default"


@attrs.frozen
class ListenSettings:
    """A listening address of the process.

    Attributes:
      host: IP address to bind.
      port: Port to bind; 0: any free port.
      advertise: IP address that is advertised; `host` if empty.
      certificate: Path of a PEM certificate; empty: no TLS.
      key: Path of its private key.
      authority: Path of the CA certificate that must have signed peers'
        certificates.
    """

    host: str = "127.0.0.1"
    port: int = 0
    advertise: str = ""
    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen
class PlatformSettings:
    """URLs of the platform's services, with IP addresses.

    Attributes:
      table_url: URL of the transactional table service.
      objects_url: URL of the object store.
      ratings_url: URL of the answer-rating service.
      vms_url: URL of the list of live and leaving VMs.
      weights_url: URL of the weight store.
      timeout_s: Timeout of a call, in seconds.
    """

    table_url: str
    objects_url: str = ""
    ratings_url: str = ""
    vms_url: str = ""
    weights_url: str = ""
    timeout_s: float = 2.0


@attrs.frozen
class MetricsSettings:
    """Address of statsd.

    Attributes:
      host: IP address; empty: metrics are not sent.
      port: UDP port.
    """

    host: str = ""
    port: int = 8125


@attrs.frozen
class LogSettings:
    """Format and level of logs.

    Attributes:
      json: Whether to write JSON lines instead of text.
      level: Minimum level of the lines.
    """

    json: bool = False
    level: str = "info"


@attrs.frozen
class SecretSettings:
    """Secrets of the process.

    Attributes:
      session_key: Key that signs session tokens; the same on all entry VMs.
      operator_key_sha256: SHA-256 digests of the operators' keys.
    """

    session_key: str = ""
    operator_key_sha256: list[str] = attrs.Factory(list)


@attrs.frozen
class EdgeSettings:
    """Limits of the caller edge.

    Attributes:
      max_body_bytes: Maximum size of a request body, in bytes.
      max_timeout_s: Maximum timeout that a caller may request, in seconds.
      default_timeout_s: Timeout of a request that sets none, in seconds.
      drain_s: Seconds until all peers know that an entry leaves. The entry
        serves new requests for this time and `Fleet.entries_ttl_s` more.
      drain_limit_s: Seconds after which a step of a drain is reported late.
    """

    max_body_bytes: int = 2 * MEBIBYTE
    max_timeout_s: float = 600.0
    default_timeout_s: float = 120.0
    drain_s: float = 3.0
    drain_limit_s: float = 600.0


@attrs.frozen
class Settings:
    """All settings of one process.

    Attributes:
      node: Identity of the process.
      platform: URLs of the platform's services.
      callers: Listening address for callers.
      peers: Listening address for peers.
      operators: Listening address for operators.
      metrics: Address of statsd.
      logs: Format and level of logs.
      secrets: Secrets of the process.
      edge: Limits of the caller edge.
      trace_path: Path of the trace file; empty: no trace is written.
    """

    node: NodeSettings
    platform: PlatformSettings
    callers: ListenSettings = attrs.Factory(ListenSettings)
    peers: ListenSettings = attrs.Factory(ListenSettings)
    operators: ListenSettings = attrs.Factory(ListenSettings)
    metrics: MetricsSettings = attrs.Factory(MetricsSettings)
    logs: LogSettings = attrs.Factory(LogSettings)
    secrets: SecretSettings = attrs.Factory(SecretSettings)
    edge: EdgeSettings = attrs.Factory(EdgeSettings)
    trace_path: str = ""
