"""What a caller asks the directory of entries."""

from __future__ import annotations

import attrs


@attrs.frozen
class DirectoryQuery:
    """Which entries to use for a host.

    Attributes:
      host: Host name of the requests.
      region: Where the caller is; empty if it does not tell.
    """

    host: str = ""
    region: str = ""
