"""Name what the tasks need of the reactor.

Twisted declares its interfaces in a way that the type checker reads wrongly (methods
without `self`), so the few calls that are used stand here as protocols.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """Call a function later."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> Any:
        """Call a function after some seconds."""


class ReaderReactor(Protocol):
    """Watch descriptors."""

    def addReader(self, reader: Any) -> None:  # noqa: N802
        """Begin to watch a reader."""

    def removeReader(self, reader: Any) -> None:  # noqa: N802
        """Stop watching a reader."""


class ListeningReactor(Protocol):
    """Listen on TCP ports."""

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        """Listen on a port and return it."""
