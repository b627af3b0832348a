"""What an entry decides by: mechanisms that can be switched off, and limits.

Operators switch a mechanism off to see what it is worth on their load, or to
rule it out while they look for a cause.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Policy:
    """Mechanisms of an entry's decisions; all are on by default.

    Attributes:
      cascade: An answer with little confidence is dropped for the largest
        model's; off, the first answer is kept.
      start_small: The smallest model is asked first; off, the largest.
      load_line: Under load a doubtful answer is kept sooner.
      outlook: A larger model is not asked where it would come too late.
      groups: Workers are divided between the smallest model and larger ones.
      homes: Shared parts of prompts belong to a worker that all entries find.
      domain_cost: Workers in other failure domains have to be better.
      hedges: A slow repeatable request goes to a second worker as well.
      queue_reading: A few entries ask engines how many requests wait there.
      prompt_news: Entries tell each other of long prompts that they send.
      avoidance: Workers that fail or are not reached are avoided for a while.
      hold_sessions: Sessions under way stay where they are at an order.
    """

    cascade: bool = True
    start_small: bool = True
    load_line: bool = True
    outlook: bool = True
    groups: bool = True
    homes: bool = True
    domain_cost: bool = True
    hedges: bool = True
    queue_reading: bool = True
    prompt_news: bool = True
    avoidance: bool = True
    hold_sessions: bool = True


DEFAULT_POLICY = Policy()
