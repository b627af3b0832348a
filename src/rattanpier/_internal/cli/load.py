"""Command line of `rattanpier-load`, an open-loop load generator.

It also checks the answers.
"""

from __future__ import annotations

import asyncio

from rich.console import Console

from rattanpier._internal.cli.common import run_fire
from rattanpier._internal.cli.operator import result_command
from rattanpier._internal.commands.result import ExitCode, Result, make_table
from rattanpier._internal.load.arrivals import LoadProfile
from rattanpier._internal.load.report import Report
from rattanpier._internal.load.run import run_load


def split_list(text: str | tuple[str, ...]) -> list[str]:
    """Returns the items of a comma-separated list.

    fire may have split it into a tuple already.

    >>> split_list("a,b"), split_list(("a", "b"))
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
    """Sends seeded requests to entries that use stand-in engines.

    Args:
      entries: Comma-separated addresses of one or more entries; the others
        are discovered from them.
      keys: Comma-separated workspace keys, the largest workspace first.
      rate: Requests per second, independent of the response times.
      seconds: Seconds during which requests are sent.
      seed: Seed of the contents and times of the requests.
      stream_share: Share of streaming requests.
      session_share: Share of requests that belong to a session.
      repeat_share: Share of requests repeated once with the same idempotency
        key.
      max_tokens: Maximum number of tokens per answer.
    """
    shape = LoadProfile(
        split_list(keys),
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
                split_list(entries),
                lambda number: status.update(f"{number + 1} requests sent"),
            )
        )
    code = ExitCode.FAILED if report.faults else ExitCode.DONE
    return Result(report.data(), make_tables(report), code)


def make_tables(report: Report) -> list[object]:
    """Returns the tables that show a report to people."""
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
    run_fire(result_command(load), "rattanpier-load")


if __name__ == "__main__":
    main()
