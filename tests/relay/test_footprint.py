"""An entry loads what its path uses: many start at once, on half a core."""

import subprocess
import sys

import pytest

LIST = "import sys, rattanpier._internal.cli.relay; print(*sorted(sys.modules))"
OTHER_PATHS = (
    "cascade",
    "claims",
    "commands",
    "configuration",
    "dispatch",
    "edge",
    "operators",
    "orders",
    "rollout",
    "routing",
    "standin",
)
NOT_USED = (
    "cryptography",
    "fire",
    "hdrh",
    "itsdangerous",
    "numpy",
    "prometheus_client",
    "sortedcontainers",
    "stormpy",
)


@pytest.fixture(scope="module")
def loaded():
    """The modules that an entry has loaded when it begins to start."""
    made = subprocess.run(
        [sys.executable, "-c", LIST],
        check=True,
        capture_output=True,
        text=True,
    )
    return made.stdout.split()


@pytest.mark.parametrize("package", OTHER_PATHS)
def test_other_paths_are_not_loaded(loaded, package):
    prefix = f"rattanpier._internal.{package}"
    assert [name for name in loaded if name.startswith(prefix)] == []


@pytest.mark.parametrize("package", NOT_USED)
def test_libraries_of_other_paths_are_not_loaded(loaded, package):
    assert [name for name in loaded if name.split(".")[0] == package] == []
