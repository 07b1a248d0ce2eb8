"""Decide how many requests one backend server can serve concurrently."""

from __future__ import annotations

from kingcuppulley.backend_servers.records import TargetState
from kingcuppulley.entry_hosts.messages import AttemptOutcome
from kingcuppulley.model import Service

SUCCESSES_TO_RAISE = 3
BACKOFF_SECONDS = 0.5
SLOW_SERVICE_TIME_FACTOR = 3.0
MINIMUM_AVERAGE_SECONDS = 0.05
# Weight of a new service time in the moving average.
AVERAGE_WEIGHT = 0.2


class SlotLimit:
    """Raise a backend server's slot limit slowly and lower it at once.

    A server that reports that it is warm may not be: its reported state and its load
    endpoint lag or mislead.  The limit rises above that of a cold server only if three
    conditions hold: the maximum duration of a cold start has passed, the server does
    not report that it is cold, and `SUCCESSES_TO_RAISE` answers in a row had a typical
    service time.  The duration alone would trust a server that has fallen back into
    cold start.  Answers alone would find the limit of a cold server only by exceeding
    it, once at each start.

    A shed request, a lost one or a sudden rise in service time is the first sign that a
    server has fallen back into cold start.  It lowers the limit to that of a cold
    server.
    """

    __slots__ = (
        "_service",
        "_limit",
        "_successes",
        "_average_seconds",
        "_backoff_deadline",
        "_cold_deadline",
    )

    def __init__(self, service: Service, proven_slots: int, now: float) -> None:
        self._service = service
        # A new coordinator starts with the limit that the previous one had reached.
        self._limit = min(service.slots, max(service.cold_slots, proven_slots))
        self._successes = 0
        self._average_seconds = 0.0
        self._backoff_deadline = 0.0
        self._cold_deadline = now + service.cold_seconds

    @property
    def proven(self) -> int:
        """Return the limit that applies to a warm server without a backoff."""
        return self._limit

    @property
    def slots(self) -> int:
        """Return how many requests a warm server can serve concurrently."""
        return self._service.slots

    def current(self, state: TargetState, now: float) -> int:
        """Return how many requests the server may have now, given its reported state.

        This is 0 for `BACKOFF_SECONDS` after a failed request.
        """
        if now < self._backoff_deadline:
            return 0
        if state is TargetState.COLD:
            return min(self._limit, self._service.cold_slots)
        return self._limit

    def became_cold(self, now: float) -> None:
        """Lower the limit to that of a cold server and restart the cold start."""
        self._limit = self._service.cold_slots
        self._successes = 0
        self._cold_deadline = now + self._service.cold_seconds

    def update_service(self, service: Service) -> None:
        """Apply a changed service; a limit above its slots is lowered at once."""
        self._service = service
        self._limit = min(self._limit, service.slots)

    def record(
        self, outcome: AttemptOutcome, service_seconds: float, now: float
    ) -> None:
        """Update the limit by the outcome and service time of one request."""
        if outcome is AttemptOutcome.CANCELLED:
            return
        if outcome is AttemptOutcome.TIMEOUT and not self._is_slow(service_seconds):
            # The request timed out because it had waited long before it reached the
            # server, not because the server was slow.  Lowering the limit would lose
            # slots just when they are needed most.
            return
        if outcome is not AttemptOutcome.ANSWERED:
            self.became_cold(now)
            self._backoff_deadline = now + BACKOFF_SECONDS
            return
        if self._is_slow(service_seconds):
            self.became_cold(now)
        elif now >= self._cold_deadline:
            self._count_success()
        self._average_seconds += AVERAGE_WEIGHT * (
            service_seconds - self._average_seconds
        )

    def _count_success(self) -> None:
        self._successes += 1
        if self._successes >= SUCCESSES_TO_RAISE and self._limit < self.slots:
            self._limit += 1
            self._successes = 0

    def _is_slow(self, service_seconds: float) -> bool:
        average = max(self._average_seconds, MINIMUM_AVERAGE_SECONDS)
        return (
            self._average_seconds > 0
            and service_seconds > SLOW_SERVICE_TIME_FACTOR * average
        )
