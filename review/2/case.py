"""Rolling restart of two entries: is an accepted request cut at the exit?"""

# As for the project's own tests:
# ruff: noqa: ANN001, ANN002, ANN003, ANN201, ANN202, ANN204, D102, D103

import asyncio
import json
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import sitekit  # noqa: E402

ROLLS = 10
LAST_ROLL_S = 85.0  # Later, no roll begins: a script has 120 s.
GAP_S = 1.0  # roll_term: one machine at a time, each gap_s.
ROLL_S = 7.0
RESTART_DELAY_S = 0.5
GRACE_S = sitekit.BOUNDS["graceS"]
WORK_S = 0.42  # The sheet's longest for this kind of request is 0.45 s.
TICK_S = 0.5  # Requests come in clumps.
REQUESTERS = 36
# Each asks once in 6 s, on its kept channel; channels may be idle for 12 s
# (four fifths of idleTimeoutMs).
TICKS = 12


class Requester:
    """Follows the directory as PROTOCOL.md says, on a kept channel."""

    def __init__(self, number, entries, sent, record):
        self.entries, self.sent, self.record = entries, sent, record
        self.patience = 3 if number % 3 == 0 else 1  # Some keep it longer.
        self.addresses, self.until = [], 0.0
        self.channel = None

    async def resolve(self):
        if time.monotonic() < self.until:
            return
        target = f"/rattanpier/resolve?name={sitekit.HOST}"
        target += "&region=region-a&zone=zone-a"
        for entry in self.entries:
            status, body = await sitekit.get(entry.listen["registry"], target)
            if status != 200:
                continue
            told = json.loads(body)
            ttl_s = min(told["ttlS"], sitekit.BOUNDS["ttl_max_s"])
            self.addresses = told["addresses"]
            self.until = time.monotonic() + ttl_s * self.patience
            channel = self.channel
            if channel is not None and channel.address not in self.addresses:
                channel.close()
            return

    async def open(self):
        if self.channel is not None and self.channel.writer is not None:
            return
        for address in random.sample(self.addresses, len(self.addresses)):
            self.channel = sitekit.Channel(address)
            try:
                await self.channel.open()
                return
            except (OSError, TimeoutError):
                self.channel = None
        return

    async def ask(self):
        await self.resolve()
        await self.open()
        if self.channel is None:
            return
        id = sitekit.new_id()
        sent_at = time.monotonic()
        address = self.channel.address
        status, headers, body = await self.channel.ask(
            "POST", "/debit/x", id, b"charge one"
        )
        if not status:
            self.channel = None
        whole = body is not None
        ended_at = time.monotonic()
        self.sent.append((id, address, sent_at, ended_at, status, whole))
        outcome = f"answered {status}" if status and whole else "cut"
        self.record.add(
            f"{id} sent to {address} {ended_at - sent_at:.3f} s ago, {outcome}"
        )


async def roll(entries, signals, record):
    """SIGTERM to one entry after the other; each starts again."""

    async def restart(entry):
        entry.send_signal(signal.SIGTERM)
        term_at = time.monotonic()
        try:
            await asyncio.wait_for(entry.process.wait(), GRACE_S)
        except TimeoutError:
            entry.send_signal(signal.SIGKILL)
            await entry.process.wait()
        exit_at = time.monotonic()
        signals.append((entry.listen["frontend"], term_at, exit_at))
        record.add(f"{entry.name} exits {exit_at - term_at:.3f} s after")
        entry.settings["bootstrap"] = False
        await asyncio.sleep(RESTART_DELAY_S)
        await entry.start()

    restarts = []
    for entry in entries:
        restarts.append(asyncio.create_task(restart(entry)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*restarts)


def find_lost(sent, ran, signals):
    """Yields the requests that the rule LOST counts, by its own bounds."""
    for id, address, sent_at, ended_at, status, whole in sent:
        if (status and whole) or id not in ran:
            continue
        if ended_at - sent_at >= 1.5:  # The route's timeout, also the deadline.
            continue
        for listen, term_at, _ in signals:
            planned = term_at <= sent_at and ended_at <= term_at + GRACE_S + 1
            if listen != address or not planned:
                continue
            last_sixth = term_at + GRACE_S * 5 / 6
            if sent_at <= term_at + 3 and ended_at >= last_sixth:
                continue
            yield id, sent_at - term_at, ended_at - sent_at, ran[id]


async def case(trouble, record, folder, entries):
    store = sitekit.Store()
    await store.start()
    routes = [sitekit.route("debit", "unsafe", "app")]
    store.put("op", "config", sitekit.manifest(routes))
    ran = {}

    def on_run(worker, id, arrived):
        ran[id] = ran.get(id, 0) + 1
        record.add(f"{worker.id} runs {id}")

    for number in range(3):
        worker = sitekit.Worker(store, f"i-{number}", "app", record, WORK_S)
        worker.on_run = on_run
        await worker.start()
    for number, ip in enumerate(sitekit.own_ips(2)):
        name = f"edge-{number}"
        entry = sitekit.Entry(name, ip, store.address, folder, record)
        entries.append(entry)
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(1.0)
    sent, signals = [], []
    requesters = [
        Requester(n, entries, sent, record) for n in range(REQUESTERS)
    ]
    busy = {}

    async def tick():
        count = 0
        while True:
            count += 1
            for each in requesters[count % TICKS :: TICKS]:
                if each not in busy or busy[each].done():
                    busy[each] = asyncio.create_task(each.ask())
            await asyncio.sleep(TICK_S)

    ticking = asyncio.create_task(tick())
    await asyncio.sleep(TICKS * TICK_S)
    found = []
    try:
        for number in range(ROLLS if trouble else 4):
            if time.monotonic() - record.start > LAST_ROLL_S:
                break
            await asyncio.sleep(random.uniform(0.5, 1.0))
            began = time.monotonic()
            if trouble:
                await roll(entries, signals, record)
                for entry in entries:
                    await entry.wait_ready()
            left = 0.0 if trouble else ROLL_S
            await asyncio.sleep(max(3.0, began + left - time.monotonic()))
            found = list(find_lost(sent, ran, signals))
            record.add(f"roll {number + 1}: {len(found)} lost so far")
            if found:
                break
    finally:
        ticking.cancel()
    answered = sum(1 for each in sent if each[4] == 200 and each[5])
    cut = sum(1 for each in sent if not (each[4] and each[5]))
    record.add(f"sent {len(sent)}, answered 200 whole {answered}, cut {cut}")
    for id, after_term, after_sent, runs in found:
        record.add(
            f"LOST {id}: sent {after_term:.3f} s after SIGTERM, run {runs} "
            f"time(s) by a worker, channel closed unanswered {after_sent:.3f} "
            "s later"
        )
    if not trouble:
        return cut > 0
    return bool(found)


if __name__ == "__main__":
    sys.exit(sitekit.run_case(case, FOLDER))
