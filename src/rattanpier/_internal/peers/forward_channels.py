"""Calls that forward a request to a peer, one HTTP/2 stream for each."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager

import attrs
import structlog
from grpclib.client import Channel, Stream
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from rattanpier._internal.exceptions import (
    PeerRefusedError,
    PeerUnavailableError,
)
from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.link import BROKEN
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.proto.peer_grpc import PeerStub

log = structlog.get_logger(part="peers")

CONNECT_TIMEOUT_S = 0.5
FIRST_PART_TIMEOUT_S = 0.5  # A peer that is not busy accepts within a few ms.
ALIVE_CHECK_INTERVAL_S = 0.25
IDLE_S = 5.0  # After this a channel without calls is closed.
# Bounds what is received for a caller that does not read.
STREAM_WINDOW_BYTES = 262144
# Peers allow a hundred streams on a connection.
MAX_CALLS = 90

PartStream = Stream[peer_pb2.ForwardRequest, peer_pb2.ForwardPart]


@attrs.define(eq=False, repr=False)
class ForwardChannel:
    """The connection to one peer.

    Attributes:
      channel: The connection.
      calls: Number of calls in progress.
      idle_timer: Closes the connection after the last call, or None.
    """

    channel: Channel
    calls: int = 0
    idle_timer: asyncio.TimerHandle | None = None


@attrs.define(eq=False, repr=False)
class ForwardChannels:
    """The connections over which this entry forwards requests.

    Attributes:
      is_live: Returns whether a peer of this name is known not to be down.
      tls: Context for mutual TLS, or None.
      paused_since: Returns whether this process did not run for a while since
        a time in monotonic seconds.
      channels: Open connections by peer address.
    """

    is_live: Callable[[str], bool]
    tls: ssl.SSLContext | None = None
    paused_since: Callable[[float], bool] = lambda _at: False
    channels: dict[tuple[str, int], ForwardChannel] = attrs.Factory(dict)

    def calls_to(self, member: Member) -> int:
        """Returns the number of calls in progress to a peer."""
        found = self.channels.get((member.peer_host, member.peer_port))
        return 0 if found is None else found.calls

    @asynccontextmanager
    async def forward(
        self, member: Member, request: peer_pb2.ForwardRequest
    ) -> AsyncIterator[AsyncIterator[peer_pb2.ForwardPart]]:
        """Sends a request to a peer and yields the parts of its answer.

        A call whose parts were not read to their end is cancelled.

        Raises:
          PeerRefusedError: The peer can't be reached, or does not answer such
            calls; nothing was done.
          PeerUnavailableError: The call broke. It may have taken effect.
        """
        address = (member.peer_host, member.peer_port)
        found = self.channels.get(address)
        if found is None:
            found = self.channels[address] = self.make_channel(address)
        self.begin_call(found)
        try:
            await self.connect(found.channel, member)
            async with PeerStub(found.channel).Forward.open() as stream:
                await stream.send_message(request, end=True)
                async with aclosing(self.parts(stream, member)) as parts:
                    yield parts
        except BROKEN as error:
            self.discard(address, found)
            message = f"call to {member.name} broke: {error!r}"
            if is_unimplemented(error):
                raise PeerRefusedError(message) from error
            raise PeerUnavailableError(message) from error
        except PeerUnavailableError:
            self.discard(address, found)
            raise
        finally:
            self.end_call(address, found)

    def make_channel(self, address: tuple[str, int]) -> ForwardChannel:
        """Returns a new channel, which connects when it is first used."""
        config = Configuration(http2_stream_window_size=STREAM_WINDOW_BYTES)
        return ForwardChannel(Channel(*address, ssl=self.tls, config=config))

    async def connect(self, channel: Channel, member: Member) -> None:
        """Opens the connection unless it is open.

        Raises:
          PeerRefusedError: The peer can't be reached.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await channel.__connect__()
        except (OSError, TimeoutError) as error:
            raise PeerRefusedError(
                f"can't connect to {member.name}: {error!r}"
            ) from error

    async def parts(
        self, stream: PartStream, member: Member
    ) -> AsyncIterator[peer_pb2.ForwardPart]:
        """Yields the parts of an answer up to its end.

        Raises:
          PeerUnavailableError: The peer does not accept in time or is down.
        """
        timeout_s = FIRST_PART_TIMEOUT_S
        while True:
            reading = asyncio.ensure_future(stream.recv_message())
            began_at = time.monotonic()
            try:
                while not (await asyncio.wait({reading}, timeout=timeout_s))[0]:
                    if self.paused_since(began_at):
                        began_at = time.monotonic()
                        continue
                    first = timeout_s == FIRST_PART_TIMEOUT_S
                    if first or not self.is_live(member.name):
                        raise PeerUnavailableError(
                            f"{member.name} does not answer"
                        )
            finally:
                reading.cancel()
            part = reading.result()
            if part is None:
                return
            yield part
            timeout_s = ALIVE_CHECK_INTERVAL_S

    def begin_call(self, found: ForwardChannel) -> None:
        """Counts a call and keeps its channel open."""
        found.calls += 1
        if found.idle_timer is not None:
            found.idle_timer.cancel()
            found.idle_timer = None

    def end_call(self, address: tuple[str, int], found: ForwardChannel) -> None:
        """Counts the end of a call; closes a channel that stays unused."""
        found.calls -= 1
        if found.calls:
            return
        if self.channels.get(address) is not found:
            found.channel.close()
            return
        loop = asyncio.get_running_loop()
        found.idle_timer = loop.call_later(
            IDLE_S, self.close_idle, address, found
        )

    def close_idle(
        self, address: tuple[str, int], found: ForwardChannel
    ) -> None:
        """Closes a channel that was not used for a while."""
        self.discard(address, found)
        found.channel.close()

    def discard(self, address: tuple[str, int], found: ForwardChannel) -> None:
        """Uses a new channel for further calls to a peer."""
        if self.channels.get(address) is found:
            del self.channels[address]

    async def close(self) -> None:
        """Closes all channels; calls in progress break."""
        while self.channels:
            _, found = self.channels.popitem()
            if found.idle_timer is not None:
                found.idle_timer.cancel()
            found.channel.close()


def is_unimplemented(error: Exception) -> bool:
    """Returns whether a peer does not know the call, as older versions."""
    if not isinstance(error, GRPCError):
        return False
    return error.status is Status.UNIMPLEMENTED
