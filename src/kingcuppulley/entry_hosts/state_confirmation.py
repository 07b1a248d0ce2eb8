"""Notice pauses of an entry host, after which its known state may be outdated."""

from __future__ import annotations

from random import Random

# Shorter than any time for which an operator takes a zone out, and longer than the
# stalls of a host that is only slow.
PAUSE_SECONDS = 1.0
# A host that gets no answer is cut off, and continues with the state that it has.
CONFIRMATION_TIMEOUT_SECONDS = 0.5
_MAXIMUM_NUMBER = (1 << 32) - 1


class StateConfirmation:
    """Track whether a control host has confirmed the state since the last pause.

    Updates that waited in the socket may be from the time of the pause.  Only an answer
    to a subscription that was sent afterwards confirms the state.

    Attributes
    ----------
    number : int
        Sent with a subscription and named by its answer; 0 if no answer is needed.
    """

    __slots__ = (
        "number",
        "_generator",
        "_last_active_at",
        "_deadline",
        "_required_revision",
    )

    def __init__(self, generator: Random) -> None:
        self.number = 0
        self._generator = generator
        self._last_active_at = float("inf")
        self._deadline = 0.0
        self._required_revision = -1

    def record_activity(self, now: float) -> bool:
        """Record that the process runs, and return whether a pause has just ended."""
        is_paused = now - self._last_active_at > PAUSE_SECONDS
        self._last_active_at = now
        if is_paused:
            self.number = self._generator.randint(1, _MAXIMUM_NUMBER)
            self._deadline = now + CONFIRMATION_TIMEOUT_SECONDS
            self._required_revision = -1
        return is_paused

    def receive_answer(self, number: int, revision: int) -> None:
        """Record the newest revision that the answer to a subscription names."""
        if number and number == self.number:
            self.number = 0
            self._required_revision = revision

    def is_pending(self, known_revision: int, now: float) -> bool:
        """Return whether the known state may still be that from before a pause."""
        if now >= self._deadline:
            return False
        return bool(self.number) or known_revision < self._required_revision
