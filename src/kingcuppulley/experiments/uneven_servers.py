"""Compare rules for the choice among servers of uneven speed in a simulation.

The placement of new flows runs with each rule against simulated servers, with the
same arrivals and the same work.  Run with
`python -m kingcuppulley.experiments.uneven_servers`.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable, Iterable
from itertools import count

import msgspec

from kingcuppulley.backend_servers.heartbeats import Heartbeat, ServingState
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
from kingcuppulley.fabric.server_choice import ServerChoice
from kingcuppulley.fabric.server_timing import TimedRequest

SEED = 5
ZONE = "zone-a"
SERVICE = "board"
SERVER_COUNT = 10
SLOTS = 2
WORK_SECONDS = 0.055
WORK_SPREAD = 0.5
LONG_REQUEST_SHARE = 0.03
LONG_REQUEST_FACTOR = 7.0
OBJECTIVE_SECONDS = 0.8
OPENING_TIMEOUT_SECONDS = 1.4
NEXT_RETRANSMISSION_SECONDS = 0.2
UNEVEN_FACTORS = (0.6, 1.0, 1.6)
SLOWED_FACTOR = 5.0
SLOWED_FROM_SECONDS = 5.0
SLOWED_UNTIL_SECONDS = 10.0
DURATION_SECONDS = 20.0
TICK_SECONDS = 0.02
LOADS = (0.3, 0.6, 0.9, 1.2)


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the times to answer in seconds, and what was answered in the objective."""

    mean: float
    p99: float
    within_objective: float


class LeastLoad(ServerChoice):
    """Choose the server with the fewest open flows for its slots."""

    def start_request(
        self, target: RegisteredTarget, route: bytes, now: float
    ) -> TimedRequest | None:
        """Time no request, so that every server keeps the slowness 1."""
        return None


class TwoChoices(LeastLoad):
    """Choose the less loaded one of two random servers."""

    def choose(
        self, request: FlowRequest, excluded_cookies: list[int] | tuple[()], now: float
    ) -> tuple[RegisteredTarget | None, bool, int]:
        """Return the choice, whether it has free capacity, and the total slots."""
        targets = self._registry.of_service(request.service)
        target = min(
            self._generator.sample(targets, 2),
            key=lambda target: self.load(target.cookie).total_flows,
        )
        return target, self._has_capacity(target), SERVER_COUNT * SLOTS


class KnownSpeeds(LeastLoad):
    """Choose by the same cost as the estimate, but with the true slowness."""

    def set_slowness(self, target: RegisteredTarget, slowness: float) -> None:
        """Set the true slowness of a server."""
        self.load(target.cookie).speed.slowness = slowness
        self._move_in_indexes(target, self.load(target.cookie))


class _Placement(Placement):
    """Place flows with one of the rules."""

    def __init__(
        self,
        registry: TargetRegistry,
        rule: type[ServerChoice],
        on_flow_released: Callable[[FlowRequest, PlacementDecision, float], None],
    ) -> None:
        generator = random.Random(SEED)
        super().__init__(ZONE, registry, generator, on_flow_released)
        self._choice = rule(ZONE, registry, generator)


