"""Faults that a stand-in engine or plain service can be set to show."""

from __future__ import annotations

import enum

import attrs


class EngineFault(enum.StrEnum):
    """Fault of an engine."""

    NONE = "none"
    REFUSE = "refuse"  # 503, states that the request was not run.
    FAIL = "fail"  # 500, does not state whether the request was run.
    CUT = "cut"  # Aborts the stream half way.
    CUT_BEFORE_ANSWER = (
        "cut_before_answer"  # Runs, then aborts without answering.
    )
    STALL = "stall"  # Accepts the request, never answers.
    FORGET = "forget"  # Aborts the stream half way; it can't be resumed.
    SWAP = "swap"  # Exchanges the answers of two requests.
    DUPLICATE = "duplicate"  # Sends a chunk twice.
    MISSING = "missing"  # Omits a chunk.
    REDIRECT = "redirect"  # Redirects the caller.
    NO_END = (
        "no_end"  # Ends the stream after the text, without its final event.
    )


@attrs.define
class EngineFaults:
    """Fault settings.

    Attributes:
      fault: Fault that is active.
      count: Number of further requests affected; -1 for all.
      slowdown: Factor on every duration; 1 for none.
      redirect: Base URL that REDIRECT sends callers to.
      bad_versions: Versions that always give poor answers.
    """

    fault: EngineFault = EngineFault.NONE
    count: int = -1
    slowdown: float = 1.0
    redirect: str = ""
    bad_versions: list[str] = attrs.Factory(list)

    def take(self) -> EngineFault:
        """Returns the fault for this request and counts the request."""
        if self.count == 0:
            return EngineFault.NONE
        if self.fault is not EngineFault.NONE and self.count > 0:
            self.count -= 1
        return self.fault
