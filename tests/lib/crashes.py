"""Workers that crash under a certain request and are restarted."""

import asyncio
import itertools

import attrs

CRASHING_BODY = b"the request that crashes each worker that runs it"
RESTART_DELAY_S = 0.4  # From a crash to the restart under a new ID.
REGISTRATION_EXPIRY_S = 1.0  # From a crash until the registration expires.


@attrs.define
class CrashingPool:
    """Pool of workers of one service, which crash under CRASHING_BODY.

    Attributes:
      options: Further arguments for `site.add_worker`.
      crash_times: Event loop times of the crashes, in seconds.
      pending: Tasks of restarts and removals still to come.
    """

    site: object
    service: str
    options: dict = attrs.Factory(dict)
    ids: itertools.count = attrs.Factory(itertools.count)
    crash_times: list = attrs.Factory(list)
    pending: set = attrs.Factory(set)

    async def add(self):
        """Starts a worker that crashes under CRASHING_BODY."""
        name = f"w{next(self.ids)}"
        await self.site.add_worker(
            name,
            self.service,
            deadly=CRASHING_BODY,
            ended=lambda: self.record_crash(name),
            **self.options,
        )

    def record_crash(self, name):
        self.crash_times.append(asyncio.get_running_loop().time())
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

    def count_crashing_runs(self):
        """Returns how often a worker began to run CRASHING_BODY."""
        return sum(
            run.body == CRASHING_BODY
            for worker in self.site.workers.values()
            for run in worker.runs
        )


async def start_crashing_pool(site, service, count, **options):
    pool = CrashingPool(site, service, options)
    for _ in range(count):
        await pool.add()
    return pool
