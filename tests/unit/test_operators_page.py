"""The operators' page is complete."""

import attrs

from rattanpier._internal.commands.result import ExitCode
from rattanpier._internal.models.settings import Settings
from tests.lib.counters import ROOT

PAGE = (ROOT / "docs" / "OPERATORS.md").read_text()


def setting_names(cls):
    for field in attrs.fields(attrs.resolve_types(cls)):
        yield field.name
        if attrs.has(field.type):
            yield from setting_names(field.type)


def test_each_exit_code_is_listed():
    for code in ExitCode:
        assert f"| {code.value} | `{code.name.lower()}` |" in PAGE


def test_each_setting_is_listed():
    missing = {
        name for name in setting_names(Settings) if f"`{name}`" not in PAGE
    }
    assert not missing, "list these in docs/OPERATORS.md"
