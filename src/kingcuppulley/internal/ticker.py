"""Call a function at a fixed interval."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Ticker:
    """Call a function at a fixed interval until it is stopped.

    The event loop's exception handler receives the error of a call that fails, and the
    calls continue.
    """

    __slots__ = ("_loop", "_interval_seconds", "_callback", "_timer")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        interval_seconds: float,
        callback: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._interval_seconds = interval_seconds
        self._callback = callback
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the next call, one interval from now."""
        self._timer = self._loop.call_later(self._interval_seconds, self._run)

    def stop(self) -> None:
        """Cancel the next call."""
        if self._timer is not None:
            self._timer.cancel()

    def _run(self) -> None:
        self.start()
        self._callback()
