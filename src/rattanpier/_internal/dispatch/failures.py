"""Errors of upstream requests and of dispatches."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.refusal import Refusal, RefusalCode

NO_WORKER_RETRY_S = 1.0
FAILED_RETRY_S = 1.0
BUDGET_RETRY_S = 2.0
NOT_CURRENT_RETRY_S = 1.0
DEADLINE_RETRY_S = 1.0
WITHDRAWN_RETRY_S = 0.5  # A new plan may use another version.


class UpstreamError(Exception):
    """An upstream request failed.

    Attributes:
      not_run: True only if the request certainly did not run there: no byte
        of it was sent, or the upstream itself said so.
      retry_after_s: Seconds after which the upstream may be asked again, or
        None.
      resumable: True if an answer was interrupted and may be resumed.
      final: True if another worker would return the same error.
    """

    def __init__(
        self,
        message: str,
        not_run: bool,
        retry_after_s: float | None = None,
        resumable: bool = False,
        final: bool = False,
    ) -> None:
        super().__init__(message)
        self.not_run = not_run
        self.retry_after_s = retry_after_s
        self.resumable = resumable
        self.final = final


class DispatchError(Exception):
    """A request can't be dispatched, or not again.

    Attributes:
      refusal: Refusal to return to the caller. Its `not_run` is not yet valid:
        only the attempt knows what was sent over all dispatches.
    """

    def __init__(
        self, code: RefusalCode, message: str, retry_after_s: float | None
    ) -> None:
        super().__init__(message)
        self.refusal = Refusal(code, message, False, retry_after_s)

    def refusal_not_run(self) -> Refusal:
        """Returns the refusal of a request that was never sent."""
        return attrs.evolve(self.refusal, not_run=True)


def no_worker() -> DispatchError:
    """Returns the error for a version or service without a worker."""
    return DispatchError(
        RefusalCode.NO_WORKER, "No worker is free.", NO_WORKER_RETRY_S
    )


def version_withdrawn(version: str) -> DispatchError:
    """Returns the error for a version that was withdrawn."""
    return DispatchError(
        RefusalCode.VERSION_WITHDRAWN,
        f"Version {version} takes no new work.",
        WITHDRAWN_RETRY_S,
    )


def not_current() -> DispatchError:
    """Returns the error for a node that may have an older revision."""
    return DispatchError(
        RefusalCode.NOT_CURRENT,
        "This entry can't tell whether its configuration is in force.",
        NOT_CURRENT_RETRY_S,
    )


def deadline_exceeded() -> DispatchError:
    """Returns the error for a request whose deadline passed."""
    return DispatchError(
        RefusalCode.DEADLINE, "The request's time is up.", DEADLINE_RETRY_S
    )


def retry_budget_exhausted() -> DispatchError:
    """Returns the error for a retry that the budget does not allow."""
    return DispatchError(
        RefusalCode.RETRY_BUDGET,
        "The upstream failed, and too many requests are retried already.",
        BUDGET_RETRY_S,
    )


def claim_unconfirmed() -> DispatchError:
    """Returns the error for a claim that could not be confirmed."""
    return DispatchError(
        RefusalCode.CLAIM_UNAVAILABLE,
        "The request's claim could not be confirmed before dispatch.",
        FAILED_RETRY_S,
    )


def upstream_failed(error: UpstreamError) -> DispatchError:
    """Returns the error for the failure of the last upstream request."""
    return DispatchError(
        RefusalCode.UPSTREAM_FAILED,
        f"The upstream failed: {error}.",
        error.retry_after_s or FAILED_RETRY_S,
    )


def incomplete_answer() -> DispatchError:
    """Returns the error for an answer without its end or its usage."""
    return DispatchError(
        RefusalCode.UPSTREAM_FAILED,
        "The upstream's answer is not whole.",
        FAILED_RETRY_S,
    )
