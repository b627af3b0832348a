"""One send of a request to one worker, and what the worker's answer says."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.relay_request import Header
from rattanpier._internal.models.worker import RegisteredWorker


@attrs.frozen
class UpstreamRequest:
    """What one worker is told beside the request.

    Attributes:
      worker: Where to.
      left_s: Seconds until the caller or the route gives up.
      model: Named by the system, or empty.
      urgency: Rank of the request at the worker, 0 first; None: not told.
      after_event: Last event of the answer that came already, or None.
    """

    worker: RegisteredWorker
    left_s: float
    model: str = ""
    urgency: int | None = None
    after_event: int | None = None


@attrs.frozen
class ReportedLoad:
    """A worker's own count of requests.

    Attributes:
      born: Start of the incarnation that counted, in Unix ms; None: not told.
      leaving: The worker says beside it that it leaves.
    """

    running: int
    waiting: int
    slots: int
    born: int | None = None
    leaving: bool = False


@attrs.frozen
class AnswerHead:
    """What the head of a worker's answer says.

    Attributes:
      status: HTTP status.
      headers: As received, names in lower case.
      request_id: The request it belongs to, or None.
      receipt: The worker's proof of the answer, or None.
      not_run: The worker promises that it did not run the request.
      misdirected: What answered is not the worker that was asked for, or does
        not serve what was asked for.
      encoded: The body is not as the worker made it.
      load: Its load, or None.
      confidence: The model's opinion of its answer, 0 to 100, or None.
      retry_after_s: When to come back, or None.
      keep_alive_s: How long it keeps an idle connection, or None.
      rate_per_s: Requests a second that it takes from all entries together;
        None: it names no limit.
      leaving: It takes no new requests any more.
      rest_s: Seconds for which it wants nothing from this entry.
    """

    status: int
    headers: tuple[Header, ...]
    request_id: str | None = None
    receipt: str | None = None
    not_run: bool = False
    misdirected: bool = False
    encoded: bool = False
    load: ReportedLoad | None = None
    confidence: float | None = None
    retry_after_s: float | None = None
    keep_alive_s: float | None = None
    rate_per_s: float | None = None
    leaving: bool = False
    rest_s: float = 0.0
