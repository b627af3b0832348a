"""Headers of requests to workers and of their responses."""

from __future__ import annotations

import functools
import math
import sys
from collections.abc import Sequence

import attrs
import structlog

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.relay_request import Header, RelayRequest
from rattanpier._internal.models.upstream_request import (
    AnswerHead,
    ReportedLoad,
    UpstreamRequest,
)
from rattanpier._internal.platform.registrations import DRAINING
from rattanpier._internal.relay.connection import WireHead, WireRequest
from rattanpier._internal.utils.codec import parse_json, structure
from rattanpier._internal.utils.record import Record
from rattanpier._internal.utils.strict import strict_converter

log = structlog.get_logger(part="platform")

ATTEMPT_ID = "x-attempt-id"
RECEIPT = "x-response-signature"
NOT_RUN = "x-not-executed"
LOAD = "x-instance-load"
CONFIDENCE = "x-confidence"
RATE_LIMIT = "server-limit"
LEAVING = "server-leaving"
BRITTLE = "server-brittle"
RETRY_AFTER = "retry-after"
MODEL = "x-model"
LAST_EVENT_ID = "last-event-id"
# Workers may send fields that an entry doesn't need.
converter = strict_converter(forbid_extra_keys=False, detailed=False)
HIGHEST_PRIORITY_VALUE = 9
BACKOFF_STATUSES = frozenset({429, 503})
MISDIRECTED = 421  # Also guarantees that nothing was executed.
# A worker that sends a limit needs relief, even if the value is invalid.
UNREADABLE_RATE_PER_S = 1.0
UNREADABLE_BACKOFF_S = 1.0
# Work that takes a hundred times as long as usual doesn't progress; a larger
# figure is an error.
MAX_WORK_TIME_PERCENT = 10000
MAX_COUNT = 1_000_000  # Of requests; a larger figure is an error.
MAX_COUNT_DIGITS = 7
MAX_BACKOFF_S = 365 * 24 * 3600.0  # A year; a larger figure is an error.
MAX_RETRY_AFTER_S = 1e6
MAX_CONFIDENCE = 100.0
MAX_BORN_MS = 2**53  # Exact as a float.
TEXT_CACHE_SIZE = 256  # Header values that are logged only once.


def encode_request(
    request: RelayRequest, upstream_request: UpstreamRequest
) -> WireRequest:
    """Returns a request in the form in which one worker receives it."""
    replaced = set()
    own: list[Header] = [
        ("X-Deadline-Ms", str(max(1, int(upstream_request.left_s * 1000)))),
        # Another worker at this address answers 421 and executes nothing.
        ("X-Expected-Instance", upstream_request.worker.id),
    ]
    if request.workspace is not None:
        own.append(("X-Tenant", request.workspace.name))
    if upstream_request.urgency is not None:
        urgency = min(HIGHEST_PRIORITY_VALUE, max(0, upstream_request.urgency))
        own.append(("X-Request-Priority", str(urgency)))
    if upstream_request.model:
        replaced.add(MODEL)
        own.append(("X-Model", upstream_request.model))
    if upstream_request.after_event is not None:
        replaced.add(LAST_EVENT_ID)
        own.append(("Last-Event-Id", str(upstream_request.after_event)))
    passed = [
        header
        for header in request.headers
        if header[0].lower() not in replaced
    ]
    return WireRequest(
        request.method, request.target, (*passed, *own), request.body
    )


def decode_answer(head: WireHead) -> AnswerHead:
    """Returns the decoded head of a worker's response."""
    return AnswerHead(
        status=head.status,
        headers=head.headers,
        request_id=head.get(ATTEMPT_ID),
        receipt=head.get(RECEIPT),
        not_run=(head.get(NOT_RUN) is not None or head.status == MISDIRECTED),
        misdirected=head.status == MISDIRECTED,
        encoded=head.get("content-encoding") is not None,
        load=decode_load(head.get(LOAD)),
        unreadable_load=unreadable_load(head.get(LOAD)),
        confidence=decode_number(head.get(CONFIDENCE), MAX_CONFIDENCE),
        retry_after_s=decode_number(head.get(RETRY_AFTER), MAX_RETRY_AFTER_S),
        keep_alive_s=decode_keep_alive(head.get("keep-alive")),
        rate_per_s=decode_rate_limit(head.get_all(RATE_LIMIT)),
        rest_s=decode_backoff(head),
        refusals_per_s=decode_brittleness(head.get_all(BRITTLE)),
        leaving=any(map(read_leaving, head.get_all(LEAVING))),
        framed=head.framed,
    )


def decode_load(text: str | None) -> ReportedLoad | None:
    """Returns the load in a header, as far as its figures are valid.

    The header lists the running and waiting requests, the slots, and how long
    work takes at that moment, in percent of the usual time. Workers may omit
    the last two and add further figures.

    Returns:
      None if there is no header, or the number of running or waiting requests
      is invalid.

    >>> decode_load("3,0,8")
    ReportedLoad(running=3, waiting=0, slots=8, work_time_ratio=None, \
born=None, leaving=False)
    >>> decode_load("3,0,8,120,7").work_time_ratio
    1.2
    >>> decode_load("-3,0,8,120")
    """
    if text is None:
        return None
    figures = load_figures(text)
    running, waiting, slots, percent = (*figures, None, None, None, None)[:4]
    if running is None or waiting is None:
        return None
    ratio = None
    if percent is not None and 0 < percent <= MAX_WORK_TIME_PERCENT:
        ratio = percent / 100
    return ReportedLoad(running, waiting, slots or 0, ratio)


