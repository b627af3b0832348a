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

MIN_SESSION_KEY_LENGTH = 16  # Characters of a key that signs.
LOG_LEVELS = ("debug", "info", "warning", "error", "critical")
UNSPECIFIED_ADDRESSES = ("0.0.0.0", "::")  # noqa: S104 - binds every address.


def check_settings(
    settings: Settings, text: str, file: str = "settings"
) -> list[Problem]:
    """Returns all that is wrong with settings; none: the process may start."""
    return list(locate_findings(find_problems(settings), text, file))


def find_problems(settings: Settings) -> Iterator[Finding]:
    """Yields what is wrong with each table of the settings."""
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
    """Finds a process without a name or a failure domain."""
    for name in ("name", "domain", "region"):
        yield from check_not_empty((*steps, name), getattr(node, name))


def check_listen(
    steps: Sequence[str], listen: ListenSettings
) -> Iterator[Finding]:
    """Finds addresses that can't be used and files that are not there."""
    yield from check_ip((*steps, "host"), listen.host)
    yield from check_port((*steps, "port"), listen.port)
    if listen.advertise:
        yield from check_ip((*steps, "advertise"), listen.advertise)
    if (listen.advertise or listen.host) in UNSPECIFIED_ADDRESSES:
        yield Finding(
            (*steps, "advertise"),
            f"{listen.advertise or listen.host} can't be told to others",
            "give the IP number of the VM as 'advertise'",
        )
    if bool(listen.certificate) != bool(listen.key):
        yield Finding(
            (*steps, "certificate"),
            "'certificate' and 'key' come together",
            "give both, or none for plain text",
        )
    for name in ("certificate", "key", "authority"):
        yield from check_file((*steps, name), getattr(listen, name))


def check_file(steps: Sequence[str], path: str) -> Iterator[Finding]:
    """Finds a file that can't be read."""
    if path and not (os.path.isfile(path) and os.access(path, os.R_OK)):
        yield Finding(
            steps,
            f"there is no readable file {path!r}",
            "give the path of a PEM file",
        )


def check_platform(
    steps: Sequence[str], platform: PlatformSettings
) -> Iterator[Finding]:
    """Finds services of the platform that can't be called."""
    yield from check_url((*steps, "table_url"), platform.table_url)
    for field in attrs.fields(PlatformSettings):
        url = getattr(platform, field.name)
        if field.name.endswith("_url") and field.name != "table_url" and url:
            yield from check_url((*steps, field.name), url)
    yield from check_positive((*steps, "timeout_s"), platform.timeout_s)


def check_metrics(
    steps: Sequence[str], metrics: MetricsSettings
) -> Iterator[Finding]:
    """Finds a statsd address that would be resolved on the hot path."""
    if metrics.host and not is_ip_address(metrics.host):
        yield from check_ip((*steps, "host"), metrics.host)
    yield from check_port((*steps, "port"), metrics.port, min_port=1)


def check_logs(steps: Sequence[str], logs: LogSettings) -> Iterator[Finding]:
    """Finds an unknown level."""
    if logs.level not in LOG_LEVELS:
        yield Finding(
            (*steps, "level"),
            f"unknown level {logs.level!r}",
            suggest(logs.level, LOG_LEVELS),
        )


def check_secrets(
    steps: Sequence[str], secrets: SecretSettings
) -> Iterator[Finding]:
    """Finds keys that are too short to sign with, and bad digests."""
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
    """Finds limits that can't be."""
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
