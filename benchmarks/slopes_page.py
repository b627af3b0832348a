"""Makes docs/CAPACITY.md from docs/capacity.toml and a text with gaps."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator, Mapping

from benchmarks.slopes_figures import derive
from benchmarks.slopes_fit import Slope, read_slopes
from benchmarks.slopes_model import (
    BYTES_LIMIT,
    CORE_LIMIT,
    IN_FORCE_LIMIT_S,
    MEMORY_LIMIT,
    MIB,
)

ROOT = pathlib.Path(__file__).parents[1]
FIGURES = ROOT / "docs" / "capacity.toml"
PAGE = ROOT / "docs" / "CAPACITY.md"
TEXT = pathlib.Path(__file__).with_name("slopes_page.md")


def write_page() -> None:
    """Writes the page."""
    PAGE.write_text(render(read_slopes(FIGURES)))


def render(slopes: Mapping[str, Slope]) -> str:
    """Returns the page."""
    found = derive(slopes)
    return TEXT.read_text().format(
        **found,
        slopes="\n".join(slope_rows(slopes)),
        limits="\n".join(limit_rows(found)),
        shards="\n".join(shard_rows(found)),
    )


def slope_rows(slopes: Mapping[str, Slope]) -> Iterator[str]:
    """Yields a row for each slope."""
    yield "| slope | unit per x | x | slope | at 0 | read at | error | part |"
    yield "|---|---|---|---|---|---|---|---|"
    for slope in slopes.values():
        sizes = ", ".join(f"{size:.4g}" for size in slope.sizes)
        part = slope.command.split()[-1]
        yield (
            f"| `{slope.name}` | {slope.unit} | {slope.x} | {slope.value:.4g}"
            f" | {slope.base:.4g} | {sizes} | {slope.error:.1%} | {part} |"
        )


def limit_rows(found: Mapping[str, float]) -> Iterator[str]:
    """Yields a row for each limit: used, allowed, and the verdict."""
    yield "| limit | at the target | allowed | verdict |"
    yield "|---|---|---|---|"
    kept = found["entry_memory"]
    for what, used, allowed, form in (
        ("processor of an entry, quiet", found["core"], CORE_LIMIT, percent),
        ("bytes of an entry, quiet", found["bytes"], BYTES_LIMIT, rate),
        (
            "bytes of an entry with its claims, if control",
            found["bytes"] + found["claim_bytes"],
            BYTES_LIMIT,
            rate,
        ),
        ("memory of an entry that owns no shard", kept, MEMORY_LIMIT, mebi),
        *(
            (
                f"memory of an owner, {shards} shards",
                kept + found[f"s{shards}_memory"],
                MEMORY_LIMIT,
                mebi,
            )
            for shards in (16, 64, 128)
        ),
        *(
            (
                f"processor of an owner, {shards} shards, if control",
                found[f"s{shards}_core"] + found[f"s{shards}_snapshot_core"],
                CORE_LIMIT,
                percent,
            )
            for shards in (16, 64, 128)
        ),
        (
            "processor of a roll-out's driver",
            found["driver_core"],
            CORE_LIMIT,
            percent,
        ),
        (
            "memory of a roll-out's driver",
            found["control_memory"] + found["driver_memory"],
            MEMORY_LIMIT,
            mebi,
        ),
        (
            "bytes of a roll-out's driver",
            found["driver_bytes"],
            BYTES_LIMIT,
            rate,
        ),
        (
            "processor of a control process ordering one pool of all workers",
            found["orders_core"],
            CORE_LIMIT,
            percent,
        ),
        (
            "processor of an entry while the store is down",
            found["outage_core"],
            CORE_LIMIT,
            percent,
        ),
        (
            "bytes of an entry while the store is down",
            found["outage_bytes"],
            BYTES_LIMIT,
            rate,
        ),
        (
            "bytes of an entry for notices, one domain's workers out",
            found["out_bytes"],
            BYTES_LIMIT,
            rate,
        ),
        (
            "reads of the store, 3 control processes",
            found["reads"],
            found["store_reads"],
            per_s,
        ),
        (
            "reads of the store, a control process on each VM",
            found["reads_all"],
            found["store_reads"],
            per_s,
        ),
        (
            "writes of the store (300 taken for “several hundred”)",
            found["writes"],
            found["store_writes"],
            per_s,
        ),
        (
            "a change in force, one node cut off or frozen",
            found["expired_s"] + found["in_force_s"],
            IN_FORCE_LIMIT_S,
            seconds,
        ),
    ):
        yield (
            f"| {what} | {form(used)} | {form(allowed)}"
            f" | {verdict(used, allowed)} |"
        )


def verdict(used: float, allowed: float) -> str:
    """Says whether a limit holds, and by what margin."""
    if used <= allowed:
        return f"holds, {used / allowed:.0%} used"
    return f"**does not hold**, {used / allowed:.1f} times the limit"


def shard_rows(found: Mapping[str, float]) -> Iterator[str]:
    """Yields a row for each number of claim shards."""
    yield (
        "| shards | claims/s of an owner | core | peers, KB/s | log, KB/s"
        " | memory | batch every | claim waits, mean / most"
        " | snapshot every | its size | its core | reading it back |"
    )
    yield "|---" * 12 + "|"
    for shards in (16, 64, 128):
        load = {
            name.removeprefix(f"s{shards}_"): value
            for name, value in found.items()
            if name.startswith(f"s{shards}_")
        }
        yield (
            f"| {shards} | {load['claims']:.0f} | {percent(load['core'])}"
            f" | {load['peer_bytes'] / 1000:.0f}"
            f" | {load['log_bytes'] / 1000:.0f} | {mebi(load['memory'])}"
            f" | {load['interval_s'] * 1000:.0f} ms"
            f" | {load['interval_s'] * 500:.0f} /"
            f" {load['interval_s'] * 1000:.0f} ms"
            f" | {load['snapshot_s']:.0f} s"
            f" | {mebi(load['snapshot_bytes'])}"
            f" | {percent(load['snapshot_core'])}"
            f" | {load['recover_s']:.1f} s |"
        )


def percent(value: float) -> str:
    """Returns a share of a core."""
    return f"{value:.2%}"


def rate(value: float) -> str:
    """Returns bytes a second."""
    return f"{value / 1000:.1f} KB/s"


def mebi(value: float) -> str:
    """Returns mebibytes."""
    return f"{value / MIB:.0f} MiB"


def per_s(value: float) -> str:
    """Returns calls a second."""
    return f"{value:.0f}/s"


def seconds(value: float) -> str:
    """Returns seconds."""
    return f"{value:.1f} s"
