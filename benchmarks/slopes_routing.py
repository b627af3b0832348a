"""Slopes of the decision on a request, and of the configuration's size."""

from __future__ import annotations

from collections.abc import Iterator

from benchmarks.placement_cost import choice_us, revision_us
from benchmarks.slopes_fit import Slope, fit, processor_us
from rattanpier._internal.configuration.parse import parse_configuration
from rattanpier._internal.edge.auth import find_workspace
from rattanpier._internal.models.configuration import (
    Rule,
    Then,
    When,
    Workspace,
)
from rattanpier._internal.routing.plan import make_plan
from rattanpier._internal.utils.hashing import sha256_hex
from tests.lib.builders import (
    DESK_KEY,
    SMALL,
    build_configuration,
    build_request,
)

PART = "routing"
SIZES = (10, 50, 200)
WORKERS = (60, 200, 600)
VERSIONS = 7
WORKERS_OF_TEXT = 600


def measure() -> Iterator[Slope]:
    """Yields the slopes of routing."""
    yield line("plan_per_rule", "rules", SIZES, plan_us)
    yield line("workspace_lookup", "workspaces", SIZES, lookup_us)
    yield line("placement", "workers", WORKERS, choice_us)
    yield line("placement_changed", "workers", WORKERS, revision_us)
    yield line("parse_per_workspace", "workspaces", SIZES, parse_us)
    yield line("parse_per_worker", "workers", WORKERS, parse_workers_us)
    sizes = [len(configuration_text(n, 10).encode()) for n in SIZES]
    yield fit("text_per_workspace", "workspaces", "bytes", SIZES, sizes, PART)
    sizes = [len(configuration_text(10, n).encode()) for n in WORKERS]
    yield fit("text_per_worker", "workers", "bytes", WORKERS, sizes, PART)


def line(name, x, sizes, read) -> Slope:
    """Fits microseconds read at some sizes."""
    return fit(name, x, "us", sizes, [read(size) for size in sizes], PART)


def plan_us(rules: int) -> float:
    """Processor time of a plan when only the last rule matches."""
    others = [
        Rule(f"r{n}", Then(cascade="quick"), When(workspaces=[f"w{n}"]))
        for n in range(rules - 1)
    ]
    configuration = build_configuration(
        rules=[*others, Rule("all", Then(cascade="quick"))]
    )
    request = build_request()
    return processor_us(lambda: make_plan(configuration, request), 500)


def lookup_us(workspaces: int) -> float:
    """Processor time of finding the workspace of a key."""
    configuration = build_configuration(
        workspaces={
            f"w{n}": Workspace([sha256_hex(f"k{n}")], [SMALL])
            for n in range(workspaces)
        }
    )
    header = f"Bearer {DESK_KEY}"
    return processor_us(lambda: find_workspace(configuration, header), 100)


def parse_us(workspaces: int) -> float:
    """Processor time of parsing a text."""
    text = configuration_text(workspaces, 10)
    return processor_us(lambda: parse_configuration(text), 1)


def parse_workers_us(workers: int) -> float:
    """Processor time of parsing a text."""
    text = configuration_text(10, workers)
    return processor_us(lambda: parse_configuration(text), 1)


def configuration_text(workspaces: int, workers: int) -> str:
    """Returns a configuration with a rule for each workspace."""
    names = [f"model-{n}@1" for n in range(VERSIONS)]
    lines = ["[fleet]", "size = 420"]
    for name in names:
        lines += [
            f'[versions."{name}"]',
            f'model = "{name[:-2]}"',
            "input_price = 1.0",
            "output_price = 2.0",
        ]
    lines += ["[upstreams.pool]", 'kind = "engine"']
    for n in range(workers):
        lines += [
            f"[upstreams.pool.workers.worker-{n}]",
            f'url = "http://10.20.{n // 256}.{n % 256}:8000"',
            f'domain = "domain-{n % 12}"',
            f"versions = {names[:3]}".replace("'", '"'),
        ]
    lines += ["[cascades.quick]", f'steps = ["{names[0]}", "{names[1]}"]']
    for n in range(workspaces):
        lines += [
            f"[workspaces.workspace-{n}]",
            f'key_sha256 = ["{sha256_hex(str(n))}"]',
            f"versions = {names}".replace("'", '"'),
        ]
    for n in range(workspaces):
        lines += [
            "[[rules]]",
            f'name = "rule-{n}"',
            f'when.workspaces = ["workspace-{n}"]',
            'then.cascade = "quick"',
        ]
    return "\n".join(lines) + "\n"
