"""Builds a control process from its services."""

from __future__ import annotations

import attrs

from rattanpier._internal.configuration.check import parse_and_check
from rattanpier._internal.configuration.inforce import InForceTracker
from rattanpier._internal.edge.server import HttpServer
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.member import Role
from rattanpier._internal.models.settings import Settings
from rattanpier._internal.operators.app import OperatorApp
from rattanpier._internal.operators.changes import Changes
from rattanpier._internal.orders.reconciler import add_order_reconciler
from rattanpier._internal.programs.common import add_base, add_membership
from rattanpier._internal.rollout.services import add_driver


async def build_control(settings: Settings) -> Kernel:
    """Starts a control process and returns its kernel."""
    kernel = Kernel()
    await add_base(kernel, settings)
    members = await add_membership(kernel, settings, Role.CONTROL, "")
    inforce = add_inforce(kernel)
    server = add_operators(kernel, settings, inforce)
    await server.start()
    members.me = attrs.evolve(members.me, operator_url=server.url)
    await members.step()
    kernel.spawn(kernel.find("follower").run(kernel))
    kernel.spawn(members.run(kernel))
    kernel.spawn(inforce.run(kernel))
    kernel.spawn(inforce.watch_members(kernel))
    add_driver(kernel)
    add_order_reconciler(kernel)
    return kernel


def add_inforce(kernel: Kernel) -> InForceTracker:
    """Adds the tracker that propagates accepted revisions to the nodes."""
    clock = kernel.find("clock")
    inforce = InForceTracker(
        table=kernel.find("table"),
        clock=clock,
        follower=kernel.find("follower"),
        members=kernel.find("members"),
        broadcaster=kernel.find("spreader"),
        metrics=kernel.find("metrics"),
        started_at=clock.monotonic(),
    )
    return kernel.add("inforce", inforce)


def add_operators(
    kernel: Kernel, settings: Settings, inforce: InForceTracker
) -> HttpServer:
    """Adds the HTTP interface for operators."""
    changes = kernel.add(
        "changes",
        Changes(
            table=kernel.find("table"),
            clock=kernel.find("clock"),
            inforce=inforce,
            brakes=kernel.find("brakes"),
            metrics=kernel.find("metrics"),
            check=parse_and_check,
        ),
    )
    app = OperatorApp(
        changes=changes,
        inforce=inforce,
        table=kernel.find("table"),
        key_digests=settings.secrets.operator_key_sha256,
    )
    server = HttpServer(app.app(), settings.operators)
    return kernel.add("operators", server, stop=server.stop)
