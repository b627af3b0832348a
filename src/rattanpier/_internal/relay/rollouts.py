"""Chooses the version of a service for each request during a roll-out.

Evidence that the new version is worse stops it in each entry at once, even
while the store is unavailable. The share of the new version grows only by a
record in the store.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from rattanpier._internal.models.policy import DEFAULT_POLICY, Policy
from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.durations import median
from rattanpier._internal.relay.evidence import (
    NO_REQUESTS,
    AnswerCounts,
    Evidence,
    RunningRequests,
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
    belongs_to,
    merge_records,
    same_order,
)
from rattanpier._internal.relay.observations import Observation
from rattanpier._internal.relay.periods import PeriodLog
from rattanpier._internal.relay.verdict import (
    EMPTY_TALLY,
    Judgement,
    Tally,
    Verdict,
    describe_durations,
    judge,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import stable_hash
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="rollout")

# No session is moved to the new version for this long after an order is known:
# entries exchange their active sessions within two rounds of updates.
ORDER_SYNC_S = 1.2
# In these phases, requests for the old version don't fall back to the new one:
# failing old workers must not increase the exposure of an unproven version.
TRIAL_PHASES = (RolloutPhase.TRYING, RolloutPhase.EXTENDING)


@attrs.frozen(eq=False, repr=False)
class VersionSplit(Record):
    """Workers for one request, by version.

    Attributes:
      preferred: Workers of the version that the request should go to.
      fallback: Workers of the other version, used if no preferred worker can
        be.
    """

    preferred: Sequence[RegisteredWorker]
    fallback: Sequence[RegisteredWorker] = ()


@attrs.define(eq=False, repr=False)
class Rollouts:
    """Roll-out orders of all services, their progress and the evidence.

    Attributes:
      bound: Limit on the requests that a bad version may get.
      session_s: Seconds after its last request for which a session is active.
      clock: Monotonic clock.
      policy: Mechanisms that are enabled.
      sessions: Active sessions, and those held at the old version.
      known_at: When each order became known here, in monotonic seconds, by
        order id.
      known_orders: The newest order of each service, and earlier ones.
      records: Record of the newest known progress, by service.
      answer_counts: Requests that this entry and its peers counted.
      running: Upstream requests of this entry that have not ended.
      period_logs: The evidence by period, by order id.
      stopped: Ids of orders whose version this entry or a peer found worse.
      set_aside_versions: Versions of superseded orders that were not completed,
        by service.
      in_service: Version that served before an order named another, by
        service.
      records_known: Whether the progress of earlier orders is known.
      on_stopped: Called with the id of an order that this entry's own evidence
        stopped.
      is_warming_up: Returns whether a worker still warms up and takes less load
        than usual.
    """

    bound: ExposureBound
    session_s: float
    clock: Clock
    policy: Policy = DEFAULT_POLICY
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
    running: set[Observation] = attrs.Factory(set)
    period_logs: dict[int, PeriodLog] = attrs.Factory(dict)
    stopped: set[int] = attrs.Factory(set)
    set_aside_versions: dict[str, set[str]] = attrs.Factory(dict)
    in_service: dict[str, str] = attrs.Factory(dict)
    records_known: bool = False
    on_stopped: Callable[[int], None] = lambda _order: None
    is_warming_up: Callable[[RegisteredWorker], bool] = attrs.field(
        default=lambda _worker: False
    )

    @property
    def is_full(self) -> bool:
        """Whether an order awaits its last step."""
        return any(
            self.phase(order) is RolloutPhase.FULL
            for order in self.orders.values()
        )

    @property
    def orders(self) -> dict[str, RolloutOrder]:
        """The newest order of each service."""
        return self.known_orders.newest

    def apply_order(self, order: RolloutOrder) -> None:
        """Applies an order; an older order of the service is superseded."""
        before = self.orders.get(order.service)
        starts = self.known_orders.apply(order)
        if starts:
            if before is not None:
                self.set_aside(before)
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
        """Applies orders that a peer knows and the store lost."""
        before = dict(self.orders)
        for order in self.known_orders.apply_unconfirmed(orders):
            if order.service in before:
                self.set_aside(before[order.service])
            self.start_order(order)

    def set_aside(self, order: RolloutOrder) -> None:
        """Keeps the version of a superseded order from serving as old one.

        A version of which the roll-out was not completed was rolled back or is
        unknown; its workers stay registered for a while.
        """
        if self.phase(order) is not RolloutPhase.COMPLETED:
            found = self.set_aside_versions.setdefault(order.service, set())
            found.add(order.version)

    def unproven(self, service: str) -> set[str]:
        """Returns the versions of a service's earlier orders not completed.

        They get no requests.
        """
        found = set(self.set_aside_versions.get(service, ()))
        record, order = self.records.get(service), self.orders.get(service)
        if record is not None:
            found.update(record.unproven)
            if record.phase is not RolloutPhase.COMPLETED:
                found.add(record.version)
            else:
                found.discard(record.version)
        if order is not None:
            found.discard(order.version)
        return found

    def start_order(self, order: RolloutOrder) -> None:
        """Starts a roll-out and holds the sessions that it would move."""
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
        """Applies a record of an order's progress, which never goes back."""
        before = self.records.get(record.service)
        if before is not None:
            if before.order != record.order and same_order(before, record):
                record = merge_records(before, record)
            elif not is_newer(record, before):
                return
            if record == before:
                return
        known = self.unproven(record.service) - {record.version}
        self.set_aside_versions[record.service] = known
        self.records[record.service] = record
        self.adopt_record_id(record)
        if record.phase is RolloutPhase.COMPLETED:
            self.in_service[record.service] = record.version
        log.info(
            "Roll-out advanced.",
            service=record.service,
            version=record.version,
            order=record.order,
            phase=record.phase.value,
        )

    def adopt_record_id(self, record: RolloutRecord) -> None:
        """Gives an order the id under which its record is stored.

        An entry that started after the store was restored from a backup read
        the order's row at another revision than its peers, and so derived
        another id from it.
        """
        order = self.orders.get(record.service)
        if order is None or order.id == record.order:
            return
        if not belongs_to(record, order):
            return
        before, id = order.id, record.order
        self.orders[order.service] = attrs.evolve(order, id=id)
        self.known_at[id] = self.known_at.get(before, self.clock.monotonic())
        if before in self.stopped:
            self.stopped.add(id)
        self.answer_counts.move_counts(before, id)
        self.period_logs.pop(before, None)
        for observation in self.running:
            observation.move(before, id)
        share = self.share(record.phase)
        self.sessions.hold_active(id, order.service, share)
        log.info(
            "Order took the id of its record.",
            service=order.service,
            version=order.version,
            order=id,
            before=before,
        )

    def digest(self) -> int:
        """Returns a digest of the progress of orders, for comparison."""
        total = 0
        for record in self.records.values():
            progress = f"{record.service}/{record.order}/{record.phase.value}"
            total ^= stable_hash(f"record/{progress}")
        for order in self.orders.values():
            if order.id in self.stopped:
                total ^= stable_hash(f"stopped/{order.id}")
        return total

    def known_for_s(self, order: RolloutOrder) -> float:
        """Returns the seconds since an order became known here."""
        now = self.clock.monotonic()
        return now - self.known_at.get(order.id, now)

    def phase(self, order: RolloutOrder) -> RolloutPhase:
        """Returns the phase that an order has reached."""
        record = self.records.get(order.service)
        if record is None or record.order != order.id:
            return RolloutPhase.TRYING
        return record.phase

    def stop(self, order: int, reason: str) -> None:
        """Stops new requests of this entry to an order's version.

        Args:
          order: The order's id.
          reason: Why, for the log.
        """
        if order not in self.stopped:
            self.stopped.add(order)
            log.warning("Version stopped.", order=order, reason=reason)

    def split(
        self,
        request: RelayRequest,
        service: str,
        workers: Sequence[RegisteredWorker],
    ) -> VersionSplit:
        """Returns the workers for a request, by version.

        Args:
          request: The request.
          service: Name of its service.
          workers: Workers of the service, of all versions.
        """
        order = self.orders.get(service)
        if order is None:
            return self.split_without_order(service, workers)
        unproven = self.unproven(service)
        new = [each for each in workers if each.version == order.version]
        old = [
            each
            for each in workers
            if each.version != order.version and each.version not in unproven
        ]
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
        """Returns whether a request belongs to the share of the new version.

        The share is decided by a hash of the session alone, so that all entries
        decide alike and a growing share moves a session only once. During the
        trying phase, a session that was active when the order came stays at the
        old version until it has ended. No session starts at the new version
        while all its workers warm up: they could take only a few of its
        requests, and it would switch back and forth.
        """
        point = session_point(order.id, request.session or request.id)
        if point >= self.session_share(order, phase) * HASH_RANGE:
            return False
        if phase is not RolloutPhase.TRYING or not request.session:
            return True
        if not self.policy.hold_sessions:
            return True
        now = self.clock.monotonic()
        held = now - self.known_at.get(order.id, now) < ORDER_SYNC_S
        if held or all(map(self.is_warming_up, new)):
            self.sessions.hold(order.id, point, now)
            return False
        return not self.sessions.is_held(order.id, point)

    def share(self, phase: RolloutPhase) -> float:
        """Returns the least share of sessions in a phase, 0 to 1."""
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

    def session_share(self, order: RolloutOrder, phase: RolloutPhase) -> float:
        """Returns the share of sessions for an order's version, 0 to 1."""
        record = self.records.get(order.service)
        if phase is RolloutPhase.EXTENDING and record is not None:
            return max(self.share(phase), record.extending_share)
        return self.share(phase)

    def split_without_order(
        self, service: str, workers: Sequence[RegisteredWorker]
    ) -> VersionSplit:
        """Returns the workers for a request to a service without an order.

        A version that was not ordered gets no requests while the version in
        service has workers: workers of a new version may register before their
        order is known.
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
        """Returns whether a worker has the ordered version.

        None if the service has no order, or only a finished one, or if the
        worker has a version that must not serve.
        """
        order = self.orders.get(service)
        if order is None or self.phase(order).final:
            return None
        if worker.version == order.version:
            return True
        return None if worker.version in self.unproven(service) else False

    def observe(
        self,
        worker: RegisteredWorker,
        route: str,
        work_s: float,
        model: str = "",
    ) -> Observation:
        """Starts to observe an upstream request, which counts as sent.

        Args:
          worker: The worker that it is sent to.
          route: Name of the route.
          work_s: Estimated seconds of its work.
          model: Model that is asked, if the system chose it.
        """
        candidate = self.is_candidate(worker.service, worker)
        now = self.clock.monotonic()
        if candidate is None:
            return Observation(None, now, work_s)
        order = self.orders[worker.service]
        key = TallyKey(order.id, route, candidate, model)
        observation = Observation(key, now, work_s)
        self.running.add(observation)
        self.answer_counts.add(key, Tally(sent=1))
        return observation

    def record_head(self, observation: Observation) -> None:
        """Records that the head of the answer arrived."""
        added = observation.record_head(self.clock.monotonic())
        self.add_counts(observation, added)

    def record_event(self, observation: Observation) -> None:
        """Records that an event of a streamed answer arrived."""
        if observation.key is not None:
            added = observation.record_event(self.clock.monotonic())
            self.add_counts(observation, added)

    def end(
        self,
        observation: Observation,
        complete: bool = False,
        abandoned: bool = False,
    ) -> None:
        """Ends the observation of an upstream request; later calls do nothing.

        Args:
          observation: The request.
          complete: Whether its answer was received to its end.
          abandoned: Whether nobody waits for its answer any more.
        """
        if observation not in self.running:
            return
        self.running.remove(observation)
        added = observation.unfinished(self.clock.monotonic(), complete)
        self.add_counts(
            observation, attrs.evolve(added, abandoned=int(abandoned))
        )

    def skip_pause(self, seconds: float) -> None:
        """Leaves out a pause of this process in all running observations."""
        for observation in self.running:
            observation.skip_pause(seconds)

    def abandon_running(self, service: str) -> None:
        """Ends the observations of a service that can't be reached.

        How long their answers take from here on says nothing of a version.
        """
        order = self.orders.get(service)
        if order is None:
            return
        for observation in list(self.running):
            if observation.key is not None and observation.key.order == (
                order.id
            ):
                self.running.remove(observation)
                self.add_counts(observation, Tally(abandoned=1))

    def add_counts(self, observation: Observation, added: Tally) -> None:
        """Adds counts of an observed request."""
        if observation.key is not None and added != EMPTY_TALLY:
            self.answer_counts.add(observation.key, added)

    def record_answer(
        self,
        worker: RegisteredWorker,
        route: str,
        bad: bool,
    ) -> None:
        """Counts an answer as evidence for or against the new version.

        Args:
          worker: The worker that answered.
          route: Name of the route.
          bad: Whether the answer is a failure or incomplete.
        """
        candidate = self.is_candidate(worker.service, worker)
        if candidate is None:
            return
        order = self.orders[worker.service]
        key = TallyKey(order.id, route, candidate)
        self.answer_counts.add(key, Tally(1, int(bad)))
        if candidate and bad:
            self.evaluate(order)

    def evaluate(self, order: RolloutOrder) -> Judgement:
        """Judges an order's version, and stops it if it is worse."""
        period_log = self.period_logs.setdefault(order.id, PeriodLog())
        periods = period_log.periods(
            dict(self.answer_counts.tallies(order.id)),
            self.all_running(order.id),
            self.clock.monotonic(),
        )
        judgement = judge(periods, self.phase(order) not in TRIAL_PHASES)
        if judgement.verdict is not Verdict.WORSE:
            return judgement
        if order.id not in self.stopped:
            log.warning(
                "New version is worse.",
                service=order.service,
                version=order.version,
                route=judgement.route,
                reason=judgement.reason,
                old_bad=judgement.stable.bad,
                old_total=judgement.stable.total,
                new_bad=judgement.candidate.bad,
                new_total=judgement.candidate.total,
                durations=describe_durations(judgement),
                new=self.summary(order.id, candidate=True),
                old=self.summary(order.id, candidate=False),
            )
            self.stop(order.id, judgement.reason)
            self.on_stopped(order.id)
        return judgement

    def evidence(self, origin: str) -> Evidence | None:
        """Returns the evidence of this entry, or None without a roll-out.

        Args:
          origin: Incarnation of this entry.
        """
        orders = {
            order.id
            for order in self.orders.values()
            if not self.phase(order).final
        }
        if not orders:
            return None
        running = [
            (key, requests)
            for key, requests in self.own_running().items()
            if key.order in orders
        ]
        return Evidence(origin, self.answer_counts.own(orders), running)

    def own_running(self) -> dict[TallyKey, RunningRequests]:
        """Returns the upstream requests of this entry that have not ended."""
        now = self.clock.monotonic()
        found: dict[TallyKey, RunningRequests] = {}
        for observation in self.running:
            assert observation.key is not None
            added = RunningRequests(
                1, now - observation.started_at, observation.unfinished(now)
            )
            before = found.get(observation.key, NO_REQUESTS)
            found[observation.key] = before + added
        return found

    def all_running(self, order: int) -> dict[TallyKey, RunningRequests]:
        """Returns the requests of all entries that have not ended.

        Args:
          order: The order's id.
        """
        found = {
            key: requests
            for key, requests in self.own_running().items()
            if key.order == order
        }
        now = self.clock.monotonic()
        for key, requests in self.answer_counts.running_of_peers(order, now):
            found[key] = found.get(key, NO_REQUESTS) + requests
        return found

    def summary(self, order: int, candidate: bool) -> dict[str, float | None]:
        """Returns the evidence on a version for a log line.

        Args:
          order: The order's id.
          candidate: Whether it is the new version.
        """
        tallies = [
            tally
            for key, tally in self.answer_counts.tallies(order)
            if key.candidate == candidate
        ]
        running = [
            requests
            for key, requests in self.all_running(order).items()
            if key.candidate == candidate
        ]
        total = sum(tallies, EMPTY_TALLY)
        in_progress = sum(running, NO_REQUESTS)
        return {
            "sent": total.sent,
            "answered": total.total,
            "bad": total.bad,
            "abandoned": total.abandoned,
            "running": in_progress.count,
            "oldest_s": round(in_progress.oldest_s, 2),
            "first_median": median(total.first),
            "pace_median_s": median(total.pace),
        }

    def running_old(self, order: int, live: Iterable[str]) -> int:
        """Returns the requests in progress at the old version.

        Args:
          order: The order's id.
          live: Incarnations of the entries that are not down.
        """
        own = sum(
            requests.count
            for key, requests in self.own_running().items()
            if key.order == order and not key.candidate
        )
        return own + self.answer_counts.running_old_of_peers(order, live)


def is_newer(record: RolloutRecord, before: RolloutRecord) -> bool:
    """Returns whether a record is newer than another of the same service."""
    if record.order != before.order:
        return record.order > before.order
    if before.phase.final:
        return False
    phases = list(RolloutPhase)
    return phases.index(record.phase) > phases.index(before.phase)


def most_common(workers: Sequence[RegisteredWorker]) -> str:
    """Returns the version of most workers; of a tie, the first by name."""
    counts: dict[str, int] = {}
    for worker in workers:
        counts[worker.version] = counts.get(worker.version, 0) + 1
    return max(sorted(counts), key=lambda version: counts[version])
