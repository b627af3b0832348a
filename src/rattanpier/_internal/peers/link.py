"""A stream to one peer, over which calls are batched into frames.

When a stream breaks, its calls fail at once and it is opened again after a
bounded backoff. After a few calls without a reply the stream is replaced, since
it may be half open.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import random
import ssl
import time

import structlog
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from rattanpier._internal.exceptions import (
    PeerRefusedError,
    PeerUnavailableError,
)
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.proto.peer_grpc import PeerStub

log = structlog.get_logger(part="peers")

BATCH_PAUSE_S = 0.001  # Calls of one millisecond share a frame.
CONNECT_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_PENDING = 10_000  # Calls without a reply.
MAX_NOTICES = 1_000  # Notices not yet sent; further notices are dropped.
MAX_CONSECUTIVE_TIMEOUTS = 3  # Then the stream is replaced.
BROKEN = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
)


class Link:
    """Sends calls and notices to one peer.

    Attributes:
      host: IP address of the peer.
      port: Port of the peer.
      member: Own member name, sent in the first frame.
      pending: Futures of calls without a reply, by call id.
      connected: Whether the peer has answered on the current stream.
      consecutive_timeouts: Timeouts since the last frame from the peer;
        overlapping calls count as one.
      last_timeout_at: Monotonic time of the last timeout counted on the
        current stream, 0 if there was none; infinite without a stream.
      backoff_s: Wait before the next stream; 0 after one that worked.
      retry_at: Monotonic time before which no stream is opened.
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
        self.frame = peer_pb2.Frame(sender=member)
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.connected = False
        self.consecutive_timeouts = 0
        self.last_timeout_at = math.inf
        self.backoff_s = 0.0
        self.retry_at = 0.0

    async def call(
        self, call: peer_pb2.Call, timeout_s: float
    ) -> peer_pb2.Reply:
        """Sends a call and returns its reply.

        Raises:
          PeerRefusedError: No process listens there; nothing was sent.
          PeerUnavailableError: No reply in time, or the peer failed. The
            call may or may not have taken effect.
        """
        if len(self.pending) >= MAX_PENDING:
            raise PeerUnavailableError(f"link to {self.address} is full")
        self.ensure_running()
        call.id = next(self.ids)
        future = asyncio.get_running_loop().create_future()
        self.pending[call.id] = future
        self.frame.calls.append(call)
        self.wake.set()
        sent_at = time.monotonic()
        try:
            reply = await asyncio.wait_for(future, timeout_s)
        except TimeoutError as error:
            self.record_timeout(sent_at)
            raise PeerUnavailableError(
                f"peer {self.address} did not answer"
            ) from error
        finally:
            self.pending.pop(call.id, None)
        if reply.WhichOneof("body") == "failure":
            raise PeerUnavailableError(reply.failure.message)
        return reply

    def notify(self, notice: peer_pb2.Notice) -> None:
        """Sends a notice without acknowledgement; it may be lost."""
        if len(self.frame.notices) >= MAX_NOTICES:
            return
        self.ensure_running()
        self.frame.notices.append(notice)
        self.wake.set()

    @property
    def address(self) -> str:
        """The peer's address, for log and error messages."""
        return f"{self.host}:{self.port}"

    def ensure_running(self) -> None:
        """Starts the stream if there is none."""
        if self.task is None or self.task.done():
            self.frame = peer_pb2.Frame(sender=self.member)
            self.task = asyncio.get_running_loop().create_task(self.run())

    def record_timeout(self, sent_at: float) -> None:
        """Counts a call without a reply; replaces a stream without replies.

        Nothing is counted before a stream is open; otherwise calls that time
        out while it is being opened would cancel it again and again.
        At a busy peer all calls of one moment time out together. Counted one
        by one they would end its stream and every other call on it, and a new
        stream would load the busy peer further.
        """
        if sent_at < self.last_timeout_at:
            return
        self.last_timeout_at = time.monotonic()
        self.consecutive_timeouts += 1
        if (
            self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS
            and self.task is not None
        ):
            log.info(
                "Peer does not reply; replacing the stream.", peer=self.address
            )
            self.consecutive_timeouts = 0
            self.task.cancel()

    async def run(self) -> None:
        """Runs one stream until it breaks, then fails the pending calls."""
        error: Exception | None = None
        channel: Channel | None = None
        try:
            await asyncio.sleep(max(0.0, self.retry_at - time.monotonic()))
            channel = Channel(self.host, self.port, ssl=self.tls)
            await self.exchange(channel)
        except BROKEN as broken:
            error = broken
            log.info("Stream broke.", peer=self.address, error=repr(broken))
        finally:
            self.record_break()
            if channel is not None:
                channel.close()
            self.fail_pending(error)

    def record_break(self) -> None:
        """Sets the backoff before the next stream is opened."""
        worked, self.connected = self.connected, False
        self.last_timeout_at = math.inf
        self.backoff_s = (
            0.0
            if worked
            else min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * self.backoff_s))
        )
        # Jitter: peers of a process that stopped must not reconnect together.
        wait = self.backoff_s * random.uniform(0.5, 1.0)
        self.retry_at = time.monotonic() + wait

    async def exchange(self, channel: Channel) -> None:
        """Opens the stream, sends frames and receives replies."""
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await channel.__connect__()
                stream = await stack.enter_async_context(
                    PeerStub(channel).Exchange.open()
                )
                await stream.send_request()
            self.last_timeout_at = 0.0
            self.consecutive_timeouts = 0
            loop = asyncio.get_running_loop()
            work = [
                loop.create_task(self.send(stream)),
                loop.create_task(self.receive_all(stream)),
            ]
            try:
                # The first that fails ends the other.
                await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in work:
                    task.cancel()
                ended = await asyncio.gather(*work, return_exceptions=True)
            for result in ended:
                if isinstance(result, Exception):
                    raise result

    async def send(self, stream: object) -> None:
        """Sends a frame whenever there is something to send."""
        while True:
            await self.wake.wait()
            await asyncio.sleep(BATCH_PAUSE_S)
            self.wake.clear()
            frame, self.frame = self.frame, peer_pb2.Frame()
            await stream.send_message(frame)  # type: ignore[attr-defined]

    async def receive_all(self, stream: object) -> None:
        """Receives frames until the peer ends the stream."""
        async for frame in stream:  # type: ignore[attr-defined]
            self.connected = True
            self.consecutive_timeouts = 0
            self.receive(frame)

    def receive(self, frame: peer_pb2.Frame) -> None:
        """Passes replies to their callers."""
        for reply in frame.replies:
            future = self.pending.pop(reply.id, None)
            if future is not None and not future.done():
                future.set_result(reply)

    def fail_pending(self, error: Exception | None) -> None:
        """Fails every call without a reply."""
        pending, self.pending = self.pending, {}
        kind = (
            PeerRefusedError
            if isinstance(error, ConnectionRefusedError)
            else PeerUnavailableError
        )
        for future in pending.values():
            if not future.done():
                future.set_exception(kind(f"link to {self.address} broke"))

    async def close(self) -> None:
        """Closes the stream; pending calls fail."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
