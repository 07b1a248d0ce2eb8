"""Choose a backend server for each new flow by the load that is known of each."""

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
from kingcuppulley.fabric.server_load import ServerLoad
from kingcuppulley.fabric.waiting import FlowQueue, FlowRequest

# A caller that is still there answers a server sooner; one that is gone never does.
UNOPENED_SECONDS = 0.08
REMEMBERED_SECONDS = 3.0
LOAD_REPORT_VALIDITY_SECONDS = 0.5
COLD_SERVER_MINIMUM_INTERVAL_SECONDS = 0.6
PROBE_SPACING_SECONDS = 0.25
ANSWERED_SECONDS = 1.0
QUEUED_PER_SLOT = 1
HELD_PER_SLOT = 3
LEAST_LOAD = "least load"
OTHER_ZONE_COST = 0.8
TIE_COST = 0.25
LOAD_EVICTION_INTERVAL_SECONDS = 10.0


class PlacementOutcome(Enum):
    """Name what became of a new flow."""

    PLACED = "placed"
    QUEUED = "held"
    REFUSED = "refused"
    EXPIRED = "expired"


class PlacementDecision:
    """Hold what became of a new flow and why.

    `load` is how many flows the server held already, or how many flows wait.
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
    """Remember where a flow was placed."""

    __slots__ = ("target", "placed_at", "is_counted", "count_deadline", "missed")

    def __init__(self, target: RegisteredTarget, now: float) -> None:
        self.target = target
        self.placed_at = now
        self.is_counted = True
        self.count_deadline = 0.0
        self.missed: list[int] = []


# A server of a zone that is silent gets a flow now and then, to see whether it is the
# zone's entry hosts alone that are lost.
_NOT_REACHED_TIER = 3
_COLD_TIER = 2
_SUSPECT_TIER = 1


class Placement:
    """Place the new flows of some services on their backend servers.

    A flow counts until its caller ends it, or until it has lasted several times as long
    as the server's flows usually do: its caller has given up without a word.  One whose
    caller does not answer the server at all counts for a moment only.  A copy of
    an opening packet says that the server placed first did not answer: the copy goes
    to another one, and the first is avoided for a while.
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
        self._ages: list[tuple[float, int, _PlacedFlow]] = []
        self._expiries: deque[tuple[float, bytes, _PlacedFlow]] = deque()
        self._loads: dict[int, ServerLoad] = {}
        self._waiting: dict[str, FlowQueue] = {}
        self._discovery_deadline = 0.0
        self._forget_deadline = 0.0
        self._answered_at: dict[str, float] = {}
        self._ticket = count()
        self._zones_out: frozenset[str] = frozenset()
        self._unreachable_zones: frozenset[str] = frozenset()
        self._may_place_on_cold: Callable[[RegisteredTarget], bool] = lambda _: True

    @property
    def queued_count(self) -> int:
        """Return how many flows wait for a backend server."""
        return sum(len(waiting) for waiting in self._waiting.values())

    @property
    def open_count(self) -> int:
        """Return how many flows are counted as open."""
        return sum(load.own for load in self._loads.values())

    def update_zones(
        self, out_of_service: frozenset[str], unreachable: frozenset[str]
    ) -> None:
        """Take the zones out of service and those that do not answer."""
        self._zones_out = out_of_service
        self._unreachable_zones = unreachable

    def set_cold_start_filter(
        self, may_place_on_cold: Callable[[RegisteredTarget], bool]
    ) -> None:
        """Take the rule for which cold servers this host may use at all."""
        self._may_place_on_cold = may_place_on_cold

    def set_discovery_deadline(self, deadline: float) -> None:
        """Expect that servers which nobody has heard yet announce themselves.

        Until then there is more hope for flows that wait than lately was fulfilled.
        """
        self._discovery_deadline = max(self._discovery_deadline, deadline)
        for waiting in self._waiting.values():
            waiting.discovery_deadline = self._discovery_deadline

    def own_loads(self) -> list[tuple[int, int]]:
        """Return the cookies of the servers in use here and their open flows."""
        return [(cookie, load.own) for cookie, load in self._loads.items() if load.own]

    def update_reported_loads(
        self, host: str, loads: list[tuple[int, int]], now: float
    ) -> None:
        """Take the open flows that another host placed."""
        deadline = now + LOAD_REPORT_VALIDITY_SECONDS
        reported = dict(loads)
        for cookie, load in self._loads.items():
            if cookie not in reported:
                load.reported.pop(host, None)
        for cookie, flows in reported.items():
            self._load(cookie).reported[host] = (flows, deadline)

    def open_flow(self, request: FlowRequest, now: float) -> PlacementDecision:
        """Place a new flow, hold it until a server has room, or refuse it."""
        placed = self._flows.get(request.flow)
        if placed is not None:
            return self._place_again(placed, request, now)
        return self._place_first(request, now)

    def flow_established(self, flow: bytes, now: float) -> None:
        """Count a flow whose caller has heard the server until it is old."""
        placed = self._flows.get(flow)
        if placed is None:
            return
        load = self._load(placed.target.cookie)
        if not placed.is_counted:
            placed.is_counted = True
            load.own += 1
        self._count_until(placed, load.count_deadline(now))

    def end_flow(self, flow: bytes, was_answered: bool, now: float) -> None:
        """Take the end of a flow and give its place to one that waits."""
        placed = self._flows.pop(flow, None)
        if placed is None:
            return
        if was_answered:
            self._answered_at[placed.target.zone] = now
            self._load(placed.target.cookie).learn(now - placed.placed_at)
            self._waiting_of(placed.target.service).learn(now - placed.placed_at)
        self._uncount(placed)
        self._release_held(placed.target.service, now)

    def tick(self, now: float) -> None:
        """Forget flows that are old, and refuse what has waited too long."""
        services = set()
        while self._ages and self._ages[0][0] <= now:
            deadline, _, placed = heapq.heappop(self._ages)
            if placed.is_counted and deadline == placed.count_deadline:
                self._uncount(placed)
                services.add(placed.target.service)
        while self._expiries and self._expiries[0][0] <= now:
            _, flow, placed = self._expiries.popleft()
            if self._flows.get(flow) is placed:
                del self._flows[flow]
        if now >= self._forget_deadline:
            self._forget_deadline = now + LOAD_EVICTION_INTERVAL_SECONDS
            self._forget_loads()
        for service in services | self._waiting.keys():
            self._release_held(service, now)
            self._give_up(service, now)

    def _forget_loads(self) -> None:
        """Drop the counts of servers that nobody knows any more."""
        for cookie, load in list(self._loads.items()):
            if load.own == 0 and self._registry.by_cookie(cookie) is None:
                del self._loads[cookie]

    def _place_again(
        self, placed: _PlacedFlow, request: FlowRequest, now: float
    ) -> PlacementDecision:
        if request.retransmission <= len(placed.missed):
            return PlacementDecision(PlacementOutcome.PLACED, placed.target, "repeated")
        missed = placed.target
        self._load(missed.cookie).suspect(now)
        placed.missed.append(missed.cookie)
        target = self._choose(request.service, placed.missed, now)[0]
        if target is None:
            return PlacementDecision(PlacementOutcome.PLACED, missed, "no other server")
        self._uncount(placed)
        self._count(placed, target, now)
        return PlacementDecision(
            PlacementOutcome.PLACED, target, "no answer from the first server"
        )

    def _place_first(self, request: FlowRequest, now: float) -> PlacementDecision:
        target, has_room, slots = self._choose(request.service, (), now)
        is_settled = now >= self._discovery_deadline
        if target is None and not slots and is_settled:
            return PlacementDecision(
                PlacementOutcome.REFUSED, None, "no server within reach"
            )
        if target is not None and not slots:
            return self._place(request, target, now)
        waiting = self._waiting_of(request.service)
        if (
            target is not None
            and has_room
            and request.flow not in waiting
            and not waiting.has_in_time(now)
        ):
            return self._place(request, target, now)
        if waiting.add(request, now, HELD_PER_SLOT * slots):
            return PlacementDecision(
                PlacementOutcome.QUEUED, None, "every server is full", len(waiting)
            )
        return PlacementDecision(
            PlacementOutcome.REFUSED, None, "too many wait", len(waiting)
        )

    def _place(
        self, request: FlowRequest, target: RegisteredTarget, now: float
    ) -> PlacementDecision:
        placed = _PlacedFlow(target, now)
        self._flows[request.flow] = placed
        self._expiries.append((now + REMEMBERED_SECONDS, request.flow, placed))
        load = self._load(target.cookie).total(now)
        self._count(placed, target, now)
        return PlacementDecision(PlacementOutcome.PLACED, target, LEAST_LOAD, load)

    def _release_held(self, service: str, now: float) -> None:
        waiting = self._waiting_of(service)
        while (request := waiting.first(now)) is not None:
            target, has_room, _ = self._choose(service, (), now)
            if target is None or not has_room:
                return
            waiting.release(request, now)
            decision = self._place(request, target, now)
            self._on_flow_released(request, decision, now - request.queued_since)

    def _give_up(self, service: str, now: float) -> None:
        waiting = self._waiting_of(service)
        for request in waiting.requests_to_drop(now):
            waiting.remove(request)
            is_refusable = now < request.refusal_deadline
            outcome = (
                PlacementOutcome.REFUSED if is_refusable else PlacementOutcome.EXPIRED
            )
            decision = PlacementDecision(outcome, None, "waited too long", len(waiting))
            self._on_flow_released(request, decision, now - request.queued_since)

    def _waiting_of(self, service: str) -> FlowQueue:
        waiting = self._waiting.get(service)
        if waiting is None:
            waiting = self._waiting[service] = FlowQueue()
            waiting.discovery_deadline = self._discovery_deadline
        return waiting

    def _choose(
        self, service: str, missed: list[int] | tuple[()], now: float
    ) -> tuple[RegisteredTarget | None, bool, int]:
        """Return the best server, whether it has room, and the slots of all."""
        best: RegisteredTarget | None = None
        best_key = (9, 0.0)
        best_room = False
        slots = 0
        for target in self._registry.of_service(service):
            if not target.is_eligible or target.zone in self._zones_out:
                continue
            load = self._load(target.cookie)
            tier = self._tier(target, load, now)
            if tier != _NOT_REACHED_TIER:
                slots += target.slots
            if target.cookie in missed or not self._may_use(target, tier, load, now):
                continue
            flows = load.total(now)
            cost = flows / max(1, target.slots) + TIE_COST * self._generator.random()
            if target.zone != self._zone:
                cost += OTHER_ZONE_COST
            if (tier, cost) < best_key:
                best = target
                best_key = (tier, cost)
                best_room = flows < target.slots * (1 + QUEUED_PER_SLOT)
        return best, best_room, slots

    def _tier(self, target: RegisteredTarget, load: ServerLoad, now: float) -> int:
        if target.zone in self._unreachable_zones:
            answered_at = self._answered_at.get(target.zone, float("-inf"))
            if now - answered_at > ANSWERED_SECONDS:
                return _NOT_REACHED_TIER
        if now < target.cold_deadline:
            return _COLD_TIER
        if now < load.suspect_deadline:
            return _SUSPECT_TIER
        return 0

    def _may_use(
        self, target: RegisteredTarget, tier: int, load: ServerLoad, now: float
    ) -> bool:
        if tier < _COLD_TIER:
            return True
        if now < load.next_place_at:
            return False
        return tier != _COLD_TIER or self._may_place_on_cold(target)

    def _count(self, placed: _PlacedFlow, target: RegisteredTarget, now: float) -> None:
        placed.target = target
        placed.is_counted = True
        load = self._load(target.cookie)
        load.own += 1
        tier = self._tier(target, load, now)
        if now < target.cold_deadline:
            load.next_place_at = now + COLD_SERVER_MINIMUM_INTERVAL_SECONDS
        elif tier == _NOT_REACHED_TIER:
            load.next_place_at = now + PROBE_SPACING_SECONDS
        placed.placed_at = now
        self._count_until(placed, now + UNOPENED_SECONDS)

    def _count_until(self, placed: _PlacedFlow, deadline: float) -> None:
        placed.count_deadline = deadline
        heapq.heappush(self._ages, (deadline, next(self._ticket), placed))

    def _uncount(self, placed: _PlacedFlow) -> None:
        if placed.is_counted:
            placed.is_counted = False
            self._load(placed.target.cookie).own -= 1

    def _load(self, cookie: int) -> ServerLoad:
        load = self._loads.get(cookie)
        if load is None:
            load = self._loads[cookie] = ServerLoad()
        return load
