"""Fault schedule of a soak run, drawn from its seed."""

import enum
import random

import attrs

from rattanpier._internal.standin.platform_store import StoreFault
from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.soak.proxy import PathFault

STARTUP_S = 1.0  # No faults at first, so that everything is up.
FAULTS_S = 6.0
MAX_FAULT_S = 2.5


class Kind(enum.StrEnum):
    """Kind of a fault or of a planned operation."""

    STORE = "store"
    STORE_PATH = "store_path"  # Path from one entry to the store.
    WORKER_PATH = "worker_path"
    WORKER = "worker"
    COMPACT = "compact"
    FREEZE = "freeze"
    KILL = "kill"
    STOP = "stop"  # A planned stop, followed by a restart.
    RELOAD = "reload"
    MANIFEST = "manifest"
    DRAIN = "drain"  # A worker's registration says "draining".
    LEAVE = "leave"  # A registration is removed without notice.
    DRAIN_DOMAIN = "drain_domain"  # Operators drain a failure domain.
    COLD = "cold"  # A worker has little capacity for a while.
    LIMIT = "limit"  # A worker states a rate limit in its answers.
    SAY_LEAVE = "say_leave"  # A worker announces in its answers that it leaves.
    REST = "rest"  # A worker rejects all requests, asks for a pause.
    RESTORE = "restore"  # The store is restored from an older copy.
    CRASHING_PART = "crashing_part"  # A prompt part crashes model engines.


RESTORE_SHARE = 0.4  # Fraction of seeds with a restore of the store.
CRASHING_PART_SHARE = 0.35  # Fraction of seeds with a part that crashes.
CRASHING_PART_S = 6.0
SEPARATE_KINDS = (Kind.RESTORE, Kind.CRASHING_PART)
DRAWN_KINDS = [kind for kind in Kind if kind not in SEPARATE_KINDS]

DETAILS = {
    Kind.STORE: [StoreFault.BUSY, StoreFault.SILENT, StoreFault.LOST],
    Kind.STORE_PATH: list(PathFault)[1:],
    Kind.WORKER_PATH: list(PathFault)[1:],
    Kind.WORKER: [
        fault for fault in WorkerFault if fault is not WorkerFault.NONE
    ],
}


@attrs.frozen
class Fault:
    """One fault.

    `target` is the index of an entry or a worker, `detail` the variant.
    """

    at: float
    kind: Kind
    target: int
    for_s: float
    detail: object = None


def draw_faults(seed, entries, workers):
    """Returns the faults of a run by time; they may overlap."""
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(3, 9)):
        kind = rng.choice(DRAWN_KINDS)
        details = DETAILS.get(kind)
        many = rng.randint(1, 3) if kind in (Kind.STOP, Kind.RELOAD) else 1
        at = STARTUP_S + rng.uniform(0.0, FAULTS_S)
        for number in range(many):
            faults.append(
                Fault(
                    at=at + 0.3 * number,
                    kind=kind,
                    target=rng.randrange(max(entries, workers)),
                    for_s=rng.uniform(0.3, MAX_FAULT_S),
                    detail=rng.choice(details) if details else None,
                )
            )
    faults += draw_restores(seed)
    faults += draw_crashing_part(seed)
    return sorted(faults, key=lambda fault: fault.at)


def draw_restores(seed):
    """Returns up to two restores of the store, seconds apart.

    They use a separate generator, so that the other faults of a seed do not
    change.
    """
    rng = random.Random(f"restore/{seed}")
    if rng.random() > RESTORE_SHARE:
        return []
    at = STARTUP_S + rng.uniform(0.0, FAULTS_S / 2)
    return [
        Fault(at + number * FAULTS_S / 2, Kind.RESTORE, 0, rng.uniform(0.3, 2))
        for number in range(rng.randint(1, 2))
    ]


def draw_crashing_part(seed):
    """Returns up to one period in which a part of prompts crashes workers.

    It uses a separate generator as well.
    """
    rng = random.Random(f"crashing parts/{seed}")
    if rng.random() > CRASHING_PART_SHARE:
        return []
    at = STARTUP_S + rng.uniform(0.0, FAULTS_S / 3)
    return [Fault(at, Kind.CRASHING_PART, 0, CRASHING_PART_S)]
