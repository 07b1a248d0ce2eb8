"""Queue new flows until a backend server has free capacity.

The queue decides which flow is released next, and which flows cannot be placed before
their deadline and are dropped.
"""

from __future__ import annotations

import heapq
from itertools import count

# Shorter than the time after which callers retransmit an opening packet: a later
# refusal could reset a flow that another host has placed in the meantime.
REFUSAL_WINDOW_SECONDS = 0.18
ANSWER_MARGIN_SECONDS = 0.02
RETRANSMISSION_GRACE_SECONDS = 0.06
# Last part of the refusal window, in which flows that cannot meet their deadline are
# refused; long enough for a tick to fall into it.
REFUSAL_DECISION_SECONDS = 0.05
# After this time without a release, no server is expected to end any flow.
RELEASE_STALL_TIMEOUT_SECONDS = 0.15
# Weight of the latest interval between releases in the moving average.
RELEASE_INTERVAL_WEIGHT = 0.2
# This many flows within their objective are released before one past its objective.
MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE = 2
INITIAL_AVERAGE_DURATION_SECONDS = 0.05
# Weight of the latest duration in the moving average.
DURATION_WEIGHT = 0.1


class FlowRequest:
    """Ask for a backend server for one new flow.

    Attributes
    ----------
    retransmission : int
        How many times the caller sent the packet before.
    priority : int
        Priority of the route; 0 is the most urgent.
    origin : str
        Entry host that received the packet.
    objective_deadline : float
        Until when an answer of the server meets the objective of the route.
    answer_deadline : float
        When the caller abandons the flow if no server has answered.
    next_retransmission_at : float
        When the caller retransmits the packet, or abandons the flow after the last
        retransmission.
    refusal_deadline : float
        Until when a refusal cannot reset a flow that was placed in the meantime.
    route : bytes
        Destination address and port of the flow's packets, which identify its route.
    queued_since : float
        When the first packet of the flow was queued.
    """

    __slots__ = (
        "flow",
        "service",
        "retransmission",
        "packet",
        "priority",
        "origin",
        "objective_deadline",
        "answer_deadline",
        "next_retransmission_at",
        "route",
        "refusal_deadline",
        "queued_since",
    )

    def __init__(
        self,
        flow: bytes,
        service: str,
        retransmission: int,
        packet: bytes,
        priority: int,
        origin: str,
        objective_deadline: float,
        answer_deadline: float,
        next_retransmission_at: float,
        route: bytes = b"",
    ) -> None:
        self.flow = flow
        self.service = service
        self.retransmission = retransmission
        self.packet = packet
        self.priority = priority
        self.origin = origin
        self.objective_deadline = objective_deadline
        self.answer_deadline = answer_deadline
        self.next_retransmission_at = next_retransmission_at
        self.route = route
        self.refusal_deadline = 0.0
        self.queued_since = 0.0

    def may_be_sent(self, now: float) -> bool:
        """Return whether a server's answer would precede the next retransmission.

        Queued flows are sent only then.  A retransmission therefore proves that no host
        has sent the flow to a server that answers, and the host that receives the
        retransmission may refuse the flow.
        """
        return now < self.next_retransmission_at - ANSWER_MARGIN_SECONDS

    def is_abandoned(self, now: float) -> bool:
        """Return whether a retransmission is overdue or the caller has timed out."""
        overdue_at = self.next_retransmission_at + RETRANSMISSION_GRACE_SECONDS
        return now >= min(self.answer_deadline, overdue_at)


