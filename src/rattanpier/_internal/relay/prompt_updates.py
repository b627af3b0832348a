"""Shares between entries which long prompts were sent to model engines.

Meant for many entries in front of few engines. A worker reads prompts one
after another, and its reports do not yet include a prompt that another entry
sent a moment ago, so each entry notifies its peers of the long prompts that it
sends. The notice is a hint: it counts for the estimated reading time and may be
lost. Without it, requests for a larger model often take much longer than
predicted.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable

import attrs

from rattanpier._internal.models.member import Member
from rattanpier._internal.models.relay_request import Prompt
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.load import Loads, part_keys
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import short_hash
from rattanpier._internal.utils.samples import DecayingSum

# Prompts that are read faster cause no delay that callers notice. They are the
# majority: prompts for the smallest model and prompts that are cached.
MIN_PUBLISHED_READ_S = 0.1
# Maximum average rate of notices that an entry receives, at any fleet size. If
# the fleet sends more long prompts, only a sample of them is published.
MAX_RECEIVED_PER_S = 200.0
RATE_HALF_LIFE_S = 5.0  # Of the count of long prompts sent by this entry.
# Lower bound of the assumed rate: after a start the count is not yet reliable,
# and all entries of a large fleet may start at once.
MIN_ASSUMED_RATE_PER_S = 0.5
# Upper bound of the reading time of one prompt: a wrong estimate by one entry
# must not close a worker for all entries.
MAX_READ_S = 5.0


@attrs.define(eq=False, repr=False)
class PromptUpdates:
    """Publishes the long prompts of this entry and applies those of peers.

    Attributes:
      fleet: Known states of all entries.
      directory: Registered workers.
      loads: Known loads of workers.
      send: Sends a notice to some entries; it may be lost.
      clock: Source of monotonic time.
      rng: Selects the prompts to publish if not all of them are.
      sent: Decaying count of long prompts that this entry sent.
      ids_by_hash: Worker ids by their hashes.
    """

    fleet: Fleet
    directory: WorkerDirectory
    loads: Loads
    send: Callable[[Iterable[Member], peer_pb2.Notice], None]
    clock: Clock
    rng: random.Random
    sent: DecayingSum = attrs.Factory(lambda: DecayingSum(RATE_HALF_LIFE_S))
    ids_by_hash: dict[int, str] = attrs.Factory(dict)

    def publish(
        self, worker: str, model: str, prompt: Prompt, read_s: float
    ) -> None:
        """Notifies the peers of a long prompt that is sent to a worker.

        Args:
          worker: Id of the worker.
          model: Model that reads the prompt.
          prompt: The prompt, whose parts the worker caches from then on.
          read_s: Estimated seconds that the worker takes to read the prompt.
        """
        if read_s < MIN_PUBLISHED_READ_S:
            return
        self.sent.add(1.0, self.clock.monotonic())
        if self.rng.random() >= self.published_share():
            return
        message = peer_pb2.PromptSent(
            worker=short_hash(worker),
            read_s=read_s,
            parts=part_keys(model, prompt),
        )
        self.send(self.fleet.ring(), peer_pb2.Notice(prompt_sent=message))

    def published_share(self) -> float:
        """Returns the share of this entry's long prompts to publish.

        All entries send at about the same rate, so without a limit each would
        receive this entry's rate times the number of entries.
        """
        # A sum that halves every half-life converges to
        # rate * half-life / ln 2.
        per_s = self.sent.total * math.log(2.0) / RATE_HALF_LIFE_S
        received_per_s = max(MIN_ASSUMED_RATE_PER_S, per_s) * self.fleet.size()
        return MAX_RECEIVED_PER_S / received_per_s

    def apply_notice(self, notice: peer_pb2.Notice) -> None:
        """Applies a notice from a peer; ignores one that is not valid."""
        message = notice.prompt_sent
        # NaN compares as false.
        is_time = MIN_PUBLISHED_READ_S <= message.read_s < float("inf")
        worker = self.worker_for_hash(message.worker)
        if is_time and worker is not None:
            read_s = min(MAX_READ_S, message.read_s)
            self.loads.apply_peer_prompt(worker, read_s)
            self.loads.record_cached_parts(worker, message.parts)

    def worker_for_hash(self, worker_hash: int) -> str | None:
        """Returns the id of the worker with a hash, or None if unknown."""
        known = self.ids_by_hash.get(worker_hash)
        if known in self.directory.workers:
            return known
        self.ids_by_hash = {short_hash(id): id for id in self.directory.workers}
        return self.ids_by_hash.get(worker_hash)
