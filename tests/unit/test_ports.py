"""Processes that run tests side by side never take each other's ports.

Four seeds of the soak side by side ended without a result: their processes were
forks of one that had counted its first port already, each found the same ports
free, and an entry could not listen.
"""

import concurrent.futures
import multiprocessing

from tests.lib.ports import free_port

PROCESSES, PORTS_EACH = 4, 60
GONE_S = 20.0


def take_ports(barrier):
    taken = [free_port() for _ in range(PORTS_EACH)]
    barrier.wait(GONE_S)  # So that none is given back before all have theirs.
    return taken


def test_processes_of_one_parent_take_different_ports():
    context = multiprocessing.get_context("fork")
    with (
        context.Manager() as manager,
        concurrent.futures.ProcessPoolExecutor(PROCESSES, context) as pool,
    ):
        barrier = manager.Barrier(PROCESSES)
        lots = list(pool.map(take_ports, [barrier] * PROCESSES))
    ports = [port for lot in lots for port in lot]
    assert len(set(ports)) == PROCESSES * PORTS_EACH
