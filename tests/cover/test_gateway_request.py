"""Check what the gateway forwards, and how long it waits for a backend server."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.web.http import Request
from twisted.web.http_headers import Headers
from twisted.web.test.requesthelper import DummyChannel

from kingcuppulley.callers.gateway import GatewayRequest
from kingcuppulley.callers.headers import (
    MAXIMUM_TIMEOUT_SECONDS,
    InvalidHeaderError,
    end_to_end_headers,
    read_key,
    read_timeout_seconds,
)
from kingcuppulley.callers.request import RequestStage
from kingcuppulley.callers.service_times import ServiceTimes
from kingcuppulley.entry_hosts.messages import AttemptOutcome
from kingcuppulley.internal.tracing import NoTracer

IDLE_SECONDS = 5.0


def request_with(**headers: str) -> Request:
    request = Request(DummyChannel(), False)
    for name, value in headers.items():
        request.requestHeaders.addRawHeader(name.replace("_", "-"), value)
    return request


def test_headers_that_connection_names_are_not_forwarded():
    """They concern the caller's connection, and could change the server's framing."""
    headers = Headers(
        {
            "Connection": ["close, X-Hop", "x-other"],
            "X-Hop": ["1"],
            "X-Other": ["2"],
            "X-Kept": ["3"],
            "Transfer-Encoding": ["chunked"],
        }
    )
    forwarded = dict(end_to_end_headers(headers).getAllRawHeaders())
    assert forwarded == {b"X-Kept": [b"3"]}


@given(st.text(max_size=300))
def test_a_timeout_is_read_or_refused_with_the_typed_error(text):
    try:
        seconds = read_timeout_seconds(request_with(Request_Timeout=text), 1.0)
    except InvalidHeaderError:
        return
    assert 0 < seconds <= MAXIMUM_TIMEOUT_SECONDS


@pytest.mark.parametrize("key", ["", "k" * 201, "a\tb"])
def test_a_key_that_cannot_be_stored_is_refused(key):
    with pytest.raises(InvalidHeaderError):
        read_key(request_with(Idempotency_Key=key))


class Attempt:
    """Record whether the attempt was cancelled."""

    is_cancelled = False

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass

    def cancel(self) -> None:
        self.is_cancelled = True


class Answering:
    """Serve one request whose answer has begun, on a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self.outcomes: list[AttemptOutcome] = []
        gateway = SimpleNamespace(
            clock=lambda: self.now,
            settings=SimpleNamespace(idle_seconds=IDLE_SECONDS),
            service_times=ServiceTimes(),
            metrics=SimpleNamespace(count=lambda _: None),
            tracer=NoTracer(),
        )
        service = SimpleNamespace(identity="desk")
        self.request = GatewayRequest(gateway, service, request_with())
        self.attempt = self.request._attempt = Attempt()
        self.request._core = SimpleNamespace(
            tick=lambda now: None,
            attempt_failed=lambda outcome, now: self.outcomes.append(outcome),
            stage=RequestStage.ANSWERING,
        )
        self.request.attempt_head(SimpleNamespace())

    def is_cancelled_at(self, now: float) -> bool:
        self.now = now
        self.request.tick(now)
        return self.attempt.is_cancelled


def test_a_server_that_stops_sending_is_cancelled_after_the_idle_time():
    answering = Answering()
    assert not answering.is_cancelled_at(IDLE_SECONDS - 0.1)
    assert answering.is_cancelled_at(IDLE_SECONDS)
    assert answering.outcomes == [AttemptOutcome.TIMEOUT]


def test_a_server_is_not_blamed_for_a_caller_that_stops_reading():
    """The caller must not hold the slot for ever, but the server is not slow."""
    answering = Answering()
    answering.request.pause()
    assert answering.is_cancelled_at(IDLE_SECONDS)
    assert answering.outcomes == [AttemptOutcome.CANCELLED]


def test_a_caller_that_reads_slowly_gets_the_whole_idle_time_after_each_read():
    answering = Answering()
    for now in (4.0, 8.0, 12.0):
        answering.request.pause()
        assert not answering.is_cancelled_at(now)
        answering.request.resume()
    assert answering.is_cancelled_at(12.0 + IDLE_SECONDS)
    assert answering.outcomes == [AttemptOutcome.TIMEOUT]
