"""HTTP API for operators, served by each control process."""

from __future__ import annotations

import json

import attrs
from aiohttp import web

from rattanpier._internal.configuration.inforce import InForceTracker
from rattanpier._internal.configuration.store import (
    Revision,
    read_head,
    read_revision,
)
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.settings import MEBIBYTE
from rattanpier._internal.operators.changes import Changes
from rattanpier._internal.operators.messages import (
    HTTP_STATUS,
    ChangeReport,
    error_body,
    other_change,
)
from rattanpier._internal.operators.request_parsing import (
    RequestError,
    change_context,
    parse_number,
    report_errors,
    require_key,
    rollout_fields,
)
from rattanpier._internal.rollout.status import rollout_status
from rattanpier._internal.store.table import Table
from rattanpier._internal.utils.codec import encode

HISTORY_LIMIT = 20  # Default number of changes in the history.
MAX_BODY_BYTES = 8 * MEBIBYTE


@attrs.define
class OperatorApp:
    """Route handlers of the operator API.

    Attributes:
      key_digests: SHA-256 digests of the operators' keys, in hexadecimal.
    """

    changes: Changes
    inforce: InForceTracker
    table: Table
    key_digests: list[str]

    async def apply(self, request: web.Request) -> web.Response:
        """Handles `POST /operator/config?base=N` with the text as body."""
        base = parse_number(request.query.get("base"), "base", int)
        text = (await request.read()).decode("utf-8", "replace")
        return answer(
            await self.changes.replace(text, base, change_context(request))
        )

    async def show(self, request: web.Request) -> web.Response:
        """Handles `GET /operator/config[?revision=N]`."""
        head = await read_head(self.table)
        wanted = parse_number(
            request.query.get("revision", str(head)), "revision", int
        )
        found = await read_revision(self.table, wanted) if wanted else None
        if found is None:
            return not_found(f"there is no revision {wanted}")
        return web.json_response(text=encode(found))

    async def history(self, request: web.Request) -> web.Response:
        """Handles `GET /operator/history[?limit=N]`; newest changes first."""
        limit = parse_number(
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
        """Returns the preceding revision, or None for the first one."""
        if revision.revision <= 1:
            return None
        return await read_revision(self.table, revision.revision - 1)

    async def change(self, request: web.Request) -> web.Response:
        """Handles `GET /operator/changes/ID?revision=N`; resolves a change."""
        revision = parse_number(request.query.get("revision"), "revision", int)
        context = attrs.evolve(
            change_context(request), change=request.match_info["change"]
        )
        return answer(await self.changes.resolve(revision, context))

    async def withdraw(self, request: web.Request) -> web.Response:
        """Handles `POST /operator/versions/NAME/withdraw`."""
        name = request.match_info["name"]
        return answer(
            await self.changes.withdraw(name, change_context(request))
        )

    async def drain(self, request: web.Request) -> web.Response:
        """Handles `POST /operator/upstreams/NAME/drain`."""
        name = request.match_info["name"]
        return answer(await self.changes.drain(name, change_context(request)))

    async def rollout(self, request: web.Request) -> web.Response:
        """Handles `POST /operator/rollouts/NAME/start`, `widen` and `halt`."""
        name, context = request.match_info["name"], change_context(request)
        match request.match_info["action"]:
            case "halt":
                return answer(await self.changes.halt(name, context))
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
        return answer(await self.changes.widen(name, fields, context))

    async def rollout_status(self, request: web.Request) -> web.Response:
        """Handles `GET /operator/rollouts/NAME`."""
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
        """Handles `GET /operator/status`: revision, brakes and members."""
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
        """Returns the aiohttp application of the operator API."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[require_key(self.key_digests), report_errors],
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


def answer(report: ChangeReport) -> web.Response:
    """Returns the response to a change."""
    return web.json_response(
        text=encode(report), status=HTTP_STATUS[report.outcome]
    )


def not_found(message: str) -> web.Response:
    """Returns a 404 response."""
    return web.json_response(error_body("not_found", message), status=404)
