"""Define the interface by which protocol logic sends messages.

The task that owns the sockets implements it.
"""

from __future__ import annotations

from typing import Protocol, TypeVar

Message = TypeVar("Message", contravariant=True)


class Sender(Protocol[Message]):
    """Send messages to hosts by name; delivery is not guaranteed."""

    def send(self, host: str, message: Message) -> None:
        """Send one message."""
