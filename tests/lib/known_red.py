"""Tests that fail for a known fault: what KNOWN-RED.txt lists."""

import pathlib

import attrs

LIMIT = 3


@attrs.frozen
class KnownRed:
    """One line of the file: `test | cause | issue`."""

    test: str
    cause: str
    issue: str


def parse_known_red(text):
    """The listed tests; no more than three, each named in full."""
    lines = [line.strip() for line in text.splitlines()]
    lines = [line for line in lines if line and not line.startswith("#")]
    if len(lines) > LIMIT:
        raise ValueError(f"{len(lines)} known-red tests; {LIMIT} at most")
    return [parse_line(line) for line in lines]


def parse_line(line):
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
        raise ValueError(f"not 'file::test | cause | issue': {line}")
    return KnownRed(*parts)


def read_known_red(path):
    """The listed tests; a missing file lists none."""
    file = pathlib.Path(path)
    return parse_known_red(file.read_text()) if file.exists() else []
