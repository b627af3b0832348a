"""Ordered when-then rules: the first that matches decides."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from rattanpier._internal.models.configuration import Rule, When
from rattanpier._internal.models.request import RouteRequest

Condition = Callable[[When, RouteRequest], bool]


def matches_name(names: list[str] | None, name: str) -> bool:
    """Says whether a condition on a name holds; None always does."""
    return names is None or name in names


def labels_match(when: When, request: RouteRequest) -> bool:
    """Says whether every wanted label has its value."""
    wanted = when.labels or {}
    return all(request.labels.get(name) == wanted[name] for name in wanted)


def meets_min_tokens(when: When, request: RouteRequest) -> bool:
    """Says whether the prompt has enough tokens."""
    min_tokens = when.min_prompt_tokens
    return min_tokens is None or request.prompt_tokens >= min_tokens


def meets_max_tokens(when: When, request: RouteRequest) -> bool:
    """Says whether the prompt has few enough tokens."""
    max_tokens = when.max_prompt_tokens
    return max_tokens is None or request.prompt_tokens <= max_tokens


CONDITIONS: dict[str, Condition] = {
    "workspaces": lambda when, request: matches_name(
        when.workspaces, request.workspace
    ),
    "models": lambda when, request: matches_name(when.models, request.model),
    "services": lambda when, request: matches_name(
        when.services, request.service
    ),
    "labels": labels_match,
    "min_prompt_tokens": meets_min_tokens,
    "max_prompt_tokens": meets_max_tokens,
    "stream": lambda when, request: when.stream in (None, request.stream),
    "non_idempotent": lambda when, request: (
        when.non_idempotent in (None, not request.idempotent)
    ),
}


@attrs.frozen
class RuleCheck:
    """How a rule fared.

    Attributes:
      rule: The rule.
      failed: Names of the conditions that did not hold; none: it matches.
    """

    rule: Rule
    failed: list[str]


def check_rules(
    rules: list[Rule], request: RouteRequest
) -> Iterator[RuleCheck]:
    """Yields how each rule fared, up to the first that matches."""
    for rule in rules:
        failed = [
            name
            for name, holds in CONDITIONS.items()
            if not holds(rule.when, request)
        ]
        yield RuleCheck(rule, failed)
        if not failed:
            return


def first_match(rules: list[Rule], request: RouteRequest) -> Rule | None:
    """Returns the first rule that matches, or None."""
    for check in check_rules(rules, request):
        if not check.failed:
            return check.rule
    return None
