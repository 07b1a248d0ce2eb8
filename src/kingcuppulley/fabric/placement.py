"""Choose a backend server for each new flow by the known load of each server."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from enum import Enum
from itertools import count
from random import Random

from kingcuppulley.backend_servers.target_registry import (
    RegisteredTarget,
    TargetRegistry,
)
from kingcuppulley.fabric.flow_queue import FlowQueue
from kingcuppulley.fabric.flow_request import FlowRequest
from kingcuppulley.fabric.server_choice import ServerChoice
from kingcuppulley.fabric.server_timing import TimedRequest
from kingcuppulley.fabric.service_shares import ShareSizes

# A caller that still waits answers a server within this time; one that has
# disconnected never does.
ESTABLISHMENT_TIMEOUT_SECONDS = 0.08
PLACEMENT_RETENTION_SECONDS = 3.0
# Queued flows that are treated as within their objective, for each slot of the service.
MAXIMUM_WITHIN_OBJECTIVE_PER_SLOT = 3
LEAST_LOAD = "least load"
NO_ANSWER = "no answer from the first server"


class PlacementOutcome(Enum):
    """Name the result of placing a new flow.

    The values are logged and are parts of metric names.
    """

    PLACED = "placed"
    QUEUED = "held"
    REFUSED = "refused"
    EXPIRED = "expired"


class PlacementDecision:
    """Hold the result of placing a new flow and the reason for it.

    `load` is the number of flows that the chosen server had before this one, or the
    number of queued flows where no server was chosen.
    """

    __slots__ = ("outcome", "target", "reason", "load")

    def __init__(
        self,
        outcome: PlacementOutcome,
        target: RegisteredTarget | None,
        reason: str,
        load: int = 0,
    ) -> None:
        self.outcome = outcome
        self.target = target
        self.reason = reason
        self.load = load


class _PlacedFlow:
    """Hold where a flow was placed and until when it counts as open.

    Attributes
    ----------
    retransmission : int
        That of the opening packet that was handed to `target`.
    is_established : bool
        Whether `target` has answered the caller.
    unanswered_cookies : list of int
        The servers that the flow was placed on before and that did not answer.
    """

    __slots__ = (
        "target",
        "retransmission",
        "is_established",
        "placed_at",
        "last_active_at",
        "is_counted",
        "count_deadline",
        "is_duration_recorded",
        "unanswered_cookies",
        "route",
        "timed_request",
    )

    def __init__(self, target: RegisteredTarget, route: bytes, now: float) -> None:
        self.target = target
        self.retransmission = 0
        self.is_established = False
        self.route = route
        self.timed_request: TimedRequest | None = None
        self.placed_at = now
        self.last_active_at = now
        self.is_counted = True
        self.count_deadline = 0.0
        self.is_duration_recorded = False
        self.unanswered_cookies: list[int] = []


class Placement:
    """Place the new flows of some services on their backend servers.

    A flow counts as open until its caller ends it, or pauses after an answer, or until
    the count has lasted several times the average duration of the server's flows: its
    caller has probably given up without notice.  A flow whose caller never answers the
    server counts for `ESTABLISHMENT_TIMEOUT_SECONDS` only.  A retransmitted opening
    packet means that the server chosen first did not answer: the flow moves to another
    server, and the first one is suspected for a limited time, in which other servers
    are preferred.  No opening packet is handed to a server that may not take it by
    `ServerChoice.may_take`; a flow without any such server is queued or refused.
    """

    def __init__(
        self,
        zone: str,
        registry: TargetRegistry,
        generator: Random,
        on_flow_released: Callable[[FlowRequest, PlacementDecision, float], None],
        share_sizes: ShareSizes | None = None,
    ) -> None:
        self._choice = ServerChoice(zone, registry, generator, share_sizes)
        self._on_flow_released = on_flow_released
        self._flows: dict[bytes, _PlacedFlow] = {}
        self._count_deadlines: list[tuple[float, int, _PlacedFlow]] = []
        self._retention_deadlines: deque[tuple[float, bytes, _PlacedFlow]] = deque()
        self._queues: dict[str, FlowQueue] = {}
        self._discovery_deadline = 0.0
        self._sequence = count()

    @property
    def choice(self) -> ServerChoice:
        """Return the loads of the servers, and the choice among them."""
        return self._choice

    @property
    def queued_count(self) -> int:
        """Return how many flows are queued for a backend server."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def open_count(self) -> int:
        """Return how many flows are counted as open."""
        return self._choice.open_count

    @property
    def discovery_deadline(self) -> float:
        """Return until when more backend servers may still be discovered."""
        return self._discovery_deadline

    def queue_of(self, service: str) -> FlowQueue | None:
        """Return the queue of a service, or None if no flow of it was queued yet."""
        return self._queues.get(service)

    def set_discovery_deadline(self, deadline: float) -> None:
        """Set until when more backend servers may still be discovered.

        Until then a service without servers queues its flows instead of refusing them,
        and queued flows are kept however few were released recently.  The deadline
        never moves to an earlier time.
        """
        self._discovery_deadline = max(self._discovery_deadline, deadline)
        for queue in self._queues.values():
            queue.discovery_deadline = self._discovery_deadline

    def open_flow(self, request: FlowRequest, now: float) -> PlacementDecision:
        """Place a new flow, queue it until a server has free capacity, or refuse it."""
        placed = self._flows.get(request.flow)
        if placed is not None:
            return self._place_retransmission(placed, request, now)
        return self._place_new_flow(request, now)

    def flow_established(
        self,
        flow: bytes,
        now: float,
        target: RegisteredTarget | None = None,
        route: bytes = b"",
    ) -> None:
        """Count a flow for longer, or again, because a server has answered it.

        A flow that is not known is recorded as one of `route` that is open on `target`.
        """
        placed = self._flows.get(flow)
        if placed is None:
            # A server may have answered after a retransmission was queued.
            for queue in self._queues.values():
                queue.discard(flow)
            if target is None:
                return
            placed = self._record(flow, target, route, now)
            placed.is_counted = False
        placed.is_established = True
        placed.last_active_at = now
        if not placed.is_counted:
            placed.is_counted = True
            if placed.timed_request is None and placed.is_duration_recorded:
                self._start_request(placed, now)
            self._choice.change_flows(placed.target, 1)
        if placed.timed_request is not None:
            self._choice.speeds.establish(placed.timed_request)
        load = self._choice.load(placed.target.cookie)
        self._count_until(placed, load.count_deadline(now))

    def flow_answered(self, flow: bytes, seconds: float, now: float) -> None:
        """Stop to count a flow that pauses after an answer that took `seconds`.

        The flow counts again when `flow_established` reports its next request.
        """
        placed = self._flows.get(flow)
        if placed is None:
            return
        placed.last_active_at = now
        if placed.timed_request is not None and placed.timed_request.has_waited:
            # `seconds` has another start than the time that it waited.
            self._finish_request(placed, None, now)
        self._record_duration(placed, seconds, now)
        # The report follows the answer after a pause.
        self._uncount(placed, now, is_late=True)
        self._release_queued(placed.target.service, now)

    def end_flow(self, flow: bytes, was_answered: bool, now: float) -> None:
        """Record the end of a flow and release queued flows in its place."""
        placed = self._flows.pop(flow, None)
        if placed is None:
            return
        if was_answered and not placed.is_duration_recorded:
            self._record_duration(placed, now - placed.placed_at, now)
        self._finish_request(placed, None, now)
        self._uncount(placed, now)
        self._release_queued(placed.target.service, now)

    def tick(self, now: float) -> None:
        """Expire old flows, then release or drop queued flows."""
        services = set()
        while self._count_deadlines and self._count_deadlines[0][0] <= now:
            deadline, _, placed = heapq.heappop(self._count_deadlines)
            if placed.is_counted and deadline == placed.count_deadline:
                self._expire(placed, now)
                services.add(placed.target.service)
        while self._retention_deadlines and self._retention_deadlines[0][0] <= now:
            _, flow, placed = self._retention_deadlines.popleft()
            if self._flows.get(flow) is placed:
                self._retain_or_evict(flow, placed, now)
        self._choice.tick(now)
        for service in services | self._queues.keys():
            self._release_queued(service, now)
            self._drop_unplaceable(service, now)

    def _retain_or_evict(self, flow: bytes, placed: _PlacedFlow, now: float) -> None:
        """Evict a flow without recent requests; the others stay for as long again."""
        if now < placed.last_active_at + PLACEMENT_RETENTION_SECONDS:
            self._retention_deadlines.append(
                (now + PLACEMENT_RETENTION_SECONDS, flow, placed)
            )
            return
        del self._flows[flow]
        if placed.timed_request is not None:
            self._choice.speeds.discard(placed.timed_request)

    def _start_request(self, placed: _PlacedFlow, now: float) -> None:
        placed.timed_request = self._choice.start_request(
            placed.target, placed.route, now
        )

    def _finish_request(
        self, placed: _PlacedFlow, seconds: float | None, now: float
    ) -> None:
        request = placed.timed_request
        if request is not None:
            placed.timed_request = None
            self._choice.finish_request(request, seconds, now)

    def _record_duration(self, placed: _PlacedFlow, seconds: float, now: float) -> None:
        placed.is_duration_recorded = True
        self._choice.record_answer(placed.target, seconds, now)
        request = placed.timed_request
        work_seconds = None if request is None else request.work_seconds(seconds)
        self._finish_request(placed, seconds, now)
        queue = self._queue_of(placed.target.service)
        queue.record_duration(seconds, placed.route, work_seconds)

    def _place_retransmission(
        self, placed: _PlacedFlow, request: FlowRequest, now: float
    ) -> PlacementDecision:
        is_repeated = request.retransmission <= placed.retransmission
        repeated = PlacementDecision(PlacementOutcome.PLACED, placed.target, "repeated")
        if is_repeated and placed.is_established:
            # The server holds the flow, so the packet opens none there.
            return repeated
        if is_repeated and self._may_go_back(placed, request, now):
            self._choice.limit_placements(placed.target, now)
            return repeated
        if not is_repeated:
            self._record_unanswered(placed, now)
        excluded_cookies = [*placed.unanswered_cookies, placed.target.cookie]
        target = self._choice.choose(request, excluded_cookies, now)[0]
        if target is not None:
            reason = "first server not in use" if is_repeated else NO_ANSWER
            return self._move(placed, target, request, reason, now)
        if not is_repeated and self._may_go_back(placed, request, now):
            return self._move(placed, placed.target, request, "no other server", now)
        self._finish_request(placed, None, now)
        self._expire(placed, now)
        del self._flows[request.flow]
        return self._place_new_flow(request, now)

    def _record_unanswered(self, placed: _PlacedFlow, now: float) -> None:
        """Suspect the server of a flow whose caller has got no answer."""
        self._choice.load(placed.target.cookie).suspect(now)
        placed.unanswered_cookies.append(placed.target.cookie)
        self._finish_request(placed, None, now)

    def _may_go_back(
        self, placed: _PlacedFlow, request: FlowRequest, now: float
    ) -> bool:
        """Return whether a flow may be handed to its server once more."""
        is_of_service = placed.target.service == request.service
        return is_of_service and self._choice.may_take(placed.target, now)

    def _move(
        self,
        placed: _PlacedFlow,
        target: RegisteredTarget,
        request: FlowRequest,
        reason: str,
        now: float,
    ) -> PlacementDecision:
        """Hand a flow that no server has answered to a server."""
        self._expire(placed, now)
        placed.retransmission = request.retransmission
        placed.is_established = False
        self._count(placed, target, now)
        return PlacementDecision(PlacementOutcome.PLACED, target, reason)

    def _place_new_flow(self, request: FlowRequest, now: float) -> PlacementDecision:
        target, has_capacity, slots = self._choice.choose(request, (), now)
        is_discovery_over = now >= self._discovery_deadline
        if target is None and not slots and is_discovery_over:
            return PlacementDecision(
                PlacementOutcome.REFUSED, None, "no server within reach"
            )
        if target is not None and not slots:
            return self._place(request, target, now)
        queue = self._queue_of(request.service)
        if (
            target is not None
            and has_capacity
            and request.flow not in queue
            and not queue.has_within_objective(now)
        ):
            return self._place(request, target, now)
        is_queued = queue.add(request, now, MAXIMUM_WITHIN_OBJECTIVE_PER_SLOT * slots)
        for displaced in queue.take_displaced():
            self._report_dropped(displaced, "route beyond its share", now)
        if is_queued:
            return PlacementDecision(
                PlacementOutcome.QUEUED, None, "every server is full", len(queue)
            )
        return PlacementDecision(
            PlacementOutcome.REFUSED, None, "too many wait", len(queue)
        )

    def _place(
        self, request: FlowRequest, target: RegisteredTarget, now: float
    ) -> PlacementDecision:
        placed = self._record(request.flow, target, request.route, now)
        placed.retransmission = request.retransmission
        load = self._choice.load(target.cookie).total_flows
        if not request.retransmission:
            self._start_request(placed, now)
        self._count(placed, target, now)
        return PlacementDecision(PlacementOutcome.PLACED, target, LEAST_LOAD, load)

    def _record(
        self, flow: bytes, target: RegisteredTarget, route: bytes, now: float
    ) -> _PlacedFlow:
        placed = self._flows[flow] = _PlacedFlow(target, route, now)
        self._retention_deadlines.append(
            (now + PLACEMENT_RETENTION_SECONDS, flow, placed)
        )
        return placed

    def _release_queued(self, service: str, now: float) -> None:
        queue = self._queue_of(service)
        while (request := queue.first(now)) is not None:
            target, has_capacity, _ = self._choice.choose(request, (), now)
            if target is None or not has_capacity:
                return
            queue.release(request, now)
            decision = self._place(request, target, now)
            self._on_flow_released(request, decision, now - request.queued_since)

    def _drop_unplaceable(self, service: str, now: float) -> None:
        queue = self._queue_of(service)
        for request in queue.requests_to_drop(now):
            queue.remove(request)
            self._report_dropped(request, "waited too long", now)

    def _report_dropped(self, request: FlowRequest, reason: str, now: float) -> None:
        is_refusable = now < request.refusal_deadline
        outcome = PlacementOutcome.REFUSED if is_refusable else PlacementOutcome.EXPIRED
        queued_count = len(self._queue_of(request.service))
        decision = PlacementDecision(outcome, None, reason, queued_count)
        self._on_flow_released(request, decision, now - request.queued_since)

    def _queue_of(self, service: str) -> FlowQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = FlowQueue()
            queue.discovery_deadline = self._discovery_deadline
        return queue

    def _count(self, placed: _PlacedFlow, target: RegisteredTarget, now: float) -> None:
        placed.target = target
        placed.is_counted = True
        self._choice.change_flows(target, 1)
        self._choice.limit_placements(target, now)
        placed.placed_at = now
        self._count_until(placed, now + ESTABLISHMENT_TIMEOUT_SECONDS)

    def _count_until(self, placed: _PlacedFlow, deadline: float) -> None:
        placed.count_deadline = deadline
        heapq.heappush(self._count_deadlines, (deadline, next(self._sequence), placed))

    def _uncount(
        self, placed: _PlacedFlow, now: float, *, is_late: bool = False
    ) -> None:
        if placed.is_counted:
            placed.is_counted = False
            self._choice.flow_ended(placed.target, now, is_late=is_late)

    def _expire(self, placed: _PlacedFlow, now: float) -> None:
        if placed.is_counted:
            placed.is_counted = False
            self._choice.flow_expired(placed.target, placed.timed_request, now)
