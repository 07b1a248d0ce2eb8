"""Provide Unix time that never jumps while the process runs."""

from __future__ import annotations

import time


class ProcessClock:
    """Add the time since the process started to its Unix start time.

    Deadlines must not move when the machine's clock is set, but idempotency keys
    contain the Unix time at which they were issued.  This clock serves both.  Time in
    which the machine is suspended counts, because it passes for all other hosts: leases
    expire, and callers give up.
    """

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        self._offset = time.time() - _steady_seconds()

    def now(self) -> float:
        """Return Unix time in seconds."""
        return self._offset + _steady_seconds()


def _steady_seconds() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