def load_figures(text: str) -> list[int | None]:
    """Returns the figures of a load header; None for each invalid one.

    >>> load_figures("3, 0,x,-1,99999999")
    [3, 0, None, None, None]
    """
    return [read_count(part.strip()) for part in text.split(",")]


def read_count(text: str) -> int | None:
    """Returns a number of requests, or None if it is invalid."""
    if not (text.isascii() and text.isdecimal()):
        return None
    if len(text) > MAX_COUNT_DIGITS or int(text) > MAX_COUNT:
        return None
    return int(text)


def unreadable_load(text: str | None) -> str:
    """Returns a load header of which a figure can't be used, or nothing.

    >>> unreadable_load("3,0,8"), unreadable_load("3,0,8,0")
    ('', '3,0,8,0')
    """
    if text is None:
        return ""
    used = load_figures(text)[:4]
    valid = len(used) >= 3 and None not in used
    if valid and len(used) == 4:
        valid = 0 < used[3] <= MAX_WORK_TIME_PERCENT  # type: ignore[operator]
    return "" if valid else text


@attrs.frozen(eq=False, repr=False)
class LoadReport(Record):
    """The fields of a worker's load report that entries use."""

    active: int
    queued: int
    born: int | None = None
    state: str = ""


def decode_report(body: bytes) -> ReportedLoad | None:
    """Returns the load in a worker's report, None if it is invalid.

    >>> decode_report(b'{"queued": 2, "active": 5, "born": 7}')
    ReportedLoad(running=5, waiting=2, slots=0, work_time_ratio=None, \
born=7, leaving=False)
    """
    try:
        report = structure(converter, LoadReport, parse_json(body))
    except UnreadableError as error:
        log.warning("Load report can't be read.", error=error.message)
        return None
    if not (
        0 <= report.active <= MAX_COUNT
        and 0 <= report.queued <= MAX_COUNT
        and abs(report.born or 0) <= MAX_BORN_MS
    ):
        log.warning("Load report can't be read.", error="out of range")
        return None
    leaving = report.state == DRAINING
    return ReportedLoad(
        report.active, report.queued, 0, born=report.born, leaving=leaving
    )


def decode_number(
    text: str | None, most: float = sys.float_info.max
) -> float | None:
    """Returns a finite number, or None.

    Args:
      text: Text of the number, None if there is none.
      most: Largest magnitude that is valid.

    >>> decode_number("1.5"), decode_number("nan"), decode_number(None)
    (1.5, None, None)
    >>> decode_number("101", 100.0)
    """
    try:
        value = math.nan if text is None else float(text)
    except ValueError:
        return None
    return value if abs(value) <= most else None


def decode_rate_limit(texts: Sequence[str]) -> float | None:
    """Returns a worker's rate limit over all entries, in requests per second.

    Args:
      texts: Values of the header; the lowest applies.

    Returns:
      None if the worker sent no limit.

    >>> decode_rate_limit(["2.5"]), decode_rate_limit([])
    (2.5, None)
    >>> decode_rate_limit(["2", "1.5"]), decode_rate_limit(["-3"])
    (1.5, 0.0)
    """
    return min(map(read_rate, texts), default=None)


@functools.lru_cache(TEXT_CACHE_SIZE)
def read_rate(text: str) -> float:
    """Returns the rate in a header; invalid values give a low default."""
    rate = decode_number(text)
    if rate is None:
        log.warning("Server-Limit header can't be parsed.", text=text)
        return UNREADABLE_RATE_PER_S
    return max(0.0, rate)


def decode_brittleness(texts: Sequence[str]) -> float | None:
    """Returns after how many refusals within a second a worker crashes.

    Args:
      texts: Values of the header; the lowest applies.

    Returns:
      None if the worker did not say.

    >>> decode_brittleness(["4"]), decode_brittleness([])
    (4.0, None)
    """
    return min(map(read_brittleness, texts), default=None)


@functools.lru_cache(TEXT_CACHE_SIZE)
def read_brittleness(text: str) -> float:
    """Returns the number in a header; invalid values give the lowest."""
    refusals = decode_number(text)
    if refusals is None:
        log.warning("Server-Brittle header can't be parsed.", text=text)
        return 0.0
    return max(0.0, refusals)


def decode_backoff(head: WireHead) -> float:
    """Returns the seconds for which this entry must not send requests."""
    if head.status not in BACKOFF_STATUSES:
        return 0.0
    return max(map(read_backoff, head.get_all(RETRY_AFTER)), default=0.0)


@functools.lru_cache(TEXT_CACHE_SIZE)
def read_backoff(text: str) -> float:
    """Returns the seconds in a header; invalid values give a default.

    >>> read_backoff("2.5"), read_backoff("-1")
    (2.5, 0.0)
    """
    rest_s = decode_number(text)
    if rest_s is None:
        log.warning("Retry-After header can't be parsed.", text=text)
        return UNREADABLE_BACKOFF_S
    return min(MAX_BACKOFF_S, max(0.0, rest_s))


@functools.lru_cache(TEXT_CACHE_SIZE)
def read_leaving(text: str) -> bool:
    """Returns whether a header value says that a worker is leaving.

    Any value other than 0 counts: a worker that stays doesn't send the header.

    >>> read_leaving("1"), read_leaving("0")
    (True, False)
    """
    if text.strip() not in ("0", "1"):
        log.warning("Server-Leaving header can't be parsed.", text=text)
    return text.strip() != "0"


def decode_keep_alive(text: str | None) -> float | None:
    """Returns the seconds for which a worker keeps an idle connection.

    >>> decode_keep_alive("timeout=5, max=9"), decode_keep_alive(None)
    (5.0, None)
    """
    for entry in (text or "").split(","):
        name, _, value = entry.strip().partition("=")
        if name.lower() == "timeout":
            return decode_number(value)
    return None
