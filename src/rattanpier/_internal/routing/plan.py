"""Planning: selects the versions that may answer a request."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from rattanpier._internal.models.configuration import (
    Configuration,
    Rollout,
    RolloutState,
    Then,
    VersionState,
    Workspace,
)
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.routing.rules import first_match
from rattanpier._internal.utils.hashing import stable_hash

SPLIT_RESOLUTION = 10_000  # Resolution of a roll-out's share.


def make_plan(
    configuration: Configuration,
    request: RouteRequest,
    braked: Collection[str] = (),
) -> Plan | Refusal:
    """Decides which versions may answer a request, and in which order.

    Args:
      configuration: The current configuration.
      request: The request.
      braked: Versions stopped by brakes ahead of the configuration.

    Returns:
      A plan with at least one step or a service, or a refusal.
    """
    rule = first_match(configuration.rules, request)
    if rule is None:
        return Refusal(
            RefusalCode.NO_RULE, "No rule matches the request.", True
        )
    if rule.then.refuse is not None:
        return Refusal(RefusalCode.RULE_REFUSED, rule.then.refuse, True)
    workspace = configuration.workspaces[request.workspace]
    if rule.then.service is not None:
        return plan_service(rule.name, rule.then.service, workspace)
    return plan_versions(configuration, request, rule.name, rule.then, braked)


def plan_service(
    rule: str, service: str, workspace: Workspace
) -> Plan | Refusal:
    """Returns a plan for a plain service, or a refusal."""
    if service not in workspace.services:
        return Refusal(
            RefusalCode.SERVICE_NOT_ALLOWED,
            f"The workspace may not use service {service!r}.",
            True,
        )
    return Plan(rule, service=service)


def plan_versions(
    configuration: Configuration,
    request: RouteRequest,
    rule: str,
    then: Then,
    braked: Collection[str],
) -> Plan | Refusal:
    """Returns a plan with the versions of a rule, or a refusal."""
    workspace = configuration.workspaces[request.workspace]
    steps = list(rule_versions(configuration, then))
    steps = [
        apply_rollouts(configuration, request, step, workspace, braked)
        for step in steps
    ]
    steps = [step for step in steps if step in workspace.versions]
    if not steps:
        return Refusal(
            RefusalCode.MODEL_NOT_ALLOWED,
            "The workspace may use none of the versions of the rule.",
            True,
        )
    pinned = request.pinned
    if pinned and may_serve(configuration, workspace, pinned, True, braked):
        return Plan(rule, [pinned])
    steps = [
        step
        for step in steps
        if may_serve(configuration, workspace, step, False, braked)
    ]
    if not steps:
        return Refusal(
            RefusalCode.NO_VERSION,
            "Every version of the rule is paused or withdrawn.",
            True,
            retry_after_s=5.0,
        )
    return Plan(rule, steps, pin_lost=pinned)


def rule_versions(configuration: Configuration, then: Then) -> Iterator[str]:
    """Yields the versions that a rule names, in order."""
    if then.version is not None:
        yield then.version
    if then.cascade is not None:
        yield from configuration.cascades[then.cascade].steps


def apply_rollouts(
    configuration: Configuration,
    request: RouteRequest,
    version: str,
    workspace: Workspace,
    braked: Collection[str],
) -> str:
    """Returns the version that a roll-out substitutes for a version.

    A session stays with the same version as long as the share is unchanged,
    and a larger share only moves sessions from stable to candidate. If the
    candidate may not serve the request, it stays with the stable version.
    """
    for name, rollout in configuration.rollouts.items():
        if rollout.stable != version or not is_open(rollout):
            continue
        unit = request.session or f"{request.workspace}/{request.key}"
        bucket = stable_hash(f"{name}\x1f{unit}") % SPLIT_RESOLUTION
        candidate = rollout.candidate
        if bucket < rollout.share * SPLIT_RESOLUTION and may_serve(
            configuration, workspace, candidate, False, braked
        ):
            return candidate
    return version


def is_open(rollout: Rollout) -> bool:
    """Returns whether a roll-out sends traffic to its candidate."""
    return rollout.state is not RolloutState.HALTED


def may_serve(
    configuration: Configuration,
    workspace: Workspace,
    version: str,
    pinned: bool,
    braked: Collection[str] = (),
) -> bool:
    """Returns whether a version may get new requests of a workspace now.

    This is checked again immediately before each dispatch.
    """
    if version not in workspace.versions or version in braked:
        return False
    known = configuration.versions.get(version)
    if known is None or known.state is VersionState.WITHDRAWN:
        return False
    return pinned or known.state is VersionState.SERVING
