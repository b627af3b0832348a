"""The view that entries have of each other, and how changes propagate."""

import attrs
import pytest

from rattanpier._internal.models.member import Member, MemberState, Role
from rattanpier._internal.programs.relay import close
from rattanpier._internal.relay.fleet import (
    CUT_OFF_AFTER_S,
    FORGET_DOWN_AFTER_S,
    EntryState,
    Fleet,
)
from rattanpier._internal.standin.platform_store import (
    StoreFault,
    StoreListener,
)
from tests.lib.clock import ManualClock
from tests.lib.platform_site import manifest, platform_site, until


def make_entry_state(name, started=1.0, incarnation="i", **more):
    member = Member(name, incarnation, Role.ENTRY, "a", "r", name, "h", 1)
    return EntryState(member, started, **{"ready": True, **more})


@pytest.fixture
def fleet():
    return Fleet(make_entry_state("e1"), ManualClock())


def test_newest_state_wins_in_any_order(fleet):
    old = make_entry_state("e2", sequence=1)
    new = make_entry_state("e2", sequence=2, ready=False)
    assert fleet.apply_state(new)
    assert not fleet.apply_state(old)
    assert not fleet.peers["e2"].ready


def test_down_wins_over_same_sequence_but_not_a_later_one(fleet):
    fleet.apply_state(make_entry_state("e2", sequence=1))
    fleet.record_down("e2", "test")
    assert [member.name for member in fleet.entries()] == ["e1"]
    assert not fleet.apply_state(make_entry_state("e2", sequence=1))
    assert fleet.apply_state(make_entry_state("e2", sequence=2))
    assert len(fleet.entries()) == 2


def test_live_entry_refutes_report_of_being_down(fleet):
    assert fleet.apply_state(make_entry_state("e1", sequence=0, down=True))
    assert fleet.me.sequence == 1
    assert not fleet.me.down


def test_new_incarnation_wins_after_wall_clock_set_back(fleet):
    fleet.apply_state(make_entry_state("e1", started=9.0, incarnation="before"))
    assert fleet.me.started > 9.0


def test_leaving_entry_is_not_listed(fleet):
    state = make_entry_state("e2")
    member = attrs.evolve(state.member, state=MemberState.LEAVING)
    fleet.apply_state(attrs.evolve(state, member=member))
    assert [member.name for member in fleet.entries()] == ["e1"]


def test_each_entry_is_probed_by_exactly_two_peers():
    names = [f"e{number:02}" for number in range(40)]
    probes = dict.fromkeys(names, 0)
    for name in names:
        fleet = Fleet(make_entry_state(name), ManualClock())
        fleet.apply_states(
            make_entry_state(other) for other in names if other != name
        )
        probed = fleet.probe_targets()
        assert len(probed) == 2
        for state in probed:
            probes[state.member.name] += 1
    assert set(probes.values()) == {2}


def test_down_entry_is_probed_in_addition_to_two_live_ones(fleet):
    fleet.apply_states(make_entry_state(f"e{number}") for number in range(2, 6))
    fleet.record_down("e2", "test")
    names = [state.member.name for state in fleet.probe_targets()]
    assert names == ["e2", "e3", "e4"]


def test_first_entry_that_reaches_the_store_drives(fleet):
    fleet.apply_state(make_entry_state("e0", store=False))
    fleet.apply_state(make_entry_state("e2", store=True))
    assert fleet.driver() == "e2"
    fleet.update_own_state(store=True)
    assert fleet.drives()


def test_only_given_number_of_stand_ins_may_drive(fleet):
    fleet.update_own_state(store=True)
    fleet.apply_state(make_entry_state("e0", store=True))
    fleet.apply_state(make_entry_state("e2", store=True))
    assert not fleet.drives()
    assert fleet.drives(stand_ins=1)
    fleet.apply_state(make_entry_state("e00", store=True))
    assert not fleet.drives(stand_ins=1)
    assert fleet.drives(stand_ins=2)


@pytest.fixture
async def site():
    async with platform_site() as made:
        await made.add_worker("w1")
        yield made


def listed(entry):
    return sorted(member.name for member in entry.fleet.entries())


async def test_entries_discover_each_other_through_the_store(site):
    for number in range(4):
        await site.add_entry(f"entry-{number}")
    names = sorted(site.entries)
    for entry in site.entries.values():
        await until(lambda entry=entry: listed(entry) == names)


async def test_dead_entry_is_removed_from_all_lists(site):
    for number in range(4):
        await site.add_entry(f"entry-{number}")
    names = sorted(site.entries)
    for entry in site.entries.values():
        await until(lambda entry=entry: listed(entry) == names)
    await close(site.entries.pop("entry-2"))
    for entry in site.entries.values():
        await until(lambda entry=entry: "entry-2" not in listed(entry))


async def test_entry_started_during_store_outage_learns_from_seed(site):
    first = await site.add_entry("entry-1")
    site.store.set_fault(StoreFault.BUSY)
    second = await site.add_entry(
        "entry-2", seeds=[str(first.settings.peers)], ready=True
    )
    assert second.state.table.version == first.state.table.version
    assert (await site.ask(entry="entry-2")).status == 200


