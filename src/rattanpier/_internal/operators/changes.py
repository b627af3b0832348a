"""Configuration changes by operators: whole texts and single fields."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from rattanpier._internal.configuration.change import (
    Edit,
    propose_edit,
    propose_with_retry,
    read_newest,
    resolve_change,
)
from rattanpier._internal.configuration.edit import Value, set_fields
from rattanpier._internal.configuration.inforce import InForceTracker
from rattanpier._internal.configuration.parse import parse_configuration
from rattanpier._internal.configuration.store import (
    Accepted,
    ChangeOutcome,
    Raced,
    Revision,
    read_revision,
)
from rattanpier._internal.exceptions import (
    ConfigurationError,
    StoreUnavailableError,
)
from rattanpier._internal.models.configuration import (
    Configuration,
    RolloutState,
    VersionState,
)
from rattanpier._internal.operators.messages import (
    ChangeReport,
    OtherChange,
    other_change,
    report_of,
    with_progress,
)
from rattanpier._internal.routing.brakes import Brakes
from rattanpier._internal.store.table import Table
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

# After this time without a reply of the store, a change is undecided.
CHANGE_TIMEOUT_S = 10.0

Check = Callable[[str], Configuration]


@attrs.frozen
class ChangeContext:
    """Author, id and waiting time of a change.

    Attributes:
      author: Name of the operator.
      change: Unique id of the change.
      wait_s: Maximum seconds to wait until the change is in force on all
        members.
    """

    author: str
    change: str
    wait_s: float


@attrs.define
class Changes:
    """Applies changes by operators to the configuration.

    Attributes:
      check: Parses and validates a text; raises ConfigurationError.
    """

    table: Table
    clock: Clock
    inforce: InForceTracker
    brakes: Brakes
    metrics: Metrics
    check: Check = parse_configuration

    async def replace(
        self, text: str, base: int, context: ChangeContext
    ) -> ChangeReport:
        """Proposes a whole text as the successor of revision `base`.

        Raises:
          ConfigurationError: The text is invalid.
        """
        self.check(text)
        draft = self.draft(context)
        revision = attrs.evolve(draft, revision=base + 1, text=text)
        outcome = await propose_with_retry(
            self.table, self.clock, revision, CHANGE_TIMEOUT_S
        )
        return await self.report(outcome, revision, context)

    async def resolve(
        self, revision: int, context: ChangeContext
    ) -> ChangeReport:
        """Resolves the outcome of a change.

        A change that was not stored is fenced, so that it can't be accepted
        later.
        """
        draft = attrs.evolve(self.draft(context), revision=revision)
        outcome = await resolve_change(
            self.table, self.clock, revision, context.change, CHANGE_TIMEOUT_S
        )
        return await self.report(outcome, draft, context)

    async def withdraw(
        self, version: str, context: ChangeContext
    ) -> ChangeReport:
        """Brakes a version at once and withdraws it in the configuration.

        The brake stays in place even if the store can't be reached.

        Raises:
          ConfigurationError: There is no such version.
        """
        self.require(version in self.present.versions, "version", version)
        self.brakes.apply(version, "withdrawn", context.author)
        state = VersionState.WITHDRAWN.value
        report = await self.apply_restriction(
            ["versions", version], {"state": state}, context
        )
        return attrs.evolve(report, braked=version)

    async def drain(
        self, upstream: str, context: ChangeContext
    ) -> ChangeReport:
        """Stops new requests to an upstream.

        Raises:
          ConfigurationError: There is no such upstream.
        """
        self.require(upstream in self.present.upstreams, "upstream", upstream)
        return await self.apply_restriction(
            ["upstreams", upstream], {"draining": True}, context
        )

    async def halt(self, rollout: str, context: ChangeContext) -> ChangeReport:
        """Brakes the candidate of a roll-out at once and halts the roll-out.

        Raises:
          ConfigurationError: There is no such roll-out.
        """
        known = self.present.rollouts.get(rollout)
        self.require(known is not None, "roll-out", rollout)
        assert known is not None
        self.brakes.apply(known.candidate, "halted", context.author, rollout)
        state = RolloutState.HALTED.value
        fields = {"state": state, "halts": known.halts + 1}
        report = await self.apply_restriction(
            ["rollouts", rollout], fields, context
        )
        return attrs.evolve(report, braked=known.candidate)

    async def widen(
        self, rollout: str, fields: dict[str, Value], context: ChangeContext
    ) -> ChangeReport:
        """Starts or widens a roll-out, based on the newest accepted revision.

        If another change is accepted first, this one is not applied, and the
        operator has to decide again.

        Raises:
          ConfigurationError: The resulting configuration is invalid.
          StoreUnavailableError: The store did not reply; nothing changed.
        """
        base = await read_newest(self.table)
        text = set_fields(base.text, ["rollouts", rollout], fields)
        return await self.replace(text, base.revision, context)

    async def apply_restriction(
        self, path: list[str], fields: dict[str, Value], context: ChangeContext
    ) -> ChangeReport:
        """Proposes an edit that only restricts traffic.

        If other changes are accepted first, the edit is applied on top of
        them.
        """
        edit = self.checked(lambda text: set_fields(text, path, fields))
        done = await propose_edit(
            self.table, self.clock, edit, self.draft(context), CHANGE_TIMEOUT_S
        )
        revision = self.draft(context)
        if isinstance(done.outcome, Accepted):
            number = done.outcome.revision
            revision = attrs.evolve(revision, revision=number)
        report = await self.report(done.outcome, revision, context)
        over = [await self.describe(other) for other in done.over]
        return attrs.evolve(report, over=over)

    def checked(self, edit: Edit) -> Edit:
        """Returns an edit that also validates its result."""

        def checked_edit(text: str) -> str:
            edited = edit(text)
            self.check(edited)
            return edited

        return checked_edit

    def draft(self, context: ChangeContext) -> Revision:
        """Returns a revision whose number and text are not set yet."""
        return Revision(
            0, "", context.author, context.change, self.clock.time()
        )

    @property
    def present(self) -> Configuration:
        """The configuration in force on this node."""
        return self.inforce.follower.configuration

    def require(self, known: bool, kind: str, name: str) -> None:
        """Raises ConfigurationError unless `known` is true."""
        if not known:
            raise ConfigurationError(
                f"there is no {kind} {name!r}",
                "see GET /operator/config for the names",
            )

    async def report(
        self, outcome: ChangeOutcome, revision: Revision, context: ChangeContext
    ) -> ChangeReport:
        """Counts an outcome, completes its follow-up and returns a report."""
        report = report_of(outcome, revision)
        self.metrics.count(f"config.change.{report.outcome}")
        match outcome:
            case Accepted(number):
                return await self.follow_up(report, number, context)
            case Raced(other):
                described = await self.describe(other)
                return attrs.evolve(report, other=described)
            case _:
                return report

    async def follow_up(
        self, report: ChangeReport, number: int, context: ChangeContext
    ) -> ChangeReport:
        """Broadcasts an accepted revision and waits until it is in force."""
        try:
            accepted = await read_revision(self.table, number)
        except StoreUnavailableError:
            # Nodes get the revision by polling; `GET /operator/status` shows
            # when it is in force.
            return report
        assert accepted is not None
        self.inforce.begin(accepted)
        progress = await self.inforce.wait(number, context.wait_s)
        return with_progress(report, progress)

    async def describe(self, other: Revision) -> OtherChange:
        """Returns the description of another change, with its diff."""
        try:
            before = await read_revision(self.table, other.revision - 1)
        except StoreUnavailableError:
            before = None
        return other_change(before.text if before else "", other)
