"""Headers of callers' requests and of responses to them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rattanpier._internal.models.directory_query import DirectoryQuery
from rattanpier._internal.models.relay_request import (
    CallerHeaders,
    Header,
    Prompt,
    PromptPart,
)

ATTEMPT_ID = "X-Attempt-Id"
DEADLINE_MS = "X-Deadline-Ms"
AUTHORIZATION = "Authorization"
SCHEME = "bearer"
MODEL = "X-Model"
ANY_MODEL = "*"
# Larger numbers of milliseconds or tokens mean as much as these.
MAX_NUMBER_DIGITS = 12
MAX_NUMBER = 10**MAX_NUMBER_DIGITS
MAX_ADDRESSES = 64  # Callers ignore further addresses of a response.
TOKENS = "X-Token-Usage"
# Despite its name, a list of the prompt's parts: ID:TOKENS,...
PARTS = "X-Prefix-Hash"
LENGTH_HINT = "X-Length-Hint"
SESSION = "Session"
LAST_EVENT_ID = "Last-Event-Id"

# Headers that only the router may set, or that are meant only for it; they are
# not forwarded to workers.
NOT_FORWARDED = frozenset(
    {
        "authorization",
        "x-deadline-ms",
        "x-tenant",
        "x-expected-instance",
        "x-expected-version",
        "x-request-priority",
        "x-pin-ms",
        "x-retain-cache",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "wait-ms",
        "x-not-executed",
        "expect",
    }
)


def decode_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Returns the decoded headers of a caller; invalid values are ignored."""
    scheme, _, key = headers.get(AUTHORIZATION, "").partition(" ")
    deadline_ms = whole_number(headers.get(DEADLINE_MS))
    return CallerHeaders(
        attempt_id=headers.get(ATTEMPT_ID, ""),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        key=key.strip() if scheme.lower() == SCHEME else "",
        session=headers.get(SESSION, ""),
        any_model=headers.get(MODEL) == ANY_MODEL,
        prompt=decode_prompt(headers),
        after_event=whole_number(headers.get(LAST_EVENT_ID)),
    )


def decode_prompt(headers: Mapping[str, str]) -> Prompt:
    """Returns the description of the prompt in the headers."""
    tokens, _, output = headers.get(TOKENS, "").partition(",")
    return Prompt(
        tokens=whole_number(tokens) or 0,
        max_output=whole_number(output) or 0,
        parts=tuple(decode_parts(headers.get(PARTS, ""))),
        output_hint=whole_number(headers.get(LENGTH_HINT)) or 0,
    )


def decode_parts(text: str) -> Iterable[PromptPart]:
    """Yields the parts of a prompt; malformed parts are skipped.

    >>> list(decode_parts("5c:800, 91:410"))[1]
    PromptPart(id='91', tokens=410)
    """
    for entry in text.split(","):
        part, colon, tokens = entry.strip().partition(":")
        if colon and tokens.isdecimal():
            yield PromptPart(part, bounded_int(tokens))


def whole_number(text: str | None) -> int | None:
    """Returns the integer part of a non-negative number, or None.

    >>> whole_number(" 12"), whole_number("1.9"), whole_number("x")
    (12, 1, None)
    """
    if not text:
        return None
    digits = text.strip().partition(".")[0]
    return bounded_int(digits) if digits.isdecimal() else None


def bounded_int(digits: str) -> int:
    """Returns a number, or `MAX_NUMBER` if it is larger.

    >>> bounded_int("12"), bounded_int("9" * 5000) == MAX_NUMBER
    (12, True)
    """
    if len(digits) > MAX_NUMBER_DIGITS:
        return MAX_NUMBER
    return int(digits)


def refusal_headers(
    attempt_id: str, retry_after_s: float | None
) -> list[Header]:
    """Returns the headers of a response that the router generates itself.

    Args:
      attempt_id: Id from the caller's request, empty if it had none.
      retry_after_s: Seconds after which the caller may retry, if known.
    """
    headers = [(ATTEMPT_ID, attempt_id)] if attempt_id else []
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    return headers


def decode_directory_query(query: Mapping[str, str]) -> DirectoryQuery:
    """Returns a caller's query for the directory of entries."""
    return DirectoryQuery(query.get("name", ""), query.get("region", ""))


def directory_body(addresses: list[str], ttl_s: float) -> dict[str, object]:
    """Returns the response body that lists the entries to use.

    Args:
      addresses: As IP:PORT; callers use at most 64.
      ttl_s: Seconds for which callers may cache the response.
    """
    return {"addresses": addresses[:MAX_ADDRESSES], "ttlS": ttl_s}
