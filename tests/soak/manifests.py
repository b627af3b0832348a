"""Real entries under faults while operators change the manifest.

A separate run from `site`: eight entries in three failure domains, each with
its own path to the store. Every manifest moves a route, adds one or drops one,
and probes ask each entry directly, so that the outcome of a probe tells which
versions of the manifest may have decided it.
"""

import asyncio
import contextlib
import random
import signal
import time

import aiohttp
import attrs

from rattanpier._internal.standin.platform_store import StoreFault
from rattanpier._internal.utils.hashing import rendezvous
from tests.lib.platform_site import (
    HOST,
    KEY,
    manifest,
    platform_site,
    route,
)
from tests.lib.relay_process import start_entry
from tests.soak.proxy import PathFault, Proxy
from tests.soak.site import freeze

ENTRIES = 8
DOMAINS = ("zone-a", "zone-b", "zone-c")
SERVICES = ("plain", "other")
APPLY_S = 2.0  # The bound within which a manifest has to apply.
CONTACT_S = 3.0
FAULTS_S = 24.0
MAX_FAULT_S = 3.0
END_S = APPLY_S + CONTACT_S + MAX_FAULT_S
PROBE_GAP_S = 0.05
PROBE_TIMEOUT_S = 1.5
# A timer of this process that is later than this shows that the machine was
# short of processors, which counts as a slow-down of all entries.
MAX_LATENESS_S = 0.3
TIMER_S = 0.05


@attrs.frozen
class Version:
    """A manifest: its number, when it was acknowledged, and its routes."""

    number: int
    acked_at: float
    services: dict  # Service by the name of each route.


@attrs.frozen
class Probe:
    """A request straight to an entry.

    `served_by` is the service that ran it, None if no worker did.
    """

    entry: int
    route: str
    sent_at: float
    ended_at: float
    status: int
    served_by: str | None

    def fits(self, version):
        """Whether a version allows what became of the request."""
        service = version.services.get(self.route)
        if self.served_by is not None:
            return service == self.served_by
        return service is None if self.status == 404 else True


@attrs.define
class ManifestRun:
    """Record of a run, for the checks.

    `out_of_touch` holds the intervals of faults by entry; the entry is out of
    touch in them and for `CONTACT_S` after each. Those of the key None are
    faults of the store, which count for all entries.
    """

    seed: int
    rng: random.Random
    site: object = None
    entries: list = attrs.Factory(list)
    paths: list = attrs.Factory(list)
    versions: list = attrs.Factory(list)
    probes: list = attrs.Factory(list)
    out_of_touch: list = attrs.Factory(list)
    stopped: set = attrs.Factory(set)


def late_probes(run, bound_s=APPLY_S):
    """Yields the probes that were decided by a version out of date."""
    for probe in run.probes:
        settled = [
            at
            for at, version in enumerate(run.versions)
            if version.acked_at + bound_s < probe.sent_at
        ]
        allowed = run.versions[max(settled, default=0) :]
        if any(probe.fits(version) for version in allowed):
            continue
        if in_touch(run, probe.entry, probe.sent_at, probe.ended_at):
            yield probe


def judge_manifests(run):
    """Yields one sentence for each probe decided by an outdated version."""
    for probe in late_probes(run):
        newest = [
            each
            for each in run.versions
            if each.acked_at + APPLY_S < probe.sent_at
        ][-1]
        age_s = probe.sent_at - newest.acked_at
        yield (
            f"entry-{probe.entry} answered {probe.status} for {probe.route} "
            f"(run by {probe.served_by}), {age_s:.2f} s after version "
            f"{newest.number} was acknowledged"
        )


async def run_manifests(seed, folder, entries=ENTRIES):
    """Runs a seed and returns the record of the run."""
    run = ManifestRun(seed, random.Random(f"manifests/{seed}"))
    first = {"moved": "plain"}
    async with (
        platform_site(manifest_document(1, first)) as site,
        contextlib.AsyncExitStack() as stack,
    ):
        run.site = site
        run.versions.append(Version(1, time.monotonic(), first))
        for service in SERVICES:
            await site.add_worker(f"{service}-1", service)
        await start_entries(run, entries, folder, stack)
        await play(run)
    return run


