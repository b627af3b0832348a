"""The platform's list of live and leaving VMs; it lags."""

from __future__ import annotations

import enum

import aiohttp
import attrs

from rattanpier._internal.exceptions import PlatformUnavailableError
from rattanpier._internal.utils.codec import decode


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One VM.

    Attributes:
      address: Its IP number, or IP number and port of one process on it.
      state: Live or leaving.
    """

    address: str
    state: VmState = VmState.LIVE


@attrs.frozen
class VmList:
    """The platform's answer."""

    vms: list[Vm]


@attrs.define
class HttpVms:
    """Client of the list; it is fetched only when it changed.

    Attributes:
      etag: The entity tag of the last answer.
      vms: The last answer.
    """

    session: aiohttp.ClientSession
    url: str
    timeout_s: float = 2.0
    etag: str = ""
    vms: list[Vm] = attrs.Factory(list)

    async def read(self) -> list[Vm]:
        """Returns the VMs as the platform knows them.

        Raises:
          PlatformUnavailableError: No answer in time.
        """
        headers = {"If-None-Match": self.etag} if self.etag else {}
        try:
            async with self.session.get(
                f"{self.url.rstrip('/')}/v1/vms",
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=self.timeout_s),
            ) as response:
                if response.status == 304:
                    return self.vms
                if response.status != 200:
                    raise PlatformUnavailableError(
                        f"VM list answered {response.status}"
                    )
                self.vms = decode(VmList, await response.read()).vms
                self.etag = response.headers.get("ETag", "")
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PlatformUnavailableError(
                f"VM list did not answer: {error!r}"
            ) from error
        return self.vms
