"""How long a row has stood unchanged, by the watcher's own clock.

Clocks of different VMs are never compared: whoever waits for a row's holder
to stop counts from when it saw the row's version first.
"""

from __future__ import annotations

import attrs


@attrs.define
class RowWatch:
    """One row as it was last seen.

    Attributes:
      version: Its version; None before it was seen.
      since: Monotonic seconds at which that version was seen first.
    """

    version: int | None = None
    since: float = 0.0

    def unchanged_s(self, version: int, now: float) -> float:
        """Takes in a look at the row.

        Args:
          version: The version seen now.
          now: Monotonic seconds.

        Returns:
          Seconds for which this version has been seen.

        >>> watch = RowWatch()
        >>> watch.unchanged_s(4, 1.0), watch.unchanged_s(4, 3.0)
        (0.0, 2.0)
        >>> watch.unchanged_s(5, 9.0)
        0.0
        """
        if version != self.version:
            self.version = version
            self.since = now
        return now - self.since