def manifest_document(number, services):
    document = manifest(version=number)
    document["routes"] += [
        route(name, "safe", service) for name, service in services.items()
    ]
    document["services"].append(
        {"name": "other", "healthPath": "/healthz", "maxConnections": 90}
    )
    return document


async def start_entries(run, count, folder, stack):
    host, port = run.site.store_address.split(":")
    stack.push_async_callback(end_all, run)
    for number in range(count):
        path = Proxy(host, int(port))
        await path.start()
        stack.push_async_callback(path.stop)
        run.paths.append(path)
        entry = await start_entry(
            path.address,
            folder,
            f"entry-{number}",
            seeds=[str(each.settings.peers) for each in run.entries[:3]],
            zone=DOMAINS[number % len(DOMAINS)],
            configApplyMs=APPLY_S * 1000,
            contactMs=CONTACT_S * 1000,
            graceS=8,
        )
        run.entries.append(entry)
    for entry in run.entries:
        await entry.wait_until_ready(run.site.session)
    await asyncio.sleep(CONTACT_S)


async def end_all(run):
    for entry in run.entries:
        await entry.kill()


async def play(run):
    """Changes manifests and probes entries while faults come and go."""
    end = time.monotonic() + FAULTS_S
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(change_manifests(run, end + MAX_FAULT_S))
        tasks.create_task(inject_faults(run, end))
        tasks.create_task(record_slow_downs(run, end + END_S))
        for number in range(len(run.entries)):
            tasks.create_task(probe_entry(run, number, end + END_S))


async def change_manifests(run, end):
    """Writes manifests at drawn moments: in series, and after long pauses."""
    rng = run.rng
    while time.monotonic() < end:
        await asyncio.sleep(rng.choice((0.2, 0.7, 1.5, 2.4)) * rng.random())
        services = dict(run.versions[-1].services)
        number = run.versions[-1].number + rng.randint(1, 3)
        added = [name for name in services if name != "moved"]
        match rng.choice(("move", "add", "drop")):
            case "add" if len(added) < 4:
                services[f"added-{number}"] = rng.choice(SERVICES)
            case "drop" if added:
                del services[rng.choice(added)]
            case _:
                other = {"plain": "other", "other": "plain"}
                services["moved"] = other[services["moved"]]
        run.site.store.put("op", "config", manifest_document(number, services))
        run.versions.append(Version(number, time.monotonic(), services))


async def probe_entry(run, number, end):
    """Asks one entry for routes that recent versions changed."""
    rng = random.Random(f"probes/{run.seed}/{number}")
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end:
            recent = {
                name for each in run.versions[-4:] for name in each.services
            }
            await probe(run, session, number, rng.choice(sorted(recent)), rng)
            await asyncio.sleep(PROBE_GAP_S * (0.5 + rng.random()))


async def probe(run, session, number, name, rng):
    settings = run.entries[number].settings
    sent_at = time.monotonic()
    headers = {
        "Host": HOST,
        "X-Attempt-Id": f"{rng.getrandbits(64):016x}",
        "X-Deadline-Ms": str(int(PROBE_TIMEOUT_S * 1000)),
        "Authorization": f"Bearer {KEY}",
    }
    try:
        async with session.get(
            f"http://{settings.callers}/{name}/x",
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
        ) as response:
            body = await response.read()
            status = response.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return
    served_by = body.decode().split("-1 ran ")[0] if status == 200 else None
    run.probes.append(
        Probe(number, name, sent_at, time.monotonic(), status, served_by)
    )


async def record_slow_downs(run, end):
    while (began := time.monotonic()) < end:
        await asyncio.sleep(TIMER_S)
        now = time.monotonic()
        if now - began > TIMER_S + MAX_LATENESS_S:
            run.out_of_touch.append((None, began, now))


