"""Configuration changes that the driver of a roll-out writes."""

from __future__ import annotations

import uuid
from collections.abc import Callable

import attrs

from rattanpier._internal.configuration.change import (
    Edit,
    propose_with_retry,
    read_newest,
)
from rattanpier._internal.configuration.edit import set_fields
from rattanpier._internal.configuration.store import (
    Accepted,
    ChangeOutcome,
    NotAccepted,
    Revision,
)
from rattanpier._internal.exceptions import (
    StoreUnavailableError,
)
from rattanpier._internal.models.configuration import (
    Rollout,
    RolloutState,
    VersionState,
)
from rattanpier._internal.rollout.lease import HeldLease
from rattanpier._internal.rollout.paired_evaluator import FULL_SHARE
from rattanpier._internal.store.table import Table
from rattanpier._internal.utils.clock import Clock

STORE_TIMEOUT_S = 3.0


@attrs.frozen
class Change:
    """The subject and the author of a configuration change.

    Attributes:
      name: Name of the roll-out.
      rollout: The roll-out as the driver evaluated it.
      revision: Configuration revision that the roll-out was read from.
      author: The driver and its reason, shown to operators.
    """

    name: str
    rollout: Rollout
    revision: int
    author: str


@attrs.frozen
class ChangeWriter:
    """Dependencies for writing a change to the configuration.

    Attributes:
      table: The table service.
      clock: Source of timestamps and timeouts.
      accepted: Called with each revision that the store accepted.
    """

    table: Table
    clock: Clock
    accepted: Callable[[Revision], None]


async def write_share(
    writer: ChangeWriter, held_lease: HeldLease, change: Change, share: float
) -> ChangeOutcome:
    """Writes a share, unless the configuration changed since evaluation.

    Args:
      writer: Where to write.
      held_lease: The driver's lease.
      change: Subject and author of the change.
      share: The new share, from 0 to 1.
    """
    done = share >= FULL_SHARE
    state = RolloutState.DONE if done else RolloutState.RUNNING

    def edit(text: str) -> str:
        return set_fields(
            text,
            ["rollouts", change.name],
            {"share": round(share, 6), "state": state.value},
        )

    return await propose_edit(writer, held_lease, change, edit)


async def write_halt(
    writer: ChangeWriter, held_lease: HeldLease, change: Change, withdraw: bool
) -> ChangeOutcome:
    """Writes a halt, unless the configuration changed since evaluation.

    The brake is active already, so that an operator's concurrent change can
    come into force first.

    Args:
      writer: Where to write.
      held_lease: The driver's lease.
      change: Subject and author of the change.
      withdraw: Whether to withdraw the candidate, so that it gets no new work
        at all. If an operator halted it, this is left to the operator.
    """

    def edit(text: str) -> str:
        halted = set_fields(
            text,
            ["rollouts", change.name],
            {
                "state": RolloutState.HALTED.value,
                "halts": change.rollout.halts + 1,
            },
        )
        if not withdraw:
            return halted
        return set_fields(
            halted,
            ["versions", change.rollout.candidate],
            {"state": VersionState.WITHDRAWN.value},
        )

    return await propose_edit(writer, held_lease, change, edit)


async def propose_edit(
    writer: ChangeWriter, held_lease: HeldLease, change: Change, edit: Edit
) -> ChangeOutcome:
    """Writes an edit on top of exactly the revision that was evaluated.

    A change that an operator made in between takes precedence; the driver
    evaluates the roll-out again on the new revision.
    """
    try:
        base = await read_newest(writer.table)
    except StoreUnavailableError as error:
        return NotAccepted(error.message)
    if base.revision != change.revision:
        return NotAccepted("a newer revision comes into force first")
    revision = Revision(
        base.revision + 1,
        edit(base.text),
        change.author,
        uuid.uuid4().hex,
        writer.clock.time(),
    )
    outcome = await propose_with_retry(
        writer.table,
        writer.clock,
        revision,
        STORE_TIMEOUT_S,
        (held_lease.check,),
    )
    if isinstance(outcome, Accepted):
        writer.accepted(revision)
    return outcome
