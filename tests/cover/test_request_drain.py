"""Check that a leaving entry host stops only when every answer has been sent."""

from __future__ import annotations

from types import SimpleNamespace

from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from kingcuppulley.callers.listeners import ServiceSite
from kingcuppulley.callers.request_drain import (
    DRAIN_CHECK_INTERVAL_SECONDS,
    MAXIMUM_DRAIN_CHECKS,
    MINIMUM_LEAVE_SECONDS,
    RequestDrain,
)

LEAVE_SECONDS = 10.0


class Connections:
    """Hold connections; those that are closing still have data to send."""

    def __init__(self, open_connections: int, pending_connections: int = 0) -> None:
        self.open_connection_count = open_connections
        self.pending_connection_count = pending_connections
        self.is_stopped = False
        self.is_closing = False

    def stop(self) -> None:
        self.is_stopped = True

    def close_connections(self) -> None:
        self.is_closing = True


class Leave:
    def __init__(self, active_requests: int, connections: Connections) -> None:
        self.requests = SimpleNamespace(active_count=active_requests)
        self.connections = connections
        self.timer = Clock()
        self.drained_at: float | None = None
        drain = RequestDrain(
            self.requests,
            connections,
            self.timer,
            self.timer.seconds,
            LEAVE_SECONDS,
            self._drained,
        )
        drain.check()

    def _drained(self) -> None:
        self.drained_at = self.timer.seconds()

    def advance(self, seconds: float) -> None:
        checks = round(seconds / DRAIN_CHECK_INTERVAL_SECONDS)
        self.timer.pump([DRAIN_CHECK_INTERVAL_SECONDS] * checks)


def test_an_answer_in_a_connections_buffer_is_sent_before_the_host_stops():
    # The request is done once its answer is written; stopping then loses what the
    # connection has not sent yet.
    leave = Leave(0, Connections(open_connections=1))
    leave.advance(MINIMUM_LEAVE_SECONDS + 1.0)
    assert leave.connections.is_closing
    assert leave.drained_at is None
    leave.connections.open_connection_count = 0
    leave.advance(0.1)
    assert leave.drained_at is not None


def test_connections_stay_open_while_a_request_is_in_progress():
    leave = Leave(1, Connections(open_connections=1))
    leave.advance(MINIMUM_LEAVE_SECONDS + 1.0)
    assert leave.connections.is_stopped
    assert not leave.connections.is_closing


def test_a_connection_without_a_request_is_closed_after_some_checks():
    leave = Leave(0, Connections(open_connections=1, pending_connections=1))
    leave.advance(MINIMUM_LEAVE_SECONDS + DRAIN_CHECK_INTERVAL_SECONDS)
    assert not leave.connections.is_closing
    leave.advance(MAXIMUM_DRAIN_CHECKS * DRAIN_CHECK_INTERVAL_SECONDS)
    assert leave.connections.is_closing


def test_a_caller_that_never_reads_does_not_keep_the_host_for_ever():
    leave = Leave(0, Connections(open_connections=1))
    leave.advance(LEAVE_SECONDS + 0.1)
    assert leave.drained_at is not None


def test_a_host_without_connections_stops_after_the_minimum():
    leave = Leave(0, Connections(open_connections=0))
    leave.advance(MINIMUM_LEAVE_SECONDS + DRAIN_CHECK_INTERVAL_SECONDS)
    assert leave.drained_at is not None
    assert leave.drained_at >= MINIMUM_LEAVE_SECONDS


def test_a_connection_counts_as_open_until_its_transport_has_closed():
    settings = SimpleNamespace(idle_seconds=60, maximum_body_bytes=1000)
    site = ServiceSite(SimpleNamespace(settings=settings), SimpleNamespace())
    channel = site.buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    assert len(site.open_connections) == 1
    channel.loseConnection()
    assert transport.disconnecting
    assert len(site.open_connections) == 1
    channel.connectionLost(Failure(ConnectionDone()))
    assert not site.open_connections