# Faults. They hit the entries that watch the store more often than others.


async def inject_faults(run, end):
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < end:
            await asyncio.sleep(run.rng.uniform(0.2, 2.5))
            kind = run.rng.choice(FAULTS)
            tasks.create_task(kind(run, draw_targets(run)))


def draw_targets(run):
    """Returns a few entries; half of the time the preferred watchers."""
    numbers = list(range(len(run.entries)))
    if run.rng.random() < 0.5:
        names = [entry.settings.name for entry in run.entries]
        ranked = rendezvous("watch", names)
        numbers.sort(key=lambda number: ranked.index(names[number]))
    else:
        run.rng.shuffle(numbers)
    return numbers[: run.rng.randint(1, 3)]


def in_touch(run, entry, since, until):
    """Whether an entry was in touch for a whole interval."""
    return not any(
        each in (entry, None)
        and began - 0.1 < until
        and ended + CONTACT_S > since
        for each, began, ended in run.out_of_touch
    )


@contextlib.contextmanager
def recorded(run, number):
    """Records that a fault keeps an entry, or the store, out of touch."""
    began = time.monotonic()
    run.out_of_touch.append((number, began, float("inf")))
    at = len(run.out_of_touch) - 1
    yield
    run.out_of_touch[at] = (number, began, time.monotonic())


async def freeze_entries(run, numbers):
    for_s = run.rng.uniform(0.2, MAX_FAULT_S)
    async with asyncio.TaskGroup() as tasks:
        for number in numbers:
            tasks.create_task(freeze_entry(run, number, for_s))


async def freeze_entry(run, number, for_s):
    with recorded(run, number):
        await freeze(run.entries[number].process, for_s)


async def kill_entries(run, numbers):
    pause_s = run.rng.uniform(0.1, 1.5)
    async with asyncio.TaskGroup() as tasks:
        for number in numbers:
            tasks.create_task(
                restart_entry(run, number, signal.SIGKILL, pause_s)
            )


async def stop_entries(run, numbers):
    async with asyncio.TaskGroup() as tasks:
        for number in numbers:
            await asyncio.sleep(0.3)
            tasks.create_task(restart_entry(run, number, signal.SIGTERM, 0.1))


async def restart_entry(run, number, how, pause_s):
    """Ends an entry by a signal and starts it again.

    The signal and the start take it out of touch; between the signal and its
    end, a stopping entry is in touch again after `CONTACT_S`.
    """
    old = run.entries[number]
    if old.process.pid in run.stopped:
        return
    run.stopped.add(old.process.pid)
    with recorded(run, number):
        old.process.send_signal(how)
        old.process.send_signal(signal.SIGCONT)
    await old.process.wait()
    with recorded(run, number):
        await asyncio.sleep(pause_s)
        run.entries[number] = await old.start_again()


async def cut_from_store(run, numbers):
    fault = run.rng.choice(list(PathFault)[1:])
    for_s = run.rng.uniform(0.2, MAX_FAULT_S)
    with contextlib.ExitStack() as stack:
        for number in numbers:
            stack.enter_context(recorded(run, number))
            run.paths[number].set(fault)
        await asyncio.sleep(for_s)
        for number in numbers:
            run.paths[number].set(PathFault.NONE)


async def impair_store(run, _numbers):
    with recorded(run, None):
        run.site.store.set_fault(
            run.rng.choice((StoreFault.BUSY, StoreFault.SILENT))
        )
        await asyncio.sleep(run.rng.uniform(0.2, 1.0))
        run.site.store.set_fault(StoreFault.NONE)


async def compact_store(run, _numbers):
    with recorded(run, None):
        run.site.store.compact()


FAULTS = (
    freeze_entries,
    freeze_entries,
    kill_entries,
    kill_entries,
    stop_entries,
    cut_from_store,
    cut_from_store,
    impair_store,
    compact_store,
)
