"""Record what becomes of flows: all that goes wrong, and a sample of the rest."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kingcuppulley.internal.rendezvous import hash_bytes

SAMPLED_OF = 16


class KnownState:
    """Say by what a host decides, and how old that is.

    `age` is the seconds since any control host was heard.
    """

    __slots__ = ("version", "revision", "age")

    def __init__(self, version: int, revision: int, age: float) -> None:
        self.version = version
        self.revision = revision
        self.age = age


class EventSink(Protocol):
    """Write events."""

    def event(self, kind: str, **fields: object) -> None:
        """Write one event if there is room for it."""


class FlowLog:
    """Record decisions about flows.

    Every process samples the same flows, so that a sampled one is told by all hosts
    that it passed.
    """

    def __init__(self, sink: EventSink, known_state: Callable[[], KnownState]) -> None:
        self._sink = sink
        self._known_state = known_state

    def record_routine(self, flow: bytes, outcome: str, **inputs: object) -> None:
        """Record a step that is as it should be, for a sample of flows."""
        if hash_bytes(flow) % SAMPLED_OF == 0:
            self.record_anomaly(flow, outcome, **inputs)

    def record_anomaly(self, flow: bytes, outcome: str, **inputs: object) -> None:
        """Record a step that a flow's caller may notice."""
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
