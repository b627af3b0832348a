"""What a hint from one process to another costs, by stream and by datagram.

Prints the processor time in ms for one hint, sent and taken in, of several
hundred that come one by one as prompts do.

    PYTHONPATH=. python -m benchmarks.hints
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import structlog

from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.peers.datagrams import DatagramNotifier
from rattanpier._internal.peers.link import Link
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import PeerServer
from rattanpier._internal.utils.metrics import Metrics

HOST = "127.0.0.1"
HINTS = 500
PAUSE_S = 0.004  # Between two hints: none shares a frame with the next.


def make_notice() -> peer_pb2.Notice:
    """Returns a hint as entries send it."""
    told = peer_pb2.PromptSent(worker=7, read_s=0.5, parts=[1, 2, 3])
    return peer_pb2.Notice(prompt_sent=told)


async def cost_ms(send: Callable[[], None] | None) -> float:
    """Returns the processor time of a hint; without `send`, of the pauses."""
    began = time.process_time()
    for _ in range(HINTS):
        if send is not None:
            send()
        await asyncio.sleep(PAUSE_S)
    return 1000 * (time.process_time() - began) / HINTS


async def main() -> None:
    """Measures both ways."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(30))
    taken: list[peer_pb2.Notice] = []
    server = PeerServer()
    server.on_notice("prompt_sent", taken.append)
    await server.start(HOST, 0)
    link = Link(HOST, server.port, "bench")
    hints = DatagramNotifier(server.handle_notice, Metrics())
    await hints.start(HOST, server.port)
    port = server.port
    member = Member(
        "e", "i", Role.ENTRY, "a", "r", "u", HOST, port, hint_port=port
    )
    link.notify(make_notice())
    await asyncio.sleep(0.2)
    pauses = await cost_ms(None)
    stream = await cost_ms(lambda: link.notify(make_notice()))
    datagram = await cost_ms(lambda: hints.send([member], make_notice()))
    print(f"stream:   {stream - pauses:.3f} ms")
    print(f"datagram: {datagram - pauses:.3f} ms")
    print(f"hints taken: {len(taken)} of {2 * HINTS + 1}")
    await link.close()
    await hints.stop()
    await server.stop()


if __name__ == "__main__":
    asyncio.run(main())
