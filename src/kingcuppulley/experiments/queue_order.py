"""Compare orders in which a full service takes queued flows.

The clock is virtual and the loads are drawn from a seed. Run with
`python -m kingcuppulley.experiments.queue_order`.
"""

from __future__ import annotations

import heapq
from bisect import insort
from collections.abc import Callable
from functools import partial
from itertools import count, pairwise
from random import Random

import msgspec

from kingcuppulley.fabric.fair_share import FairShare, FairShares
from kingcuppulley.fabric.flow_queue import FlowQueue
from kingcuppulley.fabric.flow_request import FlowRequest
from kingcuppulley.fabric.placement import MAXIMUM_WITHIN_OBJECTIVE_PER_SLOT
from kingcuppulley.fabric.request_cost import cost_per_second, priority_weight

SEED, SLOTS = 1, 40
MAXIMUM_OPEN_FLOWS = 2 * SLOTS  # A server queues one flow for each of its slots.
# When a caller sends its opening packet, and gives up.
PACKET_TIMES_SECONDS = (0.0, 0.2, 0.6, 1.4)
TRAVEL_SECONDS = 0.03
ATTEMPTS = 3
TICK_SECONDS = 0.02
KEY_GAP = 1e6  # Deadlines of a simulation only order flows of equal keys.
WORTH_OF_LATE_ANSWER = 0.3
BURST_START_SECONDS, BURST_END_SECONDS, END_SECONDS = 1.0, 11.0, 12.0
OUTAGE_SECONDS = 1.2  # Callers that began so long before the start return together.


class _Route(msgspec.Struct, frozen=True):
    name: str
    priority: int
    work_seconds: float
    objective_seconds: float


BOARD = _Route("board", 2, 0.055, 0.8)
TICKETS = _Route("tickets", 1, 0.072, 0.79)
DOWNLOADS = _Route("downloads", 2, 0.005, 2.0)
REPORTS = _Route("reports", 2, 0.5, 2.0)
ROUTES = {r.name.encode(): r for r in (BOARD, TICKETS, DOWNLOADS, REPORTS)}
COSTS = {n: cost_per_second(r.priority, r.work_seconds) for n, r in ROUTES.items()}


# A route, how many slots its work occupies, and the factor of that during a burst.
Demands = tuple[tuple[_Route, float, float], ...]


def _demands(board: float, tickets: float) -> Demands:
    return (BOARD, 20, board), (TICKETS, 12, tickets), (DOWNLOADS, 2, 1.0)


OUTAGE_LOAD = "callers back after an outage"
LOADS: dict[str, Demands] = {
    "long overload, 1.3 times": _demands(1.56, 1.56),
    "burst of board, 1.8 times": _demands(1.8, 1.0),
    "burst of board, 2.5 times": _demands(2.5, 1.0),
    "burst of tickets, 2.5 times": _demands(1.0, 2.5),
    OUTAGE_LOAD: _demands(1.0, 1.0),
    "slow route among fast ones": ((BOARD, 18, 1), (DOWNLOADS, 2, 1), (REPORTS, 14, 2)),
    "fast burst beside slow route": ((BOARD, 18, 2.5), (REPORTS, 8, 1)),
}
Key = Callable[[FlowRequest], float]
POLICIES: dict[str, Key | None] = {
    "order without shares": lambda request: request.priority,
    "earliest objective": lambda request: request.objective_deadline,
    "shortest work": lambda request: ROUTES[request.route].work_seconds,
    "weight for work": lambda request: -COSTS[request.route],
    "weighted fair queueing": None,
}


class _KeyOrder(FairShares):
    # Orders the flows of all routes by a key, then as those of a single route.
    def __init__(self, key: Key) -> None:
        super().__init__()
        self._key = key
        self._share = FairShare(b"", 0, self._route_work)

    def share_of(self, request: FlowRequest) -> FairShare:
        return self._by_route.setdefault((b"", 0), self._share)

    def add_within_objective(self, request: FlowRequest) -> None:
        entry = (self._key(request), request)
        insort(self.share_of(request).within_objective, entry, key=lambda e: e[0])

    def add_past_objective(self, request: FlowRequest) -> None:
        key = KEY_GAP * self._key(request) + request.answer_deadline
        entry = (key, next(self._sequence), request)
        heapq.heappush(self.share_of(request).past_objective, entry)


class _Caller(msgspec.Struct):
    route: _Route
    began_at: float
    work_factor: float
    flow: bytes = b""
    attempts: int = 0
    refusals: int = 0
    worth: float = 0.0


