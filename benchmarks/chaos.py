"""A load under random kills, freezes, cuts and store outages, seeded.

Prints every fault as it is caused, then what was lost, doubled, misbilled or
falsely said "not run", counted at the stand-ins. Exits with 1 if anything was.

    python -m benchmarks.chaos --seconds 300 --rate 200 --entries 6 --seed 1
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import pathlib
import random
import socket
import sys
import tempfile
import time

import aiohttp
import attrs
import fire
import numpy

from benchmarks.callers import Addresses, Caller, Fate, Kind, Sent
from benchmarks.chaos_faults import ENGINES, SERVICES, Chaos
from benchmarks.chaos_judge import Ran, judge
from benchmarks.chaos_operator import ChaosOperator, make_text, skills
from rattanpier._internal.claims.records import Batch
from rattanpier._internal.store.table import scan_all
from rattanpier._internal.utils.codec import decode
from tests.lib.builders import DESK_KEY
from tests.lib.cluster import Cluster
from tests.lib.tcp_proxy import TcpProxy

VERSIONS = ",".join(f"{name}={skill}" for name, skill in skills().items())
DOMAINS = ("a", "b", "c")
CONTROLS = ["control-1", "control-2"]
SETTLE_S = 15.0  # After the last fault, for bills held by peers.
NON_IDEMPOTENT_SHARE = 0.2
STREAM_SHARE = 0.5
ORDER_SHARE = 0.1
MAX_EXPLAINED = 10
SLOW_S = 10.0
ASKED_AT_ONCE = 50
FIXED_PORTS = (20_000, 30_000)  # Below those that the system gives out.
PEERS_HOST = "127.0.0.2"  # Where the relays before entries listen.


@attrs.define
class Site:
    """Starts stand-ins and nodes, with relays before each entry.

    Attributes:
      ports: Of upstreams and of entries' peer ports; kept over restarts.
    """

    cluster: Cluster
    folder: pathlib.Path
    ports: dict[str, int] = attrs.Factory(dict)
    table_relays: dict[str, TcpProxy] = attrs.Factory(dict)
    peer_relays: dict[str, TcpProxy] = attrs.Factory(dict)

    async def start(self, name: str) -> None:
        """Starts a process, or starts it again."""
        if name in ENGINES:
            await self.start_upstream(name, "engine", "--versions", VERSIONS)
        elif name in SERVICES:
            await self.start_upstream(name, "plain", "--name", name)
        elif name in CONTROLS:
            await self.cluster.start_node(name, "control")
        else:
            await self.start_entry(name)

    async def start_upstream(self, name: str, *arguments: str) -> None:
        """Starts an upstream that notes its runs in a file."""
        port = self.ports.setdefault(name, 0)
        url = await self.cluster.start_standin(
            name, *arguments, "--port", str(port), "--run_path", self.runs(name)
        )
        self.ports[name] = int(url.rsplit(":", 1)[1])

    def runs(self, name: str) -> str:
        """Returns the path of an upstream's run file."""
        return str(self.folder / f"{name}.runs")

    async def add_relays(self, name: str) -> None:
        """Puts relays between an entry, the table and its peers."""
        host, _, port = self.cluster.urls["table"][7:].partition(":")
        relay = self.table_relays[name] = TcpProxy(host, int(port))
        at = await relay.start()
        self.cluster.table_urls[name] = f"http://127.0.0.1:{at}"
        peer_port = self.ports[name] = free_port()
        relay = self.peer_relays[name] = TcpProxy("127.0.0.1", peer_port)
        await relay.start(PEERS_HOST, peer_port)

    async def start_entry(self, name: str) -> None:
        """Starts an entry in its failure domain."""
        number = int(name.removeprefix("entry-"))
        extra = (
            f'[peers]\nhost = "127.0.0.1"\nport = {self.ports[name]}\n'
            f'advertise = "{PEERS_HOST}"'
        )
        domain = DOMAINS[number % len(DOMAINS)]
        await self.cluster.start_entry(name, extra, domain)


