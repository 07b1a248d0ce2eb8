"""Remember the target of each open flow in two generations."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator


class FlowTable:
    """Map a flow's 64-bit hash to the number of its target.

    The key is the hash rather than the 13 bytes of the flow: an `int` takes 32 bytes
    where `bytes` takes 48, and the same number serves as bucket and as what hosts
    send each other.  Two flows of one service that collide share a target, which
    harms neither; of two services, the check before sending tells them apart.

    A flow that is silent for a whole generation is forgotten with it.  No time stamp
    is kept per flow: a packet moves its flow to the young generation, and a rotation
    drops the old one in a single step.

    A flow whose caller has sent its last packet is stored as the complement of its
    target's number.  It still finds its target, because the answer may go on, but it
    no longer counts against the connections that the target bears.
    """

    __slots__ = (
        "_young",
        "_old",
        "_open_counts",
        "_rotation_deadline",
        "_generation_seconds",
    )

    def __init__(self, generation_seconds: float, now: float) -> None:
        self._young: dict[int, int] = {}
        self._old: dict[int, int] = {}
        self._open_counts: Counter[int] = Counter()
        self._generation_seconds = generation_seconds
        self._rotation_deadline = now + generation_seconds

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    @property
    def generation_seconds(self) -> float:
        """Return the seconds of silence after which a flow may be forgotten."""
        return self._generation_seconds

    def get(self, flow: int) -> int | None:
        """Return the target of a flow and keep the flow, or None if it is unknown."""
        stored = self._young.get(flow)
        if stored is None:
            stored = self._old.pop(flow, None)
            if stored is None:
                return None
            self._young[flow] = stored
        return stored if stored >= 0 else ~stored

    def peek(self, flow: int) -> int | None:
        """Return the target of a flow without counting as a packet of it."""
        stored = self._stored(flow)
        return ~stored if stored is not None and stored < 0 else stored

    def is_ended(self, flow: int) -> bool:
        """Return whether the caller has sent the last packet of a known flow."""
        stored = self._stored(flow)
        return stored is not None and stored < 0

    def open_count(self, target: int) -> int:
        """Return how many flows of a target are open."""
        return self._open_counts[target]

    def put(self, flow: int, target: int) -> None:
        """Remember the target of an open flow."""
        self.forget(flow)
        self._young[flow] = target
        self._open_counts[target] += 1

    def end(self, flow: int) -> None:
        """Stop counting a flow as open, but keep its target."""
        stored = self._stored(flow)
        if stored is None or stored < 0:
            return
        self._old.pop(flow, None)
        self._young[flow] = ~stored
        self._open_counts[stored] -= 1

    def forget(self, flow: int) -> None:
        """Drop a flow if it is known."""
        stored = self._young.pop(flow, None)
        if stored is None:
            stored = self._old.pop(flow, None)
        if stored is not None and stored >= 0:
            self._open_counts[stored] -= 1

    def rotate(self, now: float) -> None:
        """Drop what was silent for a whole generation once its deadline has passed."""
        if now < self._rotation_deadline:
            return
        self._open_counts.subtract(n for n in self._old.values() if n >= 0)
        self._old = self._young
        self._young = {}
        self._rotation_deadline = now + self._generation_seconds

    def flows(self) -> Iterator[int]:
        """Yield the hash of each flow as the table stands now."""
        yield from list(self._old)
        yield from list(self._young)

    def _stored(self, flow: int) -> int | None:
        stored = self._young.get(flow)
        return self._old.get(flow) if stored is None else stored
