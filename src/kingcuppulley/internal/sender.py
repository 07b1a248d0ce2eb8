"""Define how a core sends messages: through the task that owns its sockets."""

from __future__ import annotations

from typing import Protocol, TypeVar

Message = TypeVar("Message", contravariant=True)


class Sender(Protocol[Message]):
    """Send messages by the name of their receiver; delivery is not promised."""

    def send(self, host: str, message: Message) -> None:
        """Send one message."""
