"""File of the runs of a stand-in, so that they survive a kill."""

from __future__ import annotations

import os
from typing import Any

import attrs

from rattanpier._internal.utils.codec import encode


@attrs.define
class RunFile:
    """Stores a line of JSON for each run, written before the run starts.

    Attributes:
      path: Path of the file; nothing is written if empty.
    """

    path: str = ""

    def add(self, run: Any) -> None:
        """Appends a run; the line survives a kill of the process."""
        if not self.path:
            return
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        file = os.open(self.path, flags, 0o644)
        os.write(file, f"{encode(run)}\n".encode())
        os.close(file)
