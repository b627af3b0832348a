"""Orders to engines of both kinds while senders pause and orders are late."""

import attrs
import pytest
from reactivex.subject import BehaviorSubject

from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.models.configuration import Upstream, UpstreamKind
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.orders.lease import MAX_IN_FLIGHT_S, TERM_S, Leases
from rattanpier._internal.orders.reconciler import OrderReconciler
from rattanpier._internal.standin.orders import OrderDesk
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import LARGE, SMALL, build_configuration
from tests.lib.clock import SkippingClock
from tests.lib.rollouts import FaultyTable

OLD, NEW = [SMALL], [LARGE, SMALL]
KINDS = pytest.mark.parametrize("fencing", [True, False])


class Wire:
    """The way of orders to one engine; may hold them back."""

    def __init__(self, desk):
        self.desk = desk
        self.holding = False
        self.held = []
        self.before_send = None

    async def read(self, worker):
        return self.desk.state()

    async def send(self, worker, order):
        if self.before_send is not None:
            hook, self.before_send = self.before_send, None
            await hook()
        if self.holding:
            self.held.append(order)
        else:
            self.desk.take(order)


class Fleet:
    """Two control processes over one table service and one engine."""

    def __init__(self, fencing):
        self.clock = SkippingClock()
        self.table = MemoryTable()
        self.fencing = fencing
        self.desk = OrderDesk({SMALL: 0.9}, checks_fencing=fencing)
        self.reconcilers = {}
        for name in ("control-a", "control-b"):
            self.reconcilers[name] = self.make_reconciler(name)
        self.announce(self.reconcilers)
        self.want(OLD)

    def make_reconciler(self, name):
        me = Member(name, "i1", Role.CONTROL, "a", "r", "", name, 1)
        table = FaultyTable(self.table)
        return OrderReconciler(
            me=me,
            clock=self.clock,
            follower=Follower(table, self.clock),
            members=Live(),
            leases=Leases(me, table, self.clock),
            engines=Wire(self.desk),
            metrics=Metrics(),
        )

    def announce(self, names):
        live = {name: self.reconcilers[name].me for name in names}
        for name in names:
            self.reconcilers[name].members.live.on_next(live)

    def want(self, versions, names=("control-a", "control-b")):
        """Puts a configuration in force on some processes."""
        base = build_configuration()
        worker = attrs.evolve(
            base.upstreams["pool"].workers["w1"], versions=versions
        )
        pool = Upstream(
            UpstreamKind.ENGINE,
            {"w1": worker},
            checks_fencing=self.fencing,
            takes_orders=True,
        )
        for name in names:
            self.reconcilers[name].follower.current.on_next(
                attrs.evolve(base, upstreams={"pool": pool})
            )

    async def steps(self, seconds, names):
        for _ in range(seconds):
            self.clock.now += 1.0
            for name in names:
                await self.reconcilers[name].step()

    async def start(self):
        """Lets one process own the orders; returns first and second."""
        await self.steps(8, self.reconcilers)
        first = next(n for n, k in self.reconcilers.items() if k.leases.held)
        second = next(n for n in self.reconcilers if n != first)
        return first, second

    async def replace(self, first, second):
        """The first is frozen; the second takes over and wants NEW."""
        self.announce([second])
        self.want(NEW, [second])
        await self.steps(40, [second])
        assert self.desk.state().versions == sorted(NEW)


class Live:
    def __init__(self):
        self.live = BehaviorSubject({})


@KINDS
async def test_workers_get_what_is_wanted(fencing):
    fleet = Fleet(fencing)
    await fleet.start()
    fleet.want(NEW)
    await fleet.steps(3, fleet.reconcilers)
    assert fleet.desk.state().versions == sorted(NEW)
    assert len(fleet.desk.taken) == 1


@KINDS
async def test_paused_sender_that_thaws_orders_nothing(fencing):
    """It froze before its step and believes that it still holds the lease."""
    fleet = Fleet(fencing)
    first, second = await fleet.start()
    await fleet.replace(first, second)
    taken = len(fleet.desk.taken)
    await fleet.steps(1, [first])
    await fleet.steps(20, [first, second])
    assert fleet.desk.state().versions == sorted(NEW)
    assert len(fleet.desk.taken) == taken


