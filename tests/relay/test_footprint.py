"""An entry loads what its path uses: many start at once, on half a core."""

import subprocess
import sys
import tomllib

import pytest

from tests.lib.counters import ROOT

LIST = "import sys, rattanpier._internal.cli.relay; print(*sorted(sys.modules))"
# Names the classes of state, which have identity, for which methods are made
# that they have no use for.
MADE_FOR_STATE = """
import sys, attrs, rattanpier._internal.cli.relay
for module in [m for n, m in sys.modules.items() if n.startswith("rattanpier")]:
    for made in vars(module).values():
        if not (isinstance(made, type) and made.__module__ == module.__name__):
            continue
        if not attrs.has(made) or issubclass(made, Exception):
            continue
        frozen = "frozen" in made.__setattr__.__name__
        methods = {"__eq__", "__repr__"} & set(vars(made))
        if not frozen and methods:
            print(module.__name__, made.__name__)
"""
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


# Of aiohttp's server the path of a request uses the lower half.
NOT_USED_MODULES = (
    "aiohttp.web",
    "aiohttp.web_app",
    "aiohttp.web_runner",
    "aiohttp.web_urldispatcher",
    "aiohttp.web_ws",
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


@pytest.mark.parametrize("module", NOT_USED_MODULES)
def test_modules_of_other_paths_are_not_loaded(loaded, module):
    assert module not in loaded


def test_state_has_no_methods_that_are_made_anew_at_each_start():
    made = subprocess.run(
        [sys.executable, "-c", MADE_FOR_STATE],
        check=True,
        capture_output=True,
        text=True,
    )
    assert made.stdout.split() == []


def test_a_start_loads_nothing_that_a_vm_has_installed_besides():
    deployed = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert deployed["roles"]["entry"]["run"].split()[:2] == ["python3", "-S"]


def test_callers_are_let_wait_before_libraries_are_loaded():
    lines = (ROOT / "deploy" / "relay.py").read_text().splitlines()
    loads = [number for number, line in enumerate(lines) if "cli.relay" in line]
    opens = [
        number for number, line in enumerate(lines) if "open_early(" in line
    ]
    assert max(opens) < min(loads)
    made = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, rattanpier._internal.platform.early_listener;"
            "print(len([m for m in sys.modules if m.startswith('attr')]))",
        ],
        check=True,
        capture_output=True,
        text=True,
    )
    assert made.stdout.split() == ["0"]
