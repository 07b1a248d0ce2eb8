"""Call a function at a steady pace."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Ticker:
    """Call a function every so many seconds until it is stopped.

    A call that fails is left to the loop's exception handler and ends no later one.
    """

    __slots__ = ("_loop", "_seconds", "_function", "_timer")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seconds: float,
        function: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._seconds = seconds
        self._function = function
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Make the first call after one interval."""
        self._timer = self._loop.call_later(self._seconds, self._run)

    def stop(self) -> None:
        """Make no further call."""
        if self._timer is not None:
            self._timer.cancel()

    def _run(self) -> None:
        self.start()
        self._function()
