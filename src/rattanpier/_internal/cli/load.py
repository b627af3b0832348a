"""The program `rattanpier-load`: open-loop load that checks the answers."""

from __future__ import annotations

import asyncio

from rich.console import Console

from rattanpier._internal.cli.common import run_fire
from rattanpier._internal.cli.operator import printed
from rattanpier._internal.commands.result import ExitCode, Result, make_table
from rattanpier._internal.load.arrivals import LoadProfile
from rattanpier._internal.load.report import Report
from rattanpier._internal.load.run import run_load


def split(text: str | tuple[str, ...]) -> list[str]:
    """Returns the items of a list with commas, which fire may have split.

    >>> split("a,b"), split(("a", "b"))
    (['a', 'b'], ['a', 'b'])
    """
    return text.split(",") if isinstance(text, str) else list(text)


def load(
    entries: str,
    keys: str,
    rate: float = 20.0,
    seconds: float = 10.0,
    seed: int = 1,
    stream_share: float = 0.5,
    session_share: float = 0.3,
    repeat_share: float = 0.05,
    max_tokens: int = 32,
) -> Result:
    """Sends seeded requests to entries before engine stand-ins.

    Args:
      entries: Addresses of one or more entries, with commas; the others are
        asked for.
      keys: Workspace keys with commas, the largest workspace first.
      rate: Requests a second, whatever the answers take.
      seconds: How long requests arrive.
      seed: Fixes what is sent when.
      stream_share: Share of streaming requests.
      session_share: Share of requests that belong to a session.
      repeat_share: Share of requests sent once more with their key.
      max_tokens: Tokens asked for.
    """
    shape = LoadProfile(
        split(keys),
        rate,
        seconds,
        seed,
        stream_share,
        session_share,
        repeat_share,
        max_tokens,
    )
    with Console(stderr=True).status("Starting") as status:
        report = asyncio.run(
            run_load(
                shape,
                split(entries),
                lambda number: status.update(f"{number + 1} requests sent"),
            )
        )
    code = ExitCode.FAILED if report.faults else ExitCode.DONE
    return Result(report.data(), show(report), code)


def show(report: Report) -> list[object]:
    """Returns tables for people."""
    data = report.data()
    counts = make_table("What callers saw", ("what", "count"))
    for name, count in data["counts"].items():
        counts.add_row(name, str(count))
    times = make_table("Milliseconds", ("percentile", "first token", "whole"))
    for point, whole in data["whole_answer_ms"].items():
        first = data["first_token_ms"].get(point)
        shown = "" if first is None else f"{first:.1f}"
        times.add_row(point, shown, f"{whole:.1f}")
    return [counts, times]


def main() -> None:
    """Runs the program."""
    run_fire(printed(load), "rattanpier-load")


if __name__ == "__main__":
    main()
