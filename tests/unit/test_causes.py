"""Causes of request ends, determined from log lines."""

import itertools
import json

import pytest

from rattanpier._internal.commands.result import ExitCode
from rattanpier._internal.commands.trace_request import trace_request, why
from rattanpier._internal.exceptions import CommandError

TIMES = itertools.count(1)


def line(event, node="e1", **fields):
    at = f"2026-12-02T10:00:{next(TIMES):05.2f}Z"
    return json.dumps({"event": event, "node": node, "timestamp": at, **fields})


def sent(id, worker="w1", **more):
    return line("dispatch: Sent.", request=id, worker=worker, **more)


@pytest.fixture
def write_log(tmp_path):
    def write(*lines):
        path = tmp_path / "lines"
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    return write


def test_refusal_states_reason_and_whether_request_ran(write_log):
    path = write_log(
        sent("r1"),
        line(
            "dispatch: Send failed.",
            request="r1",
            worker="w1",
            reason="reset",
            not_run=False,
        ),
        line(
            "edge: Refused.",
            request="r1",
            code="upstream_failed",
            status=502,
            reason="reset",
            not_run=False,
        ),
    )
    data = trace_request("r1", path).data
    assert data["cause"]["code"] == "refused: upstream_failed"
    assert "may have run" in data["cause"]["sentence"]
    assert "w1, which failed (reset)" in data["cause"]["sentence"]
    assert len(data["lines"]) == 3


def test_worker_failures_are_counted(write_log):
    path = write_log(
        sent("r1"),
        line("dispatch: Worker failed.", request="r1", worker="w1", status=500),
        sent("r1", "w2"),
        line("dispatch: Worker failed.", request="r1", worker="w2", status=500),
        line("edge: Answered.", request="r1", outcome="500", total_s=0.1),
    )
    cause = trace_request("r1", path).data["cause"]
    assert cause["code"] == "worker failed"
    assert cause["sentence"].startswith("2 workers ran it")


@pytest.mark.parametrize(
    ("after", "code"),
    [
        ([], "no end"),
        ([("main: Started.", "e2")], "no end"),
        ([("main: Started.", "e1")], "process ended"),
        (
            [("main: Stopping.", "e1"), ("main: Started.", "e1")],
            "cut by a planned stop",
        ),
    ],
)
def test_unfinished_request_is_explained_by_its_process(write_log, after, code):
    path = write_log(
        line("main: Started."),
        sent("r1"),
        *(line(event, node) for event, node in after),
    )
    assert trace_request("r1", path).data["cause"]["code"] == code


def test_earlier_planned_stop_is_not_reported_as_cause(write_log):
    path = write_log(
        line("main: Started."),
        line("main: Stopping."),
        line("main: Started."),
        sent("r1"),
        line("main: Started."),
    )
    cause = trace_request("r1", path).data["cause"]
    assert cause["code"] == "process ended"


def test_lines_of_several_files_are_sorted_by_time(write_log, tmp_path):
    first, second = sent("r1"), sent("r1", "w2")
    end = line("edge: Answered.", request="r1", outcome="ended", total_s=1.0)
    other = tmp_path / "other"
    other.write_text(f"  12.5 e2 {second}\nno line at all\n")
    data = trace_request("r1", write_log(end, first), str(other)).data
    workers = [each["fields"].get("worker") for each in data["lines"]]
    assert workers == ["w1", "w2", None]
    assert data["cause"]["failed"] is False


def test_causes_are_counted_with_first_request_id(write_log):
    lines = [
        line(
            "edge: Refused.", request=f"r{number}", code="no_worker", status=503
        )
        for number in range(3)
    ]
    lines.append(line("edge: Caller left.", request="r9", total_s=2.0))
    lines.append(line("edge: Answered.", request="ok", outcome="200"))
    result = why(write_log(*lines))
    assert result.code is ExitCode.FAILED
    assert result.data["requests"] == 5
    counts = [
        (each["cause"], each["requests"], each["first_id"])
        for each in result.data["causes"]
    ]
    assert counts == [("refused: no_worker", 3, "r0"), ("caller left", 1, "r9")]


def test_conditions_that_excluded_workers_are_named(write_log):
    path = write_log(
        sent("r1", left_out={"leaving": 2, "resting": 1}),
        line(
            "edge: Refused.",
            request="r1",
            code="no_worker",
            status=503,
            reason="no worker takes work: rate_limited 3, resting 1",
            not_run=True,
        ),
    )
    cause = trace_request("r1", path).data["cause"]
    assert cause["code"] == "refused: no_worker, rate_limited, resting"
    assert "w1 (left out: 2 leaving, 1 resting)" in cause["sentence"]


