"""A caller's query to the directory of entries."""

from __future__ import annotations

import attrs

from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class DirectoryQuery(Record):
    """Asks which entries to use for a host.

    Attributes:
      host: Host name of the requests.
      region: Region of the caller; empty if it is not given.
    """

    host: str = ""
    region: str = ""
