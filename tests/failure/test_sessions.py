"""Sessions keep their version on all entries.

Guards against a session that changes its version when a roll-out's share grows,
when it continues at another entry or when its entry is killed.
"""

import json

import aiohttp
import pytest

from rattanpier._internal.utils.hashing import stable_hash
from tests.lib.builders import DESK_KEY, LARGE, SMALL, configuration_text
from tests.lib.cluster import Cluster
from tests.lib.operators import find_operator

SESSIONS = [f"session-{number}" for number in range(24)]
SHARES = (0.3, 0.6, 1.0)


@pytest.fixture
async def system(tmp_path):
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine", "engine", "--versions", f"{SMALL}=0.9,{LARGE}=1.0"
        )
        text = configuration_text([url])
        fleet = "[fleet]\nvalidity_s = 2.0"
        await cluster.apply(text.replace("[fleet]", fleet))
        await cluster.start_node("control-1", "control")
        await cluster.start_entries(("entry-1", "entry-2"))
        yield cluster, await find_operator(cluster)


async def set_share(operator, share):
    body = {"stable": SMALL, "candidate": LARGE, "share": share}
    status, report = await operator.post("rollouts/r/start", json.dumps(body))
    assert (status, report["in_force"]) == (200, True)


async def ask(cluster, entry, session, token=""):
    """Returns status, version, lost version and token of one answer."""
    async with cluster.session.post(
        f"{cluster.urls[entry]}/v1/chat/completions",
        json={
            "model": "auto",
            "max_tokens": 2,
            "messages": [{"role": "user", "content": session}],
        },
        headers={
            "Authorization": f"Bearer {DESK_KEY}",
            "X-Session-Id": session,
            **({"X-Session-Token": token} if token else {}),
        },
        timeout=aiohttp.ClientTimeout(total=20),
    ) as response:
        await response.read()
        headers = response.headers
        return (
            response.status,
            headers.get("X-Model-Version"),
            headers.get("X-Session-Version-Lost"),
            headers.get("X-Session-Token", ""),
        )


async def count_moved(cluster, entry, versions):
    moved = 0
    for session, version in versions.items():
        status, now, lost, _ = await ask(cluster, entry, session)
        assert (status, lost) == (200, None)
        moved += now != version
    return moved


async def test_sessions_keep_their_version_after_widening_and_a_kill(system):
    cluster, operator = system
    await set_share(operator, SHARES[0])
    first = {
        session: (await ask(cluster, "entry-1", session))[1]
        for session in SESSIONS
    }
    assert set(first.values()) == {SMALL, LARGE}
    for share in SHARES[1:]:
        await set_share(operator, share)
        assert await count_moved(cluster, "entry-2", first) == 0
    await cluster.processes["entry-1"].kill()
    await cluster.start_entry("entry-3")
    assert await count_moved(cluster, "entry-3", first) == 0
    _, version, _, _ = await ask(cluster, "entry-3", "a new session")
    assert version == LARGE


async def test_token_keeps_the_version_and_unknown_pins_are_refused(system):
    cluster, operator = system
    await set_share(operator, 0.5)
    stable = next(s for s in SESSIONS if split_point(s) >= 0.5)
    _, version, _, token = await ask(cluster, "entry-1", stable)
    assert version == SMALL
    await set_share(operator, 1.0)
    _, version, _, _ = await ask(cluster, "entry-2", "with a token", token)
    assert version == SMALL
    await cluster.set_faults("table", fault="down")
    status, *_ = await ask(cluster, "entry-2", stable)
    # The entry does not know the pin, and the split would move the session.
    assert status == 503


def split_point(session):
    """Returns where a session falls in the split of roll-out `r`, 0 to 1."""
    return stable_hash(f"r\x1f{session}") % 10_000 / 10_000
