"""Decide how many requests one backend server bears at this moment."""

from __future__ import annotations

from kingcuppulley.backend_servers.records import TargetState
from kingcuppulley.entry_hosts.messages import AttemptOutcome
from kingcuppulley.model import Service

SUCCESSES_TO_RAISE = 3
BACKOFF_SECONDS = 0.5
SLOW_FACTOR = 3.0
SLOW_FLOOR_SECONDS = 0.05
AVERAGE_WEIGHT = 0.2


class SlotLimit:
    """Raise a backend server's limit slowly and lower it at once.

    A server that says it is warm may not be: its word and its load endpoint lag or
    mislead.  Three things must agree before the limit rises above what a cold server
    bears: the time that a cold start takes at most has passed, the server does not
    say that it is cold, and `SUCCESSES_TO_RAISE` answers in a row came at the usual
    speed.  The time alone would trust a server that fell back; answers alone push a
    cold server past its limit to find out, once at each start.

    A shed, a loss or a sudden rise in service time is the first sign of a fall back
    into cold start, and takes the limit to what a cold server bears.
    """

    __slots__ = (
        "_service",
        "_limit",
        "_successes",
        "_average_seconds",
        "_backoff_until_deadline",
        "_cold_until_deadline",
    )

    def __init__(self, service: Service, proven_slots: int, now: float) -> None:
        self._service = service
        # A new steward goes on from what the former one had found out.
        self._limit = min(service.slots, max(service.cold_slots, proven_slots))
        self._successes = 0
        self._average_seconds = 0.0
        self._backoff_until_deadline = 0.0
        self._cold_until_deadline = now + service.cold_seconds

    @property
    def proven(self) -> int:
        """Return the limit apart from any pause."""
        return self._limit

    @property
    def slots(self) -> int:
        """Return the slots that the backend server bears when warm."""
        return self._service.slots

    def current(self, state: TargetState, now: float) -> int:
        """Return how many requests the backend server may have at this moment."""
        if now < self._backoff_until_deadline:
            return 0
        if state is TargetState.COLD:
            return min(self._limit, self._service.cold_slots)
        return self._limit

    def became_cold(self, now: float) -> None:
        """Start again at what a cold server bears."""
        self._limit = self._service.cold_slots
        self._successes = 0
        self._cold_until_deadline = now + self._service.cold_seconds

    def update_service(self, service: Service) -> None:
        """Take a changed service; a limit above what is borne now shrinks at once."""
        self._service = service
        self._limit = min(self._limit, service.slots)

    def record(self, outcome: AttemptOutcome, seconds: float, now: float) -> None:
        """Take the end of one request."""
        if outcome is AttemptOutcome.CANCELLED:
            return
        if outcome is AttemptOutcome.TIMEOUT and not self._is_slow(seconds):
            # The caller's time ran out, not the server's: the request had waited long
            # before it got here.  Punishing the server would lose its slots just when
            # they are needed most.
            return
        if outcome is not AttemptOutcome.ANSWERED:
            self.became_cold(now)
            self._backoff_until_deadline = now + BACKOFF_SECONDS
            return
        if self._is_slow(seconds):
            self.became_cold(now)
        elif now >= self._cold_until_deadline:
            self._count_success()
        self._average_seconds += AVERAGE_WEIGHT * (seconds - self._average_seconds)

    def _count_success(self) -> None:
        self._successes += 1
        if self._successes >= SUCCESSES_TO_RAISE and self._limit < self.slots:
            self._limit += 1
            self._successes = 0

    def _is_slow(self, seconds: float) -> bool:
        usual = max(self._average_seconds, SLOW_FLOOR_SECONDS)
        return self._average_seconds > 0 and seconds > SLOW_FACTOR * usual
