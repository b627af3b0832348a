"""Judge of repeats: what callers sent, and how often and where it arrived.

Each sentence of the operators on repeats is a function over one record, which
yields what is beyond it. Times are seconds on one clock.
"""

import bisect
import collections

import attrs

from tests.lib.part_judge import ALLOWED_SENDS, CONTACT_S, late_sends
from tests.lib.repeat_judge import RepeatBound, worst_window

CONTENT_CRASHES = 3
ALLOWED_RETRIES = 3  # Of a content after its last crash that counts.
ALLOWED_OVER_ATTEMPTS = 3
DEADLINE_SLACK_S = 0.5
ALLOWED_LONG_DEADLINES = 20
LONG_DEADLINE_SHARE = 0.2
REST_SLACK_S = 0.5
ALLOWED_IN_REST = 2


@attrs.frozen
class Sent:
    """A request as its caller sent it.

    Attributes:
      id: Id of the attempt.
      at: When it was sent.
      entry: Name of the entry that it was sent to.
      service: Service of its route.
      left_s: Seconds for which its caller waits.
      stream: Whether its answer is a stream.
      attempts: Most workers that it may run on.
      parts: Parts of its prompt that others may share.
      content: What requests that are the same have in common; may be empty.
    """

    id: str
    at: float
    entry: str = "entry-0"
    service: str = "plain"
    left_s: float = 3.0
    stream: bool = False
    attempts: int = 3
    parts: tuple = ()
    content: str = ""


@attrs.frozen
class Arrival:
    """A request as it reached a worker.

    Attributes:
      id: Id of the attempt.
      at: When it arrived.
      worker: Incarnation of the worker.
      entry: Name of the entry that sent it.
      left_s: Time left that was handed on, in seconds, or None.
      ran: Whether the worker ran it.
    """

    id: str
    at: float
    worker: str
    entry: str = "entry-0"
    left_s: float | None = 3.0
    ran: bool = True


@attrs.frozen
class Crash:
    """The end of a worker, and the ids of the requests that it was running."""

    at: float
    worker: str
    running: frozenset


@attrs.frozen
class Rest:
    """A pause that a worker asked of an entry."""

    worker: str
    entry: str
    at: float
    until: float


@attrs.define
class BudgetRecord:
    """What callers sent and workers got.

    Attributes:
      bound: The bound on the sum of repeats.
      sent: Requests as callers sent them.
      arrivals: Requests as they reached workers.
      crashes: Ends of workers.
      rests: Pauses that workers asked for.
      cuts: When an entry was cut off: entry, worker, since, until.
      disturbed: When an entry did not run or did not reach the store: entry,
        since, until.
      bad_parts: When each part that crashes workers began to.
    """

    bound: RepeatBound
    sent: list = attrs.Factory(list)
    arrivals: list = attrs.Factory(list)
    crashes: list = attrs.Factory(list)
    rests: list = attrs.Factory(list)
    cuts: list = attrs.Factory(list)
    disturbed: list = attrs.Factory(list)
    bad_parts: dict = attrs.Factory(dict)

    def requests(self):
        return {each.id: each for each in self.sent}

    def in_touch(self, entry, at):
        """Whether an entry was undisturbed for the whole contact time."""
        return not any(
            name == entry and since <= at and until >= at - CONTACT_S
            for name, since, until in self.disturbed
        )

    def was_disturbed(self, entry, since, until):
        return any(
            name == entry and began <= until and ended >= since
            for name, began, ended in self.disturbed
        )


def judge_budget(record):
    """Yields the name of each broken sentence, and what was seen."""
    for name, sentence in SENTENCES.items():
        for seen in sentence(record):
            yield name, seen


def judge_sum(record):
    """The repeats of a service in any window, summed over all entries."""
    requests = record.requests()
    for service in {each.service for each in record.sent}:
        ids = {id for id, each in requests.items() if each.service == service}
        worst = worst_window(
            [(id, requests[id].at) for id in ids],
            [(each.id, each.at) for each in record.arrivals if each.id in ids],
            record.bound,
        )
        if worst.excess > 0:
            yield (
                f"{service}: {worst.repeats} repeats from {worst.start:.2f} s "
                f"for {worst.requests} requests, allowed {worst.allowed:.0f}"
            )


def judge_attempts(record):
    """Requests that ran on more workers than their route allows.

    Workers that ended, or were cut off from the sender, meanwhile don't count.
    """
    runs = by_id(each for each in record.arrivals if each.ran)
    over = []
    for sent in record.sent:
        arrivals = runs.get(sent.id, [])
        if len({each.worker for each in arrivals}) <= sent.attempts:
            continue
        last = max(each.at for each in arrivals)
        counted = {
            each.worker for each in arrivals if not is_lost(record, each, last)
        }
        if len(counted) > sent.attempts:
            over.append(sent.id)
    if len(over) > ALLOWED_OVER_ATTEMPTS:
        yield f"{len(over)} requests ran on more workers than allowed: {over}"


