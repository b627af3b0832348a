"""Workers that some requests crash, and that are started again."""

import asyncio
import itertools

import attrs

DEADLY = b"the request that crashes each worker that runs it"
BACK_S = 0.4  # From a worker's end to its start under a new id.
EXPIRY_S = 1.0  # From its end until its registration runs out.


@attrs.define
class CrashingPool:
    """Workers of one service of a site.

    Attributes:
      ends: Loop times at which one ended.
      later: Starts and removals that are still to come.
    """

    site: object
    service: str
    more: dict = attrs.Factory(dict)
    ids: itertools.count = attrs.Factory(itertools.count)
    ends: list = attrs.Factory(list)
    later: set = attrs.Factory(set)

    async def add(self):
        """Starts a worker that the deadly request crashes."""
        name = f"w{next(self.ids)}"
        await self.site.add_worker(
            name,
            self.service,
            deadly=DEADLY,
            ended=lambda: self.note_end(name),
            **self.more,
        )

    def note_end(self, name):
        self.ends.append(asyncio.get_running_loop().time())
        for work in (self.restart(), self.expire(name)):
            task = asyncio.ensure_future(work)
            self.later.add(task)
            task.add_done_callback(self.later.discard)

    async def restart(self):
        await asyncio.sleep(BACK_S)
        await self.add()

    async def expire(self, name):
        await asyncio.sleep(EXPIRY_S)
        self.site.store.remove("servers", name)

    def deadly_runs(self):
        """How often a worker began to run the deadly request."""
        return sum(
            run.body == DEADLY
            for worker in self.site.workers.values()
            for run in worker.runs
        )


async def make_pool(site, service, count, **more):
    pool = CrashingPool(site, service, more)
    for _ in range(count):
        await pool.add()
    return pool
