"""Request body that is withheld if the dispatch is no longer allowed.

Connecting takes time between the decision to dispatch and the first byte of the
body, and the process may be suspended meanwhile. The upstream can't run a
request without its body, so sending it is the last point at which a withdrawal
or an expired validity can be honoured.
"""

from __future__ import annotations

from collections.abc import Callable

import aiohttp
from aiohttp.abc import AbstractStreamWriter

MaySend = Callable[[], bool]


class BodyWithheldError(Exception):
    """The request body was withheld."""


class GuardedBody(aiohttp.BytesPayload):
    """Payload that checks whether it may be sent right before it is written.

    Attributes:
      may_send: Returns whether the body may be sent now.
      withheld: True if the body was not sent, so the request can't have run.
    """

    def __init__(self, body: bytes, may_send: MaySend) -> None:
        super().__init__(body, content_type="application/json")
        self.may_send = may_send
        self.withheld = False

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Writes the body.

        Raises:
          BodyWithheldError: The body may not be sent.
        """
        if not self.may_send():
            self.withheld = True
            raise BodyWithheldError
        await super().write_with_length(writer, content_length)
