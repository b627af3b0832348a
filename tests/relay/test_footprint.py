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
# Lists attrs classes with generated `__eq__` or `__repr__`, which cost start
# time: state is compared by identity, data inherits the methods of `Record`. A
# class with an order needs its generated `__eq__`.
LIST_GENERATED_METHODS = """
import sys, attrs, rattanpier._internal.cli.relay
for module in [m for n, m in sys.modules.items() if n.startswith("rattanpier")]:
    for made in vars(module).values():
        if not (isinstance(made, type) and made.__module__ == module.__name__):
            continue
        if not attrs.has(made) or issubclass(made, Exception):
            continue
        methods = vars(made)
        if "__lt__" in methods:
            continue
        if "__eq__" in methods or "__repr__" in methods:
            print(made.__name__)
"""
# Lists data that does not inherit the methods of `Record`.
LIST_DATA_WITH_IDENTITY = """
import sys, attrs, rattanpier._internal.cli.relay
for module in [m for n, m in sys.modules.items() if n.startswith("rattanpier")]:
    for made in vars(module).values():
        if not (isinstance(made, type) and attrs.has(made)):
            continue
        frozen = "frozen" in made.__setattr__.__name__
        if frozen and made.__eq__ is object.__eq__:
            print(made.__name__)
"""
# Two queued requests are never the same, even if all their fields are equal.
DATA_WITH_IDENTITY = {"QueuedRequest", "Waiter"}
# Loads an entry as `deploy/relay.py` does: without the modules that site loads,
# and without rich, which structlog loads where it is installed.
LOAD_AS_DEPLOYED = f"""
import sys
sys.path[:] = {sys.path!r}
sys.modules["rich"] = None
import rattanpier._internal.cli.relay
del sys.modules["rich"]
print(*sys.modules)
"""
# 527 modules of libraries and 140 of our own are loaded. An empty one takes
# 0.13 ms of CPU time.
MAX_LIBRARY_MODULES = 530
MAX_OWN_MODULES = 160
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


def run(program, *options):
    """Returns the words that a program prints."""
    made = subprocess.run(
        [sys.executable, *options, "-c", program],
        check=True,
        capture_output=True,
        text=True,
    )
    return made.stdout.split()


@pytest.fixture(scope="module")
def loaded():
    """Returns the modules that importing an entry's program loads."""
    return run(LIST_MODULES)


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


def test_number_of_loaded_modules_is_bounded():
    """Callers wait for all of them after a power loss of all entries."""
    modules = run(LOAD_AS_DEPLOYED, "-S")
    own = [name for name in modules if name.split(".")[0] == "rattanpier"]
    assert len(modules) - len(own) <= MAX_LIBRARY_MODULES
    assert len(own) <= MAX_OWN_MODULES


def test_attrs_classes_have_no_generated_methods():
    assert run(LIST_GENERATED_METHODS) == []


def test_data_is_compared_by_its_fields():
    assert set(run(LIST_DATA_WITH_IDENTITY)) <= DATA_WITH_IDENTITY


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
    listed = run(
        "import sys, rattanpier._internal.platform.early_listener;"
        "print(len([m for m in sys.modules if m.startswith('attr')]))"
    )
    assert listed == ["0"]
