"""Checks the guarantees against the records of callers and workers."""

from tests.lib.part_judge import ALLOWED_SENDS, late_sends
from tests.lib.platform_site import KEY, event_numbers
from tests.lib.warm_fleet import max_within
from tests.soak.faults import Kind

PROMISES = (408, 421, 429, 503)
EVENTS = 5
# Time until a stop or a drain is known everywhere. The platform's bound is 2 s;
# the rest allows for a busy test machine.
DRAIN_S = 3.5
CALM_S = 3.5  # Before and after a stop, no other fault may explain a cut.
# Most requests of a cold worker in any second: rate, overshoot and tolerance.
COLD_PER_S, COLD_OVERSHOOT, COLD_TOLERANCE = 2, 1.5, 2
COLD_BOUND = COLD_PER_S * COLD_OVERSHOOT + COLD_TOLERANCE
# Most requests of a worker with a stated limit in any four seconds.
LIMIT_PER_S, LIMIT_WINDOW_S = 1.0, 4.0
LIMIT_BOUND = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5
PROPAGATION_S = 1.0  # Until all entries know what one worker told one of them.
REST_S = 2.0
# Requests of one entry in flight when a worker first asks for a pause, those
# that the rule allows during the pause, and as many after its end.
RESTING_SENDS = 6
# An answer of the soak in full, beside a piece read from a worker's connection.
MAX_OVER_LIMIT_BYTES = 1_500_000
# With these, entries may not know of crashes, or workers end otherwise.
DISTURBING_KINDS = {
    Kind.WORKER_PATH,
    Kind.WORKER,
    Kind.FREEZE,
    Kind.KILL,
    Kind.STOP,
}
SERVED_SHARE = 0.9  # Of requests sent after recovery from all faults.


def judge(run):
    """Yields one sentence for each violated guarantee."""
    yield from judge_runs(run)
    yield from judge_answers(run)
    yield from judge_slow_readers(run)
    yield from judge_drains(run)
    yield from judge_drained_domains(run)
    yield from judge_cold_workers(run)
    yield from judge_limits(run)
    yield from judge_words_of_leaving(run)
    yield from judge_rests(run)
    yield from judge_stops(run)
    yield from judge_crashing_part(run)
    yield from judge_end(run)


def judge_runs(run):
    calls = {each.id: each for each in (*run.calls, *run.crashing_calls)}
    counts = {}
    for worker in run.workers:
        for each in worker.runs:
            if each.id not in calls:
                yield f"{each.id} ran, and nobody asked"
                continue
            counts[each.id] = counts.get(each.id, 0) + 1
            if each.headers.get("x-tenant") != "acme":
                yield f"{each.id} ran for {each.headers.get('x-tenant')!r}"
            if KEY in str(each.headers):
                yield f"{each.id} ran with the caller's key"
    for id, count in counts.items():
        if count > 1 and calls[id].path == "/unsafe/x":
            yield f"{id} may run once and ran {count} times"
        if calls[id].path == "/unsafe/x" and calls[id].status in PROMISES:
            yield f"{id} was answered {calls[id].status} and ran"


def judge_answers(run):
    for each in run.calls:
        if each.status != 200 or not each.complete:
            continue
        if each.path == "/chat/x":
            found = event_numbers(each.body)
            if found != list(range(1, EVENTS + 1)):
                yield f"{each.id} got events {found} as a whole answer"
        elif each.body.split(b" ran ")[-1].decode() != each.id:
            yield f"{each.id} got {each.body!r}"
        receipt = each.headers.get("X-Response-Signature", "")
        if not receipt.endswith(each.id):
            yield f"{each.id} got the receipt {receipt!r}"


