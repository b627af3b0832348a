"""Passes ratings on between entries, so that each learns from all.

Notices go along a ring of the entries. They may be lost, repeated or
reordered: a repeated one teaches nothing, and a lost one costs a little
learning. Each entry decides by its own configuration what it learns from.
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

RATE_PER_S = 10.0  # Ratings taken; three times what 200 workspaces give.
BURST = 300.0
MAX_SEEN = (
    4096  # Ratings remembered as heard: minutes, where copies take seconds.
)
MAX_HOPS = 16  # The ring of 420 members is crossed in 13.

SendNotice = Callable[[peer_pb2.Notice], None]


@attrs.define
class RatingSharing:
    """Tells other entries of ratings, and learns from theirs.

    Attributes:
      origin: Name of this start of the entry; no other has it.
      learner: Learns from the ratings of others, too.
      spread: Sends a notice to a few entries; must not block.
      sequence: Number of the last rating told.
      heard: Origin and number of ratings taken, oldest first.
      tokens: Ratings that may be taken now.
      filled_at: Seconds of the clock up to which tokens were added.
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
        """Tells others of a rating that was learned from here."""
        if not self.try_acquire():
            self.metrics.count("cascade.shared.too_many")
            return
        self.sequence += 1
        notice = make_notice(self.origin, self.sequence, update)
        self.metrics.count("cascade.shared.told")
        self.send_notice(notice)

    def receive(self, notice: peer_pb2.Notice) -> None:
        """Takes in a rating of another entry."""
        outcome = self.apply(notice)
        self.metrics.count(f"cascade.shared.{outcome}")

    def apply(self, notice: peer_pb2.Notice) -> str:
        """Learns from a rating and passes it on; returns what became of it."""
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
        """Remembers a rating; forgets the oldest where there are too many."""
        self.seen[key] = None
        if len(self.seen) > MAX_SEEN:
            del self.seen[next(iter(self.seen))]

    def forward(self, notice: peer_pb2.Notice) -> None:
        """Passes a rating on, unless it went far enough."""
        if notice.rated.hops >= MAX_HOPS:
            return
        forwarded = peer_pb2.Notice()
        forwarded.CopyFrom(notice)
        forwarded.rated.hops += 1
        self.send_notice(forwarded)

    def try_acquire(self) -> bool:
        """Takes a token, if there is one: bounds work and traffic."""
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
    """Returns the notice of a rating."""
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
    """Returns what a notice teaches, with this entry's class numbers."""
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
    """Returns a bin of confidence, or None where there is none."""
    if not body.HasField(name):
        return None
    return min(f.CONFIDENCE_BINS - 1, getattr(body, name))


def neighbour_sender(
    me: str, entries: Callable[[], Iterable[Member]], links: Links
) -> SendNotice:
    """Returns what sends a notice to the neighbours among the entries.

    Control processes learn nothing; the ring leaves them out.
    """

    def send_notice(notice: peer_pb2.Notice) -> None:
        known = {member.name: member for member in entries()}
        for name in neighbours(known, me):
            links.to(known[name]).notify(notice)

    return send_notice
