"""Keeps chats and calls that end their workers from further ones.

The decision is that of `retries.quarantine`. Here is how it shows that a worker
ended, and how entries tell each other: by notices along their ring, which go on
as long as they are new to somebody. One that is lost costs one more worker.
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
from rattanpier._internal.models.worker_end import QuarantineNews
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.routing.placement import Target
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.ports import listens

log = structlog.get_logger(part="quarantine")

PORT_CHECK_TIMEOUT_S = 0.3  # A VM without a listener refuses within some ms.


def content_key(request: RouteRequest) -> str:
    """Returns what a request is known by, the same for each attempt."""
    return f"{request.workspace}/{request.digest}"


async def has_terminated(target: Target) -> bool:
    """Says whether a worker whose answer broke off surely ended."""
    url = URL(target.worker.url)
    found = await listens(url.host or "", url.port or 0, PORT_CHECK_TIMEOUT_S)
    return found is False


def request_quarantined(seconds: float) -> DispatchError:
    """Returns the error for a request under which workers ended.

    Args:
      seconds: Until it may be sent again.
    """
    return DispatchError(
        RefusalCode.QUARANTINED, "Workers ended under this request.", seconds
    )


@attrs.define
class QuarantineSharing:
    """Tells other entries of ends, and passes on what is new.

    Attributes:
      broadcast: Sends a notice to a few entries; must not block.
    """

    quarantine: Quarantine
    broadcast: Callable[[peer_pb2.Notice], None]
    scheduled: asyncio.Handle | None = None

    def schedule_publish(self) -> None:
        """Tells of what is untold, all of one turn of the loop together."""
        if self.scheduled is None:
            loop = asyncio.get_running_loop()
            self.scheduled = loop.call_soon(self.publish)

    def publish(self) -> None:
        """Tells others of what is untold."""
        self.scheduled = None
        self.publish_update(self.quarantine.take_untold())

    def publish_update(self, update: QuarantineNews) -> None:
        """Sends update to a few entries."""
        rumors = peer_pb2.Rumors(text=encode(update).encode())
        self.broadcast(peer_pb2.Notice(spread=peer_pb2.Spread(rumors=rumors)))

    def receive(self, notice: peer_pb2.Notice) -> None:
        """Takes in another entry's update, and passes on what was new."""
        try:
            update = decode(QuarantineNews, notice.spread.rumors.text)
        except UnreadableError as error:
            log.warning("Notice can't be read.", error=error.message)
            return
        unseen = self.quarantine.take(update)
        if unseen != QuarantineNews():
            self.publish_update(unseen)