def judge_slow_readers(run):
    """A ready answer is cut for its reader only beyond a limit, and logged.

    No caller that reads at once is closed for what others hold.
    """
    lines = [
        line
        for entry in run.entries
        for line in entry.logged("readers: Closed a slow reader.")
    ]
    closed = {line["request"] for line in lines}
    calls = {each.id: each for each in run.calls}
    for line in lines:
        call = calls.get(line["request"])
        if call is None or not call.slow:
            yield f"{line['request']} reads at once and was closed"
        if line["reason"] == "total":
            over = line["total_bytes"] - line["limit_bytes"]
            if not 0 < over <= MAX_OVER_LIMIT_BYTES:
                yield f"{line['request']} was closed {over} bytes beyond"
    for each in run.calls:
        if not each.cut or each.status != 200 or each.id in closed:
            continue
        if not run.has_unplanned_fault(each.at, each.ended):
            yield f"{each.id} read slowly and was cut without a reason"


def judge_drains(run):
    for worker, at in run.drained:
        if run.has_unplanned_fault(at, at + DRAIN_S):
            continue
        late = [when for when in run.run_times(worker) if when > at + DRAIN_S]
        if late:
            yield f"{worker} got {len(late)} requests after it left"


def judge_drained_domains(run):
    for domain, since, until in run.drained_domains:
        if run.has_unplanned_fault(since, until):
            continue
        for worker in run.workers_of(domain):
            times = run.run_times(worker)
            late = [when for when in times if since + DRAIN_S < when < until]
            if late:
                yield f"{worker} got {len(late)} requests in drained {domain}"


def judge_cold_workers(run):
    """Entries must know of a cold worker within a second, in any state."""
    for worker, since, until in run.cold:
        if run.has_unplanned_fault(since, until):
            continue
        times = run.run_times(worker)
        known = [when for when in times if since + 1.0 < when < until]
        most = max_within(known)
        if most > COLD_BOUND:
            yield f"{worker} got {most} requests in a second while cold"


def judge_limits(run):
    for worker, since, until in run.limited:
        if run.has_unplanned_fault(since, until):
            continue
        times = run.run_times(worker)
        known = [when for when in times if since + PROPAGATION_S < when < until]
        most = max_within(known, LIMIT_WINDOW_S)
        if most > LIMIT_BOUND:
            yield f"{worker} got {most} requests while it named a limit"


def judge_words_of_leaving(run):
    """The bound counts from the first answer that announced the leave."""
    for worker in run.workers:
        at = worker.leave_announced_at
        if at is None or run.has_unplanned_fault(at, at + DRAIN_S):
            continue
        late = [when for when in worker.times if when > at + DRAIN_S]
        if late:
            yield f"{worker.id} got {len(late)} requests after it said it left"


def judge_rests(run):
    for worker, since, until, shed in run.rested:
        if run.has_unplanned_fault(since, until):
            continue
        if shed > RESTING_SENDS * len(run.entries):
            yield f"{worker} got {shed} requests while it wanted rest"


def judge_crashing_part(run):
    """Few requests with a part reach workers long after its fifth crash."""
    kinds = {fault.kind for fault in run.faults}
    if kinds & DISTURBING_KINDS:
        return
    crashing = {each.id for each in run.crashing_calls}
    sends = [
        at
        for worker in run.workers
        for id, at in worker.started
        if id in crashing
    ]
    late = len(late_sends(run.crash_times, sends))
    if late > ALLOWED_SENDS:
        yield f"{late} requests with a part that crashes workers ran too late"


def judge_stops(run):
    """A planned stop without other faults must not truncate an answer."""
    for entry, at in run.stopped:
        if run.has_unplanned_fault(at - CALM_S, at + CALM_S):
            continue
        for each in run.calls:
            cut = each.status == 200 and not each.complete
            near = at - 1.0 < each.at < at + 1.0
            if each.entry == entry and near and cut:
                yield f"{each.id} was cut by a planned stop"


def judge_end(run):
    for name, code in run.unexpected_ends:
        yield f"{name} ended by itself with {code}"
    last = [
        each
        for each in run.calls
        if each.at > run.recovered_at and not each.slow
    ]
    served = sum(each.status == 200 and each.complete for each in last)
    if not last or served < SERVED_SHARE * len(last):
        statuses = sorted({each.status for each in last})
        yield f"after the faults {served} of {len(last)} served: {statuses}"
    for name, version in run.versions.items():
        if version != run.version:
            yield f"{name} has version {version}, not {run.version}"
