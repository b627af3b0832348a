"""Checks routing rules: names, conditions, actions and reachability."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import attrs

from rattanpier._internal.configuration.problem import (
    Finding,
    check_known,
    check_not_empty,
    check_not_negative,
)
from rattanpier._internal.models.configuration import (
    Configuration,
    Rule,
    Then,
    UpstreamKind,
    When,
)

LIST_CONDITIONS = ("workspaces", "models", "services")
FLAG_CONDITIONS = ("stream", "non_idempotent")
TOKEN_CONDITIONS = ("min_prompt_tokens", "max_prompt_tokens")
ONE_ACTION = "give exactly one of cascade, version, service, refuse"


def plain_services(configuration: Configuration) -> list[str]:
    """Returns the names of the plain services."""
    return [
        name
        for name, upstream in configuration.upstreams.items()
        if upstream.kind is UpstreamKind.PLAIN
    ]


def check_rules(configuration: Configuration) -> Iterator[Finding]:
    """Yields findings for single rules and for conflicts between rules."""
    seen: dict[str, int] = {}
    for number, rule in enumerate(configuration.rules):
        steps = ("rules", str(number))
        yield from check_not_empty((*steps, "name"), rule.name)
        if rule.name in seen:
            yield Finding(
                (*steps, "name"),
                f"rule {rule.name!r} has the name of rule "
                f"{seen[rule.name] + 1}",
                "give each rule its own name",
            )
        seen.setdefault(rule.name, number)
        yield from check_when(configuration, steps, rule.when)
        yield from check_then(configuration, steps, rule.then)
        yield from check_allowed(configuration, number)
    yield from check_reachable(configuration)


def check_when(
    configuration: Configuration, steps: Sequence[str], when: When
) -> Iterator[Finding]:
    """Yields findings for unknown names and conditions that never hold."""
    steps = (*steps, "when")
    for name in when.workspaces or []:
        yield from check_known(
            (*steps, "workspaces"), "workspace", name, configuration.workspaces
        )
    for name in when.services or []:
        yield from check_known(
            (*steps, "services"),
            "plain service",
            name,
            plain_services(configuration),
        )
    for name in LIST_CONDITIONS:
        if getattr(when, name) == []:
            yield Finding(
                (*steps, name),
                f"{name} is empty, so that the rule never matches",
                "name some, or leave the condition out",
            )
    for name in TOKEN_CONDITIONS:
        value = getattr(when, name)
        if value is not None:
            yield from check_not_negative((*steps, name), value)
    least, most = when.min_prompt_tokens, when.max_prompt_tokens
    if least is not None and most is not None and least > most:
        yield Finding(
            (*steps, "min_prompt_tokens"),
            f"min_prompt_tokens {least} is above max_prompt_tokens {most}, "
            "so that the rule never matches",
            "give a range that is not empty",
        )


def check_then(
    configuration: Configuration, steps: Sequence[str], then: Then
) -> Iterator[Finding]:
    """Yields findings unless there is exactly one, valid action."""
    steps = (*steps, "then")
    given = [
        name for name, value in attrs.asdict(then).items() if value is not None
    ]
    if not given:
        yield Finding(steps, "the rule has no action", ONE_ACTION)
    if len(given) > 1:
        yield Finding(
            steps, f"the rule has the actions {', '.join(given)}", ONE_ACTION
        )
    if then.cascade is not None:
        yield from check_known(
            (*steps, "cascade"), "cascade", then.cascade, configuration.cascades
        )
    if then.version is not None:
        yield from check_known(
            (*steps, "version"), "version", then.version, configuration.versions
        )
    if then.service is not None:
        yield from check_known(
            (*steps, "service"),
            "plain service",
            then.service,
            plain_services(configuration),
        )
    if then.refuse is not None and not then.refuse.strip():
        yield Finding(
            (*steps, "refuse"),
            "refuse is empty",
            "give the sentence that callers get",
        )


def check_allowed(
    configuration: Configuration, number: int
) -> Iterator[Finding]:
    """Yields findings for targets that workspaces at a rule may not use.

    All versions of a cascade must be allowed for every workspace that can reach
    the rule. A version or a service must be allowed only for the workspaces
    that the rule names. For other workspaces, a rule that matches them is the
    usual way to refuse their requests.
    """
    rule = configuration.rules[number]
    steps = ("rules", str(number), "then")
    for name in reaching_workspaces(configuration, number):
        workspace = configuration.workspaces[name]
        for version in cascade_steps(configuration, rule.then):
            if version not in workspace.versions:
                yield not_allowed_finding(
                    (*steps, "cascade"),
                    f"cascade {rule.then.cascade!r} goes through version",
                    version,
                    name,
                )
        if name in (rule.when.workspaces or []):
            yield from check_named_workspace(
                configuration, steps, rule.then, name
            )


def check_named_workspace(
    configuration: Configuration,
    steps: Sequence[str],
    then: Then,
    name: str,
) -> Iterator[Finding]:
    """Yields findings for a version or service not allowed for a workspace."""
    workspace = configuration.workspaces[name]
    lists = {"version": workspace.versions, "service": workspace.services}
    known = {
        "version": configuration.versions,
        "service": configuration.upstreams,
    }
    for kind, allowed in lists.items():
        wanted = getattr(then, kind)
        if wanted in known[kind] and wanted not in allowed:
            yield not_allowed_finding(
                (*steps, kind), f"the rule gives {kind}", wanted, name
            )


def not_allowed_finding(
    steps: Sequence[str], how: str, what: str, workspace: str
) -> Finding:
    """Returns the finding for a target that a workspace may not use."""
    return Finding(
        steps,
        f"{how} {what!r}, which workspace {workspace!r} may not use",
        "allow it there, or let a rule before this one match the workspace",
    )


def cascade_steps(configuration: Configuration, then: Then) -> list[str]:
    """Returns the versions of a rule's cascade that are defined."""
    cascade = configuration.cascades.get(then.cascade or "")
    steps = cascade.steps if cascade else []
    return [step for step in steps if step in configuration.versions]


