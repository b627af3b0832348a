"""Parses TOML text into attrs objects and locates errors by line."""

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

FIX_HINT = "correct the named lines"

converter = strict_converter(forbid_extra_keys=True)


def parse_configuration(
    text: str, file: str = "configuration"
) -> Configuration:
    """Parses the TOML text of a configuration without checking its values.

    Raises:
      ConfigurationError: The text is not valid TOML or doesn't match the
        schema.
    """
    return parse(Configuration, text, file, ConfigurationError)


def load_settings(path: str) -> Settings:
    """Reads, parses and checks a settings file.

    Raises:
      SettingsError: The file can't be read, doesn't match the schema, or has
        invalid settings.
    """
    text = read_text(path, SettingsError)
    settings = parse(Settings, text, path, SettingsError)
    problems = check_settings(settings, text, path)
    if problems:
        lines = "\n".join(str(problem) for problem in problems)
        raise SettingsError(lines, FIX_HINT)
    return settings


def read_text(path: str, error_class: type[RattanpierError]) -> str:
    """Returns the text of a file.

    Raises:
      RattanpierError: The file can't be read; of type `error_class`.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise error_class(
            f"{path}: can't be read: {error}", "give a readable TOML file"
        ) from error


def parse(
    cls: type[T], text: str, file: str, error_class: type[RattanpierError]
) -> T:
    """Parses TOML text into an attrs class.

    Raises:
      RattanpierError: The text is not valid TOML or doesn't match the class;
        of type `error_class`, with one line for each error.
    """
    try:
        return converter.structure(tomllib.loads(text), cls)
    except tomllib.TOMLDecodeError as error:
        line = toml_error_line(str(error), text)
        raise error_class(
            f"{file}:{line}: {error}", "correct the TOML"
        ) from error
    except cattrs.BaseValidationError as error:
        reports = cattrs.transform_error(error, format_exception=describe_error)
        lines = [add_location(report, text, file) for report in reports]
        raise error_class("\n".join(lines), FIX_HINT) from error


def toml_error_line(message: str, text: str) -> int:
    """Returns the line named by a tomllib error, or the last line.

    >>> toml_error_line("Invalid value (at line 3, column 1)", "")
    3
    """
    found = re.search(r"at line (\d+)", message)
    return int(found.group(1)) if found else max(1, len(text.splitlines()))


def describe_error(error: BaseException, cls: type[Any] | None) -> str:
    """Returns what is wrong with a value and how to correct it."""
    match error:
        case cattrs.ForbiddenExtraKeysError():
            known = [field.name for field in attrs.fields(error.cl)]
            return "; ".join(describe_unknown_keys(error.extra_fields, known))
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


def describe_unknown_keys(extra: set[str], known: list[str]) -> Iterator[str]:
    """Yields a message for each unknown key."""
    for key in sorted(extra):
        yield f"unknown key {key!r}; {suggest(key, known)}"


def add_location(report: str, text: str, file: str) -> str:
    """Prefixes a cattrs report, which ends in a path, with file and line."""
    problem, _, path = report.rpartition(" @ ")
    steps = split_path(path)
    if problem.startswith("unknown key "):
        steps = [*steps, problem.split("'")[1]]
    return f"{file}:{find_line(text, steps)}: {problem} (at {path})"
