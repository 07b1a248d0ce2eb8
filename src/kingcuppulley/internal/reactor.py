"""Define the parts of Twisted's reactor that tasks use, as protocols.

Twisted's own interfaces declare methods without `self`, which the type checker
misreads.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """Schedule calls."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> Any:
        """Call a function after `delay` seconds."""


class ReaderReactor(Protocol):
    """Watch descriptors for data to read."""

    def addReader(self, reader: Any) -> None:  # noqa: N802
        """Start to watch the descriptor of a reader."""

    def removeReader(self, reader: Any) -> None:  # noqa: N802
        """Stop watching the descriptor of a reader."""


class ListeningReactor(Protocol):
    """Listen on TCP ports."""

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        """Listen on a port and return the listening port object."""
