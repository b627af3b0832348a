"""An entry loads only the modules that it uses.

Many entries may start at once, each on half a core.
"""

import subprocess
import sys
import tomllib

import pytest

from tests.lib.counters import ROOT

LIST_MODULES = (
    "import sys, rattanpier._internal.cli.relay; print(*sorted(sys.modules))"
)
# Lists mutable attrs classes with generated `__eq__` or `__repr__`: they are
# compared by identity, so that generating these methods only costs start time.
LIST_GENERATED_METHODS = """
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
UNUSED_PACKAGES = (
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
UNUSED_LIBRARIES = (
    "cryptography",
    "fire",
    "hdrh",
    "itsdangerous",
    "numpy",
    "prometheus_client",
    "sortedcontainers",
    "statsd",
    "stormpy",
)


# Requests use only the low-level part of aiohttp's server.
UNUSED_MODULES = (
    "aiohttp.web",
    "aiohttp.web_app",
    "aiohttp.web_runner",
    "aiohttp.web_urldispatcher",
    "aiohttp.web_ws",
)


@pytest.fixture(scope="module")
def loaded():
    """Returns the modules that importing an entry's program loads."""
    made = subprocess.run(
        [sys.executable, "-c", LIST_MODULES],
        check=True,
        capture_output=True,
        text=True,
    )
    return made.stdout.split()


@pytest.mark.parametrize("package", UNUSED_PACKAGES)
def test_unused_packages_are_not_loaded(loaded, package):
    prefix = f"rattanpier._internal.{package}"
    assert [name for name in loaded if name.startswith(prefix)] == []


@pytest.mark.parametrize("package", UNUSED_LIBRARIES)
def test_unused_libraries_are_not_loaded(loaded, package):
    assert [name for name in loaded if name.split(".")[0] == package] == []


@pytest.mark.parametrize("module", UNUSED_MODULES)
def test_unused_modules_are_not_loaded(loaded, module):
    assert module not in loaded


def test_state_classes_have_no_generated_methods():
    made = subprocess.run(
        [sys.executable, "-c", LIST_GENERATED_METHODS],
        check=True,
        capture_output=True,
        text=True,
    )
    assert made.stdout.split() == []


def test_entry_starts_without_site_packages_of_vm():
    deployed = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert deployed["roles"]["entry"]["run"].split()[:2] == ["python3", "-S"]


def test_listener_opens_before_libraries_are_loaded():
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
