"""HTTP routes that an entry serves to callers."""

from __future__ import annotations

import attrs
from aiohttp import web

from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.edge.auth import find_workspace
from rattanpier._internal.edge.chat import ChatHandler
from rattanpier._internal.edge.errors import refuse
from rattanpier._internal.edge.services import PATH, ServiceHandler
from rattanpier._internal.edge.unrouted import (
    mark_started,
    refuse_unrouted,
)
from rattanpier._internal.membership.members import Members
from rattanpier._internal.models.member import MemberState
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.settings import EdgeSettings
from rattanpier._internal.utils.ids import new_request_id

LOOKUP_TIMEOUT_S = 3.0
BAD_KEY = Refusal(RefusalCode.BAD_KEY, "The key is not known.", True)


@attrs.define
class Edge:
    """Registers all routes and serves those that need no upstream.

    Attributes:
      chat: Serves chat completions.
      services: Serves calls to plain services.
      follower: Holds the configuration in force on this node.
      members: Processes of the system that this one knows.
      settings: Limits of the caller edge.
    """

    chat: ChatHandler
    services: ServiceHandler
    follower: Follower
    members: Members
    settings: EdgeSettings

    def workspace(self, request: web.Request) -> str | None:
        """Returns the workspace whose key a request carries, or None."""
        return find_workspace(
            self.follower.configuration,
            request.headers.get("Authorization", ""),
        )

    def refuse(self, refusal: Refusal) -> web.Response:
        """Returns a refusal and counts its reason."""
        return refuse(self.chat.metrics, refusal, new_request_id())

    async def models(self, request: web.Request) -> web.Response:
        """Serves `GET /v1/models`: the versions the workspace may use."""
        name = self.workspace(request)
        if name is None:
            return self.refuse(BAD_KEY)
        allowed = self.follower.configuration.workspaces[name].versions
        data = [
            {
                "id": version,
                "object": "model",
                "created": 0,
                "owned_by": "rattanpier",
            }
            for version in allowed
        ]
        return web.json_response({"object": "list", "data": data})

    async def entries(self, _request: web.Request) -> web.Response:
        """Serves `GET /v1/entries`.

        The reply holds the addresses of entries and the seconds for which
        callers may cache them.
        """
        fleet = self.follower.configuration.fleet
        return web.json_response(
            {
                "entries": [
                    {
                        "name": member.name,
                        "url": member.caller_url,
                        "domain": member.domain,
                        "region": member.region,
                    }
                    for member in self.members.entries()
                ],
                "ttl_s": fleet.entries_ttl_s,
            },
            headers={"Cache-Control": f"max-age={int(fleet.entries_ttl_s)}"},
        )

    async def request_state(self, request: web.Request) -> web.Response:
        """Serves `GET /v1/requests/KEY`: the state of a request's claim."""
        name = self.workspace(request)
        if name is None:
            return self.refuse(BAD_KEY)
        key = request.match_info["key"]
        reply = await self.chat.runner.claims.lookup(
            name, key, LOOKUP_TIMEOUT_S
        )
        if reply is None:
            refusal = Refusal(
                RefusalCode.CLAIM_UNAVAILABLE,
                "The request's claim can't be read now.",
                False,
                2.0,
            )
            return self.refuse(refusal)
        if reply.state == "none":
            refusal = Refusal(
                RefusalCode.UNKNOWN_REQUEST,
                "No request with this key is known.",
                False,
            )
            return self.refuse(refusal)
        return web.json_response(
            {"key": key, "state": reply.state, "attempt": reply.attempt}
        )

    async def health(self, _request: web.Request) -> web.Response:
        """Serves `GET /healthz`: 200 while the process runs."""
        return web.json_response({"status": "ok"})

    async def ready(self, _request: web.Request) -> web.Response:
        """Serves `GET /readyz`: 200 if the entry accepts callers, else 503."""
        ready = (
            self.chat.runner.dispatcher.current()
            and self.chat.runner.claims.ownership.owners_known
            and self.members.me.state is MemberState.LIVE
        )
        return web.json_response(
            {
                "ready": ready,
                "revision": self.follower.configuration.revision,
                "state": self.members.me.state.value,
            },
            status=200 if ready else 503,
        )

    def app(self) -> web.Application:
        """Returns the aiohttp application with all routes."""
        app = web.Application(
            client_max_size=self.settings.max_body_bytes,
            middlewares=[refuse_unrouted(self.chat.metrics)],
        )
        app.on_response_prepare.append(mark_started)
        app.router.add_post("/v1/chat/completions", self.chat.handle)
        app.router.add_route("*", PATH, self.services.handle)
        app.router.add_get("/v1/models", self.models)
        app.router.add_get("/v1/entries", self.entries)
        app.router.add_get("/v1/requests/{key}", self.request_state)
        app.router.add_get("/healthz", self.health)
        app.router.add_get("/readyz", self.ready)
        return app
