"""Where a roll-out stands, and what comes next, in words for operators."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from rattanpier._internal.models.configuration import (
    Configuration,
    Rollout,
    RolloutState,
    VersionState,
)
from rattanpier._internal.routing.brakes import BrakeRecord


@attrs.frozen
class RolloutStatus:
    """One roll-out as this process knows it.

    Attributes:
      name: The roll-out.
      state: One of "halted", "halting", "paused", "done" and "running".
      share: Share of new sessions that get the candidate.
      reason: Why it is so, as far as this process knows.
      next_step: What happens next, or what the operator is to do.
    """

    name: str
    state: str
    share: float
    reason: str
    next_step: str


def rollout_status(
    name: str,
    configuration: Configuration,
    brakes: Mapping[str, BrakeRecord],
    note: str = "",
) -> RolloutStatus:
    """Returns the one state of a roll-out and the one next step.

    Args:
      name: The roll-out; it has to be in the configuration.
      configuration: The configuration in force.
      brakes: The brakes that stand, by version.
      note: The driver's last decision, if this process drives.
    """
    rollout = configuration.rollouts[name]
    state, reason, step = describe(rollout, configuration, brakes, note)
    share = 0.0 if state in ("halted", "halting") else rollout.share
    return RolloutStatus(name, state, share, reason, step)


def describe(
    rollout: Rollout,
    configuration: Configuration,
    brakes: Mapping[str, BrakeRecord],
    note: str,
) -> tuple[str, str, str]:
    """Returns state, reason and next step; the first that fits."""
    candidate = rollout.candidate
    known = configuration.versions.get(candidate)
    serving = known is not None and known.state is VersionState.SERVING
    if rollout.state is RolloutState.HALTED:
        return (
            "halted",
            f"{candidate} gets no new sessions through this roll-out",
            f"remove the roll-out, or set {candidate} to serving and the"
            " roll-out to running with a small share to begin anew",
        )
    if candidate in brakes:
        return (
            "halting",
            f"braked by {brakes[candidate].origin}: {brakes[candidate].reason}",
            "the driver writes the halt as soon as the store answers;"
            " nothing to do",
        )
    if not serving:
        return (
            "paused",
            f"{candidate} does not take new sessions",
            f"set {candidate} to serving, or the roll-out to halted",
        )
    if rollout.share >= rollout.max_share:
        return (
            "done",
            note or f"{candidate} has the largest share allowed",
            f"when content, name {candidate} in rules and cascades and remove"
            " the roll-out; until then it is watched",
        )
    return (
        "running",
        note or "the driver gathers evidence",
        "the driver widens or halts by evidence; nothing to do",
    )
