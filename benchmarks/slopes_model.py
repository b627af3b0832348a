"""What a node takes at the target, worked out from slopes and settings.

Everything here is arithmetic on docs/capacity.toml and on constants of the
code; nothing is measured.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping

import attrs

from benchmarks.slopes_fit import Slope
from benchmarks.slopes_fleet import (
    MESSAGE_OVERHEAD,
    currency_bytes,
    worker_notice_bytes,
)
from benchmarks.slopes_routing import configuration_text
from rattanpier._internal.claims.compaction import COMPACT_BATCHES
from rattanpier._internal.claims.ownership import (
    LOOKS_PER_S,
    MAINTAIN_S,
    TAKE_ANY_S,
)
from rattanpier._internal.configuration.follow import poll_interval_s
from rattanpier._internal.configuration.inforce import MARGIN_S
from rattanpier._internal.configuration.spread import (
    FAN_OUT,
    LEVEL_TIMEOUT_S,
    levels,
)
from rattanpier._internal.membership.members import (
    DUTY_S,
    FOLLOW_S,
    MIN_REFRESH_S,
    ROW_WRITES_PER_S,
)
from rattanpier._internal.membership.probing import (
    INDIRECT_TIMEOUT_S,
    PING_TIMEOUT_S,
)
from rattanpier._internal.membership.probing import PROBE_S as MEMBER_PROBE_S
from rattanpier._internal.membership.ring import OFFSETS
from rattanpier._internal.membership.workers import (
    PROBE_S,
    PROBERS,
    REMIND_S,
)
from rattanpier._internal.models.configuration import Fleet
from rattanpier._internal.rollout.collect import (
    NOTICES_PER_S,
    ROWS_PER_NOTICE,
    send_interval_s,
)

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


def derive(slopes: Mapping[str, Slope]) -> dict[str, float]:
    """Returns every derived figure of the page, by name."""
    target = Target()
    found: dict[str, float] = dict(attrs.asdict(target))
    for shards in (16, 64, 128):
        load = shard_load(slopes, target, shards)
        for name, value in attrs.asdict(load).items():
            found[f"s{shards}_{name}"] = value
    core = node_core(slopes, target)
    weight = node_bytes(slopes, target)
    found |= {f"core_{name}": value for name, value in core.items()}
    found |= {f"bytes_{name}": value for name, value in weight.items()}
    found["core"] = sum(core.values())
    found["bytes"] = sum(weight.values())
    found["reads"], found["writes"] = store_load(target, target.controls)
    found["reads_all"], found["writes_all"] = store_load(target, target.nodes)
    for name, value in node_reads(
        target, target.nodes + target.controls
    ).items():
        found[f"reads_{name}"] = value
    found["reads_node"] = sum(
        node_reads(target, target.nodes + target.controls).values()
    )
    found["push_mean"], found["push_most"] = push_bytes(slopes, target)
    found["packed"] = packed_bytes(target.workspaces, target.workers)
    found["in_force_s"] = in_force_s(slopes, target)
    found |= entry_figures(slopes, target)
    found |= fault_figures(slopes, target, found)
    found |= driver_figures(slopes, target)
    found |= shown(slopes, target, found)
    return found


def shown(
    slopes: Mapping[str, Slope], target: Target, found: Mapping[str, float]
) -> dict[str, float]:
    """Figures of the page that are others in another unit, or doubled."""
    in_mib = ("entry_memory", "control_memory", "driver_memory", "s64_memory")
    return {
        **{f"{name}_mib": found[name] / MIB for name in in_mib},
        "s64_claims_twice": 2 * found["s64_claims"],
        "node_requests_twice": 2 * found["node_requests"],
        "member_messages": slopes["member_messages"].at(target.nodes),
        "orders_workers": (CORE_LIMIT * MICRO - slopes["orders_processor"].base)
        / slopes["orders_processor"].value,
        "log_all_mb": 16 * found["s16_log_bytes"] / MICRO,
        "batch_gain": slopes["link_call"].value
        / slopes["link_call_batched"].value,
        "answer_memory": 1
        - slopes["memory_without_answer"].value
        / slopes["memory_per_claim"].value,
        "answer_bytes_share": 1
        - found["claim_bytes_bare"] / found["claim_bytes"],
        # Alone it refreshes its row at the fastest, and has two more reads
        # each second as the directory's writer.
        "idle_reads_expected": found["reads_node"]
        - found["reads_refresh"]
        + 1 / MIN_REFRESH_S
        + 2 / DUTY_S,
        "idle_reads_420": slopes["idle_reads"].at(target.nodes),
        "member_writes_420": slopes["member_writes_all"].at(target.nodes),
        "member_reads_420": slopes["member_reads_all"].at(target.nodes),
    }


def entry_figures(
    slopes: Mapping[str, Slope], target: Target
) -> dict[str, float]:
    """An entry's work on callers' requests."""
    requests = target.requests / target.nodes
    chunks = target.tokens / target.nodes
    return {
        "node_requests": requests,
        "node_chunks": chunks,
        "data_requests": requests * slopes["entry_per_request"].value / MICRO,
        "data_chunks": chunks * slopes["entry_per_chunk"].value / MICRO,
        "placement_us": slopes["placement_per_worker"].at(target.workers),
        "placement_core": requests
        * slopes["placement_per_worker"].at(target.workers)
        / MICRO,
        "lookup_us": slopes["workspace_lookup"].at(target.workspaces),
        "plan_us": slopes["plan_per_rule"].at(target.rules),
        "rules_core": requests
        * (
            slopes["workspace_lookup"].at(target.workspaces)
            + slopes["plan_per_rule"].at(target.rules)
        )
        / MICRO,
        "claim_bytes": requests * slopes["claim_bytes"].at(target.answer_bytes),
        "claim_bytes_bare": requests * slopes["claim_bytes"].base,
        "entry_memory": slopes["idle_memory"].at(Fleet().claim_shards),
        "control_memory": slopes["control_memory"].base,
        "probed": probed(target),
    }


def fault_figures(
    slopes: Mapping[str, Slope], target: Target, found: Mapping[str, float]
) -> dict[str, float]:
    """What faults cost."""
    asked = slopes["outage_asks"].at(target.nodes)
    # Each worker that is out is told of by its probers, again and again,
    # over all links of the ring, and each message has two ends.
    told = PROBERS / REMIND_S * 2 * len(OFFSETS)
    out = target.workers / target.domains
    detect = MEMBER_PROBE_S + PING_TIMEOUT_S + INDIRECT_TIMEOUT_S
    look = max(MAINTAIN_S, target.nodes / LOOKS_PER_S)
    fleet = Fleet(size=target.nodes)
    return {
        "outage_asks": asked,
        "outage_asks_each": slopes["outage_asks"].value,
        "outage_core": asked * slopes["link_call"].value / MICRO,
        # Asked and being asked.
        "outage_bytes": 2 * asked * currency_bytes(),
        "out_workers": out,
        "out_messages": out * told,
        "out_bytes": out * told * worker_notice_bytes(),
        "out_core": out * told * slopes["link_call"].value / 4 / MICRO,
        "domain_nodes": target.nodes / target.domains,
        "detect_s": detect,
        "detect_twice_s": 2 * detect,
        "look_s": look,
        "take_any_s": TAKE_ANY_S,
        "reown_s": detect + look + found["s16_recover_s"],
        "reown_late_s": 2 * detect + look + TAKE_ANY_S + found["s16_recover_s"],
        "reown64_s": detect + look + found["s64_recover_s"],
        "expired_s": fleet.validity_s + MARGIN_S,
        "push_round_s": LEVEL_TIMEOUT_S * levels(target.nodes // FAN_OUT),
        "leave_bytes": MESSAGE_OVERHEAD * (target.nodes - 1),
    }


def driver_figures(
    slopes: Mapping[str, Slope], target: Target
) -> dict[str, float]:
    """A roll-out driver's work, and a control process's with orders."""
    # A notice is one message at one end; a call and its reply are four.
    notice_us = slopes["evidence_take"].value + slopes["link_call"].value / 4
    judge_us = slopes["judge"].at(target.workspaces)
    rows = 2 * target.workspaces
    interval_s = send_interval_s(Fleet(size=target.nodes))
    return {
        "driver_notices": NOTICES_PER_S,
        "driver_notice_core": NOTICES_PER_S * notice_us / MICRO,
        "driver_judge_core": judge_us / MICRO,
        "driver_core": (NOTICES_PER_S * notice_us + judge_us) / MICRO,
        "driver_judge10_core": slopes["judge"].at(10) / MICRO,
        "driver_bytes": NOTICES_PER_S
        * slopes["evidence_bytes"].at(ROWS_PER_NOTICE),
        "driver_memory": slopes["evidence_memory"].at(target.nodes)
        * rows
        / ROWS_PER_NOTICE,
        "evidence_interval_s": interval_s,
        "evidence_round_s": rows / ROWS_PER_NOTICE * interval_s,
        "evidence_entry_bytes": slopes["evidence_bytes"].at(ROWS_PER_NOTICE)
        / interval_s,
        "orders_core": slopes["orders_processor"].at(target.workers) / MICRO,
        "orders_bytes": slopes["orders_bytes"].at(target.workers),
    }
