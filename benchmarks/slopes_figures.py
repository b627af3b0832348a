"""Every derived figure of the page, by name."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from benchmarks.slopes_claims import FRAME_OVERHEAD
from benchmarks.slopes_fit import Slope
from benchmarks.slopes_fleet import (
    MESSAGE_OVERHEAD,
    currency_bytes,
    worker_notice_bytes,
)
from benchmarks.slopes_model import (
    CORE_LIMIT,
    FRAMES_OF_A_CLAIM,
    MIB,
    MICRO,
    Target,
    in_force_s,
    node_bytes,
    node_core,
    node_reads,
    packed_bytes,
    probed,
    push_bytes,
    shard_load,
    store_load,
)
from rattanpier._internal.claims.ownership import (
    LOOKS_PER_S,
    MAINTAIN_S,
    TAKE_ANY_S,
)
from rattanpier._internal.configuration.sightings import CLOCK_MARGIN_S
from rattanpier._internal.configuration.spread import (
    FAN_OUT,
    LEVEL_TIMEOUT_S,
    levels,
)
from rattanpier._internal.membership.members import DUTY_S, MIN_REFRESH_S
from rattanpier._internal.membership.probing import (
    INDIRECT_TIMEOUT_S,
    PING_TIMEOUT_S,
)
from rattanpier._internal.membership.probing import PROBE_S as MEMBER_PROBE_S
from rattanpier._internal.membership.ring import OFFSETS
from rattanpier._internal.membership.workers import PROBERS, REMIND_S
from rattanpier._internal.models.configuration import Fleet
from rattanpier._internal.rollout.collect import (
    NOTICES_PER_S,
    ROWS_PER_NOTICE,
    send_interval_s,
)


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
        "placement_us": slopes["placement"].at(target.workers),
        "placement_growth": slopes["placement"].value * 1000,
        "placement_changed_us": slopes["placement_changed"].at(target.workers),
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
        "claim_frames": requests * FRAMES_OF_A_CLAIM * FRAME_OVERHEAD,
        "entry_memory": slopes["idle_memory"].at(Fleet().claim_shards),
        "control_memory": slopes["control_memory"].base,
        "probed": probed(target),
        "cascade_us": slopes["cascade_request"].value,
        "cascade_core": requests * slopes["cascade_request"].value / MICRO,
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
        "domain_requests": target.requests / target.domains,
        "domain_nodes": target.nodes / target.domains,
        "detect_s": detect,
        "detect_twice_s": 2 * detect,
        "look_s": look,
        "take_any_s": TAKE_ANY_S,
        "reown_s": detect + look + found["s16_recover_s"],
        "reown_late_s": 2 * detect + look + TAKE_ANY_S + found["s16_recover_s"],
        "reown64_s": detect + look + found["s64_recover_s"],
        "expired_s": fleet.validity_s + CLOCK_MARGIN_S,
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
