"""Headings that requests get for lost value, from the logs of all entries."""

import json

import pytest

from rattanpier._internal.commands.losses import losses
from rattanpier._internal.exceptions import CommandError

LINES_BY_REQUEST = {
    "good": [("edge: Answered.", {"first_s": 0.4, "longest_gap_s": 0.1})],
    "pause": [("edge: Answered.", {"first_s": 0.4, "longest_gap_s": 0.9})],
    "slow": [("edge: Answered.", {"first_s": 2.4, "longest_gap_s": 0.1})],
    "after a failure": [
        ("dispatch: Send failed.", {"worker": "w1", "reason": "reset"}),
        ("edge: Answered.", {"first_s": 2.4, "longest_gap_s": 0.1}),
    ],
    "larger": [
        ("dispatch: Answer judged.", {"kept": None, "first_s": 0.5}),
        ("dispatch: First event.", {"worker_s": 2.0}),
        ("edge: Answered.", {"first_s": 2.4, "longest_gap_s": 0.1}),
    ],
    "larger, as foreseen": [
        ("dispatch: Answer judged.", {"kept": None, "first_s": 1.9}),
        ("dispatch: First event.", {"worker_s": 2.0}),
        ("edge: Answered.", {"first_s": 2.4, "longest_gap_s": 0.1}),
    ],
    "doubtful": [
        ("dispatch: Answer judged.", {"kept": "time", "first_s": 9.0}),
        ("edge: Answered.", {"first_s": 0.4, "longest_gap_s": 0.1}),
    ],
    "cut": [("edge: Answered.", {"outcome": "cut: reset", "first_s": 0.4})],
    "plain": [("edge: Answered.", {"outcome": "200", "total_s": 0.2})],
    "plain, slow": [("edge: Answered.", {"outcome": "200", "total_s": 3.0})],
}
EXPECTED_HEADINGS = {
    "failed: cut": 1,
    "late: pause": 1,
    "late: the worker began late": 2,
    "late: a worker failed first": 1,
    "late: a larger model began late, unforeseen": 1,
    "late: a larger model began late": 1,
    "doubtful, kept for time": 1,
}


def write_lines(path):
    second = 0
    with path.open("w") as file:
        for request, events in LINES_BY_REQUEST.items():
            for event, fields in [("dispatch: Sent.", {}), *events]:
                second += 1
                line = {
                    "event": event,
                    "request": request,
                    "route": "r",
                    "node": "e1",
                    "timestamp": f"2026-01-01T00:00:{second:02}.000000Z",
                    "outcome": "ended",
                    "objective_s": 2.0,
                    "allowed_gap_s": 0.8,
                    **fields,
                }
                file.write(f"  1.5 e1 {json.dumps(line)}\n")


def test_each_lost_request_gets_its_heading(tmp_path):
    path = tmp_path / "lines.log"
    write_lines(path)
    data = losses(str(path)).data
    assert data["requests"] == len(LINES_BY_REQUEST)
    assert data["lost"] == sum(EXPECTED_HEADINGS.values())
    (route,) = data["routes"]
    assert route["route"] == "r"
    assert route["headings"] == EXPECTED_HEADINGS


def test_time_steps_include_all_requests(tmp_path):
    path = tmp_path / "lines.log"
    write_lines(path)
    moments = losses(str(path), step_s=10).data["moments"]
    assert len(moments) > 1
    assert sum(each["requests"] for each in moments) == len(LINES_BY_REQUEST)
    lost = sum(sum(each["lost_by"].values()) for each in moments)
    assert lost == sum(EXPECTED_HEADINGS.values())


def test_unreadable_lines_are_skipped(tmp_path):
    path = tmp_path / "lines.log"
    path.write_text('no line\n{"event": "edge: Answered.", "request": "x"}\n{')
    assert losses(str(path)).data["requests"] == 1


@pytest.mark.parametrize("step_s", [0, -1, "x", True, float("nan")])
def test_invalid_time_step_is_rejected(step_s):
    with pytest.raises(CommandError, match="step_s"):
        losses(step_s=step_s)


def test_missing_file_is_named_in_error(tmp_path):
    with pytest.raises(CommandError, match=r"none\.log"):
        losses(str(tmp_path / "none.log"))
