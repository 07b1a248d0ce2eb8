"""Count the flows of one backend server, and what speaks against it."""

from __future__ import annotations

COUNTED_SECONDS = 2.0
COUNTED_AT_LEAST_SECONDS = 0.2
COUNTED_TIMES_USUAL = 4.0
USUAL_WEIGHT = 0.1
USUAL_GROWTH = 3.0
SERVER_SUSPICION_SECONDS = 1.0
MAXIMUM_SERVER_SUSPICION_SECONDS = 8.0


class ServerLoad:
    """Count the flows of one backend server, and what speaks against it."""

    __slots__ = (
        "own",
        "reported",
        "suspect_seconds",
        "suspect_deadline",
        "next_place_at",
        "usual",
    )

    def __init__(self) -> None:
        self.own = 0
        self.usual = COUNTED_AT_LEAST_SECONDS / COUNTED_TIMES_USUAL
        self.reported: dict[str, tuple[int, float]] = {}
        self.suspect_seconds = SERVER_SUSPICION_SECONDS
        self.suspect_deadline = 0.0
        self.next_place_at = 0.0

    def suspect(self, now: float) -> None:
        """Avoid a server that did not answer, longer each time until it answers."""
        if now < self.suspect_deadline:
            return
        self.suspect_deadline = now + self.suspect_seconds
        self.suspect_seconds = min(
            MAXIMUM_SERVER_SUSPICION_SECONDS, 2 * self.suspect_seconds
        )

    def learn(self, seconds: float) -> None:
        """Take how long an answered flow lasted.

        A caller that lingers tells little of its server.
        """
        self.suspect_seconds = SERVER_SUSPICION_SECONDS
        seconds = min(seconds, USUAL_GROWTH * self.usual)
        self.usual += USUAL_WEIGHT * (seconds - self.usual)

    def count_deadline(self, now: float) -> float:
        """Return until when a flow that opens now counts if it ends without a word."""
        seconds = max(COUNTED_AT_LEAST_SECONDS, self.usual * COUNTED_TIMES_USUAL)
        return now + min(COUNTED_SECONDS, seconds)

    def total(self, now: float) -> int:
        """Return the flows that are open as far as is known."""
        total = self.own
        for flows, deadline in self.reported.values():
            if now < deadline:
                total += flows
        return total
