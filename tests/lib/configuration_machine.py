"""Runs the real configuration code through the steps of its specification.

The docstring or name of a rule gives the commands of specs/configuration.prism
that it stands for. There, partitions and freezes are steps that are left out.
"""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from rattanpier._internal.configuration.store import (
    Raced,
    Revision,
    propose,
    read_head,
    read_revision,
)
from tests.lib.config_fleet import Fleet

ENTRIES = st.integers(0, 2)


class ConfigurationMachine(RuleBasedStateMachine):
    """Three entries and a control process over one store."""

    @initialize()
    def start(self):
        self.loop = asyncio.new_event_loop()
        self.accepted = {}
        self.newest = {}
        self.run(self.build())

    async def build(self):
        self.fleet = Fleet(entries=3, size=3)
        await self.fleet.start()
        await self.fleet.run(10.0)

    def teardown(self):
        if hasattr(self, "loop"):
            self.loop.close()

    def run(self, work):
        return self.loop.run_until_complete(work)

    @rule(seconds=st.sampled_from([0.25, 1.0, 5.0]))
    def tick(self, seconds):
        """tick, poll, ask, count_vote, push, told_acked, told_expired."""
        for _ in range(int(seconds / 0.25)):
            self.run(self.fleet.run(0.25))
            self.check_working()

    @rule()
    def write(self):
        """read_head, write_lands, told_accepted."""
        head = self.run(read_head(self.fleet.table))
        if self.run(self.fleet.control.propose(self.fleet.text)):
            row = self.run(read_revision(self.fleet.table, head + 1))
            self.accepted[head + 1] = row.change

    @rule(back=st.integers(0, 1))
    def write_refused(self, back):
        """told_raced: another operator proposes a change on an old base."""
        head = self.run(read_head(self.fleet.table))
        rival = Revision(
            max(1, head - back), self.fleet.text, "rival", "rival", 0.0
        )
        outcome = self.run(propose(self.fleet.table, rival))
        assert isinstance(outcome, Raced)
        assert outcome.other.change != "rival"

    @rule(number=ENTRIES, cut=st.booleans())
    def store_cut(self, number, cut):
        self.fleet.entries[number].table.partitioned = cut

    @rule(number=ENTRIES, side=st.integers(0, 1))
    def peers_cut(self, number, side):
        self.fleet.entries[number].partition = side

    @rule(number=ENTRIES)
    def cut_off(self, number):
        self.store_cut(number, True)
        self.peers_cut(number, 1)

    @rule(cut=st.booleans())
    def store_fails(self, cut):
        """store_fails, store_back."""
        for node in self.fleet.nodes.values():
            node.table.partitioned = cut

    @rule(number=ENTRIES)
    def restart(self, number):
        node = self.fleet.entries[number]
        if not node.frozen:
            self.run(node.start())

    @rule(number=ENTRIES, frozen=st.booleans())
    def freeze(self, number, frozen):
        self.fleet.entries[number].frozen = frozen

    @rule(number=ENTRIES)
    def old_push(self, number):
        node = self.fleet.entries[number]
        node.follower.apply_revision(1, self.fleet.text)

    @invariant()
    def withdrawn_never_served_and_never_back(self):
        if hasattr(self, "fleet"):
            self.check_working()

    def check_working(self):
        for node in self.fleet.entries:
            serving_revision = node.serving_revision()
            if serving_revision is None:
                continue
            assert serving_revision >= self.fleet.in_force()
            assert serving_revision >= self.newest.get(node.name, 0)
            self.newest[node.name] = serving_revision

    @invariant()
    def accepted_changes_are_never_lost(self):
        for revision, change in getattr(self, "accepted", {}).items():
            row = self.run(read_revision(self.fleet.table, revision))
            assert row.change == change
