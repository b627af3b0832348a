"""The design note maps each command of the specifications to its code."""

import importlib
import pathlib
import re

import pytest

from tests.lib.model_check import families

NOTE = pathlib.Path(__file__).parents[2] / "docs/design/specification.md"
ROW = re.compile(r"^\| `(\w+)` \| (.+?) \|", re.MULTILINE)
CODE = re.compile(r"`([a-z_.]+):([\w.]+)`")


def table(spec):
    text = NOTE.read_text()
    part = text.split(f"### {spec}.prism")[1].split("\n### ")[0]
    return dict(ROW.findall(part))


@pytest.mark.parametrize("spec", ["claims", "configuration"])
def test_each_command_is_in_the_table(spec):
    assert set(table(spec)) == families(spec)


@pytest.mark.parametrize("spec", ["claims", "configuration"])
def test_what_carries_a_command_out_exists(spec):
    found = [
        pair for code in table(spec).values() for pair in CODE.findall(code)
    ]
    assert len(found) > 10
    for module, path in found:
        target = importlib.import_module(f"rattanpier._internal.{module}")
        for name in path.split("."):
            target = getattr(target, name)
