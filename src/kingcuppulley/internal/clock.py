"""Provide Unix time that never jumps while the process runs."""

from __future__ import annotations

import time


class ProcessClock:
    """Add the monotonic time since the process started to its Unix start time.

    Deadlines must not move when the machine's clock is set, but idempotency keys
    contain the Unix time at which they were issued.  This clock serves both.
    """

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return Unix time in seconds."""
        return self._offset + time.monotonic()
