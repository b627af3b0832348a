"""Recorded traces of past failures replay to their expected outcomes."""

import pathlib

import pytest

from rattanpier._internal.commands.replay import replay, replay_file
from rattanpier._internal.commands.result import ExitCode
from rattanpier._internal.exceptions import CommandError
from rattanpier._internal.models.settings import NodeSettings
from rattanpier._internal.routing.plan import make_plan
from rattanpier._internal.trace.record import open_recorder
from tests.lib.builders import LARGE, SMALL, build_configuration, build_request
from tests.lib.builders import configuration_text as make_text

TRACES = sorted((pathlib.Path(__file__).parents[1] / "traces").glob("*.jsonl"))


@pytest.mark.parametrize("trace", TRACES, ids=lambda path: path.stem)
def test_trace_replays_to_expected_outcomes(trace):
    result = replay(str(trace), str(trace.with_suffix(".toml")))
    assert [one for one in result.data if one["decided"] != one["stated"]] == []
    assert result.code is ExitCode.DONE


def test_six_traces_are_shipped():
    assert len(TRACES) == 6


def test_different_outcome_fails(tmp_path):
    stated = TRACES[0].with_suffix(".toml").read_text()
    other = tmp_path / "other.toml"
    other.write_text(stated.replace("started", "stopped"))
    assert replay(str(TRACES[0]), str(other)).code is ExitCode.FAILED


def test_missing_outcome_fails(tmp_path):
    short = tmp_path / "short.toml"
    short.write_text('outcomes = ["started"]\n')
    assert replay(str(TRACES[0]), str(short)).code is ExitCode.FAILED


def test_invalid_trace_file_is_rejected(tmp_path):
    path = tmp_path / "trace.jsonl"
    path.write_text("{}\n")
    with pytest.raises(CommandError):
        replay(str(path), str(TRACES[0].with_suffix(".toml")))


async def test_recorded_trace_replays_to_same_decisions(tmp_path):
    path = tmp_path / "trace.jsonl"
    recorder = open_recorder(str(path), NodeSettings("entry-1", "a"))
    configuration = build_configuration()
    recorder.record_revision(configuration, make_text(["http://127.0.0.1:1"]))
    request = build_request(body={"secret": "words"}, pinned=LARGE)
    for braked in ([], [LARGE], [SMALL, LARGE]):
        plan = make_plan(configuration, request, braked)
        recorder.record_plan(request, plan, braked)
    await recorder.close()
    assert "words" not in path.read_text()
    assert replay_file(str(path)) == [
        "started",
        "revision 1",
        f"steps {LARGE}",
        f"braked {LARGE}",
        f"steps {SMALL}, pin lost {LARGE}",
        f"braked {LARGE} {SMALL}",
        "refused no_version",
    ]
