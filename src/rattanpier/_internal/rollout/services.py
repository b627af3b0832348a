"""Kernel services for roll-outs."""

from __future__ import annotations

from rattanpier._internal.dispatch.attempts import Attempts
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.rollout.collect import Collector
from rattanpier._internal.rollout.driver import Driver


def add_collector(kernel: Kernel, attempts: Attempts) -> Collector:
    """Adds and starts the evidence collector of an entry."""
    follower = kernel.find("follower")
    members = kernel.find("members")
    collector = Collector(
        me=members.me,
        configuration=follower.configuration,
        members=members,
        links=kernel.find("links"),
        brakes=kernel.find("brakes"),
        clock=kernel.find("clock"),
        metrics=kernel.find("metrics"),
    )
    follower.current.subscribe(collector.apply_configuration)
    attempts.subscribe(collector.record_attempt)
    kernel.spawn(collector.run(kernel))
    return kernel.add("rollout_collector", collector)


def add_driver(kernel: Kernel) -> Driver:
    """Adds and starts the roll-out driver of a control process."""
    members = kernel.find("members")
    driver = Driver(
        me=members.me,
        table=kernel.find("table"),
        clock=kernel.find("clock"),
        follower=kernel.find("follower"),
        members=members,
        brakes=kernel.find("brakes"),
        metrics=kernel.find("metrics"),
        accepted=kernel.find("inforce").begin,
    )
    kernel.find("peer_server").on_notice("evidence", driver.receive)
    kernel.spawn(driver.run(kernel))
    return kernel.add("rollout_driver", driver)
