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
ENDS_TO_HOLD = 3
# Since the last end. Long against the pauses after which callers come again;
# short enough that a mended worker serves the request within the hour.
HOLD_S = 600.0
# After a whole answer, ends count against something else. While workers crash
# one after the other, a request that is sound goes on being answered by those
# that are left; one that was answered and ends workers since counts after this.
TRUSTED_S = 2.0
# Contents with ended workers that are remembered: a failure domain of 26
# workers that run 16 requests each has 416. 0.3 KB each.
MOST_SUSPECTS = 1024
MOST_ANSWERED = 512  # An entry answers some ten a second; 0.2 KB each.
# Two entries' times of one event differ by the way of the news.
SAME_S = 0.5
NEVER = float("-inf")


@attrs.define(eq=False, repr=False)
class Quarantine:
    """What is known of requests under which workers ended.

    Attributes:
      ends: When each worker ended, in monotonic seconds, by content.
      answered: When each content was answered whole here last.
      cleared: When each content that had ends was answered whole, anywhere.
      alive: When each worker that was said to have ended was found to live.
      untold: What the others have to be told.
      tell: Called when there is something to tell.
      changed: Called with each content that is held now, or no longer.
      heard: Called with the incarnation of each worker of which others tell
        that it ended.
    """

    clock: Clock
    tell: Callable[[], None] = lambda: None
    changed: Callable[[str], None] = lambda _content: None
    heard: Callable[[str], None] = lambda _worker: None
    ends: dict[str, dict[str, float]] = attrs.Factory(dict)
    answered: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    cleared: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    alive: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    untold: QuarantineNews = attrs.Factory(QuarantineNews)

    # Verdicts.

    def held_s(self, content: str) -> float:
        """Returns the seconds for which a content is refused, 0 if it isn't."""
        trusted_until = self.answered.get(content, NEVER) + TRUSTED_S
        ends = [
            at
            for at in self.ends.get(content, {}).values()
            if at >= trusted_until
        ]
        if len(ends) < ENDS_TO_HOLD:
            return 0.0
        age_s = self.clock.monotonic() - max(ends)
        return max(0.0, HOLD_S - age_s)

    def suspects(self, content: str) -> bool:
        """Says whether a worker ended under a content."""
        return content in self.ends

    def explains(self, worker: str) -> bool:
        """Says whether a worker ended under a content that ended another.

        Args:
          worker: Its incarnation.
        """
        return any(
            worker in ends and len(ends) > 1 for ends in self.ends.values()
        )

    # What entries see.

    def note_end(self, content: str, worker: str) -> None:
        """Takes in that a worker ended while a content was under way there.

        Args:
          content: Digest of what the caller asks.
          worker: Its incarnation.
        """
        end = WorkerEnd(content, worker)
        if self.add(end):
            self.untold.ends.append(end)
            self.tell()

    def note_answered(self, content: str) -> None:
        """Takes in that a content was answered whole."""
        now = self.clock.monotonic()
        self.answered[content] = now
        self.answered.move_to_end(content)
        while len(self.answered) > MOST_ANSWERED:
            self.answered.popitem(last=False)
        if content in self.ends:
            self.clear(content, now)
            self.untold.cleared.append(Cleared(content))
            self.tell()

    def note_alive(self, worker: str, at: float) -> None:
        """Takes in that a worker that was said to have ended lives.

        Args:
          worker: Its incarnation.
          at: When it surely lived, in monotonic seconds.
        """
        if self.refute(worker, at):
            age_s = self.clock.monotonic() - at
            self.untold.alive.append(SeenAlive(worker, age_s))
            self.tell()

    def told_ends(self) -> dict[str, float]:
        """Returns the incarnations that are said to have ended, and when."""
        told: dict[str, float] = {}
        for ends in self.ends.values():
            for worker, at in ends.items():
                told[worker] = max(at, told.get(worker, NEVER))
        return told

    # What entries tell each other.

    def take_untold(self) -> QuarantineNews:
        """Returns what the others have to be told, once."""
        news, self.untold = self.untold, QuarantineNews()
        return news

    def all_news(self) -> QuarantineNews:
        """Returns all that is known, for an entry that missed some."""
        self.forget_old()
        now = self.clock.monotonic()
        return QuarantineNews(
            [
                WorkerEnd(content, worker, now - at)
                for content, ends in self.ends.items()
                for worker, at in ends.items()
            ],
            [
                Cleared(content, now - at)
                for content, at in self.cleared.items()
            ],
            [SeenAlive(worker, now - at) for worker, at in self.alive.items()],
        )

    def take(self, news: QuarantineNews) -> QuarantineNews:
        """Takes in what another entry tells; returns what was new of it."""
        new = QuarantineNews()
        now = self.clock.monotonic()
        for cleared in news.cleared:
            known = self.cleared.get(cleared.content, NEVER)
            at = now - cleared.age_s
            if 0.0 <= cleared.age_s < HOLD_S and at > known + SAME_S:
                self.clear(cleared.content, at)
                new.cleared.append(cleared)
        for seen in news.alive:
            if 0.0 <= seen.age_s < HOLD_S and self.refute(
                seen.worker, now - seen.age_s
            ):
                new.alive.append(seen)
        for end in news.ends:
            if 0.0 <= end.age_s < HOLD_S and self.add(end):
                new.ends.append(end)
        for worker in {end.worker for end in new.ends}:
            self.heard(worker)
        return new

    def digest(self) -> int:
        """Returns what two entries that know the same have in common."""
        self.forget_old()
        digest = 0
        for content, ends in self.ends.items():
            for worker in ends:
                digest ^= stable_hash(f"{content}/{worker}")
        return digest

    # Keeping.

    def add(self, end: WorkerEnd) -> bool:
        """Keeps an end; says whether it is new and counts."""
        at = self.clock.monotonic() - end.age_s
        if at < self.cleared.get(end.content, NEVER) + TRUSTED_S:
            return False
        if at < self.alive.get(end.worker, NEVER) - SAME_S:
            return False
        ends = self.ends.get(end.content, {})
        if end.worker in ends:
            return False
        ends[end.worker] = at
        self.ends[end.content] = ends
        self.drop_beyond(MOST_SUSPECTS)
        if len(ends) == ENDS_TO_HOLD and self.held_s(end.content):
            log.warning(
                "Request held.",
                content=end.content,
                workers=sorted(ends),
                hold_s=HOLD_S,
            )
            self.changed(end.content)
        return True

    def clear(self, content: str, at: float) -> None:
        """Forgets the ends of a content up to its whole answer and just after.

        What was cleared stays known for as long as ends do: news of an end that
        come after it, from entries that heard of it later, don't bring it back.
        """
        self.cleared[content] = at
        self.cleared.move_to_end(content)
        while len(self.cleared) > MOST_SUSPECTS:
            self.cleared.popitem(last=False)
        ends = self.ends.pop(content, None)
        if ends is None:
            return
        later = {
            worker: ended_at
            for worker, ended_at in ends.items()
            if ended_at >= at + TRUSTED_S
        }
        if later:
            self.ends[content] = later
        log.info("Request cleared.", content=content, workers=len(ends))
        if len(ends) >= ENDS_TO_HOLD:
            self.changed(content)

    def refute(self, worker: str, at: float) -> bool:
        """Forgets the ends of a worker that lived later; says if that is news.

        An incarnation that ended does not come back, so that each end of it up
        to then was none. What was refuted stays known for as long as ends do.
        """
        if at <= self.alive.get(worker, NEVER) + SAME_S:
            return False
        self.alive[worker] = at
        self.alive.move_to_end(worker)
        while len(self.alive) > MOST_SUSPECTS:
            self.alive.popitem(last=False)
        for content, ends in list(self.ends.items()):
            if ends.get(worker, math.inf) < at - SAME_S:
                self.drop_end(content, worker)
        return True

    def drop_end(self, content: str, worker: str) -> None:
        """Drops one end of a content."""
        ends = self.ends[content]
        was_held = len(ends) >= ENDS_TO_HOLD
        del ends[worker]
        if not ends:
            del self.ends[content]
        log.info("End refuted.", content=content, worker=worker, left=len(ends))
        if was_held and len(ends) < ENDS_TO_HOLD:
            self.changed(content)

    def forget_old(self) -> None:
        """Drops contents whose last end is too old to count."""
        oldest = self.clock.monotonic() - HOLD_S
        self.drop(
            content
            for content, ends in self.ends.items()
            if max(ends.values()) <= oldest
        )
        for content, at in list(self.cleared.items()):
            if at <= oldest:
                del self.cleared[content]
        for worker, at in list(self.alive.items()):
            if at <= oldest:
                del self.alive[worker]

    def drop_beyond(self, most: int) -> None:
        """Keeps the contents that tell most, by their ends and their age."""
        beyond = len(self.ends) - most
        if beyond <= 0:
            return

        def weight(content: str) -> tuple[int, float]:
            ends = self.ends[content]
            return len(ends), max(ends.values())

        self.drop(sorted(self.ends, key=weight)[:beyond])

    def drop(self, contents: Iterable[str]) -> None:
        """Drops contents."""
        for content in list(contents):
            del self.ends[content]
