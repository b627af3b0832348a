"""Tests of the operator command line against a running system."""

import asyncio
import json
import os
import sys

import aiohttp
import pytest

from rattanpier._internal.commands.demo import running_demo
from rattanpier._internal.commands.demo_text import DEMO_KEY, OPERATOR_KEY
from tests.lib.cluster import SOURCE, wait_for

LIMIT_S = 60.0


class Cli:
    """Runs `rattanpier` in a subprocess as an operator would."""

    def __init__(self, url, folder):
        self.folder = folder
        self.environment = {
            **os.environ,
            "PYTHONPATH": SOURCE,
            "RATTANPIER_URL": url,
            "RATTANPIER_OPERATOR_KEY": OPERATOR_KEY,
            "COLUMNS": "200",
        }

    async def run(self, *arguments, **changes):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "rattanpier._internal.cli.operator", *arguments),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**self.environment, **changes},
            cwd=self.folder,
        )
        out, err = await asyncio.wait_for(process.communicate(), LIMIT_S)
        return process.returncode, out.decode(), err.decode()

    async def json(self, *arguments):
        code, out, err = await self.run(*arguments, "--json")
        assert out, err
        return code, json.loads(out)


@pytest.fixture
async def system():
    async with running_demo([0, 0]) as system:
        yield system


@pytest.fixture
async def cli(system, tmp_path):
    yield Cli(system.operator_urls[0], tmp_path)


async def test_bills_match_the_answered_requests(system, cli):
    keys = [f"k{number}" for number in range(3)]
    async with aiohttp.ClientSession() as session:
        for key in (*keys, keys[0]):
            async with session.post(
                f"{system.entry_urls[0]}/v1/chat/completions",
                headers={
                    "Authorization": f"Bearer {DEMO_KEY}",
                    "Idempotency-Key": key,
                },
                json={
                    "model": "large",
                    "messages": [{"role": "user", "content": "x" * 40}],
                },
            ) as response:
                assert response.status == 200
                tokens = (await response.json())["usage"]["completion_tokens"]
    table = ("--table_url", system.platform.table_url)
    objects = ("--objects_url", system.platform.objects_url)

    async def billed():
        code, found = await cli.json("bills", *table, *objects)
        assert code == 0
        return found if len(found) == len(keys) else None

    found = await wait_for(billed, LIMIT_S)
    assert sorted(one["bill"]["key"] for one in found) == keys
    # 10 prompt tokens cost 10 credits per million, generated tokens 20.
    price = (10 * 10 + tokens * 20) / 1_000_000
    assert all(one["bill"]["credits"] == pytest.approx(price) for one in found)
    code, out, _ = await cli.run("bills", *table, *objects)
    assert code == 0
    assert "large@1" in out
    code, found = await cli.json("bills", *table, "--workspace", "other")
    assert found == []


async def test_concurrent_change_is_reported_as_raced(cli):
    code, _, _ = await cli.run("config", "show", "--out", "mine.toml")
    assert code == 0
    mine = cli.folder / "mine.toml"
    text = mine.read_text()
    assert text.startswith("# Based on revision 1.\n")
    mine.write_text(text.replace("quality_target = 0.9", "share = 2.0"))
    code, report = await cli.json("config", "apply", "mine.toml")
    assert (code, report["outcome"]) == (0, "accepted")
    assert report["in_force"]
    theirs = cli.folder / "theirs.toml"
    theirs.write_text(text.replace("max_queued", "max_queued"))
    code, out, _ = await cli.run("config", "apply", "theirs.toml")
    assert code == 3
    assert "another change came first" in out
    assert "+share = 2.0" in out
    code, items = await cli.json("config", "history")
    assert (code, [one["revision"] for one in items]) == (0, [2, 1])
    code, out, _ = await cli.run("config", "diff", "theirs.toml")
    assert code == 0
    assert "-share = 2.0" in out


async def test_rollout_withdraw_and_drain(cli):
    start = ("rollout", "start", "up", "small@1", "large@1", "--share", "0.2")
    code, report = await cli.json(*start)
    assert (code, report["outcome"], report["revision"]) == (0, "accepted", 2)
    code, report = await cli.json("rollout", "widen", "up", "0.5")
    assert code == 0
    code, found = await cli.json("rollout", "status", "up")
    assert (code, found["share"], found["state"]) == (0, 0.5, "running")
    code, report = await cli.json("rollout", "halt", "up")
    assert (code, report["braked"]) == (0, "large@1")
    code, report = await cli.json("version", "withdraw", "small@1")
    assert (code, report["braked"]) == (0, "small@1")
    code, report = await cli.json("upstream", "drain", "phrases")
    assert (code, report["outcome"]) == (0, "accepted")
    _, found = await cli.json("config", "show")
    assert found["revision"] == 6
    assert 'state = "withdrawn"' in found["text"]


async def test_status_entries_and_explain(cli):
    code, entries = await cli.json("entries")
    assert code == 0
    assert {one["name"] for one in entries} == {"entry-1", "entry-2"}

    async def in_force():
        return (await cli.json("status"))[1]["in_force"]

    await wait_for(in_force)
    code, out, _ = await cli.run("status")
    assert code == 0
    assert "Revision 1, in force everywhere" in out
    assert "control-2" in out
    request = {
        "workspace": "demo",
        "body": {"model": "large", "messages": [{"content": "x" * 40}]},
    }
    (cli.folder / "request.json").write_text(json.dumps(request))
    code, found = await cli.json("explain", "request.json")
    assert code == 0
    assert found["plan"]["rule"] == "large-by-name"
    assert [one["version"] for one in found["steps"]] == ["large@1"]
    # 10 prompt tokens at 10 and 256 generated tokens at 20 credits per
    # million.
    assert found["steps"][0]["cost"] == pytest.approx(0.00522)
    request["body"]["model"] = "auto"
    (cli.folder / "request.json").write_text(json.dumps(request))
    _, found = await cli.json("explain", "request.json")
    assert found["rules"] == [
        {"rule": "large-by-name", "matches": False, "failed": ["models"]},
        {"rule": "phrases", "matches": False, "failed": ["services"]},
        {"rule": "everything-else", "matches": True, "failed": []},
    ]
    assert [one["version"] for one in found["steps"]] == ["small@1", "large@1"]


async def test_errors_have_their_own_exit_codes(cli):
    (cli.folder / "bad.toml").write_text(
        '[[rules]]\nname = "x"\nthen.version = "y"\n'
    )
    code, out, _ = await cli.run("config", "check", "bad.toml")
    assert code == 2
    assert "bad.toml:3: unknown version 'y'; none is defined" in out
    code, _, err = await cli.run("config", "apply", "bad.toml", "--base=1")
    assert code == 2
    assert "bad_configuration: bad.toml:3" in err
    code, _, err = await cli.run("status", RATTANPIER_URL="http://127.0.0.1:9")
    assert code == 7
    assert "unreachable: no answer from" in err
    code, _, err = await cli.run("status", RATTANPIER_OPERATOR_KEY="wrong")
    assert code == 8
    assert "bad_key" in err
    code, _, err = await cli.run("rollout", "widen", "up", "1.5")
    assert code == 2
    assert "1.5 is not a share; give 0 to 1" in err.replace(
        "\nrattanpier: hint: ", "; "
    )
    code, _, err = await cli.run("rollout", "halt", "absent")
    assert code == 2
    assert "there is no roll-out 'absent'" in err
