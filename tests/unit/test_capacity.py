"""The page of capacity follows from the sweeps in the journal."""

import pytest

from benchmarks.capacity import (
    PAGE,
    SWEEPS,
    TARGET_ENTRIES,
    Measure,
    carried_on,
    measure_rows,
    read_measures,
    read_sweep,
    render,
)


@pytest.fixture(scope="module")
def sweeps():
    return [read_sweep(id) for id in SWEEPS]


def test_page_follows_from_the_sweeps(sweeps):
    assert PAGE.read_text() == render(sweeps)


def test_each_sweep_has_all_sizes_of_each_measure(sweeps):
    for sweep in sweeps:
        assert sweep.measures
        for measure in sweep.measures:
            assert len(measure.middle) == len(sweep.days)
            assert len(measure.busiest) == len(sweep.days)


def test_page_tells_of_rules_that_were_broken(sweeps):
    for sweep in sweeps:
        for day in sweep.days:
            for rule in day.rules:
                assert rule in PAGE.read_text()


def test_what_is_flat_stays_and_what_doubles_goes_on_to():
    sizes = (30, 105, 210)
    assert carried_on(sizes, (4.0, 4.0, 4.0), TARGET_ENTRIES) == 4.0
    grown = carried_on(sizes, (3.0, 10.5, 21.0), TARGET_ENTRIES)
    assert grown == pytest.approx(42.0)


def test_a_table_is_read_and_written_whole(sweeps):
    text = "entry: processor %    6.1 / 8.1   4.3 / 13.4   0.52  57.4\nother\n"
    assert read_measures(text) == [
        Measure("entry: processor %", (6.1, 4.3), (8.1, 13.4))
    ]
    for sweep in sweeps:
        rows = measure_rows(sweep)[2:]
        assert len(rows) == len(sweep.measures)
        for row, measure in zip(rows, sweep.measures, strict=True):
            assert row.startswith(f"| {measure.name} |")
