"""A caller's request in the relay: an opaque body and what routing needs."""

from __future__ import annotations

import functools
import itertools

import attrs

from rattanpier._internal.models.route_table import Route, Workspace
from rattanpier._internal.utils.hashing import short_digest
from rattanpier._internal.utils.record import Record

Header = tuple[str, str]

MAX_SHARED_PARTS = 16  # Parts of one prompt that are told apart.
MAX_PART_ID_LENGTH = 64


@attrs.frozen(eq=False, repr=False)
class PromptPart(Record):
    """A part of a prompt that other requests may share.

    Attributes:
      id: Id of the part, the same in all requests that share it.
      tokens: Tokens of the part.
    """

    id: str
    tokens: int


@attrs.frozen(eq=False, repr=False)
class Prompt(Record):
    """What is known of a prompt for a model.

    Attributes:
      tokens: Tokens of the prompt.
      max_output: Maximum number of tokens to generate.
      parts: Parts in order; the last belongs to this request or its session.
      output_hint: The caller's estimate of the tokens generated, 0 if none.
    """

    tokens: int = 0
    max_output: int = 0
    parts: tuple[PromptPart, ...] = ()
    output_hint: int = 0

    @property
    def expected_output(self) -> int:
        """Estimate of generated tokens, which the limit caps.

        Callers' estimates are often wrong.
        """
        return min(self.output_hint or self.max_output, self.max_output)

    @functools.cached_property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the first parts that other requests may share, each once.

        Long ids are replaced by their digests.
        """
        ids = dict.fromkeys(part.id for part in self.parts[:-1])
        return tuple(
            id if len(id) <= MAX_PART_ID_LENGTH else short_digest(id)
            for id in itertools.islice(ids, MAX_SHARED_PARTS)
        )


@attrs.frozen(eq=False, repr=False)
class RelayRequest(Record):
    """One attempt of a caller.

    Attributes:
      id: Id of the attempt, given by the caller.
      method: HTTP method.
      target: Path and query, as received.
      headers: Headers to forward, without those that the system sets itself.
      body: The complete body.
      route: The route that it matched.
      workspace: Workspace whose key it carried, or None.
      arrived: Monotonic time at which its head was read, in seconds.
      deadline: Monotonic time at which the caller or the route times out, in
        seconds.
      session: Session id, or empty. Requests of a session keep their version.
      any_model: Whether the system chooses the model.
      prompt: Empty for plain services.
      after_event: Number of the last event that the caller received, if it
        resumes a stream.
      table_version: Version of the route table that it was matched against.
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
    table_version: int = -1

    @property
    def priority(self) -> int:
        """Priority, 0 is the highest; a workspace's overrides the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @functools.cached_property
    def content(self) -> str:
        """Digest of the request's content, the same for each attempt.

        It covers the workspace, host, method, target and body, and leaves out
        ids, deadlines and sessions, which differ between attempts.
        """
        caller = "" if self.workspace is None else self.workspace.name
        named = "\0".join(
            (caller, self.route.host, self.method, self.target, "")
        )
        return short_digest(named.encode() + self.body)


@attrs.frozen(eq=False, repr=False)
class CallerHeaders(Record):
    """Values from a caller's headers.

    Attributes:
      attempt_id: Id of the attempt, or empty.
      deadline_s: Seconds for which the caller waits, or None.
      key: Key of the workspace, or empty.
      session: Session id, or empty.
      any_model: Whether the system is to choose the model.
      prompt: What is known of the prompt.
      after_event: Number of the last event that the caller received, or None.
    """

    attempt_id: str = ""
    deadline_s: float | None = None
    key: str = ""
    session: str = ""
    any_model: bool = False
    prompt: Prompt = attrs.Factory(Prompt)
    after_event: int | None = None
