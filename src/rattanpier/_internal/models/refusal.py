"""Refusals: final error replies to requests that get no answer."""

from __future__ import annotations

import enum

import attrs

from rattanpier._internal.utils.record import Record


class RefusalCode(enum.StrEnum):
    """Stable names of the reasons for a refusal."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BAD_KEY = "bad_key"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    UNKNOWN_SERVICE = "unknown_service"
    SERVICE_NOT_ALLOWED = "service_not_allowed"
    RULE_REFUSED = "rule_refused"
    NO_RULE = "no_rule"
    VERSION_WITHDRAWN = "version_withdrawn"
    NO_VERSION = "no_version"
    NO_WORKER = "no_worker"
    NO_PATH = "no_path"
    QUARANTINED = "quarantined"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry_budget"
    KEY_MISMATCH = "key_mismatch"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    SUPERSEDED = "superseded"
    UPSTREAM_FAILED = "upstream_failed"
    NOT_CURRENT = "not_current"
    DRAINING = "draining"
    UNKNOWN_REQUEST = "unknown_request"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    INTERNAL = "internal"


HTTP_STATUS = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.BAD_KEY: 401,
    RefusalCode.MODEL_NOT_ALLOWED: 403,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.SERVICE_NOT_ALLOWED: 403,
    RefusalCode.RULE_REFUSED: 403,
    RefusalCode.NO_RULE: 404,
    RefusalCode.VERSION_WITHDRAWN: 409,
    RefusalCode.NO_VERSION: 503,
    RefusalCode.NO_WORKER: 503,
    RefusalCode.NO_PATH: 503,
    RefusalCode.QUARANTINED: 503,
    RefusalCode.QUEUE_FULL: 429,
    RefusalCode.DEADLINE: 504,
    RefusalCode.RETRY_BUDGET: 503,
    RefusalCode.KEY_MISMATCH: 422,
    RefusalCode.OUTCOME_UNKNOWN: 409,
    RefusalCode.CLAIM_UNAVAILABLE: 503,
    RefusalCode.SUPERSEDED: 409,
    RefusalCode.UPSTREAM_FAILED: 502,
    RefusalCode.NOT_CURRENT: 503,
    RefusalCode.DRAINING: 503,
    RefusalCode.UNKNOWN_REQUEST: 404,
    RefusalCode.UNKNOWN_PATH: 404,
    RefusalCode.METHOD_NOT_ALLOWED: 405,
    RefusalCode.INTERNAL: 500,
}


@attrs.frozen(eq=False, repr=False)
class Refusal(Record):
    """Why a request gets no answer.

    Attributes:
      code: Stable name of the reason.
      message: One sentence for the caller.
      not_run: True only if certainly no upstream ran the request.
      retry_after_s: Seconds after which the caller may retry, or None.
    """

    code: RefusalCode
    message: str
    not_run: bool
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status of the reply."""
        return HTTP_STATUS[self.code]
