"""Edits of single fields leave the rest of the text unchanged."""

import tomllib

import pytest

from rattanpier._internal.configuration.edit import set_fields
from rattanpier._internal.exceptions import ConfigurationError
from tests.lib.builders import SMALL, configuration_text


def test_replaces_a_field_and_keeps_comments():
    text = '# mine\n[versions."a@1"]\nmodel = "a"  # cheap\nstate = "paused"\n'
    edited = set_fields(text, ["versions", "a@1"], {"state": "withdrawn"})
    assert edited == text.replace("paused", "withdrawn")


def test_adds_a_table():
    text = configuration_text(["http://127.0.0.1:1"])
    edited = set_fields(
        text, ["rollouts", "r 1"], {"stable": SMALL, "share": 0.1}
    )
    found = tomllib.loads(edited)
    assert found.pop("rollouts") == {"r 1": {"stable": SMALL, "share": 0.1}}
    assert found == tomllib.loads(text)


def test_refuses_an_inline_table():
    text = 'versions = { "a@1" = { model = "a" } }\n'
    with pytest.raises(ConfigurationError):
        set_fields(text, ["versions", "a@1"], {"state": "withdrawn"})


def test_does_not_edit_a_multi_line_string():
    text = '[a]\nx = """\n[b.c]\n"""\n[b.c]\ny = 1\n'
    with pytest.raises(ConfigurationError):
        set_fields(text, ["b", "c"], {"y": 2.0})
