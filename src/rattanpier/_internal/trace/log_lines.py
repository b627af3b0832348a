"""Log lines of the relay, read back from files."""

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
    """One line.

    Attributes:
      at: When it was written, as ISO 8601 in UTC: sorts by time.
      node: Name of the VM.
      event: Its part and sentence.
      request: Id of the request that it is about, or empty.
      fields: Everything else.
    """

    at: str
    node: str
    event: str
    request: str
    fields: dict[str, Any]


def read_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yields the lines of files that hold any; what is no line is skipped.

    Args:
      paths: Of the files; "-" is the standard input. What stands before a
        line's first brace, such as a collector's prefix, is left out.

    Raises:
      CommandError: A file can't be read.
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
    """Yields the log lines among some lines of text."""
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line


def parse_line(text: str) -> LogLine | None:
    """Returns a log line, or None for any other text.

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
