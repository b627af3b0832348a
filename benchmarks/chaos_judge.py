"""Compares what callers saw with what ran and what was billed."""

from __future__ import annotations

import collections
import json
import pathlib
from typing import Any

import aiohttp
import attrs

from benchmarks.callers import Fate, Kind, Sent, prompt_of
from rattanpier._internal.commands.bills import export_bills
from rattanpier._internal.store.table import Table

TOO_SOON_S = 0.0  # A run may start until "in force" was reported.
# A connection that was open, and ended without the whole answer.
CUT_ERRORS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientPayloadError,
    ConnectionResetError,
    aiohttp.ClientOSError,
)
NOT_CUT = aiohttp.ClientConnectorError  # No connection came about.


@attrs.frozen
class Period:
    """A planned stop of one entry, on the monotonic clock."""

    url: str
    start: float
    end: float


@attrs.frozen
class Withdrawal:
    """A version that was reported to be withdrawn everywhere.

    Attributes:
      time: When that was reported, in seconds since the epoch.
    """

    version: str
    time: float


@attrs.define
class Findings:
    """What went wrong, by kind, with the keys it went wrong for."""

    found: dict[str, list[str]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )

    def add(self, kind: str, key: str) -> None:
        """Adds a finding."""
        self.found[kind].append(key)

    def print(self) -> None:
        """Prints counts and some keys of each kind."""
        for kind, keys in sorted(self.found.items()):
            print(f"FOUND {kind}: {len(keys)}  {' '.join(keys[:5])}")


@attrs.define
class Ran:
    """What the stand-ins ran.

    Attributes:
      prompts: How often each prompt or body was run.
      requests: Request ids without the number of the try.
      runs: Lines of the engines' run files.
    """

    prompts: collections.Counter[str] = attrs.Factory(collections.Counter)
    requests: set[str] = attrs.Factory(set)
    runs: list[dict[str, Any]] = attrs.Factory(list)

    def add_file(self, path: pathlib.Path) -> None:
        """Takes in a stand-in's run file."""
        if not path.exists():
            return
        for line in path.read_text().splitlines():
            run = json.loads(line)
            self.runs.append(run)
            self.prompts[run.get("prompt") or run["body"]] += 1
            self.requests.update(run["request"].split("/"))


async def judge(
    table: Table,
    ran: Ran,
    sent: list[Sent],
    withdrawn: list[Withdrawal],
    stops: list[Period],
) -> Findings:
    """Returns all that went wrong."""
    findings = Findings()
    billed: collections.Counter[str] = collections.Counter()
    async for found in export_bills(table):
        billed[found.bill.key] += 1
    for one in sent:
        judge_one(findings, one, ran, billed[one.key])
        judge_stops(findings, one, stops)
    judge_withdrawn(findings, ran, withdrawn)
    return findings


def judge_one(findings: Findings, one: Sent, ran: Ran, bills: int) -> None:
    """Adds what went wrong with one request."""
    if one.fate is Fate.LOST:
        findings.add("lost", one.key)
    if one.late and one.fate is Fate.WHOLE:
        findings.add("answered only when asked again at the end", one.key)
    if one.wrong:
        findings.add("wrong answer", one.key)
    if len(set(one.answers)) > 1:
        findings.add("doubled answer", one.key)
    if not one.idempotent and ran.prompts[prompt_of(one.key)] > 1:
        findings.add("doubled run", one.key)
    if one.fate is Fate.WHOLE and not ran.prompts[prompt_of(one.key)]:
        findings.add("answered without a run", one.key)
    if one.kind is Kind.CHAT:
        judge_bills(findings, one, bills)
    for refused in one.refusals:
        if refused.not_run and refused.request_id in ran.requests:
            findings.add("false not-run", one.key)
        if refused.retry_after_s <= 0 and refused.status == 503:
            findings.add("503 without Retry-After", one.key)


def judge_bills(findings: Findings, one: Sent, bills: int) -> None:
    """Adds what went wrong with a request's bill."""
    if one.fate is Fate.WHOLE and bills != 1:
        findings.add(f"answered, {bills} bills", one.key)
    if one.fate is not Fate.WHOLE and bills:
        findings.add("billed without a whole answer", one.key)


def judge_stops(findings: Findings, one: Sent, stops: list[Period]) -> None:
    """Adds answers that a planned stop cut."""
    for broken in one.broken:
        if isinstance(broken.error, NOT_CUT):
            continue
        if not isinstance(broken.error, CUT_ERRORS):
            continue
        for stop in stops:
            if broken.url == stop.url and stop.start <= broken.time <= stop.end:
                findings.add("cut by a planned stop", one.key)


def judge_withdrawn(
    findings: Findings, ran: Ran, withdrawn: list[Withdrawal]
) -> None:
    """Adds runs of a version that started after it was withdrawn."""
    for withdrawal in withdrawn:
        for run in ran.runs:
            late = run.get("started", 0.0) - withdrawal.time
            if run.get("version") == withdrawal.version and late > TOO_SOON_S:
                findings.add("run of a withdrawn version", run["request"])
