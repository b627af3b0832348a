"""Simulation of authors, a store that is restored from backups, and entries.

Authors are the workers and operators that write to the store. Everything runs
in one loop, and tests advance the time. Messages between entries may be late,
reordered or lost.
"""

import asyncio
import copy
import json

import attrs

from rattanpier._internal.exceptions import HistoryGoneError
from rattanpier._internal.models.feed import FeedRow, Page
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.placement.drained_domains import DrainedDomains
from rattanpier._internal.platform import drained_domains as domain_rows
from rattanpier._internal.relay.deregistrations import RESTORE_MARGIN_S
from rattanpier._internal.relay.directory import (
    DEFAULT_REGISTRATION_TTL_S,
    REREGISTRATION_TIMEOUT_S,
    WorkerDirectory,
)
from rattanpier._internal.relay.history import StoreHistory
from rattanpier._internal.relay.store import StoreClock, StoreHealth
from rattanpier._internal.relay.watch import TableFollower
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import SkippingClock

WORKERS, DOMAINS = "servers", "op"
# Time after a restore within which authors write lost rows again.
REWRITE_TIMEOUT_S = 1.5
SETTLED_S = 2 * (DEFAULT_REGISTRATION_TTL_S + RESTORE_MARGIN_S)


@attrs.define
class RestorableStore:
    """Tables whose versions are assigned again after a restore."""

    rows: dict = attrs.Factory(dict)
    version: int = 0
    era: int = 1
    backup: tuple = ({}, 0)

    def write(self, table, key, value=None):
        self.version += 1
        self.rows[table, key] = (self.version, value)

    def back_up(self):
        self.backup = copy.deepcopy(self.rows), self.version

    def restore(self):
        rows, self.version = self.backup
        self.rows = copy.deepcopy(rows)
        self.era += 1

    def page(self, table, since, whole):
        rows = [
            FeedRow(
                key, b"" if deleted else json.dumps(value).encode(), at, deleted
            )
            for (name, key), (version, value) in self.rows.items()
            if name == table
            for at, deleted in [(Revision(self.era, version), value is None)]
            if version > since and not (whole and deleted)
        ]
        rows.sort(key=lambda row: row.revision)
        return Page(rows, Revision(self.era, self.version), 0.0, whole)


@attrs.define(eq=False)
class Entry:
    """The part of an entry that follows the store."""

    store: RestorableStore
    clock: SkippingClock
    watches: bool
    publish: object
    history: StoreHistory = None
    directory: WorkerDirectory = None
    domains: DrainedDomains = None
    followers: dict = attrs.Factory(dict)

    def __attrs_post_init__(self):
        self.history = StoreHistory(self.clock, Metrics())
        self.directory = WorkerDirectory(self.clock)
        self.domains = DrainedDomains(clock=self.clock)
        for table, take in (
            (WORKERS, self.apply_workers),
            (DOMAINS, self.apply_domains),
        ):
            health = StoreHealth(self.clock)
            health.record_answer()
            self.followers[table] = TableFollower(
                store=self,
                clock=self.clock,
                health=health,
                store_clock=StoreClock(self.clock),
                table=table,
                on_page=take,
                rank=lambda: 0 if self.watches else None,
                publish=self.publish,
                history=self.history,
            )

    async def scan(self, table):
        self.history.record_era(self.store.era, "store")
        return self.store.page(table, -1, whole=True)

    async def changes(self, table, since, _wait_s):
        self.history.record_era(self.store.era, "store")
        # Lets the follower abort a feed whose answer shows a new era.
        await asyncio.sleep(0)
        if since.version > self.store.version:
            raise HistoryGoneError("gone")
        return self.store.page(table, since.version, whole=False)

    def apply_workers(self, page, after_outage):
        workers = [
            make_worker(row.key, row.revision, **json.loads(row.value))
            for row in page.rows
            if not row.deleted
        ]
        if page.whole:
            self.directory.replace(workers, after_outage, page.revision)
            return
        for worker in workers:
            self.directory.put(worker)
        for row in page.rows:
            if row.deleted:
                self.directory.remove(row.key, after_outage, row.revision)

    def apply_domains(self, page, _after_outage):
        orders = [domain_rows.decode_order(row) for row in page.rows]
        if page.whole:
            self.domains.replace(orders, page.revision)
            return
        for order in orders:
            self.domains.apply_order(order, "store")

    def tick(self):
        self.directory.drop_missing()
        self.domains.expire_grace_periods()

    def ready_ids(self):
        return {worker.id for worker in self.directory.accepting_workers("s")}


