"""What a node takes at the target, worked out from slopes and settings.

Everything here is arithmetic on docs/capacity.toml and on constants of the
code; nothing is measured.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping

import attrs

from benchmarks.slopes_fit import Slope
from benchmarks.slopes_routing import configuration_text
from rattanpier._internal.claims.compaction import COMPACT_BATCHES
from rattanpier._internal.claims.ownership import (
    LOOKS_PER_S,
    MAINTAIN_S,
)
from rattanpier._internal.configuration.follow import poll_interval_s
from rattanpier._internal.configuration.spread import (
    FAN_OUT,
    levels,
)
from rattanpier._internal.membership.members import (
    DUTY_S,
    FOLLOW_S,
    MIN_REFRESH_S,
    ROW_WRITES_PER_S,
)
from rattanpier._internal.membership.workers import (
    PROBE_S,
    PROBERS,
)
from rattanpier._internal.models.configuration import Fleet

FRAMES_OF_A_CLAIM = 4  # Two calls and their replies.
MICRO = 1e6
DAY_S = 86_400
MIB = 2**20


@attrs.frozen
class Target:
    """The sizes of the letter, and what it leaves open."""

    nodes: int = 420
    workers: int = 600
    requests: float = 3700.0
    tokens: float = 820_000.0
    changes: int = 1000
    domains: int = 12
    # Not in the letter: assumed.
    workspaces: int = 200
    rules: int = 200
    controls: int = 3
    answer_bytes: int = 1000
    store_reads: float = 2000.0
    store_writes: float = 300.0


CORE_LIMIT = 0.013
MEMORY_LIMIT = 256 * MIB
BYTES_LIMIT = 4000.0
IN_FORCE_LIMIT_S = 19.0


@attrs.frozen
class ShardLoad:
    """What one claim shard's owner takes.

    Attributes:
      shards: Number of claim shards.
      claims: Claims a second.
      core: Share of a core: the owner, and its end of the links.
      peer_bytes: Bytes a second between it and the entries.
      log_bytes: Bytes a second written to its log.
      memory: Bytes of its claims.
      interval_s: Seconds between its batches.
      snapshot_s: Seconds between snapshots.
      snapshot_bytes: Bytes of one.
      snapshot_core: Share of a core that writing them takes.
      recover_s: Processor seconds to read one back.
    """

    shards: int
    claims: float
    core: float
    peer_bytes: float
    log_bytes: float
    memory: float
    interval_s: float
    snapshot_s: float
    snapshot_bytes: float
    snapshot_core: float
    recover_s: float


def shard_load(
    slopes: Mapping[str, Slope], target: Target, shards: int
) -> ShardLoad:
    """Works out a shard owner's load."""
    fleet = Fleet()
    claims = target.requests / shards
    kept = claims * fleet.retention_s
    interval_s = shards / fleet.store_writes_per_s
    snapshot_s = COMPACT_BATCHES * interval_s
    # Two calls of a claim; half of a link's work is at this end.
    links = claims * slopes["link_call"].value
    return ShardLoad(
        shards=shards,
        claims=claims,
        core=(slopes["owner_per_claim"].at(claims) + links) / MICRO,
        peer_bytes=claims * slopes["claim_bytes"].at(target.answer_bytes),
        log_bytes=claims * slopes["log_bytes_per_claim"].value,
        memory=kept * slopes["memory_per_claim"].value,
        interval_s=interval_s,
        snapshot_s=snapshot_s,
        snapshot_bytes=kept * slopes["snapshot_bytes"].value,
        snapshot_core=kept
        * slopes["snapshot_write"].value
        / MICRO
        / snapshot_s,
        recover_s=kept * slopes["snapshot_read"].value / MICRO,
    )


