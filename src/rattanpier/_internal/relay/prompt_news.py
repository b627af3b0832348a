"""Which long prompts are on their way to model engines, told between entries.

Load answered: many entries before few engines. A worker reads prompts one
after another, and a prompt that another entry sent there a moment ago is in no
report yet. Each entry tells the others of the long prompts that it sends. It
is a hint: what is told counts for as long as the reading likely takes, and may
be lost.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.models.relay_request import Prompt
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.load import Loads

# Shorter reading holds up nobody by what callers notice, and is most of all
# prompts: those for the smallest model and those that are kept in memory.
LEAST_TOLD_S = 0.1
# Nobody waits for longer than that behind one prompt: a wrong estimate of
# another entry must not close a worker for all.
MOST_TOLD_S = 5.0


@attrs.define
class PromptNews:
    """Tells the others of prompts, and takes in what they tell."""

    fleet: Fleet
    directory: WorkerDirectory
    loads: Loads
    links: Links

    def tell(
        self, worker: str, model: str, prompt: Prompt, read_s: float
    ) -> None:
        """Tells the others of a prompt that is sent to a worker.

        Args:
          worker: Its id.
          model: That reads the prompt.
          prompt: Its parts are kept there from then on.
          read_s: Seconds in which the worker likely reads it.
        """
        if read_s < LEAST_TOLD_S:
            return
        notice = peer_pb2.Notice(
            prompt_sent=peer_pb2.PromptSent(
                worker=worker,
                read_s=read_s,
                model=model,
                parts=[part.id for part in prompt.parts],
            )
        )
        for other in self.fleet.others.values():
            if not other.down:
                self.links.to(other.member).notify(notice)

    def take_notice(self, notice: peer_pb2.Notice) -> None:
        """Takes in what another entry tells."""
        told = notice.prompt_sent
        # Not a number compares as false.
        is_time = LEAST_TOLD_S <= told.read_s < float("inf")
        if is_time and told.worker in self.directory.workers:
            read_s = min(MOST_TOLD_S, told.read_s)
            self.loads.note_others_prompt(told.worker, read_s)
            self.loads.note_parts(told.worker, told.model, told.parts)
