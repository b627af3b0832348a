"""Runs the claim code through the steps of specs/claims.prism.

Rules are named after the commands of the specification. The table service is
the in-memory stand-in, wrapped to lose, delay or refuse writes. The effects of
writes are read from its rows.
"""

import asyncio

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.owner import ShardOwner
from rattanpier._internal.claims.records import (
    Answer,
    Bill,
    ClaimResult,
    SettleOp,
    lease_key,
)
from rattanpier._internal.claims.takeover import acquire, recover
from rattanpier._internal.models.outcomes import (
    ClaimOutcome,
    NotRun,
    SettleOutcome,
    Uncertain,
)
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import ManualClock, settle

WRITES = st.sampled_from(["land", "lose", "delay", "refuse"])
ENTRIES = st.sampled_from(["a", "b"])
# States in which entry a may be killed.
KILLABLE_STATES = ("granted", "settling")
INDEX = st.integers(0, 3)


def pick(items, number):
    """Picks one of the items to which a step applies."""
    return items[number % len(items)]


class FaultyTable:
    """Table service as seen by one owner, with faults of writes."""

    def __init__(self, rows):
        self.rows = rows
        self.mode = "land"
        self.late = []

    async def get(self, key):
        return await self.rows.get(key)

    async def scan(self, prefix, after="", limit=500):
        return await self.rows.scan(prefix, after, limit)

    async def transact(self, transaction):
        mode, self.mode = self.mode, "land"
        if mode == "refuse":
            return NotRun("refused")
        if mode == "delay":
            self.late.append(transaction)
            return Uncertain("delayed")
        outcome = await self.rows.transact(transaction)
        return Uncertain("answer lost") if mode == "lose" else outcome


@attrs.define
class Entry:
    """A request of one caller on one entry."""

    name: str
    state: str = "asking"
    attempt: int = 0
    ran: bool = False
    call: asyncio.Task | None = None