def node_reads(target: Target, processes: int) -> dict[str, float]:
    """Reads a second of the store by one entry, by purpose."""
    fleet = Fleet(size=target.nodes)
    return {
        "head": 1 / poll_interval_s(fleet),
        "own_row": 2 / fleet.validity_s,
        "directory": 1 / FOLLOW_S,
        "refresh": 1 / refresh_s(processes),
        "shards": 1 / max(MAINTAIN_S, target.nodes / LOOKS_PER_S),
    }


def refresh_s(processes: int) -> float:
    """Seconds between two writes of a member's row."""
    return max(MIN_REFRESH_S, processes / ROW_WRITES_PER_S)


def store_load(target: Target, controls: int) -> tuple[float, float]:
    """Reads and writes a second of the store by the whole fleet."""
    processes = target.nodes + controls
    reads = node_reads(target, processes)
    per_entry = sum(reads.values())
    per_control = per_entry - reads["shards"]
    # Three candidates look at the directory's lease; its holder scans also.
    duty = 4 / DUTY_S
    total = target.nodes * per_entry + controls * per_control + duty
    rows = processes / refresh_s(processes)
    writes = Fleet().store_writes_per_s + rows + 1 / DUTY_S
    return total, writes + target.changes / DAY_S


def probed(target: Target) -> float:
    """Workers that one entry probes."""
    return PROBERS * target.workers / target.nodes


def node_core(slopes: Mapping[str, Slope], target: Target) -> dict[str, float]:
    """Shares of a core that control takes on an entry, by purpose."""
    messages = slopes["member_messages"].at(target.nodes)
    parsing = (
        slopes["parse_per_workspace"].at(target.workspaces)
        + slopes["parse_per_worker"].value * target.workers
    )
    found = {
        "idle": slopes["idle_processor"].at(target.nodes),
        "members": slopes["member_processor"].at(target.nodes),
        # A call and its reply are two of the messages counted at one end.
        "links": messages / 2 * slopes["link_call"].value / 2,
        "probes": probed(target) * slopes["probe_processor"].value,
        "share": slopes["probe_share"].at(target.workers) / PROBE_S,
        "changes": target.changes * parsing / DAY_S,
    }
    return {name: value / MICRO for name, value in found.items()}


def node_bytes(slopes: Mapping[str, Slope], target: Target) -> dict[str, float]:
    """Bytes a second of control on an entry, by purpose."""
    idle = slopes["idle_bytes"].at(target.nodes)
    rows = slopes["idle_bytes_shards"].value * Fleet().claim_shards
    # The idle entry measured was alone, hence the directory's writer too.
    each = (idle - rows) / slopes["idle_reads"].at(target.nodes)
    reads = node_reads(target, target.nodes + target.controls)
    mean, _ = push_bytes(slopes, target)
    return {
        "reads": sum(reads.values()) * each,
        "shard_rows": rows,
        "members": slopes["member_bytes"].at(target.nodes),
        "probes": probed(target) * slopes["probe_bytes"].value,
        "changes": mean * target.changes / DAY_S,
    }


def push_bytes(
    slopes: Mapping[str, Slope], target: Target
) -> tuple[float, float]:
    """Bytes of a change at a node: the mean, and the most at any."""
    measured = packed_bytes(20, 60)
    full = packed_bytes(target.workspaces, target.workers)
    mean = slopes["push_bytes_mean"].at(target.nodes)
    most = slopes["push_bytes_most"].at(target.nodes)
    return mean + 2 * (full - measured), most + FAN_OUT * (full - measured)


def packed_bytes(workspaces: int, workers: int) -> int:
    """Size of a configuration as it is pushed."""
    return len(zlib.compress(configuration_text(workspaces, workers).encode()))


def in_force_s(slopes: Mapping[str, Slope], target: Target) -> float:
    """Processor time along the longest way of a push, one node a level."""
    parsing = (
        slopes["parse_per_workspace"].at(target.workspaces)
        + slopes["parse_per_worker"].value * target.workers
    )
    depth = levels(target.nodes // FAN_OUT)
    return depth * parsing / MICRO
