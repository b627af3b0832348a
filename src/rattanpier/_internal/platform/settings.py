"""Decodes the platform's settings file into the entry's settings."""

from __future__ import annotations

import json
import math
import pathlib
from typing import Any

from rattanpier._internal.exceptions import SettingsError
from rattanpier._internal.models.relay_settings import (
    Address,
    Bounds,
    RelaySettings,
    StoreSettings,
)
from rattanpier._internal.platform.settings_path import PATH_VARIABLE

MS = 1000.0
MB = 10**6
# Below this, the limit for all callers would be less than that of one caller.
MIN_MEMORY_MB = 9.0


def load_relay_settings(path: str, metrics_port: int = 0) -> RelaySettings:
    """Reads and checks a settings file.

    Args:
      path: Path of the file.
      metrics_port: Port for metrics; 0 disables them.

    Raises:
      SettingsError: The file is unreadable or invalid. The message names the
        file, the field and the expected value.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(
            f"{path}: can't be read: {error}",
            f"{PATH_VARIABLE} has to name a JSON file",
        ) from error
    if not isinstance(document, dict):
        raise SettingsError(f"{path}: is no JSON object", "write {...}")
    return decode_settings(document, path, metrics_port)


def decode_settings(
    document: dict[str, Any], path: str, metrics_port: int = 0
) -> RelaySettings:
    """Returns the settings that a document holds.

    Raises:
      SettingsError: A field is missing or invalid.
    """
    read = SettingsReader(document, path)
    host = read.text("ip")
    peers = read.address("listen", "admin")
    return RelaySettings(
        name=read.text("nodeName"),
        host=host,
        domain=read.text("zone"),
        region=read.text("region"),
        regions=read.texts("zones"),
        # The platform's names of the listening addresses differ from ours.
        callers=read.address("listen", "frontend"),
        readiness=read.address("listen", "readiness"),
        directory=read.address("listen", "registry"),
        peers=peers,
        # The platform lets datagrams through only on the ports between nodes.
        hints=Address(host, read.first_port(peers.port, "portRange")),
        seeds=tuple(
            parse_address(seed, path, "seeds")
            for seed in document.get("seeds") or []
        ),
        store=decode_store(read),
        metrics=Address(host, metrics_port) if metrics_port else None,
        heartbeat_s=read.number(1200, "heartbeatMs") / MS,
        bounds=decode_bounds(read),
        memory_bytes=decode_memory(read),
    )


def decode_store(read: SettingsReader) -> StoreSettings:
    """Returns the settings of the store."""
    address = read.address("platform", "address")
    defaults = StoreSettings(address)
    return StoreSettings(
        address,
        history_s=read.number(defaults.history_s, "platform", "historyS"),
        row_bytes=int(read.number(defaults.row_bytes, "platform", "rowBytes")),
    )


def decode_memory(read: SettingsReader) -> int | None:
    """Returns the memory of the VM in bytes, or None if it is missing."""
    if read.find("limits", "memoryMb") is None:
        return None
    memory_mb = read.number(0.0, "limits", "memoryMb")
    if not MIN_MEMORY_MB <= memory_mb < math.inf:
        raise SettingsError(
            f"{read.path}: limits.memoryMb is {memory_mb:g}",
            f"it has to be a number of at least {MIN_MEMORY_MB:g}",
        )
    return int(memory_mb * MB)


def decode_bounds(read: SettingsReader) -> Bounds:
    """Returns the bounds that an entry guarantees."""
    defaults = Bounds()
    return Bounds(
        drain_s=read.number(defaults.drain_s * MS, "bounds", "drainMs") / MS,
        apply_s=read.number(defaults.apply_s * MS, "bounds", "configApplyMs")
        / MS,
        grace_s=read.number(defaults.grace_s, "bounds", "graceS"),
        contact_s=read.number(defaults.contact_s * MS, "bounds", "contactMs")
        / MS,
        retry_ratio=read.number(
            defaults.retry_ratio, "bounds", "retryBudgetRatio"
        ),
        retry_window_s=read.number(
            defaults.retry_window_s, "bounds", "budgetWindowS"
        ),
        retry_slack=read.number(defaults.retry_slack, "bounds", "budgetSlack"),
        exposure_ratio=read.number(
            defaults.exposure_ratio, "bounds", "exposureRatio"
        ),
        exposure_slack=read.number(
            defaults.exposure_slack, "bounds", "exposureTolerance"
        ),
        warm_up_ratio=read.number(
            defaults.warm_up_ratio, "bounds", "coldOvershoot"
        ),
        warm_up_slack=read.number(
            defaults.warm_up_slack, "bounds", "coldTolerance"
        ),
        session_s=read.number(defaults.session_s, "bounds", "sessionTtlS"),
        address_ttl_s=read.number(
            defaults.address_ttl_s, "bounds", "ttl_max_s"
        ),
    )


class SettingsReader:
    """Reads fields of a document; errors name the invalid field."""

    def __init__(self, document: dict[str, Any], path: str) -> None:
        self.document = document
        self.path = path

    def find(self, *names: str) -> Any:
        """Returns a nested field, or None."""
        value: Any = self.document
        for name in names:
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def text(self, *names: str) -> str:
        """Returns a required string that is not empty."""
        value = self.find(*names)
        if not isinstance(value, str) or not value:
            raise SettingsError(
                f"{self.path}: {'.'.join(names)} is {value!r}",
                "it has to be a text that is not empty",
            )
        return value

    def number(self, default: float, *names: str) -> float:
        """Returns a non-negative number, or the default if it is missing."""
        value = self.find(*names)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(
                f"{self.path}: {'.'.join(names)} is {value!r}",
                "it has to be a number",
            )
        if value < 0:
            raise SettingsError(
                f"{self.path}: {'.'.join(names)} is {value!r}",
                "it can't be less than 0",
            )
        return float(value)

    def texts(self, *names: str) -> dict[str, str]:
        """Returns an object of strings, empty if it is missing."""
        value = self.find(*names)
        if value is None:
            return {}
        valid = isinstance(value, dict) and all(
            isinstance(text, str) for text in value.values()
        )
        if not valid:
            raise SettingsError(
                f"{self.path}: {'.'.join(names)} is {value!r}",
                "it has to be an object whose values are texts",
            )
        return dict(value)

    def first_port(self, default: int, *names: str) -> int:
        """Returns the first port of a range, or the default without one."""
        value = self.find(*names)
        if value is None or value == []:
            return default
        ports = value if isinstance(value, list) else [value]
        if not all(type(port) is int and 0 < port < 2**16 for port in ports):
            raise SettingsError(
                f"{self.path}: {'.'.join(names)} is {value!r}",
                "it has to be the first and the last of some ports",
            )
        return ports[0]

    def address(self, *names: str) -> Address:
        """Returns a required address."""
        return parse_address(self.text(*names), self.path, ".".join(names))


def parse_address(text: Any, path: str, field: str) -> Address:
    """Parses an address of the form IP:PORT.

    >>> parse_address("10.0.0.1:80", "f", "listen.frontend")
    Address(host='10.0.0.1', port=80)

    Raises:
      SettingsError: The address is invalid.
    """
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit():
        raise SettingsError(
            f"{path}: {field} is {text!r}", "it has to be IP:PORT"
        )
    return Address(host, int(port))
