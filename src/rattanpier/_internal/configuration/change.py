"""Proposes configuration changes and determines their outcome.

A write whose answer was lost is repeated until its effect is known, so that an
operator gets a definite outcome unless the store stays unreachable.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from rattanpier._internal.configuration.store import (
    Accepted,
    Attempt,
    ChangeOutcome,
    Fenced,
    NotAccepted,
    Raced,
    Revision,
    Undecided,
    fence,
    prepare,
    read_head,
    read_revision,
    submit,
)
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.store.table import Check, Table
from rattanpier._internal.utils.clock import Clock

RETRY_INTERVAL_S = 0.2  # Between attempts at a store that does not answer.
MAX_REBASES = 8  # Attempts of one edit.

Edit = Callable[[str], str]


@attrs.frozen
class EditOutcome:
    """The outcome of an edit and the concurrent changes it was rebased on.

    Attributes:
      outcome: The outcome of the edit.
      over: Changes by others that were accepted in the meantime.
    """

    outcome: ChangeOutcome
    over: list[Revision]


async def propose_with_retry(
    table: Table,
    clock: Clock,
    revision: Revision,
    timeout_s: float,
    checks: tuple[Check, ...] = (),
) -> ChangeOutcome:
    """Proposes a change and determines its outcome.

    A write with a lost answer is submitted again as the same attempt, which
    can't take effect twice. `Undecided` is returned only if the store did not
    answer until the timeout; `resolve_change` determines the outcome later.

    Args:
      table: The store.
      clock: For the timeout.
      revision: The change, with the number after its base.
      timeout_s: Seconds after which a store that does not answer is given
        up.
      checks: Further conditions. One that fails permanently gives `Fenced`.

    Returns:
      The outcome of the change.
    """
    deadline = clock.monotonic() + timeout_s
    try:
        prepared = await prepare(table, revision)
    except StoreUnavailableError as error:
        return NotAccepted(error.message)
    if not isinstance(prepared, Attempt):
        return prepared
    prepared = attrs.evolve(prepared, checks=checks)
    write_in_doubt = False
    while True:
        outcome = await submit(table, prepared)
        write_in_doubt = write_in_doubt or isinstance(outcome, Undecided)
        if not write_in_doubt or is_final(outcome):
            return outcome
        if clock.monotonic() >= deadline:
            return Undecided(revision.change)
        await clock.sleep(RETRY_INTERVAL_S)


def is_final(outcome: ChangeOutcome) -> bool:
    """Returns whether an outcome is final while an earlier write is in doubt.

    A refusal is not: it says nothing about a copy that was sent before.
    """
    return isinstance(outcome, Accepted | Raced | Fenced)


async def resolve_change(
    table: Table,
    clock: Clock,
    revision: int,
    change: str,
    timeout_s: float,
) -> ChangeOutcome:
    """Determines the outcome of a change and makes it final.

    A change that was not accepted yet is fenced, so that a delayed write can't
    take effect later.

    Args:
      table: The store.
      clock: For the timeout.
      revision: Revision number that the change was proposed with.
      change: Id of the change.
      timeout_s: Seconds after which a store that does not answer is given
        up.

    Returns:
      `Accepted`, `Raced` or `Fenced`; `Undecided` after the timeout.
    """
    deadline = clock.monotonic() + timeout_s
    while True:
        try:
            outcome = await fence(table, revision, change)
        except StoreUnavailableError:
            outcome = Undecided(change)
        if not isinstance(outcome, Undecided) or clock.monotonic() >= deadline:
            return outcome
        await clock.sleep(RETRY_INTERVAL_S)


async def propose_edit(
    table: Table,
    clock: Clock,
    edit: Edit,
    draft: Revision,
    timeout_s: float,
) -> EditOutcome:
    """Applies an edit to the newest text and rebases it after a conflict.

    Only for edits that mean the same on any base, such as a withdrawal. An
    edit is repeated only after an outcome which proves that the previous
    attempt had no effect. Each repeat has its own change id.

    Args:
      table: The store.
      clock: For the timeout.
      edit: Changes the text.
      draft: Author, change id and time. Revision number and text are
        replaced.
      timeout_s: Seconds after which a store that does not answer is given
        up, for each attempt.

    Returns:
      The outcome of the last attempt and the changes it was rebased on.

    Raises:
      ConfigurationError: The edit can't be applied to the newest text.
    """
    over: list[Revision] = []
    outcome: ChangeOutcome = NotAccepted("not tried")
    for number in range(MAX_REBASES):
        try:
            base = await read_newest(table)
        except StoreUnavailableError as error:
            return EditOutcome(NotAccepted(error.message), over)
        revision = attrs.evolve(
            draft,
            revision=base.revision + 1,
            text=edit(base.text),
            change=f"{draft.change}.{number}" if number else draft.change,
        )
        outcome = await propose_with_retry(table, clock, revision, timeout_s)
        match outcome:
            case Raced(other):
                over.append(other)
            case Fenced():
                continue
            case _:
                return EditOutcome(outcome, over)
    return EditOutcome(outcome, over)


async def read_newest(table: Table) -> Revision:
    """Returns the newest accepted revision, or an empty one if there is none.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    head = await read_head(table)
    found = await read_revision(table, head) if head else None
    return found or Revision(0, "", "", "", 0.0)
