"""Renders refusals as error bodies that OpenAI clients parse."""

from __future__ import annotations

import json
import math
from typing import Any

from aiohttp import web

from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.utils.metrics import Metrics


def error_body(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Returns the JSON body of a refusal."""
    return {
        "error": {
            "message": refusal.message,
            "type": "rattanpier_error",
            "param": None,
            "code": refusal.code.value,
            "not_run": refusal.not_run,
            "retry_after_s": refusal.retry_after_s,
            "request_id": request_id,
        }
    }


def error_response(refusal: Refusal, request_id: str) -> web.Response:
    """Returns the HTTP response for a refusal."""
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return web.json_response(
        error_body(refusal, request_id),
        status=refusal.status,
        headers=headers,
    )


def refuse(metrics: Metrics, refusal: Refusal, request_id: str) -> web.Response:
    """Returns the HTTP response for a refusal and counts its reason."""
    metrics.count(f"refusal.{refusal.code.value}")
    return error_response(refusal, request_id)


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Returns the error event that ends a stream instead of its end mark."""
    return f"data: {json.dumps(error_body(refusal, request_id))}\n\n".encode()
