"""Sets single fields in the TOML text of a configuration.

The text is edited line by line, because operators' comments and order have to
be kept. The parsed result is compared with the expected tables before use.
"""

from __future__ import annotations

import copy
import json
import re
import tomllib
from typing import Any

from rattanpier._internal.configuration.lines import split_key
from rattanpier._internal.exceptions import ConfigurationError

Value = str | float | bool

HEADER = re.compile(r"\s*\[([^\[\]]+)\]\s*(#.*)?$")
ANY_HEADER = re.compile(r"\s*\[")
BARE_KEY = re.compile(r"^[A-Za-z0-9_-]+$")
EDIT_HINT = "write the table as [table.name] with one key on a line"


def set_fields(text: str, table: list[str], fields: dict[str, Value]) -> str:
    r"""Returns the text with fields of a table set, adding missing ones.

    >>> set_fields('[versions."a@1"]\nmodel = "a"\n',
    ...     ["versions", "a@1"], {"state": "withdrawn"})
    '[versions."a@1"]\nstate = "withdrawn"\nmodel = "a"\n'

    Raises:
      ConfigurationError: The text uses a form that can't be edited by line.
    """
    lines = text.splitlines()
    start = find_table(lines, table)
    if start is None:
        lines.extend(["", format_header(table)])
        start = len(lines) - 1
    for name, value in reversed(list(fields.items())):
        set_line(lines, start, name, value)
    edited = "\n".join(lines) + "\n"
    check_edit(text, edited, table, fields)
    return edited


def find_table(lines: list[str], table: list[str]) -> int | None:
    """Returns the 0-based line number of a table's header, None if absent."""
    for number, line in enumerate(lines):
        match = HEADER.match(line)
        if match and split_key(match.group(1)) == table:
            return number
    return None


def set_line(lines: list[str], start: int, name: str, value: Value) -> None:
    """Sets one key of the table whose header is at line `start`."""
    wanted = f"{name} = {format_value(value)}"
    for number in range(start + 1, len(lines)):
        if ANY_HEADER.match(lines[number]):
            break
        if re.match(rf"\s*{re.escape(name)}\s*=", lines[number]):
            lines[number] = wanted
            return
    lines.insert(start + 1, wanted)


def format_header(table: list[str]) -> str:
    """Returns the header line of a table.

    >>> format_header(["rollouts", "small 2"])
    '[rollouts."small 2"]'
    """
    steps = [
        step if BARE_KEY.match(step) else json.dumps(step) for step in table
    ]
    return f"[{'.'.join(steps)}]"


def format_value(value: Value) -> str:
    """Returns a value as a TOML literal.

    >>> [format_value(value) for value in (True, 0.25, "a")]
    ['true', '0.25', '"a"']
    """
    return json.dumps(value)


def check_edit(
    before: str, after: str, table: list[str], fields: dict[str, Value]
) -> None:
    """Checks that an edit set the given fields and changed nothing else.

    Raises:
      ConfigurationError: The edited text differs from the expected tables.
    """
    try:
        wanted = copy.deepcopy(tomllib.loads(before))
        edited = tomllib.loads(after)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError(
            f"the text can't be edited: {error}", EDIT_HINT
        ) from error
    target: dict[str, Any] = wanted
    for step in table:
        target = target.setdefault(step, {})
    target.update(fields)
    if wanted != edited:
        raise ConfigurationError(
            f"{format_header(table)} can't be edited in this text", EDIT_HINT
        )
