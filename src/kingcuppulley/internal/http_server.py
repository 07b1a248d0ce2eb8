"""Pass every HTTP request of a port to one function, on Twisted."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable

from twisted.internet.protocol import Factory
from twisted.web.http import HTTPChannel, Request

IDLE_SECONDS = 60


class ApiRequest(Request):
    """Pass itself on when it has been read whole."""

    def process(self) -> None:
        """Pass the request on; it is answered there."""
        self.channel.factory.handle(self)

    def answer(self, status: int, body: bytes, content_type: str) -> None:
        """Send the whole answer."""
        self.setResponseCode(status)
        self.setHeader("Content-Type", content_type)
        self.setHeader("Content-Length", str(len(body)))
        self.write(body)
        self.finish()


ApiRequestHandler = Callable[[ApiRequest], None]


class ApiChannel(HTTPChannel):
    """Make requests that pass themselves on."""

    requestFactory = ApiRequest  # noqa: N815
    timeOut = IDLE_SECONDS  # noqa: N815


class ApiFactory(Factory):
    """Serve the requests of one port.

    The library's own site and resource tree would lengthen every start of a process.
    """

    protocol = ApiChannel

    def __init__(self, handle: ApiRequestHandler) -> None:
        self.handle = handle

    def log(self, request: Request) -> None:
        """Leave requests to the process's own log."""


def read_body(request: Request) -> bytes:
    """Return the body of a request."""
    return request.content.read() if request.content is not None else b""


def bearer_token(request: Request) -> str:
    """Return the bearer token of a request, or an empty string."""
    header = request.getHeader("Authorization") or ""
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def token_matches(token: str, token_hash: str) -> bool:
    """Return whether a token has a hash, in a time that does not depend on either."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return bool(token) and hmac.compare_digest(digest, token_hash)
