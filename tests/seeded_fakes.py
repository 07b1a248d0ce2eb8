"""Build backend servers and flow requests, and run a load against one placement."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

from kingcuppulley.backend_servers.heartbeats import (
    Heartbeat,
    ServingState,
)
from kingcuppulley.backend_servers.target_registry import (
    RegisteredTarget,
    TargetRegistry,
)
from kingcuppulley.fabric.flow_request import FlowRequest
from kingcuppulley.fabric.placement import (
    Placement,
    PlacementDecision,
    PlacementOutcome,
)

SERVICE = "order-desk"
OPENING_PACKET_TIMES_SECONDS = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_SECONDS = 1.4
OBJECTIVE_SECONDS = 0.15


class WaitingCaller:
    """Wait for an answer since a time, on an open connection."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.is_disconnected = False


def heartbeat(name: str = "i-1", **fields: object) -> Heartbeat:
    values: dict[str, object] = {
        "name": name,
        "packet_identity": int(name.rpartition("-")[2], 16).to_bytes(8, "big"),
        "service": SERVICE,
        "zone": "zone-a",
        "host": "10.0.0.1",
        "port": 80,
        "state": ServingState.READY,
        "incarnation": 1000,
        "sequence": 1,
        "slots": 2,
        "cold_remaining_seconds": 0.0,
    }
    return Heartbeat(**{**values, **fields})  # type: ignore[arg-type]


def registry_of(
    zones: dict[str, int], now: float = 0.0, **fields: object
) -> TargetRegistry:
    registry = TargetRegistry()
    number = count(1)
    servers = [
        heartbeat(f"i-{next(number)}", zone=zone, host=f"10.0.0.{n}", **fields)
        for zone, servers_of_zone in zones.items()
        for n in range(servers_of_zone)
    ]
    registry.update("control", "instance-1", 1, servers, now)
    return registry


def flow_request(
    flow: bytes, now: float = 0.0, retransmission: int = 0, priority: int = 1
) -> FlowRequest:
    began_at = now - OPENING_PACKET_TIMES_SECONDS[retransmission]
    return FlowRequest(
        flow,
        SERVICE,
        retransmission,
        b"",
        priority,
        "",
        began_at + OBJECTIVE_SECONDS,
        began_at + OPENING_TIMEOUT_SECONDS,
        began_at
        + (*OPENING_PACKET_TIMES_SECONDS, OPENING_TIMEOUT_SECONDS)[retransmission + 1],
    )


class LoadedServer:
    """Serve flows as a backend server does: some at a time, the rest in a queue."""

    __slots__ = ("slots", "busy_until", "work_factor", "is_unresponsive")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy_until = [0.0] * slots
        self.work_factor = 1.0
        self.is_unresponsive = False

    def serve(self, arrival: float, work_seconds: float) -> float:
        """Serve a flow and return when it ends."""
        slot = min(range(self.slots), key=self.busy_until.__getitem__)
        end = max(arrival, self.busy_until[slot]) + work_seconds * self.work_factor
        self.busy_until[slot] = end
        return end


class LoadRun:
    """Run a load against one placement and record the duration of each flow."""

    def __init__(self, registry: TargetRegistry, seed: int = 1) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.registry = registry
        self.placement = Placement(
            "zone-a", registry, Random(seed), self._flow_released
        )
        self.servers = {
            target.name: LoadedServer(target.slots) for target in registry.targets
        }
        self.durations: list[float] = []
        self.refused = 0
        self.unanswered = 0
        self._counts_since = self.now
        self.arrivals: dict[str, int] = {}
        self._flow_ends: list[tuple[float, bytes]] = []
        self._began_at: dict[bytes, float] = {}
        self._work_seconds: dict[bytes, float] = {}
        self._flow_numbers = count()

    def run_load(
        self, flows_per_second: float, seconds: float, work_seconds: float
    ) -> None:
        """Open flows at random times; each ends when a server has served it."""
        end_time = self.now + seconds
        arrival = self.now
        while arrival < end_time:
            arrival += self.random.expovariate(flows_per_second)
            self._advance(arrival)
            flow = b"flow-%d" % next(self._flow_numbers)
            self._began_at[flow] = arrival
            self._work_seconds[flow] = work_seconds * self.random.uniform(0.5, 1.5)
            request = flow_request(flow, self.now)
            decision = self.placement.open_flow(request, self.now)
            self._apply(request, decision)

    def restart_counts(self) -> None:
        """Count only the flows that begin from now on."""
        self.durations.clear()
        self.refused = 0
        self._counts_since = self.now

    def share_past_objective(self, objective: float) -> float:
        """Return the share of flows that were not served within an objective."""
        past_objective = sum(1 for seconds in self.durations if seconds > objective)
        total = len(self.durations) + self.refused + self.unanswered
        return (past_objective + self.refused + self.unanswered) / total

    def _advance(self, end_time: float) -> None:
        while self._flow_ends and self._flow_ends[0][0] <= end_time:
            self.now, flow = heapq.heappop(self._flow_ends)
            self.placement.end_flow(flow, True, self.now)
        self.now = end_time
        self.placement.tick(self.now)

    def _flow_released(
        self, request: FlowRequest, decision: PlacementDecision, queued_seconds: float
    ) -> None:
        self._apply(request, decision)

    def _apply(self, request: FlowRequest, decision: PlacementDecision) -> None:
        if decision.outcome in (PlacementOutcome.REFUSED, PlacementOutcome.EXPIRED):
            self.refused += self._is_counted(request)
        elif (
            decision.outcome is PlacementOutcome.PLACED and decision.target is not None
        ):
            self._send(request, decision.target)

    def _send(self, request: FlowRequest, target: RegisteredTarget) -> None:
        server = self.servers[target.name]
        self.arrivals[target.name] = self.arrivals.get(target.name, 0) + 1
        if server.is_unresponsive:
            self._retransmit(request)
            return
        self.placement.flow_established(request.flow, self.now)
        end = server.serve(self.now, self._work_seconds[request.flow])
        if self._is_counted(request):
            self.durations.append(end - self._began_at[request.flow])
        heapq.heappush(self._flow_ends, (end, request.flow))

    def _is_counted(self, request: FlowRequest) -> bool:
        return self._began_at[request.flow] >= self._counts_since

    def _retransmit(self, request: FlowRequest) -> None:
        if request.retransmission == 2:
            self.unanswered += 1
            return
        retransmitted = flow_request(
            request.flow, self.now + 0.2, request.retransmission + 1
        )
        decision = self.placement.open_flow(retransmitted, self.now + 0.2)
        self._began_at[request.flow] -= 0.2
        self._apply(retransmitted, decision)
