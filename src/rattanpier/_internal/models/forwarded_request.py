"""A request that an entry forwards to another, and what was done for it.

Field names are on the wire and can't be changed.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.models.relay_request import Header, Prompt
from rattanpier._internal.models.route_table import Route, Workspace
from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class ForwardedRequest(Record):
    """Everything but the body of a forwarded request.

    The sender has matched the route and checked the key; the receiver selects
    the workers, retries, and counts what it sends.

    Attributes:
      sender: Name of the entry that received the request from the caller.
      id: Id of the attempt, given by the caller.
      method: HTTP method.
      target: Path and query, as received.
      headers: Headers to forward to a worker.
      route: The route that it matched.
      workspace: Workspace whose key it carried, or None.
      table_version: Version of the route table that it was matched against.
      session: Session id, or empty.
      any_model: Whether the system chooses the model.
      prompt: Empty for plain services.
      service: Service that the request is sent to.
      waited_s: Seconds since its head was read.
      left_s: Seconds until the caller or the route times out.
      model: Model to ask, or empty.
      first_model: Model that was asked first, or empty.
      after_event: Number of the last event that the caller received, or None.
      head_delivered: Whether the caller received the head of the answer.
      sent: Number of workers that it reached.
      tried: Ids of these workers.
      may_have_run: Whether one of them may have run it.
      counted: Whether the sender counted it in its retry budget.
    """

    sender: str
    id: str
    method: str
    target: str
    headers: tuple[Header, ...]
    route: Route
    workspace: Workspace | None
    table_version: int
    session: str
    any_model: bool
    prompt: Prompt
    service: str
    waited_s: float
    left_s: float
    model: str
    first_model: str
    after_event: int | None
    head_delivered: bool
    sent: int
    tried: tuple[str, ...]
    may_have_run: bool
    counted: bool
