"""Read the configurations that the routing states of one control host name."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kingcuppulley.control.content_exchange import ContentExchange
from kingcuppulley.control.proposer import StateCallback
from kingcuppulley.control.state import RoutingState
from kingcuppulley.errors import InvalidConfigurationError, MalformedMessageError
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators.routing import RoutingConfiguration


class ControlLog(Protocol):
    """Log changes of this process's known state."""

    def event(self, kind: str, **fields: object) -> None:
        """Log one event with its fields."""


class _PendingRead:
    """Hold a read whose state is certain until the state's content has arrived."""

    __slots__ = ("state", "on_result", "deadline")

    def __init__(
        self, state: RoutingState, on_result: StateCallback, deadline: float
    ) -> None:
        self.state = state
        self.on_result = on_result
        self.deadline = deadline


class ConfigurationReader:
    """Read the configurations of states, and fetch contents that are not held.

    A configuration that cannot be read is logged and counted.
    """

    __slots__ = ("_contents", "_decode", "_log", "_metrics", "_pending")

    def __init__(
        self,
        contents: ContentExchange,
        decode: Callable[[bytes], RoutingConfiguration],
        log: ControlLog,
        metrics: Metrics,
    ) -> None:
        self._contents = contents
        self._decode = decode
        self._log = log
        self._metrics = metrics
        self._pending: list[_PendingRead] = []

    def document(self, state: RoutingState) -> bytes | None:
        """Return the configuration in a state, as the operator sent it, or None."""
        try:
            content = self._contents.contents.content(state)
        except MalformedMessageError as error:
            self._record_malformed(error)
            return None
        return None if content is None else content.document

    def configuration(self, state: RoutingState) -> RoutingConfiguration | None:
        """Return the configuration in a state, or None if it cannot be read."""
        document = self.document(state)
        if document is None:
            return None
        try:
            return self._decode(document)
        except InvalidConfigurationError as error:
            self._record_malformed(error)
            return None

    def await_content(
        self, state: RoutingState, on_result: StateCallback, deadline: float, now: float
    ) -> None:
        """Pass a state on once its content is held, or None after the deadline."""
        if self._contents.contents.holds(state):
            on_result(state)
            return
        self._contents.fetch(state, "", now)
        self._pending.append(_PendingRead(state, on_result, deadline))

    def tick(self, now: float) -> None:
        """Answer the reads whose content has arrived, or is late."""
        pending, self._pending = self._pending, []
        for read in pending:
            if self._contents.contents.holds(read.state):
                read.on_result(read.state)
            elif now >= read.deadline:
                read.on_result(None)
            else:
                self._pending.append(read)

    def _record_malformed(self, error: Exception) -> None:
        self._metrics.count("states_malformed")
        self._log.event("state malformed", reason=str(error))
