"""Pins of sessions by rows, over the store in memory."""

from rattanpier._internal.edge.pins import SessionPins
from rattanpier._internal.models.configuration import Rollout
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import LARGE, SMALL, build_configuration
from tests.lib.clock import ManualClock

OPEN = {"r": Rollout(SMALL, LARGE, 0.5)}


class Entries:
    """Two entries over one table and one configuration."""

    def __init__(self):
        self.table = MemoryTable()
        self.configuration = build_configuration()
        self.one, self.two = (
            SessionPins(
                self.table,
                ManualClock(),
                Metrics(),
                lambda: self.configuration,
            )
            for _ in range(2)
        )

    def open_rollout(self):
        self.configuration = build_configuration(revision=2, rollouts=OPEN)


async def test_a_session_older_than_the_roll_out_gets_its_row():
    entries = Entries()
    assert await entries.one.keep("desk", "s", SMALL) == SMALL
    assert entries.table.stats.writes == 0
    entries.open_rollout()
    for _ in range(3):
        assert await entries.one.find("desk", "s") == SMALL
        assert await entries.one.keep("desk", "s", SMALL) == SMALL
    assert entries.table.stats.writes == 1
    assert await entries.two.find("desk", "s") == SMALL


async def test_the_row_that_came_first_counts():
    entries = Entries()
    await entries.one.keep("desk", "s", SMALL)
    entries.open_rollout()
    assert await entries.two.keep("desk", "s", LARGE) == LARGE
    assert await entries.one.keep("desk", "s", SMALL) == LARGE
    assert await entries.one.find("desk", "s") == LARGE
    assert entries.table.stats.writes == 1
