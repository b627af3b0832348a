"""Client of the platform's answer-rating service.

Answers are submitted, and their ratings are fetched later. Each submission
costs money, whether or not the service's reply arrives.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import aiohttp
import attrs

from rattanpier._internal.exceptions import (
    PlatformUnavailableError,
    UnreadableError,
)
from rattanpier._internal.utils.codec import decode, encode


@attrs.frozen
class RatingItem:
    """An answer to be rated.

    Attributes:
      client: Client that submits the item and fetches its rating.
      id: Id, unique among the client's items.
      workspace: Workspace that pays for the rating.
      version: Version that generated the answer.
      prompt: Prompt of the request.
      answer: Generated text.
    """

    client: str
    id: str
    workspace: str
    version: str
    prompt: str
    answer: str


@attrs.frozen
class RatingResult:
    """The rating of one item.

    Attributes:
      number: Sequence number of the client's results, from 1.
      id: Id of the rated item.
      good: True if the answer was rated good.
    """

    number: int
    id: str
    good: bool


@attrs.frozen
class RatingPage:
    """Response of the rating service to a query for results."""

    results: list[RatingResult]


class Ratings(Protocol):
    """Interface to the rating service."""

    async def submit(self, items: Sequence[RatingItem]) -> None:
        """Submits answers for rating."""
        ...

    async def results(self, client: str, after: int) -> list[RatingResult]:
        """Returns ratings numbered above `after`, in order."""
        ...


class HttpRatings:
    """HTTP client of a rating service.

    Attributes:
      url: Base URL, with an IP address as host.
      timeout_s: Request timeout in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float = 2.0,
    ) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def submit(self, items: Sequence[RatingItem]) -> None:
        """Submits answers for rating.

        Failed calls are not retried, since each submission costs money.

        Raises:
          PlatformUnavailableError: The call failed; the service may still have
            accepted the answers.
        """
        try:
            async with self.session.post(
                f"{self.url}/v1/items",
                data=encode(list(items)),
                timeout=self.timeout,
            ) as response:
                check_status(response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise unavailable(error) from error

    async def results(self, client: str, after: int) -> list[RatingResult]:
        """Returns ratings numbered above `after`, in order.

        Raises:
          PlatformUnavailableError: The call failed, or its response can't be
            read.
        """
        query = {"client": client, "after": str(after)}
        try:
            async with self.session.get(
                f"{self.url}/v1/results", params=query, timeout=self.timeout
            ) as response:
                check_status(response)
                return decode(RatingPage, await response.read()).results
        except (aiohttp.ClientError, TimeoutError) as error:
            raise unavailable(error) from error
        except UnreadableError as error:
            raise unavailable(error) from error


def check_status(response: aiohttp.ClientResponse) -> None:
    """Raises PlatformUnavailableError unless the call succeeded."""
    if response.status not in (200, 202):
        raise PlatformUnavailableError(
            f"rating service answered {response.status}"
        )


def unavailable(error: Exception) -> PlatformUnavailableError:
    """Returns the exception for a call without a usable response."""
    return PlatformUnavailableError(f"rating service: {error!r}")
