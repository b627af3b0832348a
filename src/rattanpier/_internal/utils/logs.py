"""Set-up of structlog: short sentences, a fixed prefix per part."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def add_prefix(
    _logger: Any, _method: str, event: dict[str, Any]
) -> dict[str, Any]:
    """Puts the part's name before the sentence.

    >>> add_prefix(None, "info", {"part": "claims", "event": "Lease lost."})
    {'event': 'claims: Lease lost.'}
    """
    part = event.pop("part", "main")
    event["event"] = f"{part}: {event['event']}"
    return event


def configure_logs(json_lines: bool, level: str = "info") -> None:
    """Sends logs to standard error, as text or as JSON lines."""
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
