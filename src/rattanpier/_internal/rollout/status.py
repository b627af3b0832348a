"""State and next step of a roll-out, as text for operators."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from rattanpier._internal.models.configuration import (
    Configuration,
    RolloutState,
    VersionState,
)
from rattanpier._internal.routing.brakes import BrakeRecord


@attrs.frozen
class RolloutStatus:
    """State of one roll-out as known to this process.

    Attributes:
      state: One of "halted", "halting", "paused", "done" and "running".
      reason: Reason for the state, as far as known to this process.
      next_step: What happens next, or what the operator has to do.
    """

    state: str
    reason: str
    next_step: str


def rollout_status(
    name: str,
    configuration: Configuration,
    brakes: Mapping[str, BrakeRecord],
) -> RolloutStatus:
    """Returns the first matching state of a roll-out and its next step.

    Args:
      name: Name of the roll-out; it has to be in the configuration.
      configuration: The configuration in force.
      brakes: Active brakes by version.
    """
    rollout = configuration.rollouts[name]
    candidate = rollout.candidate
    if rollout.state is RolloutState.HALTED:
        return RolloutStatus(
            "halted",
            f"{candidate} gets no new sessions through this roll-out",
            f"remove the roll-out, or set {candidate} to serving and the"
            " roll-out to running with a small share to begin anew",
        )
    if candidate in brakes:
        return RolloutStatus(
            "halting",
            f"braked by {brakes[candidate].origin}: {brakes[candidate].reason}",
            "the driver writes the halt as soon as the store answers;"
            " nothing to do",
        )
    if not is_serving(configuration, candidate):
        return RolloutStatus(
            "paused",
            f"{candidate} does not take new sessions",
            f"set {candidate} to serving, or the roll-out to halted",
        )
    if rollout.share >= rollout.max_share:
        return RolloutStatus(
            "done",
            f"{candidate} has the largest share allowed",
            f"when content, name {candidate} in rules and cascades and remove"
            " the roll-out; until then it is watched",
        )
    return RolloutStatus(
        "running",
        "the driver gathers evidence",
        "the driver widens or halts by evidence; nothing to do",
    )


def is_serving(configuration: Configuration, version: str) -> bool:
    """Returns whether a version accepts new sessions."""
    known = configuration.versions.get(version)
    return known is not None and known.state is VersionState.SERVING
