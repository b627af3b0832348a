"""Tests orders to engines with paused senders and delayed orders.

Each test covers engines with and without a check of fencing numbers.
"""

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


class DelayableConnection:
    """Connection to one engine that can delay orders."""

    def __init__(self, desk):
        self.desk = desk
        self.delaying = False
        self.delayed = []
        self.before_send = None

    async def read(self, worker):
        return self.desk.state()

    async def send(self, worker, order):
        if self.before_send is not None:
            hook, self.before_send = self.before_send, None
            await hook()
        if self.delaying:
            self.delayed.append(order)
        else:
            self.desk.take(order)


class OrdersSimulation:
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
            members=StubMembers(),
            leases=Leases(me, table, self.clock),
            engines=DelayableConnection(self.desk),
            metrics=Metrics(),
        )

    def announce(self, names):
        live = {name: self.reconcilers[name].me for name in names}
        for name in names:
            self.reconcilers[name].members.live.on_next(live)

    def want(self, versions, names=("control-a", "control-b")):
        """Sets the wanted versions on some processes."""
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
        """Steps until a process holds the lease; returns owner and other."""
        await self.steps(8, self.reconcilers)
        first = next(n for n, k in self.reconcilers.items() if k.leases.held)
        second = next(n for n in self.reconcilers if n != first)
        return first, second

    async def replace(self, first, second):
        """Lets the second process take over with NEW; the first is paused."""
        self.announce([second])
        self.want(NEW, [second])
        await self.steps(40, [second])
        assert self.desk.state().versions == sorted(NEW)


class StubMembers:
    def __init__(self):
        self.live = BehaviorSubject({})


@KINDS
async def test_workers_are_ordered_to_serve_wanted_versions(fencing):
    simulation = OrdersSimulation(fencing)
    await simulation.start()
    simulation.want(NEW)
    await simulation.steps(3, simulation.reconcilers)
    assert simulation.desk.state().versions == sorted(NEW)
    assert len(simulation.desk.taken) == 1


@KINDS
async def test_sender_resumed_after_lease_change_sends_no_order(fencing):
    """The sender pauses before a step and still has the lease recorded."""
    simulation = OrdersSimulation(fencing)
    first, second = await simulation.start()
    await simulation.replace(first, second)
    taken = len(simulation.desk.taken)
    await simulation.steps(1, [first])
    await simulation.steps(20, [first, second])
    assert simulation.desk.state().versions == sorted(NEW)
    assert len(simulation.desk.taken) == taken


@KINDS
async def test_sender_paused_during_read_sends_no_order(fencing):
    """The sender pauses between its first check of the lease and the send."""
    simulation = OrdersSimulation(fencing)
    first, second = await simulation.start()
    simulation.want([LARGE], [first])
    connection = simulation.reconcilers[first].engines
    read = connection.read

    async def slow_read(worker):
        state = await read(worker)
        connection.read = read
        await simulation.replace(first, second)
        return state

    connection.read = slow_read
    await simulation.steps(1, [first])
    assert [o.versions for o in simulation.desk.taken] == [sorted(NEW)]


@KINDS
async def test_stale_order_sent_after_lease_check_is_corrected(fencing):
    """Without fencing, a stale order can't be prevented, only corrected."""
    simulation = OrdersSimulation(fencing)
    first, second = await simulation.start()
    simulation.want([LARGE], [first])

    async def freeze():
        await simulation.replace(first, second)

    simulation.reconcilers[first].engines.before_send = freeze
    await simulation.steps(1, [first])
    if fencing:
        assert [o.versions for o in simulation.desk.refused] == [[LARGE]]
    await simulation.steps(2, [second])
    assert simulation.desk.state().versions == sorted(NEW)


@KINDS
async def test_late_order_of_an_earlier_owner_does_not_prevail(fencing):
    """An order stays in flight for the maximum time while the owner changes."""
    simulation = OrdersSimulation(fencing)
    first, second = await simulation.start()
    connection = simulation.reconcilers[first].engines
    connection.delaying = True
    simulation.want([LARGE], [first])
    await simulation.steps(1, [first])
    assert len(connection.delayed) == 1
    sent = simulation.clock.now
    simulation.announce([second])
    simulation.want(NEW, [second])
    while not simulation.desk.taken:
        await simulation.steps(1, [second])
    if not fencing:
        # No order was sent while the old one could still arrive.
        assert simulation.clock.now - sent > MAX_IN_FLIGHT_S + TERM_S
    simulation.desk.take(connection.delayed[0])
    await simulation.steps(2, [second])
    assert simulation.desk.state().versions == sorted(NEW)
    assert bool(simulation.desk.refused) == fencing


@KINDS
async def test_repeated_and_reordered_orders_converge(fencing):
    simulation = OrdersSimulation(fencing)
    first, _ = await simulation.start()
    connection = simulation.reconcilers[first].engines
    connection.delaying = True
    for versions in ([LARGE], NEW, [LARGE], NEW):
        simulation.want(versions, [first])
        await simulation.steps(1, [first])
    connection.delaying = False
    for order in [
        *reversed(connection.delayed),
        *connection.delayed,
        connection.delayed[0],
    ]:
        simulation.desk.take(order)
    await simulation.steps(3, [first])
    assert simulation.desk.state().versions == sorted(NEW)


@KINDS
async def test_no_order_after_lease_expired_in_store_outage(fencing):
    simulation = OrdersSimulation(fencing)
    first, _ = await simulation.start()
    simulation.reconcilers[first].leases.table.down = True
    await simulation.steps(int(TERM_S) + 1, [first])
    simulation.want(NEW, [first])
    await simulation.steps(5, [first])
    assert simulation.desk.taken == []
    simulation.reconcilers[first].leases.table.down = False
    await simulation.steps(5, [first])
    assert simulation.desk.state().versions == sorted(NEW)


@KINDS
async def test_no_order_that_could_take_effect_after_the_lease(fencing):
    """Only engines that check fencing numbers may still be sent an order."""
    simulation = OrdersSimulation(fencing)
    first, _ = await simulation.start()
    leases = simulation.reconcilers[first].leases
    leases.table.down = True
    left = leases.held["pool"].valid_until - simulation.clock.now
    await simulation.steps(int(left - MAX_IN_FLIGHT_S) + 1, [first])
    simulation.want(NEW, [first])
    await simulation.steps(1, [first])
    assert leases.valid("pool") is not None
    assert len(simulation.desk.taken) == int(fencing)


@KINDS
async def test_lost_answer_of_a_renewal_keeps_the_lease(fencing):
    simulation = OrdersSimulation(fencing)
    first, _ = await simulation.start()
    simulation.reconcilers[first].leases.table.lose_answers = 2
    await simulation.steps(6, [first])
    simulation.want(NEW, [first])
    await simulation.steps(3, [first])
    assert simulation.desk.state().versions == sorted(NEW)
    assert simulation.reconcilers[first].leases.held["pool"].lease.epoch == 1
