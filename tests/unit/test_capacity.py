"""The page of capacity follows from its measured slopes."""

import attrs
import pytest

from benchmarks.slopes import FACTOR, PARTS, is_off
from benchmarks.slopes_figures import derive
from benchmarks.slopes_fit import Slope, fit, read_slopes, write_slopes
from benchmarks.slopes_model import Target, shard_load
from benchmarks.slopes_page import FIGURES, PAGE, render, verdict


@pytest.fixture(scope="module")
def slopes():
    return read_slopes(FIGURES)


def test_page_follows_from_the_slopes(slopes):
    assert PAGE.read_text() == render(slopes)


@pytest.mark.parametrize(
    "name", ["owner_per_claim", "claim_bytes", "outage_asks", "judge"]
)
def test_page_changes_with_a_slope(slopes, name):
    other = attrs.evolve(slopes[name], value=3 * slopes[name].value)
    figures = {**slopes, name: other}
    rows = [row for row in render(figures).splitlines() if name not in row]
    assert not set(rows) <= set(PAGE.read_text().splitlines())


def test_every_slope_names_a_part_that_measures_it(slopes):
    for slope in slopes.values():
        assert slope.command.split()[-1] in PARTS
        assert len(slope.sizes) >= 2


def test_owner_by_hand(slopes):
    load = shard_load(slopes, Target(), 16)
    assert load.claims == 231.25
    assert load.interval_s == pytest.approx(16 / 240)
    kept = 231.25 * 600
    assert load.memory == pytest.approx(kept * slopes["memory_per_claim"].value)


def test_reads_by_hand(slopes):
    found = derive(slopes)
    head, own_row, directory, shards = 1.0, 0.5, 0.5, 200 / 420
    refresh = 20 / 423
    entry = head + own_row + directory + shards + refresh
    control = entry - shards
    assert found["reads"] == pytest.approx(420 * entry + 3 * control + 4)


def test_fit_of_a_line_is_exact():
    slope = fit("n", "x", "us", [1, 2, 4], [5, 7, 11], "claims")
    assert slope.value == pytest.approx(2)
    assert slope.base == pytest.approx(3)
    assert slope.error == pytest.approx(0, abs=1e-9)


def test_figures_survive_writing(tmp_path, slopes):
    write_slopes(tmp_path / "figures.toml", slopes)
    assert read_slopes(tmp_path / "figures.toml") == slopes


@pytest.mark.parametrize(
    ("times", "off"), [(1.0, False), (1.9, False), (2.1, True), (0.45, True)]
)
def test_a_figure_off_by_more_than_the_factor_is_found(times, off):
    page = Slope("n", "x", "us", 2.0, 3.0, 0.0, [1.0, 10.0], "c")
    found = attrs.evolve(page, value=2.0 * times, base=3.0 * times)
    assert is_off(page, found) is off
    assert FACTOR == 2.0


def test_verdict_says_by_how_much():
    assert verdict(1.0, 4.0) == "holds, 25% used"
    assert verdict(8.0, 4.0) == "**does not hold**, 2.0 times the limit"
