"""Faults, one after another and some in pairs, printed as they are caused."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

import attrs

from benchmarks.chaos_judge import Period
from tests.lib.cluster import Cluster
from tests.lib.tcp_proxy import ProxyMode, TcpProxy

ENGINES = [f"engine-{number}" for number in range(3)]
SERVICES = [f"service-{number}" for number in range(2)]
PAIR_SHARE = 0.3  # Of faults that come two at a time.
MAX_FAULTS = 3  # At the same time.
BETWEEN_FAULTS_S = (1.0, 4.0)
AFTER_STOP_S = 0.5  # Callers notice a cut a little after the process ended.

StartNode = Callable[[str], Awaitable[None]]


@attrs.define
class Chaos:
    """Causes faults one after another, some in pairs."""

    cluster: Cluster
    entries: list[str]
    controls: list[str]
    rng: random.Random
    start_node: StartNode
    relays: dict[str, TcpProxy]
    peer_relays: dict[str, TcpProxy]
    stops: list[Period] = attrs.Factory(list)
    endless: list[str] = attrs.Factory(list)
    started: float = attrs.Factory(time.monotonic)
    hit: set[str] = attrs.Factory(set)
    table_fault: asyncio.Lock = attrs.Factory(asyncio.Lock)
    faults: collections.Counter = attrs.Factory(collections.Counter)

    def note(self, what: str) -> None:
        """Prints a fault."""
        self.faults[what.split()[0]] += 1
        elapsed = time.monotonic() - self.started
        print(f"{elapsed:7.2f}s  {what}", flush=True)

    async def run(self, seconds: float) -> None:
        """Causes faults until the time is over; heals before it returns."""
        causes: list[Callable[[], Awaitable[None]]] = [
            self.kill_entry,
            self.freeze_entry,
            self.stop_entry,
            self.store_outage,
            self.store_lost_answers,
            self.cut_streams,
            self.kill_engine_answers,
            self.kill_engine,
            self.kill_service,
            self.service_fault,
            self.kill_control,
            self.freeze_control,
            self.part_from_store,
            self.part_from_peers,
        ]
        running: set[asyncio.Task] = set()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            pair = self.rng.random() < PAIR_SHARE
            for cause in self.rng.sample(causes, 2 if pair else 1):
                if len(running) < MAX_FAULTS:
                    task = asyncio.create_task(cause())
                    running.add(task)
                    task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.uniform(*BETWEEN_FAULTS_S))
        await asyncio.gather(*running)

    @contextlib.contextmanager
    def pick(self, names: list[str]) -> Iterator[str]:
        """Gives a process that no other fault hits meanwhile."""
        unhurt = [name for name in names if name not in self.hit]
        name = self.rng.choice(unhurt)
        self.hit.add(name)
        try:
            yield name
        finally:
            self.hit.discard(name)

    async def kill_entry(self) -> None:
        """Kills an entry and starts it again."""
        with self.pick(self.entries) as name:
            self.note(f"kill {name}")
            await self.cluster.processes[name].kill()
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            await self.start_node(name)

    async def stop_entry(self) -> None:
        """Stops an entry as planned and starts it again."""
        with self.pick(self.entries) as name:
            self.note(f"stop {name}")
            url, start = self.cluster.urls[name], time.monotonic()
            ended = await self.cluster.processes[name].stop()
            end = time.monotonic()
            if ended:
                self.stops.append(Period(url, start, end + AFTER_STOP_S))
            else:
                self.endless.append(name)  # Killed, which may cut answers.
            self.note(f"stopped {name} after {end - start:.1f}s")
            await self.start_node(name)

    async def freeze_entry(self) -> None:
        """Freezes an entry for some seconds."""
        await self.freeze(self.entries)

    async def freeze_control(self) -> None:
        """Freezes a control process for some seconds."""
        await self.freeze(self.controls)

    async def freeze(self, names: list[str]) -> None:
        """Freezes a process for some seconds."""
        with self.pick(names) as name:
            seconds = self.rng.uniform(1.0, 8.0)
            self.note(f"freeze {name} {seconds:.1f}s")
            process = self.cluster.processes[name]
            process.send(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send(signal.SIGCONT)

    async def kill_control(self) -> None:
        """Kills a control process and starts it again."""
        with self.pick(self.controls) as name:
            self.note(f"kill {name}")
            await self.cluster.processes[name].kill()
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            await self.start_node(name)

    async def kill_engine(self) -> None:
        """Kills an engine with all it runs, and starts it again."""
        await self.kill_upstream(ENGINES)

    async def kill_service(self) -> None:
        """Kills a plain service and starts it again."""
        await self.kill_upstream(SERVICES)

    async def kill_upstream(self, names: list[str]) -> None:
        """Kills an upstream and starts it again."""
        with self.pick(names) as name:
            self.note(f"kill {name}")
            await self.cluster.processes[name].kill()
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            await self.start_node(name)

    async def part_from_store(self) -> None:
        """Parts one entry from the table service."""
        await self.part("store", self.relays)

    async def part_from_peers(self) -> None:
        """Lets no peer reach one entry; it reaches the others."""
        await self.part("peers", self.peer_relays)

    async def part(self, side: str, relays: dict[str, TcpProxy]) -> None:
        """Parts an entry from one side, by a cut or by silence."""
        with self.pick(self.entries) as name:
            mode = self.rng.choice([ProxyMode.CUT, ProxyMode.SILENT])
            seconds = self.rng.uniform(1.0, 8.0)
            self.note(f"part-{side} {name} {mode.value} {seconds:.1f}s")
            relays[name].set_mode(mode)
            await asyncio.sleep(seconds)
            relays[name].set_mode(ProxyMode.OPEN)

    async def store_outage(self) -> None:
        """Takes the table service away, by refusal or by silence."""
        fault = self.rng.choice(["down", "silent"])
        seconds = self.rng.uniform(1.0, 6.0)
        self.note(f"outage {fault} {seconds:.1f}s")
        async with self.table_fault:
            await self.cluster.set_faults("table", fault=fault)
            await asyncio.sleep(seconds)
            await self.cluster.set_faults("table", fault="none")

    async def store_lost_answers(self) -> None:
        """Loses the answers of some writes that take effect."""
        count = self.rng.randrange(1, 20)
        self.note(f"lost-answers {count}")
        async with self.table_fault:
            await self.cluster.set_faults(
                "table", fault="lose_answers", count=count
            )
            await asyncio.sleep(1.0)
            await self.cluster.set_faults("table", fault="none")

    async def cut_streams(self) -> None:
        """Has an engine cut some streams half way."""
        await self.upstream_fault(ENGINES, "cut")

    async def kill_engine_answers(self) -> None:
        """Has an engine run some requests and close before the answer."""
        await self.upstream_fault(ENGINES, "cut_before_answer")

    async def service_fault(self) -> None:
        """Has a plain service run some calls and close or fail."""
        fault = self.rng.choice(["cut_before_answer", "fail", "refuse"])
        await self.upstream_fault(SERVICES, fault)

    async def upstream_fault(self, names: list[str], fault: str) -> None:
        """Has a fault hit some requests of one upstream."""
        with self.pick(names) as name:
            count = self.rng.randrange(1, 20)
            self.note(f"{fault} {name} {count}")
            await self.cluster.set_faults(name, fault=fault, count=count)
            await asyncio.sleep(1.0)
            await self.cluster.set_faults(name, fault="none")
