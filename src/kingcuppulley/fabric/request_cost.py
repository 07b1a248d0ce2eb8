"""Compute what it costs callers to delay or refuse a flow, and the work that it needs.

This module is the only place of the cost rule: refusing a flow, or delaying it past its
objective, costs the weight of its route's priority.  When capacity is short, the flows
with the lowest cost for each second of server time give way.
"""

from __future__ import annotations

from collections import OrderedDict

# Weight of a priority level relative to that of the next higher priority.
LEVEL_WEIGHT_RATIO = 0.5
# Lower priorities have the weight of this one, so that no weight becomes zero.
LOWEST_WEIGHTED_PRIORITY = 30
INITIAL_WORK_SECONDS = 0.05
# A duration of zero would make the cost of a second infinite.
MINIMUM_WORK_SECONDS = 0.0005
# A route's average starts as if it had this many durations of the service's average.
INITIAL_DURATIONS = 8
# Beyond this number of durations, an average forgets old ones.
MAXIMUM_DURATIONS = 50
# Works within this ratio count as equal: averages of equal works differ by chance.
EQUAL_WORK_RATIO = 1.5
MAXIMUM_ROUTES = 256


def priority_weight(priority: int) -> float:
    """Return the weight of a priority; 0 is the highest priority and has weight 1."""
    return LEVEL_WEIGHT_RATIO ** min(max(priority, 0), LOWEST_WEIGHTED_PRIORITY)


def cost_per_second(priority: int, work_seconds: float) -> float:
    """Return the cost of refusing a flow for each second of server time that it saves.

    With equal shares of work for equal weights, this is also the rate of a route's
    releases relative to that of other routes.
    """
    return priority_weight(priority) / max(work_seconds, MINIMUM_WORK_SECONDS)


class _AverageWork:
    """Hold a moving average of durations."""

    __slots__ = ("seconds", "_duration_count")

    def __init__(self, initial_seconds: float, initial_count: int) -> None:
        self.seconds = initial_seconds
        self._duration_count = initial_count

    def record(self, seconds: float) -> None:
        """Add a duration."""
        self._duration_count = min(self._duration_count + 1, MAXIMUM_DURATIONS)
        self.seconds += (seconds - self.seconds) / self._duration_count


class RouteWork:
    """Hold the average work of the flows of each route of a service.

    A route without durations has the service's average.  Beyond `MAXIMUM_ROUTES`, the
    route whose last duration is the oldest is evicted.
    """

    __slots__ = ("_service_average", "_by_route")

    def __init__(self) -> None:
        self._service_average = _AverageWork(INITIAL_WORK_SECONDS, 0)
        self._by_route: OrderedDict[bytes, _AverageWork] = OrderedDict()

    def record(self, route: bytes, seconds: float) -> None:
        """Record how long a flow of a route occupied a server."""
        seconds = max(seconds, MINIMUM_WORK_SECONDS)
        self._service_average.record(seconds)
        average = self._by_route.get(route)
        if average is None:
            initial_seconds = self._service_average.seconds
            average = _AverageWork(initial_seconds, INITIAL_DURATIONS)
            self._by_route[route] = average
        average.record(seconds)
        self._by_route.move_to_end(route)
        if len(self._by_route) > MAXIMUM_ROUTES:
            self._by_route.popitem(last=False)

    def seconds(self, route: bytes) -> float:
        """Return the average work of a route."""
        return self._by_route.get(route, self._service_average).seconds
