"""A stream to one peer, over which calls are batched into frames."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import ssl

import structlog
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from rattanpier._internal.exceptions import PeerUnavailableError
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.proto.peer_grpc import PeerStub

log = structlog.get_logger(part="peers")

BATCH_PAUSE_S = 0.001  # Calls of one millisecond share a frame.
CONNECT_TIMEOUT_S = 2.0
BROKEN = (OSError, GRPCError, StreamTerminatedError, TimeoutError)


class Link:
    """Calls one peer.

    Attributes:
      host: IP number of the peer.
      port: Its port.
      member: Own member name, sent in the first frame.
      pending: Futures of calls without a reply, by call id.
    """

    def __init__(
        self,
        host: str,
        port: int,
        member: str,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.member = member
        self.tls = tls
        self.pending: dict[int, asyncio.Future[peer_pb2.Reply]] = {}
        self.ids = itertools.count(1)
        self.frame = peer_pb2.Frame()
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.connected = False

    async def call(
        self, call: peer_pb2.Call, timeout_s: float
    ) -> peer_pb2.Reply:
        """Sends a call and returns its reply.

        Raises:
          PeerUnavailableError: No reply in time, or the peer failed. The
            call may or may not have taken effect.
        """
        self.ensure_running()
        call.id = next(self.ids)
        future = asyncio.get_running_loop().create_future()
        self.pending[call.id] = future
        self.frame.calls.append(call)
        self.wake.set()
        try:
            reply = await asyncio.wait_for(future, timeout_s)
        except TimeoutError as error:
            raise PeerUnavailableError(
                f"peer {self.host}:{self.port} did not answer"
            ) from error
        finally:
            self.pending.pop(call.id, None)
        if reply.WhichOneof("body") == "failure":
            raise PeerUnavailableError(reply.failure.message)
        return reply

    def notify(self, notice: peer_pb2.Notice) -> None:
        """Sends a notice that may be lost."""
        self.ensure_running()
        self.frame.notices.append(notice)
        self.wake.set()

    def ensure_running(self) -> None:
        """Starts the stream if there is none."""
        if self.task is None or self.task.done():
            self.frame = peer_pb2.Frame(sender=self.member)
            self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Keeps one stream until it breaks; then fails what is pending."""
        channel = Channel(self.host, self.port, ssl=self.tls)
        try:
            await self.exchange(channel)
        except BROKEN as error:
            log.info("Link broke.", peer=self.host, error=repr(error))
        finally:
            self.connected = False
            channel.close()
            self.fail_pending()

    async def exchange(self, channel: Channel) -> None:
        """Opens the stream, sends frames and receives replies."""
        async with PeerStub(channel).Exchange.open() as stream:
            await asyncio.wait_for(stream.send_request(), CONNECT_TIMEOUT_S)
            sender = asyncio.get_running_loop().create_task(self.send(stream))
            sender.add_done_callback(lambda task: self.note_end(task, stream))
            try:
                async for frame in stream:
                    self.connected = True
                    self.receive(frame)
            finally:
                sender.cancel()
                with contextlib.suppress(asyncio.CancelledError, *BROKEN):
                    await sender

    def note_end(self, task: asyncio.Task[None], stream: object) -> None:
        """Closes the stream when its sender failed."""
        if not task.cancelled() and task.exception() is not None:
            self.fail_pending()

    async def send(self, stream: object) -> None:
        """Sends a frame whenever there is something to send."""
        while True:
            await self.wake.wait()
            await asyncio.sleep(BATCH_PAUSE_S)
            self.wake.clear()
            frame, self.frame = self.frame, peer_pb2.Frame()
            await stream.send_message(frame)  # type: ignore[attr-defined]

    def receive(self, frame: peer_pb2.Frame) -> None:
        """Hands replies to their callers."""
        for reply in frame.replies:
            future = self.pending.pop(reply.id, None)
            if future is not None and not future.done():
                future.set_result(reply)

    def fail_pending(self) -> None:
        """Fails every call without a reply."""
        pending, self.pending = self.pending, {}
        for future in pending.values():
            if not future.done():
                future.set_exception(
                    PeerUnavailableError(
                        f"link to {self.host}:{self.port} broke"
                    )
                )

    async def close(self) -> None:
        """Ends the stream."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