@KINDS
async def test_sender_that_pauses_while_it_reads_orders_nothing(fencing):
    """Between its first look at the lease and the sending."""
    fleet = Fleet(fencing)
    first, second = await fleet.start()
    fleet.want([LARGE], [first])
    wire = fleet.reconcilers[first].engines
    read = wire.read

    async def slow_read(worker):
        state = await read(worker)
        wire.read = read
        await fleet.replace(first, second)
        return state

    wire.read = slow_read
    await fleet.steps(1, [first])
    assert [o.versions for o in fleet.desk.taken] == [sorted(NEW)]


@KINDS
async def test_sender_frozen_between_check_and_send_is_repaired(fencing):
    """Nothing can prevent it at an engine that obeys anyone."""
    fleet = Fleet(fencing)
    first, second = await fleet.start()
    fleet.want([LARGE], [first])

    async def freeze():
        await fleet.replace(first, second)

    fleet.reconcilers[first].engines.before_send = freeze
    await fleet.steps(1, [first])
    if fencing:
        assert [o.versions for o in fleet.desk.refused] == [[LARGE]]
    await fleet.steps(2, [second])
    assert fleet.desk.state().versions == sorted(NEW)


@KINDS
async def test_late_order_of_an_earlier_owner(fencing):
    """It is under way as long as it may be, while the owner changes."""
    fleet = Fleet(fencing)
    first, second = await fleet.start()
    wire = fleet.reconcilers[first].engines
    wire.holding = True
    fleet.want([LARGE], [first])
    await fleet.steps(1, [first])
    assert len(wire.held) == 1
    sent = fleet.clock.now
    fleet.announce([second])
    fleet.want(NEW, [second])
    while not fleet.desk.taken:
        await fleet.steps(1, [second])
    if not fencing:
        # Nothing was sent while the old order could still arrive.
        assert fleet.clock.now - sent > MAX_IN_FLIGHT_S + TERM_S
    fleet.desk.take(wire.held[0])
    await fleet.steps(2, [second])
    assert fleet.desk.state().versions == sorted(NEW)
    assert bool(fleet.desk.refused) == fencing


@KINDS
async def test_repeated_and_reordered_orders_of_one_owner(fencing):
    fleet = Fleet(fencing)
    first, _ = await fleet.start()
    wire = fleet.reconcilers[first].engines
    wire.holding = True
    for versions in ([LARGE], NEW, [LARGE], NEW):
        fleet.want(versions, [first])
        await fleet.steps(1, [first])
    wire.holding = False
    for order in [*reversed(wire.held), *wire.held, wire.held[0]]:
        fleet.desk.take(order)
    await fleet.steps(3, [first])
    assert fleet.desk.state().versions == sorted(NEW)


@KINDS
async def test_no_orders_once_the_lease_lapsed_in_a_store_outage(fencing):
    fleet = Fleet(fencing)
    first, _ = await fleet.start()
    fleet.reconcilers[first].leases.table.down = True
    await fleet.steps(int(TERM_S) + 1, [first])
    fleet.want(NEW, [first])
    await fleet.steps(5, [first])
    assert fleet.desk.taken == []
    fleet.reconcilers[first].leases.table.down = False
    await fleet.steps(5, [first])
    assert fleet.desk.state().versions == sorted(NEW)


@KINDS
async def test_no_order_that_could_outlast_the_lease(fencing):
    """An engine that checks numbers may still be sent one."""
    fleet = Fleet(fencing)
    first, _ = await fleet.start()
    leases = fleet.reconcilers[first].leases
    leases.table.down = True
    left = leases.held["pool"].valid_until - fleet.clock.now
    await fleet.steps(int(left - MAX_IN_FLIGHT_S) + 1, [first])
    fleet.want(NEW, [first])
    await fleet.steps(1, [first])
    assert leases.valid("pool") is not None
    assert len(fleet.desk.taken) == int(fencing)


@KINDS
async def test_lost_answer_of_a_renewal_keeps_the_lease(fencing):
    fleet = Fleet(fencing)
    first, _ = await fleet.start()
    fleet.reconcilers[first].leases.table.lose_answers = 2
    await fleet.steps(6, [first])
    fleet.want(NEW, [first])
    await fleet.steps(3, [first])
    assert fleet.desk.state().versions == sorted(NEW)
    assert fleet.reconcilers[first].leases.held["pool"].lease.epoch == 1
