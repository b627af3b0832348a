"""An operator who changes the configuration and withdraws versions."""

from __future__ import annotations

import asyncio
import collections
import random
import time
from collections.abc import Callable

import aiohttp
import attrs

from benchmarks.chaos_judge import Withdrawal
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.store.table import scan_all
from rattanpier._internal.utils.hashing import sha256_hex
from tests.lib.builders import DESK_KEY, OPERATOR_KEY
from tests.lib.cluster import Cluster

BETWEEN_CHANGES_S = (1.0, 5.0)
CALL_TIMEOUT_S = 30.0
RETRY_PAUSE_S = 0.5
VERSIONS = 100
SKILL = 0.9
BROKEN = (aiohttp.ClientError, TimeoutError, ConnectionError, ValueError)


def version_name(number: int) -> str:
    """Returns the name of a version."""
    return f"trial@{number}"


def skills() -> dict[str, float]:
    """Returns the skill of each version."""
    return {version_name(number): SKILL for number in range(VERSIONS)}


def make_text(
    engines: list[str], plain: list[str], size: int, current: int
) -> str:
    """Returns a configuration where one version serves, and none before it."""
    names = [version_name(number) for number in range(current + 1)]
    versions = "\n".join(
        f'[versions."{name}"]\nmodel = "trial"\nstate = '
        f'"{"serving" if number == current else "withdrawn"}"'
        for number, name in enumerate(names)
    )
    workers = "\n".join(
        f'[upstreams.pool.workers.w{number}]\nurl = "{url}"\n'
        f'domain = "a"\nversions = {names}'
        for number, url in enumerate(engines)
    )
    services = "\n".join(
        f'[upstreams.phrases.workers.p{number}]\nurl = "{url}"\ndomain = "a"'
        for number, url in enumerate(plain)
    )
    return f"""
[fleet]
size = {size}
claim_shards = 4
store_writes_per_s = 200.0
{versions}
[upstreams.pool]
kind = "engine"
{workers}
[upstreams.phrases]
kind = "plain"
non_repeatable = ["POST /orders"]
{services}
[workspaces.desk]
key_sha256 = ["{sha256_hex(DESK_KEY)}"]
versions = {names}
services = ["phrases"]
[cascades.quick]
steps = ["{version_name(current)}"]
[[rules]]
name = "phrases"
when.services = ["phrases"]
then.service = "phrases"
[[rules]]
name = "all"
then.cascade = "quick"
"""


@attrs.define
class ChaosOperator:
    """Withdraws the version in service for the next one, again and again.

    Attributes:
      make: Returns the text in which a version is the current one.
      withdrawn: What was reported to be in force.
      outcomes: How often each answer came.
      in_force_s: Seconds from an order to its being reported in force.
    """

    cluster: Cluster
    rng: random.Random
    make: Callable[[int], str]
    note: Callable[[str], None]
    current: int = 0
    withdrawn: list[Withdrawal] = attrs.Factory(list)
    outcomes: collections.Counter[str] = attrs.Factory(collections.Counter)
    in_force_s: list[float] = attrs.Factory(list)

    async def run(self, seconds: float) -> None:
        """Changes the configuration until the time is over."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and self.current < VERSIONS - 1:
            await asyncio.sleep(self.rng.uniform(*BETWEEN_CHANGES_S))
            await self.move_on()

    async def move_on(self) -> None:
        """Withdraws the current version and puts the next in service."""
        old, start = version_name(self.current), time.monotonic()
        self.note(f"withdraw {old}")
        if self.rng.random() < 0.5:
            path = f"versions/{old}/withdraw"
            report = await self.post(path)
            self.take_report(report, old, start)
        # The next version's text withdraws the old one, too.
        while not await self.put(self.current + 1, old, start):
            await asyncio.sleep(RETRY_PAUSE_S)
        self.current += 1

    async def put(self, number: int, old: str, start: float) -> bool:
        """Proposes the next text; True if it is the newest."""
        try:
            found = await self.call("GET", "config")
            base = found["revision"]
            if version_is(found["text"], number):
                await self.wait_in_force(base, old, start)
                return True
        except BROKEN:
            self.outcomes["no answer"] += 1
            return False
        text = self.make(number)
        report = await self.post(f"config?base={base}&wait_s=15", text)
        self.take_report(report, old, start)
        return bool(report) and report.get("outcome") == "accepted"

    async def wait_in_force(self, base: int, old: str, start: float) -> None:
        """Asks once whether an accepted revision is in force."""
        status = await self.call("GET", "status")
        if status["in_force"] and status["revision"] >= base:
            self.add_withdrawn(old, start)

    def take_report(self, report: dict, old: str, start: float) -> None:
        """Keeps what the answer to a change said."""
        outcome = report.get("outcome") or report.get("error", {}).get("code")
        self.outcomes[outcome or "no answer"] += 1
        if report.get("outcome") == "accepted" and report["in_force"]:
            self.add_withdrawn(old, start)

    def add_withdrawn(self, version: str, start: float) -> None:
        """Keeps that a version is reported to be withdrawn everywhere."""
        if all(known.version != version for known in self.withdrawn):
            self.withdrawn.append(Withdrawal(version, time.time()))
            self.in_force_s.append(time.monotonic() - start)

    async def post(self, path: str, text: str = "") -> dict:
        """Makes a change; returns the report, or {} without an answer."""
        try:
            return await self.call("POST", path, text)
        except BROKEN:
            return {}

    async def call(self, method: str, path: str, text: str = "") -> dict:
        """Calls one control process."""
        urls = await self.urls()
        if not urls:
            raise ConnectionError("no control process is known")
        async with self.cluster.session.request(
            method,
            f"{self.rng.choice(urls)}/operator/{path}",
            data=text,
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        ) as response:
            return await response.json(content_type=None)

    async def urls(self) -> list[str]:
        """Returns the addresses of the control processes."""
        try:
            rows = await scan_all(self.cluster.table, "member/")
        except StoreUnavailableError as error:
            raise ConnectionError("members can't be read") from error
        return [
            row.value.split('"operator_url":"')[1].split('"')[0]
            for row in rows
            if '"operator_url":"http' in row.value
        ]


def version_is(text: str, number: int) -> bool:
    """Says whether a text has a version in service."""
    return f'steps = ["{version_name(number)}"]' in text
