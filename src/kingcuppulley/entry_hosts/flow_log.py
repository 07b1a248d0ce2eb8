"""Record steps of flows: all that a caller may notice, and a sample of the others."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kingcuppulley.internal.rendezvous import hash_bytes

FLOWS_PER_SAMPLED_FLOW = 16


class KnownState:
    """Describe the control state that a host bases its decisions on.

    `age` is the time in seconds since the last update from any control host.
    """

    __slots__ = ("version", "revision", "age")

    def __init__(self, version: int, revision: int, age: float) -> None:
        self.version = version
        self.revision = revision
        self.age = age


class EventSink(Protocol):
    """Write events."""

    def event(self, kind: str, **fields: object) -> None:
        """Write one event unless the log budget is used up."""


class FlowLog:
    """Record the steps of flows.

    Every process samples the same flows, selected by a hash, so that the logs contain
    the steps of a sampled flow on all hosts.
    """

    def __init__(self, sink: EventSink, known_state: Callable[[], KnownState]) -> None:
        self._sink = sink
        self._known_state = known_state

    def record_sampled_step(self, flow: bytes, outcome: str, **inputs: object) -> None:
        """Record an expected step if the flow belongs to the sample."""
        if hash_bytes(flow) % FLOWS_PER_SAMPLED_FLOW == 0:
            self.record_step(flow, outcome, **inputs)

    def record_step(self, flow: bytes, outcome: str, **inputs: object) -> None:
        """Record a step that the caller may notice, even if the flow is not sampled."""
        known_state = self._known_state()
        self._sink.event(
            "flow",
            flow=flow.hex(),
            outcome=outcome,
            version=known_state.version,
            revision=known_state.revision,
            age=round(known_state.age, 3),
            **inputs,
        )