def test_requests_outside_time_window_are_excluded(write_log):
    early = line("edge: Caller left.", request="r1", total_s=2.0)
    late = line("edge: Caller left.", request="r2", total_s=2.0)
    since = json.loads(late)["timestamp"]
    path = write_log(early, late)
    assert why(path, since=since).data["failed"] == 1
    assert why(path, until=since).data["causes"][0]["first_id"] == "r1"


def test_missing_request_or_file_is_an_error(write_log):
    with pytest.raises(CommandError, match="no line is about request"):
        trace_request("r1", write_log(sent("r2")))
    with pytest.raises(CommandError, match="can't be read"):
        why("/no/such/file")


def test_store_restoration_is_reported_once(write_log):
    restored = "store: Store came back from an older copy."
    path = write_log(
        line(restored, node="e2", era=2, before=1, source="peer"),
        line(restored, era=2, before=1, source="store"),
        sent("r1"),
        line("edge: Caller left.", request="r1", total_s=0.1),
    )
    for result in (why(path), trace_request("r1", path)):
        assert list(result.data["eras"]) == [2]
        assert "older copy" in str(result.shown[-1])
    assert why(path).shown[-1].count("older copy") == 1


def in_force(version, node, source="update", **more):
    return line(
        "state: Routes in force.",
        node=node,
        version=version,
        source=source,
        **more,
    )


@pytest.mark.parametrize("refused", [True, False])
def test_a_request_names_the_routes_that_decided_and_who_had_newer_ones(
    write_log, refused
):
    first = in_force(42, "e2", "checkpoint")
    newer = in_force(45, "e1", told_by="e3")
    for _ in range(2):
        next(TIMES)
    end = (
        line("edge: Refused.", "e2", request="r1", code="bad_key", table=42)
        if refused
        else sent("r1", node="e2", table=42)
    )
    path = write_log(first, newer, end, in_force(46, "e1"))
    data = trace_request("r1", path).data["table"]
    assert (data["version"], data["behind_s"]) == (42, 3.0)
    assert data["change"]["source"] == "checkpoint"
    assert (data["newer"]["version"], data["newer"]["told_by"]) == (45, "e3")
    assert why(path).data["late_tables"] == 1


def test_a_request_decided_by_the_newest_routes_is_not_late(write_log):
    path = write_log(in_force(42, "e2"), sent("r1", node="e2", table=42))
    assert trace_request("r1", path).data["table"]["newer"] is None
    assert why(path).data["late_tables"] == 0


def test_the_steps_of_a_roll_out_are_told_with_their_evidence(write_log):
    order = {"service": "engine", "version": "v2", "order": 7}
    counts = {
        "sent": 21,
        "answered": 7,
        "bad": 0,
        "abandoned": 14,
        "running": 0,
    }
    path = write_log(
        line(
            "rollout: Roll-out judged.",
            **order,
            verdict="unknown",
            reason="sends events slower",
            route="",
            new=counts,
            old=counts,
        ),
        line(
            "rollout: Roll-out enters its next phase.",
            **order,
            phase="extending",
            age=0.5,
            verdict="unknown",
            reason="sends events slower",
            new=counts,
            old=counts,
        ),
        line(
            "rollout: New version is worse.",
            **order,
            route="chat",
            reason="sends events slower",
            old_bad=2,
            old_total=90,
            new_bad=4,
            new_total=4,
            new=counts,
            old=counts,
        ),
    )
    judged, step, stopped = why(path).data["rollouts"]
    assert "engine v2" in judged
    assert "unknown (sends events slower)" in judged
    assert "new 21 sent, 7 answered, 0 bad, 14 abandoned" in judged
    assert "extending at 0.5 of its time" in step
    assert "4 of 4 answers bad, old 2 of 90" in stopped


@pytest.mark.parametrize(
    ("unreachable", "reason"),
    [
        (True, "it reached no worker of portal"),
        (False, "its part of the brittle workers of portal was in use"),
    ],
)
def test_a_forwarded_request_names_both_entries_and_why(
    write_log, unreachable, reason
):
    forwarded = {"request": "r1", "service": "portal"}
    path = write_log(
        line(
            "forwarding: Forwarded.",
            entry="e2",
            unreachable=unreachable,
            **forwarded,
        ),
        line(
            "forwarding: Forwarding failed.",
            request="r1",
            entry="e2",
            reason="busy",
            not_run=True,
        ),
        line(
            "forwarding: Forwarded.",
            entry="e3",
            unreachable=unreachable,
            **forwarded,
        ),
        sent("r1", node="e3"),
        line("edge: Answered.", request="r1", outcome="200", total_s=0.1),
    )
    sentence = trace_request("r1", path).data["cause"]["sentence"]
    assert f"forwarded by e1 to e2 ({reason}), which failed (busy)" in sentence
    assert f"forwarded by e1 to e3 ({reason}), then sent to w1" in sentence
