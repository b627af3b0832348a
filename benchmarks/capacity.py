"""The page of capacity, from sweeps: `python -m benchmarks.capacity --write`.

A sweep plays one day at several numbers of entries and leaves an entry in the
journal, with a table of what an entry of each takes. `--write` makes the page
anew from the newest sweep of each deployment that `SWEEPS` names.
"""

from __future__ import annotations

import json
import math
import pathlib
import re
import sys

import attrs
import fire

ROOT = pathlib.Path(__file__).parents[1]
JOURNAL = ROOT / "journal"
PAGE = ROOT / "docs" / "CAPACITY.md"
TEXT = pathlib.Path(__file__).with_name("capacity_page.md")
SWEEPS = ("9098c83b",)  # Ids of journal entries.

TARGET_ENTRIES = 420
CELL = r"([\d.]+) / ([\d.]+)"
ROW = re.compile(rf"^(\S.*?)\s{{2,}}{CELL}((?:\s+{CELL})*)\s+(-?[\d.]+)\s")
PAIR = re.compile(CELL)


@attrs.frozen
class Measure:
    """What an entry takes of something, by the number of entries.

    Attributes:
      name: With its unit.
      middle: Of the entry in the middle, by size.
      busiest: Of the entry that takes most.
    """

    name: str
    middle: tuple[float, ...]
    busiest: tuple[float, ...]


@attrs.frozen
class Day:
    """One day of a sweep.

    Attributes:
      entries: How many played it.
      workers: That they stood before.
      served: Share of what was asked.
      worth: As the users count it.
      rules: Names of rules that were broken.
    """

    entries: int
    workers: int
    served: float
    worth: float
    rules: tuple[str, ...]


@attrs.frozen
class Sweep:
    """What a sweep showed.

    Attributes:
      id: Of its journal entry.
      source: The commit that was played.
      deployment: The site.
      days: By size.
      measures: Of an entry.
    """

    id: str
    source: str
    deployment: str
    days: tuple[Day, ...]
    measures: tuple[Measure, ...]


def read_sweep(id: str) -> Sweep:
    """Returns the sweep of a journal entry."""
    (path,) = JOURNAL.glob(f"*-{id}.json")
    entry = json.loads(path.read_text())
    days = tuple(
        Day(
            day["balancers"],
            day["servers"],
            day["served"],
            day["G"],
            tuple(day["rules"]),
        )
        for day in entry["days"]
    )
    return Sweep(
        id,
        entry["head"][:7],
        entry["site"],
        days,
        tuple(read_measures(entry["digest"])),
    )


def read_measures(text: str) -> list[Measure]:
    """Returns the table of a sweep.

    >>> (row,) = read_measures("entry: memory MB   1.0 / 2.0  3.5 / 40  0.1  9")
    >>> row.name, row.middle, row.busiest
    ('entry: memory MB', (1.0, 3.5), (2.0, 40.0))
    """
    found = []
    for line in text.splitlines():
        match = ROW.match(line)
        if match is None:
            continue
        pairs = [tuple(map(float, pair)) for pair in PAIR.findall(line)]
        middle, busiest = zip(*pairs, strict=True)
        found.append(Measure(match.group(1), middle, busiest))
    return found


def power(sizes: tuple[int, ...], values: tuple[float, ...]) -> float:
    """Returns the power with which values grow with sizes, by least squares.

    >>> round(power((10, 100), (3.0, 30.0)), 6)
    1.0
    """
    points = [
        (math.log(size), math.log(value))
        for size, value in zip(sizes, values, strict=True)
        if value > 0.0
    ]
    if len(points) < 2:
        return 0.0
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return over / sum((x - mean_x) ** 2 for x, _ in points)


def carried_on(
    sizes: tuple[int, ...], values: tuple[float, ...], size: int
) -> float:
    """Returns a value at a size that was not played.

    It goes on from the largest size that was, by the power over all.
    """
    grown = (size / sizes[-1]) ** power(sizes, values)
    return values[-1] * grown


def rounded(value: float) -> str:
    """Returns a number with three digits that count.

    >>> rounded(0.01234), rounded(1579.2)
    ('0.0123', '1580')
    """
    return f"{float(f'{value:.3g}'):g}"


def day_rows(sweep: Sweep) -> list[str]:
    """Returns the table of a sweep's days."""
    rows = [
        "| entries | workers | worth | served | rules broken |",
        "|---|---|---|---|---|",
    ]
    rows += [
        f"| {day.entries} | {day.workers} | {day.worth:.3f} | {day.served:.3f}"
        f" | {', '.join(day.rules) or 'none'} |"
        for day in sweep.days
    ]
    return rows


def measure_rows(sweep: Sweep) -> list[str]:
    """Returns the table of what an entry takes, and at the target."""
    sizes = tuple(day.entries for day in sweep.days)
    heads = " | ".join(map(str, sizes))
    rows = [
        f"| middle / busiest | {heads} | powers | at {TARGET_ENTRIES} |",
        "|---" * (len(sizes) + 3) + "|",
    ]
    for measure in sweep.measures:
        pairs = zip(measure.middle, measure.busiest, strict=True)
        cells = " | ".join(
            f"{rounded(middle)} / {rounded(most)}" for middle, most in pairs
        )
        both = (measure.middle, measure.busiest)
        powers = " / ".join(f"{power(sizes, values):.2f}" for values in both)
        target = " / ".join(
            rounded(carried_on(sizes, values, TARGET_ENTRIES))
            for values in both
        )
        rows.append(f"| {measure.name} | {cells} | {powers} | {target} |")
    return rows


def render(sweeps: list[Sweep]) -> str:
    """Returns the page."""
    parts = []
    for sweep in sweeps:
        parts += [
            f"### {sweep.deployment}, source {sweep.source},"
            f" journal {sweep.id}",
            "",
            *day_rows(sweep),
            "",
            *measure_rows(sweep),
            "",
        ]
    return TEXT.read_text().replace("{sweeps}\n", "\n".join(parts))


def main(write: bool = False) -> None:
    """Prints the page, or writes it.

    Args:
      write: Write it to docs/CAPACITY.md.
    """
    page = render([read_sweep(id) for id in SWEEPS])
    if write:
        PAGE.write_text(page)
    else:
        sys.stdout.write(page)


if __name__ == "__main__":
    fire.Fire(main)