class Simulation:
    """Send flows at random times; each server serves as many as it has slots."""

    def __init__(
        self, rule: type[ServerChoice], factors: Iterable[float], slowed: int
    ) -> None:
        registry = TargetRegistry()
        heartbeats = [_make_heartbeat(number) for number in range(SERVER_COUNT)]
        registry.update("control", "instance", 1, heartbeats, 0.0)
        self._targets = list(registry.targets)
        self._factors = dict(zip(_names(), factors, strict=True))
        self._busy_until = {name: [0.0] * SLOTS for name in _names()}
        self._placement = _Placement(registry, rule, self._apply)
        self._work_seconds: dict[bytes, float] = {}
        self._opened_at: dict[bytes, float] = {}
        self._latencies: list[float] = []
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._capacity = sum(SLOTS / factor for factor in self._factors.values()) / (
            WORK_SECONDS
        )
        for number in range(slowed):
            self._schedule(SLOWED_FROM_SECONDS, self._change_speed, number, True)
            self._schedule(SLOWED_UNTIL_SECONDS, self._change_speed, number, False)
        self._tell_slowness()

    @property
    def placement(self) -> Placement:
        """Return the placement that is simulated."""
        return self._placement

    @property
    def now(self) -> float:
        """Return the simulated time."""
        return self._now

    def run(self, load: float) -> Result:
        """Return the result of a load, as a share of the servers' normal capacity."""
        generator = random.Random(SEED)
        at = 0.0
        while at < DURATION_SECONDS:
            at += generator.expovariate(load * self._capacity)
            self._schedule(at, self._open, _draw_work(generator))
        for number in range(round((DURATION_SECONDS + 5.0) / TICK_SECONDS)):
            self._schedule(number * TICK_SECONDS, self._tick)
        while self._events:
            self._now, _, call = heapq.heappop(self._events)
            call()
        timely = sum(seconds <= OBJECTIVE_SECONDS for seconds in self._latencies)
        return Result(
            mean=statistics.mean(self._latencies),
            p99=statistics.quantiles(self._latencies, n=100)[98],
            within_objective=timely / len(self._opened_at),
        )

    def _schedule(
        self, at: float, call: Callable[..., None], *arguments: object
    ) -> None:
        entry = (at, next(self._numbers), lambda: call(*arguments))
        heapq.heappush(self._events, entry)

    def _change_speed(self, number: int, becomes_slow: bool) -> None:
        name = self._targets[number].name
        self._factors[name] *= SLOWED_FACTOR if becomes_slow else 1 / SLOWED_FACTOR
        self._tell_slowness()

    def _tell_slowness(self) -> None:
        choice = self._placement.choice
        if isinstance(choice, KnownSpeeds):
            for target in self._targets:
                choice.set_slowness(target, self._factors[target.name])

    def _tick(self) -> None:
        self._placement.tick(self._now)

    def _open(self, work_seconds: float) -> None:
        now = self._now
        flow = b"flow-%d" % len(self._opened_at)
        self._work_seconds[flow] = work_seconds
        self._opened_at[flow] = now
        request = FlowRequest(
            flow,
            SERVICE,
            0,
            b"",
            0,
            "",
            now + OBJECTIVE_SECONDS,
            now + OPENING_TIMEOUT_SECONDS,
            now + NEXT_RETRANSMISSION_SECONDS,
            b"route",
        )
        self._apply(request, self._placement.open_flow(request, now))

    def _apply(
        self, request: FlowRequest, decision: PlacementDecision, _: float = 0.0
    ) -> None:
        target = decision.target
        if decision.outcome is not PlacementOutcome.PLACED or target is None:
            return
        self._placement.flow_established(request.flow, self._now)
        slots = self._busy_until[target.name]
        seconds = self._work_seconds[request.flow] * self._factors[target.name]
        end = max(self._now, heapq.heappop(slots)) + seconds
        heapq.heappush(slots, end)
        self._schedule(end, self._end, request.flow)

    def _end(self, flow: bytes) -> None:
        self._latencies.append(self._now - self._opened_at[flow])
        self._placement.end_flow(flow, True, self._now)


def _draw_work(generator: random.Random) -> float:
    seconds = WORK_SECONDS * generator.lognormvariate(
        -(WORK_SPREAD**2) / 2, WORK_SPREAD
    )
    if generator.random() < LONG_REQUEST_SHARE:
        seconds *= LONG_REQUEST_FACTOR
    mean_factor = 1 + LONG_REQUEST_SHARE * (LONG_REQUEST_FACTOR - 1)
    return seconds / mean_factor


def _names() -> list[str]:
    return [f"board-{number}" for number in range(SERVER_COUNT)]


def _make_heartbeat(number: int) -> Heartbeat:
    return Heartbeat(
        name=_names()[number],
        packet_identity=number.to_bytes(8, "big"),
        service=SERVICE,
        zone=ZONE,
        host="127.0.0.1",
        port=1,
        state=ServingState.READY,
        incarnation=1,
        sequence=1,
        slots=SLOTS,
        cold_remaining_seconds=0.0,
    )


RULES: dict[str, type[ServerChoice]] = {
    "least load": LeastLoad,
    "two choices": TwoChoices,
    "estimate": ServerChoice,
    "speeds known": KnownSpeeds,
}
EQUAL = (1.0,) * SERVER_COUNT
UNEVEN = tuple(UNEVEN_FACTORS[n % len(UNEVEN_FACTORS)] for n in range(SERVER_COUNT))
SCENARIOS: dict[str, tuple[tuple[float, ...], int]] = {
    "equal": (EQUAL, 0),
    "uneven": (UNEVEN, 0),
    "one slowed": (EQUAL, 1),
    "uneven, one slowed": (UNEVEN, 1),
}


def main() -> None:
    """Print the comparison as a Markdown table: mean, p99 (ms), share in objective."""
    print(f"| servers | load | {' | '.join(RULES)} |")
    print("|---" * (2 + len(RULES)) + "|")
    for scenario, (factors, slowed) in SCENARIOS.items():
        for load in LOADS:
            cells = []
            for rule in RULES.values():
                result = Simulation(rule, factors, slowed).run(load)
                cells.append(
                    f"{result.mean * 1000:.0f} / {result.p99 * 1000:.0f} / "
                    f"{result.within_objective:.3f}"
                )
            print(f"| {scenario} | {load} | {' | '.join(cells)} |")


if __name__ == "__main__":
    main()
