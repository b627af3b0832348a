"""Updates on crashes between entries of the chat interface."""

import asyncio
import collections

import pytest

from rattanpier._internal.dispatch.quarantining import (
    QuarantineSharing,
    content_key,
)
from rattanpier._internal.membership.ring import neighbours
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.models.worker_crash import QuarantineUpdate
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.retries.quarantine import (
    CRASHES_TO_QUARANTINE,
    Quarantine,
)
from tests.lib.clock import ManualClock

DEADLY = "deadly"
TIMEOUT_S = 30.0


class Ring:
    """Entries that get each other's notices in the next loop iteration."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.sent = collections.Counter()
        self.entries = {}
        for number in range(count):
            self.add(f"e{number}")

    def add(self, name):
        def spread(notice):
            self.sent[name] += 1
            for other in neighbours(self.entries, name):
                received = peer_pb2.Notice.FromString(
                    notice.SerializeToString()
                )
                loop = asyncio.get_running_loop()
                loop.call_soon(self.entries[other].receive, received)

        sharing = QuarantineSharing(Quarantine(self.clock), spread)
        sharing.quarantine.on_update = sharing.schedule_publish
        self.entries[name] = sharing

    def quarantining_entries(self):
        return sum(
            entry.quarantine.remaining_s(DEADLY) > 0.0
            for entry in self.entries.values()
        )


@pytest.mark.parametrize("size", [2, 8, 80, 420])
async def test_crashes_seen_by_some_entries_quarantine_at_all(size):
    ring = Ring(size)
    for number in range(CRASHES_TO_QUARANTINE):
        entry = ring.entries[f"e{number % size}"]
        entry.quarantine.record_crash(DEADLY, f"w{number}")
    async with asyncio.timeout(TIMEOUT_S):
        while ring.quarantining_entries() < size:
            await asyncio.sleep(0)
    # Each entry forwards each crash once.
    assert max(ring.sent.values()) <= CRASHES_TO_QUARANTINE


async def test_unreadable_notice_changes_nothing():
    ring = Ring(2)
    rumors = peer_pb2.Rumors(text=b"no news")
    notice = peer_pb2.Notice(spread=peer_pb2.Spread(rumors=rumors))
    ring.entries["e0"].receive(notice)
    assert ring.entries["e0"].quarantine.full_update() == QuarantineUpdate()
    assert not ring.sent


def test_content_is_the_same_for_each_attempt_of_a_chat():
    def content(workspace, key, digest):
        return content_key(RouteRequest(workspace, key, digest=digest))

    first = content("desk", "k1", "d")
    assert first == content("desk", "k2", "d")
    assert first != content("shop", "k1", "d")
    assert first != content("desk", "k1", "e")


@pytest.mark.parametrize("size", [3, 80])
async def test_updates_on_an_answered_request_die_out(size):
    ring = Ring(size)
    first, *others = ring.entries.values()
    for entry in others:
        entry.quarantine.record_answer(DEADLY)
    first.quarantine.record_crash(DEADLY, "w0")
    for _ in range(20):
        await asyncio.sleep(0)
    for entry in others[:2]:
        entry.quarantine.record_answer(DEADLY)
    for _ in range(200):
        await asyncio.sleep(0)
    # Each entry forwards the crash and the answers once.
    assert max(ring.sent.values()) <= 4
    assert ring.quarantining_entries() == 0
    digests = {entry.quarantine.digest() for entry in ring.entries.values()}
    assert digests == {0}
