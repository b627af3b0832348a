"""The links of one process, one for each peer."""

from __future__ import annotations

import ssl

import attrs

from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.link import Link


@attrs.define(eq=False, repr=False)
class Links:
    """Links that are opened on first use.

    Attributes:
      member: Own member name.
      tls: Context for mutual TLS, or None.
      links: Links by peer address.
    """

    member: str
    tls: ssl.SSLContext | None = None
    links: dict[tuple[str, int], Link] = attrs.Factory(dict)

    def to(self, member: Member) -> Link:
        """Returns the link to a member."""
        address = (member.peer_host, member.peer_port)
        if address not in self.links:
            self.links[address] = Link(*address, self.member, self.tls)
        return self.links[address]

    def retain(self, addresses: set[tuple[str, int]]) -> None:
        """Closes the links to all other addresses; their calls fail."""
        for address in [key for key in self.links if key not in addresses]:
            link = self.links.pop(address)
            if link.task is not None:
                link.task.cancel()

    async def close(self) -> None:
        """Closes all links, including those opened while it runs."""
        while self.links:
            _, link = self.links.popitem()
            await link.close()
