"""`rattanpier explain`: the rule that matches a request, and its plan."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import attrs
from rich.console import RenderableType

from rattanpier._internal.commands.api import connect
from rattanpier._internal.commands.result import ExitCode, Result, make_table
from rattanpier._internal.configuration.check import parse_and_check
from rattanpier._internal.configuration.parse import (
    parse_configuration,
    read_text,
)
from rattanpier._internal.edge.intake import DEFAULT_MAX_TOKENS
from rattanpier._internal.exceptions import CommandError, ConfigurationError
from rattanpier._internal.models.configuration import Configuration, When
from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.models.request import RouteRequest, estimate_tokens
from rattanpier._internal.routing.plan import make_plan
from rattanpier._internal.routing.rules import RuleCheck, check_rules

TOKENS_PER_PRICE = 1_000_000
KNOWN_KEYS = ("workspace", "body", "headers", "service", "pinned")
HINT = (
    'write {"workspace": "NAME", "body": {the request}, "headers": {…}}; '
    '"service" and "pinned" may be added'
)


@attrs.frozen
class Step:
    """A version in the plan of a request, with its estimated cost.

    Attributes:
      version: Name of the version.
      cost: Credits for the prompt and the maximum number of output tokens.
      quality: Expected share of good answers, before any rating.
    """

    version: str
    cost: float
    quality: float


def explain(request: str, config: str = "", url: str = "") -> Result:
    """Explains how a request would be routed, without sending it.

    Args:
      request: JSON file: workspace, body and headers of the request.
      config: Configuration file to use instead of the one in force.
      url: URL of the operator API of a control process.
    """
    route = read_request(request)
    configuration, braked = read_configuration(config, url)
    if route.workspace not in configuration.workspaces:
        raise CommandError(
            f"there is no workspace {route.workspace!r}",
            f"known are {', '.join(configuration.workspaces)}",
        )
    checks = list(check_rules(configuration.rules, route))
    plan = make_plan(configuration, route, braked)
    steps = [] if isinstance(plan, Refusal) else plan.steps
    costs = [price(configuration, route, version) for version in steps]
    shown = [show_checks(checks, route), *show_plan(plan, costs)]
    data = {
        "revision": configuration.revision,
        "rules": [
            {
                "rule": one.rule.name,
                "matches": not one.failed,
                "failed": one.failed,
            }
            for one in checks
        ],
        "plan": None if isinstance(plan, Refusal) else attrs.asdict(plan),
        "refusal": attrs.asdict(plan) if isinstance(plan, Refusal) else None,
        "steps": [attrs.asdict(step) for step in costs],
    }
    refused = isinstance(plan, Refusal)
    return Result(data, shown, ExitCode.FAILED if refused else ExitCode.DONE)


def read_request(path: str) -> RouteRequest:
    """Reads a request from a JSON file.

    Raises:
      CommandError: The file is not JSON or lacks the expected structure.
    """
    try:
        data = json.loads(read_text(path, CommandError))
    except ValueError as error:
        raise CommandError(f"{path} is not JSON: {error}", HINT) from error
    if not isinstance(data, dict) or not set(data) <= set(KNOWN_KEYS):
        raise CommandError(
            f"{path} is not an object with the keys of a request", HINT
        )
    body, headers = data.get("body", {}), data.get("headers", {})
    if not isinstance(body, dict) or not isinstance(headers, dict):
        raise CommandError(f"{path}: body and headers must be objects", HINT)
    if not isinstance(data.get("workspace"), str):
        raise CommandError(f"{path} names no workspace", HINT)
    return make_request(data, body, headers)


def make_request(
    data: dict[str, Any], body: dict[str, Any], headers: dict[str, Any]
) -> RouteRequest:
    """Converts a request to the form that rules are matched against."""
    named = {name.lower(): str(value) for name, value in headers.items()}
    messages = body.get("messages") or []
    characters = sum(len(str(one.get("content", ""))) for one in messages)
    metadata = body.get("metadata") or {}
    return RouteRequest(
        workspace=data["workspace"],
        key=named.get("idempotency-key", "explain"),
        model=str(body.get("model", "")),
        service=str(data.get("service", "")),
        session=named.get("x-session-id", ""),
        pinned=str(data.get("pinned", "")),
        idempotent=named.get("x-non-idempotent", "").lower() != "true",
        stream=body.get("stream") is True,
        prompt_tokens=estimate_tokens(characters),
        max_tokens=body.get("max_tokens") or DEFAULT_MAX_TOKENS,
        labels={str(name): str(metadata[name]) for name in metadata},
    )


def read_configuration(
    config: str, url: str
) -> tuple[Configuration, list[str]]:
    """Returns the configuration to use and the names of braked versions."""
    if config:
        text = read_text(config, ConfigurationError)
        return parse_and_check(text, config), []
    api = connect(url)
    found = api.get("config")
    parsed = parse_configuration(found["text"], f"r{found['revision']}")
    brakes = api.get("status")["brakes"]
    return (
        attrs.evolve(parsed, revision=found["revision"]),
        [brake["version"] for brake in brakes],
    )


def price(
    configuration: Configuration, request: RouteRequest, name: str
) -> Step:
    """Returns the estimated cost and expected quality of a version."""
    version = configuration.versions[name]
    credits = (
        request.prompt_tokens * version.input_price
        + request.max_tokens * version.output_price
    )
    return Step(name, credits / TOKENS_PER_PRICE, version.quality)


def show_checks(
    checks: list[RuleCheck], request: RouteRequest
) -> RenderableType:
    """Returns a table of the rules up to the one that matches."""
    table = make_table("Rules", ("rule", "matches", "why not"))
    for one in checks:
        reasons = "; ".join(
            reason(name, one.rule.when, request) for name in one.failed
        )
        table.add_row(one.rule.name, "no" if one.failed else "yes", reasons)
    return table


def reason(name: str, when: When, request: RouteRequest) -> str:
    """Returns the reason why a condition does not hold.

    >>> reason("stream", When(stream=True), RouteRequest("w", "k"))
    'stream: wants True, has False'
    """
    has = {
        "workspaces": request.workspace,
        "models": request.model,
        "services": request.service,
        "labels": request.labels,
        "min_prompt_tokens": request.prompt_tokens,
        "max_prompt_tokens": request.prompt_tokens,
        "stream": request.stream,
        "non_idempotent": not request.idempotent,
    }
    return f"{name}: wants {getattr(when, name)}, has {has[name]!r}"


def show_plan(plan: Any, steps: list[Step]) -> Iterator[RenderableType]:
    """Yields the human-readable form of a plan or refusal."""
    if isinstance(plan, Refusal):
        yield f"Refused: {plan.code.value}: {plan.message}"
        return
    if plan.service:
        yield f"Passed on to service {plan.service!r}."
        return
    if plan.pin_lost:
        yield f"The session can't keep version {plan.pin_lost!r}."
    names = ("version", "credits at most", "quality before ratings")
    table = make_table("Versions left, in order", names)
    for step in steps:
        table.add_row(step.version, f"{step.cost:.6f}", f"{step.quality:.2f}")
    yield table
