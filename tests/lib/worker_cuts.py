"""Cuts entries of a test site off from all workers."""

import asyncio
import enum

import attrs

from rattanpier._internal.relay import pool


class Cut(enum.StrEnum):
    """What a cut does to connections between an entry and workers."""

    NONE = "none"
    REFUSED = "refused"  # New ones are refused, open ones reset.
    SILENT = "silent"  # New ones hang, open ones too.
    HALF = "half"  # New ones are refused, open ones live on.


# When the kernel gives up an open connection on which nothing comes back.
GIVE_UP_S = 3.0


@attrs.define
class WorkerCut:
    """Replaces how one entry opens connections to workers."""

    entry: object
    kind: Cut = Cut.NONE
    open: list = attrs.Factory(list)

    def install(self):
        dispatcher = self.entry.edge.dispatcher
        dispatcher.sender.pool.connect = self.connect
        dispatcher.terminations.listens = self.listens
        dispatcher.reachability.listens = self.listens
        return self

    async def connect(self, worker):
        await self.pass_cut()
        connection = await pool.open_connection(worker)
        self.open = [each for each in self.open if not each.closed]
        self.open.append(connection)
        return connection

    async def listens(self, host, port, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await self.pass_cut()
        except ConnectionRefusedError:
            return False
        except TimeoutError:
            return None
        return True

    async def pass_cut(self):
        """Raises or waits as connecting to a worker does."""
        if self.kind in (Cut.REFUSED, Cut.HALF):
            raise ConnectionRefusedError
        while self.kind is Cut.SILENT:
            await asyncio.sleep(0.01)

    def set(self, kind):
        self.kind = kind
        if kind is Cut.REFUSED:
            self.abort_open()
        if kind is Cut.SILENT:
            for connection in self.open:
                connection.data_received = lambda _data: None
            asyncio.get_running_loop().call_later(GIVE_UP_S, self.abort_open)

    def abort_open(self):
        for connection in self.open:
            connection.abort()


def cut_off(site, *names):
    """Returns the cuts of some entries, which do nothing yet."""
    return [WorkerCut(site.entries[name]).install() for name in names]
