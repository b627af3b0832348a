"""Parser for the log lines of the relay."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from rattanpier._internal.exceptions import CommandError

STANDARD_INPUT = "-"


@attrs.frozen
class LogLine:
    """One log line.

    Attributes:
      at: Time in UTC as ISO 8601, so that lines sort by time as text.
      node: Name of the VM.
      event: Part and log sentence.
      request: Id of the request concerned, or empty.
      fields: All other fields.
    """

    at: str
    node: str
    event: str
    request: str
    fields: dict[str, Any]


def read_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yields the log lines of files; any other text is skipped.

    Args:
      paths: Paths of the files; "-" is the standard input. Text before the
        first brace of a line, such as a log collector's prefix, is ignored.

    Raises:
      CommandError: A file cannot be read.
    """
    for path in paths:
        try:
            if path == STANDARD_INPUT:
                yield from parse_lines(sys.stdin)
                continue
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from parse_lines(file)
        except OSError as error:
            raise CommandError(
                f"{path}: can't be read: {error.strerror}",
                "name files with the entries' log lines, or - for stdin",
            ) from error


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yields the log lines among lines of text."""
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line


def parse_line(text: str) -> LogLine | None:
    """Returns the log line in a text, or None if it holds none.

    >>> parse_line('1.5 e1 {"event": "main: Started.", "node": "e1"}').node
    'e1'
    """
    brace = text.find("{")
    if brace < 0:
        return None
    try:
        fields = json.loads(text[brace:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or "event" not in fields:
        return None
    return LogLine(
        at=str(fields.pop("timestamp", "")),
        node=str(fields.pop("node", "")),
        event=str(fields.pop("event")),
        request=str(fields.pop("request", "")),
        fields=fields,
    )
