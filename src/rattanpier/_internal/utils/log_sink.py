"""Writes log lines to standard output, bounded and without ever blocking.

A reader that stops reading, or a burst of lines, costs lines and never time:
what does not fit is dropped, counted and told.
"""

from __future__ import annotations

import json
import os
import time

LINES_PER_S = 400.0  # Some ten lines a request at the usual load of an entry.
MAX_BURST_LINES = 2000.0
BUFFER_BYTES = 2**20  # Held for a reader that is slow.
FLUSH_BYTES = 8192


class LogSink:
    """A bounded buffer before a file descriptor.

    Attributes:
      fd: Where lines go; set to be non-blocking.
      buffer: What was not written yet.
      dropped: Lines dropped since the last that told of it.
    """

    def __init__(self, fd: int = 1) -> None:
        self.fd = fd
        self.buffer = bytearray()
        self.dropped = 0
        self.tokens = MAX_BURST_LINES
        self.filled_at = time.monotonic()
        os.set_blocking(fd, False)

    def msg(self, message: str) -> None:
        """Takes a line; the name is structlog's."""
        if not self.try_acquire():
            self.dropped += 1
            return
        self.buffer += message.encode()
        self.buffer += b"\n"
        if len(self.buffer) >= FLUSH_BYTES:
            self.flush()
        if len(self.buffer) > BUFFER_BYTES:
            self.drop_buffered_lines()

    debug = info = warning = error = critical = exception = log = msg

    def try_acquire(self) -> bool:
        """Says whether one more line is within the budget."""
        now = time.monotonic()
        earned = (now - self.filled_at) * LINES_PER_S
        self.tokens = min(MAX_BURST_LINES, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def drop_buffered_lines(self) -> None:
        """Drops the lines that nobody read."""
        end = self.buffer.find(b"\n") + 1
        self.dropped += self.buffer.count(b"\n", end)
        del self.buffer[end:]

    def flush(self) -> None:
        """Writes as much as the reader takes."""
        if self.dropped:
            line = {"event": "logs: Lines dropped.", "lines": self.dropped}
            self.buffer += json.dumps(line).encode() + b"\n"
            self.dropped = 0
        try:
            while self.buffer:
                written = os.write(self.fd, self.buffer)
                del self.buffer[:written]
        except BlockingIOError:
            return  # The reader is slow; the rest waits for the next flush.
        except OSError:
            # There is no reader, and so nobody to tell.
            self.buffer.clear()
