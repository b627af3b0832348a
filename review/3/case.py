"""An entry freezes for 4 s; then a worker leaves that never drains."""

# As for the project's own tests:
# ruff: noqa: ANN001, ANN002, ANN003, ANN201, ANN202, ANN204, D102, D103

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import sitekit  # noqa: E402

ROUNDS = 8
FREEZE_S = 4.0
CONTACT_S = sitekit.BOUNDS["contactMs"] / 1000
DRAIN_S = sitekit.BOUNDS["drainMs"] / 1000
# When the worker's entry goes, after the freeze ended.
LEAVES_AFTER_S = (1.2, 1.4, 1.6, 1.8)
LINGER_S = 0.08  # "and a little longer"
WORK_S = 0.06
REQUESTERS = 16
ENTRIES = 3


async def case(trouble, record, folder, entries):
    store = sitekit.Store()
    await store.start()
    routes = [sitekit.route("debit", "unsafe", "app")]
    store.put("op", "config", sitekit.manifest(routes))
    arrivals = []

    def on_run(worker, id, arrived):
        arrivals.append((worker.id, id, arrived))
        record.add(f"{worker.id} runs {id}")

    async def add_worker(number):
        name = f"i-{number}"
        worker = sitekit.Worker(store, name, "app", record, WORK_S)
        worker.on_run = on_run
        await worker.start()
        return worker

    workers = [await add_worker(number) for number in range(3)]
    for number, ip in enumerate(sitekit.own_ips(ENTRIES)):
        name = f"edge-{number}"
        address = await store.listen(name)
        entry = sitekit.Entry(name, ip, address, folder, record)
        entries.append(entry)
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(4.0)
    # The entry that read the list of workers last ("reader").
    frozen = next(e for e in entries if e.name == store.last_reader)
    sent, answers = {}, {}

    async def request(number):
        channel = None
        while True:
            if channel is None or channel.writer is None:
                channel = sitekit.Channel(frozen.listen["frontend"])
                try:
                    await channel.open()
                except (OSError, TimeoutError):
                    await asyncio.sleep(0.2)
                    channel = None
                    continue
            id = sitekit.new_id()
            sent[id] = time.monotonic()
            status, _, body = await channel.ask(
                "POST", "/debit/x", id, b"charge one"
            )
            answers[id] = status if body is not None else 0
            record.add(f"{id} sent to {frozen.name}, answered {answers[id]}")
            if not status:
                channel = None
            await asyncio.sleep(0.02)

    late = []
    tasks = [asyncio.create_task(request(n)) for n in range(REQUESTERS)]
    try:
        for number in range(ROUNDS):
            if trouble:
                frozen.send_signal(signal.SIGSTOP)
                await asyncio.sleep(FREEZE_S)
                frozen.send_signal(signal.SIGCONT)
            woken_at = time.monotonic()
            wait_s = LEAVES_AFTER_S[number % len(LEAVES_AFTER_S)]
            await asyncio.sleep(wait_s)
            leaver = workers.pop(0)
            leaver.deregister()
            acked_at = time.monotonic()
            record.add(f"the store takes away the entry of {leaver.id}")
            workers.append(await add_worker(number + 3))
            await asyncio.sleep(DRAIN_S + LINGER_S)
            leaver.end()
            record.add(f"{leaver.id} exits")
            await asyncio.sleep(1.5)
            found = [
                (id, at - acked_at - DRAIN_S)
                for name, id, at in arrivals
                if name == leaver.id
                and at > acked_at + DRAIN_S
                and sent[id] >= woken_at + CONTACT_S
            ]
            for id, over_s in found:
                record.add(
                    f"DRAIN {id}: sent {sent[id] - woken_at:.3f} s after the "
                    f"freeze, reaches {leaver.id} {over_s * 1000:.0f} ms after "
                    "the bound, which runs it; the requester gets "
                    f"{answers.get(id)}"
                )
            late += found
            if any(answers.get(id) != 200 for id, _ in found):
                break  # A late request was lost, too.
            await asyncio.sleep(1.0)
    finally:
        for task in tasks:
            task.cancel()
    lost = sum(1 for id, _ in late if answers.get(id) != 200)
    record.add(f"sent {len(sent)}, run {len(arrivals)}")
    record.add(f"late {len(late)}, of these run and not answered {lost}")
    return bool(late)


if __name__ == "__main__":
    sys.exit(sitekit.run_case(case, FOLDER))
