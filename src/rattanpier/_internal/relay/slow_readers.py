"""Bytes held for callers that read slowly, and which connection to close.

Free of I/O. The write buffer of a connection is read after each write. What a
caller has read since then is noticed at the next write to it, at the periodic
check, or before a connection is closed for the total limit. Until then, the sum
is too high. It can be too low by what connections to workers have received for
callers at their limit, up to `MAX_UNREAD_BYTES` for each.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Hashable

import attrs
import structlog

from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="readers")

CALLER_LIMIT_BYTES = 2**20
# Of a caller's limit, what its worker's connection may hold unread. Above that
# amount, the connection pauses reading.
MAX_UNREAD_BYTES = 2**18
MEMORY_SHARE = 1 / 8  # Of the entry's memory, for all callers together.
# A caller with a long request body can still be sent this much at once. It is
# the default of asyncio.
MIN_BUFFER_BYTES = 2**16
# Writing resumes once a caller has read this much. A smaller step would wake
# the writer more often, a larger one would leave the worker unread for longer.
RESUME_STEP_BYTES = 2**15
CHECK_INTERVAL_S = 0.25
# An answer that is ready is delivered also when late: a caller that was cut off
# by the network for some seconds, or reads in steps, is not closed.
MIN_STALL_S = 5.0


class CloseReason(enum.StrEnum):
    """Why the connection of a slow caller is closed."""

    TOTAL = "total"
    DEADLINE = "deadline"


def no_bytes() -> int:
    """Returns the size of something that holds nothing."""
    return 0


@attrs.frozen(eq=False, repr=False)
class CallerConnection(Record):
    """What the accounting needs of a caller's connection.

    Attributes:
      buffer_size: Returns the number of bytes in its write buffer.
      limit_buffer: Sets the numbers of bytes in the write buffer above which
        the writer has to wait, and down to which it waits.
      close: Closes the connection at once. The caller must be able to tell that
        its answer is incomplete.
    """

    buffer_size: Callable[[], int]
    limit_buffer: Callable[[int, int], None]
    close: Callable[[], None]


@attrs.define(eq=False, repr=False)
class HeldBytes:
    """Bytes held for one caller's connection.

    Without a connection, nothing is limited, as for requests of peers.

    Attributes:
      readers: Accounting of all connections, or None.
      key: Identity of the connection there.
      connection: The connection, or None.
      request: Id of the latest request.
      deadline: Its deadline, in monotonic seconds.
      running: Whether the request is in progress.
      buffered: Bytes in the write buffer, as last read.
      unread: Bytes that its worker's connection holds unread, as last read.
      answers: Bytes of answers that are held whole.
      body: Bytes of the request's body.
      read_at: When the caller last read something, or the write buffer was
        empty, in monotonic seconds.
      unread_size: Returns the bytes that its worker's connection holds unread.
      paused: Whether writing to the caller had to wait during the request.
      closed: Why the connection was closed for being slow, or None.
    """

    readers: SlowReaders | None = None
    key: Hashable = None
    connection: CallerConnection | None = None
    request: str = ""
    deadline: float = 0.0
    running: bool = False
    buffered: int = 0
    unread: int = 0
    answers: int = 0
    body: int = 0
    read_at: float = 0.0
    unread_size: Callable[[], int] = no_bytes
    paused: bool = False
    closed: CloseReason | None = None

    @property
    def held(self) -> int:
        """Number of bytes held."""
        return self.buffered + self.unread + self.answers + self.body

    def add_body(self, count: int) -> None:
        """Counts bytes of the request's body."""
        if self.closed is None:
            self.body += count
            self.add_to_total(count)

    def add_answer(self, count: int) -> None:
        """Counts bytes of an answer that is held whole; negative: released."""
        if self.closed is None:
            self.answers += count
            self.add_to_total(count)

    def release_answers(self) -> None:
        """Counts the answers as no longer held."""
        self.add_answer(-self.answers)

    def add_to_total(self, count: int) -> None:
        """Adds bytes to the sum over all connections."""
        if self.readers is not None:
            self.readers.total += count
            self.readers.apply_total_limit()

    def limit_buffer(self) -> None:
        """Applies the caller's limit, which includes the request's body."""
        if self.connection is None:
            return
        room = CALLER_LIMIT_BYTES - MAX_UNREAD_BYTES - self.body
        high = max(MIN_BUFFER_BYTES, room)
        self.connection.limit_buffer(high, high - RESUME_STEP_BYTES)

    def record_write(self, count: int) -> bool:
        """Records a write.

        Args:
          count: Number of bytes written.

        Returns:
          Whether the caller has not yet read all that was written.
        """
        if self.connection is None or self.readers is None:
            return False
        size = self.connection.buffer_size()
        if not size and not self.buffered:
            return False
        self.readers.update(self, size, self.buffered + count)
        self.readers.apply_total_limit()
        return size > 0

    def record_pause(self) -> None:
        """Records that writing to the caller has to wait."""
        if self.readers is not None:
            self.readers.record_pause(self)

    def refresh(self) -> None:
        """Records what the caller has read since the last record."""
        if self.readers is not None:
            self.readers.refresh(self)


