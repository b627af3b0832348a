"""Detects workers that crash under a request, and shares this among entries.

`retries.quarantine` decides which requests are refused. This module detects
that a worker process terminated, and sends updates to peers as notices along
the ring of entries. A notice is forwarded as long as it is new to its receiver;
a lost notice may cost one more worker.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import structlog
from yarl import URL

from rattanpier._internal.dispatch.failures import DispatchError
from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.refusal import RefusalCode
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.models.worker_crash import QuarantineUpdate
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.retries.quarantine import STOOD_S, Quarantine
from rattanpier._internal.routing.placement import Target
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.ports import listens

log = structlog.get_logger(part="quarantine")

PORT_CHECK_TIMEOUT_S = 0.3  # A VM without a listener refuses within a few ms.


def content_key(request: RouteRequest) -> str:
    """Returns the key of a request's content, the same for each attempt."""
    return f"{request.workspace}/{request.digest}"


async def has_terminated(target: Target) -> bool:
    """Returns whether a worker certainly terminated.

    True only if its VM refuses connections to the worker's port.
    """
    url = URL(target.worker.url)
    found = await listens(url.host or "", url.port or 0, PORT_CHECK_TIMEOUT_S)
    return found is False


def request_quarantined(seconds: float) -> DispatchError:
    """Returns the error for a request under which workers crashed.

    Args:
      seconds: Seconds until the request may be sent again.
    """
    return DispatchError(
        RefusalCode.QUARANTINED, "Workers ended under this request.", seconds
    )


@attrs.define
class AnswerWatch:
    """Records whether a worker stands answering a request.

    Attributes:
      quarantine: Where it is recorded.
      request: The request.
      began_at: When the worker began to answer, in monotonic seconds, or None.
      stood: Whether it went on for a while.
    """

    quarantine: Quarantine
    request: RouteRequest
    began_at: float | None = None
    stood: bool = False

    def age_s(self) -> float | None:
        """Returns the seconds since the worker began to answer, or None."""
        if self.began_at is None:
            return None
        return self.quarantine.clock.monotonic() - self.began_at

    def record_chunk(self) -> None:
        """Records that a piece of the answer was received."""
        if self.began_at is None:
            self.began_at = self.quarantine.clock.monotonic()
        age_s = self.age_s()
        if not self.stood and age_s is not None and age_s >= STOOD_S:
            self.stood = True
            self.quarantine.record_stood(
                self.request.shared_parts, self.began_at
            )

    def record_end(self) -> None:
        """Records that the answer was complete."""
        self.quarantine.record_answer(
            content_key(self.request), self.request.shared_parts, self.began_at
        )


@attrs.define
class QuarantineSharing:
    """Publishes quarantine updates to peers and forwards new ones.

    Attributes:
      broadcast: Sends a notice to neighbouring entries; must not block.
      scheduled: Handle of the scheduled publication, or None.
    """

    quarantine: Quarantine
    broadcast: Callable[[peer_pb2.Notice], None]
    scheduled: asyncio.Handle | None = None

    def schedule_publish(self) -> None:
        """Schedules one publication for all updates of this loop iteration."""
        if self.scheduled is None:
            loop = asyncio.get_running_loop()
            self.scheduled = loop.call_soon(self.publish)

    def publish(self) -> None:
        """Publishes the updates that were not yet published."""
        self.scheduled = None
        self.publish_update(self.quarantine.pop_unsent())

    def publish_update(self, update: QuarantineUpdate) -> None:
        """Sends an update to neighbouring entries."""
        rumors = peer_pb2.Rumors(text=encode(update).encode())
        self.broadcast(peer_pb2.Notice(spread=peer_pb2.Spread(rumors=rumors)))

    def receive(self, notice: peer_pb2.Notice) -> None:
        """Applies a peer's update and forwards the part that was new."""
        try:
            update = decode(QuarantineUpdate, notice.spread.rumors.text)
        except UnreadableError as error:
            log.warning("Notice can't be read.", error=error.message)
            return
        unseen = self.quarantine.apply_update(update)
        if unseen != QuarantineUpdate():
            self.publish_update(unseen)
