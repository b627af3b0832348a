"""Non-blocking, bounded writer of log lines to a file descriptor.

If the reader stalls or lines come in a burst, the process never waits: lines
that exceed the rate or the buffer are dropped, and their number is logged.
"""

from __future__ import annotations

import json
import os
import time

# About ten lines per request at the typical load of an entry.
LINES_PER_S = 400.0
MAX_BURST_LINES = 2000.0
BUFFER_BYTES = 2**20  # Kept for a slow reader.
FLUSH_BYTES = 8192


class LogSink:
    """A bounded buffer in front of a file descriptor.

    Attributes:
      fd: File descriptor, which is set to non-blocking mode.
      buffer: Bytes that are not written yet.
      dropped: Number of lines dropped since that was last logged.
      tokens: Lines that may be written now, by the token bucket.
      filled_at: Monotonic time of the last refill, in seconds.
    """

    def __init__(self, fd: int = 1) -> None:
        self.fd = fd
        self.buffer = bytearray()
        self.dropped = 0
        self.tokens = MAX_BURST_LINES
        self.filled_at = time.monotonic()
        os.set_blocking(fd, False)

    def msg(self, message: str) -> None:
        """Buffers a line or drops it; structlog requires this name."""
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
        """Takes a token for one line; returns whether there was one."""
        now = time.monotonic()
        earned = (now - self.filled_at) * LINES_PER_S
        self.tokens = min(MAX_BURST_LINES, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def drop_buffered_lines(self) -> None:
        """Drops all buffered lines but the first, which may be half written."""
        end = self.buffer.find(b"\n") + 1
        self.dropped += self.buffer.count(b"\n", end)
        del self.buffer[end:]

    def flush(self) -> None:
        """Writes as much as the file descriptor accepts."""
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
            # The reader is gone, so that the error can't be reported either.
            self.buffer.clear()
