"""Results and exit codes of the operator commands."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Any

import attrs
from rich.console import RenderableType
from rich.table import Table


class ExitCode(enum.IntEnum):
    """Exit codes; docs/OPERATORS.md lists them."""

    DONE = 0
    INTERNAL = 1  # Internal error.
    BAD_INPUT = 2  # Invalid arguments, settings or configuration.
    RACED = 3  # Another operator's change came first.
    NOT_ACCEPTED = 4  # Definitely not in the store.
    UNKNOWN = 5  # Possibly in the store; query the outcome by change id.
    NOT_YET_IN_FORCE = 6  # Accepted, but not everywhere yet.
    UNREACHABLE = 7  # No answer from the control process or the store.
    NOT_ALLOWED = 8  # The operator key is missing or unknown.
    FAILED = 9  # The requested check found a problem.


@attrs.frozen
class Result:
    """The result of a command.

    Attributes:
      data: Data that `--json` prints.
      shown: Human-readable output, printed without `--json`.
      code: Exit code.
    """

    data: Any
    shown: Sequence[RenderableType] = ()
    code: ExitCode = ExitCode.DONE


def make_table(title: str, names: Sequence[str]) -> Table:
    """Returns an empty table with named columns."""
    table = Table(title=title, title_justify="left", title_style="bold")
    for name in names:
        table.add_column(name, overflow="fold")
    return table
