"""What a command of the operators' command line ends with."""

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
    INTERNAL = 1  # A fault of the program.
    BAD_INPUT = 2  # Arguments, settings or a configuration can't be used.
    RACED = 3  # Another operator's change came first.
    NOT_ACCEPTED = 4  # Certainly not in the store.
    UNKNOWN = 5  # May be in the store or not; ask again by its id.
    NOT_YET_IN_FORCE = 6  # Accepted, but not everywhere yet.
    UNREACHABLE = 7  # No answer from the control process or the store.
    NOT_ALLOWED = 8  # The operator's key is missing or not known.
    FAILED = 9  # The check that was asked for found something.


@attrs.frozen
class Result:
    """A command's end.

    Attributes:
      data: What `--json` prints.
      shown: What people see.
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