@attrs.define(eq=False, repr=False)
class SlowReaders:
    """Accounting of the bytes held for all callers.

    Attributes:
      clock: Monotonic clock.
      metrics: Receives counters and gauges.
      total_limit: Maximum number of bytes held; None for no limit.
      start_checks: Called when the first connection holds unread bytes; `check`
        is then to be called every `CHECK_INTERVAL_S` until it returns False.
      connections: Connections with a request in progress or with bytes held.
      slow: Those with bytes in their write buffers.
      checking: Whether checks have been started and not ended.
      total: Number of bytes held.
    """

    clock: Clock
    metrics: Metrics
    total_limit: int | None = None
    start_checks: Callable[[], None] = lambda: None
    connections: dict[Hashable, HeldBytes] = attrs.Factory(dict)
    slow: dict[HeldBytes, None] = attrs.Factory(dict)
    checking: bool = False
    total: int = 0

    def begin_request(
        self, key: Hashable, connect: Callable[[], CallerConnection]
    ) -> HeldBytes:
        """Returns the account of a connection on which a request begins.

        Args:
          key: Identity of the connection.
          connect: Returns the connection, if it is not known yet.
        """
        held = self.connections.get(key)
        if held is None or held.closed is not None:
            held = HeldBytes(self, key, connect())
            self.connections[key] = held
        held.running = True
        held.paused = False
        held.deadline = max(held.deadline, self.clock.monotonic())
        return held

    def end_request(self, held: HeldBytes) -> None:
        """Ends a request; only its write buffer may still be held."""
        held.running = False
        held.unread_size = no_bytes
        held.add_body(-held.body)
        held.release_answers()
        self.refresh(held)

    def refresh(self, held: HeldBytes) -> None:
        """Records what a caller has read since the last record."""
        if held.connection is not None:
            size = held.connection.buffer_size()
            self.update(held, size, held.buffered)

    def update(self, held: HeldBytes, size: int, expected: int) -> None:
        """Records the size of a write buffer.

        Args:
          held: Its connection.
          size: Number of bytes in the write buffer.
          expected: Number of bytes there if the caller had read nothing since
            the last record.
        """
        if held.closed is None:
            if size < expected or not held.buffered:
                held.read_at = self.clock.monotonic()
            unread = held.unread_size() if size else 0
            self.total += size - held.buffered + unread - held.unread
            held.buffered = size
            held.unread = unread
        if held.buffered:
            self.add_slow(held)
            return
        self.slow.pop(held, None)
        if not held.running and self.connections.get(held.key) is held:
            del self.connections[held.key]

    def add_slow(self, held: HeldBytes) -> None:
        """Adds a connection to those with bytes in their write buffers."""
        self.slow[held] = None
        if not self.checking:
            self.checking = True
            self.start_checks()

    def record_pause(self, held: HeldBytes) -> None:
        """Records that writing to a caller has to wait."""
        self.metrics.count("relay.slow_reader_paused")
        if held.paused:
            return
        held.paused = True
        log.info(
            "Writing waits for a slow caller.",
            request=held.request,
            held_bytes=held.held,
            limit_bytes=CALLER_LIMIT_BYTES,
            total_bytes=self.total,
        )

    def apply_total_limit(self) -> None:
        """Closes the worst connections until the total limit is met."""
        limit = self.total_limit
        if limit is None or self.total <= limit:
            return
        self.refresh_all()
        while self.total > limit and self.slow:
            self.close(self.worst(), CloseReason.TOTAL)

    def refresh_all(self) -> None:
        """Records what the slow callers have read since the last record."""
        for held in list(self.slow):
            self.refresh(held)

    def worst(self) -> HeldBytes:
        """Returns the connection to close first, if any has unread bytes.

        It is the one with the largest product of the bytes held and the time
        for which the caller has read nothing. Neither a caller that reads
        steadily at its limit nor one that was just sent a long answer is
        closed before one that has stopped reading.
        """
        now = self.clock.monotonic()
        return max(
            self.slow,
            key=lambda held: (held.held * (now - held.read_at), held.held),
        )

    def check(self) -> bool:
        """Closes connections past their deadline whose callers read nothing.

        Also applies the total limit to what workers have sent since the last
        check.

        Returns:
          Whether the check is to be repeated.
        """
        self.refresh_all()
        self.apply_total_limit()
        now = self.clock.monotonic()
        for held in list(self.slow):
            stalled_s = now - held.read_at
            if now >= held.deadline and stalled_s >= MIN_STALL_S:
                self.close(held, CloseReason.DEADLINE)
        self.checking = bool(self.slow)
        return self.checking

    def close(self, held: HeldBytes, reason: CloseReason) -> None:
        """Closes a connection; all that it holds counts as released."""
        now = self.clock.monotonic()
        self.metrics.count(f"relay.slow_reader_closed.{reason.value}")
        log.info(
            "Closed a slow reader.",
            request=held.request,
            reason=reason.value,
            held_bytes=held.held,
            read_nothing_s=round(now - held.read_at, 3),
            past_deadline_s=round(now - held.deadline, 3),
            total_bytes=self.total,
            limit_bytes=self.total_limit,
            slow_readers=len(self.slow),
        )
        self.total -= held.held
        held.closed = reason
        held.buffered = held.unread = held.answers = held.body = 0
        self.update(held, 0, 0)
        if held.connection is not None:
            held.connection.close()

    def record_gauges(self) -> None:
        """Exports what is held at the moment."""
        self.refresh_all()
        self.metrics.gauge("relay.held_bytes", self.total)
        self.metrics.gauge("relay.held_limit_bytes", self.total_limit or 0)
        self.metrics.gauge("relay.slow_readers", len(self.slow))


def total_limit_bytes(memory_bytes: int | None) -> int | None:
    """Returns the total limit of an entry with the given memory.

    >>> total_limit_bytes(160_000_000)
    20000000
    """
    return None if memory_bytes is None else int(memory_bytes * MEMORY_SHARE)
