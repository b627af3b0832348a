"""Planned exit of an entry. Free of I/O.

From the last byte of a request that the entry reads until the last byte of its
answer is out, an exit never ends it before the grace period is over.

Callers cache the list of entries and go on using this one for a while after
SIGTERM. The entry therefore serves at first, as long as requests will certainly
end in time. Once nothing is in progress, it refuses further requests, closes
the connections that carry none, and exits when the others are closed.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="drain")

# Ratios of the time between SIGTERM and SIGKILL. Streams last a few seconds,
# other requests at most one or two.
STREAM_ACCEPT_RATIO = 0.3
PLAIN_ACCEPT_RATIO = 0.6
# Callers notice the shutdown when they fetch the list of entries again.
MIN_SERVE_RATIO = 0.4
# Requests that are on their way when the entry stops serving are refused, which
# tells a caller more than a closed connection.
REFUSE_S = 0.05
# A request whose head is incomplete is refused if the rest arrives within this
# time; later, its connection is closed unread.
MAX_HEAD_WAIT_S = 1.0
LEAVING_RETRY_S = 0.05  # Other entries accept the request immediately.
ALONE_RETRY_S = 0.5  # No other entry is known; one may be starting.


class ExitPhase(enum.StrEnum):
    """What an entry does with requests and connections."""

    SERVING = "serving"  # Requests that will end in time are served.
    REFUSING = "refusing"  # No new connections; new requests are refused.
    CLOSING = "closing"  # Connections without a request are closed, too.
    DONE = "done"  # The process may end.


@attrs.frozen(eq=False, repr=False)
class OpenConnections(Record):
    """Numbers of connections that callers have open.

    Attributes:
      busy: Those with a request that is complete, or whose answer is not all
        written.
      reading: Those on which the head of a request is incomplete.
    """

    busy: int = 0
    reading: int = 0


@attrs.define(eq=False, repr=False)
class DrainState:
    """Whether an entry accepts requests, and when its process may end.

    Attributes:
      clock: Monotonic clock.
      grace_s: Seconds from SIGTERM to SIGKILL.
      running: Number of requests in flight, also those of peers.
      holds_unread: Returns whether callers have not yet read all of their
        answers, which an exit would cut off.
      begun_at: When the shutdown began, in monotonic seconds, None before.
      refused_at: When the entry began to refuse requests, in monotonic seconds,
        None before. It never serves again.
      on_begin: Called when the shutdown begins.
    """

    clock: Clock
    grace_s: float
    running: int = 0
    holds_unread: Callable[[], bool] = lambda: False
    begun_at: float | None = None
    refused_at: float | None = None
    on_begin: Callable[[], None] = lambda: None

    @property
    def leaving(self) -> bool:
        """Whether the shutdown began, so that connections are not reused."""
        return self.begun_at is not None

    def begin_request(self) -> None:
        """Counts a request as in flight."""
        self.running += 1

    def end_request(self) -> None:
        """Counts a request as no longer in flight."""
        self.running -= 1

    def begin(self) -> None:
        """Begins the shutdown, unless it has begun."""
        if self.begun_at is None:
            self.begun_at = self.clock.monotonic()
            self.on_begin()

    def elapsed_ratio(self) -> float:
        """Returns the ratio of the time to SIGKILL that has passed."""
        if self.begun_at is None:
            return 0.0
        return (self.clock.monotonic() - self.begun_at) / self.grace_s

    def accepts(self, streaming: bool) -> bool:
        """Returns whether a new request will certainly end in time."""
        if self.refused_at is not None:
            return False
        return self.elapsed_ratio() < (
            STREAM_ACCEPT_RATIO if streaming else PLAIN_ACCEPT_RATIO
        )

    def advance(self, connections: OpenConnections) -> ExitPhase:
        """Returns the phase after a look at what is in progress.

        The look and the decision to refuse further requests are one step: no
        request can be accepted between them. Nothing else ends the process.

        Args:
          connections: Open connections of callers.
        """
        if self.elapsed_ratio() >= 1.0:
            return ExitPhase.DONE
        if self.refused_at is None:
            if self.elapsed_ratio() < MIN_SERVE_RATIO or self.in_progress():
                return ExitPhase.SERVING
            self.refused_at = self.clock.monotonic()
            log.info(
                "Refusing new requests.",
                busy=connections.busy,
                reading=connections.reading,
            )
        refusing_s = self.clock.monotonic() - self.refused_at
        if refusing_s < REFUSE_S:
            return ExitPhase.REFUSING
        if self.in_progress() or connections.busy:
            return ExitPhase.CLOSING
        if connections.reading and refusing_s < MAX_HEAD_WAIT_S:
            return ExitPhase.CLOSING
        return ExitPhase.DONE

    def in_progress(self) -> bool:
        """Returns whether an exit would cut off an answer."""
        return self.running > 0 or self.holds_unread()


def leaving_refusal(others_serve: bool) -> Refusal:
    """Returns the refusal of a request that might outlast a planned exit.

    Args:
      others_serve: Whether another entry is offered to callers.
    """
    return Refusal(
        RefusalCode.DRAINING,
        "This entry is leaving; ask another.",
        True,
        LEAVING_RETRY_S if others_serve else ALONE_RETRY_S,
    )
