"""Divide the releases of a full service between the routes of its queued flows."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from copy import copy
from itertools import count

from kingcuppulley.fabric.flow_request import FlowRequest
from kingcuppulley.fabric.request_cost import (
    EQUAL_WORK_RATIO,
    RouteWork,
    cost_per_second,
    priority_weight,
)

# This many flows within their objective are released before one past its objective.
MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE = 2


class FairShare:
    """Hold the queued flows of one route, and the work that it was given.

    The finish tag follows start-time fair queueing: it grows by the work that the route
    is given, divided by the weight of its priority.

    Attributes
    ----------
    within_objective : deque
        Flows that can still meet their objective, in the order of their packets.
    past_objective : list
        Heap of flows past their objective, by the time at which their caller gives up.
    consecutive_releases : int
        Releases within the objective since the last one past it.
    """

    __slots__ = (
        "route",
        "priority",
        "_route_work",
        "within_objective",
        "past_objective",
        "consecutive_releases",
        "finish_tag",
    )

    def __init__(self, route: bytes, priority: int, route_work: RouteWork) -> None:
        self.route = route
        self.priority = priority
        self._route_work = route_work
        # Replaced and removed flows stay until they are the next of their kind.
        self.within_objective: deque[tuple[float, FlowRequest]] = deque()
        self.past_objective: list[tuple[float, int, FlowRequest]] = []
        self.consecutive_releases = 0
        self.finish_tag = 0.0

    @property
    def work_seconds(self) -> float:
        """Return the average work of a flow."""
        return self._route_work.seconds(self.route)

    @property
    def cost_per_second(self) -> float:
        """Return the cost of refusing a flow for each second of its work."""
        return cost_per_second(self.priority, self.work_seconds)

    @property
    def has_flows(self) -> bool:
        """Return whether the share holds any flow."""
        return bool(self.within_objective or self.past_objective)

    @property
    def within_backlog(self) -> float:
        """Return the work of the flows within their objective, for its weight."""
        return len(self.within_objective) / self.cost_per_second

    @property
    def past_backlog(self) -> float:
        """Return the work of the flows past their objective, for its weight."""
        return len(self.past_objective) / self.cost_per_second

    def copy(self) -> FairShare:
        """Return a copy that shares the requests and the work of the routes."""
        twin = copy(self)
        twin.within_objective = self.within_objective.copy()
        twin.past_objective = self.past_objective.copy()
        return twin

    def remove_past_objective(self, request: FlowRequest) -> None:
        """Remove a flow that is past its objective."""
        self.past_objective = [e for e in self.past_objective if e[-1] is not request]
        heapq.heapify(self.past_objective)


class FairShares:
    """Order the routes of one service by weighted fair queueing.

    The order is measured in work given, with the weight of the route's priority; a
    route that was idle gets no credit for it.  If all routes have equal priority and
    equal work, flows are ordered as those of a single route.
    """

    __slots__ = (
        "_by_route",
        "_route_work",
        "_virtual_time",
        "_consecutive_releases",
        "_sequence",
        "_is_uniform",
    )

    def __init__(self) -> None:
        self._by_route: dict[tuple[bytes, int], FairShare] = {}
        self._route_work = RouteWork()
        self._virtual_time = 0.0
        self._consecutive_releases = 0
        self._sequence = count()
        # None after a change of the routes or their work, until it is needed again: it
        # is needed several times for each flow.
        self._is_uniform: bool | None = None

    @property
    def has_shares(self) -> bool:
        """Return whether any route has flows or work to account for."""
        return bool(self._by_route)

    @property
    def is_uniform(self) -> bool:
        """Return whether all routes have equal priority and equal work."""
        if self._is_uniform is None:
            self._is_uniform = self._compare_routes()
        return self._is_uniform

    @property
    def within_objective_count(self) -> int:
        """Return how many flows count as within their objective."""
        return sum(len(share.within_objective) for share in self._by_route.values())

    def copy(self) -> FairShares:
        """Return a copy that shares the requests and the work of the routes."""
        twin = copy(self)
        twin._by_route = {key: share.copy() for key, share in self._by_route.items()}
        return twin

    def record_work(self, route: bytes, seconds: float) -> None:
        """Record how long a flow of a route occupied a server."""
        self._route_work.record(route, seconds)
        self._is_uniform = None

    def restart(self) -> None:
        """Forget the work that was given, because no flow is queued."""
        self._virtual_time = 0.0
        self._by_route = {k: s for k, s in self._by_route.items() if s.has_flows}
        self._is_uniform = None
        for share in self._by_route.values():
            share.finish_tag = 0.0

    def share_of(self, request: FlowRequest) -> FairShare:
        """Return the share of a flow's route."""
        key = (request.route, request.priority)
        share = self._by_route.get(key)
        if share is None:
            share = self._by_route[key] = FairShare(*key, self._route_work)
            self._is_uniform = None
        return share

    def add_within_objective(self, request: FlowRequest) -> None:
        """Queue a flow that can meet its objective."""
        share = self.share_of(request)
        share.within_objective.append((next(self._sequence), request))

    def add_past_objective(self, request: FlowRequest) -> None:
        """Queue a flow that is past its objective."""
        share = self.share_of(request)
        entry = (request.answer_deadline, next(self._sequence), request)
        heapq.heappush(share.past_objective, entry)

    def within_heads(self) -> list[FairShare]:
        """Return the shares whose first flow within its objective may be the next."""
        shares = [s for s in self._by_route.values() if s.within_objective]
        if len(shares) > 1 and self.is_uniform:
            return [min(shares, key=lambda share: share.within_objective[0][0])]
        return shares

    def past_heads(self) -> list[FairShare]:
        """Return the shares whose first flow past its objective may be the next."""
        shares = [s for s in self._by_route.values() if s.past_objective]
        if len(shares) > 1 and self.is_uniform:
            return [min(shares, key=lambda share: share.past_objective[0][:2])]
        return shares

    def next_flow(self) -> FlowRequest | None:
        """Return the flow to release next, if the heads were checked for changes."""
        within, past = self.within_heads(), self.past_heads()
        consecutive_releases = self._consecutive_releases
        if not self.is_uniform:
            share = self._first_by_tag([*within, *past])
            if share is None:
                return None
            within = [share] if share.within_objective else []
            past = [share] if share.past_objective else []
            consecutive_releases = share.consecutive_releases
        is_turn = consecutive_releases >= MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE
        if past and (is_turn or not within):
            return past[0].past_objective[0][-1]
        return within[0].within_objective[0][-1] if within else None

    def record_release(self, request: FlowRequest) -> None:
        """Charge the route of a flow for its work, just before the flow leaves."""
        share = self.share_of(request)
        past = share.past_objective
        if past and past[0][-1] is request:
            self._consecutive_releases = share.consecutive_releases = 0
        else:
            self._consecutive_releases += 1
            share.consecutive_releases += 1
        first = self._first_by_tag(s for s in self._by_route.values() if s.has_flows)
        if first is not None:
            self._virtual_time = self._start_tag(first)
        work = share.work_seconds / priority_weight(share.priority)
        share.finish_tag = self._start_tag(share) + work

    def evict_idle(self) -> None:
        """Evict the shares that have neither flows nor work to account for.

        If no flow is left, no work has to be accounted for.
        """
        by_route = self._by_route
        if not any(share.has_flows for share in by_route.values()):
            by_route.clear()
            self._is_uniform = None
            return
        for key, share in list(by_route.items()):
            if not share.has_flows and share.finish_tag <= self._virtual_time:
                del by_route[key]
                self._is_uniform = None

    def beyond_within_objective(self, share: FairShare) -> FairShare | None:
        """Return the share that gives way to one more flow within its objective.

        It has more such work for its weight; of several, it is the one with the lowest
        cost for its work.
        """
        if self.is_uniform:
            return None
        backlog = share.within_backlog + 1 / share.cost_per_second
        return min(
            (s for s in self._by_route.values() if s.within_backlog > backlog),
            key=lambda other: other.cost_per_second,
            default=None,
        )

    def beyond_past_objective(self, share: FairShare) -> list[FairShare]:
        """Return the shares with more work past its objective for their weight.

        Those with the lowest cost for their work are the first.
        """
        if self.is_uniform:
            return []
        backlog = share.past_backlog
        beyond = [s for s in self._by_route.values() if s.past_backlog > backlog]
        return sorted(beyond, key=lambda other: other.cost_per_second)

    def count_before(self, share: FairShare) -> float:
        """Return how many flows past their objective precede the next one of a share.

        Until it is released, each other share gets releases in proportion to its weight
        divided by its work, at most as many as it has flows.
        """
        return self._count_before(share, lambda other: len(other.past_objective))

    def count_within_before(self, share: FairShare) -> float:
        """Return how many flows within their objective precede the next of a share."""
        return self._count_before(share, lambda other: len(other.within_objective))

    def _count_before(
        self, share: FairShare, count_of: Callable[[FairShare], int]
    ) -> float:
        if self.is_uniform:
            return sum(count_of(other) for other in self._by_route.values())
        own_count = count_of(share)
        rate_factor = (own_count + 1) / share.cost_per_second
        return own_count + sum(
            min(count_of(other), other.cost_per_second * rate_factor)
            for other in self._by_route.values()
            if other is not share
        )

    def _compare_routes(self) -> bool:
        if len(self._by_route) < 2:
            return True
        if len({priority for _, priority in self._by_route}) > 1:
            return False
        works = [share.work_seconds for share in self._by_route.values()]
        return max(works) <= EQUAL_WORK_RATIO * min(works)

    def _first_by_tag(self, shares: Iterable[FairShare]) -> FairShare | None:
        return min(
            shares,
            key=lambda share: (self._start_tag(share), share.priority),
            default=None,
        )

    def _start_tag(self, share: FairShare) -> float:
        return max(self._virtual_time, share.finish_tag)
