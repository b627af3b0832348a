"""Answers requests that other entries forward to this one."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from contextlib import aclosing

import attrs
import structlog
from grpclib.exceptions import StreamTerminatedError

from rattanpier._internal.models.forwarded_request import ForwardedRequest
from rattanpier._internal.models.relay_answer import AnswerPart, AnswerStarted
from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import ForwardStream
from rattanpier._internal.relay.answer_messages import encode_part
from rattanpier._internal.relay.answering import answer_progress
from rattanpier._internal.relay.dispatch import Dispatcher
from rattanpier._internal.relay.drain import DrainState
from rattanpier._internal.relay.request_progress import RequestProgress
from rattanpier._internal.utils.codec import unpack

log = structlog.get_logger(part="forwarding")

MAX_RUNNING = 256  # Leaves memory and connections for this entry's own callers.


@attrs.define(eq=False, repr=False)
class ForwardedRequests:
    """Serves the calls by which peers forward requests.

    Attributes:
      dispatcher: Sends requests to workers.
      drain: State of a planned stop, which waits for these requests, too.
      ready: Returns whether this entry knows routes and workers, and knew them
        since its last long pause.
      running: Number of forwarded requests in progress.
    """

    dispatcher: Dispatcher
    drain: DrainState
    ready: Callable[[], bool]
    running: int = 0

    async def serve(self, stream: ForwardStream) -> None:
        """Answers one forwarded request.

        Raises:
          UnreadableError: The request can't be unpacked.
        """
        message = await stream.recv_message()
        if message is None:
            return
        forwarded = unpack(ForwardedRequest, message.packed)
        reason = self.rejection_reason(forwarded)
        metrics = self.dispatcher.metrics
        if reason:
            metrics.count("relay.forward_rejected")
            log_received(forwarded, f"rejected: {reason}")
            rejected = peer_pb2.ForwardRejected(reason=reason)
            await stream.send_message(peer_pb2.ForwardPart(rejected=rejected))
            return
        metrics.count("relay.received_from_peer")
        log_received(forwarded, "accepted")
        progress = make_progress(self.dispatcher, forwarded, message.body)
        # Counted before anything is sent: the process must not end meanwhile.
        self.drain.begin_request()
        self.running += 1
        try:
            accepted = peer_pb2.ForwardAccepted()
            await stream.send_message(peer_pb2.ForwardPart(accepted=accepted))
            sent, tells_attempts = forwarded.sent, message.tell_attempts
            reply = ForwardReply(stream, progress, sent, tells_attempts)
            await self.send_answer(reply)
        finally:
            self.running -= 1
            self.drain.end_request()

    def rejection_reason(self, forwarded: ForwardedRequest) -> str:
        """Returns why a request is not taken; empty if it is."""
        if not self.ready():
            return "starting or resuming"
        if not self.drain.accepts(forwarded.route.streaming):
            return "leaving"
        if not self.dispatcher.reachability.is_reachable(forwarded.service):
            return "no path to the service"
        if self.running >= MAX_RUNNING:
            return "busy"
        if self.dispatcher.brittle.lacks_room(forwarded.service):
            return "no room at brittle workers"
        return ""

    async def send_answer(self, reply: ForwardReply) -> None:
        """Sends the parts of an answer as they become available."""
        reply.progress.on_sent = reply.start_telling
        answering = answer_progress(self.dispatcher, reply.progress)
        async with aclosing(reply), aclosing(answering) as parts:
            async for part in parts:
                await reply.send_part(part)


@attrs.define(eq=False, repr=False)
class ForwardReply:
    """The messages by which one forwarded request is answered.

    The sender goes on with the request if this entry can't. Before each
    upstream request it is told how many there are, since this entry may end
    before it can say so.

    Attributes:
      stream: Stream of the call.
      progress: Progress of the request.
      told: Number of upstream requests that the sender knows of.
      tells_attempts: Whether the sender understands to be told so; older
        versions don't.
      lock: Held while a message is sent; its frames must not mix with others.
      telling: Tasks that tell the sender.
    """

    stream: ForwardStream
    progress: RequestProgress
    told: int
    tells_attempts: bool
    lock: asyncio.Lock = attrs.Factory(asyncio.Lock)
    telling: set[asyncio.Task[None]] = attrs.Factory(set)

    def start_telling(self) -> None:
        """Tells the sender of an upstream request without waiting for it."""
        task = asyncio.get_running_loop().create_task(self.tell())
        self.telling.add(task)
        task.add_done_callback(self.telling.discard)

    async def tell(self) -> None:
        """Tells the sender of upstream requests that it doesn't know of."""
        async with self.lock:
            await self.send_attempts()

    async def send_attempts(self) -> None:
        """Sends the number of upstream requests if it has changed."""
        sent = self.progress.arrived_sends()
        if sent == self.told or not self.tells_attempts:
            return
        self.told = sent
        attempts = peer_pb2.ForwardAttempts(
            sent=sent, workers=sorted(self.progress.reached_workers())
        )
        with contextlib.suppress(OSError, StreamTerminatedError):
            # Whoever sends the next part finds out that the call has ended.
            await self.stream.send_message(
                peer_pb2.ForwardPart(attempts=attempts)
            )

    async def send_part(self, part: AnswerPart) -> None:
        """Sends a part of the answer."""
        async with self.lock:
            await self.send_attempts()
            await self.stream.send_message(make_message(part, self.progress))

    async def aclose(self) -> None:
        """Cancels what has not been told."""
        for task in self.telling:
            task.cancel()


def make_message(
    part: AnswerPart, progress: RequestProgress
) -> peer_pb2.ForwardPart:
    """Returns the message for a part of a request's answer."""
    message = encode_part(part)
    if isinstance(part, AnswerStarted):
        message.started.model = progress.model
    return message


def log_received(forwarded: ForwardedRequest, outcome: str) -> None:
    """Logs the decision on a forwarded request."""
    log.info(
        "Received from a peer.",
        request=forwarded.id,
        entry=forwarded.sender,
        service=forwarded.service,
        outcome=outcome,
        sent=forwarded.sent,
        table=forwarded.table_version,
        left_s=round(forwarded.left_s, 3),
    )


def make_progress(
    dispatcher: Dispatcher, forwarded: ForwardedRequest, body: bytes
) -> RequestProgress:
    """Returns the progress of a request from where its sender left off."""
    now = dispatcher.clock.monotonic()
    request = RelayRequest(
        id=forwarded.id,
        method=forwarded.method,
        target=forwarded.target,
        headers=forwarded.headers,
        body=body,
        route=forwarded.route,
        workspace=forwarded.workspace,
        arrived=now - forwarded.waited_s,
        deadline=now + forwarded.left_s,
        session=forwarded.session,
        any_model=forwarded.any_model,
        prompt=forwarded.prompt,
        after_event=forwarded.after_event,
        table_version=forwarded.table_version,
    )
    progress = RequestProgress(
        request,
        asyncio.get_running_loop().time() + forwarded.left_s,
        forwarded.service,
        sent=forwarded.sent,
        tried=set(forwarded.tried),
        may_have_run=forwarded.may_have_run,
        model=forwarded.model,
        first_model=forwarded.first_model,
        head_delivered=forwarded.head_delivered,
        received_from_peer=True,
        counted=forwarded.counted,
    )
    progress.order.last_number = forwarded.after_event
    return progress
