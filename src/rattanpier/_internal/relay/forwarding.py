"""Forwards requests to peers while this entry can't send them to workers.

Either it reaches no worker of the service, or the workers are brittle and this
entry's part of their slots is in use.

Callers keep an address for a while after the list of entries changed, and some
know no other one. The nearest peers that reach the service answer instead. A
request is forwarded once: a peer that can't answer it rejects it at once, and
the next peer is asked.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Collection

import attrs
import structlog

from rattanpier._internal.exceptions import (
    PeerRefusedError,
    PeerUnavailableError,
    UnreadableError,
)
from rattanpier._internal.models.forwarded_request import ForwardedRequest
from rattanpier._internal.models.member import Member
from rattanpier._internal.models.refusal import RefusalCode
from rattanpier._internal.models.relay_answer import (
    AnswerChunk,
    AnswerPart,
    AnswerRefused,
    AnswerStarted,
    AnswerTruncated,
    CompleteAnswer,
)
from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.peers.forward_channels import (
    MAX_CALLS,
    ForwardChannels,
)
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.relay.answer_messages import decode_part
from rattanpier._internal.relay.events import EventError, EventSplitter
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.reachability import Reachability
from rattanpier._internal.relay.request_progress import (
    MIN_TIME_LEFT_S,
    RequestProgress,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import pack
from rattanpier._internal.utils.hashing import weight_for
from rattanpier._internal.utils.metrics import Metrics
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="forwarding")

MAX_PEERS_PER_REQUEST = 3
# Peers that an entry uses in its own domain, and in the others. A few, so that
# a large fleet does not open connections from each entry to each other.
PEERS_PER_GROUP = 4
# A peer in another domain is used once a near one has this many more calls.
FAR_CALLS = 8
# A peer that just failed is used once all others have this many more calls.
FAILED_CALLS = 100
FAILED_PAUSE_S = 1.0  # About the time until a dead peer is known to be down.
# A peer that rejected a request is not asked for that service meanwhile. It
# tells everyone within a fraction of this if it lost the service, too.
REJECTED_PAUSE_S = 0.5
NO_PATH_RETRY_AFTER_S = 0.5  # Services are probed more often than this.


@attrs.frozen(eq=False, repr=False)
class PeersWithPath(Record):
    """Peers that reach a service, in the order in which they are preferred.

    Attributes:
      near: Those in this entry's domain.
      far: Those in other domains.
      leaving: Those that start or stop, which may reject a request.
    """

    near: list[Member]
    far: list[Member]
    leaving: list[Member]


@attrs.define(eq=False, repr=False)
class Forwarder:
    """Selects the peers that answer requests for this entry.

    Attributes:
      fleet: Known states of all entries.
      reachability: Which services this entry can connect to.
      channels: Connections to the peers.
      clock: Source of monotonic time.
      metrics: Counters and timings.
      rng: Random source that breaks ties.
      failed_until: Until when a peer that failed is avoided, in monotonic
        seconds, by its name.
      rejected_until: When a peer may be asked for a service again, in
        monotonic seconds, by name of the peer and service.
    """

    fleet: Fleet
    reachability: Reachability
    channels: ForwardChannels
    clock: Clock
    metrics: Metrics
    rng: random.Random
    failed_until: dict[str, float] = attrs.Factory(dict)
    rejected_until: dict[tuple[str, str], float] = attrs.Factory(dict)

    def choose(
        self, progress: RequestProgress, among: Collection[str] | None = None
    ) -> Member | None:
        """Returns the peer to forward a request to, or None.

        The nearest peers with a path are preferred, up to a number of calls.

        Args:
          progress: Progress of the request.
          among: Names of the peers to choose from; None for all.
        """
        accepts = self.accepts(progress, among)
        peers = self.peers_with_path(progress.service)
        candidates = [
            (self.cost_of(member) + extra, self.rng.random(), member)
            for group, extra in ((peers.near, 0), (peers.far, FAR_CALLS))
            for member in itertools.islice(
                filter(accepts, group), PEERS_PER_GROUP
            )
        ]
        if candidates:
            return min(candidates, key=lambda each: each[:2])[2]
        return next(filter(accepts, peers.leaving), None)

    def cost_of(self, member: Member) -> int:
        """Returns the calls in progress to a peer, more if it just failed."""
        calls = self.channels.calls_to(member)
        until = self.failed_until.get(member.name, -math.inf)
        if until > self.clock.monotonic():
            return calls + FAILED_CALLS
        return calls

    def record_failed(self, peer: str) -> None:
        """Avoids a peer for a moment that did not answer a request."""
        self.failed_until[peer] = self.clock.monotonic() + FAILED_PAUSE_S

    def peers_with_path(self, service: str) -> PeersWithPath:
        """Returns the peers that reach a service."""
        return self.fleet.cached(
            f"peers with a path to {service}",
            lambda: self.rank_peers(service),
        )

    def rank_peers(self, service: str) -> PeersWithPath:
        """Computes `peers_with_path`."""
        me = self.fleet.me.member
        weight = weight_for(me.name)
        members = sorted(
            (
                state.member
                for state in self.fleet.peers.values()
                if not state.down and service not in state.unreachable
            ),
            key=lambda member: weight(member.name),
            reverse=True,
        )
        found = PeersWithPath([], [], [])
        for member in members:
            if not self.fleet.peers[member.name].listed:
                found.leaving.append(member)
            elif member.domain == me.domain:
                found.near.append(member)
            else:
                found.far.append(member)
        return found

    def accepts(
        self, progress: RequestProgress, among: Collection[str] | None
    ) -> Callable[[Member], bool]:
        """Returns the test whether a peer may be asked for a request now."""
        now = self.clock.monotonic()
        regions = allowed_regions(progress.request)

        def accepts(member: Member) -> bool:
            if member.name in progress.peers_tried:
                return False
            if among is not None and member.name not in among:
                return False
            if regions and member.region not in regions:
                return False
            until = self.rejected_until.get((member.name, progress.service))
            if until is not None and until > now:
                return False
            return self.channels.calls_to(member) < MAX_CALLS

        return accepts

    def record_rejection(self, peer: str, service: str) -> None:
        """Records that a peer rejected a request for a service."""
        now = self.clock.monotonic()
        self.rejected_until = {
            key: until
            for key, until in self.rejected_until.items()
            if until > now
        }
        self.rejected_until[peer, service] = now + REJECTED_PAUSE_S

    def retry_after_s(self) -> float:
        """Returns when to retry a request that no entry can serve now."""
        return NO_PATH_RETRY_AFTER_S * (1.0 + self.rng.random())


def allowed_regions(request: RelayRequest) -> frozenset[str]:
    """Returns the regions that may handle a request; empty for all."""
    regions = request.route.regions
    if request.workspace is not None and request.workspace.regions:
        own = request.workspace.regions
        return regions & own if regions else own
    return regions


def may_forward(
    progress: RequestProgress, left_s: float, quarantined_s: float
) -> bool:
    """Returns whether a request may be forwarded to one more peer.

    Args:
      progress: Progress of the request.
      left_s: Seconds until the deadline of the caller or the route.
      quarantined_s: Seconds for which the request is still quarantined.
    """
    route = progress.request.route
    if quarantined_s or left_s <= MIN_TIME_LEFT_S:
        return False
    if progress.may_have_run and not route.repeatable:
        return False
    if progress.arrived_sends() >= route.max_workers:
        return False
    return len(progress.peers_tried) < MAX_PEERS_PER_REQUEST


def make_forwarded(
    progress: RequestProgress, sender: str, now: float, left_s: float
) -> ForwardedRequest:
    """Returns what a peer needs to answer a request."""
    request = progress.request
    return ForwardedRequest(
        sender=sender,
        id=request.id,
        method=request.method,
        target=request.target,
        headers=request.headers,
        route=request.route,
        workspace=request.workspace,
        table_version=request.table_version,
        session=request.session,
        any_model=request.any_model,
        prompt=request.prompt,
        service=progress.service,
        waited_s=now - request.arrived,
        left_s=left_s,
        model=progress.model,
        first_model=progress.first_model,
        after_event=progress.order.last_number,
        head_delivered=progress.head_delivered,
        sent=progress.arrived_sends(),
        tried=tuple(sorted(progress.reached_workers())),
        may_have_run=progress.may_have_run,
        counted=progress.counted,
    )


async def forward(
    forwarder: Forwarder,
    progress: RequestProgress,
    peer: Member,
    left_s: Callable[[], float],
) -> AsyncGenerator[AnswerPart, None]:
    """Yields the parts of an answer that a peer gives.

    Yields no final part if the peer fails before the answer is complete.

    Args:
      forwarder: Provides the connections to peers.
      progress: Progress of the request.
      peer: The peer to ask.
      left_s: Returns the seconds until the deadline.
    """
    request = progress.request
    progress.peers_tried.add(peer.name)
    sent_before = progress.arrived_sends()
    forwarded = make_forwarded(
        progress,
        forwarder.fleet.me.member.name,
        forwarder.clock.monotonic(),
        left_s(),
    )
    message = peer_pb2.ForwardRequest(
        packed=pack(forwarded), body=request.body, tell_attempts=True
    )
    log.info(
        "Forwarded.",
        request=request.id,
        content=request.content,
        service=progress.service,
        entry=peer.name,
        sent=forwarded.sent,
        unreachable=not forwarder.reachability.is_reachable(progress.service),
        left_s=round(forwarded.left_s, 3),
    )
    forwarder.metrics.count("relay.forwarded")
    try:
        async with forwarder.channels.forward(peer, message) as parts:
            async for part in read_parts(forwarder, progress, peer, parts):
                yield part
    except PeerRefusedError as error:
        forwarder.record_failed(peer.name)
        record_failure(forwarder, progress, peer, str(error), not_run=True)
    except (PeerUnavailableError, UnreadableError, EventError) as error:
        forwarder.record_failed(peer.name)
        # It may have counted the request, and sent it, without telling so.
        progress.counted = True
        if progress.arrived_sends() == sent_before:
            progress.sent += 1
        record_failure(forwarder, progress, peer, str(error), not_run=False)


async def read_parts(
    forwarder: Forwarder,
    progress: RequestProgress,
    peer: Member,
    messages: AsyncIterator[peer_pb2.ForwardPart],
) -> AsyncIterator[AnswerPart]:
    """Yields the parts of an answer that the caller has not received yet.

    Raises:
      PeerUnavailableError: The call broke.
      UnreadableError: A message can't be decoded.
      EventError: Events are missing or incomplete.
    """
    ended = False
    async for message in messages:
        kind = message.WhichOneof("part")
        if kind == "accepted":
            progress.counted = True
            continue
        if kind == "attempts":
            attempts = message.attempts
            progress.record_sent_by_peer(attempts.sent, attempts.workers)
            continue
        if kind == "rejected":
            ended = True
            forwarder.record_rejection(peer.name, progress.service)
            reason = message.rejected.reason
            record_failure(forwarder, progress, peer, reason, not_run=True)
            continue
        part = decode_part(message)
        match part:
            case AnswerStarted():
                progress.head_delivered = True
                progress.model = message.started.model
            case AnswerTruncated(reason):
                ended = True
                record_failure(forwarder, progress, peer, reason, not_run=False)
                continue
            case AnswerChunk(data):
                if not is_new_event(progress, data):
                    continue
            case AnswerRefused(refusal) if refusal.code is RefusalCode.NO_PATH:
                ended = True
                forwarder.record_rejection(peer.name, progress.service)
                record_failure(
                    forwarder,
                    progress,
                    peer,
                    refusal.message,
                    not_run=refusal.not_run,
                )
                continue
            case CompleteAnswer(status) | AnswerRefused(_, status) if (
                progress.head_delivered
            ):
                ended = True
                reason = f"peer answered {status} to a resumed stream"
                record_failure(forwarder, progress, peer, reason, not_run=False)
                continue
            case _:
                ended = True
        yield part
    if not ended:
        raise PeerUnavailableError(f"{peer.name} ended its answer early")


def is_new_event(progress: RequestProgress, data: bytes) -> bool:
    """Returns whether a chunk is an event that the caller has not received.

    Raises:
      EventError: Events are missing, or the chunk is no complete event.
    """
    splitter = EventSplitter()
    events = list(splitter.feed(data))
    if len(events) != 1 or splitter.incomplete_event:
        raise EventError("a chunk is no complete event")
    return progress.order.accept(events[0])


def record_failure(
    forwarder: Forwarder,
    progress: RequestProgress,
    peer: Member,
    reason: str,
    not_run: bool,
) -> None:
    """Records that a peer did not answer a request to its end."""
    progress.reason = reason
    if not not_run:
        progress.may_have_run = True
    kind = "not_run" if not_run else "may_have_run"
    forwarder.metrics.count(f"relay.forward_failed.{kind}")
    log.info(
        "Forwarding failed.",
        request=progress.request.id,
        entry=peer.name,
        reason=reason,
        not_run=not_run,
    )
