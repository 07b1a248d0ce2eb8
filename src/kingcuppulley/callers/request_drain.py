"""Drain an entry host's requests before its process stops."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kingcuppulley.internal.reactor import Timer

DRAIN_CHECK_INTERVAL_SECONDS = 0.05
# Time to hand flows over and to notify callers that this host is leaving.
MINIMUM_LEAVE_SECONDS = 1.0
# Maximum number of checks for which a leaving host waits for requests on the
# connections accepted last.  Checks are counted instead of seconds, because a host that
# is behind schedule still reads the data that has arrived before each check.
MAXIMUM_DRAIN_CHECKS = 40


class ActiveRequests(Protocol):
    """Count the requests in progress."""

    @property
    def active_count(self) -> int:
        """Return how many requests are in progress."""


class CallerConnections(Protocol):
    """Stop accepting callers' connections, and close those that are open."""

    @property
    def pending_connection_count(self) -> int:
        """Return the number of open connections without a complete request so far."""

    @property
    def open_connection_count(self) -> int:
        """Return the number of open connections."""

    def stop(self) -> None:
        """Stop accepting connections; open ones continue."""

    def close_connections(self) -> None:
        """Close each open connection once all that was written to it is sent."""


class RequestDrain:
    """Answer the requests in progress, send the answers in full, then stop.

    A request is no longer in progress when its answer has been written, but the answer
    may still wait in the connection's buffer.  The connections are therefore closed
    and the process stops only when they have sent everything.
    """

    __slots__ = (
        "_requests",
        "_connections",
        "_timer",
        "_clock",
        "_on_drained",
        "_earliest_stop",
        "_leave_deadline",
        "_checks_left",
        "_is_closing",
    )

    def __init__(
        self,
        requests: ActiveRequests,
        connections: CallerConnections,
        timer: Timer,
        clock: Callable[[], float],
        leave_deadline: float,
        on_drained: Callable[[], None],
    ) -> None:
        self._requests = requests
        self._connections = connections
        self._timer = timer
        self._clock = clock
        self._on_drained = on_drained
        self._earliest_stop = clock() + MINIMUM_LEAVE_SECONDS
        self._leave_deadline = leave_deadline
        self._checks_left = MAXIMUM_DRAIN_CHECKS
        self._is_closing = False

    def check(self) -> None:
        """Advance the drain, and check again shortly unless it is over."""
        now = self._clock()
        if now >= self._earliest_stop:
            # Until `_earliest_stop` the ports stay open, because callers may not know
            # that this host is leaving.
            self._connections.stop()
            self._close_when_idle()
        is_drained = self._is_closing and not self._connections.open_connection_count
        if is_drained or now >= self._leave_deadline:
            self._on_drained()
            return
        self._timer.callLater(DRAIN_CHECK_INTERVAL_SECONDS, self.check)

    def _close_when_idle(self) -> None:
        if self._requests.active_count:
            return
        if self._checks_left and self._connections.pending_connection_count:
            self._checks_left -= 1
            return
        self._is_closing = True
        self._connections.close_connections()
