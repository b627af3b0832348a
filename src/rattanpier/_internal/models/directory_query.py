"""A caller's query to the directory of entries."""

from __future__ import annotations

import attrs


@attrs.frozen
class DirectoryQuery:
    """Asks which entries to use for a host.

    Attributes:
      host: Host name of the requests.
      region: Region of the caller; empty if it is not given.
    """

    host: str = ""
    region: str = ""