class _Simulation:
    # Runs the callers of a load against one queue and the slots of its service.
    def __init__(self, queue: FlowQueue, load: str) -> None:
        self._queue = queue
        self._open_count = 0
        self._free_at = [0.0] * SLOTS
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_numbers = count()
        self._by_flow: dict[bytes, _Caller] = {}
        self._callers: list[_Caller] = []
        random = Random(SEED)
        for route, slots, burst_factor in LOADS[load]:
            at = -OUTAGE_SECONDS if load == OUTAGE_LOAD else 0.0
            while at < END_SECONDS:
                is_burst = BURST_START_SECONDS <= at < BURST_END_SECONDS
                burst_slots = slots * burst_factor if is_burst else slots
                at += random.expovariate(burst_slots / route.work_seconds)
                self._callers.append(_Caller(route, at, random.uniform(0.5, 1.5)))
                self._open(self._callers[-1], at)

    def run(self) -> list[_Caller]:
        self._schedule(0.0, self._tick)
        while self._events:
            now, _, callback = heapq.heappop(self._events)
            callback(now)
        return self._callers

    def _schedule(self, at: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), callback))

    def _open(self, caller: _Caller, began_at: float) -> None:
        if caller.attempts == ATTEMPTS:
            return
        caller.attempts += 1
        flow = caller.flow = b"%d" % len(self._by_flow)
        self._by_flow[flow] = caller
        route = caller.route
        sent = [began_at + seconds for seconds in PACKET_TIMES_SECONDS]
        objective_deadline = began_at + route.objective_seconds - TRAVEL_SECONDS
        for number, (at, next_at) in enumerate(pairwise(sent)):
            request = FlowRequest(
                *(flow, "service", number, b"", route.priority, "", objective_deadline),
                *(sent[-1] - TRAVEL_SECONDS, next_at, route.name.encode()),
            )
            if at >= 0.0:  # Packets sent during an outage are lost.
                self._schedule(at, partial(self._receive, request))
        self._schedule(sent[-1], partial(self._give_up, flow))

    def _give_up(self, flow: bytes, now: float) -> None:
        caller = self._by_flow[flow]
        if caller.flow == flow:
            self._open(caller, now)

    def _receive(self, request: FlowRequest, now: float) -> None:
        if self._by_flow[request.flow].flow != request.flow:
            return
        queue = self._queue
        is_free = self._open_count < MAXIMUM_OPEN_FLOWS and request.flow not in queue
        if is_free and not queue.has_within_objective(now):
            self._start(request, now)
        elif not queue.add(request, now, MAXIMUM_WITHIN_OBJECTIVE_PER_SLOT * SLOTS):
            self._refuse(request, now)
        for displaced in queue.take_displaced():
            self._refuse(displaced, now)

    def _refuse(self, request: FlowRequest, now: float) -> None:
        caller = self._by_flow[request.flow]
        caller.refusals += 1
        caller.flow = b""
        self._schedule(now + TRAVEL_SECONDS, partial(self._open, caller))

    def _start(self, request: FlowRequest, now: float) -> None:
        caller = self._by_flow[request.flow]
        caller.flow = b""
        self._open_count += 1
        started_at = max(now, heapq.heappop(self._free_at))
        end = started_at + caller.work_factor * caller.route.work_seconds
        heapq.heappush(self._free_at, end)
        is_late = (
            end + TRAVEL_SECONDS > caller.began_at + caller.route.objective_seconds
        )
        caller.worth = WORTH_OF_LATE_ANSWER if is_late else 1.0

        def finish(at: float) -> None:
            self._open_count -= 1
            self._queue.record_duration(at - now, request.route, at - started_at)
            self._release(at)

        self._schedule(end, finish)

    def _release(self, now: float) -> None:
        queue = self._queue
        while self._open_count < MAXIMUM_OPEN_FLOWS and (request := queue.first(now)):
            queue.release(request, now)
            self._start(request, now)

    def _tick(self, now: float) -> None:
        self._release(now)
        for request in self._queue.requests_to_drop(now):
            self._queue.remove(request)
            if now < request.refusal_deadline:
                self._refuse(request, now)
        if self._events:
            self._schedule(now + TICK_SECONDS, self._tick)


def simulate(policy: str, load: str) -> tuple[dict[str, list[float]], float]:
    """Return, for each caller of a route, answers in time, late ones and refusals.

    The second value is the worth of all answers, as a share of the possible worth.
    """
    key = POLICIES[policy]
    queue = FlowQueue(_KeyOrder(key) if key else None)
    callers = _Simulation(queue, load).run()
    results = {}
    for route, _, _ in LOADS[load]:
        of_route = [caller for caller in callers if caller.route is route]
        worths = [caller.worth for caller in of_route]
        refusals = sum(caller.refusals for caller in of_route)
        counts = worths.count(1.0), worths.count(WORTH_OF_LATE_ANSWER), refusals
        results[route.name] = [number / len(worths) for number in counts]
    weights = [priority_weight(caller.route.priority) for caller in callers]
    worth = sum(w * c.worth for w, c in zip(weights, callers, strict=True))
    return results, worth / sum(weights)


def main() -> None:
    """Print the comparison as a Markdown table."""
    print(
        "| load | policy | route: in time, late, refused | worth |\n|---|---|---|---|"
    )
    for load in LOADS:
        for policy in POLICIES:
            results, worth = simulate(policy, load)
            row = "{}: {:.3f}, {:.3f}, {:.2f}".format
            cells = "; ".join(row(name, *result) for name, result in results.items())
            print(f"| {load} | {policy} | {cells} | {worth:.3f} |")


if __name__ == "__main__":
    main()
