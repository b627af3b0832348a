"""Requests that share parts of their prompts, some of which crash workers."""

import asyncio
import itertools
import random

import attrs

from rattanpier._internal.standin.platform_worker import PlatformWorkerServer
from tests.lib import part_judge
from tests.lib.part_judge import CONTACT_S, CRASHES
from tests.lib.platform_site import until

CRASH_S = 0.1  # From the start of a run to the crash.
RESTART_DELAY_S = 2.0  # From a crash to the restart under a new id.
REGISTRATION_EXPIRY_S = 3.6
DOCUMENTS = 12  # Sound second parts of prompts.
SOUND_PER_S = 16.0
CRASHING_PER_S = 6.0
SERVED_SHARE = 0.5  # Of sound requests, from twice `CONTACT_S` on.


@attrs.define
class TimedRun:
    """A request that reached a worker; `at` in seconds of the loop's clock."""

    at: float
    parts: list


@attrs.define
class TimedWorker(PlatformWorkerServer):
    """A worker that records when requests reached it."""

    timed_runs: list = attrs.Factory(list)
    under_way: list = attrs.Factory(list)  # Parts of requests that it runs.

    async def take(self, run, writer):
        now = asyncio.get_running_loop().time()
        self.timed_runs.append(TimedRun(now, run.shared_parts))
        self.under_way.append(run.shared_parts)
        try:
            return await super().take(run, writer)
        finally:
            self.under_way.remove(run.shared_parts)


@attrs.define
class RestartingPool:
    """Workers that are restarted under a new id after each crash.

    Attributes:
      options: Further arguments of the workers.
      crash_times: Times of the crashes, in seconds of the loop's clock.
      crash_parts: Parts of the requests that ran at each crash.
      pending: Tasks of restarts and of registrations that expire.
    """

    site: object
    options: dict
    ids: itertools.count = attrs.Factory(itertools.count)
    crash_times: list = attrs.Factory(list)
    crash_parts: list = attrs.Factory(list)
    pending: set = attrs.Factory(set)

    async def add(self):
        name = f"w{next(self.ids)}"
        worker = TimedWorker(name, ended=lambda: self.end(name), **self.options)
        await worker.start()
        self.site.workers[name] = worker
        self.site.register(name, "engine")

    def end(self, name):
        """Records a crash and schedules what follows it."""
        self.crash_times.append(asyncio.get_running_loop().time())
        under_way = self.site.workers[name].under_way
        self.crash_parts.append(set(itertools.chain.from_iterable(under_way)))
        for work in (self.restart(), self.expire(name)):
            task = asyncio.ensure_future(work)
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)

    async def restart(self):
        await asyncio.sleep(RESTART_DELAY_S)
        await self.add()

    async def expire(self, name):
        await asyncio.sleep(REGISTRATION_EXPIRY_S)
        self.site.store.remove("servers", name)

    async def crash_one(self, rng):
        """Ends a worker that runs, whatever it runs."""
        running = [
            name
            for name, worker in self.site.workers.items()
            if worker.server is not None and worker.server.is_serving()
        ]
        if running:
            name = rng.choice(running)
            await self.site.workers[name].stop()
            self.end(name)

    def runs(self):
        """Returns all requests that reached a worker."""
        return [
            run
            for worker in self.site.workers.values()
            for run in worker.timed_runs
        ]


@attrs.define
class Call:
    """A request of a caller, and what came of it."""

    at: float
    parts: tuple
    answer: object = None

    @property
    def served(self):
        return (
            self.answer is not None
            and self.answer.status == 200
            and self.answer.complete
        )


@attrs.define
class Load:
    """Sound requests and, for a time, such that crash workers.

    Attributes:
      site: Where the requests are sent, to all entries alike.
      crashing: Tuples of parts, one of which is drawn for each request that
        crashes its worker.
      calls: The requests so far.
    """

    site: object
    crashing: list
    rng: random.Random
    calls: list = attrs.Factory(list)
    tasks: list = attrs.Factory(list)

    async def run(self, seconds, crashing_from_s):
        """Sends requests for some seconds and waits for their answers."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        sound = self.send_at_rate(SOUND_PER_S, seconds, self.sound_parts)
        crashing = self.send_at_rate(
            CRASHING_PER_S if self.crashing else 0.0,
            seconds - crashing_from_s,
            lambda: self.rng.choice(self.crashing),
            crashing_from_s,
        )
        await asyncio.gather(sound, crashing)
        await asyncio.gather(*self.tasks)
        return began

    def sound_parts(self):
        return ("system", f"document {self.rng.randrange(DOCUMENTS)}")

    async def send_at_rate(self, per_s, seconds, draw_parts, after_s=0.0):
        if not per_s:
            return
        loop = asyncio.get_running_loop()
        await asyncio.sleep(after_s)
        end = loop.time() + seconds
        while loop.time() < end:
            call = Call(loop.time(), draw_parts())
            self.calls.append(call)
            self.tasks.append(asyncio.ensure_future(self.send(call)))
            await asyncio.sleep(self.rng.expovariate(per_s))

    async def send(self, call):
        entry = self.rng.choice(list(self.site.entries))
        own = self.site.new_id()
        parts = ",".join(f"{part}:100" for part in (*call.parts, own))
        call.answer = await self.site.ask(
            "/chat/x",
            entry,
            method="POST",
            headers={
                "X-Model": "*",
                "X-Token-Usage": "300,50",
                "X-Prefix-Hash": parts,
            },
            data=own.encode(),
        )


def late_sends(pool, deadly):
    """Returns when requests with a part reached workers too late."""
    crashes = [
        at
        for at, parts in zip(pool.crash_times, pool.crash_parts, strict=True)
        if deadly in parts
    ]
    sends = [run.at for run in pool.runs() if deadly in run.parts]
    return part_judge.late_sends(crashes, sends)


def sound_calls_after(load, pool, deadly):
    """Returns the sound requests from when all of them are to be served."""
    times = sorted(pool.crash_times)
    since = times[min(CRASHES, len(times)) - 1] + 2 * CONTACT_S
    return [
        call
        for call in load.calls
        if call.at > since and deadly.isdisjoint(call.parts)
    ]


async def add_entries(site, count):
    """Starts entries and waits until they know each other."""
    entries = [await site.add_entry(f"entry-{n}") for n in range(count)]
    for entry in entries:
        await until(lambda entry=entry: len(entry.fleet.live()) == count)
    return entries
