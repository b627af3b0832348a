"""Passes over the tests that KNOWN-RED.txt lists, where CI asks for it."""

import pytest

from tests.lib.known_red import read_known_red


def pytest_addoption(parser):
    """Adds the option that `.ci/run` gives."""
    parser.addoption("--known-red", default="", help="file of known-red tests")


def listed(config):
    """The known-red tests, or none where they are not passed over."""
    path = config.getoption("--known-red")
    try:
        return read_known_red(path) if path else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_configure(config):
    """Refuses a list that is not well formed before any test runs."""
    listed(config)


# Before xdist adds a test's group to its name.
@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Deselects just the listed tests, by their full names."""
    names = {known.test for known in listed(config)}
    red = [item for item in items if item.nodeid in names]
    if red:
        items[:] = [item for item in items if item.nodeid not in names]
        config.hook.pytest_deselected(items=red)


def pytest_terminal_summary(terminalreporter, config):
    """Prints what was passed over."""
    for known in listed(config):
        terminalreporter.write_line(
            f"KNOWN RED, not run: {known.test}: {known.cause} ({known.issue})"
        )
