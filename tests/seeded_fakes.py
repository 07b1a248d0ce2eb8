"""Make backend servers, and a zone of entry hosts on a fake network and clock."""

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
from kingcuppulley.fabric.placement import (
    Placement,
    PlacementDecision,
    PlacementOutcome,
)
from kingcuppulley.fabric.waiting import FlowRequest

SERVICE = "order-desk"
COPIES_AFTER_SECONDS = (0.0, 0.2, 0.6)
OPENING_SECONDS = 1.4
OBJECTIVE_SECONDS = 0.15


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
        "cold_seconds": 0.0,
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
    registry.update("control", "life-1", 1, servers, now)
    return registry


def flow_request(
    flow: bytes, now: float = 0.0, retransmission: int = 0, priority: int = 1
) -> FlowRequest:
    began_at = now - COPIES_AFTER_SECONDS[retransmission]
    return FlowRequest(
        flow,
        SERVICE,
        retransmission,
        b"",
        priority,
        "",
        began_at + OBJECTIVE_SECONDS,
        began_at + OPENING_SECONDS,
        began_at + (*COPIES_AFTER_SECONDS, OPENING_SECONDS)[retransmission + 1],
    )


class LoadedServer:
    """Serve flows as a backend server does: some at a time, the rest in a queue."""

    __slots__ = ("slots", "busy_until", "work_times", "is_silent")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy_until = [0.0] * slots
        self.work_times = 1.0
        self.is_silent = False

    def serve(self, at: float, work: float) -> float:
        """Return when a flow that arrives ends."""
        slot = min(range(self.slots), key=self.busy_until.__getitem__)
        end = max(at, self.busy_until[slot]) + work * self.work_times
        self.busy_until[slot] = end
        return end


class LoadRun:
    """Play a load against one placement, and note how long each flow took."""

    def __init__(self, registry: TargetRegistry, seed: int = 1) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.registry = registry
        self.placement = Placement("zone-a", registry, Random(seed), self._released)
        self.servers = {
            target.name: LoadedServer(target.slots) for target in registry.targets
        }
        self.seconds: list[float] = []
        self.refused = 0
        self.unanswered = 0
        self._counted_from = self.now
        self.arrivals: dict[str, int] = {}
        self._ends: list[tuple[float, bytes]] = []
        self._started: dict[bytes, float] = {}
        self._work: dict[bytes, float] = {}
        self._serial = count()

    def play(self, per_second: float, seconds: float, work: float) -> None:
        """Let flows arrive at random times; each ends when it is served."""
        until = self.now + seconds
        arrival = self.now
        while arrival < until:
            arrival += self.random.expovariate(per_second)
            self._advance(arrival)
            flow = b"flow-%d" % next(self._serial)
            self._started[flow] = arrival
            self._work[flow] = work * self.random.uniform(0.5, 1.5)
            request = flow_request(flow, self.now)
            decision = self.placement.open_flow(request, self.now)
            self._carry_out(request, decision)

    def count_from_now(self) -> None:
        """Count only flows that start from now on."""
        self.seconds.clear()
        self.refused = 0
        self._counted_from = self.now

    def late_share(self, objective: float) -> float:
        """Return the share of flows that were not served within an objective."""
        late = sum(1 for seconds in self.seconds if seconds > objective)
        total = len(self.seconds) + self.refused + self.unanswered
        return (late + self.refused + self.unanswered) / total

    def _advance(self, until: float) -> None:
        while self._ends and self._ends[0][0] <= until:
            self.now, flow = heapq.heappop(self._ends)
            self.placement.end_flow(flow, True, self.now)
        self.now = until
        self.placement.tick(self.now)

    def _released(
        self, request: FlowRequest, decision: PlacementDecision, held: float
    ) -> None:
        self._carry_out(request, decision)

    def _carry_out(self, request: FlowRequest, decision: PlacementDecision) -> None:
        if decision.outcome in (PlacementOutcome.REFUSED, PlacementOutcome.EXPIRED):
            self.refused += self._is_counted(request)
        elif (
            decision.outcome is PlacementOutcome.PLACED and decision.target is not None
        ):
            self._send(request, decision.target)

    def _send(self, request: FlowRequest, target: RegisteredTarget) -> None:
        server = self.servers[target.name]
        self.arrivals[target.name] = self.arrivals.get(target.name, 0) + 1
        if server.is_silent:
            self._copy_later(request)
            return
        self.placement.flow_established(request.flow, self.now)
        end = server.serve(self.now, self._work[request.flow])
        if self._is_counted(request):
            self.seconds.append(end - self._started[request.flow])
        heapq.heappush(self._ends, (end, request.flow))

    def _is_counted(self, request: FlowRequest) -> bool:
        return self._started[request.flow] >= self._counted_from

    def _copy_later(self, request: FlowRequest) -> None:
        if request.retransmission == 2:
            self.unanswered += 1
            return
        again = flow_request(request.flow, self.now + 0.2, request.retransmission + 1)
        decision = self.placement.open_flow(again, self.now + 0.2)
        self._started[request.flow] -= 0.2
        self._carry_out(again, decision)
