"""Compute what it costs callers to delay or refuse a flow, and the work that it needs.

This module is the only place of the cost rule: refusing a flow, or delaying it past its
objective, costs the weight of its route's priority.  When capacity is short, the flows
with the lowest cost for each second of server time give way.
"""

from __future__ import annotations

from collections import OrderedDict
from math import log2

# Weight of a priority level relative to that of the next higher priority.
LEVEL_WEIGHT_RATIO = 0.5
INITIAL_WORK_SECONDS = 0.05
# A duration of zero would make the cost of a second infinite.
MINIMUM_WORK_SECONDS = 0.0005
# Weight of the latest duration in the moving averages.  The noise of an average must
# stay far below a factor of 1.4, from which works count as different.
WORK_WEIGHT = 0.02
MAXIMUM_ROUTES = 256


def priority_weight(priority: int) -> float:
    """Return the weight of a priority; 0 is the highest priority and has weight 1."""
    return LEVEL_WEIGHT_RATIO ** max(priority, 0)


def cost_per_second(priority: int, work_seconds: float) -> float:
    """Return the cost of refusing a flow for each second of server time that it saves.

    With equal shares of work for equal weights, this is also the rate of a route's
    releases relative to that of other routes.
    """
    return priority_weight(priority) / max(work_seconds, MINIMUM_WORK_SECONDS)


class RouteWork:
    """Hold the average work of the flows of each route of a service.

    A route without durations has the service's average.  Beyond `MAXIMUM_ROUTES`, the
    route whose last duration is the oldest is evicted.
    """

    __slots__ = ("_average_seconds", "_by_route")

    def __init__(self) -> None:
        self._average_seconds = INITIAL_WORK_SECONDS
        self._by_route: OrderedDict[bytes, float] = OrderedDict()

    def record(self, route: bytes, seconds: float) -> None:
        """Record how long a flow of a route occupied a server."""
        seconds = max(seconds, MINIMUM_WORK_SECONDS)
        route_average = self.seconds(route)
        self._average_seconds += WORK_WEIGHT * (seconds - self._average_seconds)
        self._by_route[route] = route_average + WORK_WEIGHT * (seconds - route_average)
        self._by_route.move_to_end(route)
        if len(self._by_route) > MAXIMUM_ROUTES:
            self._by_route.popitem(last=False)

    def seconds(self, route: bytes) -> float:
        """Return the average work of a route."""
        return self._by_route.get(route, self._average_seconds)

    def level(self, route: bytes) -> int:
        """Return the work of a route in powers of two of the service's average.

        Routes of the same level count as routes of equal work.
        """
        return round(log2(self.seconds(route) / self._average_seconds))
