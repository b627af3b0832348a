"""How news reach all entries, at a cost for each that grows with none of them.

Entries stand in a ring, in the order of their failure domains and names. One
that has news splits the ring behind it into a few runs and tells the first of
each run, which takes the news in and does the same with the rest of its run.
So each entry hears of a thing once, tells few others, and needs connections to
few: with telling all directly each of 195 entries had 549 open files.

What one misses since an entry above it failed it hears from its neighbours,
see `gossip`.
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

# Runs that a ring, or a run, is split into. Fleets of up to so many others are
# told directly; 195 and 420 entries are reached in three steps.
FANOUT = 8
# Peers answer within some ms; less than the pause between two heartbeats.
ACK_TIMEOUT_S = 0.45


def split_segment(segment: Sequence[Member]) -> Iterator[Sequence[Member]]:
    """Yields the parts that a run is told in, of nearly the same size.

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
    """Tells all others, and passes on what others tell.

    Attributes:
      fleet: The others.
      links: Connections to them.
      handlers: What takes news in, by their kind.
      forwarding: News that are being passed on.
    """

    fleet: Fleet
    links: Links
    handlers: dict[str, Callable[[Any], None]] = attrs.Factory(dict)
    forwarding: set[asyncio.Task[None]] = attrs.Factory(set)

    def notify_all(self, message: peer_pb2.Spread) -> None:
        """Tells all others what may be lost on the way to some."""
        self.notify_segment(message, self.fleet.ring())

    def notify_one(self, message: peer_pb2.Spread, name: str) -> None:
        """Tells one entry what may be lost, if it is known."""
        peer = self.fleet.peers.get(name)
        if peer is not None:
            notice = peer_pb2.Notice(spread=addressed_copy(message, []))
            self.links.to(peer.member).notify(notice)

    # Down the tree, each step acknowledged.

    async def send_to_segment(
        self, message: peer_pb2.Spread, segment: Sequence[Member]
    ) -> None:
        """Tells a run of entries; those that don't answer are gone round."""
        await asyncio.gather(
            *(
                self.send_to_part(message, part)
                for part in split_segment(segment)
            )
        )

    async def send_to_part(
        self, message: peer_pb2.Spread, part: Sequence[Member]
    ) -> None:
        """Tells the first entry of a part, or else the rest of it."""
        first, rest = part[0], part[1:]
        call = peer_pb2.Call(spread=addressed_copy(message, rest))
        try:
            await self.links.to(first).call(call, ACK_TIMEOUT_S)
        except (PeerRefusedError, PeerUnavailableError) as error:
            log.debug("Peer is silent.", entry=first.name, error=str(error))
            await self.send_to_segment(message, rest)

    async def serve(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Takes news in, and passes them on."""
        message = call.spread
        self.handle(message)
        self.start_sending(message, self.fleet.segment_up_to(message.last))
        return peer_pb2.Reply(spread=peer_pb2.SpreadTaken())

    def start_sending(
        self, message: peer_pb2.Spread, segment: Sequence[Member]
    ) -> None:
        """Begins to tell a run of entries, without waiting for them."""
        if not segment:
            return
        task = asyncio.ensure_future(self.send_to_segment(message, segment))
        self.forwarding.add(task)
        task.add_done_callback(self.forwarding.discard)

    # Down the tree, without acknowledgement.

    def notify_segment(
        self, message: peer_pb2.Spread, segment: Sequence[Member]
    ) -> None:
        """Tells a run of entries what may be lost."""
        for part in split_segment(segment):
            notice = peer_pb2.Notice(spread=addressed_copy(message, part[1:]))
            self.links.to(part[0]).notify(notice)

    def handle_notice(self, notice: peer_pb2.Notice) -> None:
        """Takes news in, and passes them on."""
        message = notice.spread
        self.notify_segment(message, self.fleet.segment_up_to(message.last))
        self.handle(message)

    def handle(self, message: peer_pb2.Spread) -> None:
        """Takes news in; what can't be read is passed on all the same."""
        kind = message.WhichOneof("news") or ""
        handler = self.handlers.get(kind)
        if handler is None:
            log.warning("News of an unknown kind.", kind=kind)
            return
        try:
            handler(getattr(message, kind))
        except UnreadableError as error:
            log.warning("News can't be read.", kind=kind, error=error.message)


def addressed_copy(
    message: peer_pb2.Spread, rest: Sequence[Member]
) -> peer_pb2.Spread:
    """Returns news for an entry that is to pass them on to some others."""
    copy = peer_pb2.Spread()
    copy.CopyFrom(message)
    copy.last = ring_position(rest[-1]) if rest else ""
    return copy
