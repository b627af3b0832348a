"""Switches for the optional mechanisms of an entry's routing decisions.

Operators disable a mechanism to measure its benefit under their load, or to
exclude it as the cause of a problem.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class Policy(Record):
    """Mechanisms of an entry's decisions; all are enabled by default.

    Attributes:
      cascade: An answer of low confidence is replaced by one of the largest
        model; if disabled, the first answer is kept.
      start_small: The smallest model is asked first; if disabled, the largest.
      load_line: The confidence that an answer needs to be kept falls with load.
      outlook: A larger model is not asked if its answer would come too late.
      finish_smaller: A stream of a larger model that would miss its deadline is
        finished by the smallest model.
      groups: Workers are divided between the smallest model and larger ones.
      homes: Each shared part of prompts is assigned to one worker, which all
        entries compute alike.
      domain_cost: A worker in another failure domain is chosen only if it is
        better by a margin.
      hedges: A slow repeatable request is also sent to a second worker.
      queue_reading: A few entries poll engines for the lengths of their queues.
      prompt_news: Entries send each other updates about long prompts that they
        dispatch.
      worker_pace: Expected times take into account how fast each worker is, if
        workers report how long work takes at the moment.
      avoidance: Workers that fail or can't be reached are avoided for a while.
      hold_sessions: Active sessions keep their version when a roll-out order
        arrives.
      admission: If all workers that are eligible for a request are full, it is
        queued at the entry, or refused at once if it can't be in time.
    """

    cascade: bool = True
    start_small: bool = True
    load_line: bool = True
    outlook: bool = True
    finish_smaller: bool = True
    groups: bool = True
    homes: bool = True
    domain_cost: bool = True
    hedges: bool = True
    queue_reading: bool = True
    prompt_news: bool = True
    worker_pace: bool = True
    avoidance: bool = True
    hold_sessions: bool = True
    admission: bool = True


DEFAULT_POLICY = Policy()
