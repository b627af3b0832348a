"""An even part of a rate for each entry, which saves up one request."""

from __future__ import annotations

import random

import attrs


@attrs.define
class SavedParts:
    """What one entry saved up.

    Attributes:
      saved: Parts of a request by worker, and when that was, in seconds.
    """

    rng: random.Random
    saved: dict[str, tuple[float, float]] = attrs.Factory(dict)

    def touch(self, worker: str, rate_per_s: float, now: float) -> float:
        """Brings what is saved up for a worker up to date and returns it."""
        # Entries begin anywhere, so that they do not all send at once.
        part, since = self.saved.get(worker, (self.rng.random(), now))
        level = min(1.0, part + rate_per_s * (now - since))
        self.saved[worker] = level, now
        return level

    def spend(self, worker: str, now: float) -> None:
        """Takes in a send."""
        self.saved[worker] = 0.0, now
