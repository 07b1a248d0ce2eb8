"""Forward each caller's HTTP request to a backend server, and its answer back."""

from __future__ import annotations

import hashlib
import math
import secrets
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.python.failure import Failure
from twisted.web.http import Request
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from kingcuppulley.backend_servers.http_client import Attempt, BackendServerClient
from kingcuppulley.callers import refusals
from kingcuppulley.callers.headers import (
    TIMEOUT_HEADER,
    InvalidHeaderError,
    end_to_end_headers,
    read_key,
    read_timeout_seconds,
)
from kingcuppulley.callers.refusals import OUTCOME_HEADER, Refusal
from kingcuppulley.callers.request import (
    RequestCore,
    RequestFacts,
    RequestStage,
)
from kingcuppulley.callers.retry_budget import RetryBudget
from kingcuppulley.callers.service_times import ServiceTimes
from kingcuppulley.entry_hosts.claims import IssuedKey, key_owner_zone
from kingcuppulley.entry_hosts.host import EntryHost
from kingcuppulley.entry_hosts.messages import (
    AttemptOutcome,
    ClaimAnswer,
    ClaimRequest,
    ClaimResult,
    RefusalReason,
    SlotGrant,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.reactor import Timer
from kingcuppulley.internal.sender import Sender
from kingcuppulley.internal.tracing import TRACE_HEADER, Span, Tracer
from kingcuppulley.model import Service
from kingcuppulley.settings import CallerSettings

KEY_ISSUE_PATH = b"/.well-known/kingcuppulley/idempotency-key"
MAXIMUM_BUFFERED_ANSWER_BYTES = 65_536


class Gateway:
    """Serve the HTTP requests that arrive at one entry host.

    It holds what the requests share: the entry host, with its slot client and claims,
    the client for backend servers, the retry budget and the expected service times.
    While `is_leaving` is set, new requests are refused.
    """

    def __init__(
        self,
        host: EntryHost,
        sender: Sender[Any],
        client: BackendServerClient,
        settings: CallerSettings,
        timer: Timer,
        clock: Callable[[], float],
        tracer: Tracer,
        metrics: Metrics,
    ) -> None:
        self.host = host
        self.sender = sender
        self.client = client
        self.settings = settings
        self.timer = timer
        self.clock = clock
        self.tracer = tracer
        self.metrics = metrics
        self.retry_budget = RetryBudget()
        self.service_times = ServiceTimes()
        self.is_leaving = False
        self._active_requests: dict[GatewayRequest, None] = {}
        self._identifier_count = 0
        self._identifier_prefix = f"{host.name}.{secrets.token_hex(4)}"

    @property
    def active_count(self) -> int:
        """Return how many requests are in progress."""
        return len(self._active_requests)

    def new_identifier(self) -> str:
        """Return a unique identifier for a claim or a slot lease.

        The host's name and a part that is drawn at random at each start keep it unique
        among hosts and across restarts.  The identifier of a lease also identifies the
        attempt that uses the slot.
        """
        self._identifier_count += 1
        return f"{self._identifier_prefix}.{self._identifier_count}"

    def handle(self, service: Service, request: Request, body_fits: bool) -> None:
        """Start serving one request.

        `body_fits` says whether the body is within the limit of this entry host.
        """
        self.metrics.count("requests")
        gateway_request = GatewayRequest(self, service, request)
        self._active_requests[gateway_request] = None
        gateway_request.begin(body_fits)

    def remove(self, gateway_request: GatewayRequest) -> None:
        """Remove a request that has ended."""
        self._active_requests.pop(gateway_request, None)

    def tick(self) -> None:
        """Act on the deadlines that have passed, request by request."""
        now = self.clock()
        for gateway_request in list(self._active_requests):
            gateway_request.tick(now)


class GatewayRequest:
    """Serve one caller's request, with its sockets and its messages to other hosts.

    A `RequestCore` makes the decisions and calls the `RequestActions` methods of this
    class to carry them out.  The other methods report events to the core.
    """

    def __init__(self, gateway: Gateway, service: Service, request: Request) -> None:
        self._gateway = gateway
        self._service = service
        self._request = request
        self._core: RequestCore | None = None
        self._attempt: Attempt | None = None
        self._response: IResponse | None = None
        self._buffered_parts: list[bytes] = []
        self._buffered_bytes = 0
        self._lease = ""
        self._claim = ""
        self._body = b""
        self._key: str | None = None
        self._is_repeatable = False
        self._began_at = gateway.clock()
        self._deadline = self._began_at
        self._attempt_began_at = 0.0
        self._idle_deadline = math.inf
        self._is_paused = False
        self._is_finished = False
        self._span: Span = gateway.tracer.begin(
            "entry", request.getHeader(TRACE_HEADER)
        )
        self._child_span: Span | None = None

    def begin(self, body_fits: bool) -> None:
        """Check the request, then refuse it or start its core."""
        self._request.notifyFinish().addErrback(self._caller_disconnected)
        if self._request.path == KEY_ISSUE_PATH:
            self._issue_key()
        elif not body_fits:
            self.refuse(refusals.BODY_TOO_LARGE)
        elif self._gateway.is_leaving:
            self.refuse(refusals.LEAVING)
        else:
            try:
                facts = self._read_facts()
            except InvalidHeaderError:
                self.refuse(refusals.MALFORMED)
                return
            now = self._gateway.clock()
            zones = self._gateway.host.candidate_zones(self._service, now)
            self._core = RequestCore(facts, zones, self, self._gateway.retry_budget)
            self._core.start(now)

    def tick(self, now: float) -> None:
        """Act on a deadline that has passed."""
        if self._core is not None:
            self._core.tick(now)
        if now >= self._idle_deadline and self._attempt is not None:
            self._attempt.cancel()
            # A server that could not send because its caller did not read is not slow.
            self.attempt_failed(
                AttemptOutcome.CANCELLED if self._is_paused else AttemptOutcome.TIMEOUT
            )

    # Actions that the core calls: RequestActions.

    def request_claim(self, key: str, fingerprint: str) -> None:
        """Ask the owner of an idempotency key whether the request may run."""
        host = self._gateway.host
        self._claim = self._gateway.new_identifier()
        replicas = self._claim_replicas(key)
        if not replicas:
            # No host can answer.  After CLAIM_TIMEOUT_SECONDS at most, the core refuses
            # the request with the outcome "unknown", because nothing is known about
            # earlier requests with the key.
            return
        self._child_span = self._span.child("claim")
        host.register_claim_listener(self._claim, self)
        self._gateway.sender.send(
            replicas[0], ClaimRequest(self._claim, key, fingerprint)
        )

    def release_claim(self, key: str) -> None:
        """Notify the hosts that store the claim that the request did not run."""
        self._send_claim_result(key, 0, b"", "")

    def request_slot(self, zone: str, wait_seconds: float, avoid: str | None) -> None:
        """Request a slot from the slot coordinator of a zone."""
        now = self._gateway.clock()
        coordinator = self._gateway.host.coordinator_of(
            self._service.identity, zone, now
        )
        self._child_span = self._span.child("steward")
        if coordinator is None:
            self._gateway.timer.callLater(
                0, self.slot_refused, RefusalReason.NOT_COORDINATOR
            )
            return
        self._lease = self._gateway.new_identifier()
        self._gateway.host.slot_client.request(
            self._lease,
            self,
            self._service.identity,
            zone,
            coordinator,
            wait_seconds,
            avoid,
            now,
        )

    def cancel_slot_request(self) -> None:
        """Cancel the last request for a slot."""
        self.release_slot(AttemptOutcome.CANCELLED)

    def release_slot(self, outcome: AttemptOutcome) -> None:
        """Release the granted slot."""
        now = self._gateway.clock()
        self._gateway.host.slot_client.release(self._lease, outcome, now)
        self._end_child_span(outcome.value)

    def start_attempt(self, grant: SlotGrant) -> None:
        """Send the request to the backend server whose slot was granted."""
        self._end_child_span("granted")
        self._child_span = self._span.child("attempt")
        self._gateway.metrics.count("attempts")
        self._attempt_began_at = self._gateway.clock()
        self._response = None
        self._buffered_parts = []
        self._buffered_bytes = 0
        attempt = Attempt(self._lease, self)
        self._attempt = attempt
        self._gateway.client.send(
            attempt,
            grant.host,
            grant.port,
            self._request.method,
            self._request.uri,
            self._forwarded_headers(),
            self._body,
            self._is_repeatable,
        )

    def cancel_attempt(self) -> None:
        """Cancel the attempt by closing its connection."""
        if self._attempt is not None:
            self._attempt.cancel()
            self._attempt = None

    def refuse(self, refusal: Refusal) -> None:
        """Answer the caller with a refusal."""
        name = refusal.reason.replace("-", "_")
        self._gateway.metrics.count(f"refusals_{name}")
        self._request.setResponseCode(refusal.status)
        self._request.setHeader(OUTCOME_HEADER, refusal.outcome.value)
        self._request.setHeader("Content-Type", "application/json")
        self._finish(msgspec.json.encode(refusal), refusal.reason)

    def repeat_answer(self, answer: ClaimAnswer) -> None:
        """Answer the caller with the stored answer to the key's first request."""
        self._gateway.metrics.count("answers_repeated")
        self._request.setResponseCode(answer.status)
        self._request.setHeader("Idempotency-Replayed", "true")
        if answer.content_type:
            self._request.setHeader("Content-Type", answer.content_type)
        self._finish(answer.body, "repeated")

    def abort_answer(self) -> None:
        """Close the caller's connection, because its answer cannot be completed."""
        self._gateway.metrics.count("answers_cut")
        self._mark_finished("cut")
        self._request.loseConnection()

    # Events from the entry host, the slot client and the attempt.

    def claim_answered(self, answer: ClaimAnswer, now: float) -> None:
        """Handle the verdict of the key's owner."""
        self._end_child_span(answer.verdict.value)
        if self._core is not None and not self._is_finished:
            self._core.claim_answered(answer, now)

    def slot_granted(self, grant: SlotGrant) -> None:
        """Handle a granted slot."""
        if self._core is not None:
            self._core.slot_granted(grant)

    def slot_refused(self, reason: RefusalReason) -> None:
        """Handle a refusal by the slot coordinator."""
        self._end_child_span(reason.value)
        if self._core is not None:
            self._core.slot_refused(reason, self._gateway.clock())

    def lease_lost(self) -> None:
        """Cancel the attempt, because its slot lease has expired."""
        self._gateway.metrics.count("leases_lost")
        self.cancel_attempt()
        self.attempt_failed(AttemptOutcome.LOST)

    def attempt_head(self, response: IResponse) -> None:
        """Handle the status and headers of an answer."""
        self._response = response
        seconds = self._gateway.clock() - self._attempt_began_at
        self._gateway.service_times.record(self._service.identity, seconds)
        self._extend_idle_deadline()

    def attempt_data(self, data: bytes) -> None:
        """Handle a part of an answer's body.

        The first `MAXIMUM_BUFFERED_ANSWER_BYTES` are buffered, so that an attempt that
        fails within them can still be retried.
        """
        core = self._core
        if core is None or self._is_finished:
            return
        self._extend_idle_deadline()
        if core.stage is RequestStage.ANSWERING:
            self._request.write(data)
            return
        self._buffered_parts.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAXIMUM_BUFFERED_ANSWER_BYTES:
            core.answer_began()
            self._send_head(None)
            self._request.registerProducer(_AttemptProducer(self), True)
            self._request.write(b"".join(self._buffered_parts))
            self._buffered_parts = []

    def attempt_complete(self) -> None:
        """Handle the end of a complete answer."""
        core = self._core
        self._attempt = None
        if core is None or self._is_finished or self._response is None:
            return
        if core.stage is RequestStage.ANSWERING:
            core.answer_ended()
            self._request.unregisterProducer()
            self._finish(b"", "answered")
            return
        body = b"".join(self._buffered_parts)
        core.answer_began()
        core.answer_ended()
        self._send_head(len(body))
        if self._key is not None and self._claim:
            content_type = self._response.headers.getRawHeaders("Content-Type", [""])
            self._send_claim_result(
                self._key, self._response.code, body, content_type[0]
            )
        self._finish(body, "answered")

    def attempt_failed(self, outcome: AttemptOutcome) -> None:
        """Handle the end of an attempt without a complete answer."""
        self._attempt = None
        self._idle_deadline = math.inf
        self._gateway.metrics.count(f"attempts_{outcome.value.replace('-', '_')}")
        if self._core is not None and not self._is_finished:
            self._core.attempt_failed(outcome, self._gateway.clock())

    def pause(self) -> None:
        """Pause reading from the backend server until the caller has read more."""
        if self._attempt is not None:
            self._is_paused = True
            self._extend_idle_deadline()
            self._attempt.pause()

    def resume(self) -> None:
        """Resume reading from the backend server."""
        if self._attempt is not None:
            self._is_paused = False
            self._extend_idle_deadline()
            self._attempt.resume()

    def _extend_idle_deadline(self) -> None:
        self._idle_deadline = (
            self._gateway.clock() + self._gateway.settings.idle_seconds
        )

    def _read_facts(self) -> RequestFacts:
        request = self._request
        method = request.method.decode("ascii", "replace")
        self._key = read_key(request)
        self._body = request.content.read() if request.content else b""
        digest = hashlib.sha256(request.method + b" " + request.uri + b"\n")
        digest.update(self._service.identity.encode() + b"\n" + self._body)
        timeout_seconds = read_timeout_seconds(
            request, self._gateway.settings.default_timeout_seconds
        )
        service_times = self._gateway.service_times
        facts = RequestFacts(
            method=method,
            key=self._key,
            fingerprint=digest.hexdigest(),
            deadline=self._began_at + timeout_seconds,
            expected_seconds=service_times.expected_seconds(
                self._service.identity, timeout_seconds
            ),
        )
        self._is_repeatable = facts.is_repeatable
        self._deadline = facts.deadline
        return facts

    def _claim_replicas(self, key: str) -> list[str]:
        host = self._gateway.host
        zone = key_owner_zone(key, host.zones)
        return host.claim_replicas(key, zone, self._gateway.clock())

    def _send_claim_result(
        self, key: str, status: int, body: bytes, content_type: str
    ) -> None:
        result = ClaimResult(self._claim, key, status, body, content_type)
        for replica in self._claim_replicas(key):
            self._gateway.sender.send(replica, result)

    def _issue_key(self) -> None:
        now = self._gateway.clock()
        key = IssuedKey.format(self._gateway.host.zone, now, secrets.token_hex(8))
        self._request.setHeader("Content-Type", "text/plain")
        self._finish(key.encode(), "issued")

    def _forwarded_headers(self) -> Headers:
        headers = end_to_end_headers(self._request.requestHeaders)
        remaining_seconds = max(0.001, self._deadline - self._gateway.clock())
        headers.setRawHeaders(TIMEOUT_HEADER, [f"{remaining_seconds:.3f}"])
        trace = self._child_span.header if self._child_span is not None else None
        if trace is not None:
            headers.setRawHeaders(TRACE_HEADER, [trace])
        return headers

    def _send_head(self, body_bytes: int | None) -> None:
        assert self._response is not None
        self._request.setResponseCode(self._response.code, self._response.phrase)
        headers = end_to_end_headers(self._response.headers)
        for name, values in headers.getAllRawHeaders():
            self._request.responseHeaders.setRawHeaders(name, list(values))
        if body_bytes is None and isinstance(self._response.length, int):
            body_bytes = self._response.length
        if body_bytes is not None and self._request.method != b"HEAD":
            self._request.setHeader("Content-Length", str(body_bytes))

    def _finish(self, body: bytes, result: str) -> None:
        if self._is_finished:
            return
        self._mark_finished(result)
        if body:
            if not self._request.startedWriting:
                self._request.setHeader("Content-Length", str(len(body)))
            self._request.write(body)
        self._request.finish()

    def _mark_finished(self, result: str) -> None:
        self._is_finished = True
        self._gateway.remove(self)
        self._gateway.host.remove_claim_listener(self._claim)
        self._end_child_span(result)
        self._span.end(result)
        seconds = self._gateway.clock() - self._began_at
        self._gateway.metrics.observe_seconds("request", seconds)

    def _end_child_span(self, result: str) -> None:
        if self._child_span is not None:
            self._child_span.end(result)
            self._child_span = None

    def _caller_disconnected(self, _: Failure) -> None:
        if self._is_finished:
            return
        self._gateway.metrics.count("callers_gone")
        if self._core is not None:
            self._core.caller_disconnected()
        self._mark_finished("caller-gone")


class _AttemptProducer:
    """Apply the caller's backpressure to the backend server's connection."""

    def __init__(self, gateway_request: GatewayRequest) -> None:
        self._gateway_request = gateway_request

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause reading from the backend server."""
        self._gateway_request.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the backend server."""
        self._gateway_request.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the end of the caller's connection cancels the attempt."""
