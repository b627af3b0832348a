"""Splits streams into server-sent events and checks the order of their ids.

Only complete events are forwarded, so that an interrupted stream can be resumed
after the last of them.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

import attrs

from rattanpier._internal.utils.record import Record

MAX_EVENT_BYTES = 2**20  # Longer events are invalid.
BLANK_LINE = re.compile(rb"\r?\n\r?\n")
ID_LINE = re.compile(rb"^id:[ \t]*(\d+)[ \t]*\r?$", re.MULTILINE)


class EventError(Exception):
    """A stream is no valid sequence of events."""


@attrs.frozen(eq=False, repr=False)
class Event(Record):
    """One server-sent event.

    Attributes:
      data: Bytes of the event, including the blank line that ends it.
      number: Numeric id, or None if it has none.
    """

    data: bytes
    number: int | None


@attrs.define(eq=False, repr=False)
class EventSplitter:
    """Splits a stream into events.

    Attributes:
      incomplete_event: Bytes received of an event that is not complete yet.
    """

    incomplete_event: bytes = b""

    def feed(self, data: bytes) -> Iterator[Event]:
        r"""Yields the events that `data` completes.

        >>> splitter = EventSplitter()
        >>> [event.number for event in splitter.feed(b"id: 1\n\nid: 2")]
        [1]

        Raises:
          EventError: An incomplete event is longer than `MAX_EVENT_BYTES`.
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
    """Returns the numeric id of an event, or None if it has none."""
    found = ID_LINE.search(data)
    return None if found is None else int(found.group(1))


@attrs.define(eq=False, repr=False)
class EventOrder:
    """Checks that the events of one answer are consecutive.

    Attributes:
      last_number: Id of the last event, or None before the first.
    """

    last_number: int | None = None

    def accept(self, event: Event) -> bool:
        """Returns whether an event is to be forwarded.

        Events without an id always are; events up to the last one were received
        before and are not.

        Raises:
          EventError: Events between the last one and this one are missing.
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
