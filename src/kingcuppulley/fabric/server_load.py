"""Track the open flows of one backend server, its suspected failure and its speed."""

from __future__ import annotations

from kingcuppulley.fabric.server_speed import ServerSpeed
from kingcuppulley.fabric.server_timing import ServerTiming

# An established flow whose end is not reported counts for a multiple of the average
# duration, within these bounds.
MAXIMUM_COUNT_SECONDS = 2.0
MINIMUM_COUNT_SECONDS = 0.2
COUNTED_AVERAGE_DURATIONS = 4.0
DURATION_WEIGHT = 0.1
# Longest duration that enters the average, as a multiple of the average.
MAXIMUM_DURATION_GROWTH = 3.0
SERVER_SUSPICION_SECONDS = 1.0
MAXIMUM_SERVER_SUSPICION_SECONDS = 8.0


class ServerLoad:
    """Track the open flows of one backend server, its suspected failure and its speed.

    Attributes
    ----------
    own_flows : int
        Open flows that this host placed on the server.
    reported_flows : int
        Open flows that other hosts placed, by their valid reports.
    suspicion_seconds : float
        How long the next suspicion lasts.
    suspicion_deadline : float
        Until when other servers are preferred, because the server did not answer.
    next_placement_at : float
        Earliest time of the next flow while the server is cold or its zone unreachable.
    average_seconds : float
        Moving average of how long answered flows last.
    timing : ServerTiming
        Slowness of the server, and the requests that it is estimated from.
    next_probe_at : float
        Earliest time of the next flow that probes the server while it is slow.
    """

    __slots__ = (
        "own_flows",
        "reported_flows",
        "suspicion_seconds",
        "suspicion_deadline",
        "next_placement_at",
        "average_seconds",
        "timing",
        "next_probe_at",
    )

    def __init__(self) -> None:
        self.own_flows = 0
        self.average_seconds = MINIMUM_COUNT_SECONDS / COUNTED_AVERAGE_DURATIONS
        self.reported_flows = 0
        self.suspicion_seconds = SERVER_SUSPICION_SECONDS
        self.suspicion_deadline = 0.0
        self.next_placement_at = 0.0
        self.timing = ServerTiming()
        self.next_probe_at = 0.0

    @property
    def total_flows(self) -> int:
        """Return the known number of open flows, including those of other hosts."""
        return self.own_flows + self.reported_flows

    @property
    def speed(self) -> ServerSpeed:
        """Return how slow the server is."""
        return self.timing.speed

    def suspect(self, now: float) -> None:
        """Avoid a server that did not answer, for longer each time until it answers."""
        if now < self.suspicion_deadline:
            return
        self.suspicion_deadline = now + self.suspicion_seconds
        self.suspicion_seconds = min(
            MAXIMUM_SERVER_SUSPICION_SECONDS, 2 * self.suspicion_seconds
        )

    def record_duration(self, seconds: float) -> None:
        """Record how long an answered flow lasted, and reset the suspicion time.

        The duration is capped, because a caller that stays connected says little about
        its server.
        """
        self.suspicion_seconds = SERVER_SUSPICION_SECONDS
        seconds = min(seconds, MAXIMUM_DURATION_GROWTH * self.average_seconds)
        self.average_seconds += DURATION_WEIGHT * (seconds - self.average_seconds)

    def count_deadline(self, now: float) -> float:
        """Return until when a flow established now counts if no end is reported."""
        seconds = max(
            MINIMUM_COUNT_SECONDS, self.average_seconds * COUNTED_AVERAGE_DURATIONS
        )
        return now + min(MAXIMUM_COUNT_SECONDS, seconds)
