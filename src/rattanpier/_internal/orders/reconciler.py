"""Keeps workers at the versions that the configuration wants of them.

One control process for each upstream reads each worker back and orders what
differs. Engines that check fencing numbers refuse an earlier owner by
themselves. For the others the sender checks its lease right before sending,
and the next owner waits until nothing of the earlier one is under way. What
slips through all the same, a sender frozen between the check and the send, is
found when the worker is read back, and repaired.
"""

from __future__ import annotations

import attrs
import structlog

from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.duties import control_for
from rattanpier._internal.membership.members import Members
from rattanpier._internal.models.configuration import (
    Upstream,
    UpstreamKind,
    Worker,
)
from rattanpier._internal.models.member import Member
from rattanpier._internal.orders.client import EngineOrders, HttpEngineOrders
from rattanpier._internal.orders.lease import MAX_IN_FLIGHT_S, Leases
from rattanpier._internal.orders.records import Order
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="orders")

STEP_S = 1.0


@attrs.define
class OrderReconciler:
    """Gives orders to the workers of some upstreams."""

    me: Member
    clock: Clock
    follower: Follower
    members: Members
    leases: Leases
    engines: EngineOrders
    metrics: Metrics

    async def run(self, kernel: Kernel) -> None:
        """Steps until the end."""
        while not kernel.stopping.is_set():
            await self.step()
            await self.clock.sleep(STEP_S)

    async def step(self) -> None:
        """Looks at each upstream of this process once."""
        for name, upstream in self.follower.configuration.upstreams.items():
            if takes_orders(upstream) and self.is_mine(name):
                await self.leases.renew_or_acquire(name)
                for worker in list(upstream.workers.values()):
                    await self.repair(name, upstream, worker)

    def is_mine(self, upstream: str) -> bool:
        """Says whether this process is to give an upstream's orders."""
        owner = control_for(f"orders/{upstream}", self.members.live.value)
        return owner is not None and owner.name == self.me.name

    async def repair(
        self, name: str, upstream: Upstream, worker: Worker
    ) -> None:
        """Reads a worker back and orders what differs."""
        if not self.may_order(name, upstream):
            return
        state = await self.engines.read(worker)
        wanted = sorted(worker.versions)
        if state is None or state.versions == wanted:
            return
        # Asked again: reading may have taken long.
        if not self.may_order(name, upstream):
            self.metrics.count("orders.refused.lease")
            return
        order = Order(wanted, self.leases.held[name].lease.epoch)
        self.metrics.count("orders.sent")
        log.info("Order sent.", worker=worker.url, versions=wanted)
        await self.engines.send(worker, order)

    def may_order(self, name: str, upstream: Upstream) -> bool:
        """Says whether an order sent now can do no harm."""
        held = self.leases.valid(name)
        if held is None:
            return False
        if upstream.checks_fencing:
            return True
        now = self.clock.monotonic()
        return held.clear_at <= now < held.valid_until - MAX_IN_FLIGHT_S


def takes_orders(upstream: Upstream) -> bool:
    """Says whether an upstream's workers are told what to serve."""
    return upstream.kind is UpstreamKind.ENGINE and upstream.takes_orders


def add_order_reconciler(kernel: Kernel) -> OrderReconciler:
    """Adds the orders to a control process."""
    members = kernel.find("members")
    clock = kernel.find("clock")
    reconciler = OrderReconciler(
        me=members.me,
        clock=clock,
        follower=kernel.find("follower"),
        members=members,
        leases=Leases(members.me, kernel.find("table"), clock),
        engines=HttpEngineOrders(kernel.find("http")),
        metrics=kernel.find("metrics"),
    )
    kernel.spawn(reconciler.run(kernel))
    return kernel.add("orders", reconciler)
