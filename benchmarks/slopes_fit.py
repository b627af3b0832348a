"""A measured slope: a straight line through readings at several sizes."""

from __future__ import annotations

import gc
import hashlib
import json
import pathlib
import time
import tomllib
from collections.abc import Callable, Mapping, Sequence

import attrs
import cattrs
import numpy as np

MICRO = 1e6
REPEATS = 5
ROUNDS = (1000, 2000, 4000)


@attrs.frozen
class Slope:
    """One line.

    Attributes:
      name: Its name on the page.
      x: What grows.
      unit: Unit of what is read.
      value: Growth of the reading with each one of `x`.
      base: The line at `x` = 0.
      error: Root mean square of the residuals, as a share of the mean reading.
      sizes: The sizes read at.
      command: What measures it.
    """

    name: str
    x: str
    unit: str
    value: float
    base: float
    error: float
    sizes: list[float]
    command: str

    def at(self, size: float) -> float:
        """Returns the line at a size."""
        return self.base + self.value * size

    @property
    def reading(self) -> float:
        """The line at the largest size read at."""
        return self.at(max(self.sizes))


def fit(
    name: str,
    x: str,
    unit: str,
    sizes: Sequence[float],
    readings: Sequence[float],
    part: str,
) -> Slope:
    """Returns the line of least squares through readings."""
    value, base = np.polyfit(sizes, readings, 1)
    residuals = np.asarray(readings) - np.polyval([value, base], sizes)
    mean = float(np.mean(np.abs(readings))) or 1.0
    error = float(np.sqrt(np.mean(residuals**2))) / mean
    command = f"python -m benchmarks.slopes --parts {part}"
    return Slope(
        name,
        x,
        unit,
        float(value),
        float(base),
        error,
        [float(size) for size in sizes],
        command,
    )


def processor_us(work: Callable[[], object], times: int) -> float:
    """Returns the processor time of one call, the least of some tries."""
    found = []
    for _ in range(REPEATS):
        gc.collect()
        started = time.process_time()
        for _ in range(times):
            work()
        found.append((time.process_time() - started) / times * MICRO)
    return min(found)


def yardstick(part: str) -> Slope:
    """Returns the processor time of a fixed piece of work.

    A machine whose other processors are busy runs the same code up to twice
    as long in processor time; figures are compared in proportion to this.
    """
    readings = [processor_us(lambda n=n: chore(n), 3) for n in ROUNDS]
    name = f"yardstick_{part}"
    return fit(name, "rounds", "us", ROUNDS, readings, part)


def chore(rounds: int) -> int:
    """Does what the system mostly does: small objects, hashes, dicts."""
    seen: dict[str, tuple[int, str]] = {}
    for number in range(rounds):
        text = f"{number}/{number % 7}"
        seen[text] = (number, hashlib.sha256(text.encode()).hexdigest())
    return len(sorted(seen.values()))


def write_slopes(path: pathlib.Path, slopes: Mapping[str, Slope]) -> None:
    """Writes slopes as TOML, in order of their names."""
    parts = []
    for name in sorted(slopes):
        parts.append(f"[{name}]")
        for key, value in attrs.asdict(slopes[name]).items():
            if key == "name":
                continue
            if isinstance(value, float):
                value = float(f"{value:.4g}")
            parts.append(f"{key} = {json.dumps(value, ensure_ascii=False)}")
        parts.append("")
    path.write_text("\n".join(parts))


def read_slopes(path: pathlib.Path) -> dict[str, Slope]:
    """Reads what `write_slopes` wrote."""
    tables = tomllib.loads(path.read_text())
    return {
        name: cattrs.structure({"name": name, **table}, Slope)
        for name, table in tables.items()
    }