def reaching_workspaces(
    configuration: Configuration, number: int
) -> Iterator[str]:
    """Yields the names of the workspaces whose requests can reach a rule."""
    rule = configuration.rules[number]
    for name in configuration.workspaces:
        if name not in (rule.when.workspaces or configuration.workspaces):
            continue
        own = attrs.evolve(rule.when, workspaces=[name])
        if not any(
            covers(earlier.when, own)
            for earlier in configuration.rules[:number]
        ):
            yield name


def check_reachable(configuration: Configuration) -> Iterator[Finding]:
    """Yields a finding for each rule that an earlier rule makes unreachable."""
    workspaces = list(configuration.workspaces)
    for number, rule in enumerate(configuration.rules):
        covering = find_covering_rule(
            configuration.rules[:number], rule, workspaces
        )
        if covering is not None:
            yield Finding(
                ("rules", str(number)),
                f"rule {rule.name!r} is never reached: rule {covering.name!r} "
                "before it matches all that it matches",
                f"move it before {covering.name!r}, or take it out",
            )


def find_covering_rule(
    earlier: Sequence[Rule], rule: Rule, workspaces: list[str]
) -> Rule | None:
    """Returns the first earlier rule that covers a rule, or None."""
    when = rule.when
    if when.workspaces is None and workspaces:
        when = attrs.evolve(when, workspaces=workspaces)
    return next((one for one in earlier if covers(one.when, when)), None)


def covers(wide: When, narrow: When) -> bool:
    """Returns whether one set of conditions holds wherever another does.

    >>> covers(When(stream=True), When(stream=True, models=["m"]))
    True
    >>> covers(When(min_prompt_tokens=9), When(min_prompt_tokens=8))
    False
    """
    lists = all(
        covers_list(getattr(wide, name), getattr(narrow, name))
        for name in LIST_CONDITIONS
    )
    flags = all(
        getattr(wide, name) in (None, getattr(narrow, name))
        for name in FLAG_CONDITIONS
    )
    wanted = (narrow.labels or {}).items()
    labels = (wide.labels or {}).items() <= wanted
    return lists and flags and labels and covers_tokens(wide, narrow)


def covers_list(wide: list[str] | None, narrow: list[str] | None) -> bool:
    """Returns whether one condition on names covers another."""
    if wide is None:
        return True
    return narrow is not None and set(narrow) <= set(wide)


def covers_tokens(wide: When, narrow: When) -> bool:
    """Returns whether one range of prompt tokens covers another."""
    least = narrow.min_prompt_tokens or 0
    most = narrow.max_prompt_tokens
    low = wide.min_prompt_tokens
    high = wide.max_prompt_tokens
    if low is not None and least < low:
        return False
    return high is None or (most is not None and most <= high)
