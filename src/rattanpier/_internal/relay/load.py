"""Load of each worker as seen by this entry.

This entry's own requests count at once. For the requests of peers the worker's
load report is used; it is as old as its last answer, so that its weight decays
with age.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Sequence

import attrs
import structlog

from rattanpier._internal.models.relay_request import Prompt, PromptPart
from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import short_hash

log = structlog.get_logger(part="load")

REPORT_HALF_LIFE_S = 1.0  # About the duration of a request.
# A worker caches a part until newer ones evict it. At typical load its cache is
# filled once in about ten seconds.
PART_RETENTION_S = 15.0
MAX_PARTS_PER_WORKER = 512


@attrs.define(eq=False, repr=False)
class InFlight:
    """One request in flight at a worker.

    Attributes:
      read_s: Expected seconds in which the worker reads its prompt.
      first_event_received: Whether its first event has been received, which
        means that the prompt has been read.
      suspect: Whether a worker crashed during the same request before.
      tokens: Tokens that it occupies in the worker's key-value cache.
      cost: Cost in prompt tokens, which its workspace is charged.
      workspace: Name of its workspace, or empty.
      began_at: When it was sent, in monotonic seconds.
      answer_began_at: When the head of its answer was received, in monotonic
        seconds, or None.
      body_began_at: When the first event of its answer was received, in
        monotonic seconds, or None.
      stood: Whether the worker has gone on answering it for a while.
      not_run: Whether it is certain that the worker did not run it.
      ended: Whether it has ended.
    """

    read_s: float = 0.0
    first_event_received: bool = False
    suspect: bool = False
    tokens: int = 0
    cost: float = 0.0
    workspace: str = ""
    began_at: float = 0.0
    answer_began_at: float | None = None
    body_began_at: float | None = None
    stood: bool = False
    not_run: bool = False
    ended: bool = False

    def answering_s(self, now: float) -> float | None:
        """Returns the seconds for which the worker has sent the body.

        Args:
          now: The time, in monotonic seconds.

        Returns:
          0 if it has sent the head only, None if it has not begun.
        """
        if self.body_began_at is not None:
            return now - self.body_began_at
        return None if self.answer_began_at is None else 0.0


@attrs.define(eq=False, repr=False)
class WorkerLoad:
    """Load of one worker.

    Attributes:
      running: This entry's requests in flight there.
      tokens: Sum of their tokens.
      report: Its last load report; None before the first.
      report_at: When the report was received, in monotonic seconds.
      own_at_report: Number of this entry's requests there at that time.
      waiting: Requests of peers that waited there when last reported.
      waiting_at: When that was, in monotonic seconds.
      peer_prompts_until: Until when it reads prompts that peers published, in
        monotonic seconds.
      last_received_at: When its last byte was received, in monotonic seconds.
      unreadable_logged: Whether an unreadable report of it was logged.
      parts: When each cached part of a prompt was last used, in monotonic
        seconds, by `part_key`.
    """

    running: set[InFlight] = attrs.Factory(set)
    tokens: int = 0
    report: ReportedLoad | None = None
    report_at: float = 0.0
    own_at_report: int = 0
    waiting: float = 0.0
    waiting_at: float = float("-inf")
    peer_prompts_until: float = float("-inf")
    last_received_at: float = 0.0
    unreadable_logged: bool = False
    parts: collections.OrderedDict[int, float] = attrs.Factory(
        collections.OrderedDict
    )

    def pending_read_s(self) -> float:
        """Returns the seconds to read the unread prompts of own requests."""
        if not self.running:
            return 0.0
        return sum(
            each.read_s
            for each in self.running
            if not each.first_event_received
        )

    def count_unread(self) -> int:
        """Returns the number of own requests without a first event."""
        return sum(not each.first_event_received for each in self.running)

    def peer_requests(self, now: float) -> tuple[float, float]:
        """Returns the numbers of running and waiting requests of peers."""
        waiting = self.waiting
        if waiting:
            waiting *= report_weight(now - self.waiting_at)
        if self.report is None:
            return 0.0, waiting
        running = max(0, self.report.running - self.own_at_report)
        return running * report_weight(now - self.report_at), waiting

    def record_waiting(self, waiting: int, at: float) -> None:
        """Records how many requests wait at the worker.

        Args:
          waiting: Number of requests, including those of this entry.
          at: When they were counted, in monotonic seconds.
        """
        self.waiting = max(0.0, waiting - self.count_unread())
        self.waiting_at = at


def report_weight(age_s: float) -> float:
    """Returns the weight of a report by its age, from 0 to 1.

    >>> report_weight(0.0), report_weight(2 * REPORT_HALF_LIFE_S)
    (1.0, 0.25)
    """
    return 0.5 ** (age_s / REPORT_HALF_LIFE_S)


def part_key(model: str, part: PromptPart) -> int:
    """Returns the cache key of a part of a prompt for a model."""
    return short_hash(f"{model}/{part.id}")


def part_keys(model: str, prompt: Prompt) -> list[int]:
    """Returns the cache keys of all parts of a prompt, in order."""
    return [part_key(model, part) for part in prompt.parts]


def part_sizes(model: str, prompt: Prompt) -> list[tuple[int, int]]:
    """Returns the cache key and the tokens of each part, in order."""
    return [(part_key(model, part), part.tokens) for part in prompt.parts]


@attrs.define(eq=False, repr=False)
class Loads:
    """Loads of all workers.

    Attributes:
      clock: Source of monotonic time.
      workers: Load by id of the worker.
    """

    clock: Clock
    workers: dict[str, WorkerLoad] = attrs.Factory(
        lambda: collections.defaultdict(WorkerLoad)
    )

    def begin(
        self, id: str, read_s: float, suspect: bool = False, tokens: int = 0
    ) -> InFlight:
        """Adds a request in flight.

        Args:
          id: Of the worker.
          read_s: Expected seconds to read its prompt.
          suspect: Whether a worker crashed during the same request before.
          tokens: Tokens that it occupies in the worker's key-value cache.
        """
        flight = InFlight(read_s, suspect=suspect, tokens=tokens)
        load = self.workers[id]
        load.running.add(flight)
        load.tokens += tokens
        return flight

    def end(self, id: str, flight: InFlight) -> None:
        """Removes a request in flight."""
        load = self.workers[id]
        if flight in load.running:
            load.running.remove(flight)
            load.tokens -= flight.tokens

    def suspects(self, id: str) -> int:
        """Returns how many own requests at a worker may crash it."""
        return sum(each.suspect for each in self.workers[id].running)

    def record_received(self, id: str) -> None:
        """Records that data was received from a worker."""
        self.workers[id].last_received_at = self.clock.monotonic()

    def record_report(self, id: str, report: ReportedLoad | None) -> None:
        """Records a load report of a worker, if there is one."""
        if report is None:
            return
        load = self.workers[id]
        load.report = report
        load.report_at = self.clock.monotonic()
        load.own_at_report = len(load.running)
        load.record_waiting(report.waiting, load.report_at)

    def record_unreadable(self, id: str, text: str) -> None:
        """Records that a figure of a load report could not be used.

        Args:
          id: Of the worker; its first such report is logged.
          text: The report as received, or empty if all of it was valid.
        """
        if not text:
            return
        load = self.workers[id]
        if not load.unreadable_logged:
            load.unreadable_logged = True
            log.warning("Load report can't be read.", worker=id, text=text)

    def apply_peer_prompt(self, id: str, read_s: float) -> None:
        """Applies the update that a peer sends a prompt to a worker.

        Args:
          id: Of the worker.
          read_s: Expected seconds to read the prompt. They are added up, since
            a worker reads prompts one after another.
        """
        load = self.workers[id]
        now = self.clock.monotonic()
        load.peer_prompts_until = max(now, load.peer_prompts_until) + read_s

    def record_prompt_read(self, id: str, model: str, prompt: Prompt) -> None:
        """Records that a worker read a prompt and has cached its parts."""
        self.record_cached_parts(id, part_keys(model, prompt))

    def record_cached_parts(self, id: str, read: Iterable[int]) -> None:
        """Records parts that a worker has cached, by `part_key`."""
        parts = self.workers[id].parts
        now = self.clock.monotonic()
        for part in read:
            parts[part] = now
            parts.move_to_end(part)
        while len(parts) > MAX_PARTS_PER_WORKER:
            parts.popitem(last=False)

    def cached_tokens(
        self, id: str, parts: Sequence[tuple[int, int]], now: float
    ) -> int:
        """Returns the tokens of a prompt that a worker has cached.

        A part only counts if all parts before it are cached too.

        Args:
          id: Of the worker.
          parts: Cache key and tokens of each part, see `part_sizes`.
          now: Monotonic seconds.
        """
        load = self.workers.get(id)
        if load is None:
            return 0
        oldest = now - PART_RETENTION_S
        cached = 0
        for key, tokens in parts:
            if load.parts.get(key, -math.inf) < oldest:
                break
            cached += tokens
        return cached

    def forget(self, id: str) -> None:
        """Removes a worker that was deregistered."""
        self.workers.pop(id, None)
