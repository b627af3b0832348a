"""Replays a recorded trace through the decision code."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from rattanpier._internal.claims.book import ClaimBook, Decision
from rattanpier._internal.claims.records import ClaimOp
from rattanpier._internal.configuration.parse import parse_configuration
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.routing.plan import make_plan
from rattanpier._internal.trace.events import (
    Asked,
    Braked,
    Event,
    Requested,
    RevisionOffered,
    Settled,
    Started,
)


@attrs.define
class ReplayState:
    """State that the decisions depend on."""

    configuration: Configuration = attrs.Factory(Configuration)
    braked: list[str] = attrs.Factory(list)
    book: ClaimBook = attrs.Factory(ClaimBook)


def replay_events(events: Iterable[Event]) -> Iterator[str]:
    """Yields the decision on each event as text."""
    state = ReplayState()
    for event in events:
        yield replay_event(state, event)


def replay_event(state: ReplayState, event: Event) -> str:
    """Applies an event and returns the decision on it as text."""
    match event:
        case Started():
            # Only the claim log survives a restart of the process.
            state.configuration = Configuration()
            state.braked = []
            return "started"
        case RevisionOffered():
            return apply_revision(state, event)
        case Braked():
            state.braked = event.versions
            return f"braked {' '.join(event.versions)}".strip()
        case Requested():
            return describe_plan(
                make_plan(state.configuration, event.request, state.braked)
            )
        case Asked():
            decision = state.book.ask(event.ask, lambda _: event.holder_alive)
            return apply_decision(state, decision)
        case Settled():
            return apply_decision(state, state.book.settle(event.op))


def apply_revision(state: ReplayState, event: RevisionOffered) -> str:
    """Puts a revision in force if it is newer than the current one."""
    if event.revision > state.configuration.revision:
        parsed = parse_configuration(event.text, "trace")
        state.configuration = attrs.evolve(parsed, revision=event.revision)
    return f"revision {state.configuration.revision}"


def apply_decision(state: ReplayState, decision: Decision) -> str:
    """Applies a decision on a claim and returns it as text."""
    if decision.op is not None:
        state.book.apply(decision.op)
    if isinstance(decision.op, ClaimOp):
        return f"{decision.outcome.value} attempt {decision.op.attempt}"
    return decision.outcome.value


def describe_plan(plan: Plan | Refusal) -> str:
    """Returns a plan or refusal as text.

    >>> describe_plan(Plan("all", ["a@1", "b@1"], pin_lost="c@1"))
    'steps a@1 b@1, pin lost c@1'
    """
    if isinstance(plan, Refusal):
        return f"refused {plan.code.value}"
    if plan.service:
        return f"service {plan.service}"
    lost = f", pin lost {plan.pin_lost}" if plan.pin_lost else ""
    return f"steps {' '.join(plan.steps)}{lost}"
