"""`rattanpier replay`: runs the routing decisions on a recorded trace."""

from __future__ import annotations

import itertools
import tomllib

import attrs
from cattrs import BaseValidationError

from rattanpier._internal.commands.result import ExitCode, Result, make_table
from rattanpier._internal.configuration.parse import read_text
from rattanpier._internal.exceptions import CommandError
from rattanpier._internal.trace.events import converter, decode_event
from rattanpier._internal.trace.replay import replay_events


@attrs.frozen
class Outcomes:
    """Expected outcomes of a trace, one for each of its lines."""

    outcomes: list[str]


@attrs.frozen
class Compared:
    """Comparison of one line of a trace with its expected outcome.

    Attributes:
      line: Line number, from 1.
      decided: Current decision; empty if the trace has no such line.
      stated: Expected outcome; empty if none is given.
    """

    line: int
    decided: str
    stated: str

    @property
    def same(self) -> bool:
        """Whether the current decision equals the expected outcome."""
        return self.decided == self.stated


def replay(trace: str, expect: str) -> Result:
    """Replays a trace and compares each decision with its expected outcome.

    Args:
      trace: Trace file with one JSON event per line.
      expect: TOML file with the list `outcomes`, one item per line.
    """
    decided = replay_file(trace)
    stated = read_outcomes(expect).outcomes
    pairs = itertools.zip_longest(decided, stated, fillvalue="")
    compared = [Compared(number, *pair) for number, pair in enumerate(pairs, 1)]
    failed = [one for one in compared if not one.same]
    table = make_table("Replay", ("line", "decided", "stated", "same"))
    for one in compared:
        same = "yes" if one.same else "NO"
        table.add_row(str(one.line), one.decided, one.stated, same)
    data = [attrs.asdict(one) for one in compared]
    code = ExitCode.FAILED if failed else ExitCode.DONE
    return Result(data, [table], code)


def replay_file(path: str) -> list[str]:
    """Returns the decision at each line of a trace.

    Raises:
      CommandError: The file is not a valid trace.
    """
    lines = read_text(path, CommandError).splitlines()
    try:
        return list(replay_events(decode_event(line) for line in lines))
    except (BaseValidationError, ValueError, KeyError) as error:
        raise CommandError(
            f"{path} is not a trace: {error}", "record one with trace_path"
        ) from error


def read_outcomes(path: str) -> Outcomes:
    """Reads the expected outcomes from a TOML file.

    Raises:
      CommandError: The file is not TOML or lacks the list `outcomes`.
    """
    try:
        data = tomllib.loads(read_text(path, CommandError))
        return converter.structure(data, Outcomes)
    except (BaseValidationError, ValueError) as error:
        raise CommandError(
            f"{path} is not a list of outcomes: {error}",
            'write outcomes = ["…", …]',
        ) from error
