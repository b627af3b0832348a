"""Builders of requests, routes and workers for tests of the relay."""

from rattanpier._internal.models.relay_request import (
    Prompt,
    PromptPart,
    RelayRequest,
)
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.models.route_table import Route, ServiceShare
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.load import part_sizes
from rattanpier._internal.relay.verdict import Period

MODELS = ("small", "middle", "large")


def make_worker(id, service="s", version="v1", domain="a", **more):
    fields = {"host": "h", "port": 1, "slots": 8, **more}
    return RegisteredWorker(
        id, service, domain=domain, version=version, **fields
    )


def make_workers(count, **more):
    return [make_worker(f"w{number}", **more) for number in range(count)]


def make_route(**more):
    fields = {
        "name": "r",
        "host": "h",
        "prefix": "/r/",
        "shares": (ServiceShare("s", 1.0),),
        "max_workers": 3,
        "timeout_s": 10.0,
        "objective_s": 4.0,
        **more,
    }
    return Route(**fields)


def make_request(id="1", **more):
    fields = {
        "method": "GET",
        "target": "/r/",
        "headers": (),
        "body": b"",
        "route": make_route(),
        "workspace": None,
        "arrived": 0.0,
        "deadline": 10.0,
        **more,
    }
    return RelayRequest(id, **fields)


def make_prompt(*parts):
    """Returns a prompt of parts, each given as id and number of tokens."""
    made = tuple(PromptPart(*part) for part in parts)
    return Prompt(sum(part.tokens for part in made), 50, made)


def make_chat(id="1", parts=(("a", 400), ("b", 400), ("own", 200)), **more):
    """Returns a request for any model of a route that has three."""
    route = make_route(streaming=True, resumable=True, models=MODELS)
    return make_request(
        id, route=route, prompt=make_prompt(*parts), any_model=True, **more
    )


def kept_tokens(loads, worker, model, prompt):
    """Returns the tokens of a prompt that a worker has cached."""
    now = loads.clock.monotonic()
    return loads.cached_tokens(worker, part_sizes(model, prompt), now)


def at(version, era=1):
    """Returns a revision of the store."""
    return Revision(era, version)


def make_period(stable, candidate):
    """Returns a period without models; tallies are by route."""
    return Period(
        {(route, ""): tally for route, tally in stable.items()},
        {(route, ""): tally for route, tally in candidate.items()},
    )
