"""The operators' interface over HTTP, served by each control process."""

from __future__ import annotations

import json
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from aiohttp import web

from rattanpier._internal.configuration.inforce import InForce
from rattanpier._internal.configuration.store import (
    Revision,
    read_head,
    read_revision,
)
from rattanpier._internal.edge.auth import bearer_key, matches
from rattanpier._internal.exceptions import (
    ConfigurationError,
    RattanpierError,
    StoreUnavailableError,
)
from rattanpier._internal.operators.changes import Changes, Order
from rattanpier._internal.operators.messages import (
    HTTP_STATUS,
    ChangeReport,
    error_body,
    other_change,
)
from rattanpier._internal.platform.table import Table
from rattanpier._internal.rollout.status import rollout_status
from rattanpier._internal.utils.codec import encode
from rattanpier._internal.utils.hashing import sha256_hex

DEFAULT_WAIT_S = 8.0
MAX_WAIT_S = 60.0
HISTORY_LIMIT = 20
KEY_NAME_LENGTH = 8
ROLLOUT_FIELDS = ("stable", "candidate", "share", "max_share")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class RequestError(RattanpierError):
    """An operator's request is not well formed."""

    code = "bad_request"


@attrs.define
class OperatorApp:
    """Routes of the operators' interface.

    Attributes:
      key_digests: Digests of the operators' keys.
    """

    changes: Changes
    inforce: InForce
    table: Table
    key_digests: list[str]

    async def apply(self, request: web.Request) -> web.Response:
        """`POST /operator/config?base=N`: the body is the whole text."""
        base = number_of(request.query.get("base"), "base", int)
        text = (await request.read()).decode("utf-8", "replace")
        return answer(await self.changes.replace(text, base, order_of(request)))

    async def show(self, request: web.Request) -> web.Response:
        """`GET /operator/config[?revision=N]`: an accepted text."""
        head = await read_head(self.table)
        wanted = number_of(
            request.query.get("revision", str(head)), "revision", int
        )
        found = await read_revision(self.table, wanted) if wanted else None
        if found is None:
            return not_found(f"there is no revision {wanted}")
        return web.json_response(text=encode(found))

    async def history(self, request: web.Request) -> web.Response:
        """`GET /operator/history[?limit=N]`: changes, newest first."""
        limit = number_of(
            request.query.get("limit", str(HISTORY_LIMIT)), "limit", int
        )
        head = await read_head(self.table)
        items = []
        present = await read_revision(self.table, head) if head else None
        while present is not None and len(items) < limit:
            before = await self.before(present)
            items.append(other_change(before.text if before else "", present))
            present = before
        return web.json_response(text=encode(items))

    async def before(self, revision: Revision) -> Revision | None:
        """Returns the revision before another, or None."""
        if revision.revision <= 1:
            return None
        return await read_revision(self.table, revision.revision - 1)

    async def change(self, request: web.Request) -> web.Response:
        """`GET /operator/changes/ID?revision=N`: what became of a change."""
        revision = number_of(request.query.get("revision"), "revision", int)
        order = attrs.evolve(
            order_of(request), change=request.match_info["change"]
        )
        return answer(await self.changes.decide(revision, order))

    async def withdraw(self, request: web.Request) -> web.Response:
        """`POST /operator/versions/NAME/withdraw`."""
        name = request.match_info["name"]
        return answer(await self.changes.withdraw(name, order_of(request)))

    async def drain(self, request: web.Request) -> web.Response:
        """`POST /operator/upstreams/NAME/drain`."""
        name = request.match_info["name"]
        return answer(await self.changes.drain(name, order_of(request)))

    async def rollout(self, request: web.Request) -> web.Response:
        """`POST /operator/rollouts/NAME/start`, `widen` or `halt`."""
        name, order = request.match_info["name"], order_of(request)
        match request.match_info["action"]:
            case "halt":
                return answer(await self.changes.halt(name, order))
            case "start":
                fields = await rollout_fields(request)
                fields = {"state": "running", **fields}
            case "widen":
                fields = await rollout_fields(request)
                if set(fields) != {"share"}:
                    raise RequestError("give 'share' and nothing else")
                known = name in self.changes.present.rollouts
                self.changes.require(known, "roll-out", name)
            case action:
                return not_found(f"there is no action {action!r}")
        return answer(await self.changes.widen(name, fields, order))

    async def rollout_status(self, request: web.Request) -> web.Response:
        """`GET /operator/rollouts/NAME`."""
        name = request.match_info["name"]
        rollout = self.changes.present.rollouts.get(name)
        if rollout is None:
            return not_found(f"there is no roll-out {name!r}")
        brakes = self.changes.brakes
        found = rollout_status(name, self.changes.present, brakes.active)
        body = {
            **json.loads(encode(rollout)),
            "name": name,
            "phase": found.state,
            "reason": found.reason,
            "next_step": found.next_step,
            "revision": self.changes.present.revision,
            "braked": rollout.candidate in self.changes.brakes,
        }
        return web.json_response(body)

    async def status(self, _request: web.Request) -> web.Response:
        """`GET /operator/status`: revision, brakes and members."""
        try:
            progress = await self.inforce.status()
            reachable = True
        except StoreUnavailableError:
            progress, reachable = self.inforce.progress.value, False
        follower = self.inforce.follower
        members = self.inforce.members.live.value
        return web.json_response(
            {
                "node": self.inforce.members.me.name,
                "revision": follower.revision,
                "in_force": progress.in_force
                and progress.revision >= follower.revision,
                "waiting": sorted(progress.waiting),
                "store_reachable": reachable and follower.store_reachable,
                "brakes": json.loads(
                    encode(list(self.changes.brakes.active.values()))
                ),
                "members": json.loads(
                    encode([members[name] for name in sorted(members)])
                ),
            }
        )

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(
            client_max_size=8 * 2**20,
            middlewares=[self.check_key, report_errors],
        )
        add_get, add_post = app.router.add_get, app.router.add_post
        add_post("/operator/config", self.apply)
        add_get("/operator/config", self.show)
        add_get("/operator/history", self.history)
        add_get("/operator/changes/{change}", self.change)
        add_post("/operator/versions/{name}/withdraw", self.withdraw)
        add_post("/operator/upstreams/{name}/drain", self.drain)
        add_post("/operator/rollouts/{name}/{action}", self.rollout)
        add_get("/operator/rollouts/{name}", self.rollout_status)
        add_get("/operator/status", self.status)
        return app

    @property
    def check_key(self) -> Any:
        """The middleware that lets operators in and nobody else."""

        @web.middleware
        async def check(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            key = bearer_key(request.headers.get("Authorization", ""))
            if not key or not matches(key, self.key_digests):
                return web.json_response(
                    error_body("bad_key", "The operator key is not known."),
                    status=401,
                )
            return await handler(request)

        return check


@web.middleware
async def report_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turns coded errors into answers."""
    try:
        return await handler(request)
    except (ConfigurationError, RequestError) as error:
        status = 400
        body = error_body(error.code, error.message, error.hint)
    except StoreUnavailableError as error:
        status = 503
        body = error_body(error.code, error.message, "ask again later")
    return web.json_response(body, status=status)


def answer(report: ChangeReport) -> web.Response:
    """Returns the answer to a change."""
    return web.json_response(
        text=encode(report), status=HTTP_STATUS[report.outcome]
    )


def not_found(message: str) -> web.Response:
    """Returns the answer for something that does not exist."""
    return web.json_response(error_body("not_found", message), status=404)


def order_of(request: web.Request) -> Order:
    """Returns who makes a change, and how it is known.

    Raises:
      RequestError: `wait_s` is not a number.
    """
    key = bearer_key(request.headers.get("Authorization", ""))
    author = request.headers.get(
        "X-Operator", f"key-{sha256_hex(key)[:KEY_NAME_LENGTH]}"
    )
    wait_s = number_of(
        request.query.get("wait_s", str(DEFAULT_WAIT_S)), "wait_s", float
    )
    change = request.headers.get("X-Change-Id") or uuid.uuid4().hex
    return Order(author, change, min(wait_s, MAX_WAIT_S))


def number_of(text: str | None, name: str, kind: Callable[[str], Any]) -> Any:
    """Returns a number of the query, not negative.

    Raises:
      RequestError: It is missing or not such a number.
    """
    try:
        number = kind(text or "")
    except ValueError:
        number = -1
    if not number >= 0:
        raise RequestError(f"{name!r} has to be a number from 0")
    return number


async def rollout_fields(request: web.Request) -> dict[str, Any]:
    """Returns the fields of a roll-out in the body.

    Raises:
      RequestError: The body is not an object of such fields.
    """
    try:
        body = json.loads(await request.read() or b"{}")
    except ValueError as error:
        raise RequestError(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict) or not set(body) <= set(ROLLOUT_FIELDS):
        raise RequestError(
            "the body has to be an object", f"fields: {ROLLOUT_FIELDS}"
        )
    return body
