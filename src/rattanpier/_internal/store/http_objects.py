"""HTTP client of the platform's object store."""

from __future__ import annotations

from urllib.parse import quote

import aiohttp
import attrs

from rattanpier._internal.exceptions import StoreUnavailableError

NOT_FOUND = 404


@attrs.frozen
class HttpObjects:
    """Implements `rattanpier._internal.store.objects.Objects`.

    Attributes:
      session: HTTP session used for requests.
      url: Base URL of the object store.
      timeout_s: Request timeout in seconds.
    """

    session: aiohttp.ClientSession
    url: str
    timeout_s: float = 2.0

    async def put(self, name: str, text: str) -> None:
        """Writes an object.

        Raises:
          StoreUnavailableError: The write failed or its result is unknown.
        """
        await self.call("PUT", name, text)

    async def get(self, name: str) -> str | None:
        """Returns an object's text, or None if it does not exist.

        Raises:
          StoreUnavailableError: The object could not be read.
        """
        return await self.call("GET", name)

    async def delete(self, name: str) -> None:
        """Deletes an object; succeeds if it does not exist.

        Raises:
          StoreUnavailableError: The deletion failed or its result is unknown.
        """
        await self.call("DELETE", name)

    async def call(
        self, method: str, name: str, text: str | None = None
    ) -> str | None:
        """Sends a request and returns the response text.

        Returns None if the object does not exist.

        Raises:
          StoreUnavailableError: The request failed or timed out.
        """
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.request(
                method,
                f"{self.url}/v1/objects/{quote(name)}",
                data=None if text is None else text.encode(),
                timeout=timeout,
            ) as response:
                if response.status == NOT_FOUND:
                    return None
                response.raise_for_status()
                return await response.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreUnavailableError(
                f"object {name}: {error or type(error).__name__}"
            ) from error