def free_port() -> int:
    """Returns a port that is free now, and that no connection takes later."""
    while True:
        port = random.SystemRandom().randrange(*FIXED_PORTS)
        with contextlib.suppress(OSError), socket.socket() as free:
            free.bind(("", port))
            return port


async def load(
    caller: Caller, rate: float, seconds: float, rng: random.Random
) -> list[Sent]:
    """Sends requests at random times; returns when all are answered."""
    sent: list[Sent] = []
    tasks = []
    start = due = time.monotonic()
    while due < start + seconds:
        sent.append(make_request(len(sent), rng))
        tasks.append(asyncio.create_task(caller.send(sent[-1])))
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*tasks)
    return sent


async def ask_for_open(caller: Caller, sent: list[Sent]) -> None:
    """Asks again, without faults, for what is lost or unknown so far."""
    given_up = [one for one in sent if one.fate is not Fate.WHOLE]
    for start in range(0, len(given_up), ASKED_AT_ONCE):
        batch = given_up[start : start + ASKED_AT_ONCE]
        await asyncio.gather(*map(caller.ask_again, batch))


def make_request(number: int, rng: random.Random) -> Sent:
    """Returns one of the requests of the load."""
    order = rng.random() < ORDER_SHARE
    idempotent = not order and rng.random() >= NON_IDEMPOTENT_SHARE
    stream = not order and rng.random() < STREAM_SHARE
    kind = Kind.ORDER if order else Kind.CHAT
    return Sent(f"c-{number}", idempotent, stream, kind)


def summarize(sent: list[Sent], chaos: Chaos, operator: ChaosOperator) -> None:
    """Prints what callers saw in all."""
    fates = collections.Counter(one.fate.value for one in sent)
    codes = collections.Counter(
        f"{refused.code}{'' if refused.not_run else ' (may have run)'}"
        for one in sent
        for refused in one.refusals
    )
    broken = collections.Counter(
        type(broken.error).__name__ for one in sent for broken in one.broken
    )
    tries = collections.Counter(one.tries for one in sent)
    waits = collect_waits(sent)
    print(f"requests {len(sent)}  fates {dict(fates)}")
    late = collections.Counter(one.fate.value for one in sent if one.late)
    print(f"of these, given up and asked for again {dict(late)}")
    print(f"faults {dict(chaos.faults)}")
    print(f"refusals seen {dict(codes)}")
    print(f"seconds in refused tries, and told to wait: {waits}")
    print(f"broken tries {dict(broken)}")
    print(f"tries {dict(sorted(tries.items()))}")
    print(f"planned stops {len(chaos.stops)}")
    print(
        f"versions {operator.current} withdrawn, "
        f"{len(operator.withdrawn)} reported in force, "
        f"answers {dict(operator.outcomes)}"
    )
    print_quantiles("time to the whole answer", [one.seconds for one in sent])
    print_quantiles("time until in force", operator.in_force_s)


def collect_waits(sent: list[Sent]) -> str:
    """Returns, by code, the seconds that refused tries cost callers."""
    spent: collections.Counter[str] = collections.Counter()
    told: collections.Counter[str] = collections.Counter()
    for one in sent:
        for refused in one.refusals:
            spent[refused.code] += refused.seconds
            told[refused.code] += refused.retry_after_s
    return ", ".join(
        f"{code} {spent[code]:.0f} and {told[code]:.0f}"
        for code in sorted(spent)
    )


def print_quantiles(what: str, seconds: list[float]) -> None:
    """Prints quantiles of durations."""
    if not seconds:
        return
    quantiles = (
        f"p{q} {numpy.percentile(seconds, q):.2f} s" for q in (50, 95, 99, 100)
    )
    print(f"{what}: {', '.join(quantiles)}")


