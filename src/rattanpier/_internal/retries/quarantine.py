"""Quarantine of requests that crash the workers that run them.

Some requests crash every worker that runs them, and come again from the same
or another caller, at any entry. If crashes were attributed to workers alone,
each crash would send the request to the next worker, along with all requests
that ran beside it: one such request crashed 16 workers within 50 s, in a pool
of nine that restarted.

A worker's crash counts against all contents that it was running. A content
under which three workers crashed is refused by all entries until its last
crash is old enough; the entries publish each crash to each other, which needs
no store. When a content is answered completely, its crashes are dropped. So is
a crash of a worker that is found alive, since a partitioned entry takes every
worker that it cannot reach for crashed.

The module does no input or output: crashes and answers go in, a verdict comes
out.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable

import attrs
import structlog

from rattanpier._internal.models.worker_crash import (
    ContentCleared,
    QuarantineUpdate,
    SeenAlive,
    WorkerCrash,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import stable_hash

log = structlog.get_logger(part="quarantine")

# Crashed workers after which a content is quarantined. Requests that ran beside
# it share its first crash and, retried together, may share the second.
CRASHES_TO_QUARANTINE = 3
# Since the last crash. Long compared to the pauses between callers' retries;
# short enough that a fixed worker serves the request within the hour.
QUARANTINE_S = 600.0
# Crashes up to this long after a complete answer are not attributed to the
# content. While workers crash one after the other, a harmless request is still
# answered by the remaining ones. Later crashes count again, for a content that
# has begun to crash workers since.
ANSWER_GRACE_S = 2.0
# Contents with stored crashes, 0.3 KB each. A failure domain of 26 workers that
# run 16 requests each has 416.
MAX_SUSPECTS = 1024
MAX_ANSWERED = 512  # An entry answers some ten a second; 0.2 KB each.
# Two entries' times of one event differ by the latency of the update.
SAME_EVENT_S = 0.5
NEVER = float("-inf")


@attrs.define(eq=False, repr=False)
class Quarantine:
    """Contents that workers crashed under. All times are monotonic seconds.

    Attributes:
      clock: Source of monotonic time.
      on_update: Called when there is an update to publish.
      on_change: Called with each content whose quarantine starts or ends early.
      on_peer_crash: Called with the incarnation of each worker that a peer
        reports as crashed.
      crashes: Time of each crash, by content and incarnation.
      answered: Time of the last complete answer here, by content.
      cleared: Time of the complete answer, here or at a peer, of each content
        that had crashes.
      alive: Time at which each worker reported as crashed was found alive, by
        incarnation.
      unsent: Update that has not been published yet.
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
    unsent: QuarantineUpdate = attrs.Factory(QuarantineUpdate)

    # Verdicts.

    def remaining_s(self, content: str) -> float:
        """Returns the seconds that a quarantine still lasts, 0 without one."""
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
        """Returns whether a worker crashed while it ran a content."""
        return content in self.crashes

    def explains_crash(self, worker: str) -> bool:
        """Returns whether a worker crashed under a content that crashed others.

        Args:
          worker: Incarnation of the worker.
        """
        return any(
            worker in crashes and len(crashes) > 1
            for crashes in self.crashes.values()
        )

    # Observations of this entry.

    def record_crash(self, content: str, worker: str) -> None:
        """Records that a worker crashed while it ran a content.

        Args:
          content: Digest of the caller's request.
          worker: Incarnation of the worker.
        """
        crash = WorkerCrash(content, worker)
        if self.add_crash(crash):
            self.unsent.ends.append(crash)
            self.on_update()

    def record_answer(self, content: str) -> None:
        """Records that a content was answered completely."""
        now = self.clock.monotonic()
        self.answered[content] = now
        self.answered.move_to_end(content)
        while len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)
        if content in self.crashes:
            self.clear(content, now)
            self.unsent.cleared.append(ContentCleared(content))
            self.on_update()

    def record_alive(self, worker: str, at: float) -> None:
        """Records that a worker reported as crashed was found alive.

        Args:
          worker: Incarnation of the worker.
          at: When it was alive, in monotonic seconds.
        """
        if self.refute_crashes(worker, at):
            age_s = self.clock.monotonic() - at
            self.unsent.alive.append(SeenAlive(worker, age_s))
            self.on_update()

    def crash_times(self) -> dict[str, float]:
        """Returns the last crash of each incarnation, in monotonic seconds."""
        times: dict[str, float] = {}
        for crashes in self.crashes.values():
            for worker, at in crashes.items():
                times[worker] = max(at, times.get(worker, NEVER))
        return times

    # Synchronisation with peers.

    def pop_unsent(self) -> QuarantineUpdate:
        """Returns the update to publish, and resets it."""
        update, self.unsent = self.unsent, QuarantineUpdate()
        return update

    def full_update(self) -> QuarantineUpdate:
        """Returns the whole state, for a peer that missed updates."""
        self.drop_old()
        now = self.clock.monotonic()
        return QuarantineUpdate(
            [
                WorkerCrash(content, worker, now - at)
                for content, crashes in self.crashes.items()
                for worker, at in crashes.items()
            ],
            [
                ContentCleared(content, now - at)
                for content, at in self.cleared.items()
            ],
            [SeenAlive(worker, now - at) for worker, at in self.alive.items()],
        )

    def apply_update(self, update: QuarantineUpdate) -> QuarantineUpdate:
        """Applies an update from a peer; returns the part that was new."""
        new = QuarantineUpdate()
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
        """Returns a digest of the crashes, to compare with peers."""
        self.drop_old()
        digest = 0
        for content, crashes in self.crashes.items():
            for worker in crashes:
                digest ^= stable_hash(f"{content}/{worker}")
        return digest

    # Stored state.

    def add_crash(self, crash: WorkerCrash) -> bool:
        """Stores a crash; returns whether it is new and counts."""
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
                "Request quarantined.",
                content=crash.content,
                workers=sorted(crashes),
                hold_s=QUARANTINE_S,
            )
            self.on_change(crash.content)
        return True

    def clear(self, content: str, at: float) -> None:
        """Drops the crashes of a content up to just after a complete answer.

        The time of the answer is kept for as long as crashes are, so that late
        updates from peers do not bring a dropped crash back.
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
        log.info(
            "Quarantine record cleared by a complete answer.",
            content=content,
            workers=len(crashes),
        )
        if len(crashes) >= CRASHES_TO_QUARANTINE:
            self.on_change(content)

    def refute_crashes(self, worker: str, at: float) -> bool:
        """Drops the crashes of a worker that was alive later.

        An incarnation that crashed does not come back, so each earlier report
        of its crash was wrong. The time is kept for as long as crashes are.

        Returns:
          Whether this was not known before.
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
        """Drops one crash of a content."""
        crashes = self.crashes[content]
        was_quarantined = len(crashes) >= CRASHES_TO_QUARANTINE
        del crashes[worker]
        if not crashes:
            del self.crashes[content]
        log.info(
            "Crash report refuted.",
            content=content,
            worker=worker,
            left=len(crashes),
        )
        if was_quarantined and len(crashes) < CRASHES_TO_QUARANTINE:
            self.on_change(content)

    def drop_old(self) -> None:
        """Drops contents whose last crash is too old to count."""
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
        """Drops the contents with the fewest, then oldest, crashes."""
        surplus = len(self.crashes) - max_count
        if surplus <= 0:
            return

        def priority(content: str) -> tuple[int, float]:
            crashes = self.crashes[content]
            return len(crashes), max(crashes.values())

        self.drop(sorted(self.crashes, key=priority)[:surplus])

    def drop(self, contents: Iterable[str]) -> None:
        """Drops the crashes of contents."""
        for content in list(contents):
            del self.crashes[content]
