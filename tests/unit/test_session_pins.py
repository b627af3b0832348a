"""Pins of sessions in the table service, on an in-memory table."""

from rattanpier._internal.edge.pins import SessionPins
from rattanpier._internal.models.configuration import Rollout
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import LARGE, SMALL, build_configuration
from tests.lib.clock import ManualClock

OPEN_ROLLOUT = {"r": Rollout(SMALL, LARGE, 0.5)}


class Entries:
    """The pins of two entries that share a table and a configuration."""

    def __init__(self):
        self.table = MemoryTable()
        self.configuration = build_configuration()
        self.first, self.second = (
            SessionPins(
                self.table,
                ManualClock(),
                Metrics(),
                lambda: self.configuration,
            )
            for _ in range(2)
        )

    def open_rollout(self):
        self.configuration = build_configuration(
            revision=2, rollouts=OPEN_ROLLOUT
        )


async def test_session_pinned_before_a_rollout_is_stored_once_it_is_open():
    entries = Entries()
    assert await entries.first.keep("desk", "s", SMALL) == SMALL
    assert entries.table.stats.writes == 0
    entries.open_rollout()
    for _ in range(3):
        assert await entries.first.find("desk", "s") == SMALL
        assert await entries.first.keep("desk", "s", SMALL) == SMALL
    assert entries.table.stats.writes == 1
    assert await entries.second.find("desk", "s") == SMALL


async def test_stored_pin_is_not_replaced_by_another_entry():
    entries = Entries()
    await entries.first.keep("desk", "s", SMALL)
    entries.open_rollout()
    assert await entries.second.keep("desk", "s", LARGE) == LARGE
    assert await entries.first.keep("desk", "s", SMALL) == LARGE
    assert await entries.first.find("desk", "s") == LARGE
    assert entries.table.stats.writes == 1
