"""Tell the time: Unix time that never jumps while the process runs."""

from __future__ import annotations

import time


class ProcessClock:
    """Count on from the Unix time at which the process started.

    Deadlines must not move when the machine's clock is set, yet idempotency keys carry
    the time of their issue.  One clock for both is Unix time at the start plus the
    monotonic time since.
    """

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return Unix time in seconds."""
        return self._offset + time.monotonic()
