"""Tries to get an answer from the workers of one version."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable

import aiohttp
import attrs

from rattanpier._internal.dispatch.engine import (
    Chunk,
    EngineError,
    stream_chat,
)
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.routing.placement import (
    Load,
    Target,
    targets_of_version,
    two_choices,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

MAX_TRIES = 3

MayServe = Callable[[str], bool]


class NoWorkerError(Exception):
    """No worker may get the request; nothing was sent."""


class VersionStoppedError(Exception):
    """The version may get no new work any more."""


@attrs.define
class Tries:
    """Sends requests to workers.

    Attributes:
      configuration: Returns the configuration in force.
      leaving: Workers that are leaving.
    """

    session: aiohttp.ClientSession
    configuration: Callable[[], Configuration]
    clock: Clock
    metrics: Metrics
    domain: str
    rng: random.Random
    load: Load = attrs.Factory(Load)
    leaving: set[str] = attrs.Factory(set)

    async def stream(
        self,
        request: RouteRequest,
        version: str,
        request_id: str,
        may_serve: MayServe,
    ) -> AsyncIterator[Chunk]:
        """Yields an answer's chunks, from one worker or a retry on others.

        A request is sent again only while no chunk came, and only if it is
        idempotent or certainly did not run.

        Raises:
          EngineError: The last try failed.
          NoWorkerError: Nothing was sent.
          VersionStoppedError: The version was stopped before a dispatch.
        """
        tried: set[str] = set()
        ran = False
        while True:
            # Asked before each dispatch: a withdrawal counts at once.
            if not may_serve(version):
                raise VersionStoppedError(version)
            target = self.pick(version, tried)
            if target is None:
                raise NoWorkerError(version)
            tried.add(target.name)
            started = False
            try:
                async for chunk in self.send(
                    target, request, version, request_id
                ):
                    started = True
                    yield chunk
                return
            except EngineError as error:
                ran = ran or not error.not_run
                if not self.may_retry(request, error, started, tried):
                    raise EngineError(
                        str(error), not ran, error.retry_after_s
                    ) from error
                reason = "not_run" if error.not_run else "failed"
                self.metrics.count(f"dispatch.retry.{reason}")

    def may_retry(
        self,
        request: RouteRequest,
        error: EngineError,
        started: bool,
        tried: set[str],
    ) -> bool:
        """Says whether a failed request may go to another worker."""
        if started or len(tried) >= MAX_TRIES:
            return False
        return error.not_run or request.idempotent

    def pick(self, version: str, tried: set[str]) -> Target | None:
        """Returns the worker for the next try."""
        targets = [
            target
            for target in targets_of_version(
                self.configuration(), version, self.leaving
            )
            if target.name not in tried
        ]
        return two_choices(targets, self.load, self.domain, self.rng)

    async def send(
        self,
        target: Target,
        request: RouteRequest,
        version: str,
        request_id: str,
    ) -> AsyncIterator[Chunk]:
        """Sends a request to one worker."""
        body = {
            **request.body,
            "model": version,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        left = request.deadline - self.clock.monotonic()
        self.load.outstanding[target.name] += 1
        try:
            async for chunk in stream_chat(
                self.session,
                target.worker.url,
                body,
                {"X-Request-Id": request_id},
                left,
            ):
                yield chunk
        finally:
            self.load.outstanding[target.name] -= 1
