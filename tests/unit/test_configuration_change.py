"""Changes get a definite outcome although the store loses answers."""

import asyncio

import pytest

from rattanpier._internal.configuration.change import (
    propose_edit,
    propose_with_retry,
    resolve_change,
)
from rattanpier._internal.configuration.store import (
    Accepted,
    Fenced,
    NotAccepted,
    Raced,
    Revision,
    Undecided,
    propose,
    read_head,
    read_revision,
)
from rattanpier._internal.models.outcomes import NotRun, Uncertain
from rattanpier._internal.standin.table import MemoryTable
from tests.lib.clock import SkippingClock


class FaultyTable(MemoryTable):
    """A table service whose writes fail as scripted.

    Each write takes the next step of the script: "ok", "lost" (takes effect
    without an answer), "late" (no answer, takes effect when `deliver` is
    called), "drop" (no answer, never takes effect) or "refuse".
    """

    def __init__(self, *script):
        super().__init__()
        self.script = list(script)
        self.late = []

    async def transact(self, transaction):
        step = self.script.pop(0) if self.script else "ok"
        if step == "refuse":
            return NotRun("refused")
        if step == "late":
            self.late.append(transaction)
        if step in ("late", "drop"):
            return Uncertain("no answer")
        outcome = await super().transact(transaction)
        return Uncertain("no answer") if step == "lost" else outcome

    async def deliver(self):
        late, self.late = self.late, []
        return [await super(FaultyTable, self).transact(t) for t in late]


def build_revision(number, change, text="x = 1\n"):
    return Revision(number, text, "test", change, 0.0)


async def propose_with_timeout(table, revision):
    return await propose_with_retry(table, SkippingClock(), revision, 5.0)


@pytest.mark.parametrize(
    "script",
    [
        ["lost"],
        ["drop"],
        ["late"],
        ["lost", "refuse"],
        ["late", "drop", "refuse", "lost"],
    ],
)
async def test_lost_answer_does_not_apply_a_change_twice(script):
    table = FaultyTable(*script)
    assert await propose_with_timeout(
        table, build_revision(1, "a")
    ) == Accepted(1)
    late = await table.deliver()
    assert await read_head(table) == 1
    assert (await read_revision(table, 1)).change == "a"
    assert table.rows["config/revision/000000001"].version == 1
    assert all(outcome.key == "config/head" for outcome in late)


async def test_refused_first_write_is_not_accepted():
    table = FaultyTable("refuse")
    outcome = await propose_with_timeout(table, build_revision(1, "a"))
    assert outcome == NotAccepted("refused")
    assert await read_head(table) == 0


async def test_lost_answer_in_a_race_returns_the_other_change():
    table = FaultyTable("drop")
    other = build_revision(1, "b")

    class RacingClock(SkippingClock):
        async def sleep(self, seconds):
            await propose(table, other)
            await super().sleep(seconds)

    outcome = await propose_with_retry(
        table, RacingClock(), build_revision(1, "a"), 5.0
    )
    assert outcome == Raced(other)


async def test_unanswered_change_is_undecided_and_can_be_fenced():
    table = FaultyTable(*["late"] * 100)
    assert await propose_with_timeout(
        table, build_revision(1, "a")
    ) == Undecided("a")
    table.script.clear()
    assert await resolve_change(table, SkippingClock(), 1, "a", 5.0) == Fenced()
    await table.deliver()
    assert await read_head(table) == 0


async def test_resolving_a_change_after_a_late_write_returns_accepted():
    table = FaultyTable(*["late"] * 100)
    await propose_with_timeout(table, build_revision(1, "a"))
    table.script.clear()
    await table.deliver()
    assert await resolve_change(
        table, SkippingClock(), 1, "a", 5.0
    ) == Accepted(1)


async def test_fenced_change_does_not_take_effect_later():
    table = FaultyTable("drop")

    class FencingClock(SkippingClock):
        async def sleep(self, seconds):
            await resolve_change(table, SkippingClock(), 1, "a", 5.0)
            await super().sleep(seconds)

    outcome = await propose_with_retry(
        table, FencingClock(), build_revision(1, "a"), 5.0
    )
    assert outcome == Fenced()
    assert await read_head(table) == 0


async def test_a_change_can_not_skip_a_revision():
    table = MemoryTable()
    outcome = await propose(table, build_revision(7, "a"))
    assert isinstance(outcome, NotAccepted)
    assert await read_head(table) == 0


async def test_racing_edits_both_take_effect_in_turn():
    table = MemoryTable()
    await propose(table, build_revision(1, "a", ""))

    def edit(name):
        return lambda text: f"{text}{name} = 1\n"

    done = await asyncio.gather(
        *(
            propose_edit(
                table, SkippingClock(), edit(name), build_revision(0, name), 5.0
            )
            for name in ("left", "right")
        )
    )
    assert {rebased.outcome for rebased in done} == {Accepted(2), Accepted(3)}
    text = (await read_revision(table, 3)).text
    assert "left" in text and "right" in text
