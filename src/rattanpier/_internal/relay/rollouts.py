"""Which version of a service a request goes to while it is rolled out.

What narrows acts at once in each entry: evidence that the new version is worse
stops it here, whatever the store does. What widens is a record in the store.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from rattanpier._internal.models.policy import USUAL, Policy
from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.evidence import (
    AnswerCounts,
    Evidence,
    TallyKey,
)
from rattanpier._internal.relay.exposure import (
    WIDENING_SHARE,
    ExposureBound,
)
from rattanpier._internal.relay.held_sessions import (
    HASH_RANGE,
    HeldSessions,
    session_point,
)
from rattanpier._internal.relay.known_orders import (
    KnownOrders,
    are_of_one_order,
    further,
    is_of,
)
from rattanpier._internal.relay.verdict import (
    EMPTY_TALLY,
    Regression,
    Tally,
    find_regression,
)
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="rollout")

# After an order is known nothing goes to the new version for so long: entries
# tell each other which sessions are under way, within two rounds of news.
ORDER_SYNC_S = 1.2
# While a version is tried, old workers that fail are no reason for more of it.
TRIAL_PHASES = (RolloutPhase.TRYING, RolloutPhase.EXTENDING)


@attrs.frozen
class VersionSplit:
    """Workers for one request.

    Attributes:
      preferred: Of the version that the request should go to.
      fallback: Of the other one, used if none of the first can be.
    """

    preferred: Sequence[RegisteredWorker]
    fallback: Sequence[RegisteredWorker] = ()


@attrs.define(eq=False, repr=False)
class Rollouts:
    """Orders, how far they went, and the evidence.

    Attributes:
      bound: What a bad version may get.
      session_s: Requests of a session follow each other within this time.
      clock: Monotonic.
      policy: Mechanisms that are on.
      sessions: Those under way, and those that stay with the old version.
      known_at: When each order became known here, in monotonic seconds.
      known_orders: The newest order of each service, and those before.
      records: How far each went, by service.
      answer_counts: Answers that this entry and others saw.
      stopped: Orders whose version this entry found, or was told, to be worse.
      in_service: Versions that served before an order named another.
      records_known: It is known how far earlier orders went.
      warms_up: Says whether a worker bears less than usual yet.
    """

    bound: ExposureBound
    session_s: float
    clock: Clock
    policy: Policy = USUAL
    sessions: HeldSessions = attrs.field(
        default=attrs.Factory(
            lambda self: HeldSessions(self.session_s, self.clock),
            takes_self=True,
        )
    )
    known_at: dict[int, float] = attrs.Factory(dict)
    known_orders: KnownOrders = attrs.Factory(KnownOrders)
    records: dict[str, RolloutRecord] = attrs.Factory(dict)
    answer_counts: AnswerCounts = attrs.Factory(AnswerCounts)
    stopped: set[int] = attrs.Factory(set)
    in_service: dict[str, str] = attrs.Factory(dict)
    records_known: bool = False
    warms_up: Callable[[RegisteredWorker], bool] = attrs.field(
        default=lambda _worker: False
    )

    @property
    def orders(self) -> dict[str, RolloutOrder]:
        """The newest order of each service."""
        return self.known_orders.newest

    def apply_order(self, order: RolloutOrder) -> None:
        """Takes an order in; an older one is done with."""
        starts = self.known_orders.take(order)
        if starts:
            self.start_order(order)
        record = self.records.get(order.service)
        if record is None:
            return
        if starts:
            self.adopt_record_id(record)
        newest = self.orders[order.service]
        if record.order == newest.id and record.seen < newest.revision.number:
            self.records[order.service] = attrs.evolve(
                record, seen=newest.revision.number
            )

    def apply_unconfirmed(self, orders: Iterable[RolloutOrder]) -> None:
        """Takes in orders that another entry knows and the store lost."""
        for order in self.known_orders.take_unconfirmed(orders):
            self.start_order(order)

    def start_order(self, order: RolloutOrder) -> None:
        """Begins with an order."""
        self.known_at[order.id] = self.clock.monotonic()
        share = self.share(RolloutPhase.TRYING)
        self.sessions.hold_active(order.id, order.service, share)
        log.info(
            "Roll-out ordered.",
            service=order.service,
            version=order.version,
            order=order.id,
            deadline_s=order.deadline_s,
        )

    def apply_record(self, record: RolloutRecord) -> None:
        """Takes in how far an order went; it never goes back."""
        before = self.records.get(record.service)
        if before is not None:
            if before.order != record.order and are_of_one_order(
                before, record
            ):
                record = further(before, record)
            elif not is_newer(record, before):
                return
            if record == before:
                return
        self.records[record.service] = record
        self.adopt_record_id(record)
        if record.phase is RolloutPhase.COMPLETED:
            self.in_service[record.service] = record.version
        log.info(
            "Roll-out went on.",
            service=record.service,
            version=record.version,
            order=record.order,
            phase=record.phase.value,
        )

    def adopt_record_id(self, record: RolloutRecord) -> None:
        """Lets an order bear the number under which its record stands.

        An entry that started after the store came back read its row under
        another version than the others.
        """
        order = self.orders.get(record.service)
        if order is None or order.id == record.order:
            return
        if not is_of(record, order):
            return
        before, id = order.id, record.order
        self.orders[order.service] = attrs.evolve(order, id=id)
        self.known_at[id] = self.known_at.get(before, self.clock.monotonic())
        if before in self.stopped:
            self.stopped.add(id)
        self.answer_counts.move_counts(before, id)
        share = self.share(record.phase)
        self.sessions.hold_active(id, order.service, share)
        log.info(
            "Order goes by its record.",
            service=order.service,
            version=order.version,
            order=id,
            before=before,
        )

    def known_for_s(self, order: RolloutOrder) -> float:
        """Returns the seconds since an order became known here."""
        now = self.clock.monotonic()
        return now - self.known_at.get(order.id, now)

    def phase(self, order: RolloutOrder) -> RolloutPhase:
        """Returns how far an order went."""
        record = self.records.get(order.service)
        if record is None or record.order != order.id:
            return RolloutPhase.TRYING
        return record.phase

    def stop(self, order: int, reason: str) -> None:
        """Sends an order's version nothing new from here."""
        if order not in self.stopped:
            self.stopped.add(order)
            log.warning("Version stopped.", order=order, reason=reason)

    def split(
        self,
        request: RelayRequest,
        service: str,
        workers: Sequence[RegisteredWorker],
    ) -> VersionSplit:
        """Returns the workers of the version that a request goes to."""
        order = self.orders.get(service)
        if order is None:
            return self.split_without_order(service, workers)
        new = [each for each in workers if each.version == order.version]
        old = [each for each in workers if each.version != order.version]
        phase = self.phase(order)
        if phase is RolloutPhase.ROLLED_BACK:
            return VersionSplit(old)
        if phase is RolloutPhase.COMPLETED:
            return VersionSplit(new, old)
        if order.id in self.stopped:
            return VersionSplit(old)
        if self.routes_to_new_version(request, order, phase, new):
            return VersionSplit(new, old)
        if phase in TRIAL_PHASES and old:
            return VersionSplit(old)
        return VersionSplit(old, new)

    def routes_to_new_version(
        self,
        request: RelayRequest,
        order: RolloutOrder,
        phase: RolloutPhase,
        new: Sequence[RegisteredWorker],
    ) -> bool:
        """Says whether a request is among those for the new version.

        It follows from its session alone, so that all entries answer alike
        and a growing share moves a session only once. A session that was
        under way when the order came stays where it is while the order is
        tried, until it has ended. While all new workers warm up few of its
        requests could go there, and it would go back and forth: none starts
        there before.
        """
        point = session_point(order.id, request.session or request.id)
        if point >= self.share(phase) * HASH_RANGE:
            return False
        if phase is not RolloutPhase.TRYING or not request.session:
            return True
        if not self.policy.hold_sessions:
            return True
        now = self.clock.monotonic()
        held = now - self.known_at.get(order.id, now) < ORDER_SYNC_S
        if held or all(map(self.warms_up, new)):
            self.sessions.hold(order.id, point, now)
            return False
        return not self.sessions.is_held(order.id, point)

    def share(self, phase: RolloutPhase) -> float:
        """Returns the share of sessions for the new version."""
        match phase:
            case RolloutPhase.TRYING:
                return self.bound.trying_share
            case RolloutPhase.EXTENDING:
                return self.bound.extending_share
            case RolloutPhase.WIDENING:
                return WIDENING_SHARE
            case RolloutPhase.ROLLED_BACK:
                return 0.0
            case _:
                return 1.0

    def split_without_order(
        self, service: str, workers: Sequence[RegisteredWorker]
    ) -> VersionSplit:
        """Keeps a version that nobody ordered out while there is another.

        Workers of a new version may register before their order is known.
        """
        stable = self.in_service.get(service)
        if stable is None and workers:
            stable = most_common(workers)
            self.in_service[service] = stable
        old = [each for each in workers if each.version == stable]
        if old:
            return VersionSplit(old)
        return VersionSplit(workers)

    def is_candidate(
        self, service: str, worker: RegisteredWorker
    ) -> bool | None:
        """Says whether a worker has the ordered version; None: no order."""
        order = self.orders.get(service)
        if order is None or self.phase(order).final:
            return None
        return worker.version == order.version

    def record_answer(
        self,
        worker: RegisteredWorker,
        route: str,
        bad: bool,
        relative_s: float | None,
    ) -> None:
        """Counts an answer.

        Args:
          worker: Whose answer it is.
          route: Name of the route.
          bad: A failure, or not a whole answer.
          relative_s: Time to the first byte against the work, or None.
        """
        candidate = self.is_candidate(worker.service, worker)
        if candidate is None:
            return
        order = self.orders[worker.service]
        key = TallyKey(order.id, route, candidate)
        timed = 0 if relative_s is None else 1
        added = Tally(1, int(bad), timed, relative_s or 0.0)
        self.answer_counts.add(key, added)
        if candidate and bad:
            self.evaluate(order)

    def evaluate(self, order: RolloutOrder) -> Regression | None:
        """Stops an order's version if the evidence is against it."""
        stable: dict[str, Tally] = {}
        candidate: dict[str, Tally] = {}
        for key, tally in self.answer_counts.tallies(order.id):
            side = candidate if key.candidate else stable
            side[key.route] = side.get(key.route, EMPTY_TALLY) + tally
        regression = find_regression(stable, candidate)
        if regression is not None and order.id not in self.stopped:
            log.warning(
                "New version is worse.",
                service=order.service,
                version=order.version,
                route=regression.route,
                reason=regression.reason,
                old_bad=regression.stable.bad,
                old_total=regression.stable.total,
                new_bad=regression.candidate.bad,
                new_total=regression.candidate.total,
            )
            self.stop(order.id, regression.reason)
        return regression

    def evidence(self, origin: str) -> Evidence | None:
        """Returns what this entry saw; None while nothing is rolled out."""
        orders = {
            order.id
            for order in self.orders.values()
            if not self.phase(order).final
        }
        return self.answer_counts.evidence(origin, orders) if orders else None

    def record_running(self, worker: RegisteredWorker, change: int) -> None:
        """Counts requests that run at an old version."""
        if self.is_candidate(worker.service, worker) is False:
            self.answer_counts.record_running(
                self.orders[worker.service].id, change
            )


def is_newer(record: RolloutRecord, before: RolloutRecord) -> bool:
    """Says whether a record is newer than another of the same service."""
    if record.order != before.order:
        return record.order > before.order
    if before.phase.final:
        return False
    phases = list(RolloutPhase)
    return phases.index(record.phase) > phases.index(before.phase)


def most_common(workers: Sequence[RegisteredWorker]) -> str:
    """Returns the version that most workers have."""
    counts: dict[str, int] = {}
    for worker in workers:
        counts[worker.version] = counts.get(worker.version, 0) + 1
    return max(sorted(counts), key=lambda version: counts[version])
