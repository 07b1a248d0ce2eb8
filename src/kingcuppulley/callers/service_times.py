"""Track how long the backend servers of each service take to start an answer."""

from __future__ import annotations

AVERAGE_WEIGHT = 0.1
HEADROOM_FACTOR = 1.5
MAXIMUM_SHARE_OF_TIMEOUT = 0.5


class ServiceTimes:
    """Keep an exponential moving average, in seconds, of each service's attempts.

    An attempt counts from its start to the headers of its answer.
    """

    __slots__ = ("_averages",)

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def record(self, service: str, seconds: float) -> None:
        """Update the average with one attempt that was answered."""
        average = self._averages.get(service, seconds)
        self._averages[service] = average + AVERAGE_WEIGHT * (seconds - average)

    def expected_seconds(self, service: str, timeout_seconds: float) -> float:
        """Return the seconds to reserve for one attempt, with some headroom.

        The result is at most `MAXIMUM_SHARE_OF_TIMEOUT` of the caller's time-out.
        Without this bound, an average that is too high would refuse every request and
        so never be corrected.
        """
        average_with_headroom = HEADROOM_FACTOR * self._averages.get(service, 0.0)
        return min(average_with_headroom, MAXIMUM_SHARE_OF_TIMEOUT * timeout_seconds)
