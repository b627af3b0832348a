"""A request body that is held back if the dispatch is not allowed any more.

Between the decision to dispatch and the first byte of the body lie a
connection attempt and, where the process was frozen, any length of time. The
upstream can't run a request without its body, so this is the last moment at
which a withdrawal or an expired validity still counts.
"""

from __future__ import annotations

from collections.abc import Callable

import aiohttp
from aiohttp.abc import AbstractStreamWriter

MaySend = Callable[[], bool]


class BodyWithheldError(Exception):
    """The body was not sent."""


class GuardedBody(aiohttp.BytesPayload):
    """Bytes that ask right before they are written.

    Attributes:
      may_send: Says whether the body may be sent now.
      withheld: True if it was not sent, so that nothing can have run.
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
          BodyWithheldError: It may not be sent.
        """
        if not self.may_send():
            self.withheld = True
            raise BodyWithheldError
        await super().write_with_length(writer, content_length)
