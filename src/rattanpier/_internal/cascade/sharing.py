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
KEPT = 4096  # Ratings remembered as heard: minutes, where copies take seconds.
MAX_HOPS = 16  # The ring of 420 members is crossed in 13.

Spread = Callable[[peer_pb2.Notice], None]


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
    spread: Spread
    clock: Clock
    metrics: Metrics
    sequence: int = 0
    heard: dict[tuple[str, int], None] = attrs.Factory(dict)
    tokens: float = BURST
    filled_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.clock.monotonic(), takes_self=True
        )
    )

    def tell(self, news: RatingUpdate) -> None:
        """Tells others of a rating that was learned from here."""
        if not self.may_take():
            self.metrics.count("cascade.shared.too_many")
            return
        self.sequence += 1
        notice = make_notice(self.origin, self.sequence, news)
        self.metrics.count("cascade.shared.told")
        self.spread(notice)

    def receive(self, notice: peer_pb2.Notice) -> None:
        """Takes in a rating of another entry."""
        outcome = self.take(notice)
        self.metrics.count(f"cascade.shared.{outcome}")

    def take(self, notice: peer_pb2.Notice) -> str:
        """Learns from a rating and passes it on; returns what became of it."""
        body = notice.rated
        key = (body.origin, body.sequence)
        if body.origin == self.origin or key in self.heard:
            return "repeated"
        if self.learner.workspace(body.workspace) is None:
            return "unknown"
        if not accepts_ratings(self.learner.versions(body.version)):
            self.learner.quality_model.drop(body.version)
            return "withdrawn"
        if not self.may_take():
            return "too_many"
        self.note_heard(key)
        self.pass_on(notice)
        self.learner.learn(rated_of(self.learner, body), body.good)
        return "good" if body.good else "poor"

    def note_heard(self, key: tuple[str, int]) -> None:
        """Remembers a rating; forgets the oldest where there are too many."""
        self.heard[key] = None
        if len(self.heard) > KEPT:
            del self.heard[next(iter(self.heard))]

    def pass_on(self, notice: peer_pb2.Notice) -> None:
        """Passes a rating on, unless it went far enough."""
        if notice.rated.hops >= MAX_HOPS:
            return
        forwarded = peer_pb2.Notice()
        forwarded.CopyFrom(notice)
        forwarded.rated.hops += 1
        self.spread(forwarded)

    def may_take(self) -> bool:
        """Takes a token, if there is one: bounds work and traffic."""
        now = self.clock.monotonic()
        gained = (now - self.filled_at) * RATE_PER_S
        self.tokens = min(BURST, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def make_notice(
    origin: str, sequence: int, news: RatingUpdate
) -> peer_pb2.Notice:
    """Returns the notice of a rating."""
    return peer_pb2.Notice(
        rated=peer_pb2.Rated(
            origin=origin,
            sequence=sequence,
            workspace=news.workspace,
            version=news.version,
            good=news.good,
            **attrs.asdict(news.facts),
        )
    )


def rated_of(learner: Learner, body: peer_pb2.Rated) -> RatedAnswer:
    """Returns what a notice teaches, with this entry's class numbers."""
    facts = f.AnswerFacts(
        body.class_name,
        body.length,
        body.stream,
        bin_in(body, "confidence"),
        bin_in(body, "earlier"),
        body.escalated,
    )
    return learner.rated_answer(body.workspace, body.version, facts)


def bin_in(body: peer_pb2.Rated, name: str) -> int | None:
    """Returns a bin of confidence, or None where there is none."""
    if not body.HasField(name):
        return None
    return min(f.CONFIDENCE_BINS - 1, getattr(body, name))


def ring_spread(
    me: str, entries: Callable[[], Iterable[Member]], links: Links
) -> Spread:
    """Returns what sends a notice to the neighbours among the entries.

    Control processes learn nothing; the ring leaves them out.
    """

    def spread(notice: peer_pb2.Notice) -> None:
        known = {member.name: member for member in entries()}
        for name in neighbours(known, me):
            links.to(known[name]).notify(notice)

    return spread
