"""Decide how many requests one backend server bears at this moment."""

from __future__ import annotations

from kingcuppulley.backend_servers.records import TargetState
from kingcuppulley.entry_hosts.messages import AttemptOutcome

SUCCESSES_TO_RAISE = 3
BACKOFF_SECONDS = 0.5
SLOW_FACTOR = 3.0
SLOW_FLOOR_SECONDS = 0.05
AVERAGE_WEIGHT = 0.2


class SlotLimit:
    """Raise a backend server's limit slowly and lower it at once.

    The announced state and the load endpoint lag or mislead, so neither raises the
    limit.  Only answers do: `SUCCESSES_TO_RAISE` in a row at the usual speed add one
    slot.  A shed, a loss or a sudden rise in service time is the first sign of a fall
    back into cold start, and takes the limit to what a cold server bears.
    """

    __slots__ = (
        "_cold_slots",
        "_slots",
        "_limit",
        "_successes",
        "_average_seconds",
        "_backoff_until_deadline",
    )

    def __init__(self, cold_slots: int, slots: int) -> None:
        self._cold_slots = cold_slots
        self._slots = slots
        self._limit = cold_slots
        self._successes = 0
        self._average_seconds = 0.0
        self._backoff_until_deadline = 0.0

    @property
    def slots(self) -> int:
        """Return the slots that the backend server bears when warm."""
        return self._slots

    def current(self, state: TargetState, now: float) -> int:
        """Return how many requests the backend server may have at this moment."""
        if now < self._backoff_until_deadline:
            return 0
        if state is TargetState.COLD:
            return min(self._limit, self._cold_slots)
        return self._limit

    def became_cold(self) -> None:
        """Start again at what a cold server bears."""
        self._limit = self._cold_slots
        self._successes = 0

    def record(self, outcome: AttemptOutcome, seconds: float, now: float) -> None:
        """Take the end of one request."""
        if outcome is AttemptOutcome.CANCELLED:
            return
        if outcome is not AttemptOutcome.ANSWERED:
            self.became_cold()
            self._backoff_until_deadline = now + BACKOFF_SECONDS
            return
        if self._is_slow(seconds):
            self.became_cold()
        else:
            self._successes += 1
            if self._successes >= SUCCESSES_TO_RAISE and self._limit < self._slots:
                self._limit += 1
                self._successes = 0
        self._average_seconds += AVERAGE_WEIGHT * (seconds - self._average_seconds)

    def _is_slow(self, seconds: float) -> bool:
        usual = max(self._average_seconds, SLOW_FLOOR_SECONDS)
        return self._average_seconds > 0 and seconds > SLOW_FACTOR * usual
