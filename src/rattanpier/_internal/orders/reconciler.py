"""Reconciles the versions that workers serve with the configuration.

For each upstream, one control process reads the state of each worker and
sends an order if it differs from the configuration. Engines that check
fencing numbers reject orders of an earlier owner themselves. For other
engines, the sender checks its lease right before sending, and the next owner
waits until no order of the earlier owner can be in flight. A sender that is
suspended between the check and the send can still deliver a stale order; the
next read of the worker detects this and the order is corrected.
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
    """Sends orders to the workers of the upstreams that this process owns."""

    me: Member
    clock: Clock
    follower: Follower
    members: Members
    leases: Leases
    engines: EngineOrders
    metrics: Metrics

    async def run(self, kernel: Kernel) -> None:
        """Runs a step every `STEP_S` seconds until the kernel stops."""
        while not kernel.stopping.is_set():
            await self.step()
            await self.clock.sleep(STEP_S)

    async def step(self) -> None:
        """Reconciles each upstream that this process owns once."""
        for name, upstream in self.follower.configuration.upstreams.items():
            if takes_orders(upstream) and self.is_mine(name):
                await self.leases.renew_or_acquire(name)
                for worker in list(upstream.workers.values()):
                    await self.repair(name, upstream, worker)

    def is_mine(self, upstream: str) -> bool:
        """Returns whether this process is to send an upstream's orders."""
        owner = control_for(f"orders/{upstream}", self.members.live.value)
        return owner is not None and owner.name == self.me.name

    async def repair(
        self, name: str, upstream: Upstream, worker: Worker
    ) -> None:
        """Reads a worker's state and sends an order if it differs."""
        if not self.may_order(name, upstream):
            return
        state = await self.engines.read(worker)
        wanted = sorted(worker.versions)
        if state is None or state.versions == wanted:
            return
        # The lease may have expired while the state was read.
        if not self.may_order(name, upstream):
            self.metrics.count("orders.refused.lease")
            return
        order = Order(wanted, self.leases.held[name].lease.epoch)
        self.metrics.count("orders.sent")
        log.info("Order sent.", worker=worker.url, versions=wanted)
        await self.engines.send(worker, order)

    def may_order(self, name: str, upstream: Upstream) -> bool:
        """Returns whether it is safe to send an order now.

        Without fencing, an order sent now must take effect or be lost before
        the lease expires, and orders of earlier owners must be finished.
        """
        held = self.leases.valid(name)
        if held is None:
            return False
        if upstream.checks_fencing:
            return True
        now = self.clock.monotonic()
        return held.clear_at <= now < held.valid_until - MAX_IN_FLIGHT_S


def takes_orders(upstream: Upstream) -> bool:
    """Returns whether an upstream's workers accept orders."""
    return upstream.kind is UpstreamKind.ENGINE and upstream.takes_orders


def add_order_reconciler(kernel: Kernel) -> OrderReconciler:
    """Adds an order reconciler to a control process and starts it."""
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
