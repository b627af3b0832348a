"""A caller's request as the relay sees it: an opaque body and what decides."""

from __future__ import annotations

import functools

import attrs

from rattanpier._internal.models.route_table import Route, Workspace
from rattanpier._internal.utils.hashing import short_digest

Header = tuple[str, str]


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """What is known of a prompt for a model.

    Attributes:
      tokens: Tokens of the prompt.
      max_output: Most tokens to generate.
      parts: In order; the last belongs to this request or its session.
      output_hint: The caller's estimate of the tokens generated, 0 if none.
    """

    tokens: int = 0
    max_output: int = 0
    parts: tuple[PromptPart, ...] = ()
    output_hint: int = 0

    @property
    def expected_output(self) -> int:
        """Tokens that are likely generated; callers' hints are often off."""
        return min(self.output_hint or self.max_output, self.max_output)


@attrs.frozen
class RelayRequest:
    """One attempt of a caller.

    Attributes:
      id: The caller's id of the attempt.
      method: HTTP method.
      target: Path and query, as received.
      headers: What is passed on; what the system sets itself is not in it.
      body: The whole body.
      route: The route that it matched.
      workspace: Whose key it carried, or None.
      arrived: Monotonic seconds at which its head was read.
      deadline: Monotonic seconds at which the caller or the route gives up.
      session: Requests of one session keep their version; empty if none.
      any_model: The system names the model.
      prompt: Empty for plain services.
      after_event: Last event that the caller has, where it resumes a stream.
    """

    id: str
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    route: Route
    workspace: Workspace | None
    arrived: float
    deadline: float
    session: str = ""
    any_model: bool = False
    prompt: Prompt = attrs.Factory(Prompt)
    after_event: int | None = None

    @property
    def priority(self) -> int:
        """Its rank, 0 first: the workspace's goes before the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @functools.cached_property
    def content(self) -> str:
        """A digest of what the caller asks, the same for each attempt.

        Ids, deadlines and sessions differ from attempt to attempt; caller,
        path and body stay.
        """
        caller = "" if self.workspace is None else self.workspace.name
        named = "\0".join(
            (caller, self.route.host, self.method, self.target, "")
        )
        return short_digest(named.encode() + self.body)


@attrs.frozen
class CallerHeaders:
    """What a caller's headers say.

    Attributes:
      attempt_id: Empty if there is none.
      deadline_s: Seconds that the caller will wait, or None.
      key: Empty if there is none.
      session: Empty if there is none.
      any_model: The system is to name the model.
      prompt: What is known of the prompt.
      after_event: Last event that the caller has, or None.
    """

    attempt_id: str = ""
    deadline_s: float | None = None
    key: str = ""
    session: str = ""
    any_model: bool = False
    prompt: Prompt = attrs.Factory(Prompt)
    after_event: int | None = None
