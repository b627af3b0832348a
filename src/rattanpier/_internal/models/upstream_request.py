"""An upstream request to one worker, and what its response head says."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.relay_request import Header
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class UpstreamRequest(Record):
    """What one worker is sent in addition to the caller's request.

    Attributes:
      worker: The worker.
      left_s: Seconds until the caller or the route times out.
      model: Model that the system chose, or empty.
      urgency: Priority of the request at the worker, 0 is the highest; None:
        not sent.
      after_event: Number of the last event of the answer that was received
        already, or None.
      repeat: Whether an earlier upstream request of it reached a worker.
    """

    worker: RegisteredWorker
    left_s: float
    model: str = ""
    urgency: int | None = None
    after_event: int | None = None
    repeat: bool = False


@attrs.frozen(eq=False, repr=False)
class ReportedLoad(Record):
    """Load that a worker reported.

    Attributes:
      running: Number of requests that it runs.
      waiting: Number of requests that wait there.
      slots: Number of requests that it runs concurrently; 0: not reported.
      work_time_ratio: How long work takes there at that moment, relative to
        the usual time; None: not reported. Workers share their VMs with others,
        so that it may change several times a second.
      born: Start of the reporting incarnation, in Unix ms; None: not reported.
      leaving: Whether the worker also reported that it leaves.
    """

    running: int
    waiting: int
    slots: int
    work_time_ratio: float | None = None
    born: int | None = None
    leaving: bool = False


@attrs.frozen(eq=False, repr=False)
class AnswerHead(Record):
    """Head of a worker's response.

    Attributes:
      status: HTTP status.
      headers: Headers as received, with names in lower case.
      request_id: Id of the request that it belongs to, or None.
      receipt: The worker's receipt for the answer, which proves it, or None.
      not_run: Whether the worker guarantees that it did not run the request.
      misdirected: Whether the responder is another worker than the one
        addressed, or does not serve what was requested.
      encoded: Whether the body was encoded, so that it is not as the worker
        made it.
      load: The worker's load, or None.
      unreadable_load: The load header if a figure of it could not be used, or
        empty.
      confidence: The model's confidence in its answer, 0 to 100, or None.
      retry_after_s: Seconds after which to retry, or None.
      keep_alive_s: Seconds for which the worker keeps an idle connection, or
        None.
      rate_per_s: Requests per second that it accepts from all entries together;
        None: it reports no limit.
      leaving: Whether the worker accepts no new requests any more.
      refusals_per_s: Refusals within a second after which it crashes; None: it
        stands any number.
      rest_s: Backoff: seconds for which it asks for no requests from this
        entry.
      framed: Whether it states a length or a transfer encoding. Without either,
        the answer ends with its connection.
    """

    status: int
    headers: tuple[Header, ...]
    request_id: str | None = None
    receipt: str | None = None
    not_run: bool = False
    misdirected: bool = False
    encoded: bool = False
    load: ReportedLoad | None = None
    unreadable_load: str = ""
    confidence: float | None = None
    retry_after_s: float | None = None
    keep_alive_s: float | None = None
    rate_per_s: float | None = None
    leaving: bool = False
    refusals_per_s: float | None = None
    rest_s: float = 0.0
    framed: bool = True
