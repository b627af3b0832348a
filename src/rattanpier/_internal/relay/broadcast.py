"""Tree broadcast over the ring of entries.

The ring orders entries by failure domain and name. The sender splits the ring
after itself into a few segments and sends the message to the first entry of
each, which handles it and forwards it to the rest of its segment in the same
way. Each entry thus receives a message once and needs connections to few
peers, at a cost that does not grow with the fleet. With direct sends to all
peers, each of 195 entries had 549 open files.

A message that is lost because a forwarding entry failed is recovered by
anti-entropy, see `gossip`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import attrs
import structlog

from rattanpier._internal.exceptions import (
    PeerRefusedError,
    PeerUnavailableError,
    UnreadableError,
)
from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.relay.fleet import Fleet, ring_position

log = structlog.get_logger(part="fleet")

# Number of parts that a segment is split into. Up to this many peers receive
# messages directly; 195 and 420 entries are reached in three hops.
FANOUT = 8
# Peers answer within a few ms. Shorter than the heartbeat interval.
ACK_TIMEOUT_S = 0.45


def split_segment(segment: Sequence[Member]) -> Iterator[Sequence[Member]]:
    """Yields up to `FANOUT` contiguous parts of nearly equal size.

    >>> [len(part) for part in split_segment(range(19))]
    [3, 3, 3, 2, 2, 2, 2, 2]
    """
    count = min(FANOUT, len(segment))
    start = 0
    for number in range(count):
        size = len(segment) // count + (number < len(segment) % count)
        yield segment[start : start + size]
        start += size


@attrs.define(eq=False, repr=False)
class Broadcaster:
    """Sends messages to all peers and forwards those of other entries.

    Attributes:
      fleet: Known states of all entries.
      links: Connections to the peers.
      handlers: Handlers of received messages, by message kind.
      forwarding: Tasks that are sending or forwarding a message.
    """

    fleet: Fleet
    links: Links
    handlers: dict[str, Callable[[Any], None]] = attrs.Factory(dict)
    forwarding: set[asyncio.Task[None]] = attrs.Factory(set)

    def notify_all(self, message: peer_pb2.Spread) -> None:
        """Sends a message to all peers, without acknowledgement."""
        self.notify_segment(message, self.fleet.ring())

    def notify_one(self, message: peer_pb2.Spread, name: str) -> None:
        """Sends a message to one entry, if known, without acknowledgement."""
        peer = self.fleet.peers.get(name)
        if peer is not None:
            notice = peer_pb2.Notice(spread=addressed_copy(message, []))
            self.links.to(peer.member).notify(notice)

    # Acknowledged sends.

    async def send_to_segment(
        self, message: peer_pb2.Spread, segment: Sequence[Member]
    ) -> None:
        """Sends a message to a segment, bypassing entries that fail."""
        await asyncio.gather(
            *(
                self.send_to_part(message, part)
                for part in split_segment(segment)
            )
        )

    async def send_to_part(
        self, message: peer_pb2.Spread, part: Sequence[Member]
    ) -> None:
        """Sends a message to the first entry of a part, to be forwarded.

        If the first entry does not answer, the rest of the part is split anew.
        """
        first, rest = part[0], part[1:]
        call = peer_pb2.Call(spread=addressed_copy(message, rest))
        try:
            await self.links.to(first).call(call, ACK_TIMEOUT_S)
        except (PeerRefusedError, PeerUnavailableError) as error:
            log.debug(
                "Peer did not answer.", entry=first.name, error=str(error)
            )
            await self.send_to_segment(message, rest)

    async def serve(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Handles, forwards and acknowledges a message."""
        message = call.spread
        self.handle(message)
        self.start_sending(message, self.fleet.segment_up_to(message.last))
        return peer_pb2.Reply(spread=peer_pb2.SpreadTaken())

    def start_sending(
        self, message: peer_pb2.Spread, segment: Sequence[Member]
    ) -> None:
        """Starts sending a message to a segment, without waiting."""
        if not segment:
            return
        task = asyncio.ensure_future(self.send_to_segment(message, segment))
        self.forwarding.add(task)
        task.add_done_callback(self.forwarding.discard)

    # Sends without acknowledgement; messages may be lost.

    def notify_segment(
        self, message: peer_pb2.Spread, segment: Sequence[Member]
    ) -> None:
        """Sends a message to a segment, without acknowledgement."""
        for part in split_segment(segment):
            notice = peer_pb2.Notice(spread=addressed_copy(message, part[1:]))
            self.links.to(part[0]).notify(notice)

    def handle_notice(self, notice: peer_pb2.Notice) -> None:
        """Forwards and handles a message that needs no acknowledgement."""
        message = notice.spread
        self.notify_segment(message, self.fleet.segment_up_to(message.last))
        self.handle(message)

    def handle(self, message: peer_pb2.Spread) -> None:
        """Passes a message to the handler of its kind.

        Messages that can't be decoded are logged; they are still forwarded.
        """
        kind = message.WhichOneof("news") or ""
        handler = self.handlers.get(kind)
        if handler is None:
            log.warning("Message of unknown kind.", kind=kind)
            return
        try:
            handler(getattr(message, kind))
        except UnreadableError as error:
            log.warning(
                "Message can't be decoded.", kind=kind, error=error.message
            )


def addressed_copy(
    message: peer_pb2.Spread, rest: Sequence[Member]
) -> peer_pb2.Spread:
    """Returns a copy of a message to be forwarded to `rest`."""
    copy = peer_pb2.Spread()
    copy.CopyFrom(message)
    copy.last = ring_position(rest[-1]) if rest else ""
    return copy
