"""Entries learn from each other's ratings."""

import random

import numpy as np
import pytest

from rattanpier._internal.cascade import sharing as s
from rattanpier._internal.cascade.features import AnswerFacts
from rattanpier._internal.cascade.ratings import RatingUpdate
from rattanpier._internal.models.configuration import Version, VersionState
from tests.lib.builders import LARGE, SMALL
from tests.lib.cascades import (
    CHAT,
    LEGAL,
    CascadeWorld,
    SharedWorlds,
    share_at,
    small_fails_legal,
)

FACTS = AnswerFacts("auto task=chat", 7, False, 8)
REQUESTS = 1200
NO_BUDGET = 0


def news(good=True, version=SMALL, facts=FACTS):
    return RatingUpdate("desk", version, good, facts)


def taught(world):
    return world.learner.state("desk").ratings


def shared_weights(world):
    return world.learner.quality_model.shared[SMALL].mean


async def trained(names=("e1", "e2", "e3"), **faults):
    """Lets the first entry learn alone; the others have no budget."""
    worlds = SharedWorlds(names, small_fails_legal, **faults)
    for name in names[1:]:
        worlds[name].budget = NO_BUDGET
        # The numbers of the classes differ from entry to entry.
        worlds[name].begin(LEGAL)
    for _ in range(REQUESTS // 100):
        await worlds[names[0]].run(100)
        worlds.deliver()
    return worlds


async def test_each_entry_learns_from_the_ratings_of_one():
    worlds = await trained()
    own = taught(worlds["e1"])
    for name in ("e2", "e3"):
        assert taught(worlds[name]) == own > 0
        assert worlds[name].service.items == []
        ran = await worlds[name].run(400)
        assert share_at(ran[CHAT], [SMALL]) > 0.9
        assert share_at(ran[LEGAL], [LARGE]) > 0.9


async def test_an_entry_that_hears_nothing_stays_with_the_strong_version():
    worlds = await trained(loss=1.0)
    assert taught(worlds["e2"]) == 0
    ran = await worlds["e2"].run(400)
    assert share_at(ran[CHAT], [SMALL]) == 0


async def test_repeated_and_reordered_notices_teach_once():
    worlds = await trained(copies=3, reorder=True)
    own = taught(worlds["e1"])
    assert own > 0
    assert [taught(worlds[name]) for name in ("e2", "e3")] == [own, own]


async def test_lost_notices_cost_only_their_ratings():
    worlds = await trained(names=("e1", "e2"), loss=0.5)
    own = taught(worlds["e1"])
    assert 0 < taught(worlds["e2"]) < own
    ran = await worlds["e2"].run(400)
    assert share_at(ran[LEGAL], [LARGE]) > 0.9


def test_a_rating_means_the_same_whatever_number_the_class_has():
    worlds = SharedWorlds(("e1", "e2"), small_fails_legal)
    worlds["e2"].begin(LEGAL)  # Takes the number that chat has at e1.
    rated = worlds["e1"].learner.rated_answer("desk", SMALL, FACTS)
    worlds["e1"].learner.learn(rated, False)
    worlds.sharing["e1"].publish(news(good=False))
    worlds.deliver()
    numbers = [
        worlds[name].learner.class_numbers.number("desk", FACTS.class_name)
        for name in ("e1", "e2")
    ]
    assert numbers == [1, 2]
    at_origin, at_other = (
        worlds[name].learner.rated_answer("desk", SMALL, FACTS).features
        for name in ("e1", "e2")
    )
    assert shared_weights(worlds["e1"]) @ at_origin == pytest.approx(
        shared_weights(worlds["e2"]) @ at_other
    )


def test_facts_survive_the_notice():
    facts = AnswerFacts("auto task=chat", 7, True, None, 0, True)
    notice = s.make_notice("o1", 1, news(facts=facts))
    learner = CascadeWorld(small_fails_legal).learner
    rated = s.read_rated_answer(learner, notice.rated)
    assert rated.facts == facts
    expected = learner.rated_answer("desk", SMALL, facts).features
    assert np.array_equal(rated.features, expected)


async def test_anothers_rating_costs_no_budget_and_is_no_news():
    worlds = SharedWorlds(("e1", "e2"), small_fails_legal)
    followed = []
    worlds["e2"].loop.updates.subscribe(followed.append)
    worlds.sharing["e1"].publish(news())
    worlds.deliver()
    assert taught(worlds["e2"]) == 1
    assert followed == []
    assert not worlds["e2"].policy_sampler.budget("desk").acquired_at


def test_a_withdrawn_version_teaches_nothing_and_goes_no_further():
    worlds = SharedWorlds(("e1", "e2"), small_fails_legal)
    worlds["e2"].versions[SMALL] = Version("small", VersionState.WITHDRAWN)
    worlds.sharing["e1"].publish(news())
    worlds.deliver()
    assert taught(worlds["e2"]) == 0
    assert SMALL not in worlds["e2"].learner.quality_model.shared
    assert worlds.sharing["e2"].seen == {}
    assert worlds["e2"].metrics.counts["cascade.shared.withdrawn"] == 1


def test_a_flood_is_bounded():
    worlds = SharedWorlds(("e1", "e2"), small_fails_legal)
    sent = []
    sharing = worlds.sharing["e2"]
    sharing.send_notice = sent.append
    flood = [s.make_notice("o9", n, news()) for n in range(10 * int(s.BURST))]
    for notice in flood:
        sharing.receive(notice)
    assert len(sent) == taught(worlds["e2"]) == s.BURST
    worlds["e2"].clock.now += 1.0
    for notice in flood:
        sharing.receive(notice)
    assert len(sent) == s.BURST + s.RATE_PER_S


def test_memory_of_heard_ratings_is_bounded_and_notices_end():
    sharing = SharedWorlds(("e1",), small_fails_legal).sharing["e1"]
    for number in range(s.MAX_SEEN + 10):
        sharing.record_seen(("o9", number))
    assert len(sharing.seen) == s.MAX_SEEN
    sent = []
    sharing.send_notice = sent.append
    notice = s.make_notice("o9", 10**6, news())
    notice.rated.hops = s.MAX_HOPS
    sharing.receive(notice)
    assert sent == []


def test_every_entry_of_a_large_fleet_hears_it_once():
    names = [f"entry-{number}" for number in range(420)]
    worlds = SharedWorlds(names, small_fails_legal)
    worlds.sharing[random.Random(1).choice(names)].publish(news())
    worlds.deliver()
    assert sum(taught(worlds[name]) for name in names) == len(names) - 1