def make_worker(key, revision, sequence, draining):
    return RegisteredWorker(
        key,
        "s",
        "h",
        1,
        "d",
        draining=draining,
        revision=revision,
        sequence=sequence,
    )


@attrs.define(eq=False)
class Fleet:
    """Store, entries and messages, and the state that authors intend."""

    store: RestorableStore = attrs.Factory(RestorableStore)
    clock: SkippingClock = attrs.Factory(SkippingClock)
    entries: list = attrs.Factory(list)
    messages: list = attrs.Factory(list)
    intended: dict = attrs.Factory(dict)
    written_at: dict = attrs.Factory(dict)
    ordered_at: dict = attrs.Factory(dict)
    restored_at: float = float("inf")
    started: int = 0
    # By entry: workers that it knew to be leaving or removed, those that were
    # ready at the last check, and domains that it knew to be (un)drained, each
    # time after it received the author's latest change.
    known_leaving: dict = attrs.Factory(dict)
    previously_ready: dict = attrs.Factory(dict)
    known_drained: dict = attrs.Factory(dict)
    known_undrained: dict = attrs.Factory(dict)

    def __attrs_post_init__(self):
        for number in range(3):
            entry = Entry(
                self.store, self.clock, number == 0, self.publish_update
            )
            self.entries.append(entry)
            for known in (
                self.known_leaving,
                self.previously_ready,
                self.known_drained,
                self.known_undrained,
            ):
                known[entry] = set()

    def publish_update(self, update):
        self.messages += [(entry, update) for entry in self.entries[1:]]

    # Actions of authors.

    def write_intended(self, table, key, value):
        self.intended[table, key] = value
        self.write(table, key, value)

    def write(self, table, key, value):
        self.store.write(table, key, value)
        at = Revision(self.store.era, self.store.version)
        self.written_at[table, key] = at

    def start_worker(self, _number):
        self.started += 1
        value = {"sequence": 1, "draining": False}
        self.write_intended(WORKERS, f"w{self.started}", value)

    def registered_workers(self):
        return [
            (key, value)
            for (table, key), value in self.intended.items()
            if table == WORKERS and value is not None
        ]

    def renew_worker(self, number, **more):
        workers = self.registered_workers()
        if workers:
            key, value = workers[number % len(workers)]
            sequence = value["sequence"] + 1
            changed = {**value, **more, "sequence": sequence}
            self.write_intended(WORKERS, key, changed)

    def drain_worker(self, number):
        self.renew_worker(number, draining=True)

    def remove_worker(self, number):
        workers = self.registered_workers()
        if workers:
            key, _ = workers[number % len(workers)]
            self.write_intended(WORKERS, key, None)

    def order_domain(self, number):
        key = f"{domain_rows.ORDER_PREFIX}{'ab'[number % 2]}"
        is_drained = self.intended.get((DOMAINS, key)) is not None
        self.write_intended(DOMAINS, key, None if is_drained else {})
        if not is_drained:
            self.ordered_at[key[-1]] = self.written_at[DOMAINS, key].version
        for entry in self.entries:
            self.known_drained[entry].discard(key[-1])
            self.known_undrained[entry].discard(key[-1])

    def write_again(self, number=0):
        lost = [
            (where, value)
            for where, value in self.intended.items()
            if self.store.rows.get(where, (0, None))
            != (self.written_at[where].version, value)
        ]
        if lost:
            (table, key), value = lost[number % len(lost)]
            self.write(table, key, value)
        return len(lost) > 1

    # Actions on the store, the messages and the entries.

    def keep_copy(self, _number):
        self.store.back_up()

    def come_back(self, _number):
        self.store.restore()
        self.restored_at = self.clock.now

    def lose_message(self, number):
        if self.messages:
            del self.messages[number % len(self.messages)]

    def deliver_message(self, number):
        if self.messages:
            entry, update = self.messages.pop(number % len(self.messages))
            entry.followers[update.table].apply_update(update)

    async def ask_store(self, number):
        entry = self.entries[number % 3]
        table = (WORKERS, DOMAINS)[number // 3 % 2]
        await entry.followers[table].step()

    async def catch_up(self, number):
        """Lets most entries read the store, each for itself."""
        for entry in self.entries:
            if entry is self.entries[number % 5 % 4 - 1]:
                continue
            for follower in entry.followers.values():
                await follower.step()
                await follower.step()

    def wait(self, number):
        self.clock.now += 0.1 * (number % 5)

    async def act(self, name, number):
        done = getattr(self, name)(number)
        if done is not None and asyncio.iscoroutine(done):
            await done
        if self.clock.now - self.restored_at > REWRITE_TIMEOUT_S:
            while self.write_again():
                pass
        for entry in self.entries:
            entry.tick()

    # Invariants.

    def check(self):
        for entry in self.entries:
            self.check_workers(entry)
            self.check_domains(entry)

    def check_workers(self, entry):
        ready = entry.ready_ids()
        lost = self.previously_ready[entry] & self.ready_workers() - ready
        waited = self.clock.now - entry.directory.new_era_read_at
        assert not lost or waited >= REREGISTRATION_TIMEOUT_S, (
            f"{lost} are gone and live"
        )
        self.previously_ready[entry] = ready
        back = ready & self.known_leaving[entry]
        assert not back, f"{back} get requests again"
        known = entry.directory.workers
        for (table, key), value in self.intended.items():
            if table != WORKERS:
                continue
            if key in known and known[key].draining:
                self.known_leaving[entry].add(key)
            if value is None and self.knows_removal(entry, key):
                self.known_leaving[entry].add(key)

    def knows_removal(self, entry, key):
        """Whether an entry received a worker's removal and removed it."""
        departure = entry.directory.deregistrations.deregistered.get(key)
        written = self.written_at[WORKERS, key]
        return (
            departure is not None
            and key not in entry.directory.workers
            and departure.revision.era == written.era
            and departure.revision >= written
        )

    def check_domains(self, entry):
        for domain in "ab":
            key = f"{domain_rows.ORDER_PREFIX}{domain}"
            ordered = self.intended.get((DOMAINS, key)) is not None
            is_drained = domain in entry.domains.drained
            known = self.knows_order(entry, domain)
            if ordered and is_drained and known:
                self.known_drained[entry].add(domain)
            if not ordered and known and self.knows_end(entry, domain):
                self.known_undrained[entry].add(domain)
            assert is_drained or domain not in self.known_drained[entry]
            if is_drained and domain in self.known_undrained[entry]:
                # Only a row at another version may be a new order.
                version, _ = self.store.rows[DOMAINS, key]
                assert version != self.ordered_at[domain]

    def knows_end(self, entry, domain):
        """Whether an entry knows at which version the ended order was."""
        order = entry.domains.orders[domain]
        if order.drained:
            return False
        return order.ended.version == self.ordered_at.get(domain)

    def knows_order(self, entry, domain):
        """Whether an entry received the latest order of a domain."""
        order = entry.domains.orders.get(domain)
        written = self.written_at.get(
            (DOMAINS, f"{domain_rows.ORDER_PREFIX}{domain}")
        )
        return (
            order is not None
            and order.revision.era == written.era
            and order.revision >= written
        )

    def ready_workers(self):
        """Ids of the workers that last registered as ready."""
        workers = self.registered_workers()
        return {key for key, value in workers if not value["draining"]}

    async def settle(self):
        """Lets authors write lost rows again, and entries read them."""
        while self.write_again():
            pass
        for _ in range(3):
            self.messages.clear()
            for number in range(6):
                await self.ask_store(number)
                await self.ask_store(number)
            self.clock.now += SETTLED_S
            for entry in self.entries:
                entry.tick()

    def check_end(self):
        ordered = {
            key[-1]
            for (table, key), value in self.intended.items()
            if table == DOMAINS and value is not None
        }
        for entry in self.entries:
            assert entry.ready_ids() == self.ready_workers()
            assert entry.domains.drained == ordered
