"""Pass every HTTP request of a port to one function."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import Factory
from twisted.web.http import HTTPChannel, Request

HandleRequest = Callable[[Request], None]

IDLE_SECONDS = 60


class ApiRequest(Request):
    """Pass itself on when it has been read whole."""

    def process(self) -> None:
        """Pass the request on; it is answered there."""
        self.channel.factory.handle(self)


class ApiChannel(HTTPChannel):
    """Make requests that pass themselves on."""

    requestFactory = ApiRequest  # noqa: N815
    timeOut = IDLE_SECONDS  # noqa: N815


class ApiFactory(Factory):
    """Serve the requests of one port.

    The library's own site and resource tree would lengthen every start of a process.
    """

    protocol = ApiChannel

    def __init__(self, handle: HandleRequest) -> None:
        self.handle = handle

    def log(self, request: Request) -> None:
        """Leave requests to the process's own log."""
