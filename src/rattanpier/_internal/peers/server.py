"""The server side of the streams between processes."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable, Callable

import structlog
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from rattanpier._internal.exceptions import RattanpierError, UnreadableError
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.proto.peer_grpc import PeerBase

log = structlog.get_logger(part="peers")

# Calls of one peer that run at once; further calls are refused as busy.
MAX_RUNNING_CALLS = 5_000
# Replies that a peer has not read; beyond this its stream is closed.
MAX_QUEUED_REPLIES = 10_000

CallHandler = Callable[[peer_pb2.Call], Awaitable[peer_pb2.Reply]]
NoticeHandler = Callable[[peer_pb2.Notice], None]
ForwardStream = Stream[peer_pb2.ForwardRequest, peer_pb2.ForwardPart]
ForwardHandler = Callable[[ForwardStream], Awaitable[None]]


class PeerServer(PeerBase):
    """Serves peers; other services add handlers by message kind.

    Attributes:
      forward_handler: Answers a request that a peer forwards; None if this
        process answers none.
      calls: Handler for each kind of call, by its field name.
      notices: Handlers for each kind of notice, by its field name.
    """

    def __init__(self) -> None:
        self.calls: dict[str, CallHandler] = {}
        self.notices: dict[str, list[NoticeHandler]] = {}
        self.forward_handler: ForwardHandler | None = None
        self.server: Server | None = None
        self.port = 0

    def on_call(self, kind: str, handler: CallHandler) -> None:
        """Sets the handler for a kind of call."""
        self.calls[kind] = handler

    def on_notice(self, kind: str, handler: NoticeHandler) -> None:
        """Adds a handler for a kind of notice."""
        self.notices.setdefault(kind, []).append(handler)

    async def Exchange(  # noqa: N802 (the name is grpclib's)
        self, stream: Stream[peer_pb2.Frame, peer_pb2.Frame]
    ) -> None:
        """Serves one peer's stream until it ends."""
        outgoing: asyncio.Queue[peer_pb2.Reply] = asyncio.Queue()
        sender = asyncio.get_running_loop().create_task(
            send_replies(stream, outgoing)
        )
        running: set[asyncio.Task[None]] = set()
        try:
            await stream.send_initial_metadata()
            async for frame in stream:
                for notice in frame.notices:
                    self.handle_notice(notice)
                if outgoing.qsize() > MAX_QUEUED_REPLIES:
                    log.warning(
                        "Peer does not read replies; closing the stream."
                    )
                    return
                for call in frame.calls:
                    if len(running) >= MAX_RUNNING_CALLS:
                        outgoing.put_nowait(busy_reply(call))
                        continue
                    task = asyncio.get_running_loop().create_task(
                        self.answer(call, outgoing)
                    )
                    running.add(task)
                    task.add_done_callback(running.discard)
        except asyncio.CancelledError:
            # Cancel the stream, so that the peer's calls fail at once.
            with contextlib.suppress(Exception):
                await stream.cancel()
            raise
        finally:
            sender.cancel()
            with contextlib.suppress(
                asyncio.CancelledError, StreamTerminatedError, OSError
            ):
                await sender

    async def Forward(  # noqa: N802 (the name is grpclib's)
        self, stream: ForwardStream
    ) -> None:
        """Answers a request that a peer forwards."""
        if self.forward_handler is None:
            raise GRPCError(Status.UNIMPLEMENTED, "forwards are not answered")
        await self.forward_handler(stream)

    async def answer(
        self,
        call: peer_pb2.Call,
        outgoing: asyncio.Queue[peer_pb2.Reply],
    ) -> None:
        """Runs the handler of one call and queues the reply."""
        kind = call.WhichOneof("body")
        handler = self.calls.get(kind or "")
        if handler is None:
            reply = failure_reply("unknown_call", f"no handler for {kind!r}")
        else:
            try:
                reply = await handler(call)
            except RattanpierError as error:
                reply = failure_reply(error.code, error.message)
            except Exception as error:
                # The peer would wait for its timeout and repeat the call.
                log.exception("Call of a peer failed.", kind=kind)
                reply = failure_reply("internal", repr(error))
        reply.id = call.id
        outgoing.put_nowait(reply)

    def handle_notice(self, notice: peer_pb2.Notice) -> None:
        """Passes a notice to its handlers."""
        kind = notice.WhichOneof("body") or ""
        for handler in self.notices.get(kind, []):
            try:
                handler(notice)
            except UnreadableError as error:
                # Notices may be lost; the calls on the stream continue.
                log.warning(
                    "Notice unreadable.", kind=kind, error=error.message
                )

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Starts to listen and sets `port` to the bound port."""
        self.server = Server([self])
        await self.server.start(host, port, ssl=tls)
        sockets = self.server._server.sockets  # noqa: SLF001
        self.port = sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and ends all streams."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()


def failure_reply(code: str, message: str) -> peer_pb2.Reply:
    """Returns a reply that reports a failure."""
    return peer_pb2.Reply(failure=peer_pb2.Failure(code=code, message=message))


def busy_reply(call: peer_pb2.Call) -> peer_pb2.Reply:
    """Returns the reply to a call that is refused without being run."""
    reply = failure_reply("busy", "too many calls are under way")
    reply.id = call.id
    return reply


async def send_replies(
    stream: Stream[peer_pb2.Frame, peer_pb2.Frame],
    outgoing: asyncio.Queue[peer_pb2.Reply],
) -> None:
    """Sends replies, batching all that are ready into one frame."""
    while True:
        replies = [await outgoing.get()]
        while not outgoing.empty():
            replies.append(outgoing.get_nowait())
        await stream.send_message(peer_pb2.Frame(replies=replies))
