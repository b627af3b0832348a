"""Links of a process that shuts down."""

import attrs

from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.peers.links import Links


def member(port):
    return Member("m", "i", Role.ENTRY, "a", "r", "", "127.0.0.1", port)


@attrs.define
class SlowLink:
    """A link during whose close another link is opened."""

    links: Links
    opens: int
    closed: bool = False

    async def close(self):
        self.closed = True
        if self.opens:
            late = SlowLink(self.links, self.opens - 1)
            self.links.links["127.0.0.1", self.opens] = late


async def test_links_opened_during_close_are_closed_too():
    links = Links("me")
    first = SlowLink(links, opens=3)
    links.links["127.0.0.1", 9] = first
    await links.close()
    assert first.closed
    assert links.links == {}


async def test_unused_links_are_closed():
    links = Links("me")
    links.to(member(1))
    links.to(member(2))
    await links.close()
    assert links.links == {}
