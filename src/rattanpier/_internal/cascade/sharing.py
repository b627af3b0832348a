"""Exchanges ratings between entries, so that each learns from all.

Notices are forwarded along the ring of entries. They may be lost, duplicated
or reordered: duplicates are ignored, and a lost notice only slows learning.
Each entry decides by its own configuration which ratings it uses.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from rattanpier._internal.cascade import features as f
from rattanpier._internal.cascade.learner import Learner, RatedAnswer
from rattanpier._internal.cascade.ratings import RatingUpdate, accepts_ratings
from rattanpier._internal.membership.ring import neighbours
from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

RATE_PER_S = 10.0  # Ratings; three times the rate of 200 workspaces.
BURST = 300.0
# Ratings remembered to detect duplicates: they cover minutes, while duplicates
# arrive within seconds.
MAX_SEEN = 4096
MAX_HOPS = 16  # A ring of 420 members needs 13.

SendNotice = Callable[[peer_pb2.Notice], None]


@attrs.define
class RatingSharing:
    """Publishes ratings to the other entries and learns from theirs.

    Attributes:
      origin: Incarnation of this entry; unique among all entries.
      learner: Learns from the ratings of the other entries.
      send_notice: Sends a notice to the neighbours; must not block.
      clock: Clock.
      metrics: Receives counts.
      sequence: Number of the last published rating.
      seen: Origins and numbers of received ratings, oldest first.
      tokens: Ratings that the rate limit allows now.
      refilled_at: Clock time in seconds of the last refill of the tokens.
    """

    origin: str
    learner: Learner
    send_notice: SendNotice
    clock: Clock
    metrics: Metrics
    sequence: int = 0
    seen: dict[tuple[str, int], None] = attrs.Factory(dict)
    tokens: float = BURST
    refilled_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.clock.monotonic(), takes_self=True
        )
    )

    def publish(self, update: RatingUpdate) -> None:
        """Publishes a rating that this entry learned from."""
        if not self.try_acquire():
            self.metrics.count("cascade.shared.too_many")
            return
        self.sequence += 1
        notice = make_notice(self.origin, self.sequence, update)
        self.metrics.count("cascade.shared.told")
        self.send_notice(notice)

    def receive(self, notice: peer_pb2.Notice) -> None:
        """Applies a rating of another entry and counts the outcome."""
        outcome = self.apply(notice)
        self.metrics.count(f"cascade.shared.{outcome}")

    def apply(self, notice: peer_pb2.Notice) -> str:
        """Learns from a rating and forwards it; returns the outcome."""
        body = notice.rated
        key = (body.origin, body.sequence)
        if body.origin == self.origin or key in self.seen:
            return "repeated"
        if self.learner.workspace(body.workspace) is None:
            return "unknown"
        if not accepts_ratings(self.learner.versions(body.version)):
            self.learner.quality_model.drop(body.version)
            return "withdrawn"
        if not self.try_acquire():
            return "too_many"
        self.record_seen(key)
        self.forward(notice)
        self.learner.learn(read_rated_answer(self.learner, body), body.good)
        return "good" if body.good else "poor"

    def record_seen(self, key: tuple[str, int]) -> None:
        """Records a received rating; forgets the oldest beyond MAX_SEEN."""
        self.seen[key] = None
        if len(self.seen) > MAX_SEEN:
            del self.seen[next(iter(self.seen))]

    def forward(self, notice: peer_pb2.Notice) -> None:
        """Forwards a rating unless it has reached MAX_HOPS."""
        if notice.rated.hops >= MAX_HOPS:
            return
        forwarded = peer_pb2.Notice()
        forwarded.CopyFrom(notice)
        forwarded.rated.hops += 1
        self.send_notice(forwarded)

    def try_acquire(self) -> bool:
        """Takes a token; returns whether one was available.

        The limit bounds the work and the traffic that ratings cause.
        """
        now = self.clock.monotonic()
        refilled = (now - self.refilled_at) * RATE_PER_S
        self.tokens = min(BURST, self.tokens + refilled)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def make_notice(
    origin: str, sequence: int, update: RatingUpdate
) -> peer_pb2.Notice:
    """Returns the notice to send for a rating."""
    return peer_pb2.Notice(
        rated=peer_pb2.Rated(
            origin=origin,
            sequence=sequence,
            workspace=update.workspace,
            version=update.version,
            good=update.good,
            **attrs.asdict(update.facts),
        )
    )


def read_rated_answer(learner: Learner, body: peer_pb2.Rated) -> RatedAnswer:
    """Returns the answer of a notice, with the class numbers of this entry."""
    facts = f.AnswerFacts(
        body.class_name,
        body.length,
        body.stream,
        read_bin(body, "confidence"),
        read_bin(body, "earlier"),
        body.escalated,
    )
    return learner.rated_answer(body.workspace, body.version, facts)


def read_bin(body: peer_pb2.Rated, name: str) -> int | None:
    """Returns a confidence bin, or None if the field is not set.

    Args:
      body: The rating.
      name: Name of the field.
    """
    if not body.HasField(name):
        return None
    return min(f.CONFIDENCE_BINS - 1, getattr(body, name))


def neighbour_sender(
    me: str, entries: Callable[[], Iterable[Member]], links: Links
) -> SendNotice:
    """Returns a function that sends a notice to the neighbours on the ring.

    The ring consists of entries only, as control processes don't learn.
    """

    def send_notice(notice: peer_pb2.Notice) -> None:
        known = {member.name: member for member in entries()}
        for name in neighbours(known, me):
            links.to(known[name]).notify(notice)

    return send_notice
