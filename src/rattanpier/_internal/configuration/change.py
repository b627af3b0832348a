"""Carries a change to an outcome that an operator can rely on."""

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

RETRY_INTERVAL_S = 0.2  # Between looks at a store that does not answer.
MAX_REBASES = 8

Edit = Callable[[str], str]


@attrs.frozen
class EditOutcome:
    """The outcome of an edit, and the changes it was put on top of.

    Attributes:
      outcome: What became of the edit.
      over: Changes of others that came while it was being made.
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
    """Proposes a change and finds out what became of it.

    A write with a lost answer is submitted again as the same attempt, which
    can't take effect twice. `Undecided` is returned only if the store stayed
    silent until the timeout; then `resolve_change` tells the truth later.

    Args:
      table: The store.
      clock: For the timeout.
      revision: The change, with the number after its base.
      timeout_s: Seconds until a silent store is given up.
      checks: Further conditions; one that fails for good gives `Fenced`.
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
    """Says whether an outcome holds though an earlier write may land.

    A refusal says nothing of the copy sent before it.
    """
    return isinstance(outcome, Accepted | Raced | Fenced)


async def resolve_change(
    table: Table,
    clock: Clock,
    revision: int,
    change: str,
    timeout_s: float,
) -> ChangeOutcome:
    """Tells what became of a change, and sees to it that this stays true.

    Args:
      table: The store.
      clock: For the timeout.
      revision: Number that the change was to have.
      change: Its id.
      timeout_s: Seconds until a silent store is given up.
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
    """Applies a narrowing edit to the newest text, again if it raced.

    Only for edits that mean the same on any base, as a withdrawal does. Each
    repeat follows an outcome that says for certain that the one before had
    no effect, and carries an id of its own.

    Args:
      table: The store.
      clock: For the timeout.
      edit: Changes the text.
      draft: Author, change id and time; its number and text are replaced.
      timeout_s: Seconds until a silent store is given up.

    Raises:
      ConfigurationError: The edit does not fit the newest text.
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
    """Returns the accepted revision; an empty one if there is none.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    head = await read_head(table)
    found = await read_revision(table, head) if head else None
    return found or Revision(0, "", "", "", 0.0)
