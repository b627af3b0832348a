"""What each worker has to do, as far as this entry can tell.

Own sends count at once. A worker's own report counts for what other entries
sent there; it is as old as the last answer, and is trusted less with age.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Sequence

import attrs

from rattanpier._internal.models.relay_request import Prompt, PromptPart
from rattanpier._internal.models.sending import ReportedLoad
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import short_hash

REPORT_HALF_LIFE_S = 1.0  # A request lasts about that long.
# A part that was read is kept until newer ones displace it. Workers read
# their memory full in some ten seconds at the usual load.
PART_RETENTION_S = 15.0
MAX_PARTS_PER_WORKER = 512  # Remembered parts a worker.


@attrs.define(eq=False, repr=False)
class InFlight:
    """One request at a worker.

    Attributes:
      read_s: Seconds in which the worker reads its prompt.
      first_event_received: Its first event came: the prompt is read.
      suspect: A worker ended under the same request before.
    """

    read_s: float = 0.0
    first_event_received: bool = False
    suspect: bool = False


@attrs.define(eq=False, repr=False)
class WorkerLoad:
    """One worker.

    Attributes:
      running: Own requests there.
      report: Its last report, None before the first.
      report_at: Monotonic seconds.
      own_at_report: Own requests there when the report came.
      waiting: Requests of others that waited when it was last told.
      waiting_at: When that was, in monotonic seconds.
      peer_prompts_until: Until when it is busy with prompts that other entries
        told of, in monotonic seconds.
      last_received_at: When its last byte came, in monotonic seconds.
      parts: When each part of a prompt was last used, by `part_key`.
    """

    running: set[InFlight] = attrs.Factory(set)
    report: ReportedLoad | None = None
    report_at: float = 0.0
    own_at_report: int = 0
    waiting: float = 0.0
    waiting_at: float = float("-inf")
    peer_prompts_until: float = float("-inf")
    last_received_at: float = 0.0
    parts: collections.OrderedDict[int, float] = attrs.Factory(
        collections.OrderedDict
    )

    def pending_read_s(self) -> float:
        """Returns the seconds of reading that own requests wait for."""
        return sum(
            each.read_s
            for each in self.running
            if not each.first_event_received
        )

    def peer_requests(self, now: float) -> tuple[float, float]:
        """Returns the running and waiting requests of other entries."""
        waiting = self.waiting * report_weight(now - self.waiting_at)
        if self.report is None:
            return 0.0, waiting
        running = max(0, self.report.running - self.own_at_report)
        return running * report_weight(now - self.report_at), waiting

    def record_waiting(self, waiting: int, at: float) -> None:
        """Takes in how many requests wait, own ones among them.

        Args:
          waiting: Requests.
          at: When that was, in monotonic seconds.
        """
        own = sum(not each.first_event_received for each in self.running)
        self.waiting = max(0.0, waiting - own)
        self.waiting_at = at


def report_weight(age_s: float) -> float:
    """Returns what a report of some age counts for, 0 to 1.

    >>> report_weight(0.0), report_weight(2 * REPORT_HALF_LIFE_S)
    (1.0, 0.25)
    """
    return 0.5 ** (age_s / REPORT_HALF_LIFE_S)


def part_key(model: str, part: PromptPart) -> int:
    """Returns what a part of a prompt is known by once a model has read it."""
    return short_hash(f"{model}/{part.id}")


def part_keys(model: str, prompt: Prompt) -> list[int]:
    """Returns the keys of all parts of a prompt, in order."""
    return [part_key(model, part) for part in prompt.parts]


def part_sizes(model: str, prompt: Prompt) -> list[tuple[int, int]]:
    """Returns the key and the tokens of each part of a prompt, in order."""
    return [(part_key(model, part), part.tokens) for part in prompt.parts]


@attrs.define(eq=False, repr=False)
class Loads:
    """The load of each worker by id."""

    clock: Clock
    workers: dict[str, WorkerLoad] = attrs.Factory(
        lambda: collections.defaultdict(WorkerLoad)
    )

    def begin(self, id: str, read_s: float, suspect: bool = False) -> InFlight:
        """Counts a request in."""
        flight = InFlight(read_s, suspect=suspect)
        self.workers[id].running.add(flight)
        return flight

    def end(self, id: str, flight: InFlight) -> None:
        """Counts a request out."""
        self.workers[id].running.discard(flight)

    def suspects(self, id: str) -> int:
        """Returns the own requests at a worker that may end it."""
        return sum(each.suspect for each in self.workers[id].running)

    def record_received(self, id: str) -> None:
        """Notes that a worker sent something."""
        self.workers[id].last_received_at = self.clock.monotonic()

    def record_report(self, id: str, report: ReportedLoad | None) -> None:
        """Takes a worker's report in."""
        if report is None:
            return
        load = self.workers[id]
        load.report = report
        load.report_at = self.clock.monotonic()
        load.own_at_report = len(load.running)
        load.record_waiting(report.waiting, load.report_at)

    def apply_peer_prompt(self, id: str, read_s: float) -> None:
        """Takes in that another entry sends a prompt to a worker.

        Args:
          id: Of the worker.
          read_s: Seconds in which it likely reads the prompt, one after
            another.
        """
        load = self.workers[id]
        now = self.clock.monotonic()
        load.peer_prompts_until = max(now, load.peer_prompts_until) + read_s

    def record_prompt_read(self, id: str, model: str, prompt: Prompt) -> None:
        """Notes that a worker read a prompt and keeps its parts."""
        self.record_cached_parts(id, part_keys(model, prompt))

    def record_cached_parts(self, id: str, read: Iterable[int]) -> None:
        """Notes the parts of prompts that a worker keeps, by `part_key`."""
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
        """Returns the tokens of a prompt that a worker has read already.

        A part only counts if all parts before it are kept too.

        Args:
          id: Of the worker.
          parts: Key and tokens of each part, see `part_sizes`.
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
        """Drops a worker that is gone."""
        self.workers.pop(id, None)
