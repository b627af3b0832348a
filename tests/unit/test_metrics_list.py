"""The operators' list of metrics and the code agree."""

import ast

import pytest

from rattanpier._internal.models.refusal import RefusalCode
from tests.lib.counters import (
    ROOT,
    metric_calls,
    names_in_code,
    names_in_docs,
    names_of,
)


def test_each_metric_in_the_code_is_listed():
    missing = names_in_code().keys() - names_in_docs().keys()
    assert not missing, "list these in docs/METRICS.md or docs/metrics/*.md"


def test_each_listed_metric_is_in_the_code():
    stale = names_in_docs().keys() - names_in_code().keys()
    assert not stale, "take these out of the list"


def test_each_refusal_code_is_explained():
    text = (ROOT / "docs" / "METRICS.md").read_text()
    missing = [
        code for code in RefusalCode if f"| `{code.value}` |" not in text
    ]
    assert not missing


@pytest.mark.parametrize(
    ("code", "names"),
    [
        ("self.metrics.count('a.b')", ["a.b"]),
        ("metrics.count(f'a.{x}', 2)", ["a.*"]),
        ("metrics.gauge('a' if x else 'b', 1)", ["a", "b"]),
        ("'text'.count('t')", []),
    ],
)
def test_names_are_found(code, names):
    calls = metric_calls(ast.parse(code))
    assert [name for call in calls for name in names_of(call.args[0])] == names
