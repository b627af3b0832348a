"""Which long prompts are on their way to model engines, told between entries.

Load answered: many entries before few engines. A worker reads prompts one
after another, and a prompt that another entry sent there a moment ago is in no
report yet. Each entry tells the others of the long prompts that it sends. It
is a hint: what is told counts for as long as the reading likely takes, and may
be lost. Without it sends for a larger model often take much longer than was
foreseen.
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
from rattanpier._internal.utils.samples import FadingSum

# Shorter reading holds up nobody by what callers notice, and is most of all
# prompts: those for the smallest model and those that are kept in memory.
MIN_PUBLISHED_READ_S = 0.1
# What an entry hears in a second at most, on average; where the fleet sends
# more long prompts, some are not told of, whatever its size.
MAX_RECEIVED_PER_S = 200.0
RATE_HALF_LIFE_S = 5.0  # Of the count of own prompts.
# Taken where fewer were sent: after a start the count says little, and all
# entries of a large fleet may start at once.
MIN_ASSUMED_RATE_PER_S = 0.5
# Nobody waits for longer than that behind one prompt: a wrong estimate of
# another entry must not close a worker for all.
MAX_READ_S = 5.0


@attrs.define(eq=False, repr=False)
class PromptUpdates:
    """Tells the others of prompts, and takes in what they tell.

    Attributes:
      send: Sends some entries a hint.
      rng: Draws which prompts are told of where not all are.
      sent: Own long prompts lately.
      ids_by_hash: Ids of workers by their hashes.
    """

    fleet: Fleet
    directory: WorkerDirectory
    loads: Loads
    send: Callable[[Iterable[Member], peer_pb2.Notice], None]
    clock: Clock
    rng: random.Random
    sent: FadingSum = attrs.Factory(lambda: FadingSum(RATE_HALF_LIFE_S))
    ids_by_hash: dict[int, str] = attrs.Factory(dict)

    def publish(
        self, worker: str, model: str, prompt: Prompt, read_s: float
    ) -> None:
        """Tells the others of a prompt that is sent to a worker.

        Args:
          worker: Its id.
          model: That reads the prompt.
          prompt: Its parts are kept there from then on.
          read_s: Seconds in which the worker likely reads it.
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
        """Returns the share of own long prompts that the others are told of.

        All entries send at about the same rate, so that each hears of this
        entry's rate times the number of entries.
        """
        # A sum that halves every half-life holds rate times half-life / ln 2.
        per_s = self.sent.total * math.log(2.0) / RATE_HALF_LIFE_S
        received_per_s = max(MIN_ASSUMED_RATE_PER_S, per_s) * self.fleet.size()
        return MAX_RECEIVED_PER_S / received_per_s

    def apply_notice(self, notice: peer_pb2.Notice) -> None:
        """Takes in what another entry tells."""
        message = notice.prompt_sent
        # Not a number compares as false.
        is_time = MIN_PUBLISHED_READ_S <= message.read_s < float("inf")
        worker = self.worker_for_hash(message.worker)
        if is_time and worker is not None:
            read_s = min(MAX_READ_S, message.read_s)
            self.loads.note_others_prompt(worker, read_s)
            self.loads.note_parts(worker, message.parts)

    def worker_for_hash(self, worker_hash: int) -> str | None:
        """Returns the id of a worker that is told as a hash; None if gone."""
        known = self.ids_by_hash.get(worker_hash)
        if known in self.directory.workers:
            return known
        self.ids_by_hash = {short_hash(id): id for id in self.directory.workers}
        return self.ids_by_hash.get(worker_hash)