def is_lost(record, arrival, until):
    """Whether a worker ended, or was cut off, between an arrival and a time."""
    ended = any(
        crash.worker == arrival.worker and arrival.at <= crash.at <= until
        for crash in record.crashes
    )
    return ended or any(
        (entry, worker) == (arrival.entry, arrival.worker)
        and since <= until
        and ended_at >= arrival.at
        for entry, worker, since, ended_at in record.cuts
    )


def judge_time_left(record):
    """Requests, but streams, that workers got with more time than was left."""
    requests = record.requests()
    too_long, counted = [], 0
    for id, arrivals in by_id(record.arrivals).items():
        sent = requests.get(id)
        if sent is None or sent.stream:
            continue
        first = arrivals[0]
        for each in arrivals:
            if not record.in_touch(each.entry, each.at):
                continue
            late = each is not first and each.at > first.at + DEADLINE_SLACK_S
            long = is_too_long(sent, first, each, late)
            counted += late or long
            if long:
                too_long.append(id)
    count = len(too_long)
    if count > ALLOWED_LONG_DEADLINES and count > LONG_DEADLINE_SHARE * counted:
        yield f"{count} of {counted} sends with more time than was left"


def is_too_long(sent, first, arrival, late):
    """Whether a worker was given more time than the caller waits."""
    if arrival.left_s is None or (
        arrival.left_s > sent.left_s + DEADLINE_SLACK_S
    ):
        return True
    if not late or first.left_s is None:
        return False
    end = max(first.at + first.left_s, sent.at + sent.left_s)
    return arrival.at + arrival.left_s > end + DEADLINE_SLACK_S


def judge_contents(record):
    """Retries of a request that crashes workers after its third crash."""
    requests = record.requests()
    firsts = first_arrivals(record)
    for content in {each.content for each in record.sent} - {""}:
        same = {id for id, each in requests.items() if each.content == content}
        crashes = sorted(
            crash.at for crash in record.crashes if crash.running & same
        )
        if len(crashes) < CONTENT_CRASHES:
            continue
        since = crashes[CONTENT_CRASHES - 1] + CONTACT_S
        late = [
            each
            for each in record.arrivals
            if each.id in same
            and each.at > since
            and record.in_touch(each.entry, each.at)
        ]
        if len(late) > ALLOWED_RETRIES:
            new = sum(each is firsts[each.id] for each in late)
            yield f"{content}: {len(late)} sends too late, {new} of them first"


def judge_parts(record):
    """Requests with a part that crashes workers after its fifth crash."""
    for part, late in late_part_sends(record).items():
        if len(late) > ALLOWED_SENDS:
            yield f"{part}: {len(late)} sends too late, from {late[0]:.2f} s on"


def late_part_sends(record):
    """Returns when requests with a bad part came too late, by part."""
    requests = record.requests()
    found = {}
    for part, bad_from in record.bad_parts.items():
        with_part = {id for id, sent in requests.items() if part in sent.parts}
        crashes = [
            crash.at
            for crash in record.crashes
            if crash.at >= bad_from and crash.running & with_part
        ]
        sends = sorted(
            each.at
            for each in record.arrivals
            if each.id in with_part and record.in_touch(each.entry, each.at)
        )
        found[part] = late_sends(crashes, sends)
    return found


def judge_rests(record):
    """Requests that a worker got from an entry that it asked for a pause."""
    arrivals = collections.defaultdict(list)
    for each in sorted(record.arrivals, key=lambda each: each.at):
        arrivals[each.worker, each.entry].append(each.at)
    for rest in record.rests:
        times = arrivals[rest.worker, rest.entry]
        first = bisect.bisect_right(times, rest.at + REST_SLACK_S)
        count = bisect.bisect_left(times, rest.until) - first
        if count > ALLOWED_IN_REST and not record.was_disturbed(
            rest.entry, rest.at, rest.until
        ):
            yield f"{rest.worker} got {count} requests of {rest.entry} in rest"


def by_id(arrivals):
    """Returns arrivals by id, each in order of time."""
    found = collections.defaultdict(list)
    for each in sorted(arrivals, key=lambda each: each.at):
        found[each.id].append(each)
    return found


def first_arrivals(record):
    return {id: found[0] for id, found in by_id(record.arrivals).items()}


SENTENCES = {
    "sum": judge_sum,
    "attempts": judge_attempts,
    "time left": judge_time_left,
    "content": judge_contents,
    "part": judge_parts,
    "rest": judge_rests,
}
