"""Filtering of workers to those that may get a request."""

import functools

import pytest

from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.models.rollout_order import RolloutOrder, RolloutPhase
from rattanpier._internal.models.route_table import Workspace
from rattanpier._internal.placement.eligibility import (
    Condition,
    filter_eligible,
    in_regions,
    separate_suspects,
)
from rattanpier._internal.relay.exposure import ExposureBound
from rattanpier._internal.relay.request_progress import (
    RequestProgress,
    final_answer,
)
from rattanpier._internal.relay.rollouts import ORDER_SYNC_S, Rollouts
from tests.lib.clock import ManualClock
from tests.lib.platform_site import (
    HOST,
    manifest,
    manifest_with_route,
    platform_site,
    until,
)
from tests.lib.relay_parts import make_request, make_route, make_worker

REGIONS = {"a": "north", "b": "south"}
WORKERS = [
    make_worker("w1", domain="a"),
    make_worker("w2", domain="b"),
    make_worker("w3", domain="unknown"),
]


def make_progress(route=(), workspace=None):
    request = make_request(
        route=make_route(regions=frozenset(route)),
        workspace=None
        if workspace is None
        else Workspace("acme", regions=frozenset(workspace)),
    )
    return RequestProgress(request, 0.0, "s")


def ids(workers):
    return [worker.id for worker in workers]


@pytest.mark.parametrize(
    ("route", "workspace", "allowed"),
    [
        ((), None, ["w1", "w2", "w3"]),
        (["north"], None, ["w1"]),
        ((), ["south"], ["w2"]),
        (["north", "south"], ["south"], ["w2"]),
        (["north"], ["south"], []),
        (["nowhere"], None, []),
    ],
)
def test_regions_of_route_and_workspace_both_apply(route, workspace, allowed):
    progress = make_progress(route, workspace)
    assert ids(in_regions(REGIONS, progress, WORKERS)) == allowed


def test_each_condition_counts_the_workers_it_excluded():
    conditions = [
        Condition("first", lambda _course, workers: workers[1:]),
        Condition("second", lambda _course, workers: workers),
        Condition("third", lambda _course, workers: workers[:0]),
    ]
    found = filter_eligible(conditions, make_progress(), WORKERS)
    assert found.workers == []
    assert found.excluded == {"first": 1, "third": 2}


def test_suspect_requests_are_spread_over_workers():
    counts = {"w1": 1, "w2": 0, "w3": 0}
    separate = functools.partial(
        separate_suspects, lambda _content: True, counts.get
    )
    assert ids(separate(make_progress(), WORKERS)) == ["w2", "w3"]
    separate = functools.partial(
        separate_suspects, lambda _content: False, counts.get
    )
    assert ids(separate(make_progress(), WORKERS)) == ["w1", "w2", "w3"]


def test_refusal_names_the_conditions_that_excluded_workers():
    progress = make_progress()
    progress.excluded = {"drained_domain": 2, "warming_up": 1}
    progress.available_in_s = 0.2
    refusal = final_answer(progress, 1.0).refusal
    assert refusal.not_run
    assert refusal.retry_after_s == 0.2
    assert "drained_domain 2, warming_up 1" in refusal.message


# The version is chosen before conditions are applied.

ORDER = RolloutOrder(7, "s", "v2", 24.0)


async def test_no_session_starts_at_a_version_that_is_warming_up():
    clock = ManualClock()
    rollouts = Rollouts(ExposureBound(0.15, 30.0), Bounds().session_s, clock)
    cold = True
    rollouts.is_warming_up = lambda worker: cold and worker.version == "v2"
    rollouts.apply_order(ORDER)
    await clock.advance(ORDER_SYNC_S + 0.1)
    workers = [make_worker("old"), make_worker("new", version="v2")]

    def new_ones(names):
        splits = [
            rollouts.split(make_request(session=name), "s", workers)
            for name in names
        ]
        return [split for split in splits if split.preferred[0].id == "new"]

    names = [f"session-{number}" for number in range(400)]
    assert rollouts.phase(ORDER) is RolloutPhase.TRYING
    assert new_ones(names) == []
    cold = False
    # Sessions that started at the old version stay there.
    assert new_ones(names) == []
    assert new_ones([f"later-{number}" for number in range(400)])


# Real entries.


async def test_route_is_served_only_in_its_regions():
    document = manifest_with_route("safe", allowedRegions=["region-b"])
    async with platform_site(document) as site:
        for name, domain in (("w1", "zone-a"), ("w2", "zone-b")):
            await site.add_worker(name)
            site.register(name, zone=domain)
        await site.add_entry(zones={"zone-a": "region-a", "zone-b": "region-b"})
        for _ in range(6):
            assert (await site.ask()).status == 200
        assert not site.workers["w1"].runs
        for _ in range(6):
            assert (await site.ask("/unsafe/x")).status == 200
        assert site.workers["w1"].runs


@pytest.mark.parametrize(
    ("regions", "region", "names"),
    [
        ([], "region-a", {"entry-1", "entry-2"}),
        (["region-b"], "region-a", {"entry-1", "entry-2"}),
        (["region-b"], "region-b", {"entry-2"}),
        (["region-a"], "", {"entry-1"}),
        (["elsewhere"], "nowhere", {"entry-1", "entry-2"}),
    ],
)
async def test_directory_lists_entries_in_allowed_regions(
    regions, region, names
):
    document = manifest()
    for each in document["routes"]:
        each["allowedRegions"] = regions
    async with platform_site(document) as site:
        for number, home in enumerate(("region-a", "region-b"), start=1):
            await site.add_entry(f"entry-{number}", region=home)
        asked = site.entries["entry-1"]
        await until(lambda: len(asked.fleet.entries()) == 2)
        url = f"http://{asked.settings.directory}/rattanpier/resolve"
        query = {"name": HOST, "region": region, "zone": "zone-a"}
        async with site.session.get(url, params=query) as response:
            addresses = (await response.json())["addresses"]
        assert set(addresses) == {
            str(site.entries[name].settings.callers) for name in names
        }


async def test_workspace_is_served_only_in_its_regions():
    document = manifest()
    document["tenants"][0]["allowedRegions"] = ["region-a"]
    async with platform_site(document) as site:
        await site.add_worker("w2")
        site.register("w2", zone="zone-b")
        await site.add_entry(zones={"zone-a": "region-a", "zone-b": "region-b"})
        answer = await site.ask()
        assert answer.status == 503
        assert site.workers["w2"].runs == []
