"""Send one attempt of a request to one backend server over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import defer, error
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from kingcuppulley.entry_hosts.messages import AttemptOutcome

CONNECT_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 5
ATTEMPT_HEADER = "Kingcuppulley-Attempt"
OUTCOME_HEADER = "Kingcuppulley-Outcome"
NOT_RUN = b"not-run"
_SERVICE_UNAVAILABLE = 503
_NOT_SENT_ERRORS = (
    error.ConnectError,
    error.ConnectionRefusedError,
    error.TimeoutError,
    error.NoRouteError,
)


class AttemptListener(Protocol):
    """Take the answer of one attempt as it comes."""

    def attempt_head(self, response: Any) -> None:
        """Take the status and headers."""

    def attempt_data(self, data: bytes) -> None:
        """Take a piece of the body."""

    def attempt_complete(self) -> None:
        """Take the end of a whole body."""

    def attempt_failed(self, outcome: AttemptOutcome) -> None:
        """Take the end of an attempt without a whole answer."""


@implementer(IBodyProducer)
class BytesProducer:
    """Produce a request body that is held in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:  # noqa: N802
        """Write the whole body at once."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing, because all is written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing, because all is written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, because all is written."""


class Attempt(TwistedProtocol):
    """Receive the answer of one attempt, and drop what comes after its end.

    Each attempt has an identifier of its own, sent as a header.  A backend server that
    names another one in its answer has crossed two answers; what it sent belongs to
    neither caller for certain, so it is dropped and counts as lost.
    """

    def __init__(self, identifier: str, listener: AttemptListener) -> None:
        self.identifier = identifier
        self._listener: AttemptListener | None = listener
        self._pending: defer.Deferred[Any] | None = None

    def begin(self, pending: defer.Deferred[Any]) -> None:
        """Wait for the head of the answer."""
        self._pending = pending
        pending.addCallbacks(self._head, self._no_answer)

    def cancel(self) -> None:
        """Close the connection, which tells the backend server to stop."""
        self._listener = None
        if self._pending is not None:
            self._pending.cancel()
        if self.transport is not None:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading until the caller has taken what was sent."""
        if self.transport is not None:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading."""
        if self.transport is not None:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass a piece of the body on."""
        if self._listener is not None:
            self._listener.attempt_data(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Tell whether the whole body has come."""
        listener = self._listener
        self._listener = None
        self.transport = None
        if listener is None:
            return
        if reason is not None and reason.check(ResponseDone):
            listener.attempt_complete()
        else:
            # An end by closing alone does not show that the answer is whole.
            listener.attempt_failed(AttemptOutcome.LOST)

    def _head(self, response: Any) -> None:
        self._pending = None
        if self._listener is None:
            response.deliverBody(_Discard())
            return
        names = response.headers.getRawHeaders(ATTEMPT_HEADER.encode())
        if names and names[0] != self.identifier.encode():
            self._fail(response, AttemptOutcome.LOST)
        elif self._says_not_run(response):
            self._fail(response, AttemptOutcome.SHED)
        else:
            self._listener.attempt_head(response)
            response.deliverBody(self)

    def _no_answer(self, failure: Failure) -> None:
        self._pending = None
        listener = self._listener
        self._listener = None
        if listener is None:
            return
        not_sent = failure.check(*_NOT_SENT_ERRORS)
        outcome = AttemptOutcome.NOT_SENT if not_sent else AttemptOutcome.LOST
        listener.attempt_failed(outcome)

    def _fail(self, response: Any, outcome: AttemptOutcome) -> None:
        listener = self._listener
        self._listener = None
        response.deliverBody(_Discard())
        if listener is not None:
            listener.attempt_failed(outcome)

    @staticmethod
    def _says_not_run(response: Any) -> bool:
        values = response.headers.getRawHeaders(OUTCOME_HEADER.encode())
        return bool(response.code == _SERVICE_UNAVAILABLE and values == [NOT_RUN])


class BackendServerClient:
    """Open attempts to backend servers.

    Requests that may be repeated reuse connections.  One that may not be repeated gets
    a fresh one: on a reused connection that the other end is just closing, nobody can
    tell whether the request ran.  The library's own silent repeat stays switched off.
    """

    def __init__(self, reactor: Any) -> None:
        reused = HTTPConnectionPool(reactor, persistent=True)
        reused.retryAutomatically = False
        reused.cachedConnectionTimeout = KEEP_ALIVE_SECONDS
        fresh = HTTPConnectionPool(reactor, persistent=False)
        fresh.retryAutomatically = False
        self._reusing = Agent(reactor, connectTimeout=CONNECT_SECONDS, pool=reused)
        self._fresh = Agent(reactor, connectTimeout=CONNECT_SECONDS, pool=fresh)
        self._close_idle: Callable[[], Any] = reused.closeCachedConnections

    def send(
        self,
        attempt: Attempt,
        host: str,
        port: int,
        method: bytes,
        uri: bytes,
        headers: Headers,
        body: bytes,
        is_repeatable: bool,
    ) -> None:
        """Send a request and pass its answer to the attempt."""
        agent = self._reusing if is_repeatable else self._fresh
        headers.setRawHeaders(ATTEMPT_HEADER.encode(), [attempt.identifier.encode()])
        address = b"http://" + host.encode() + b":" + str(port).encode() + uri
        producer: Any = BytesProducer(body) if body else None
        attempt.begin(agent.request(method, address, headers, producer))

    def close(self) -> None:
        """Close connections that are kept for reuse."""
        self._close_idle()


class _Discard(TwistedProtocol):
    """Read an answer to its end and drop it."""
