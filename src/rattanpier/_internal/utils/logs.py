"""Configuration of structlog: short sentences with a prefix per part."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from rattanpier._internal.utils.log_sink import LogSink


def add_prefix(
    _logger: Any, _method: str, event: dict[str, Any]
) -> dict[str, Any]:
    """Prefixes the event with the name of the part that logs it.

    >>> add_prefix(None, "info", {"part": "claims", "event": "Lease lost."})
    {'event': 'claims: Lease lost.'}
    """
    part = event.pop("part", "main")
    event["event"] = f"{part}: {event['event']}"
    return event


def configure_logs(json_lines: bool, level: str = "info") -> None:
    """Writes logs to standard error, as text or as JSON lines."""
    renderer = (
        structlog.processors.JSONRenderer()
        if json_lines
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            add_prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )


def configure_sink(sink: LogSink, node: str, level: str = "info") -> None:
    """Writes logs to a bounded sink, as JSON lines with the node's name."""

    def add_node(
        _logger: Any, _method: str, event: dict[str, Any]
    ) -> dict[str, Any]:
        event["node"] = node
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            add_prefix,
            add_node,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(separators=(",", ":")),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=lambda *args: sink,
        cache_logger_on_first_use=True,
    )