async def explain(cluster: Cluster, sent: list[Sent]) -> None:
    """Prints what callers of lost and slow requests were told."""
    lost = [one for one in sent if one.fate is Fate.LOST]
    slow = [one for one in sent if one.seconds > SLOW_S and one not in lost]
    rows = await scan_all(cluster.table, "claims/") if lost else []
    ops = [(row.key, op) for row in rows for op in decode(Batch, row.value).ops]
    for one in lost[:MAX_EXPLAINED]:
        print_request("lost", one)
        for row_key, op in ops:
            if op.key == one.key:
                print(f"    {row_key} {op}")
    for one in slow[:MAX_EXPLAINED]:
        print_request("slow", one)


def print_request(what: str, one: Sent) -> None:
    """Prints what the caller of a request was told."""
    told = [
        f"{refused.code} after {refused.seconds:.1f}s, come back in "
        f"{refused.retry_after_s:.1f}s"
        for refused in one.refusals
    ]
    broken = [
        f"{broken.error!r} after {broken.seconds:.1f}s" for broken in one.broken
    ]
    kind = "idempotent" if one.idempotent else "non-idempotent"
    print(
        f"  {what} {one.key} {one.kind.value} {kind}, {one.seconds:.1f} s, "
        f"{one.tries} tries, {told}, {broken}"
    )


async def run(seconds: float, rate: float, entries: int, seed: int) -> bool:
    """Runs the whole; True if nothing went wrong."""
    rng = random.Random(seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="chaos-"))
    print(f"logs in {folder}, seed {seed}")
    async with Cluster(folder) as cluster:
        site = Site(cluster, folder)
        await cluster.start_table()
        for name in (*ENGINES, *SERVICES):
            await site.start(name)
        engines = [cluster.urls[name] for name in ENGINES]
        services = [cluster.urls[name] for name in SERVICES]

        def make(current: int) -> str:
            return make_text(engines, services, entries, current)

        await cluster.apply(make(0))
        names = [f"entry-{number}" for number in range(entries)]
        for name in names:
            await site.add_relays(name)
        await asyncio.gather(*map(site.start, [*names, *CONTROLS]))
        chaos = Chaos(
            cluster,
            names,
            CONTROLS,
            random.Random(seed + 1),
            site.start,
            site.table_relays,
            site.peer_relays,
        )
        operator = ChaosOperator(
            cluster, random.Random(seed + 2), make, chaos.note
        )
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            addresses = Addresses(
                session, lambda: [cluster.urls[name] for name in names]
            )
            refresh = asyncio.create_task(addresses.run())
            caller = Caller(session, addresses, DESK_KEY, skills(), rng)
            start, spent = time.monotonic(), time.process_time()
            _, _, sent = await asyncio.gather(
                chaos.run(seconds),
                operator.run(seconds),
                load(caller, rate, seconds, rng),
            )
            spent = time.process_time() - spent
            took = time.monotonic() - start
            print(
                f"took {took:.0f} s; load and relays used "
                f"{spent / took:.2f} CPU"
            )
            await asyncio.sleep(SETTLE_S)
            await ask_for_open(caller, sent)
            refresh.cancel()
        ran = Ran()
        for name in (*ENGINES, *SERVICES):
            ran.add_file(pathlib.Path(site.runs(name)))
        findings = await judge(
            cluster.table, ran, sent, operator.withdrawn, chaos.stops
        )
        for name in chaos.endless:
            findings.add("planned stop did not end", name)
        summarize(sent, chaos, operator)
        findings.print()
        await explain(cluster, sent)
        return not findings.found


def main(
    seconds: float = 300.0,
    rate: float = 200.0,
    entries: int = 6,
    seed: int = 1,
) -> None:
    """Runs the load and the faults; exits with 1 if anything went wrong."""
    clean = asyncio.run(run(seconds, rate, entries, seed))
    print("clean" if clean else "NOT CLEAN")
    sys.exit(0 if clean else 1)


if __name__ == "__main__":
    fire.Fire(main)
