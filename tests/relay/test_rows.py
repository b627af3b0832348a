"""Decoding of rows that others write to the store, and of peers' messages.

Invalid input must neither raise nor yield a worker; registrations of several
incarnations of a worker must be told apart.
"""

import enum
import json
import zlib

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.feed import FeedRow, Page, UnreadableRow
from rattanpier._internal.models.rollout_order import RolloutRecord
from rattanpier._internal.models.route_table import RouteTable
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.platform import feeds, manifest, upstream
from rattanpier._internal.platform.registrations import decode_worker
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.evidence import Evidence
from rattanpier._internal.relay.exposure import ExposureBound
from rattanpier._internal.relay.fleet import EntryState
from rattanpier._internal.relay.queue_watch import QueueUpdate
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.snapshots import Snapshot
from rattanpier._internal.relay.state import RelayState
from rattanpier._internal.relay.store import StoreHealth
from rattanpier._internal.relay.updates import (
    KnownStates,
    StateDiff,
    StateUpdate,
)
from rattanpier._internal.relay.watch import TableUpdate
from rattanpier._internal.utils.codec import decode, unpack
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import ManualClock
from tests.lib.platform_site import manifest as manifest_document
from tests.lib.relay_parts import at

VALID = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 3,
    "born": 1790000000000,
}
MISSING = enum.Enum("Missing", "FIELD").FIELD
# Only characters that matter to the parsers: drawing from all of Unicode takes
# seconds.
TEXT = st.text(alphabet='a1٨:.[{"', max_size=8)


def documents(scalars):
    """Returns a strategy for documents of scalars, lists and objects."""
    return st.recursive(
        st.none() | st.booleans() | st.floats() | TEXT | scalars,
        lambda inner: st.lists(inner) | st.dictionaries(TEXT, inner),
        max_leaves=5,
    )


JSON = documents(st.integers())
# MessagePack has 64-bit integers, and bytes.
MSGPACK = documents(st.integers(-(2**63), 2**64 - 1) | st.binary())


def row(key, document, version=1, era=1):
    return FeedRow(key, json.dumps(document).encode(), at(version, era))


def changed(**fields):
    document = {**VALID, **fields}
    return {
        name: value for name, value in document.items() if value is not MISSING
    }


def page(*rows, version=1, era=1, whole=False):
    return Page(list(rows), at(version, era), 0.0, whole)


@pytest.fixture
def state():
    clock = ManualClock()
    rollouts = Rollouts(ExposureBound(0.1), 5.0, clock)
    metrics = Metrics()
    return RelayState(
        WorkerDirectory(clock),
        rollouts,
        StoreHealth(clock, 1.2),
        feeds.operator_row_decoder(metrics),
        feeds.worker_row_decoder(metrics),
    )


def collect_deregistered(state):
    """Returns a list that collects the ids of deregistered workers."""
    found = []
    state.deregistered.subscribe(found.append)
    return found


INVALID = [{field: MISSING} for field in VALID if field != "born"] + [
    {"slots": "8"},
    {"slots": [8]},
    {"slots": -1},
    {"slots": 0},
    {"slots": True},
    {"slots": 8.5},
    {"slots": None},
    {"zone": 7},
    {"zone": None},
    {"version": {"v": 1}},
    {"version": ["v1"]},
    {"version": 1},
    {"state": "resting"},
    {"state": 1},
    {"state": None},
    {"service": ["s"]},
    {"service": 5},
    {"service": ""},
    {"address": "80"},
    {"address": ":80"},
    {"address": "10.0.0.1"},
    {"address": "10.0.0.1:"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:99999"},
    {"address": "10.0.0.1:٨٠"},
    {"address": "10.0.0.1:+80"},
    {"address": "somewhere:80"},
    {"address": ["10.0.0.1", 80]},
    {"born": "1790000000000"},
    {"born": 1.5},
    {"born": True},
    {"born": [1]},
    {"sequence": "3"},
    {"sequence": 3.5},
    {"coldRemainingMs": "0"},
]


@pytest.mark.parametrize("fields", INVALID, ids=str)
def test_registration_with_invalid_field_is_ignored(state, fields):
    state.apply_worker_page(page(row("good", VALID)), False)
    state.apply_worker_page(page(row("bad", changed(**fields))), False)
    assert [each.id for each in state.directory.accepting_workers("s")] == [
        "good"
    ]


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"{", b"[" * 60000, b"9" * 60000, b"null", b"7"]
)
def test_row_that_is_not_valid_json_is_ignored(state, value):
    state.apply_worker_page(page(row("good", VALID)), False)
    state.apply_worker_page(page(FeedRow("bad", value, at(2))), False)
    assert [each.id for each in state.directory.accepting_workers("s")] == [
        "good"
    ]


def test_unknown_fields_are_ignored():
    worker = decode_worker(row("w", {**VALID, "phase": ["any"]}))
    assert (worker.host, worker.port, worker.slots) == ("10.0.0.1", 80, 8)


def test_worker_without_start_time_gets_requests(state):
    state.apply_worker_page(page(row("w", changed(born=MISSING))), False)
    assert state.directory.accepts_requests("w")


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("after_outage", [False, True])
def test_worker_whose_row_turns_unreadable_is_removed_at_once(
    state, whole, after_outage
):
    state.apply_worker_page(page(row("w", VALID), row("other", VALID)), False)
    deregistered = collect_deregistered(state)
    rows = [row("w", changed(slots="8"), 2), row("other", VALID, 2)]
    state.apply_worker_page(page(*rows, version=2, whole=whole), after_outage)
    assert [each.id for each in state.directory.accepting_workers("s")] == [
        "other"
    ]
    assert deregistered == ["w"]


