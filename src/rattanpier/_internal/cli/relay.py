"""Command line of `rattanpier-relay`, an entry on the users' platform."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.exceptions import SettingsError
from rattanpier._internal.models.policy import Policy
from rattanpier._internal.models.relay_settings import RelaySettings
from rattanpier._internal.platform.settings import load_relay_settings
from rattanpier._internal.platform.settings_path import settings_path
from rattanpier._internal.programs.relay import run_relay
from rattanpier._internal.programs.relay_listen import RelayEntry
from rattanpier._internal.utils.log_sink import LogSink
from rattanpier._internal.utils.logs import configure_sink

log = structlog.get_logger(part="main")

EXIT_BAD_SETTINGS = 2
FLUSH_INTERVAL_S = 0.2  # Longest time that a log line stays buffered.


def main(argv: list[str] | None = None) -> None:
    """Runs the program `rattanpier-relay`, see `serve`."""
    import fire  # Deferred: a start through serve_on needs no fire.

    fire.Fire(serve, command=argv, name="rattanpier-relay")


def serve(settings: str = "", metrics_port: int = 0, policy: str = "") -> None:
    """Runs an entry until SIGTERM.

    Args:
      settings: Path of the settings file; the platform's default if empty.
      metrics_port: Port that serves metrics; 0 disables it.
      policy: Path of a TOML policy file; the default policy if empty.
    """
    serve_on(None, settings or settings_path(), metrics_port, policy)


def serve_on(
    listener: socket.socket | None, path: str, metrics_port: int, policy: str
) -> None:
    """Runs an entry until SIGTERM.

    Args:
      listener: Listening socket for callers; None opens one.
      path: Path of the settings file.
      metrics_port: Port that serves metrics; 0 disables it.
      policy: Path of a policy file, or empty.
    """
    # Before the entry installs its handler, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def load() -> RelaySettings:
        loaded = load_relay_settings(path, metrics_port)
        if not policy:
            return loaded
        return attrs.evolve(loaded, policy=load_policy(policy))

    try:
        loaded = load()
    except SettingsError as error:
        print(f"rattanpier-relay: {error.message}", file=sys.stderr)
        print(f"rattanpier-relay: hint: {error.hint}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    sink = LogSink()
    configure_sink(sink, loaded.name)
    try:
        asyncio.run(run(loaded, load, sink, listener))
    finally:
        sink.flush()


def load_policy(path: str) -> Policy:
    """Returns the policy in a TOML file; missing fields take the defaults.

    Raises:
      SettingsError: The file can't be read, or has unknown or invalid fields.
    """
    # Deferred to shorten the start: most entries have no policy file.
    from rattanpier._internal.configuration.parse import parse, read_text

    return parse(Policy, read_text(path, SettingsError), path, SettingsError)


async def run(
    loaded: RelaySettings,
    load: Callable[[], RelaySettings],
    sink: LogSink,
    listener: socket.socket | None,
) -> None:
    """Runs an entry and flushes its log lines periodically."""

    def reload(entry: RelayEntry) -> None:
        try:
            found = load()
        except SettingsError as error:
            log.error("Settings not taken.", error=error.message)
            return
        changed = found != entry.settings
        log.info("Settings read again.", changed=changed)

    flusher = asyncio.create_task(flush_periodically(sink))
    try:
        await run_relay(loaded, reload, listener)
    finally:
        flusher.cancel()


async def flush_periodically(sink: LogSink) -> None:
    """Flushes buffered log lines every `FLUSH_INTERVAL_S`."""
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        sink.flush()
