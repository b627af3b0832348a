"""Runs soak seeds: `python -m tests.soak.run FIRST COUNT [--jobs=4]`.

With `--manifests=ENTRIES`, runs that many entries under changes of the manifest
instead, see `tests.soak.manifests`. With `--exits`, runs entries that are
stopped, reloaded and frozen in series, see `tests.soak.exits`; `--entries` sets
their number, 0 draws it. With `--repeats`, runs entries that are killed before
workers that fail, see `tests.soak.repeats`; `--entries` as before. `--loads`
does the same with bursts of requests. `--budgets` puts all troubles together
and judges every sentence on repeats, see `tests.soak.budgets`.

Prints each violated guarantee with its seed and keeps the logs of that run.
"""

import asyncio
import functools
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor

import fire

from tests.soak.budgets import judge_budgets, run_budgets
from tests.soak.exits import judge_exits, run_exits
from tests.soak.judge import judge
from tests.soak.manifests import judge_manifests, run_manifests
from tests.soak.repeats import judge_repeats, run_loads, run_repeats
from tests.soak.site import run_seed

OUTPUT_FOLDER = pathlib.Path("out/soak")


def run_one_seed(seed):
    """Runs a seed; returns it, the violations and the number of requests.

    A seed whose run raises an error counts as failed; the others continue.
    """
    with tempfile.TemporaryDirectory() as folder:
        try:
            run = asyncio.run(run_seed(seed, pathlib.Path(folder)))
        except Exception as error:
            keep_output(seed, pathlib.Path(folder))
            return seed, [f"not played: {error!r}"], 0
    broken = list(judge(run))
    if broken:
        keep(run, broken)
    return seed, broken, len(run.calls)


def run_one_seed_of(kind, seed, entries):
    """Does the same with a run of a kind of `KINDS`."""
    play, judge_kind, records = KINDS[kind]
    with tempfile.TemporaryDirectory() as folder:
        run = asyncio.run(play(seed, pathlib.Path(folder), entries))
    broken = list(judge_kind(run))
    if broken:
        keep(run, broken)
    return seed, broken, len(getattr(run, records))


# Functions that play and judge a seed, and the records of its requests.
KINDS = {
    "manifests": (run_manifests, judge_manifests, "probes"),
    "exits": (run_exits, judge_exits, "sent"),
    "repeats": (run_repeats, judge_repeats, "sent"),
    "loads": (run_loads, judge_repeats, "sent"),
    "budgets": (run_budgets, judge_budgets, "sent"),
}


def keep_output(seed, folder):
    """Keeps the output of the processes of a seed that could not be run."""
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    shutil.copytree(folder, OUTPUT_FOLDER / str(seed), dirs_exist_ok=True)


def keep(run, broken):
    """Keeps the violations, faults and log lines of a failed run."""
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    lines = sorted(
        (line for entry in run.entries for line in entry.lines),
        key=lambda line: line["timestamp"],
    )
    with (OUTPUT_FOLDER / f"{run.seed}.jsonl").open("w") as file:
        for sentence in broken:
            file.write(json.dumps({"broken": sentence}) + "\n")
        for fault in getattr(run, "faults", ()):
            file.write(json.dumps({"fault": str(fault)}) + "\n")
        for line in lines:
            file.write(json.dumps(line) + "\n")


def main(
    first=0,
    count=10,
    jobs=4,
    manifests=0,
    exits=False,
    repeats=False,
    loads=False,
    budgets=False,
    entries=0,
):
    """Runs `count` seeds from `first`, or from a random one if it is 0.

    `manifests` is the number of entries of runs under changes of the manifest;
    `exits` runs entries that are stopped and frozen, `repeats` those that are
    killed before failing workers, `loads` the same with bursts of requests,
    `budgets` those with all troubles together; `entries` of them.
    """
    first = first or random.randrange(10**6, 10**7)
    began = time.monotonic()
    failed = 0
    play = run_one_seed
    chosen = {
        "manifests": manifests,
        "exits": exits,
        "repeats": repeats,
        "loads": loads,
        "budgets": budgets,
    }
    for kind in filter(chosen.get, KINDS):
        play = functools.partial(
            run_one_seed_of, kind, entries=manifests or entries
        )
    with ProcessPoolExecutor(jobs) as pool:
        for seed, broken, calls in pool.map(play, range(first, first + count)):
            failed += bool(broken)
            for sentence in broken:
                print(f"seed {seed}: {sentence}")
            print(f"seed {seed}: {calls} requests, {len(broken)} broken")
    seconds = time.monotonic() - began
    print(f"{count} seeds from {first}, {failed} failed, {seconds:.0f} s")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
