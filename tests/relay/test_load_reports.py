"""Load reports of workers are used as far as their figures are valid."""

import pytest
import structlog.testing

from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.platform.upstream import (
    decode_answer,
    decode_load,
    unreadable_load,
)
from rattanpier._internal.relay.connection import WireHead
from rattanpier._internal.relay.load import Loads
from tests.lib.clock import ManualClock


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", ReportedLoad(3, 0, 8)),
        ("3,0,8,120", ReportedLoad(3, 0, 8, 1.2)),
        (" 3, 1 ,8, 90, 5", ReportedLoad(3, 1, 8, 0.9)),
    ],
)
def test_further_figures_do_not_discard_a_load_report(text, load):
    head = WireHead(200, (("x-instance-load", text),), framed=True)
    assert decode_answer(head).load == load
    assert decode_answer(head).unreadable_load == ""


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0", ReportedLoad(3, 0, 0)),
        ("3,0,x,120", ReportedLoad(3, 0, 0, 1.2)),
        ("3,0,8,-5", ReportedLoad(3, 0, 8)),
        ("3,0,8,0", ReportedLoad(3, 0, 8)),
        ("3,0,8,1e9", ReportedLoad(3, 0, 8)),
        ("3,0,8,99999999", ReportedLoad(3, 0, 8)),
        ("-1,0,8", None),
        ("3,,8", None),
        ("3", None),
        ("", None),
        ("²,0,8", None),
    ],
)
def test_invalid_figures_are_not_used_but_the_valid_ones_are(text, load):
    assert decode_load(text) == load
    assert unreadable_load(text) == text


def test_a_missing_load_report_is_no_error():
    assert decode_load(None) is None
    assert unreadable_load(None) == ""


def test_unreadable_reports_of_a_worker_are_logged_once():
    loads = Loads(ManualClock())
    with structlog.testing.capture_logs() as lines:
        for text in ("", "3,0,8,x", "3,0,8,y"):
            loads.record_unreadable("w1", text)
        loads.record_unreadable("w2", "?")
    assert [(line["worker"], line["text"]) for line in lines] == [
        ("w1", "3,0,8,x"),
        ("w2", "?"),
    ]
