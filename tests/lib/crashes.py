"""Workers that some requests crash, and that are started again."""

import asyncio
import itertools

import attrs

CRASHING_BODY = b"the request that crashes each worker that runs it"
RESTART_DELAY_S = 0.4  # From a worker's end to its start under a new id.
REGISTRATION_EXPIRY_S = 1.0  # From its end until its registration runs out.


@attrs.define
class CrashingPool:
    """Workers of one service of a site.

    Attributes:
      crash_times: Loop times at which one ended.
      pending: Starts and removals that are still to come.
    """

    site: object
    service: str
    options: dict = attrs.Factory(dict)
    ids: itertools.count = attrs.Factory(itertools.count)
    crash_times: list = attrs.Factory(list)
    pending: set = attrs.Factory(set)

    async def add(self):
        """Starts a worker that the deadly request crashes."""
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
        """How often a worker began to run the deadly request."""
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
