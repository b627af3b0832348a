"""Measures the slopes behind docs/CAPACITY.md, or checks the page's figures.

Run: python -m benchmarks.slopes [--parts claims,fleet] [--write]

With `--write` the figures of the parts that ran go into docs/capacity.toml and
the page is made anew from all of them. Without it the script ends with 1 if a
figure of the page is off by more than `FACTOR`. Processor times are compared in
proportion to a fixed piece of work that is measured with each part.
"""

from __future__ import annotations

import itertools
import sys
from collections.abc import Mapping

import fire

from benchmarks import (
    slopes_claims,
    slopes_entry,
    slopes_fleet,
    slopes_rollout,
    slopes_routing,
)
from benchmarks.slopes_fit import (
    Slope,
    read_slopes,
    write_slopes,
    yardstick,
)
from benchmarks.slopes_page import FIGURES, write_page

FACTOR = 2.0
FLOOR = 1e-6
PARTS = {
    part.PART: part.measure
    for part in (
        slopes_routing,
        slopes_claims,
        slopes_rollout,
        slopes_fleet,
        slopes_entry,
    )
}


def is_off(page: Slope, found: Slope, pace: float = 1.0) -> bool:
    """Says whether a figure of the page no longer holds.

    Args:
      page: The page's figure.
      found: Read just now.
      pace: How much longer the same work takes now; for processor times.

    Compared at the largest size that was read: the growth of a level line is
    noise around zero, which has no ratio.
    """
    # The same sizes at both: a load never meets its rate to the last digit.
    size = max(page.sizes)
    old, new = (max(FLOOR, line.at(size)) for line in (page, found))
    return not 1 / FACTOR <= new / (old * pace) <= FACTOR


def measure(parts: list[str]) -> dict[str, Slope]:
    """Measures parts, and prints each line as it is found."""
    found = {}
    for part in parts:
        for slope in itertools.chain([yardstick(part)], PARTS[part]()):
            found[slope.name] = slope
            print(
                f"{slope.name:24} {slope.value:12.5g} {slope.unit} per"
                f" {slope.x}, base {slope.base:.5g}, error {slope.error:.1%},"
                f" at {max(slope.sizes):g}: {slope.reading:.5g}",
                flush=True,
            )
    return found


def without(slopes: Mapping[str, Slope], part: str) -> dict[str, Slope]:
    """Returns the slopes of other parts."""
    return {
        name: slope
        for name, slope in slopes.items()
        if slope.command.split()[-1] != part
    }


def pace_of(
    slope: Slope, known: Mapping[str, Slope], found: Mapping[str, Slope]
) -> float:
    """Returns how much longer the same work takes than for the page."""
    name = f"yardstick_{slope.command.split()[-1]}"
    if not slope.unit.startswith("us") or name not in known:
        return 1.0
    return found[name].value / known[name].value


def main(parts: str = "", write: bool = False) -> None:
    """Measures slopes.

    Args:
      parts: Which parts, with commas; all of them if empty.
      write: Write the figures and the page instead of checking them.
    """
    # fire turns a list with commas into a tuple.
    listed = parts.split(",") if isinstance(parts, str) else list(parts)
    names = [name for name in listed if name] or list(PARTS)
    known = read_slopes(FIGURES) if FIGURES.exists() else {}
    if write:
        # Each part as it is found: a later one may fail.
        for name in names:
            known = {**without(known, name), **measure([name])}
            write_slopes(FIGURES, known)
        write_page()
        return
    found = measure(names)
    off = [
        name
        for name, slope in found.items()
        if name not in known
        or is_off(known[name], slope, pace_of(slope, known, found))
    ]
    for name in off:
        page = known[name].at(max(known[name].sizes)) if name in known else None
        print(f"off by more than {FACTOR}: {name}, page {page}")
    sys.exit(1 if off else 0)


if __name__ == "__main__":
    fire.Fire(main)
