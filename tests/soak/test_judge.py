"""The checks of the soak test detect each kind of violation."""

import attrs
import pytest

from rattanpier._internal.standin.platform_worker import WorkerRun
from tests.lib.platform_site import KEY
from tests.soak.callers import CallRecord
from tests.soak.faults import Fault, Kind, draw_faults
from tests.soak.judge import judge
from tests.soak.manifests import (
    ManifestRun,
    Probe,
    Version,
    judge_manifests,
)
from tests.soak.site import Run, TimedWorker

SIGNED = {"X-Response-Signature": "w0.1"}


def made_run(**more):
    run = Run(1, None, more.pop("faults", []))
    run.workers = [TimedWorker("w0"), TimedWorker("w1")]
    run.calls = [
        CallRecord("1", "/unsafe/x", 1.0, "e", 200, b"w0 ran 1", SIGNED, True)
    ]
    run.workers[0].runs.append(made("1"))
    run.workers[0].times.append(1.0)
    for name, value in more.items():
        setattr(run, name, value)
    return run


def made(id, **headers):
    found = {"x-attempt-id": id, "x-tenant": "acme", **headers}
    return WorkerRun("POST", "/unsafe/x", found, b"")


def test_run_without_faults_has_no_violations():
    assert not list(judge(made_run()))


def run_twice(run):
    run.workers[1].runs.append(made("1"))


def run_unasked(run):
    run.workers[1].runs.append(made("9"))


def run_with_key(run):
    run.workers[0].runs = [made("1", authorization=KEY)]


def run_for_another(run):
    run.workers[0].runs = [made("1", **{"x-tenant": "other"})]


def refuse_what_ran(run):
    run.calls[0].status = 503


def give_another_answer(run):
    run.calls[0].body = b"w0 ran 2"


def lose_an_event(run):
    body = b"".join(b"id: %d\n\n" % number for number in (1, 2, 4, 5))
    run.calls[0].path, run.calls[0].body = "/chat/x", body


def use_one_that_left(run):
    run.drained = [("w0", 1.0)]
    run.workers[0].times.append(9.0)


def use_one_in_a_drained_domain(run):
    run.drained_domains = [("zone-a", 1.0, 9.5)]
    run.workers[0].times.append(9.0)


def hurry_a_cold_one(run):
    run.cold = [("w0", 1.0, 9.0)]
    run.workers[0].times += [5.0 + 0.1 * number for number in range(6)]


def hurry_a_limited_one(run):
    run.limited = [("w0", 1.0, 9.0)]
    run.workers[0].times += [5.0 + 0.1 * number for number in range(12)]


def use_one_that_said_it_left(run):
    run.workers[0].leave_announced_at = 1.0
    run.workers[0].times.append(9.0)


def disturb_one_that_rests(run):
    run.rested = [("w0", 1.0, 9.0, 60)]


def cut_at_a_stop(run):
    run.stopped = [("e", 1.0)]
    run.calls[0].complete = False
    run.calls.append(made_run().calls[0])


def end_by_itself(run):
    run.unexpected_ends = [("entry-0", 1)]


def stay_behind(run):
    run.versions, run.version = {"entry-0": 1}, 2


def serve_nobody_after(run):
    run.calls[0].status = 502


@attrs.define
class LoggedEntry:
    """An entry that logged that it closed the reader of a request."""

    request: str
    reason: str = "total"
    total_bytes: int = 2_000_000

    def logged(self, event):
        assert event == "readers: Closed a slow reader."
        return [{**attrs.asdict(self), "limit_bytes": 1_500_000}]


def close_one_that_reads_at_once(run):
    run.entries = [LoggedEntry("1")]


def make_slow(run):
    """Makes the first call slow, and adds one that is not."""
    run.calls[0].slow = True
    signed = {"X-Response-Signature": "w0.2"}
    run.calls.append(
        CallRecord("2", "/safe/x", 1.0, "e", 200, b"w0 ran 2", signed, True)
    )


def exceed_the_limit_by_far(run):
    make_slow(run)
    run.entries = [LoggedEntry("1", total_bytes=9_000_000)]


def close_below_the_limit(run):
    make_slow(run)
    run.entries = [LoggedEntry("1", total_bytes=1_000_000)]


def cut_a_slow_reader(run):
    make_slow(run)
    run.calls[0].complete, run.calls[0].cut = False, True


@pytest.mark.parametrize(
    "violate",
    [
        run_twice,
        run_unasked,
        run_with_key,
        run_for_another,
        refuse_what_ran,
        give_another_answer,
        lose_an_event,
        use_one_that_left,
        use_one_in_a_drained_domain,
        hurry_a_cold_one,
        hurry_a_limited_one,
        use_one_that_said_it_left,
        disturb_one_that_rests,
        cut_at_a_stop,
        end_by_itself,
        stay_behind,
        serve_nobody_after,
        close_one_that_reads_at_once,
        exceed_the_limit_by_far,
        close_below_the_limit,
        cut_a_slow_reader,
    ],
)
def test_each_violation_is_detected(violate):
    run = made_run()
    violate(run)
    assert list(judge(run))


def test_slow_reader_that_was_closed_beyond_the_limit_is_no_violation():
    run = made_run()
    cut_a_slow_reader(run)
    run.entries = [LoggedEntry("1")]
    assert not list(judge(run))


def test_drain_during_an_unplanned_fault_is_not_checked():
    fault = Fault(1.0, Kind.KILL, 0, 1.0)
    run = made_run(faults=[fault])
    use_one_that_left(run)
    assert not list(judge(run))


def test_fault_schedule_is_reproducible():
    assert draw_faults(7, 3, 6) == draw_faults(7, 3, 6)
    assert draw_faults(7, 3, 6) != draw_faults(8, 3, 6)


def manifest_run(probe, **more):
    run = ManifestRun(1, None, **more)
    run.versions = [
        Version(1, 0.0, {"moved": "plain"}),
        Version(2, 10.0, {"moved": "other", "added": "plain"}),
        Version(5, 12.5, {"moved": "other"}),
    ]
    run.probes = [probe]
    return run


@pytest.mark.parametrize(
    ("route", "sent_at", "status", "served_by", "late"),
    [
        ("moved", 11.9, 200, "plain", False),
        ("moved", 12.1, 200, "plain", True),
        ("moved", 12.1, 200, "other", False),
        ("moved", 12.1, 404, None, True),
        ("moved", 12.1, 503, None, False),
        ("added", 12.1, 404, None, False),
        ("added", 14.4, 200, "plain", False),
        ("added", 14.6, 200, "plain", True),
    ],
)
def test_a_probe_decided_by_an_outdated_manifest_is_found(
    route, sent_at, status, served_by, late
):
    probe = Probe(3, route, sent_at, sent_at + 0.1, status, served_by)
    assert bool(list(judge_manifests(manifest_run(probe)))) == late


@pytest.mark.parametrize(
    ("fault", "late"),
    [
        ((3, 8.0, 9.2), False),
        ((3, 8.0, 9.0), True),
        ((2, 8.0, 9.2), True),
        ((None, 8.0, 9.2), False),
    ],
)
def test_only_an_entry_in_touch_is_held_to_the_bound(fault, late):
    probe = Probe(3, "moved", 12.1, 12.2, 200, "plain")
    run = manifest_run(probe, out_of_touch=[fault])
    assert bool(list(judge_manifests(run))) == late
