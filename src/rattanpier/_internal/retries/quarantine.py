"""Requests that end the workers that run them, kept from further workers.

Load answered: a request that crashes each worker that begins to run it, and
that comes again, from its caller or another, at any entry. Put down to workers
alone, each crash sends it on to the next worker, along with all that ran beside
it: one such request ended 16 workers in 50 s, of a pool of nine that came back.

A worker's end counts against all contents that were under way there. One that
three workers ended under is refused until its last end is old enough, by all
entries: they tell each other of each end. What restricts needs no store. A
content that is answered whole is no such request: its ends are forgotten. So is
the end of a worker that is found to live: an entry that is cut off takes each
worker that it does not reach for one that ended.

Code without a network: ends and answers go in, a verdict comes out.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable

import attrs
import structlog

from rattanpier._internal.models.worker_end import (
    Cleared,
    QuarantineNews,
    SeenAlive,
    WorkerEnd,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import stable_hash

log = structlog.get_logger(part="quarantine")

# Ended workers after which a request reaches no more. Those that ran beside it
# share its first end and, sent on with it, may share the second.
CRASHES_TO_QUARANTINE = 3
# Since the last end. Long against the pauses after which callers come again;
# short enough that a mended worker serves the request within the hour.
QUARANTINE_S = 600.0
# After a whole answer, ends count against something else. While workers crash
# one after the other, a request that is sound goes on being answered by those
# that are left; one that was answered and ends workers since counts after this.
ANSWER_GRACE_S = 2.0
# Contents with ended workers that are remembered: a failure domain of 26
# workers that run 16 requests each has 416. 0.3 KB each.
MAX_SUSPECTS = 1024
MAX_ANSWERED = 512  # An entry answers some ten a second; 0.2 KB each.
# Two entries' times of one event differ by the way of the news.
SAME_EVENT_S = 0.5
NEVER = float("-inf")


@attrs.define(eq=False, repr=False)
class Quarantine:
    """What is known of requests under which workers ended.

    Attributes:
      crashes: When each worker ended, in monotonic seconds, by content.
      answered: When each content was answered whole here last.
      cleared: When each content that had ends was answered whole, anywhere.
      alive: When each worker that was said to have ended was found to live.
      unsent: What the others have to be told.
      on_update: Called when there is something to tell.
      on_change: Called with each content that is held now, or no longer.
      on_peer_crash: Called with the incarnation of each worker of which others
        tell that it ended.
    """

    clock: Clock
    on_update: Callable[[], None] = lambda: None
    on_change: Callable[[str], None] = lambda _content: None
    on_peer_crash: Callable[[str], None] = lambda _worker: None
    crashes: dict[str, dict[str, float]] = attrs.Factory(dict)
    answered: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    cleared: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    alive: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    unsent: QuarantineNews = attrs.Factory(QuarantineNews)

    # Verdicts.

    def remaining_s(self, content: str) -> float:
        """Returns the seconds for which a content is refused, 0 if it isn't."""
        trusted_until = self.answered.get(content, NEVER) + ANSWER_GRACE_S
        crashes = [
            at
            for at in self.crashes.get(content, {}).values()
            if at >= trusted_until
        ]
        if len(crashes) < CRASHES_TO_QUARANTINE:
            return 0.0
        age_s = self.clock.monotonic() - max(crashes)
        return max(0.0, QUARANTINE_S - age_s)

    def is_suspect(self, content: str) -> bool:
        """Says whether a worker ended under a content."""
        return content in self.crashes

    def explains_crash(self, worker: str) -> bool:
        """Says whether a worker ended under a content that ended another.

        Args:
          worker: Its incarnation.
        """
        return any(
            worker in crashes and len(crashes) > 1
            for crashes in self.crashes.values()
        )

    # What entries see.

    def record_crash(self, content: str, worker: str) -> None:
        """Takes in that a worker ended while a content was under way there.

        Args:
          content: Digest of what the caller asks.
          worker: Its incarnation.
        """
        crash = WorkerEnd(content, worker)
        if self.add_crash(crash):
            self.unsent.ends.append(crash)
            self.on_update()

    def record_answer(self, content: str) -> None:
        """Takes in that a content was answered whole."""
        now = self.clock.monotonic()
        self.answered[content] = now
        self.answered.move_to_end(content)
        while len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)
        if content in self.crashes:
            self.clear(content, now)
            self.unsent.cleared.append(Cleared(content))
            self.on_update()

    def record_alive(self, worker: str, at: float) -> None:
        """Takes in that a worker that was said to have ended lives.

        Args:
          worker: Its incarnation.
          at: When it surely lived, in monotonic seconds.
        """
        if self.refute_crashes(worker, at):
            age_s = self.clock.monotonic() - at
            self.unsent.alive.append(SeenAlive(worker, age_s))
            self.on_update()

    def crash_times(self) -> dict[str, float]:
        """Returns the incarnations that are said to have ended, and when."""
        times: dict[str, float] = {}
        for crashes in self.crashes.values():
            for worker, at in crashes.items():
                times[worker] = max(at, times.get(worker, NEVER))
        return times

    # What entries tell each other.

    def pop_unsent(self) -> QuarantineNews:
        """Returns what the others have to be told, once."""
        update, self.unsent = self.unsent, QuarantineNews()
        return update

    def full_update(self) -> QuarantineNews:
        """Returns all that is known, for an entry that missed some."""
        self.drop_old()
        now = self.clock.monotonic()
        return QuarantineNews(
            [
                WorkerEnd(content, worker, now - at)
                for content, crashes in self.crashes.items()
                for worker, at in crashes.items()
            ],
            [
                Cleared(content, now - at)
                for content, at in self.cleared.items()
            ],
            [SeenAlive(worker, now - at) for worker, at in self.alive.items()],
        )

    def apply_update(self, update: QuarantineNews) -> QuarantineNews:
        """Takes in what another entry tells; returns what was new of it."""
        new = QuarantineNews()
        now = self.clock.monotonic()
        for cleared in update.cleared:
            known = self.cleared.get(cleared.content, NEVER)
            at = now - cleared.age_s
            if (
                0.0 <= cleared.age_s < QUARANTINE_S
                and at > known + SAME_EVENT_S
            ):
                self.clear(cleared.content, at)
                new.cleared.append(cleared)
        for seen in update.alive:
            if 0.0 <= seen.age_s < QUARANTINE_S and self.refute_crashes(
                seen.worker, now - seen.age_s
            ):
                new.alive.append(seen)
        for crash in update.ends:
            if 0.0 <= crash.age_s < QUARANTINE_S and self.add_crash(crash):
                new.ends.append(crash)
        for worker in {crash.worker for crash in new.ends}:
            self.on_peer_crash(worker)
        return new

    def digest(self) -> int:
        """Returns what two entries that know the same have in common."""
        self.drop_old()
        digest = 0
        for content, crashes in self.crashes.items():
            for worker in crashes:
                digest ^= stable_hash(f"{content}/{worker}")
        return digest

    # Keeping.

    def add_crash(self, crash: WorkerEnd) -> bool:
        """Keeps an end; says whether it is new and counts."""
        at = self.clock.monotonic() - crash.age_s
        if at < self.cleared.get(crash.content, NEVER) + ANSWER_GRACE_S:
            return False
        if at < self.alive.get(crash.worker, NEVER) - SAME_EVENT_S:
            return False
        crashes = self.crashes.get(crash.content, {})
        if crash.worker in crashes:
            return False
        crashes[crash.worker] = at
        self.crashes[crash.content] = crashes
        self.limit_suspects(MAX_SUSPECTS)
        if len(crashes) == CRASHES_TO_QUARANTINE and self.remaining_s(
            crash.content
        ):
            log.warning(
                "Request held.",
                content=crash.content,
                workers=sorted(crashes),
                hold_s=QUARANTINE_S,
            )
            self.on_change(crash.content)
        return True

    def clear(self, content: str, at: float) -> None:
        """Forgets the ends of a content up to its whole answer and just after.

        What was cleared stays known for as long as ends do: news of an end that
        come after it, from entries that heard of it later, don't bring it back.
        """
        self.cleared[content] = at
        self.cleared.move_to_end(content)
        while len(self.cleared) > MAX_SUSPECTS:
            self.cleared.popitem(last=False)
        crashes = self.crashes.pop(content, None)
        if crashes is None:
            return
        later = {
            worker: crashed_at
            for worker, crashed_at in crashes.items()
            if crashed_at >= at + ANSWER_GRACE_S
        }
        if later:
            self.crashes[content] = later
        log.info("Request cleared.", content=content, workers=len(crashes))
        if len(crashes) >= CRASHES_TO_QUARANTINE:
            self.on_change(content)

    def refute_crashes(self, worker: str, at: float) -> bool:
        """Forgets the ends of a worker that lived later; says if that is news.

        An incarnation that ended does not come back, so that each end of it up
        to then was none. What was refuted stays known for as long as ends do.
        """
        if at <= self.alive.get(worker, NEVER) + SAME_EVENT_S:
            return False
        self.alive[worker] = at
        self.alive.move_to_end(worker)
        while len(self.alive) > MAX_SUSPECTS:
            self.alive.popitem(last=False)
        for content, crashes in list(self.crashes.items()):
            if crashes.get(worker, math.inf) < at - SAME_EVENT_S:
                self.drop_crash(content, worker)
        return True

    def drop_crash(self, content: str, worker: str) -> None:
        """Drops one end of a content."""
        crashes = self.crashes[content]
        was_quarantined = len(crashes) >= CRASHES_TO_QUARANTINE
        del crashes[worker]
        if not crashes:
            del self.crashes[content]
        log.info(
            "End refuted.", content=content, worker=worker, left=len(crashes)
        )
        if was_quarantined and len(crashes) < CRASHES_TO_QUARANTINE:
            self.on_change(content)

    def drop_old(self) -> None:
        """Drops contents whose last end is too old to count."""
        oldest = self.clock.monotonic() - QUARANTINE_S
        self.drop(
            content
            for content, crashes in self.crashes.items()
            if max(crashes.values()) <= oldest
        )
        for content, at in list(self.cleared.items()):
            if at <= oldest:
                del self.cleared[content]
        for worker, at in list(self.alive.items()):
            if at <= oldest:
                del self.alive[worker]

    def limit_suspects(self, max_count: int) -> None:
        """Keeps the contents that tell most, by their ends and their age."""
        surplus = len(self.crashes) - max_count
        if surplus <= 0:
            return

        def priority(content: str) -> tuple[int, float]:
            crashes = self.crashes[content]
            return len(crashes), max(crashes.values())

        self.drop(sorted(self.crashes, key=priority)[:surplus])

    def drop(self, contents: Iterable[str]) -> None:
        """Drops contents."""
        for content in list(contents):
            del self.crashes[content]
