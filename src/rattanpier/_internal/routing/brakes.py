"""Brakes: versions that this node stopped using ahead of the configuration.

A brake only restricts what may run, so it takes effect at once and spreads from
peer to peer without the store. It remains until a newer configuration revision
decides on the version; only a revision can lift it.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterator
from typing import Any

import attrs
import structlog
from reactivex.subject import BehaviorSubject

from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import encode
from rattanpier._internal.utils.hashing import stable_hash
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="brakes")

FANOUT = 3  # Peers that each notice is sent to.
RESEND_INTERVAL_S = 1.0  # For peers that missed a notice.


@attrs.frozen
class BrakeRecord:
    """One version that gets no new work.

    Attributes:
      version: The version.
      reason: One sentence, for logs and operators.
      origin: Who set the brake: a process or an operator.
      rollout: The roll-out it belongs to, or empty.
      sequence: Configuration revision in force at the origin.
      decision: Digest of that revision's decisions on the version.
    """

    version: str
    reason: str
    origin: str
    rollout: str
    sequence: int
    decision: int


def decision_digest(configuration: Configuration, version: str) -> int:
    """Returns a digest of a configuration's decisions on a version.

    It changes when the version's state or one of its roll-outs changes, and
    not when an operator changes something else.
    """
    return stable_hash("\x1f".join(describe_decisions(configuration, version)))


def describe_decisions(
    configuration: Configuration, version: str
) -> Iterator[str]:
    """Yields a text for each decision of a configuration on a version."""
    known = configuration.versions.get(version)
    yield known.state.value if known else "unknown"
    for name, rollout in sorted(configuration.rollouts.items()):
        if version in (rollout.stable, rollout.candidate):
            yield f"{name}={encode(rollout)}"


@attrs.define
class Brakes(Collection[str]):
    """The brakes that this node knows; a collection of versions.

    Attributes:
      configuration: Emits each configuration that takes effect.
      own_name: Member name of this node.
      peers: Returns the live members by name.
      links: Connections to peers.
      clock: Source of time for the pause between notices.
      metrics: Counts brakes applied and sent.
      rng: Chooses the peers that get a notice.
      active: Brakes by version.
      changed: Emits the braked versions whenever they change.
    """

    configuration: BehaviorSubject[Configuration]
    own_name: str
    peers: Callable[[], dict[str, Member]]
    links: Links
    clock: Clock
    metrics: Metrics
    rng: random.Random
    active: dict[str, BrakeRecord] = attrs.Factory(dict)
    changed: BehaviorSubject[frozenset[str]] = attrs.field(
        factory=lambda: BehaviorSubject(frozenset())
    )

    def __attrs_post_init__(self) -> None:
        """Subscribes to configuration changes."""
        self.configuration.subscribe(lambda _: self.drop_superseded())

    def __contains__(self, version: object) -> bool:
        """Returns whether a version is braked."""
        return version in self.active

    def __iter__(self) -> Iterator[str]:
        """Iterates over the braked versions."""
        return iter(self.active)

    def __len__(self) -> int:
        """Returns how many versions are braked."""
        return len(self.active)

    def apply(
        self, version: str, reason: str, origin: str, rollout: str = ""
    ) -> BrakeRecord:
        """Brakes a version here and notifies peers.

        Args:
          version: The version to stop.
          reason: One sentence, for logs and operators.
          origin: Who sets the brake.
          rollout: The roll-out that it belongs to, or empty.
        """
        current = self.configuration.value
        record = BrakeRecord(
            version=version,
            reason=reason,
            origin=origin,
            rollout=rollout,
            sequence=current.revision,
            decision=decision_digest(current, version),
        )
        self.apply_record(record)
        return self.active.get(version, record)

    def apply_record(self, record: BrakeRecord) -> None:
        """Applies a brake, and forwards it to peers if it is new."""
        if self.is_superseded(record):
            return
        known = self.active.get(record.version)
        if known is not None and known.sequence >= record.sequence:
            return
        self.active[record.version] = record
        if known is None:
            self.metrics.count("brakes.applied")
            log.warning(
                "Version braked.",
                version=record.version,
                reason=record.reason,
                origin=record.origin,
            )
        self.publish()
        self.send([record])

    def is_superseded(self, record: BrakeRecord) -> bool:
        """Returns whether a newer revision has decided on the version."""
        current = self.configuration.value
        if current.revision <= record.sequence:
            return False
        return decision_digest(current, record.version) != record.decision

    def drop_superseded(self) -> None:
        """Drops the brakes that the current configuration supersedes."""
        superseded = [
            record
            for record in self.active.values()
            if self.is_superseded(record)
        ]
        for record in superseded:
            del self.active[record.version]
            log.info(
                "Brake lifted by a newer revision.", version=record.version
            )
        if superseded:
            self.publish()

    def publish(self) -> None:
        """Emits the braked versions."""
        self.changed.on_next(frozenset(self.active))

    def send(self, records: Collection[BrakeRecord]) -> None:
        """Sends brakes to a few random peers."""
        peers = [
            member
            for name, member in sorted(self.peers().items())
            if name != self.own_name
        ]
        targets = self.rng.sample(peers, min(FANOUT, len(peers)))
        for member in targets:
            for record in records:
                brake = peer_pb2.Brake(**attrs.asdict(record))
                self.links.to(member).notify(peer_pb2.Notice(brake=brake))
                self.metrics.count("brakes.sent")

    def receive(self, notice: peer_pb2.Notice) -> None:
        """Applies the brake in a notice from a peer."""
        self.apply_record(decode_brake(notice.brake))

    async def run(self, kernel: Kernel) -> None:
        """Resends active brakes, for peers that missed them or are new."""
        while not kernel.stopping.is_set():
            self.send(list(self.active.values()))
            await self.clock.sleep(RESEND_INTERVAL_S)


def decode_brake(brake: Any) -> BrakeRecord:
    """Returns a brake decoded from its message."""
    return BrakeRecord(
        version=brake.version,
        reason=brake.reason,
        origin=brake.origin,
        rollout=brake.rollout,
        sequence=brake.sequence,
        decision=brake.decision,
    )
