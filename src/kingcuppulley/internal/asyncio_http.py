"""Serve HTTP on asyncio: pass all requests that a port receives to one handler.

Processes that must start fast use this server instead of `http_server`, because
importing Twisted would delay them.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import httptools

from kingcuppulley.internal.http_api import answer_fault

CONNECTION_BACKLOG = 512
IDLE_TIMEOUT_SECONDS = 60.0
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
# The rest of a body that is too large is read and dropped, because closing the
# connection with unread bytes would reset it before its caller reads the answer.
MAXIMUM_DROPPED_BYTES = 64 * 1024 * 1024


class HttpRequest:
    """Hold one HTTP request and send its answer.

    `began_at` is when the connection was opened, for its first request; a caller waits
    from then on.  For later requests it is when the request was read.
    """

    __slots__ = (
        "method",
        "path",
        "query",
        "body",
        "began_at",
        "_connection",
        "_keeps_alive",
        "_encoded_answer",
    )

    def __init__(
        self,
        method: bytes,
        path: bytes,
        query: bytes,
        body: bytes,
        began_at: float,
        keeps_alive: bool,
        connection: _Connection,
    ) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.body = body
        self.began_at = began_at
        self._connection = connection
        self._keeps_alive = keeps_alive
        self._encoded_answer: bytes | None = None

    @property
    def is_disconnected(self) -> bool:
        """Return whether the connection is closed, so that no answer can be sent."""
        return self._connection.is_disconnected

    @property
    def keeps_alive(self) -> bool:
        """Return whether the connection stays open after the answer."""
        return self._keeps_alive

    @property
    def encoded_answer(self) -> bytes | None:
        """Return the bytes of the answer, or None until `answer` is called."""
        return self._encoded_answer

    def answer(self, status: int, body: bytes, content_type: str) -> None:
        """Send the answer after those of earlier requests of the same connection."""
        connection = "keep-alive" if self._keeps_alive else "close"
        head = (
            f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n"
            f"Content-Type: {content_type}\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Connection: {connection}\r\n\r\n"
        )
        self._encoded_answer = head.encode() + body
        self._connection.send_answers()


HttpRequestHandler = Callable[[HttpRequest], None]


class _Connection(asyncio.Protocol):
    """Read the requests of one connection and send their answers in order."""

    def __init__(
        self,
        handle: HttpRequestHandler,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        maximum_body_bytes: int,
    ) -> None:
        self._handle = handle
        self._loop = loop
        self._clock = clock
        self._maximum_body_bytes = maximum_body_bytes
        # None once the first request was read.
        self._opened_at: float | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._unanswered: deque[HttpRequest] = deque()
        self._path = b""
        self._body: list[bytes] = []
        self._body_bytes = 0

    @property
    def is_disconnected(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._opened_at = self._clock()
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Discard the requests that are not answered yet."""
        self._transport = None
        self._unanswered.clear()
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes; malformed requests close the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # A callback failed, such as the handler: the event loop reports the error
            # and closes the connection.
            raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._close()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._path = b""
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self._path += url

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, or drop it if the body is too large."""
        self._body_bytes += len(body)
        if self._body_bytes > self._maximum_body_bytes + MAXIMUM_DROPPED_BYTES:
            self._close()
        elif self._body_bytes > self._maximum_body_bytes:
            self._body.clear()
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        if self.is_disconnected:
            return
        self._restart_idle_timer()
        path, _, query = self._path.partition(b"?")
        began_at = self._clock() if self._opened_at is None else self._opened_at
        self._opened_at = None
        request = HttpRequest(
            self._parser.get_method(),
            path,
            query,
            b"".join(self._body),
            began_at,
            self._parser.should_keep_alive(),
            self,
        )
        self._unanswered.append(request)
        if self._body_bytes > self._maximum_body_bytes:
            answer_fault(
                request,
                413,
                f"the body has {self._body_bytes} bytes",
                f"send at most {self._maximum_body_bytes} bytes",
            )
            return
        self._handle(request)

    def send_answers(self) -> None:
        """Send the answers that are ready, up to the first unanswered request."""
        while self._unanswered and self._transport is not None:
            request = self._unanswered[0]
            answer = request.encoded_answer
            if answer is None:
                return
            self._unanswered.popleft()
            self._transport.write(answer)
            if not request.keeps_alive:
                self._close()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self._loop.call_later(IDLE_TIMEOUT_SECONDS, self._close)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()


async def listen_requests(
    loop: asyncio.AbstractEventLoop,
    host: str,
    port: int,
    handle: HttpRequestHandler,
    clock: Callable[[], float] = time.monotonic,
    maximum_body_bytes: int = DEFAULT_BODY_BYTES,
) -> asyncio.Server:
    """Listen for HTTP requests, or raise `OSError` if the address is in use.

    `clock` gives the time of `HttpRequest.began_at`.  A request with a larger body than
    `maximum_body_bytes` is answered with status 413.
    """
    return await loop.create_server(
        lambda: _Connection(handle, loop, clock, maximum_body_bytes),
        host,
        port,
        backlog=CONNECTION_BACKLOG,
    )
