"""Tests that the example configurations are valid and of the specified size."""

import collections
import pathlib

import pytest

from rattanpier._internal.configuration.check import check_configuration
from rattanpier._internal.configuration.parse import (
    load_settings,
    parse_configuration,
)

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
# Expected failure domains and number of workers by upstream.
SIZES = {
    "federation": (
        {"ain-sebaa", "sidi-maarouf", "bouskoura", "mohammedia"},
        {"drafting": 9, "portal": 4},
    ),
    "tuakana": ({"akl-a", "akl-b", "akl-c"}, {"phrase": 9, "app": 3}),
}
WORKSPACES = 10


def read(name):
    path = EXAMPLES / name / "configuration.toml"
    text = path.read_text()
    return parse_configuration(text, str(path)), text


@pytest.mark.parametrize("name", SIZES)
def test_configuration_passes_the_check(name):
    configuration, text = read(name)
    assert check_configuration(configuration, text, name) == []


@pytest.mark.parametrize("name", SIZES)
def test_example_has_the_specified_size(name):
    configuration, _ = read(name)
    domains, counts = SIZES[name]
    workers = collections.Counter(
        upstream
        for upstream, pool in configuration.upstreams.items()
        for _ in pool.workers
    )
    assert workers == counts
    assert len(configuration.workspaces) == WORKSPACES
    placed = {
        worker.domain
        for pool in configuration.upstreams.values()
        for worker in pool.workers.values()
    }
    assert placed == domains


@pytest.mark.parametrize("name", SIZES)
def test_each_failure_domain_has_an_entry_and_a_control_process(name):
    domains, _ = SIZES[name]
    for kind in ("entry", "control"):
        loaded = [
            load_settings(str(path))
            for path in (EXAMPLES / name).glob(f"{kind}-*.toml")
        ]
        assert {settings.node.domain for settings in loaded} == domains
        assert len({settings.node.name for settings in loaded}) == len(domains)
