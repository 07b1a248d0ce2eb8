"""Store the target of each open flow, and expire idle flows by generation."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator


class FlowTable:
    """Map a flow's 64-bit hash to the number of its target.

    The key is the hash rather than the 13 bytes of the flow: an `int` takes 32 bytes
    where `bytes` takes 48, and the same number gives the bucket and identifies the flow
    in messages between hosts.  Two flows of one service that collide share a target,
    which harms neither.  For flows of two services that collide, the router compares
    the target's service before it sends a packet.

    A flow without a packet for a whole generation expires.  No timestamp is stored per
    flow: a packet moves its flow to the young generation, and a rotation drops the old
    generation in a single step.

    A flow whose caller has sent its last packet is stored as the complement of its
    target's number.  Its packets still reach the target, because the answer may still
    be in progress, but it no longer counts towards the target's connection limit.
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
        """Return after how many seconds without a packet a flow may expire."""
        return self._generation_seconds

    def get(self, flow: int) -> int | None:
        """Return the target of a flow, or None, and renew the flow."""
        stored = self._young.get(flow)
        if stored is None:
            stored = self._old.pop(flow, None)
            if stored is None:
                return None
            self._young[flow] = stored
        return stored if stored >= 0 else ~stored

    def peek(self, flow: int) -> int | None:
        """Return the target of a flow, or None, without renewing the flow."""
        stored = self._stored(flow)
        return ~stored if stored is not None and stored < 0 else stored

    def is_ended(self, flow: int) -> bool:
        """Return whether the caller has sent the last packet of a known flow."""
        stored = self._stored(flow)
        return stored is not None and stored < 0

    def open_count(self, target: int) -> int:
        """Return how many open flows a target has."""
        return self._open_counts[target]

    def put(self, flow: int, target: int) -> None:
        """Store the target of an open flow."""
        self.remove(flow)
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

    def remove(self, flow: int) -> None:
        """Remove a flow if it is known."""
        stored = self._young.pop(flow, None)
        if stored is None:
            stored = self._old.pop(flow, None)
        if stored is not None and stored >= 0:
            self._open_counts[stored] -= 1

    def rotate(self, now: float) -> None:
        """Expire the old generation if the rotation is due."""
        if now < self._rotation_deadline:
            return
        self._open_counts.subtract(n for n in self._old.values() if n >= 0)
        self._old = self._young
        self._young = {}
        self._rotation_deadline = now + self._generation_seconds

    def flows(self) -> Iterator[int]:
        """Yield the hash of each flow; the table may change during the iteration."""
        yield from list(self._old)
        yield from list(self._young)

    def _stored(self, flow: int) -> int | None:
        stored = self._young.get(flow)
        return self._old.get(flow) if stored is None else stored
