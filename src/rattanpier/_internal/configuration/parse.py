"""TOML text to attrs objects, with the line of each error."""

from __future__ import annotations

import enum
import pathlib
import re
import tomllib
from collections.abc import Iterator
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.v import format_exception

from rattanpier._internal.configuration.check_settings import check_settings
from rattanpier._internal.configuration.lines import find_line, split_path
from rattanpier._internal.configuration.problem import suggest
from rattanpier._internal.exceptions import (
    ConfigurationError,
    RattanpierError,
    SettingsError,
)
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.settings import Settings
from rattanpier._internal.utils.strict import strict_converter

T = TypeVar("T")

REPAIR = "correct the named lines"

converter = strict_converter(forbid_extra_keys=True)


def parse_configuration(
    text: str, file: str = "configuration"
) -> Configuration:
    """Returns a configuration from its TOML text; it is not checked yet.

    Raises:
      ConfigurationError: The text is not TOML, or not of the right shape.
    """
    return parse(Configuration, text, file, ConfigurationError)


def load_settings(path: str) -> Settings:
    """Returns the settings in a file, checked.

    Raises:
      SettingsError: The file can't be read, is not of the right shape, or
        has settings that can't be used.
    """
    text = read_text(path, SettingsError)
    settings = parse(Settings, text, path, SettingsError)
    problems = check_settings(settings, text, path)
    if problems:
        lines = "\n".join(str(problem) for problem in problems)
        raise SettingsError(lines, REPAIR)
    return settings


def read_text(path: str, error_class: type[RattanpierError]) -> str:
    """Returns the text of a file."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise error_class(
            f"{path}: can't be read: {error}", "give a readable TOML file"
        ) from error


def parse(
    cls: type[T], text: str, file: str, error_class: type[RattanpierError]
) -> T:
    """Structures TOML text into a class."""
    try:
        return converter.structure(tomllib.loads(text), cls)
    except tomllib.TOMLDecodeError as error:
        line = toml_error_line(str(error), text)
        raise error_class(
            f"{file}:{line}: {error}", "correct the TOML"
        ) from error
    except cattrs.BaseValidationError as error:
        reports = cattrs.transform_error(error, format_exception=explain)
        lines = [place(report, text, file) for report in reports]
        raise error_class("\n".join(lines), REPAIR) from error


def toml_error_line(message: str, text: str) -> int:
    """Returns the line that an error of tomllib names, or the last one.

    >>> toml_error_line("Invalid value (at line 3, column 1)", "")
    3
    """
    found = re.search(r"at line (\d+)", message)
    return int(found.group(1)) if found else max(1, len(text.splitlines()))


def explain(error: BaseException, cls: type[Any] | None) -> str:
    """Says what is wrong with a value, and what would be right."""
    match error:
        case cattrs.ForbiddenExtraKeysError():
            known = [field.name for field in attrs.fields(error.cl)]
            return "; ".join(explain_keys(error.extra_fields, known))
        case KeyError():
            return f"{error.args[0]!r} is missing; add it"
        case ValueError() if isinstance(cls, type) and issubclass(
            cls, enum.Enum
        ):
            return f"{error}; {suggest('', [item.value for item in cls])}"
        case AttributeError():
            return "wrong value; give a table"
        case TypeError():
            return str(error)
    return format_exception(error, cls)


def explain_keys(extra: set[str], known: list[str]) -> Iterator[str]:
    """Yields a sentence for each unknown key."""
    for key in sorted(extra):
        yield f"unknown key {key!r}; {suggest(key, known)}"


def place(report: str, text: str, file: str) -> str:
    """Puts file and line before a report, whose path is behind it."""
    problem, _, path = report.rpartition(" @ ")
    steps = split_path(path)
    if problem.startswith("unknown key "):
        steps = [*steps, problem.split("'")[1]]
    return f"{file}:{find_line(text, steps)}: {problem} (at {path})"
