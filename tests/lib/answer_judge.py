"""Judge of the answers on a caller's connection.

A caller gets the whole answer of a worker to its own request, or one that can
be told to be incomplete, and no byte that is not part of it.
"""

import attrs
import h11

from tests.lib.platform_site import event_numbers


@attrs.frozen
class GivenAnswer:
    """An answer as a worker gave it; `body` is what it had sent at its end."""

    request: str
    status: int
    receipt: str
    body: bytes
    whole: bool


@attrs.frozen
class ReceivedAnswer:
    """An answer as it arrived; `complete` if it ended as its framing says."""

    status: int
    headers: dict
    body: bytes
    complete: bool


class NoAnswerError(Exception):
    """Bytes that are no answer."""


def parse_answer(data, method="POST"):
    """Returns the answer in all bytes of a connection, or None without a head.

    Raises:
      NoAnswerError: Some bytes are no part of one answer.
    """
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    head, body, complete = None, b"", False
    try:
        while (event := parser.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                complete = True
                break
    except h11.RemoteProtocolError as error:
        raise NoAnswerError(str(error)) from error
    if complete and parser.trailing_data[0]:
        raise NoAnswerError(f"bytes behind it: {parser.trailing_data[0]!r}")
    if head is None:
        return None
    headers = {name.decode(): value.decode() for name, value in head.headers}
    return ReceivedAnswer(head.status_code, headers, body, complete)


def judge_answer(request, data, given, last_event=None):
    """Returns what is wrong with all bytes that answered a request, or nothing.

    Args:
      request: Id of the attempt.
      data: The bytes, up to the end of the connection or of the answer.
      given: Answers of all workers to all requests.
      last_event: Number of the last event of a whole stream; None for an answer
        that is no stream.
    """
    try:
        answer = parse_answer(data)
    except NoAnswerError as error:
        return f"bytes that are no answer: {error}"
    if answer is None or not answer.complete:
        return ""
    own = [each for each in given if each.request == request]
    receipt = answer.headers.get("x-response-signature")
    signers = [each for each in own if receipt and each.receipt == receipt]
    if answer.headers.get("x-attempt-id", request) != request:
        return "an answer to another request"
    if receipt and not signers:
        return "a receipt of another request"
    if answer.status >= 300:
        statuses = {each.status for each in signers}
        if receipt and answer.status not in statuses:
            return f"status {answer.status} with a receipt for {statuses}"
        return ""
    if not any(each.status < 300 for each in signers):
        return "a success that no worker gave"
    if last_event is not None and answer.headers["content-type"].startswith(
        "text/event-stream"
    ):
        if event_numbers(answer.body) != list(range(1, last_event + 1)):
            return f"events {event_numbers(answer.body)} told as whole"
        return ""
    if not any(each.whole and each.body == answer.body for each in signers):
        return "a body that is not a worker's whole body"
    return ""
