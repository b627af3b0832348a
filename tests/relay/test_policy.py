"""Mechanisms that operators can disable."""

import attrs
import pytest

from rattanpier._internal.cli.relay import load_policy
from rattanpier._internal.exceptions import SettingsError
from rattanpier._internal.models.policy import DEFAULT_POLICY, Policy
from rattanpier._internal.relay.health import Health
from rattanpier._internal.relay.model_choice import (
    KeepReason,
    LargerModelEstimate,
    first_model,
    judge_answer,
)
from tests.lib.clock import ManualClock
from tests.lib.counters import ROOT
from tests.lib.engines import make_chooser
from tests.lib.platform_site import (
    LARGE,
    SMALL,
    platform_site,
)
from tests.lib.relay_parts import make_chat, make_worker, make_workers


def without(**off):
    return attrs.evolve(DEFAULT_POLICY, **off)


def test_all_mechanisms_are_enabled_by_default(tmp_path):
    path = tmp_path / "policy.toml"
    path.write_text("")
    assert load_policy(str(path)) == DEFAULT_POLICY
    assert all(attrs.astuple(DEFAULT_POLICY))


def test_a_mechanism_is_disabled_by_name(tmp_path):
    path = tmp_path / "policy.toml"
    path.write_text("cascade = false\n")
    assert load_policy(str(path)) == without(cascade=False)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("cascades = false", "unknown key 'cascades'"),
        ('cascade = "off"', "true or false"),
        ("cascade = 0", "true or false"),
        ("cascade =", "Invalid value"),
    ],
)
def test_an_invalid_file_is_rejected_with_the_line_number(tmp_path, text, said):
    path = tmp_path / "policy.toml"
    path.write_text(f"\n{text}\n")
    with pytest.raises(SettingsError, match=said) as caught:
        load_policy(str(path))
    assert "policy.toml:2" in caught.value.message


def test_each_switch_is_documented_for_operators():
    page = (ROOT / "docs" / "operators" / "policy.md").read_text()
    for field in attrs.fields(Policy):
        assert f"`{field.name}`" in page


def test_the_largest_model_is_asked_first_without_start_small():
    assert first_model(make_chat(), without(start_small=False)) == "large"


def test_reasons_to_keep_an_answer_can_be_disabled():
    busy, late = (
        LargerModelEstimate(9.0, 0.5, 1.0),
        LargerModelEstimate(0.0, 99.0, 99.0),
    )
    request = make_chat()
    assert judge_answer(request, 40.0, 0.1, busy) is KeepReason.LOAD
    off = without(load_line=False)
    assert judge_answer(request, 40.0, 0.1, busy, off) is None
    assert judge_answer(request, 10.0, 0.1, late) is KeepReason.TIME
    off = without(outlook=False)
    assert judge_answer(request, 10.0, 0.1, late, off) is None


def test_failing_workers_are_used_without_avoidance():
    health = Health(ManualClock(), without(avoidance=False))
    workers = make_workers(4)
    for _ in range(4):
        health.record_unreachable(workers[0])
    assert health.usable(workers) == workers


def test_other_domains_have_no_cost_without_domain_cost():
    entry = make_chooser(ManualClock(), 1)
    far = make_worker("w", domain="b")
    assert entry.is_cross_domain(far)
    entry.policy = without(domain_cost=False)
    assert not entry.is_cross_domain(far)


async def test_without_the_cascade_the_first_answer_is_kept():
    async with platform_site() as site:
        worker = await site.add_worker(
            "w", "engine", confidence={SMALL: 1, LARGE: 90}
        )
        entry = await site.add_entry()
        assert (await site.chat()).complete
        assert [run.headers["x-model"] for run in worker.runs] == [SMALL, LARGE]
        entry.edge.dispatcher.policy = without(cascade=False)
        assert (await site.chat()).complete
        assert worker.runs[-1].headers["x-model"] == SMALL
