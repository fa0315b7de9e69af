"""Renders refusals as RFC 9457 problem documents.

A refusal before the answer has begun is sent as an ``application/problem+json``
response. Once a stream has begun, it is sent as a last server-sent event named
``error`` with the same document.
"""

import json
import math
import typing

from sardinesaddle import errorcodes

CONTENT_TYPE: typing.Final = "application/problem+json"
TYPE_PREFIX: typing.Final = "urn:sardinesaddle:problem:"


def render_document(refusal: errorcodes.Refusal, request_id: str) -> bytes:
    """Return the problem document as UTF-8 JSON; its instance is the request's ID."""
    code = refusal.code
    document: dict[str, object] = {
        "type": TYPE_PREFIX + code.name,
        "title": code.title,
        "status": code.status,
        "detail": refusal.detail or code.title,
        "remedy": code.remedy,
        "ran": refusal.ran.value,
        "instance": request_id,
    }
    if refusal.retry_after_s > 0:
        document["retry_after_s"] = round(refusal.retry_after_s, 3)
    return json.dumps(document).encode()


def render_headers(refusal: errorcodes.Refusal) -> dict[str, str]:
    """Return the response headers: the content type and, if known, Retry-After."""
    headers = {"Content-Type": CONTENT_TYPE}
    if refusal.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return headers


def render_event(refusal: errorcodes.Refusal, request_id: str) -> bytes:
    """Return the server-sent event that ends a stream with the document."""
    return b"event: error\ndata: " + render_document(refusal, request_id) + b"\n\n"
