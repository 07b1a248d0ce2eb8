"""Serve HTTP on Twisted: pass all requests that a port receives to one handler."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable

from twisted.internet.protocol import Factory
from twisted.web.http import HTTPChannel, Request

IDLE_TIMEOUT_SECONDS = 60


class ApiRequest(Request):
    """Call the factory's handler when the request is complete."""

    def process(self) -> None:
        """Call the handler, which answers the request."""
        self.channel.factory.handle(self)

    def answer(self, status: int, body: bytes, content_type: str) -> None:
        """Send the complete answer."""
        self.setResponseCode(status)
        self.setHeader("Content-Type", content_type)
        self.setHeader("Content-Length", str(len(body)))
        self.write(body)
        self.finish()


ApiRequestHandler = Callable[[ApiRequest], None]


class ApiChannel(HTTPChannel):
    """Create an `ApiRequest` for each request of one connection."""

    requestFactory = ApiRequest  # noqa: N815
    timeOut = IDLE_TIMEOUT_SECONDS  # noqa: N815


class ApiFactory(Factory):
    """Serve the requests of one port.

    Twisted's own `Site` and resource tree would lengthen the start of each process.
    """

    protocol = ApiChannel

    def __init__(self, handle: ApiRequestHandler) -> None:
        self.handle = handle

    def log(self, request: Request) -> None:
        """Write no access log: the process has its own log."""


def read_body(request: Request) -> bytes:
    """Return the body of a request."""
    return request.content.read() if request.content is not None else b""


def bearer_token(request: Request) -> str:
    """Return the bearer token of a request, or an empty string."""
    header = request.getHeader("Authorization") or ""
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def token_matches(token: str, token_hash: str) -> bool:
    """Return whether a token has this SHA-256 hash, comparing in constant time."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return bool(token) and hmac.compare_digest(digest, token_hash)
