"""Tell until when the servers of a zone that is back in service may be cold."""

from __future__ import annotations

from collections.abc import Callable

# A server may become cold shortly before its zone returns, and an entry host learns of
# the return a little later.
COLD_START_MARGIN_SECONDS = 0.5


class _ZoneReturn:
    """Hold the revision at which a zone returned, and since when this host knows it."""

    __slots__ = ("revision", "known_since")

    def __init__(self, revision: int, now: float) -> None:
        self.revision = revision
        self.known_since = now


class ZoneReturns:
    """Hold the last return of each zone, as the routing state names it.

    Heartbeats from before a return do not tell whether a server is cold now.  Every
    host decides by the revision of the return, not by what it saw happen: it may have
    started, or been paused or cut off, since.  `cold_seconds_of` returns the duration
    of a cold start of a service.
    """

    __slots__ = ("_returns", "_cold_seconds_of")

    def __init__(self, cold_seconds_of: Callable[[str], float]) -> None:
        self._returns: dict[str, _ZoneReturn] = {}
        self._cold_seconds_of = cold_seconds_of

    def record(self, zone: str, revision: int, now: float) -> bool:
        """Record that a zone returned at a revision, and return whether it is new."""
        known = self._returns.get(zone)
        if known is not None and revision <= known.revision:
            return False
        self._returns[zone] = _ZoneReturn(revision, now)
        return True

    def presumed_cold_until(
        self, zone: str, service: str, known_return_revision: int
    ) -> float:
        """Return until when a server counts as cold because of its zone's return.

        `known_return_revision` is that of the server's newest heartbeat.  A return is
        not older than this host's knowledge of it, so a cold start has ended by then
        even if no further heartbeat arrives.
        """
        zone_return = self._returns.get(zone)
        if zone_return is None or known_return_revision >= zone_return.revision:
            return 0.0
        seconds = self._cold_seconds_of(service) + COLD_START_MARGIN_SECONDS
        return zone_return.known_since + seconds
