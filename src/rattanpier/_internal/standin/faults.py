"""What can be made wrong with a stand-in engine or plain service."""

from __future__ import annotations

import enum

import attrs


class EngineFault(enum.StrEnum):
    """What is wrong with an engine."""

    NONE = "none"
    REFUSE = "refuse"  # 503, says that it did not run the request.
    FAIL = "fail"  # 500, says nothing.
    CUT = "cut"  # Ends the stream half way.
    CUT_BEFORE_ANSWER = "cut_before_answer"  # Runs, then closes.
    STALL = "stall"  # Takes the request and says nothing.
    FORGET = "forget"  # Cuts the stream half way; can't resume it.
    SWAP = "swap"  # Answers two requests with each other's answer.
    DUPLICATE = "duplicate"  # Sends a chunk twice.
    MISSING = "missing"  # Leaves a chunk out.
    REDIRECT = "redirect"  # Sends the caller elsewhere.
    NO_END = "no_end"  # Ends the stream after the text, without its end.


@attrs.define
class EngineFaults:
    """The fault switch.

    Attributes:
      fault: What is wrong now.
      count: How many more requests it hits; -1 for all.
      slowdown: Factor on every duration; 1 for none.
      redirect: Address for the fault of that name.
      bad_versions: Versions whose answers are poor.
    """

    fault: EngineFault = EngineFault.NONE
    count: int = -1
    slowdown: float = 1.0
    redirect: str = ""
    bad_versions: list[str] = attrs.Factory(list)

    def take(self) -> EngineFault:
        """Returns the fault that hits this request, and counts it."""
        if self.count == 0:
            return EngineFault.NONE
        if self.fault is not EngineFault.NONE and self.count > 0:
            self.count -= 1
        return self.fault
