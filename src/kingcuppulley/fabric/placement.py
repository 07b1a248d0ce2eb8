"""Choose a backend server for each new flow by the known load of each server."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from enum import Enum
from itertools import count
from random import Random

from kingcuppulley.backend_servers.target_registry import (
    RegisteredTarget,
    TargetRegistry,
)
from kingcuppulley.fabric.flow_queue import FlowQueue, FlowRequest
from kingcuppulley.fabric.server_index import (
    MAXIMUM_TIE_BREAK_COST,
    ServerIndex,
    load_cost,
)
from kingcuppulley.fabric.server_load import ServerLoad
from kingcuppulley.fabric.service_shares import ServiceShares

# A caller that still waits answers a server within this time; one that has
# disconnected never does.
ESTABLISHMENT_TIMEOUT_SECONDS = 0.08
PLACEMENT_RETENTION_SECONDS = 3.0
LOAD_REPORT_VALIDITY_SECONDS = 0.5
COLD_SERVER_MINIMUM_INTERVAL_SECONDS = 0.6
UNREACHABLE_ZONE_PROBE_INTERVAL_SECONDS = 0.25
ZONE_ANSWER_VALIDITY_SECONDS = 1.0
# Flows that a server may have beyond its slots, for each slot.
MAXIMUM_SERVER_QUEUE_PER_SLOT = 1
# Queued flows that are treated as within their objective, for each slot of the service.
MAXIMUM_WITHIN_OBJECTIVE_PER_SLOT = 3
LEAST_LOAD = "least load"
# Age of an index of servers after which it is built again: cold starts and suspicions
# end without notice.
INDEX_VALIDITY_SECONDS = 0.25
# The same if the registry has changed since.
CHANGED_INDEX_VALIDITY_SECONDS = 0.05
LOAD_EVICTION_INTERVAL_SECONDS = 10.0


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


class _ReportedLoads:
    """Hold the open flows per server that another host reported, and until when."""

    __slots__ = ("flows", "deadline")

    def __init__(self) -> None:
        self.flows: dict[int, int] = {}
        self.deadline = 0.0


class _PlacedFlow:
    """Hold where a flow was placed and until when it counts as open.

    `unanswered_cookies` names the servers that it was placed on before and that did not
    answer its caller.
    """

    __slots__ = (
        "target",
        "placed_at",
        "is_counted",
        "count_deadline",
        "is_duration_recorded",
        "unanswered_cookies",
    )

    def __init__(self, target: RegisteredTarget, now: float) -> None:
        self.target = target
        self.placed_at = now
        self.is_counted = True
        self.count_deadline = 0.0
        self.is_duration_recorded = False
        self.unanswered_cookies: list[int] = []


# Servers are compared by rank first and by cost second; the lowest rank is the best.
# A server of an unreachable zone still gets a flow at most every
# `UNREACHABLE_ZONE_PROBE_INTERVAL_SECONDS`, to detect whether only the entry hosts of
# the zone have failed.
_UNREACHABLE_ZONE_RANK = 3
_COLD_RANK = 2
_SUSPECT_RANK = 1


class Placement:
    """Place the new flows of some services on their backend servers.

    A flow counts as open until its caller ends it, or pauses after an answer, or until
    the count has lasted several times the average duration of the server's flows: its
    caller has probably given up without notice.  A flow whose caller never answers the
    server counts for `ESTABLISHMENT_TIMEOUT_SECONDS` only.  A retransmitted opening
    packet means that the server chosen first did not answer: the flow moves to another
    server, and the first one is suspected for a limited time, in which other servers
    are preferred.
    """

    def __init__(
        self,
        zone: str,
        registry: TargetRegistry,
        generator: Random,
        on_flow_released: Callable[[FlowRequest, PlacementDecision, float], None],
    ) -> None:
        self._zone = zone
        self._registry = registry
        self._generator = generator
        self._on_flow_released = on_flow_released
        self._flows: dict[bytes, _PlacedFlow] = {}
        self._count_deadlines: list[tuple[float, int, _PlacedFlow]] = []
        self._retention_deadlines: deque[tuple[float, bytes, _PlacedFlow]] = deque()
        self._loads: dict[int, ServerLoad] = {}
        self._reports: dict[str, _ReportedLoads] = {}
        self._shares = ServiceShares(registry)
        # By service and share.
        self._indexes: dict[str, dict[int, ServerIndex]] = {}
        self._queues: dict[str, FlowQueue] = {}
        self._discovery_deadline = 0.0
        self._eviction_deadline = 0.0
        self._zone_answered_at: dict[str, float] = {}
        self._sequence = count()
        self._zones_out: frozenset[str] = frozenset()
        self._unreachable_zones: frozenset[str] = frozenset()
        self._may_place_on_cold: Callable[[RegisteredTarget], bool] = lambda _: True

    @property
    def shares(self) -> ServiceShares:
        """Return the shares into which the servers are divided."""
        return self._shares

    @property
    def queued_count(self) -> int:
        """Return how many flows are queued for a backend server."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def open_count(self) -> int:
        """Return how many flows are counted as open."""
        return sum(load.own_flows for load in self._loads.values())

    def update_zones(
        self, out_of_service: frozenset[str], unreachable: frozenset[str]
    ) -> None:
        """Update the zones that are out of service and those that are unreachable."""
        if (out_of_service, unreachable) != (self._zones_out, self._unreachable_zones):
            self._indexes.clear()
        self._zones_out = out_of_service
        self._unreachable_zones = unreachable

    def set_cold_start_filter(
        self, may_place_on_cold: Callable[[RegisteredTarget], bool]
    ) -> None:
        """Set the rule for which cold servers this host may place flows on."""
        self._may_place_on_cold = may_place_on_cold

    def set_discovery_deadline(self, deadline: float) -> None:
        """Set until when more backend servers may still be discovered.

        Until then a service without servers queues its flows instead of refusing them,
        and queued flows are kept however few were released recently.  The deadline
        never moves to an earlier time.
        """
        self._discovery_deadline = max(self._discovery_deadline, deadline)
        for queue in self._queues.values():
            queue.discovery_deadline = self._discovery_deadline

    def own_loads(self) -> dict[str, list[tuple[int, int]]]:
        """Return the cookie and open flows of each server that this host uses.

        They are grouped by service; servers that are no longer registered are left out.
        """
        loads: dict[str, list[tuple[int, int]]] = {}
        for cookie, load in self._loads.items():
            target = self._registry.by_cookie(cookie) if load.own_flows else None
            if target is not None:
                loads.setdefault(target.service, []).append((cookie, load.own_flows))
        return loads

    def update_reported_loads(
        self, host: str, loads: list[tuple[int, int]], now: float
    ) -> None:
        """Replace the open flows per server that another host reported.

        A report counts for `LOAD_REPORT_VALIDITY_SECONDS`.
        """
        report = self._reports.get(host)
        if report is None:
            report = self._reports[host] = _ReportedLoads()
        report.deadline = now + LOAD_REPORT_VALIDITY_SECONDS
        self._replace_report(report, dict(loads))

    def open_flow(self, request: FlowRequest, now: float) -> PlacementDecision:
        """Place a new flow, queue it until a server has free capacity, or refuse it."""
        placed = self._flows.get(request.flow)
        if placed is not None:
            return self._place_retransmission(placed, request, now)
        return self._place_new_flow(request, now)

    def flow_established(self, flow: bytes, now: float) -> None:
        """Count a flow for longer, or again, because a server has answered it."""
        placed = self._flows.get(flow)
        if placed is None:
            return
        load = self._load(placed.target.cookie)
        if not placed.is_counted:
            placed.is_counted = True
            self._change_flows(placed.target, 1)
        self._count_until(placed, load.count_deadline(now))

    def flow_answered(self, flow: bytes, seconds: float, now: float) -> None:
        """Stop to count a flow that pauses after an answer that took `seconds`.

        The flow counts again when `flow_established` reports its next request.
        """
        placed = self._flows.get(flow)
        if placed is None:
            return
        self._record_duration(placed, seconds, now)
        self._uncount(placed)
        self._release_queued(placed.target.service, now)

    def end_flow(self, flow: bytes, was_answered: bool, now: float) -> None:
        """Record the end of a flow and release queued flows in its place."""
        placed = self._flows.pop(flow, None)
        if placed is None:
            return
        if was_answered and not placed.is_duration_recorded:
            self._record_duration(placed, now - placed.placed_at, now)
        self._uncount(placed)
        self._release_queued(placed.target.service, now)

    def _record_duration(self, placed: _PlacedFlow, seconds: float, now: float) -> None:
        placed.is_duration_recorded = True
        self._zone_answered_at[placed.target.zone] = now
        self._load(placed.target.cookie).record_duration(seconds)
        self._queue_of(placed.target.service).record_duration(seconds)

    def tick(self, now: float) -> None:
        """Expire old flows, then release or drop queued flows."""
        services = set()
        while self._count_deadlines and self._count_deadlines[0][0] <= now:
            deadline, _, placed = heapq.heappop(self._count_deadlines)
            if placed.is_counted and deadline == placed.count_deadline:
                self._uncount(placed)
                services.add(placed.target.service)
        while self._retention_deadlines and self._retention_deadlines[0][0] <= now:
            _, flow, placed = self._retention_deadlines.popleft()
            if self._flows.get(flow) is placed:
                del self._flows[flow]
        for host, report in list(self._reports.items()):
            if now >= report.deadline:
                self._replace_report(report, {})
                del self._reports[host]
        if now >= self._eviction_deadline:
            self._eviction_deadline = now + LOAD_EVICTION_INTERVAL_SECONDS
            self._evict_loads()
        for service in services | self._queues.keys():
            self._release_queued(service, now)
            self._drop_unplaceable(service, now)

    def _evict_loads(self) -> None:
        """Evict the loads of servers that are no longer registered."""
        for cookie, load in list(self._loads.items()):
            if load.total_flows == 0 and self._registry.by_cookie(cookie) is None:
                del self._loads[cookie]

    def _place_retransmission(
        self, placed: _PlacedFlow, request: FlowRequest, now: float
    ) -> PlacementDecision:
        if request.retransmission <= len(placed.unanswered_cookies):
            return PlacementDecision(PlacementOutcome.PLACED, placed.target, "repeated")
        unanswered_target = placed.target
        self._load(unanswered_target.cookie).suspect(now)
        placed.unanswered_cookies.append(unanswered_target.cookie)
        target = self._choose(request, placed.unanswered_cookies, now)[0]
        if target is None:
            return PlacementDecision(
                PlacementOutcome.PLACED, unanswered_target, "no other server"
            )
        self._uncount(placed)
        self._count(placed, target, now)
        return PlacementDecision(
            PlacementOutcome.PLACED, target, "no answer from the first server"
        )

    def _place_new_flow(self, request: FlowRequest, now: float) -> PlacementDecision:
        target, has_capacity, slots = self._choose(request, (), now)
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
        if queue.add(request, now, MAXIMUM_WITHIN_OBJECTIVE_PER_SLOT * slots):
            return PlacementDecision(
                PlacementOutcome.QUEUED, None, "every server is full", len(queue)
            )
        return PlacementDecision(
            PlacementOutcome.REFUSED, None, "too many wait", len(queue)
        )

    def _place(
        self, request: FlowRequest, target: RegisteredTarget, now: float
    ) -> PlacementDecision:
        placed = _PlacedFlow(target, now)
        self._flows[request.flow] = placed
        self._retention_deadlines.append(
            (now + PLACEMENT_RETENTION_SECONDS, request.flow, placed)
        )
        load = self._load(target.cookie).total_flows
        self._count(placed, target, now)
        return PlacementDecision(PlacementOutcome.PLACED, target, LEAST_LOAD, load)

    def _release_queued(self, service: str, now: float) -> None:
        queue = self._queue_of(service)
        while (request := queue.first(now)) is not None:
            target, has_capacity, _ = self._choose(request, (), now)
            if target is None or not has_capacity:
                return
            queue.release(request, now)
            decision = self._place(request, target, now)
            self._on_flow_released(request, decision, now - request.queued_since)

    def _drop_unplaceable(self, service: str, now: float) -> None:
        queue = self._queue_of(service)
        for request in queue.requests_to_drop(now):
            queue.remove(request)
            is_refusable = now < request.refusal_deadline
            outcome = (
                PlacementOutcome.REFUSED if is_refusable else PlacementOutcome.EXPIRED
            )
            decision = PlacementDecision(outcome, None, "waited too long", len(queue))
            self._on_flow_released(request, decision, now - request.queued_since)

    def _queue_of(self, service: str) -> FlowQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = FlowQueue()
            queue.discovery_deadline = self._discovery_deadline
        return queue

    def _choose(
        self, request: FlowRequest, excluded_cookies: list[int] | tuple[()], now: float
    ) -> tuple[RegisteredTarget | None, bool, int]:
        """Return the best server, whether it has free capacity, and the total slots.

        Servers of unreachable zones do not count towards the total slots.
        """
        service = request.service
        share = self._shares.share_of_flow(self._zone, service, request.flow)
        if not excluded_cookies:
            index = self._index_of(service, share, now)
            while (target := index.choose(self._generator)) is not None:
                if self._is_usable(target, now):
                    flows = self._load(target.cookie).total_flows
                    return target, _has_capacity(target, flows), index.slots
                index.remove(target.cookie)
        return self._compare_all(service, share, excluded_cookies, now)

    def _index_of(self, service: str, share: int, now: float) -> ServerIndex:
        indexes = self._indexes.setdefault(service, {})
        index = indexes.get(share)
        if index is not None:
            has_changed = index.registry_version != self._registry.version
            validity_seconds = (
                CHANGED_INDEX_VALIDITY_SECONDS
                if has_changed
                else INDEX_VALIDITY_SECONDS
            )
            if now < index.built_at + validity_seconds:
                return index
        index = indexes[share] = ServerIndex(self._registry.version, now)
        for target in self._candidates(service, share):
            load = self._load(target.cookie)
            rank = self._rank(target, load, now)
            if rank != _UNREACHABLE_ZONE_RANK:
                index.slots += target.slots
            if rank == 0:
                is_own = self._is_own(target, share)
                index.add(target, load.total_flows, is_own=is_own)
        return index

    def _candidates(self, service: str, share: int) -> Iterator[RegisteredTarget]:
        """Return the servers in service that the flows of a share may use."""
        for target in self._registry.of_service(service):
            if (
                target.is_eligible
                and target.zone not in self._zones_out
                and self._shares.is_candidate(target, self._zone, service, share)
            ):
                yield target

    def _is_own(self, target: RegisteredTarget, share: int) -> bool:
        return (
            target.zone == self._zone and self._shares.share_of_server(target) == share
        )

    def _is_usable(self, target: RegisteredTarget, now: float) -> bool:
        """Return whether any flow may use a server now."""
        return (
            target.is_eligible
            and target.zone not in self._zones_out
            and self._registry.by_cookie(target.cookie) is target
            and self._rank(target, self._load(target.cookie), now) == 0
        )

    def _compare_all(
        self,
        service: str,
        share: int,
        excluded_cookies: list[int] | tuple[()],
        now: float,
    ) -> tuple[RegisteredTarget | None, bool, int]:
        """Choose as `_choose` does, among the servers of every rank."""
        best: RegisteredTarget | None = None
        # Worse than any rank.
        best_key = (9, 0.0)
        best_has_capacity = False
        slots = 0
        for target in self._candidates(service, share):
            load = self._load(target.cookie)
            rank = self._rank(target, load, now)
            if rank != _UNREACHABLE_ZONE_RANK:
                slots += target.slots
            if target.cookie in excluded_cookies or not self._may_use(
                target, rank, load, now
            ):
                continue
            flows = load.total_flows
            tie_break_cost = MAXIMUM_TIE_BREAK_COST * self._generator.random()
            is_own = self._is_own(target, share)
            cost = load_cost(target, flows, is_own=is_own) + tie_break_cost
            if (rank, cost) < best_key:
                best = target
                best_key = (rank, cost)
                best_has_capacity = _has_capacity(target, flows)
        return best, best_has_capacity, slots

    def _rank(self, target: RegisteredTarget, load: ServerLoad, now: float) -> int:
        if target.zone in self._unreachable_zones:
            answered_at = self._zone_answered_at.get(target.zone, float("-inf"))
            if now - answered_at > ZONE_ANSWER_VALIDITY_SECONDS:
                return _UNREACHABLE_ZONE_RANK
        if now < target.cold_deadline:
            return _COLD_RANK
        if now < load.suspicion_deadline:
            return _SUSPECT_RANK
        return 0

    def _may_use(
        self, target: RegisteredTarget, rank: int, load: ServerLoad, now: float
    ) -> bool:
        if rank < _COLD_RANK:
            return True
        if now < load.next_placement_at:
            return False
        return rank != _COLD_RANK or self._may_place_on_cold(target)

    def _count(self, placed: _PlacedFlow, target: RegisteredTarget, now: float) -> None:
        placed.target = target
        placed.is_counted = True
        load = self._load(target.cookie)
        self._change_flows(target, 1)
        rank = self._rank(target, load, now)
        if now < target.cold_deadline:
            load.next_placement_at = now + COLD_SERVER_MINIMUM_INTERVAL_SECONDS
        elif rank == _UNREACHABLE_ZONE_RANK:
            load.next_placement_at = now + UNREACHABLE_ZONE_PROBE_INTERVAL_SECONDS
        placed.placed_at = now
        self._count_until(placed, now + ESTABLISHMENT_TIMEOUT_SECONDS)

    def _count_until(self, placed: _PlacedFlow, deadline: float) -> None:
        placed.count_deadline = deadline
        heapq.heappush(self._count_deadlines, (deadline, next(self._sequence), placed))

    def _uncount(self, placed: _PlacedFlow) -> None:
        if placed.is_counted:
            placed.is_counted = False
            self._change_flows(placed.target, -1)

    def _change_flows(self, target: RegisteredTarget, difference: int) -> None:
        load = self._load(target.cookie)
        load.own_flows += difference
        self._move_in_indexes(target, load)

    def _replace_report(self, report: _ReportedLoads, flows: dict[int, int]) -> None:
        for cookie in report.flows.keys() | flows.keys():
            difference = flows.get(cookie, 0) - report.flows.get(cookie, 0)
            if difference:
                self._change_reported_flows(cookie, difference)
        report.flows = flows

    def _change_reported_flows(self, cookie: int, difference: int) -> None:
        load = self._load(cookie)
        load.reported_flows += difference
        target = self._registry.by_cookie(cookie)
        if target is not None:
            self._move_in_indexes(target, load)

    def _move_in_indexes(self, target: RegisteredTarget, load: ServerLoad) -> None:
        for index in self._indexes.get(target.service, {}).values():
            index.move(target.cookie, load.total_flows)

    def _load(self, cookie: int) -> ServerLoad:
        load = self._loads.get(cookie)
        if load is None:
            load = self._loads[cookie] = ServerLoad()
        return load


def _has_capacity(target: RegisteredTarget, flows: int) -> bool:
    return flows < target.slots * (1 + MAXIMUM_SERVER_QUEUE_PER_SLOT)
