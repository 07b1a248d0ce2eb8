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

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_TIMEOUT_SECONDS = 5
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
    """Receive the answer of one attempt as it arrives."""

    def attempt_head(self, response: Any) -> None:
        """Handle the status and headers."""

    def attempt_data(self, data: bytes) -> None:
        """Handle a part of the body."""

    def attempt_complete(self) -> None:
        """Handle the end of a complete body."""

    def attempt_failed(self, outcome: AttemptOutcome) -> None:
        """Handle the end of an attempt without a complete answer."""


@implementer(IBodyProducer)
class BytesProducer:
    """Produce a request body that is held in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:  # noqa: N802
        """Write the complete body at once."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body is already written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body is already written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body is already written."""


class Attempt(TwistedProtocol):
    """Receive the answer of one attempt, and discard data after the attempt's end.

    Each attempt has a unique identifier, sent as a header.  A backend server that
    returns another identifier has mixed up two answers.  It is then uncertain which
    caller the data belongs to, so it is discarded and the attempt counts as lost.
    """

    def __init__(self, identifier: str, listener: AttemptListener) -> None:
        self.identifier = identifier
        self._listener: AttemptListener | None = listener
        self._pending: defer.Deferred[Any] | None = None

    def begin(self, pending: defer.Deferred[Any]) -> None:
        """Wait for the status and headers of the answer."""
        self._pending = pending
        pending.addCallbacks(self._receive_head, self._handle_failure)

    def cancel(self) -> None:
        """Abort the connection, which signals the backend server to stop."""
        self._listener = None
        if self._pending is not None:
            self._pending.cancel()
        if self.transport is not None:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Pause reading until the caller has received the data sent so far."""
        if self.transport is not None:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading."""
        if self.transport is not None:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass a part of the body to the listener."""
        if self._listener is not None:
            self._listener.attempt_data(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Notify the listener whether the body is complete."""
        listener = self._listener
        self._listener = None
        self.transport = None
        if listener is None:
            return
        if reason is not None and reason.check(ResponseDone):
            listener.attempt_complete()
        else:
            # A closed connection alone does not show that the answer is complete.
            listener.attempt_failed(AttemptOutcome.LOST)

    def _receive_head(self, response: Any) -> None:
        self._pending = None
        if self._listener is None:
            response.deliverBody(_Discard())
            return
        identifiers = response.headers.getRawHeaders(ATTEMPT_HEADER.encode())
        if identifiers and identifiers[0] != self.identifier.encode():
            self._fail(response, AttemptOutcome.LOST)
        elif self._is_not_run(response):
            self._fail(response, AttemptOutcome.SHED)
        else:
            self._listener.attempt_head(response)
            response.deliverBody(self)

    def _handle_failure(self, failure: Failure) -> None:
        self._pending = None
        listener = self._listener
        self._listener = None
        if listener is None:
            return
        was_not_sent = failure.check(*_NOT_SENT_ERRORS)
        outcome = AttemptOutcome.NOT_SENT if was_not_sent else AttemptOutcome.LOST
        listener.attempt_failed(outcome)

    def _fail(self, response: Any, outcome: AttemptOutcome) -> None:
        listener = self._listener
        self._listener = None
        response.deliverBody(_Discard())
        if listener is not None:
            listener.attempt_failed(outcome)

    @staticmethod
    def _is_not_run(response: Any) -> bool:
        outcomes = response.headers.getRawHeaders(OUTCOME_HEADER.encode())
        return bool(response.code == _SERVICE_UNAVAILABLE and outcomes == [NOT_RUN])


class BackendServerClient:
    """Send attempts to backend servers.

    Repeatable requests reuse connections.  A request that is not repeatable gets a new
    connection: if the server is just closing a reused connection, it is unknown whether
    the request ran.  Twisted's own automatic retries are disabled.
    """

    def __init__(self, reactor: Any) -> None:
        persistent_pool = HTTPConnectionPool(reactor, persistent=True)
        persistent_pool.retryAutomatically = False
        persistent_pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_SECONDS
        single_use_pool = HTTPConnectionPool(reactor, persistent=False)
        single_use_pool.retryAutomatically = False
        self._persistent_agent = Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=persistent_pool
        )
        self._single_use_agent = Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=single_use_pool
        )
        self._close_idle_connections: Callable[[], Any] = (
            persistent_pool.closeCachedConnections
        )

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
        """Send one request and pass its answer to the attempt."""
        agent = self._persistent_agent if is_repeatable else self._single_use_agent
        headers.setRawHeaders(ATTEMPT_HEADER.encode(), [attempt.identifier.encode()])
        url = b"http://" + host.encode() + b":" + str(port).encode() + uri
        producer: Any = BytesProducer(body) if body else None
        attempt.begin(agent.request(method, url, headers, producer))

    def close(self) -> None:
        """Close idle connections that are kept for reuse."""
        self._close_idle_connections()


class _Discard(TwistedProtocol):
    """Read an answer to its end and discard it."""
