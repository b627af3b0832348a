"""Sends sampled answers to be rated, and learns from what comes back.

Nothing here is waited for by a request: a sample goes into a bounded queue,
and what doesn't fit is dropped and counted.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs
import structlog
from reactivex.subject import Subject

from rattanpier._internal.cascade.features import AnswerFacts
from rattanpier._internal.cascade.learned_policy import Sample
from rattanpier._internal.cascade.learner import Learner, RatedAnswer
from rattanpier._internal.exceptions import PlatformUnavailableError
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.configuration import Version, VersionState
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.store.ratings import (
    RatingItem,
    RatingResult,
    Ratings,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="ratings")

STEP_INTERVAL_S = 1.0
MAX_QUEUED = 256  # Samples not handed in yet.
MAX_PENDING = 4096  # Ratings under way.
MAX_AGE_S = 3 * 3600.0  # A later rating tells nothing of today.


@attrs.frozen
class RatingUpdate:
    """A rating of this entry that was learned from, for who follows it.

    Attributes:
      facts: What is known of the answer.
    """

    workspace: str
    version: str
    good: bool
    facts: AnswerFacts


@attrs.frozen
class PendingRating:
    """A rating under way."""

    rated: RatedAnswer
    since: float


@attrs.define
class RatingLoop:
    """Hands in samples and takes ratings.

    Attributes:
      ratings: The rating service.
      client: Name of this process at the service; new with each start.
      versions: Returns a version as configured, or None if it is gone.
      waiting: Samples to be handed in.
      pending: Ratings under way, oldest first, by id.
      available: False from a call that failed to the next that doesn't.
      news: Emits each rating that was learned from.
      taken: Number of the last result taken.
      last_rating_at: Seconds of the clock of the last rating learned from.
    """

    ratings: Ratings
    learner: Learner
    clock: Clock
    metrics: Metrics
    client: str
    versions: Callable[[str], Version | None]
    queue: collections.deque[Sample] = attrs.Factory(collections.deque)
    pending: dict[str, PendingRating] = attrs.Factory(dict)
    updates: Subject[RatingUpdate] = attrs.Factory(Subject)
    available: bool = True
    last_result: int = 0
    last_rating_at: float = float("-inf")

    def enqueue(self, sample: Sample) -> None:
        """Queues a sample; drops it if the queue is full."""
        if len(self.queue) >= MAX_QUEUED:
            self.metrics.count("cascade.sample.dropped")
            return
        self.queue.append(sample)

    async def run(self, kernel: Kernel) -> None:
        """Steps until the kernel stops."""
        while not kernel.stopping.is_set():
            await self.step()
            await self.clock.sleep(STEP_INTERVAL_S)

    async def step(self) -> None:
        """Hands in what waits and takes what is ready."""
        try:
            if self.pending or not self.available:
                await self.fetch_results()
            await self.submit()
        except PlatformUnavailableError as error:
            self.metrics.count("cascade.ratings.unavailable")
            if self.available:
                log.warning("The service stopped answering.", why=str(error))
            self.available = False
        else:
            self.available = True
        self.expire_pending()
        self.report_metrics()

    async def submit(self) -> None:
        """Hands in what waits, once: a lost answer may have cost money."""
        items = []
        while self.queue:
            sample = self.queue.popleft()
            item = make_item(self.client, sample)
            self.pending[item.id] = PendingRating(
                sample.rated, self.clock.monotonic()
            )
            items.append(item)
        if items:
            self.metrics.count("cascade.sample.handed_in", len(items))
            await self.ratings.hand_in(items)

    async def fetch_results(self) -> None:
        """Takes what is ready."""
        for result in await self.ratings.results(self.client, self.last_result):
            self.last_result = max(self.last_result, result.number)
            reason = self.apply_result(result)
            self.metrics.count(f"cascade.rating.{reason}")

    def apply_result(self, result: RatingResult) -> str:
        """Learns from a rating; returns what became of it."""
        pending = self.pending.pop(result.id, None)
        if pending is None:
            return "unknown"
        if not accepts_ratings(self.versions(pending.rated.version)):
            self.learner.quality_model.drop(pending.rated.version)
            return "withdrawn"
        if self.clock.monotonic() - pending.since > MAX_AGE_S:
            return "late"
        self.last_rating_at = self.clock.monotonic()
        rated = pending.rated
        self.learner.learn(rated, result.good)
        self.updates.on_next(
            RatingUpdate(
                rated.workspace, rated.version, result.good, rated.facts
            )
        )
        return "good" if result.good else "poor"

    def expire_pending(self) -> None:
        """Gives up ratings that are too old or too many."""
        oldest_allowed = self.clock.monotonic() - MAX_AGE_S
        for name in list(self.pending):
            fits = len(self.pending) <= MAX_PENDING
            if fits and self.pending[name].since >= oldest_allowed:
                return
            del self.pending[name]
            self.metrics.count("cascade.rating.given_up")

    def report_metrics(self) -> None:
        """Reports how each workspace stands."""
        for name, state in self.learner.states.items():
            self.metrics.gauge(f"cascade.quality.{name}", state.quality)
            self.metrics.gauge(f"cascade.doubt.{name}", state.quality_deviation)
        self.metrics.gauge("cascade.ratings.pending", len(self.pending))


def accepts_ratings(version: Version | None) -> bool:
    """Says whether ratings of a version are of use."""
    return version is not None and version.state is not VersionState.WITHDRAWN


def make_item(client: str, sample: Sample) -> RatingItem:
    """Returns the item for a sample."""
    rated = sample.rated
    return RatingItem(
        client,
        f"{sample.request_id}/{rated.version}",
        rated.workspace,
        rated.version,
        prompt_text(sample.request),
        sample.text,
    )


def prompt_text(request: RouteRequest) -> str:
    """Returns the text of a request's messages."""
    return "\n".join(
        str(message.get("content", ""))
        for message in request.body.get("messages", [])
    )