def test_worker_whose_row_is_readable_again_gets_requests(state):
    state.apply_worker_page(page(row("w", VALID)), False)
    state.apply_worker_page(page(row("w", changed(slots="8"), 2)), False)
    state.apply_worker_page(page(row("w", VALID, 3)), False)
    assert state.directory.accepts_requests("w")


# A worker that restarts under the same id.


def test_state_of_previous_incarnation_is_forgotten(state):
    state.apply_worker_page(page(row("w", VALID)), False)
    deregistered = collect_deregistered(state)
    state.apply_worker_page(page(row("w", changed(sequence=4), 2)), False)
    assert deregistered == []
    again = changed(born=1790000000007, sequence=1)
    state.apply_worker_page(page(row("w", again, 3)), False)
    assert deregistered == ["w"]
    assert state.directory.accepts_requests("w")


def test_incarnation_with_earlier_start_time_is_a_new_one(state):
    state.apply_worker_page(page(row("w", VALID)), False)
    deregistered = collect_deregistered(state)
    earlier = changed(born=VALID["born"] - 1, sequence=1)
    state.apply_worker_page(page(row("w", earlier, 2)), False)
    assert deregistered == ["w"]


@pytest.mark.parametrize("whole", [False, True])
def test_late_row_does_not_revive_previous_incarnation(state, whole):
    again = changed(born=1790000000007, address="10.0.0.2:81")
    state.apply_worker_page(page(row("w", again, 5)), False)
    deregistered = collect_deregistered(state)
    old = changed(state="draining")
    state.apply_worker_page(page(row("w", old, 4), whole=whole), False)
    worker = state.directory.workers["w"]
    assert (worker.born, worker.host) == (1790000000007, "10.0.0.2")
    assert not worker.draining
    assert deregistered == []


def test_two_restarts_within_one_page_are_both_reported(state):
    state.apply_worker_page(page(row("w", VALID)), False)
    deregistered = collect_deregistered(state)
    first = row("w", changed(born=1790000000007), 2)
    second = row("w", changed(born=1790000000900, version="v2"), 3)
    state.apply_worker_page(page(first, second), False)
    assert deregistered == ["w", "w"]
    assert state.directory.workers["w"].version == "v2"


def test_worker_that_restarted_during_outage_is_a_new_incarnation(state):
    state.apply_worker_page(page(row("w", VALID)), False)
    state.apply_worker_page(page(version=2, whole=True), True)
    deregistered = collect_deregistered(state)
    again = changed(born=1790000000007)
    state.apply_worker_page(page(row("w", again, 3)), False)
    assert deregistered == ["w"]
    assert state.directory.missing == {}


# Arbitrary input.


@settings(deadline=None)
@given(st.dictionaries(st.sampled_from([*VALID, "more"]), JSON), st.binary())
def test_any_row_is_decoded_or_reported_as_unreadable(fields, value):
    metrics = Metrics()
    rows = [
        FeedRow("bytes", value, at(1)),
        row("fields", {**VALID, **fields}, 2),
        row("good", VALID, 3),
    ]
    found = list(feeds.worker_row_decoder(metrics)(page(*rows)))
    assert len(found) == 3
    for item in found:
        assert isinstance(item, RegisteredWorker | UnreadableRow)
        if isinstance(item, RegisteredWorker):
            assert type(item.slots) is int and item.slots > 0
            assert type(item.port) is int and 0 < item.port < 65536
            assert type(item.service) is type(item.domain) is str
    assert isinstance(found[-1], RegisteredWorker)


@settings(deadline=None)
@given(st.dictionaries(st.sampled_from(["version", "routes"]), JSON), JSON)
def test_any_operator_row_is_read_or_ignored(fields, order):
    rows = [
        row(manifest.KEY, {**manifest_document(), **fields}),
        row("rollout/s", order, 2),
        FeedRow(manifest.KEY, b"\xff", at(3)),
        row(manifest.KEY, manifest_document(), 4),
    ]
    found = list(feeds.operator_row_decoder(Metrics())(page(*rows)))
    assert isinstance(found[-1], RouteTable)


@settings(deadline=None)
@given(MSGPACK)
def test_any_packed_document_is_read_or_rejected(document):
    packed = zlib.compress(msgpack.packb(document))
    for kind in (Snapshot, TableUpdate, KnownStates, StateDiff, QueueUpdate):
        try:
            assert isinstance(unpack(kind, packed), kind)
        except UnreadableError as error:
            assert error.message


@settings(deadline=None)
@given(st.binary() | JSON.map(lambda made: json.dumps(made).encode()))
def test_any_message_is_read_or_rejected(value):
    kinds = (
        EntryState,
        StateUpdate,
        Snapshot,
        Evidence,
        RolloutRecord,
        TableUpdate,
    )
    for kind in (*kinds, QueueUpdate):
        for read in (
            lambda kind: decode(kind, value),
            lambda kind: unpack(kind, value),
            lambda kind: unpack(kind, zlib.compress(value)),
        ):
            try:
                assert isinstance(read(kind), kind)
            except UnreadableError as error:
                assert error.message
    report = upstream.decode_report(value)
    assert report is None or report.waiting >= 0
