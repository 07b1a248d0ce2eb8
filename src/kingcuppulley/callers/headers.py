"""Read the headers of callers' requests, and select those that are forwarded."""

from __future__ import annotations

import math

from twisted.web.http import Request
from twisted.web.http_headers import Headers

from kingcuppulley.errors import KingcuppulleyError

KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Request-Timeout"
MAXIMUM_KEY_CHARACTERS = 200
MAXIMUM_TIMEOUT_SECONDS = 3600.0
# Hop-by-hop headers, which concern one connection only, and Content-Length, which is
# not copied but set from the body's length.
_NOT_FORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


class InvalidHeaderError(KingcuppulleyError):
    """Signal that a header of a caller's request has an invalid value."""


def read_key(request: Request) -> str | None:
    """Return the idempotency key, or None; raise `InvalidHeaderError` if invalid."""
    key = request.getHeader(KEY_HEADER)
    if key is None:
        return None
    if not 0 < len(key) <= MAXIMUM_KEY_CHARACTERS or not key.isprintable():
        raise InvalidHeaderError(KEY_HEADER)
    return key


def read_timeout_seconds(request: Request, default_seconds: float) -> float:
    """Return within how many seconds a caller needs its answer.

    Raise `InvalidHeaderError` if the header is not a positive number.
    """
    text = request.getHeader(TIMEOUT_HEADER)
    if text is None:
        return default_seconds
    try:
        seconds = float(text)
    except ValueError as error:
        raise InvalidHeaderError(TIMEOUT_HEADER) from error
    if not 0 < seconds < math.inf:
        raise InvalidHeaderError(TIMEOUT_HEADER)
    return min(seconds, MAXIMUM_TIMEOUT_SECONDS)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded.

    The `Connection` header names further headers that concern one connection only.
    """
    not_forwarded = set(_NOT_FORWARDED_HEADERS)
    for value in headers.getRawHeaders(b"Connection", []):
        not_forwarded.update(name.strip().lower() for name in value.split(b","))
    forwarded = Headers()
    for name, values in headers.getAllRawHeaders():
        if name.lower() not in not_forwarded:
            forwarded.setRawHeaders(name, list(values))
    return forwarded
