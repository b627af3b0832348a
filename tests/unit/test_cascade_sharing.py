"""Exchange of ratings between entries.

Notices may be lost, duplicated or reordered without harm, and a flood of them
must not overload an entry.
"""

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
    CascadeHarness,
    SharedHarnesses,
    share_of_runs,
    small_fails_legal,
)

FACTS = AnswerFacts("auto task=chat", 7, False, 8)
REQUESTS = 1200
NO_BUDGET = 0


def make_update(good=True, version=SMALL, facts=FACTS):
    return RatingUpdate("desk", version, good, facts)


def learned_ratings(harness):
    return harness.learner.state("desk").ratings


def shared_weights(harness):
    return harness.learner.quality_model.shared[SMALL].mean


async def train_first_entry(names=("e1", "e2", "e3"), **faults):
    """Lets only the first entry request ratings; the others have no budget."""
    harnesses = SharedHarnesses(names, small_fails_legal, **faults)
    for name in names[1:]:
        harnesses[name].budget = NO_BUDGET
        # Makes the class numbers differ between the entries.
        harnesses[name].begin(LEGAL)
    for _ in range(REQUESTS // 100):
        await harnesses[names[0]].run(100)
        harnesses.deliver()
    return harnesses


async def test_each_entry_learns_from_the_ratings_of_one():
    harnesses = await train_first_entry()
    own_ratings = learned_ratings(harnesses["e1"])
    for name in ("e2", "e3"):
        assert learned_ratings(harnesses[name]) == own_ratings > 0
        assert harnesses[name].service.items == []
        ran = await harnesses[name].run(400)
        assert share_of_runs(ran[CHAT], [SMALL]) > 0.9
        assert share_of_runs(ran[LEGAL], [LARGE]) > 0.9


async def test_an_entry_without_notices_stays_with_the_strong_version():
    harnesses = await train_first_entry(loss=1.0)
    assert learned_ratings(harnesses["e2"]) == 0
    ran = await harnesses["e2"].run(400)
    assert share_of_runs(ran[CHAT], [SMALL]) == 0


async def test_duplicated_and_reordered_notices_count_once():
    harnesses = await train_first_entry(copies=3, reorder=True)
    own_ratings = learned_ratings(harnesses["e1"])
    assert own_ratings > 0
    assert [learned_ratings(harnesses[name]) for name in ("e2", "e3")] == [
        own_ratings,
        own_ratings,
    ]


async def test_lost_notices_cost_only_their_ratings():
    harnesses = await train_first_entry(names=("e1", "e2"), loss=0.5)
    own_ratings = learned_ratings(harnesses["e1"])
    assert 0 < learned_ratings(harnesses["e2"]) < own_ratings
    ran = await harnesses["e2"].run(400)
    assert share_of_runs(ran[LEGAL], [LARGE]) > 0.9


def test_a_rating_applies_to_its_class_despite_different_numbers():
    harnesses = SharedHarnesses(("e1", "e2"), small_fails_legal)
    harnesses["e2"].begin(LEGAL)  # Gets the class number that chat has on e1.
    rated = harnesses["e1"].learner.rated_answer("desk", SMALL, FACTS)
    harnesses["e1"].learner.learn(rated, False)
    harnesses.sharing["e1"].publish(make_update(good=False))
    harnesses.deliver()
    numbers = [
        harnesses[name].learner.class_numbers.number("desk", FACTS.class_name)
        for name in ("e1", "e2")
    ]
    assert numbers == [1, 2]
    at_origin, at_other = (
        harnesses[name].learner.rated_answer("desk", SMALL, FACTS).features
        for name in ("e1", "e2")
    )
    assert shared_weights(harnesses["e1"]) @ at_origin == pytest.approx(
        shared_weights(harnesses["e2"]) @ at_other
    )


def test_a_notice_preserves_the_answer_facts():
    facts = AnswerFacts("auto task=chat", 7, True, None, 0, True)
    notice = s.make_notice("o1", 1, make_update(facts=facts))
    learner = CascadeHarness(small_fails_legal).learner
    rated = s.read_rated_answer(learner, notice.rated)
    assert rated.facts == facts
    expected = learner.rated_answer("desk", SMALL, facts).features
    assert np.array_equal(rated.features, expected)


async def test_a_received_rating_uses_no_budget_and_emits_no_update():
    harnesses = SharedHarnesses(("e1", "e2"), small_fails_legal)
    followed = []
    harnesses["e2"].loop.updates.subscribe(followed.append)
    harnesses.sharing["e1"].publish(make_update())
    harnesses.deliver()
    assert learned_ratings(harnesses["e2"]) == 1
    assert followed == []
    assert not harnesses["e2"].sampler.budget("desk").acquired_at


def test_ratings_of_a_withdrawn_version_are_ignored_and_not_forwarded():
    harnesses = SharedHarnesses(("e1", "e2"), small_fails_legal)
    harnesses["e2"].versions[SMALL] = Version("small", VersionState.WITHDRAWN)
    harnesses.sharing["e1"].publish(make_update())
    harnesses.deliver()
    assert learned_ratings(harnesses["e2"]) == 0
    assert SMALL not in harnesses["e2"].learner.quality_model.shared
    assert harnesses.sharing["e2"].seen == {}
    assert harnesses["e2"].metrics.counts["cascade.shared.withdrawn"] == 1


def test_a_flood_of_ratings_is_rate_limited():
    harnesses = SharedHarnesses(("e1", "e2"), small_fails_legal)
    sent = []
    sharing = harnesses.sharing["e2"]
    sharing.send_notice = sent.append
    flood = [
        s.make_notice("o9", n, make_update()) for n in range(10 * int(s.BURST))
    ]
    for notice in flood:
        sharing.receive(notice)
    assert len(sent) == learned_ratings(harnesses["e2"]) == s.BURST
    harnesses["e2"].clock.now += 1.0
    for notice in flood:
        sharing.receive(notice)
    assert len(sent) == s.BURST + s.RATE_PER_S


def test_memory_of_seen_ratings_is_bounded_and_forwarding_ends():
    sharing = SharedHarnesses(("e1",), small_fails_legal).sharing["e1"]
    for number in range(s.MAX_SEEN + 10):
        sharing.record_seen(("o9", number))
    assert len(sharing.seen) == s.MAX_SEEN
    sent = []
    sharing.send_notice = sent.append
    notice = s.make_notice("o9", 10**6, make_update())
    notice.rated.hops = s.MAX_HOPS
    sharing.receive(notice)
    assert sent == []


def test_each_entry_of_a_large_fleet_learns_from_a_rating_once():
    names = [f"entry-{number}" for number in range(420)]
    harnesses = SharedHarnesses(names, small_fails_legal)
    harnesses.sharing[random.Random(1).choice(names)].publish(make_update())
    harnesses.deliver()
    assert (
        sum(learned_ratings(harnesses[name]) for name in names)
        == len(names) - 1
    )