async def test_change_reaches_entry_that_the_store_refuses(site):
    door = StoreListener()
    first = await site.add_entry("entry-1")
    address = await site.add_door(door)
    second = await site.add_entry("entry-2", store=address)
    await until(lambda: len(listed(second)) == 2)
    door.closed = True
    site.store.wake_feeds()
    await until(lambda: not second.state.health.available)
    site.store.put("op", "config", manifest(version=9))
    site.register("w1", state="draining")
    for entry in (first, second):
        await until(lambda entry=entry: entry.state.table_version == 9)
        await until(
            lambda entry=entry: not entry.state.directory.accepts_requests("w1")
        )
    assert not second.state.health.available


async def test_cached_values_change_with_the_states(fleet):
    seen = []

    def look():
        names = [state.member.name for state in fleet.live()]
        seen.append((fleet.digest(), tuple(names), fleet.me.sequence))

    look()
    fleet.apply_state(make_entry_state("e2", sequence=1))
    look()
    fleet.record_down("e2", "test")
    look()
    fleet.update_own_state(store=True)
    look()
    fleet.apply_state(make_entry_state("e1", sequence=9, down=True))
    look()
    assert len({digest for digest, *_ in seen}) == len(seen)
    assert [names for _, names, _ in seen] == [
        ("e1",),
        ("e1", "e2"),
        ("e1",),
        ("e1",),
        ("e1",),
    ]
    await fleet.clock.advance(FORGET_DOWN_AFTER_S + 1)
    fleet.forget_down()
    assert fleet.digest() not in {digest for digest, *_ in seen}


def test_duty_moves_to_next_entry_when_holder_loses_store(fleet):
    fleet.update_own_state(store=True)
    for name in ("e2", "e3"):
        fleet.apply_state(make_entry_state(name, sequence=1, store=True))
    first, second = fleet.preferred("watch", 2)
    holders = {"e1", "e2", "e3"} - {first}
    state = fleet.peers.get(first)
    if state is None:
        fleet.update_own_state(store=False)
    else:
        fleet.apply_state(attrs.evolve(state, sequence=2, store=False))
    assert fleet.preferred("watch", 2)[0] == second
    assert set(fleet.preferred("watch", 2)) == holders


def test_duties_are_not_all_in_one_failure_domain(fleet):
    fleet.update_own_state(store=True)
    domains = {"e1": "a"}
    for number in range(2, 9):
        domains[f"e{number}"] = "a" if number < 8 else "b"
        state = make_entry_state(f"e{number}", sequence=1, store=True)
        member = attrs.evolve(state.member, domain=domains[f"e{number}"])
        fleet.apply_state(attrs.evolve(state, member=member))
    for duty in ("watch", "queues", "restore"):
        first = fleet.preferred(duty, 2)
        assert {domains[name] for name in first} == {"a", "b"}
        assert len(set(fleet.preferred(duty, 8))) == 8


def test_an_entry_that_leaves_hands_its_duties_over(fleet):
    fleet.update_own_state(store=True)
    for name in ("e2", "e3"):
        fleet.apply_state(make_entry_state(name, sequence=1, store=True))
    first = fleet.preferred("watch", 1)[0]
    state = fleet.me if first == "e1" else fleet.peers[first]
    member = attrs.evolve(state.member, state=MemberState.LEAVING)
    if first == "e1":
        fleet.update_own_state(member=member)
    else:
        fleet.apply_state(attrs.evolve(state, member=member, sequence=2))
    assert first not in fleet.preferred("watch", 2)


async def test_an_entry_that_is_cut_off_joins_again_with_most_of_the_others(
    fleet,
):
    names = ("e2", "e3", "e4", "e5")
    for name in names:
        fleet.apply_state(make_entry_state(name, sequence=1))
    fleet.record_joined()
    assert fleet.joined_at == 0.0
    for name in names[1:]:
        fleet.record_down(name, "test")
    await fleet.clock.advance(CUT_OFF_AFTER_S + 1)
    fleet.forget_down()
    fleet.record_joined()
    assert fleet.joined_at is None
    await fleet.clock.advance(FORGET_DOWN_AFTER_S)
    fleet.forget_down()
    fleet.record_joined()
    assert (fleet.size(), fleet.joined_at) == (2, None)
    fleet.apply_state(make_entry_state("e3", sequence=2))
    fleet.record_joined()
    assert fleet.joined_at == fleet.clock.now


async def test_an_entry_stays_joined_while_fewer_than_half_are_down(fleet):
    for name in ("e2", "e3", "e4", "e5"):
        fleet.apply_state(make_entry_state(name, sequence=1))
    fleet.record_joined()
    for name in ("e2", "e3"):
        fleet.record_down(name, "test")
    await fleet.clock.advance(CUT_OFF_AFTER_S + 1)
    fleet.forget_down()
    assert fleet.joined_at == 0.0


async def test_an_entry_that_did_not_run_for_long_joins_again(fleet):
    fleet.apply_state(make_entry_state("e2", sequence=1))
    fleet.record_joined()
    fleet.record_pause(CUT_OFF_AFTER_S)
    assert fleet.joined_at == 0.0
    await fleet.clock.advance(CUT_OFF_AFTER_S + 1)
    fleet.record_pause(CUT_OFF_AFTER_S + 1)
    assert fleet.joined_at is None
    fleet.record_joined()
    assert fleet.joined_at == fleet.clock.now
