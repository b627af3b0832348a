"""Server-sent events, split so that only whole ones are passed on."""

from __future__ import annotations

import re
from collections.abc import Iterator

import attrs

MAX_EVENT_BYTES = 2**20  # A longer one is no proper event.
BLANK_LINE = re.compile(rb"\r?\n\r?\n")
ID_LINE = re.compile(rb"^id:[ \t]*(\d+)[ \t]*\r?$", re.MULTILINE)


class EventError(Exception):
    """What came is no proper series of events."""


@attrs.frozen
class Event:
    """One event.

    Attributes:
      data: Its bytes with the blank line.
      number: Its id, None if it has none.
    """

    data: bytes
    number: int | None


@attrs.define(eq=False, repr=False)
class EventSplitter:
    """Cuts a stream into events.

    Attributes:
      incomplete_event: What came of an event that is not whole yet.
    """

    incomplete_event: bytes = b""

    def feed(self, data: bytes) -> Iterator[Event]:
        r"""Yields the events that are whole now.

        >>> splitter = EventSplitter()
        >>> [event.number for event in splitter.feed(b"id: 1\n\nid: 2")]
        [1]

        Raises:
          EventError: An event is too long.
        """
        self.incomplete_event += data
        start = 0
        for blank in BLANK_LINE.finditer(self.incomplete_event):
            event_data = self.incomplete_event[start : blank.end()]
            start = blank.end()
            yield Event(event_data, event_number(event_data))
        self.incomplete_event = self.incomplete_event[start:]
        if len(self.incomplete_event) > MAX_EVENT_BYTES:
            raise EventError("an event has no end")


def event_number(data: bytes) -> int | None:
    """Returns the id of an event, None if it has none."""
    found = ID_LINE.search(data)
    return None if found is None else int(found.group(1))


@attrs.define(eq=False, repr=False)
class EventOrder:
    """Checks that the events of one answer follow each other.

    Attributes:
      last_number: Number of the last event, None before the first.
    """

    last_number: int | None = None

    def accept(self, event: Event) -> bool:
        """Says whether an event is the next one; False if it was seen.

        Raises:
          EventError: Events between it and the last are missing.
        """
        if event.number is None:
            return True
        if self.last_number is not None and event.number <= self.last_number:
            return False
        if (
            self.last_number is not None
            and event.number != self.last_number + 1
        ):
            raise EventError(f"event {event.number} follows {self.last_number}")
        self.last_number = event.number
        return True
