"""Ordered when-then rules, of which the first that matches applies."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from rattanpier._internal.models.configuration import Rule, When
from rattanpier._internal.models.request import RouteRequest

Condition = Callable[[When, RouteRequest], bool]


def matches_name(names: list[str] | None, name: str) -> bool:
    """Returns whether a name is in a list; None matches every name."""
    return names is None or name in names


def labels_match(when: When, request: RouteRequest) -> bool:
    """Returns whether the request has all labels with their values."""
    wanted = when.labels or {}
    return all(request.labels.get(name) == wanted[name] for name in wanted)


def meets_min_tokens(when: When, request: RouteRequest) -> bool:
    """Returns whether the prompt has at least the required tokens."""
    min_tokens = when.min_prompt_tokens
    return min_tokens is None or request.prompt_tokens >= min_tokens


def meets_max_tokens(when: When, request: RouteRequest) -> bool:
    """Returns whether the prompt has at most the allowed tokens."""
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
    """Result of matching a request against a rule.

    Attributes:
      rule: The rule.
      failed: Names of the conditions that did not hold; empty if it matches.
    """

    rule: Rule
    failed: list[str]


def check_rules(
    rules: list[Rule], request: RouteRequest
) -> Iterator[RuleCheck]:
    """Yields the result for each rule, up to the first that matches."""
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
