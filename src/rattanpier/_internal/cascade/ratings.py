"""Submits sampled answers to the rating service and applies the ratings.

No request waits for this: samples go into a bounded queue, and those that
don't fit are dropped and counted.
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
MAX_QUEUED = 256  # Samples not submitted yet.
MAX_PENDING = 4096  # Submitted samples without a rating.
MAX_AGE_S = 3 * 3600.0  # Later ratings say little about current quality.


@attrs.frozen
class RatingUpdate:
    """A rating that this entry obtained and learned from, for subscribers.

    Attributes:
      workspace: Workspace of the request.
      version: Version that answered.
      good: Whether the answer was rated good.
      facts: Properties of the answer.
    """

    workspace: str
    version: str
    good: bool
    facts: AnswerFacts


@attrs.frozen
class PendingRating:
    """A submitted sample that has no rating yet.

    Attributes:
      rated: The answer.
      since: Clock time in seconds of the submission.
    """

    rated: RatedAnswer
    since: float


@attrs.define
class RatingLoop:
    """Submits samples and fetches their ratings periodically.

    Attributes:
      ratings: The rating service.
      learner: Learns from the ratings.
      clock: Clock.
      metrics: Receives counts and gauges.
      client: Name of this process at the service; differs for each
        incarnation.
      versions: Returns a configured version, or None if there is none.
      queue: Samples to be submitted.
      pending: Samples without a rating, oldest first, by id.
      available: Whether the last call of the service succeeded.
      updates: Emits each rating that was learned from.
      last_result: Highest number of a processed result.
      last_rating_at: Clock time in seconds of the last rating learned from.
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
        """Queues a sample, or drops and counts it if the queue is full."""
        if len(self.queue) >= MAX_QUEUED:
            self.metrics.count("cascade.sample.dropped")
            return
        self.queue.append(sample)

    async def run(self, kernel: Kernel) -> None:
        """Runs a step every STEP_INTERVAL_S seconds until the kernel stops."""
        while not kernel.stopping.is_set():
            await self.step()
            await self.clock.sleep(STEP_INTERVAL_S)

    async def step(self) -> None:
        """Submits queued samples, applies results and updates the metrics.

        A failing service is logged once, until a call succeeds again.
        """
        try:
            if self.pending or not self.available:
                await self.fetch_results()
            await self.submit()
        except PlatformUnavailableError as error:
            self.metrics.count("cascade.ratings.unavailable")
            if self.available:
                log.warning("Rating service unavailable.", why=str(error))
            self.available = False
        else:
            self.available = True
        self.expire_pending()
        self.report_metrics()

    async def submit(self) -> None:
        """Submits all queued samples, each only once.

        A submission may be charged even if its response is lost, so it is
        not repeated.
        """
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
            await self.ratings.submit(items)

    async def fetch_results(self) -> None:
        """Fetches and applies new results."""
        for result in await self.ratings.results(self.client, self.last_result):
            self.last_result = max(self.last_result, result.number)
            reason = self.apply_result(result)
            self.metrics.count(f"cascade.rating.{reason}")

    def apply_result(self, result: RatingResult) -> str:
        """Learns from a rating; returns the outcome for the metrics."""
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
        """Drops pending samples that are too old or exceed MAX_PENDING."""
        oldest_allowed = self.clock.monotonic() - MAX_AGE_S
        for name in list(self.pending):
            fits = len(self.pending) <= MAX_PENDING
            if fits and self.pending[name].since >= oldest_allowed:
                return
            del self.pending[name]
            self.metrics.count("cascade.rating.given_up")

    def report_metrics(self) -> None:
        """Updates the gauges of quality, uncertainty and pending samples."""
        for name, state in self.learner.states.items():
            self.metrics.gauge(f"cascade.quality.{name}", state.quality)
            self.metrics.gauge(f"cascade.doubt.{name}", state.quality_deviation)
        self.metrics.gauge("cascade.ratings.pending", len(self.pending))


def accepts_ratings(version: Version | None) -> bool:
    """Returns whether ratings of a version are used.

    Those of unknown and of withdrawn versions are not.
    """
    return version is not None and version.state is not VersionState.WITHDRAWN


def make_item(client: str, sample: Sample) -> RatingItem:
    """Returns the item to submit for a sample."""
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
    """Returns the contents of a request's messages, one per line."""
    return "\n".join(
        str(message.get("content", ""))
        for message in request.body.get("messages", [])
    )
