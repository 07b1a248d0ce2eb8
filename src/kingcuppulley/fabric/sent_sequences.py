"""Recognise packets that a caller repeats although they were sent on."""

from __future__ import annotations

from collections import OrderedDict

MAXIMUM_FLOWS = 256
_SEQUENCE_MASK = 0xFFFF_FFFF
_HALF_OF_SEQUENCES = 0x8000_0000


class SentSequences:
    """Keep the highest sequence number sent of flows that had queued packets lately.

    A packet whose first copy was dropped counts as a repeat too if a later packet of
    the flow was sent before it.
    """

    __slots__ = ("_highest",)

    def __init__(self) -> None:
        self._highest: OrderedDict[bytes, int] = OrderedDict()

    @property
    def flows(self) -> OrderedDict[bytes, int]:
        """Return the highest sequence number sent of each known flow."""
        return self._highest

    def record_queued(self, flow: bytes, sequence: int) -> bool:
        """Record a packet that was queued, and return whether it is a repeat."""
        if flow in self._highest:
            self._highest.move_to_end(flow)
            return self.record(flow, sequence)
        self._highest[flow] = sequence
        if len(self._highest) > MAXIMUM_FLOWS:
            self._highest.popitem(last=False)
        return False

    def record(self, flow: bytes, sequence: int) -> bool:
        """Record a packet if its flow is known, and return whether it is a repeat."""
        highest = self._highest.get(flow)
        if highest is None:
            return False
        if _is_after(sequence, highest):
            self._highest[flow] = sequence
            return False
        return True


def _is_after(sequence: int, other: int) -> bool:
    """Return whether a sequence number, which wraps around, is after another one."""
    return 0 < (sequence - other) & _SEQUENCE_MASK < _HALF_OF_SEQUENCES
