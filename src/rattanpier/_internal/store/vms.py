"""Client of the platform's list of live and leaving VMs.

The list lags behind the actual state of the VMs.
"""

from __future__ import annotations

import enum

import aiohttp
import attrs

from rattanpier._internal.exceptions import PlatformUnavailableError
from rattanpier._internal.utils.codec import decode


class VmState(enum.StrEnum):
    """State of a VM as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """A VM, or one process on it, in the platform's list.

    Attributes:
      address: IP address of the VM, or IP address and port of a process.
      state: Live or leaving.
    """

    address: str
    state: VmState = VmState.LIVE


@attrs.frozen
class VmList:
    """Response of the platform to a query for the list."""

    vms: list[Vm]


@attrs.define
class HttpVms:
    """HTTP client of the VM list; the list is sent only after a change.

    Attributes:
      etag: Entity tag of the last response.
      vms: VMs of the last response.
    """

    session: aiohttp.ClientSession
    url: str
    timeout_s: float = 2.0
    etag: str = ""
    vms: list[Vm] = attrs.Factory(list)

    async def read(self) -> list[Vm]:
        """Returns the VMs that the platform lists.

        Raises:
          PlatformUnavailableError: The request failed or timed out.
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
