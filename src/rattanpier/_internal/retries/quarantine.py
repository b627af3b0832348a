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

Requests that differ may share a part of their prompts that crashes workers.
Such parts are found by `crashing_parts`; requests with one are refused like a
quarantined content, and the crashes that it explains count against no content.

The module does no input or output: crashes and answers go in, a verdict comes
out.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Collection, Iterable, Iterator

import attrs
import structlog

from rattanpier._internal.models.worker_crash import (
    ContentCleared,
    PartProven,
    QuarantineUpdate,
    SeenAlive,
    WorkerCrash,
)
from rattanpier._internal.retries.crashing_parts import (
    KEY_PREFIX,
    CrashedRequest,
    PartCrash,
    PartHold,
    find_holds,
    held_s,
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
MAX_PROVEN_PARTS = 4096  # 0.2 KB each.
# Workers that a part crashes end as they begin to answer. One that goes on for
# this long stands it.
STOOD_S = 0.5
# Crashes after which an entry tells the others that workers stood a part.
CRASHES_TO_PUBLISH_PROOF = 1
# Requests that ran at a worker are recorded one by one when it crashes.
REFRESH_DELAY_S = 0.02
# Of the parts with most crashes, the evidence is kept in the store. One crash
# may be under a request of many parts.
MAX_EVIDENCE_PARTS = 4
MIN_EVIDENCE_CRASHES = 2
MAX_EVIDENCE_WORKERS = 16
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
      parts_of: Parts of the prompts of the contents that had crashes, and the
        crashes that may be due to them, by content.
      proven_here: When a worker last began an answer that it stood, in
        monotonic seconds, by part; of answers at this entry.
      proven: The same of all entries, for parts that had crashes.
      last_crash_of: When a worker last crashed under a part, in monotonic
        seconds, by part.
      holds: Parts that are held, or will be unless they are proven meanwhile,
        by key.
      active: Keys of the holds that were announced to `on_change`.
      count_workers: Returns the number of workers that may crash, 0 if it is
        not known.
      on_evidence: Called when a part that is not held has new crashes.
      hold_listeners: Called when parts begin to be held.
      call_later: Calls a function after a number of seconds.
      proof_delay_s: Returns the seconds for which to wait whether another
        entry publishes the same proof.
      refresh_scheduled: Whether `refresh` is scheduled.
      proofs_scheduled: Whether a publication of proofs is scheduled.
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
    parts_of: dict[str, CrashedRequest] = attrs.Factory(dict)
    proven_here: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    proven: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    last_crash_of: dict[str, float] = attrs.Factory(dict)
    holds: dict[str, PartHold] = attrs.Factory(dict)
    active: set[str] = attrs.Factory(set)
    count_workers: Callable[[], int] = lambda: 0
    on_evidence: Callable[[], None] = lambda: None
    hold_listeners: set[Callable[[], None]] = attrs.Factory(set)
    call_later: Callable[[float, Callable[[], None]], object] = attrs.field(
        default=lambda _delay_s, call: call()
    )
    proof_delay_s: Callable[[], float] = lambda: 0.0
    refresh_scheduled: bool = False
    proofs_scheduled: bool = False

    # Verdicts.

    def remaining_s(self, content: str, parts: Collection[str] = ()) -> float:
        """Returns the seconds that a quarantine still lasts, 0 without one.

        Args:
          content: Digest of the caller's request.
          parts: Ids of the parts of its prompt that others may share.
        """
        if not self.crashes:
            return 0.0
        for_parts_s = self.parts_remaining_s(parts)
        return for_parts_s or self.content_remaining_s(content)

    def parts_remaining_s(self, parts: Collection[str]) -> float:
        """Returns the seconds for which parts of prompts are still held."""
        now = self.clock.monotonic()
        return held_s(self.holds.values(), parts, now)

    def content_remaining_s(self, content: str) -> float:
        """Returns the seconds for which a content is still quarantined."""
        found = self.crashes.get(content)
        if found is None:
            return 0.0
        trusted_until = self.answered.get(content, NEVER) + ANSWER_GRACE_S
        crashes = [
            at
            for worker, at in found.items()
            if at >= trusted_until and not self.is_explained(worker)
        ]
        if len(crashes) < CRASHES_TO_QUARANTINE:
            return 0.0
        age_s = self.clock.monotonic() - max(crashes)
        return max(0.0, QUARANTINE_S - age_s)

    def quarantined(self) -> Iterator[str]:
        """Yields the contents and the keys of parts that are quarantined."""
        yield from self.active
        for content, crashes in self.crashes.items():
            if len(crashes) >= CRASHES_TO_QUARANTINE:
                yield content

    def is_explained(self, worker: str) -> bool:
        """Returns whether a worker crashed under a part that is held."""
        return any(worker in hold.workers for hold in self.holds.values())

    def is_suspect(self, content: str) -> bool:
        """Returns whether a worker crashed while it ran a content."""
        return content in self.crashes

    def is_news(self, content: str, parts: Iterable[str]) -> bool:
        """Returns whether a complete answer would clear anything.

        Args:
          content: Digest of the caller's request.
          parts: Ids of the parts of its prompt that others may share.
        """
        if content in self.crashes:
            return True
        return any(
            self.proven_here.get(part, NEVER)
            <= self.last_crash_of.get(part, NEVER)
            for part in parts
        )

    def explains_crash(self, worker: str) -> bool:
        """Returns whether a worker crashed under a content that crashed others.

        Args:
          worker: Incarnation of the worker.
        """
        return self.is_explained(worker) or any(
            worker in crashes and len(crashes) > 1
            for crashes in self.crashes.values()
        )

    # Observations of this entry.

    def record_crash(
        self,
        content: str,
        worker: str,
        parts: Iterable[str] = (),
        answering_s: float | None = None,
        age_s: float = 0.0,
    ) -> None:
        """Records that a worker crashed while it ran a content.

        Args:
          content: Digest of the caller's request.
          worker: Incarnation of the worker.
          parts: Ids of the parts of its prompt that others may share.
          answering_s: Seconds for which the worker had been answering it, None
            if it had not begun.
          age_s: Seconds since the crash.
        """
        if answering_s is not None and answering_s >= STOOD_S:
            parts = ()
        crash = WorkerCrash(content, worker, age_s, tuple(parts), answering_s)
        if self.add_crash(crash):
            self.schedule_refresh()
            self.unsent.ends.append(crash)
            self.on_update()

    def record_stood(self, parts: Iterable[str], began_at: float) -> None:
        """Records that a worker stood answering a request.

        Args:
          parts: Ids of the parts of its prompt that others may share.
          began_at: When the worker began to answer, in monotonic seconds.
        """
        for part in parts:
            known = self.proven_here.get(part, NEVER)
            self.proven_here[part] = max(known, began_at)
            self.proven_here.move_to_end(part)
            if known < self.last_crash_of.get(part, NEVER):
                self.schedule_refresh()
        while len(self.proven_here) > MAX_PROVEN_PARTS:
            self.proven_here.popitem(last=False)

    def record_answer(
        self,
        content: str,
        parts: Iterable[str] = (),
        began_at: float | None = None,
    ) -> None:
        """Records that a content was answered completely.

        Args:
          content: Digest of the caller's request.
          parts: Ids of the parts of its prompt that others may share.
          began_at: When the worker began to answer, in monotonic seconds.
        """
        now = self.clock.monotonic()
        self.record_stood(parts, now if began_at is None else began_at)
        self.answered[content] = now
        self.answered.move_to_end(content)
        while len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)
        if content in self.crashes:
            self.clear(content, now)
            self.schedule_refresh()
            self.unsent.cleared.append(ContentCleared(content))
            self.on_update()

    def record_alive(self, worker: str, at: float) -> None:
        """Records that a worker reported as crashed was found alive.

        Args:
          worker: Incarnation of the worker.
          at: When it was alive, in monotonic seconds.
        """
        if self.refute_crashes(worker, at):
            self.schedule_refresh()
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
                self.crash_message(content, worker, now - at)
                for content, crashes in self.crashes.items()
                for worker, at in crashes.items()
            ],
            [
                ContentCleared(content, now - at)
                for content, at in self.cleared.items()
            ],
            [SeenAlive(worker, now - at) for worker, at in self.alive.items()],
            [PartProven(part, now - at) for part, at in self.proven.items()],
        )

    def evidence(self) -> QuarantineUpdate:
        """Returns the crashes under the parts that may be held soon.

        It is bounded, and holds the last crashes of the parts with most.
        """
        now = self.clock.monotonic()
        workers = self.crashes_by_part()
        parts = sorted(
            (each for each in workers if self.is_evidence(workers[each])),
            key=lambda each: (-len(workers[each]), each),
        )[:MAX_EVIDENCE_PARTS]
        update = QuarantineUpdate()
        for part in parts:
            last = sorted(workers[part].items(), key=lambda item: -item[1][0])
            for worker, (at, content) in last[:MAX_EVIDENCE_WORKERS]:
                update.ends.append(
                    self.crash_message(content, worker, now - at)
                )
            proven = max(
                self.proven.get(part, NEVER), self.proven_here.get(part, NEVER)
            )
            if proven > NEVER:
                update.proven.append(PartProven(part, now - proven))
        return update

    def crashes_by_part(self) -> dict[str, dict[str, tuple[float, str]]]:
        """Returns the time and content of crashes, by part and incarnation."""
        found: dict[str, dict[str, tuple[float, str]]] = {}
        for content, request in self.parts_of.items():
            for worker, crash in request.crashes.items():
                if not crash.began:
                    continue
                for part in request.parts:
                    found.setdefault(part, {})[worker] = crash.at, content
        return found

    def is_evidence(self, workers: Collection[str]) -> bool:
        """Returns whether crashes under a part are worth to be kept."""
        return len(workers) >= MIN_EVIDENCE_CRASHES and not all(
            map(self.is_explained, workers)
        )

    def crash_message(
        self, content: str, worker: str, age_s: float
    ) -> WorkerCrash:
        """Returns a stored crash in the form in which it is published."""
        request = self.parts_of.get(content)
        crash = None if request is None else request.crashes.get(worker)
        if request is None or crash is None:
            return WorkerCrash(content, worker, age_s)
        parts = tuple(sorted(request.parts))
        return WorkerCrash(content, worker, age_s, parts, crash.answering_s)

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
        for proof in update.proven:
            if 0.0 <= proof.age_s < QUARANTINE_S and self.add_proof(
                proof.part, now - proof.age_s
            ):
                new.proven.append(proof)
        for crash in update.ends:
            if 0.0 <= crash.age_s < QUARANTINE_S and self.add_crash(crash):
                new.ends.append(crash)
        if new != QuarantineUpdate():
            self.schedule_refresh()
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
        for part in self.proven:
            digest ^= stable_hash(f"proven/{part}")
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
        self.add_part_crash(crash, at)
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

    def add_part_crash(self, crash: WorkerCrash, at: float) -> None:
        """Stores that a crash may be due to the parts of a prompt."""
        if not crash.parts:
            return
        request = self.parts_of.get(crash.content)
        if request is None:
            request = CrashedRequest(
                frozenset(crash.parts),
                is_hold=crash.content.startswith(KEY_PREFIX),
            )
            self.parts_of[crash.content] = request
        request.crashes[crash.worker] = PartCrash(at, crash.answering_s)
        for part in request.parts:
            last = self.last_crash_of.get(part, NEVER)
            self.last_crash_of[part] = max(at, last)

    def add_proof(self, part: str, at: float) -> bool:
        """Stores that a worker stood a part; returns whether that is new."""
        if at <= self.proven.get(part, NEVER) + SAME_EVENT_S:
            return False
        self.proven[part] = at
        self.proven.move_to_end(part)
        while len(self.proven) > MAX_SUSPECTS:
            self.proven.popitem(last=False)
        return True

    # Parts of prompts.

    def schedule_refresh(self) -> None:
        """Schedules `refresh` after all changes of this moment."""
        if not self.refresh_scheduled:
            self.refresh_scheduled = True
            self.call_later(REFRESH_DELAY_S, self.refresh)

    def refresh(self) -> None:
        """Decides anew which parts are held and what peers may lack."""
        self.refresh_scheduled = False
        self.schedule_proofs()
        self.update_holds()
        if any(map(self.is_evidence, self.crashes_by_part().values())):
            self.on_evidence()

    def schedule_proofs(self) -> None:
        """Schedules the publication of proofs that other entries may lack."""
        if self.proofs_scheduled or not any(self.unpublished_proofs()):
            return
        self.proofs_scheduled = True
        self.call_later(self.proof_delay_s(), self.publish_proofs)

    def publish_proofs(self) -> None:
        """Publishes the proofs that no other entry has published meanwhile."""
        self.proofs_scheduled = False
        now = self.clock.monotonic()
        found = list(self.unpublished_proofs())
        for part, at in found:
            self.add_proof(part, at)
            self.unsent.proven.append(PartProven(part, now - at))
        if found:
            self.update_holds()
            self.on_update()

    def unpublished_proofs(self) -> Iterator[tuple[str, float]]:
        """Yields the parts that workers stood here despite crashes elsewhere.

        A first proof is published also if it is older than the crashes, since a
        part that was never proven is held sooner.
        """
        crashes = collections.Counter(
            (part, worker)
            for request in self.parts_of.values()
            for part in request.parts & self.proven_here.keys()
            for worker, crash in request.crashes.items()
            if part not in self.proven
            or self.proven[part] < crash.at <= self.proven_here[part]
        )
        counts = collections.Counter(part for part, _worker in crashes)
        oldest = self.clock.monotonic() - QUARANTINE_S
        for part, count in counts.items():
            at = self.proven_here[part]
            if count >= CRASHES_TO_PUBLISH_PROOF and at > oldest:
                yield part, at

    def update_holds(self) -> None:
        """Finds the parts that crash workers, and announces changes."""
        now = self.clock.monotonic()
        holds = {}
        if self.parts_of:
            proven = {
                part: max(at, self.proven.get(part, NEVER))
                for part, at in self.proven_here.items()
            }
            proven = {**self.proven, **proven}
            found = find_holds(
                self.parts_of.values(), proven, self.count_workers()
            )
            holds = {hold.key: hold for hold in found}
        self.holds = holds
        for hold in holds.values():
            if hold.since > now:
                self.call_later(hold.since - now, self.announce_holds)
        self.announce_holds()

    def announce_holds(self) -> None:
        """Logs and reports the holds that began or ended early."""
        now = self.clock.monotonic()
        active = {key for key, hold in self.holds.items() if hold.since <= now}
        began = active - self.active
        for key in began:
            hold = self.holds[key]
            log.warning(
                "Parts of prompts quarantined.",
                parts=sorted(hold.parts),
                key=key,
                workers=sorted(hold.workers),
                hold_s=hold.hold_s,
            )
        for key in self.active - active:
            log.info("Parts of prompts released.", key=key)
        changed, self.active = self.active ^ active, active
        for key in changed:
            self.on_change(key)
        if began:
            # Those of which the parts explain crashes are released.
            for content, crashes in self.crashes.items():
                if len(crashes) >= CRASHES_TO_QUARANTINE:
                    self.on_change(content)
            for listener in list(self.hold_listeners):
                listener()

    # Removal.

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
        self.keep_part_crashes(content, later)
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
        self.keep_part_crashes(content, crashes)
        log.info(
            "Crash report refuted.",
            content=content,
            worker=worker,
            left=len(crashes),
        )
        if was_quarantined and len(crashes) < CRASHES_TO_QUARANTINE:
            self.on_change(content)

    def keep_part_crashes(self, content: str, workers: Collection[str]) -> None:
        """Drops the crashes of a content's parts but those of some workers."""
        request = self.parts_of.get(content)
        if request is None:
            return
        for worker in request.crashes.keys() - workers:
            del request.crashes[worker]
        if not request.crashes:
            del self.parts_of[content]

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
        for known in (self.alive, self.proven):
            for name, at in list(known.items()):
                if at <= oldest:
                    del known[name]

    def limit_suspects(self, max_count: int) -> None:
        """Drops the contents with the fewest, then oldest, crashes.

        Those that show which parts of prompts are held are kept longest.
        """
        surplus = len(self.crashes) - max_count
        if surplus <= 0:
            return
        held = [hold.parts for hold in self.holds.values()]

        def priority(content: str) -> tuple[bool, int, float]:
            crashes = self.crashes[content]
            request = self.parts_of.get(content)
            shows = request is not None and any(
                parts <= request.parts for parts in held
            )
            return shows, len(crashes), max(crashes.values())

        self.drop(sorted(self.crashes, key=priority)[:surplus])

    def drop(self, contents: Iterable[str]) -> None:
        """Drops the crashes of contents."""
        for content in list(contents):
            del self.crashes[content]
            self.parts_of.pop(content, None)
        if not self.parts_of:
            self.last_crash_of.clear()
