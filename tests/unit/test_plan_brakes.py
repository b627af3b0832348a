"""Brakes apply at once, spread, and end only with a newer decision."""

import random

import attrs
from reactivex.subject import BehaviorSubject

from rattanpier._internal.models.configuration import (
    Rollout,
    RolloutState,
    Rule,
    Then,
    Version,
    VersionState,
)
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.routing.brakes import Brakes
from rattanpier._internal.routing.plan import make_plan
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import (
    LARGE,
    SMALL,
    build_configuration,
    build_request,
)

CANDIDATE = "small@2"


def build_rollout(**changes):
    configuration = build_configuration(revision=5)
    workspace = configuration.workspaces["desk"]
    fields = {
        "versions": {
            **configuration.versions,
            CANDIDATE: Version("small"),
        },
        "workspaces": {
            "desk": attrs.evolve(workspace, versions=[SMALL, CANDIDATE, LARGE])
        },
        "rollouts": {"r": Rollout(SMALL, CANDIDATE, share=1.0)},
        "rules": [Rule("all", Then(version=SMALL))],
    }
    return attrs.evolve(configuration, **{**fields, **changes})


def build_brakes(configuration):
    subject = BehaviorSubject(configuration)
    return subject, Brakes(
        subject, "me", dict, None, None, Metrics(), random.Random(1)
    )


def test_braked_candidate_leaves_sessions_with_the_stable_version():
    configuration = build_rollout()
    _, brakes = build_brakes(configuration)
    request = build_request()
    assert make_plan(configuration, request, brakes).steps == [CANDIDATE]
    brakes.apply(CANDIDATE, "errors", "control-1")
    assert make_plan(configuration, request, brakes) == Plan("all", [SMALL])


def test_withdrawn_candidate_leaves_sessions_with_the_stable_version():
    configuration = build_rollout()
    versions = {
        **configuration.versions,
        CANDIDATE: Version("small", VersionState.WITHDRAWN),
    }
    plan = make_plan(
        attrs.evolve(configuration, versions=versions), build_request()
    )
    assert plan == Plan("all", [SMALL])


def test_request_is_refused_if_every_version_is_braked():
    configuration = build_rollout(rollouts={})
    _, brakes = build_brakes(configuration)
    brakes.apply(SMALL, "errors", "control-1")
    plan = make_plan(configuration, build_request(), brakes)
    assert isinstance(plan, Refusal)
    assert plan.not_run


def test_unrelated_revision_keeps_a_brake():
    configuration = build_rollout()
    subject, brakes = build_brakes(configuration)
    brakes.apply(CANDIDATE, "errors", "control-1")
    subject.on_next(attrs.evolve(configuration, revision=6))
    assert list(brakes) == [CANDIDATE]


def test_decision_in_a_newer_revision_ends_a_brake():
    configuration = build_rollout()
    subject, brakes = build_brakes(configuration)
    brakes.apply(CANDIDATE, "errors", "control-1")
    halted = Rollout(SMALL, CANDIDATE, 1.0, RolloutState.HALTED)
    subject.on_next(
        attrs.evolve(configuration, revision=6, rollouts={"r": halted})
    )
    assert list(brakes) == []


def test_late_notice_of_a_superseded_brake_is_ignored():
    configuration = build_rollout()
    _, brakes = build_brakes(configuration)
    record = brakes.apply(CANDIDATE, "errors", "control-1")
    halted = Rollout(SMALL, CANDIDATE, 1.0, RolloutState.HALTED)
    _, other = build_brakes(
        attrs.evolve(configuration, revision=6, rollouts={"r": halted})
    )
    other.apply_record(record)
    assert list(other) == []


def test_brake_from_a_newer_revision_applies_at_a_stale_node():
    configuration = build_rollout()
    _, brakes = build_brakes(configuration)
    record = brakes.apply(CANDIDATE, "errors", "control-1")
    _, stale = build_brakes(attrs.evolve(configuration, revision=4))
    stale.apply_record(record)
    assert list(stale) == [CANDIDATE]
