"""Claims and bills with entry processes that are killed and frozen."""

import asyncio
import collections
import signal

import aiohttp
import pytest

from rattanpier._internal.commands.bills import export_bills
from tests.lib.builders import DESK_KEY, configuration_text
from tests.lib.cluster import Cluster, wait_for

ENTRIES = ("entry-1", "entry-2", "entry-3")
REQUESTS = 60
CALLER_TIMEOUT_S = 60.0


@pytest.fixture
async def cluster(tmp_path):
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine", "engine", "--versions", "small@1=0.9,large@1=1.0"
        )
        await cluster.apply(configuration_text([url], fleet_size=3))
        await asyncio.gather(
            *(
                cluster.start_entry(name, domain=domain)
                for name, domain in zip(ENTRIES, "abc", strict=True)
            )
        )
        yield cluster


async def call(cluster, entry, key, timeout_s=8.0):
    """Sends a request; returns its id and text, or None on failure."""
    body = {
        "model": "auto",
        "messages": [{"role": "user", "content": f"question {key}"}],
    }
    headers = {"Authorization": f"Bearer {DESK_KEY}", "Idempotency-Key": key}
    try:
        async with cluster.session.post(
            f"{cluster.urls[entry]}/v1/chat/completions",
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=1.0),
        ) as response:
            answer = await response.json()
            if response.status != 200:
                return None
            return answer["id"] + answer["choices"][0]["message"]["content"]
    except (aiohttp.ClientError, TimeoutError):
        return None


async def call_until_answered(cluster, key, number, answers):
    """Repeats a request, each time through the next entry, until answered."""
    loop = asyncio.get_running_loop()
    end = loop.time() + CALLER_TIMEOUT_S
    while loop.time() < end:
        answer = await call(cluster, ENTRIES[number % len(ENTRIES)], key)
        if answer is not None:
            answers[key].add(answer)
            return
        number += 1
        await asyncio.sleep(0.3)


async def load(cluster, fault):
    """Sends each key through two entries at once during a fault."""
    answers = collections.defaultdict(set)
    fault_task = asyncio.create_task(fault(cluster))
    callers = []
    for number in range(REQUESTS):
        for entry in (number, number + 1):
            callers.append(
                asyncio.create_task(
                    call_until_answered(cluster, f"k{number}", entry, answers)
                )
            )
        await asyncio.sleep(0.05)
    await asyncio.gather(*callers)
    await fault_task
    return answers


async def bills(cluster):
    found = collections.Counter()
    async for billed in export_bills(cluster.table):
        found[billed.bill.key] += 1
    return found


async def check_answers_and_bills(cluster, answers):
    lost = REQUESTS - len(answers)
    doubled = sum(len(texts) > 1 for texts in answers.values())
    assert (lost, doubled) == (0, 0)
    expected = dict.fromkeys(answers, 1)

    async def all_billed():
        return await bills(cluster) == expected

    # Peers flush kept bills with a delay after the store is back.
    await wait_for(all_billed)


async def kill_and_start(cluster):
    for name, domain in (("entry-1", "a"), ("entry-2", "b")):
        await asyncio.sleep(1.0)
        await cluster.processes[name].kill()
        await cluster.start_entry(name, domain=domain)


async def freeze(cluster):
    for name in ("entry-2", "entry-3"):
        await asyncio.sleep(0.5)
        cluster.processes[name].send(signal.SIGSTOP)
        await asyncio.sleep(6.0)
        cluster.processes[name].send(signal.SIGCONT)


async def outage(cluster):
    await asyncio.sleep(1.0)
    await cluster.set_faults("table", fault="silent")
    await asyncio.sleep(8.0)
    await cluster.set_faults("table", fault="none")


async def outage_and_kill(cluster):
    await cluster.set_faults("table", fault="down")
    await asyncio.sleep(3.0)
    await cluster.processes["entry-1"].kill()
    await asyncio.sleep(1.0)
    await cluster.set_faults("table", fault="none")
    await cluster.start_entry("entry-1", domain="a")


async def lost_answers(cluster):
    await cluster.set_faults("table", fault="lose_answers", count=20)


async def restart_of_all(cluster):
    await asyncio.sleep(1.0)
    await asyncio.gather(*(cluster.processes[n].kill() for n in ENTRIES))
    await asyncio.gather(
        *(
            cluster.start_entry(name, domain=domain)
            for name, domain in zip(ENTRIES, "abc", strict=True)
        )
    )


FAULTS = (
    kill_and_start,
    freeze,
    outage,
    outage_and_kill,
    lost_answers,
    restart_of_all,
)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_each_key_is_answered_once_and_billed_once(cluster, fault):
    answers = await load(cluster, fault)
    await check_answers_and_bills(cluster, answers)
