"""Checks the settings of a process before it starts."""

from __future__ import annotations

import os
from collections.abc import Iterator, Sequence

import attrs

from rattanpier._internal.configuration.problem import (
    Finding,
    Problem,
    check_digest,
    check_ip,
    check_not_empty,
    check_port,
    check_positive,
    check_url,
    is_ip_address,
    locate_findings,
    suggest,
)
from rattanpier._internal.models.settings import (
    EdgeSettings,
    ListenSettings,
    LogSettings,
    MetricsSettings,
    NodeSettings,
    PlatformSettings,
    SecretSettings,
    Settings,
)

MIN_SESSION_KEY_LENGTH = 16  # Characters; the key signs sessions.
LOG_LEVELS = ("debug", "info", "warning", "error", "critical")
UNSPECIFIED_ADDRESSES = ("0.0.0.0", "::")  # noqa: S104 - bind all addresses.


def check_settings(
    settings: Settings, text: str, file: str = "settings"
) -> list[Problem]:
    """Returns the problems of settings; the process may start if none.

    Args:
      settings: The settings as parsed.
      text: Their TOML text, to find the lines.
      file: Name of the file, for the messages.
    """
    return list(locate_findings(find_problems(settings), text, file))


def find_problems(settings: Settings) -> Iterator[Finding]:
    """Yields the findings for each table of the settings."""
    for field in attrs.fields(Settings):
        value = getattr(settings, field.name)
        steps = (field.name,)
        match value:
            case NodeSettings():
                yield from check_node(steps, value)
            case ListenSettings():
                yield from check_listen(steps, value)
            case PlatformSettings():
                yield from check_platform(steps, value)
            case MetricsSettings():
                yield from check_metrics(steps, value)
            case LogSettings():
                yield from check_logs(steps, value)
            case SecretSettings():
                yield from check_secrets(steps, value)
            case EdgeSettings():
                yield from check_edge(steps, value)


def check_node(steps: Sequence[str], node: NodeSettings) -> Iterator[Finding]:
    """Yields a finding for each of name, domain and region that is empty."""
    for name in ("name", "domain", "region"):
        yield from check_not_empty((*steps, name), getattr(node, name))


def check_listen(
    steps: Sequence[str], listen: ListenSettings
) -> Iterator[Finding]:
    """Yields findings for unusable addresses and missing TLS files."""
    yield from check_ip((*steps, "host"), listen.host)
    yield from check_port((*steps, "port"), listen.port)
    if listen.advertise:
        yield from check_ip((*steps, "advertise"), listen.advertise)
    if (listen.advertise or listen.host) in UNSPECIFIED_ADDRESSES:
        yield Finding(
            (*steps, "advertise"),
            f"{listen.advertise or listen.host} can't be advertised to other "
            "nodes",
            "give the IP address of the VM as 'advertise'",
        )
    if bool(listen.certificate) != bool(listen.key):
        yield Finding(
            (*steps, "certificate"),
            "'certificate' and 'key' have to be given together",
            "give both, or none for plain text",
        )
    for name in ("certificate", "key", "authority"):
        yield from check_file((*steps, name), getattr(listen, name))


def check_file(steps: Sequence[str], path: str) -> Iterator[Finding]:
    """Yields a finding if a file can't be read."""
    if path and not (os.path.isfile(path) and os.access(path, os.R_OK)):
        yield Finding(
            steps,
            f"there is no readable file {path!r}",
            "give the path of a PEM file",
        )


def check_platform(
    steps: Sequence[str], platform: PlatformSettings
) -> Iterator[Finding]:
    """Yields findings for invalid URLs and timeouts of platform services."""
    yield from check_url((*steps, "table_url"), platform.table_url)
    for field in attrs.fields(PlatformSettings):
        url = getattr(platform, field.name)
        if field.name.endswith("_url") and field.name != "table_url" and url:
            yield from check_url((*steps, field.name), url)
    yield from check_positive((*steps, "timeout_s"), platform.timeout_s)


def check_metrics(
    steps: Sequence[str], metrics: MetricsSettings
) -> Iterator[Finding]:
    """Yields findings for an invalid statsd address.

    A host name is refused, since it would be resolved on the hot path.
    """
    if metrics.host and not is_ip_address(metrics.host):
        yield from check_ip((*steps, "host"), metrics.host)
    yield from check_port((*steps, "port"), metrics.port, min_port=1)


def check_logs(steps: Sequence[str], logs: LogSettings) -> Iterator[Finding]:
    """Yields a finding if the log level is unknown."""
    if logs.level not in LOG_LEVELS:
        yield Finding(
            (*steps, "level"),
            f"unknown level {logs.level!r}",
            suggest(logs.level, LOG_LEVELS),
        )


def check_secrets(
    steps: Sequence[str], secrets: SecretSettings
) -> Iterator[Finding]:
    """Yields findings for short signing keys and invalid digests."""
    key = secrets.session_key
    if key and len(key) < MIN_SESSION_KEY_LENGTH:
        yield Finding(
            (*steps, "session_key"),
            f"session_key has {len(key)} characters",
            f"give at least {MIN_SESSION_KEY_LENGTH}, "
            "the same on all entry VMs",
        )
    for digest in secrets.operator_key_sha256:
        yield from check_digest((*steps, "operator_key_sha256"), digest)


def check_edge(steps: Sequence[str], edge: EdgeSettings) -> Iterator[Finding]:
    """Yields findings for limits that are not positive or contradictory."""
    for field in attrs.fields(EdgeSettings):
        value = getattr(edge, field.name)
        if isinstance(value, int | float) and not isinstance(value, bool):
            yield from check_positive((*steps, field.name), value)
    if edge.default_timeout_s > edge.max_timeout_s:
        yield Finding(
            (*steps, "default_timeout_s"),
            f"default_timeout_s {edge.default_timeout_s} is above "
            f"max_timeout_s {edge.max_timeout_s}",
            "give at most max_timeout_s",
        )
