"""Finds the line of a TOML text that a path refers to.

`tomllib` does not report the positions of values.
"""

from __future__ import annotations

import re
from collections.abc import Sequence

PATH_STEP = re.compile(r"\['([^']*)'\]|\[(\d+)\]|([^.\[\]$]+)")
HEADER = re.compile(r"\s*(\[\[?)([^\[\]]+)\]")
ASSIGNMENT = re.compile(
    r"""\s*((?:"[^"]+"|[\w@-]+)(?:\s*\.\s*(?:"[^"]+"|[\w@-]+))*)\s*="""
)


def split_path(path: str) -> list[str]:
    """Splits a path as cattrs reports it into its steps.

    >>> split_path("$.versions['a@1'].model")
    ['versions', 'a@1', 'model']
    >>> split_path("$.rules[2].when")
    ['rules', '2', 'when']
    """
    return [
        next(part for part in match.groups() if part is not None)
        for match in PATH_STEP.finditer(path)
    ]


def find_line(text: str, steps: Sequence[str]) -> int:
    r"""Returns the 1-based number of the line that best matches a path.

    That is the first line of the longest common prefix; 1 if none matches.

    >>> find_line('[a.b]\nc = 1\n[a.d]\nc = 2', ["a", "d", "c"])
    4
    >>> find_line('[[r]]\n[r.w]\nc = 1\n[[r]]\n[r.w]\nc = 2', ["r", "1", "w"])
    5
    """
    best_line, best_depth = 1, 0
    table: list[str] = []
    counts: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if header := HEADER.match(line):
            table = header_path(header.group(1), header.group(2), counts)
            path = table
        elif assignment := ASSIGNMENT.match(line):
            path = [*table, *split_key(assignment.group(1))]
        else:
            continue
        depth = common_depth(path, steps)
        if depth > best_depth:
            best_line, best_depth = number, depth
    return best_line


def header_path(opening: str, header: str, counts: dict[str, int]) -> list[str]:
    """Returns the path of a table, including indices of arrays of tables.

    Args:
      opening: One bracket for a table, two for an item of an array.
      header: The dotted key between the brackets.
      counts: Number of items seen of each array, by name. Updated in place.
    """
    names = split_key(header)
    if opening == "[[":
        counts[header] = counts.get(header, 0) + 1
    path: list[str] = []
    for depth, name in enumerate(names, start=1):
        path.append(name)
        array = ".".join(names[:depth])
        if array in counts:
            path.append(str(counts[array] - 1))
    return path


def split_key(key: str) -> list[str]:
    """Splits a dotted TOML key.

    >>> split_key('versions."a.b".model')
    ['versions', 'a.b', 'model']
    """
    parts = re.findall(r'"([^"]*)"|([^."\s]+)', key)
    return [quoted or bare for quoted, bare in parts]


def common_depth(path: Sequence[str], steps: Sequence[str]) -> int:
    """Returns the length of the common prefix of two paths."""
    depth = 0
    for left, right in zip(path, steps, strict=False):
        if left != right:
            break
        depth += 1
    return depth
