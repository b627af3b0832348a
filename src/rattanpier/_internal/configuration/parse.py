"""TOML text to attrs objects, with the line of each error."""

from __future__ import annotations

import pathlib
import re
import tomllib
from typing import TypeVar

import cattrs

from rattanpier._internal.exceptions import (
    ConfigurationError,
    RattanpierError,
    SettingsError,
)
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.settings import Settings

T = TypeVar("T")

converter = cattrs.Converter(forbid_extra_keys=True)

PATH_STEP = re.compile(r"\['([^']*)'\]|\[(\d+)\]|([^.\[\]$]+)")


def parse_configuration(
    text: str, file: str = "configuration"
) -> Configuration:
    """Returns a configuration from its TOML text; it is not checked yet.

    Raises:
      ConfigurationError: The text is not TOML, or not of the right shape.
    """
    return parse(Configuration, text, file, ConfigurationError)


def load_settings(path: str) -> Settings:
    """Returns the settings in a file.

    Raises:
      SettingsError: The file can't be read, or is not of the right shape.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: can't be read: {error}", "give a readable TOML file"
        ) from error
    return parse(Settings, text, path, SettingsError)


def parse(
    cls: type[T], text: str, file: str, error_class: type[RattanpierError]
) -> T:
    """Structures TOML text into a class."""
    try:
        return converter.structure(tomllib.loads(text), cls)
    except tomllib.TOMLDecodeError as error:
        raise error_class(f"{file}: {error}", "correct the TOML") from error
    except cattrs.BaseValidationError as error:
        reports = [
            describe(report, text, file)
            for report in cattrs.transform_error(error)
        ]
        raise error_class(
            "\n".join(reports), "correct the named lines"
        ) from error


def describe(report: str, text: str, file: str) -> str:
    """Puts file and line before a report of cattrs."""
    problem, _, path = report.partition(" @ ")
    steps = split_path(path)
    extra = re.search(r"extra fields found \(([^,)]+)", problem)
    if extra:
        steps = [*steps, extra.group(1)]
    return f"{file}:{find_line(text, steps)}: {problem} at {path}"


def split_path(path: str) -> list[str]:
    """Splits a path of cattrs into its steps.

    >>> split_path("$.versions['a@1'].model")
    ['versions', 'a@1', 'model']
    >>> split_path("$.rules[2].when")
    ['rules', '2', 'when']
    """
    return [
        next(part for part in match.groups() if part is not None)
        for match in PATH_STEP.finditer(path)
    ]


def find_line(text: str, steps: list[str]) -> int:
    r"""Returns the line, from 1, that best fits a path.

    >>> find_line('[a.b]\nc = 1\n[a.d]\nc = 2', ["a", "d", "c"])
    4
    """
    best_line, best_depth = 1, 0
    table: list[str] = []
    counts: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        header = re.match(r"\s*(\[\[?)([^\[\]]+)\]", line)
        assignment = re.match(r'\s*("[^"]+"|[\w.@-]+)\s*=', line)
        if header:
            table = split_key(header.group(2))
            if header.group(1) == "[[":
                index = counts.get(header.group(2), 0)
                counts[header.group(2)] = index + 1
                table = [*table, str(index)]
            path = table
        elif assignment:
            path = [*table, *split_key(assignment.group(1))]
        else:
            continue
        depth = common_depth(path, steps)
        if depth > best_depth:
            best_line, best_depth = number, depth
    return best_line


def split_key(key: str) -> list[str]:
    """Splits a dotted TOML key.

    >>> split_key('versions."a.b".model')
    ['versions', 'a.b', 'model']
    """
    parts = re.findall(r'"([^"]*)"|([^."\s]+)', key)
    return [quoted or bare for quoted, bare in parts]


def common_depth(path: list[str], steps: list[str]) -> int:
    """Returns how many leading steps two paths share."""
    depth = 0
    for left, right in zip(path, steps, strict=False):
        if left != right:
            break
        depth += 1
    return depth
