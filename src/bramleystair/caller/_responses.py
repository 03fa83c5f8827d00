"""HTTP responses built from dispatcher replies."""

import base64
import hashlib
import json
import math

from werkzeug.wrappers import Response

from bramleystair.requests import Outcome, Reply, encode_ticket

LOCATION_PREFIX = "/v1/requests/"
CREATED = 201
DEFAULT_CONTENT_TYPE = "application/octet-stream"


def build_response(reply: Reply) -> Response:
    """Return the HTTP response for `reply`."""
    if reply.outcome is not None:
        return build_error_response(reply)
    if reply.status == CREATED and not reply.body:
        response = _build_json(reply.status, {"location": _build_location(reply)})
    else:
        content_type = reply.content_type or DEFAULT_CONTENT_TYPE
        response = Response(reply.body, reply.status, content_type=content_type)
        response.headers["Repr-Digest"] = _build_digest(reply.body)
    response.headers["Location"] = _build_location(reply)
    response.autocorrect_location_header = False
    return response


def build_error_response(reply: Reply) -> Response:
    """Return the JSON error response for a request that ended without a response."""
    content = {
        "outcome": str(reply.outcome),
        "not_run": reply.outcome is Outcome.NOT_RUN,
        "reason": reply.reason,
        "step": reply.step,
        "peer": reply.peer,
    }
    response = _build_json(reply.status, content)
    if reply.retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(reply.retry_after_s)))
    return response


def _build_json(status: int, content: dict) -> Response:
    text = json.dumps(content) + "\n"
    return Response(text, status, content_type="application/json")


def _build_location(reply: Reply) -> str:
    return LOCATION_PREFIX + encode_ticket(reply.ticket)


def _build_digest(body: bytes) -> str:
    digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
    return f"sha-256=:{digest}:"
