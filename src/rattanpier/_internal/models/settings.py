"""Settings of one process, as written in its TOML file."""

from __future__ import annotations

import attrs

MEBIBYTE = 2**20


@attrs.frozen
class NodeSettings:
    """Who the process is.

    Attributes:
      name: Unique among all processes of the system.
      domain: Failure domain of the entry VM.
      region: Region of the entry VM.
    """

    name: str
    domain: str
    region: str = "default"


@attrs.frozen
class ListenSettings:
    """Where the process listens.

    Attributes:
      host: IP number to bind.
      port: Port to bind; 0 takes a free one.
      advertise: IP number told to others; `host` if empty.
      certificate: Path of a PEM certificate, or empty for plain text.
      key: Path of its private key.
      authority: Path of the authority that peers' certificates must have.
    """

    host: str = "127.0.0.1"
    port: int = 0
    advertise: str = ""
    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen
class PlatformSettings:
    """Where the platform's services are, by IP number.

    Attributes:
      table_url: The transactional table service.
      objects_url: The object store.
      ratings_url: The answer-rating service.
      vms_url: The list of live and leaving VMs.
      weights_url: The weight store.
      timeout_s: Seconds until a call is given up.
    """

    table_url: str
    objects_url: str = ""
    ratings_url: str = ""
    vms_url: str = ""
    weights_url: str = ""
    timeout_s: float = 2.0


@attrs.frozen
class MetricsSettings:
    """Where statsd listens; no host, no sending."""

    host: str = ""
    port: int = 8125


@attrs.frozen
class LogSettings:
    """How logs are written."""

    json: bool = False
    level: str = "info"


@attrs.frozen
class SecretSettings:
    """Keys of the process.

    Attributes:
      session_key: Signs session tokens; the same on all entry VMs.
      operator_key_sha256: Digests of the operators' keys.
    """

    session_key: str = ""
    operator_key_sha256: list[str] = attrs.Factory(list)


@attrs.frozen
class EdgeSettings:
    """Limits of the caller edge.

    Attributes:
      max_body_bytes: Largest request body.
      max_timeout_s: Longest time a caller may ask for.
      default_timeout_s: Time given to a request that asks for none.
      drain_s: Seconds that all others need to learn that an entry leaves; it
        serves new requests for so long and for `Fleet.entries_ttl_s` more.
      drain_limit_s: Seconds after which a step of a drain is reported late.
    """

    max_body_bytes: int = 2 * MEBIBYTE
    max_timeout_s: float = 600.0
    default_timeout_s: float = 120.0
    drain_s: float = 3.0
    drain_limit_s: float = 600.0


@attrs.frozen
class Settings:
    """All settings of one process."""

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
