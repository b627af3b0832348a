"""The serving side of the streams between processes."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable, Callable

import structlog
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server, Stream

from rattanpier._internal.exceptions import RattanpierError, UnreadableError
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.proto.peer_grpc import PeerBase

log = structlog.get_logger(part="peers")

MAX_RUNNING_CALLS = (
    5_000  # Calls of one peer under way; more are refused at once.
)
MAX_QUEUED_REPLIES = 10_000  # Replies a peer has not read; then it is cut off.

CallHandler = Callable[[peer_pb2.Call], Awaitable[peer_pb2.Reply]]
NoticeHandler = Callable[[peer_pb2.Notice], None]


class PeerServer(PeerBase):
    """Answers peers; other services add handlers by message kind.

    Attributes:
      calls: Handler for each kind of call, by its field name.
      notices: Handlers for each kind of notice, by its field name.
    """

    def __init__(self) -> None:
        self.calls: dict[str, CallHandler] = {}
        self.notices: dict[str, list[NoticeHandler]] = {}
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
                    log.warning("A peer reads no replies.")
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
            # The peer has to hear of it, or its calls wait for nothing.
            with contextlib.suppress(Exception):
                await stream.cancel()
            raise
        finally:
            sender.cancel()
            with contextlib.suppress(
                asyncio.CancelledError, StreamTerminatedError, OSError
            ):
                await sender

    async def answer(
        self,
        call: peer_pb2.Call,
        outgoing: asyncio.Queue[peer_pb2.Reply],
    ) -> None:
        """Carries out one call and queues its reply."""
        kind = call.WhichOneof("body")
        handler = self.calls.get(kind or "")
        if handler is None:
            reply = failure_reply("unknown_call", f"no handler for {kind!r}")
        else:
            try:
                reply = await handler(call)
            except RattanpierError as error:
                reply = failure_reply(error.code, error.message)
        reply.id = call.id
        outgoing.put_nowait(reply)

    def handle_notice(self, notice: peer_pb2.Notice) -> None:
        """Hands a notice to its handlers."""
        kind = notice.WhichOneof("body") or ""
        for handler in self.notices.get(kind, []):
            try:
                handler(notice)
            except UnreadableError as error:
                # Notices may get lost; the stream's calls go on.
                log.warning("Notice left out.", kind=kind, error=error.message)

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listens; `port` is set to the port taken."""
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
    """Returns a reply that says what went wrong."""
    return peer_pb2.Reply(failure=peer_pb2.Failure(code=code, message=message))


def busy_reply(call: peer_pb2.Call) -> peer_pb2.Reply:
    """Returns the reply to a call that is not even tried."""
    reply = failure_reply("busy", "too many calls are under way")
    reply.id = call.id
    return reply


async def send_replies(
    stream: Stream[peer_pb2.Frame, peer_pb2.Frame],
    outgoing: asyncio.Queue[peer_pb2.Reply],
) -> None:
    """Sends replies, as many to a frame as are ready."""
    while True:
        replies = [await outgoing.get()]
        while not outgoing.empty():
            replies.append(outgoing.get_nowait())
        await stream.send_message(peer_pb2.Frame(replies=replies))
