"""Remember how long attempts of each service usually take."""

from __future__ import annotations

AVERAGE_WEIGHT = 0.1
HEADROOM = 1.5
MAXIMUM_SHARE_OF_DEADLINE = 0.5


class ServiceTimes:
    """Keep a moving average of the seconds that attempts of each service take."""

    __slots__ = ("_averages",)

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def record(self, service: str, seconds: float) -> None:
        """Take the length of one attempt that was answered."""
        average = self._averages.get(service, seconds)
        self._averages[service] = average + AVERAGE_WEIGHT * (seconds - average)

    def expected(self, service: str, timeout_seconds: float) -> float:
        """Return the seconds to leave for an attempt, with some headroom.

        Never more than a share of the caller's own time: an average that has become
        wrong must not refuse every request, or it would never be corrected.
        """
        usual = HEADROOM * self._averages.get(service, 0.0)
        return min(usual, MAXIMUM_SHARE_OF_DEADLINE * timeout_seconds)
