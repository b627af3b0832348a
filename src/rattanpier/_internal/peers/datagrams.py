"""Notices that may be lost, a datagram each, to many peers at once.

A message over a stream costs its two ends 0.7 ms of processor time together, a
datagram 0.25 ms (`benchmarks/hints.py`, on a busy machine). Entries before many
engines hear of a hundred hints a second. At 43 a second an entry took 4.0 % of
a core over streams, 1.9 % by datagrams and 1.6 % without hints (24 entries that
serve nobody, under a profiler).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import structlog
from google.protobuf.message import DecodeError

from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="peers")

# What fits into one packet on any link; longer hints are not sent.
MAX_BYTES = 1200
# Not yet taken by the kernel; further hints are dropped. A burst to 400 peers
# fits, and it leaves a link of 5 Mbit/s within a tenth of a second.
MAX_BUFFERED_BYTES = 65536


class DatagramNotifier(asyncio.DatagramProtocol):
    """Sends hints, and hands those that come to a handler.

    Attributes:
      handler: Handles a notice.
      metrics: Counts hints that were not sent or could not be read.
      transport: None until it is open.
    """

    def __init__(
        self, handler: Callable[[peer_pb2.Notice], None], metrics: Metrics
    ) -> None:
        self.handler = handler
        self.metrics = metrics
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keeps the transport."""
        self.transport = transport

    def send(self, members: Iterable[Member], notice: peer_pb2.Notice) -> None:
        """Sends a hint to some peers."""
        packed = notice.SerializeToString()
        if self.transport is None or len(packed) > MAX_BYTES:
            self.record_dropped("long")
            return
        for member in members:
            if self.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
                self.record_dropped("full")
                return
            if member.hint_port:
                address = (member.peer_host, member.hint_port)
                self.transport.sendto(packed, address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a hint in; one that can't be read is left out."""
        try:
            notice = peer_pb2.Notice.FromString(data)
        except DecodeError as error:
            self.record_dropped("unreadable")
            log.warning("Hint left out.", peer=addr[0], error=str(error))
            return
        self.metrics.count("peers.hint_taken")
        self.handler(notice)

    def error_received(self, exc: OSError) -> None:
        """Counts a hint that a peer's VM refused: no process listens there."""
        self.record_dropped("refused")
        log.debug("Hint refused.", error=repr(exc))

    def record_dropped(self, reason: str) -> None:
        """Counts a hint that reaches nobody, or that nobody can read."""
        self.metrics.count(f"peers.hint_dropped.{reason}")

    async def stop(self) -> None:
        """Stops listening."""
        if self.transport is not None:
            self.transport.close()