class FlowQueue:
    """Queue the flows of one service until a server has free capacity.

    Flows that can still meet their objective are released first, most urgent first.
    After every `MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE` of them a flow past its objective
    is released, as long as its caller still waits: after an outage nearly all flows are
    past their objective, and callers that are refused come back at once with new flows.

    Attributes
    ----------
    discovery_deadline : float
        Until when more servers may still be discovered; until then every flow is
        expected to be placed in time.
    """

    __slots__ = (
        "discovery_deadline",
        "_by_flow",
        "_within_objective",
        "_past_objective",
        "_sequence",
        "_average_duration_seconds",
        "_last_released_at",
        "_release_interval",
        "_consecutive_releases",
    )

    def __init__(self) -> None:
        self.discovery_deadline = 0.0
        self._by_flow: dict[bytes, FlowRequest] = {}
        # Entries of replaced and removed flows stay until they reach the heap's top.
        self._within_objective: list[tuple[int, int, FlowRequest]] = []
        self._past_objective: list[tuple[int, float, int, FlowRequest]] = []
        self._sequence = count()
        self._average_duration_seconds = INITIAL_AVERAGE_DURATION_SECONDS
        self._last_released_at = 0.0
        self._release_interval = 0.0
        self._consecutive_releases = 0

    def __len__(self) -> int:
        return len(self._by_flow)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    def record_duration(self, seconds: float) -> None:
        """Record how long an answered flow of the service lasted."""
        self._average_duration_seconds += DURATION_WEIGHT * (
            seconds - self._average_duration_seconds
        )

    def has_within_objective(self, now: float) -> bool:
        """Return whether a queued flow can still meet its objective."""
        self._update_order(now)
        return bool(self._within_objective)

    def add(
        self, request: FlowRequest, now: float, within_objective_limit: int
    ) -> bool:
        """Queue a flow unless it cannot meet its deadline; return whether it is queued.

        A retransmission replaces the earlier packet of its flow.  Flows beyond
        `within_objective_limit` count as past their objective from the start.
        """
        if not self._by_flow:
            self._last_released_at = now
            self._release_interval = 0.0
        earlier = self._by_flow.get(request.flow)
        request.queued_since = now if earlier is None else earlier.queued_since
        request.refusal_deadline = now + REFUSAL_WINDOW_SECONDS
        self._by_flow[request.flow] = request
        is_within_objective = (
            now + self._average_duration_seconds <= request.objective_deadline
        )
        if is_within_objective and len(self._within_objective) < within_objective_limit:
            entry = (request.priority, next(self._sequence), request)
            heapq.heappush(self._within_objective, entry)
            return True
        if self.can_meet_deadline(request, now):
            self._add_past_objective(request)
            return True
        self.remove(request)
        return False

    def first(self, now: float) -> FlowRequest | None:
        """Return the flow to release next, or None if none may be sent now."""
        self._update_order(now)
        if self._past_objective and (
            not self._within_objective
            or self._consecutive_releases >= MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE
        ):
            return self._past_objective[0][-1]
        return self._within_objective[0][-1] if self._within_objective else None

    def release(self, request: FlowRequest, now: float) -> None:
        """Remove the flow that `first` returned, because a server can serve it."""
        is_past_objective = (
            bool(self._past_objective) and self._past_objective[0][-1] is request
        )
        self._consecutive_releases = (
            0 if is_past_objective else self._consecutive_releases + 1
        )
        gap = now - self._last_released_at
        self._release_interval += RELEASE_INTERVAL_WEIGHT * (
            gap - self._release_interval
        )
        self._last_released_at = now
        del self._by_flow[request.flow]

    def remove(self, request: FlowRequest) -> None:
        """Remove a flow that gets no server."""
        del self._by_flow[request.flow]

    def can_meet_deadline(self, request: FlowRequest, now: float) -> bool:
        """Return whether a flow is expected to be released while its caller waits.

        The estimate is for a flow past its objective and uses the recent release rate.
        """
        if now < self.discovery_deadline:
            return True
        gap = now - self._last_released_at
        if gap > RELEASE_STALL_TIMEOUT_SECONDS:
            return False
        past_objective_interval = max(self._release_interval, gap) * (
            1 + MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE
        )
        return (
            now + past_objective_interval * (len(self._past_objective) + 1)
            < request.answer_deadline
        )

    def count_within_objective(self, now: float) -> int:
        """Return how many queued flows can still meet their objective."""
        answered_at = now + self._average_duration_seconds
        return sum(
            self._is_sendable(request, now)
            and answered_at <= request.objective_deadline
            for _, _, request in self._within_objective
        )

    def can_add(
        self, request: FlowRequest, now: float, within_objective_limit: int
    ) -> bool:
        """Return whether `add` would queue a flow; nothing is changed."""
        is_within_objective = (
            now + self._average_duration_seconds <= request.objective_deadline
        )
        return (
            not self._by_flow
            or (
                is_within_objective
                and len(self._within_objective) < within_objective_limit
            )
            or self.can_meet_deadline(request, now)
        )

    def requests_to_drop(self, now: float) -> list[FlowRequest]:
        """Return abandoned flows and those that cannot be placed in time."""
        self._update_order(now)
        return [
            request
            for request in self._by_flow.values()
            if request.is_abandoned(now)
            or (
                0.0 < request.refusal_deadline - now <= REFUSAL_DECISION_SECONDS
                and not self.can_meet_deadline(request, now)
            )
        ]

    def _update_order(self, now: float) -> None:
        while self._within_objective:
            request = self._within_objective[0][-1]
            if not self._is_sendable(request, now):
                heapq.heappop(self._within_objective)
            elif now + self._average_duration_seconds > request.objective_deadline:
                heapq.heappop(self._within_objective)
                self._add_past_objective(request)
            else:
                break
        while self._past_objective:
            if self._is_sendable(self._past_objective[0][-1], now):
                break
            heapq.heappop(self._past_objective)

    def _is_sendable(self, request: FlowRequest, now: float) -> bool:
        # A flow whose next retransmission is due leaves the heaps; the retransmission
        # queues it again.
        is_queued = self._by_flow.get(request.flow) is request
        return is_queued and request.may_be_sent(now)

    def _add_past_objective(self, request: FlowRequest) -> None:
        entry = (
            request.priority,
            request.answer_deadline,
            next(self._sequence),
            request,
        )
        heapq.heappush(self._past_objective, entry)