class ClaimMachine(RuleBasedStateMachine):
    """Two entries that claim one key, and two successive owners."""

    @initialize(idempotent=st.booleans())
    def start(self, idempotent):
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.rows = MemoryTable()
        self.idempotent = idempotent
        self.tables = [FaultyTable(self.rows), FaultyTable(self.rows)]
        self.owners = [None, None]
        self.flushes = [None, None]
        self.entries = {name: Entry(name) for name in "ab"}
        self.seen_dead = set()
        self.released = set()
        self.billed = set()
        self.unlogged = []
        self.acquire_shard(0)
        assert self.owners[0] is not None

    def teardown(self):
        if hasattr(self, "loop"):
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.run(settle())
            self.loop.close()

    def run(self, work):
        return self.loop.run_until_complete(work)

    def alive(self, holder):
        return holder.split("/")[0] not in self.seen_dead

    def acquire_shard(self, number):
        """Acquires the shard as Ownership.make_owner does."""
        table = self.tables[number]
        row = self.run(table.get(lease_key(0)))
        obtained = self.run(acquire(table, 0, row, f"o{number}", "i"))
        if obtained is None:
            return
        book, sequence = self.run(recover(table, 0))
        lease, version = obtained
        self.owners[number] = ShardOwner(
            shard=0,
            lease=lease,
            lease_version=version,
            table=table,
            clock=self.clock,
            metrics=Metrics(),
            alive=self.alive,
            interval_s=0.0,
            book=book,
            next_sequence=sequence,
        )

    def logged(self):
        """Returns the claim as recorded in the log, or None."""
        book, _ = self.run(recover(self.rows, 0))
        return book.claims.get(("desk", "k"))

    def writing_owners(self):
        """Returns the numbers of owners with pending writes."""
        return [
            number
            for number, owner in enumerate(self.owners)
            if owner
            and not owner.lost
            and (owner.open_batches or owner.in_flight)
        ]

    def serving_owners(self):
        return [owner for owner in self.owners if owner and not owner.lost]

    def idle(self, *states):
        """Returns the entries in given states that wait for no reply."""
        return [
            entry
            for entry in self.entries.values()
            if entry.state in states and entry.call is None
        ]

    def runnable(self):
        states = ["granted", "asking"] if self.idempotent else ["granted"]
        return [
            entry
            for entry in self.entries.values()
            if entry.state in states and not entry.ran
        ]

    # Rules of the owners.

    @precondition(lambda self: self.writing_owners())
    @rule(number=INDEX, mode=WRITES)
    def write(self, number, mode):
        """write_lands, write_refused, write_delayed, found_durable, ..."""
        number = pick(self.writing_owners(), number)
        owner = self.owners[number]
        self.tables[number].mode = mode
        flush = self.flushes[number]
        if flush is None or flush.done():
            self.flushes[number] = self.loop.create_task(owner.flush())
            self.run(settle())
        else:
            self.run(self.clock.advance(0.5))
        self.tables[number].mode = "land"
        self.deliver_replies()

    @precondition(lambda self: any(table.late for table in self.tables))
    @rule(number=INDEX)
    def delayed_lands(self, number):
        late = [table.late for table in self.tables if table.late]
        self.run(self.rows.transact(pick(late, number).pop(0)))

    @precondition(lambda self: self.owners[1] is None)
    @rule(mode=WRITES)
    def acquire(self, mode):
        self.tables[1].mode = mode
        self.acquire_shard(1)
        self.tables[1].mode = "land"

    @precondition(lambda self: all(self.owners))
    @rule()
    def owner_killed(self):
        self.owners[0] = None
        for entry in self.entries.values():
            self.cancel_call(entry)

    # Rules of the entries.

    @precondition(lambda self: self.serving_owners() and self.idle("asking"))
    @rule(name=INDEX, number=INDEX)
    def ask(self, name, number):
        entry = pick(self.idle("asking"), name)
        owner = pick(self.serving_owners(), number)
        ask = Ask("desk", "k", f"{entry.name}/i/r", self.idempotent, "d")
        entry.call = self.loop.create_task(owner.ask(ask))
        self.run(settle())
        self.deliver_replies()

    @precondition(
        lambda self: (
            self.serving_owners() and self.idle("settling", "giving_up")
        )
    )
    @rule(name=INDEX, number=INDEX)
    def settle(self, name, number):
        entry = pick(self.idle("settling", "giving_up"), name)
        owner = pick(self.serving_owners(), number)
        entry.call = self.loop.create_task(owner.settle(self.settlement(entry)))
        self.run(settle())
        self.deliver_replies()

    def settlement(self, entry):
        if entry.state == "giving_up":
            result = ClaimResult.RELEASED
            return SettleOp("desk", "k", entry.attempt, result)
        bill = Bill("desk", "k", entry.name, 1, 1, 1.0)
        answer = Answer(200, "text/plain", entry.name, entry.name)
        result = ClaimResult.ANSWERED
        return SettleOp("desk", "k", entry.attempt, result, bill, answer)

    @precondition(lambda self: any(e.call for e in self.entries.values()))
    @rule(name=ENTRIES)
    def reply_lost(self, name):
        self.cancel_call(self.entries[name])

    @precondition(lambda self: self.runnable())
    @rule(name=INDEX)
    def dispatch(self, name):
        pick(self.runnable(), name).ran = True

    @precondition(lambda self: any(e.ran for e in self.idle("granted")))
    @rule(name=INDEX)
    def answer_whole(self, name):
        complete = [entry for entry in self.idle("granted") if entry.ran]
        pick(complete, name).state = "settling"

    @precondition(lambda self: any(not e.ran for e in self.idle("granted")))
    @rule(name=INDEX)
    def not_run(self, name):
        unrun = [entry for entry in self.idle("granted") if not entry.ran]
        pick(unrun, name).state = "giving_up"

    @precondition(lambda self: self.entries["a"].state in KILLABLE_STATES)
    @rule()
    def entry_killed(self):
        self.cancel_call(self.entries["a"])
        self.entries["a"].state = "dead"

    @precondition(lambda self: "a" not in self.seen_dead)
    @rule()
    def entry_lapsed(self):
        self.seen_dead.add("a")

    @precondition(lambda self: self.logged() is not None)
    @rule()
    def export(self):
        claim = self.logged()
        if claim is not None and claim.bill is not None:
            self.billed.add(claim.bill.version)

    def cancel_call(self, entry):
        if entry.call is not None:
            entry.call.cancel()
            entry.call = None
            self.run(settle())

    def deliver_replies(self):
        """Delivers the replies that have arrived to their entries."""
        for entry in self.entries.values():
            if entry.call is not None and entry.call.done():
                decision, entry.call = entry.call.result(), None
                if decision is not None:
                    self.apply_reply(entry, decision)

    def apply_reply(self, entry, decision):
        match decision.outcome:
            case ClaimOutcome.GRANTED:
                claim = decision.claim
                entry.attempt = claim.attempt if claim else decision.op.attempt
                entry.state = "granted"
                self.check_logged(entry.attempt)
            case ClaimOutcome.ANSWERED:
                entry.state = "final"
                self.released.add(decision.claim.answer.body)
            case ClaimOutcome.UNKNOWN | SettleOutcome.SUPERSEDED:
                entry.state = "final"
            case SettleOutcome.SETTLED:
                if entry.state == "settling":
                    self.released.add(entry.name)
                    self.check_logged(entry.attempt)
                entry.state = "final"

    def check_logged(self, attempt):
        claim = self.logged()
        if claim is None or claim.attempt < attempt:
            self.unlogged.append(attempt)

    # Properties of the specification.

    @invariant()
    def never_two_answers(self):
        assert len(getattr(self, "released", ())) <= 1

    @invariant()
    def never_two_bills(self):
        billed = getattr(self, "billed", set())
        assert len(billed | (self.released if billed else set())) <= 1

    @invariant()
    def never_two_runs(self):
        if not getattr(self, "idempotent", True):
            ran = [e.name for e in self.entries.values() if e.ran]
            assert len(ran) <= 1, f"{ran} both ran"

    @invariant()
    def nothing_released_under_a_lost_epoch(self):
        assert not getattr(self, "unlogged", ()), "unlogged"
