"""Measures how long a row has been unchanged, by the local clock.

Clocks of different VMs are never compared: a process that waits for the
holder of a row to stop counts from when it first saw the row's version.
"""

from __future__ import annotations

import attrs


@attrs.define
class RowWatch:
    """A row as last observed.

    Attributes:
      version: Observed version; None before the first observation.
      since: Monotonic time in seconds when that version was first observed.
    """

    version: int | None = None
    since: float = 0.0

    def unchanged_s(self, version: int, now: float) -> float:
        """Records an observation of the row.

        Args:
          version: Observed version.
          now: Monotonic time in seconds.

        Returns:
          Seconds since this version was first observed.

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
