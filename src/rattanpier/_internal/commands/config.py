"""`rattanpier config`: check, apply, show, diff, history, outcome."""

from __future__ import annotations

import datetime
import difflib
import pathlib
import re
from typing import Any

from rich.syntax import Syntax

from rattanpier._internal.commands.api import Api, connect
from rattanpier._internal.commands.changes import (
    Change,
    fetch_outcome,
    show_report,
    submit_change,
)
from rattanpier._internal.commands.result import ExitCode, Result, make_table
from rattanpier._internal.configuration.check import (
    check_configuration,
    parse_and_check,
)
from rattanpier._internal.configuration.parse import (
    parse_configuration,
    read_text,
)
from rattanpier._internal.exceptions import CommandError, ConfigurationError

BASE_LINE = re.compile(r"# Based on revision (\d+)\.\n")
HISTORY_LIMIT = 20


def check(file: str) -> Result:
    """Checks a configuration file; needs no control process.

    Args:
      file: Path of the TOML file.
    """
    text = read_text(file, ConfigurationError)
    configuration = parse_configuration(text, file)
    problems = check_configuration(configuration, text, file)
    data = [
        {
            "file": problem.file,
            "line": problem.line,
            "what": problem.what,
            "right": problem.right,
        }
        for problem in problems
    ]
    if not problems:
        counts = ", ".join(
            f"{len(getattr(configuration, name))} {name}"
            for name in ("workspaces", "versions", "upstreams", "rules")
        )
        return Result(data, [f"{file} can be used: {counts}."])
    return Result(data, [str(one) for one in problems], ExitCode.BAD_INPUT)


def apply(file: str, base: int | None = None, url: str = "") -> Result:
    """Applies a file as the next revision unless another change came first.

    Args:
      file: Path of the TOML file.
      base: Revision that the file is based on; by default the one that
        `config show --out` wrote into its first line.
      url: URL of the operator API of a control process.
    """
    text = read_text(file, ConfigurationError)
    parse_and_check(text, file)
    revision = base if base is not None else parse_base_revision(text, file)
    change = Change(
        connect(url),
        "config",
        BASE_LINE.sub("", text, count=1),
        {"base": str(revision)},
        revision + 1,
    )
    return submit_change(change, f"Apply {file}")


def parse_base_revision(text: str, file: str) -> int:
    """Returns the base revision stated in the first line of a file.

    Raises:
      CommandError: The first line states no base revision.
    """
    found = BASE_LINE.match(text)
    if not found:
        raise CommandError(
            f"{file} does not say which revision it is based on",
            "write it by `config show --out`, or give --base (0: the first)",
        )
    return int(found.group(1))


def show(revision: int | None = None, out: str = "", url: str = "") -> Result:
    """Shows a revision, by default the newest accepted one.

    Args:
      revision: Number of the revision.
      out: File to write it to, with its number in the first line.
      url: URL of the operator API of a control process.
    """
    found = fetch(connect(url), revision)
    if out:
        line = f"# Based on revision {found['revision']}.\n"
        pathlib.Path(out).write_text(line + found["text"], encoding="utf-8")
        return Result(
            found, [f"Revision {found['revision']} is written to {out}."]
        )
    text = Syntax(found["text"], "toml", background_color="default")
    return Result(found, [f"# Revision {found['revision']}", text])


def fetch(api: Api, revision: int | None) -> dict[str, Any]:
    """Returns an accepted revision, the newest one if `revision` is None."""
    if revision is None:
        return api.get("config")
    return api.get("config", revision=str(revision))


def diff(file: str, revision: int | None = None, url: str = "") -> Result:
    """Shows the changes that applying a file would make.

    Args:
      file: Path of the TOML file.
      revision: Revision to compare with; by default the newest.
      url: URL of the operator API of a control process.
    """
    text = BASE_LINE.sub("", read_text(file, ConfigurationError), count=1)
    found = fetch(connect(url), revision)
    lines = difflib.unified_diff(
        found["text"].splitlines(),
        text.splitlines(),
        f"revision {found['revision']}",
        file,
        lineterm="",
    )
    changed = "\n".join(lines)
    shown = Syntax(changed, "diff", background_color="default")
    return Result(
        {"revision": found["revision"], "diff": changed},
        [shown if changed else "Nothing would change."],
    )


def history(limit: int = HISTORY_LIMIT, url: str = "") -> Result:
    """Lists accepted changes, newest first.

    Args:
      limit: Maximum number of changes.
      url: URL of the operator API of a control process.
    """
    items = connect(url).get("history", limit=str(limit))
    table = make_table("Changes", ("revision", "time", "author", "lines"))
    for item in items:
        table.add_row(
            str(item["revision"]),
            show_time(item["time"]),
            item["author"],
            count_lines(item["diff"]),
        )
    return Result(items, [table])


def show_time(seconds: float) -> str:
    """Formats a Unix time in seconds as UTC.

    >>> show_time(0.0)
    '1970-01-01 00:00:00Z'
    """
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def count_lines(changed: str) -> str:
    r"""Returns the numbers of lines that a unified diff adds and removes.

    >>> count_lines("--- a\n+++ b\n@@ -1 +1 @@\n-x\n+y\n+z")
    '+2 -1'
    """
    lines = changed.splitlines()[2:]
    added = sum(line.startswith("+") for line in lines)
    removed = sum(line.startswith("-") for line in lines)
    return f"+{added} -{removed}"


def outcome(change: str, revision: int, url: str = "") -> Result:
    """Shows the outcome of a change that was reported as unknown.

    Args:
      change: Id of the change, as printed by `config apply`.
      revision: Revision number requested for the change.
      url: URL of the operator API of a control process.
    """
    report = fetch_outcome(connect(url), str(change), revision)
    return show_report(report, f"Change {change}")
