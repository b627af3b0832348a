"""The changes of configuration that a driver makes."""

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
from rattanpier._internal.rollout.judge import FULL_SHARE
from rattanpier._internal.rollout.lease import HeldLease
from rattanpier._internal.store.table import Table
from rattanpier._internal.utils.clock import Clock

TIMEOUT_S = 3.0


@attrs.frozen
class Change:
    """What a change is of, and who makes it.

    Attributes:
      name: The roll-out.
      rollout: The roll-out as the driver judged it.
      revision: Revision that it was read from.
      author: The driver and its reason, for operators.
    """

    name: str
    rollout: Rollout
    revision: int
    author: str


@attrs.frozen
class Writer:
    """How changes are written.

    Attributes:
      accepted: Called with each revision that the store accepted.
    """

    table: Table
    clock: Clock
    accepted: Callable[[Revision], None]


async def set_share(
    writer: Writer, held: HeldLease, change: Change, share: float
) -> ChangeOutcome:
    """Sets the share, if nobody changed anything since it was judged."""
    done = share >= FULL_SHARE
    state = RolloutState.DONE if done else RolloutState.RUNNING

    def edit(text: str) -> str:
        return set_fields(
            text,
            ["rollouts", change.name],
            {"share": round(share, 6), "state": state.value},
        )

    return await propose_edit(writer, held, change, edit)


async def halt(
    writer: Writer, held: HeldLease, change: Change, withdraw: bool
) -> ChangeOutcome:
    """Halts a roll-out and withdraws its candidate, likewise.

    The brake is on already, so there is time to let an operator's change
    come into force first.

    Args:
      writer: Where to write.
      held: The driver's lease.
      change: What is changed.
      withdraw: Whether the candidate gets no new work at all; an operator who
        halted it decides that alone.
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

    return await propose_edit(writer, held, change, edit)


async def propose_edit(
    writer: Writer, held: HeldLease, change: Change, edit: Edit
) -> ChangeOutcome:
    """Makes an edit follow exactly the revision that was judged.

    An operator's change in between wins; the driver judges again on it.
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
        writer.table, writer.clock, revision, TIMEOUT_S, (held.check,)
    )
    if isinstance(outcome, Accepted):
        writer.accepted(revision)
    return outcome
