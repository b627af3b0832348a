"""Workers that answer twice, the second time late, cost callers nothing."""

import asyncio
import collections

from tests.lib.platform_site import event_numbers, platform_site
from tests.lib.stuttering_workers import add_stuttering_workers

WORKERS = 4
CALLERS = 24
REQUESTS = 60  # Of each caller.
SLACK = 10**5  # So that no retry is refused.


async def ask_all(site, ask, is_own):
    """Returns how often callers got which kind of answer."""
    found = collections.Counter()

    async def call():
        for _ in range(REQUESTS):
            id = site.new_id()
            answer = await ask(headers={"X-Attempt-Id": id})
            own = answer.complete and is_own(answer, id)
            found[answer.status, own] += 1

    await asyncio.gather(*(call() for _ in range(CALLERS)))
    return found


def is_own_body(answer, id):
    return answer.body.partition(b" ran ")[2] == id.encode()


def is_whole_stream(answer, _id):
    return event_numbers(answer.body) == [1, 2, 3, 4, 5]


async def test_late_second_answers_fail_no_plain_request():
    async with platform_site() as site:
        await add_stuttering_workers(site, WORKERS)
        entry = await site.add_entry(budgetSlack=SLACK)
        found = await ask_all(site, site.ask, is_own_body)
        assert found == {(200, True): CALLERS * REQUESTS}
        # Connections that may carry late bytes are not used again.
        repeats = entry.metrics.counts["relay.retry_allowed"]
        assert repeats < 0.05 * CALLERS * REQUESTS


async def test_late_second_answers_fail_no_stream():
    async with platform_site() as site:
        await add_stuttering_workers(site, WORKERS, "engine")
        await site.add_entry(budgetSlack=SLACK)
        found = await ask_all(site, site.chat, is_whole_stream)
        assert found == {(200, True): CALLERS * REQUESTS}


async def test_second_answer_within_the_next_one_is_not_delivered():
    async with platform_site() as site:
        await add_stuttering_workers(site, WORKERS, between=True)
        await site.add_entry(budgetSlack=SLACK)
        found = await ask_all(site, site.ask, is_own_body)
        assert found == {(200, True): CALLERS * REQUESTS}
