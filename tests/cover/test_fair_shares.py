"""Check how routes share a full service, and that equal routes are not reordered."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppulley.experiments.queue_order import simulate
from kingcuppulley.fabric.flow_queue import (
    MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE,
    REFUSAL_DECISION_SECONDS,
    REFUSAL_WINDOW_SECONDS,
    RELEASE_STALL_TIMEOUT_SECONDS,
    FlowQueue,
)
from kingcuppulley.fabric.flow_request import FlowRequest
from kingcuppulley.fabric.placement import Placement, PlacementOutcome
from kingcuppulley.fabric.request_cost import MAXIMUM_ROUTES, RouteWork
from tests.seeded_fakes import flow_request, registry_of

PACKET_TIMES_SECONDS = (0.0, 0.2, 0.6, 1.4)


class SingleOrderQueue:
    """The order of a service without shares, in which all routes are equal."""

    def __init__(self) -> None:
        self.by_flow: dict[bytes, FlowRequest] = {}
        self.within: list[tuple[int, int, FlowRequest]] = []
        self.past: list[tuple[int, float, int, FlowRequest]] = []
        self.sequence = count()
        self.average_seconds = 0.05
        self.released_at = self.interval = 0.0
        self.consecutive = 0

    def record_duration(self, seconds: float) -> None:
        self.average_seconds += 0.1 * (seconds - self.average_seconds)

    def add(self, request: FlowRequest, now: float, limit: int) -> bool:
        if not self.by_flow:
            self.released_at, self.interval = now, 0.0
        self.by_flow[request.flow] = request
        turns = 1 + 1 / MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE
        wait_seconds = self.interval * turns * len(self.within)
        answered_at = now + wait_seconds + self.average_seconds
        is_within = answered_at <= request.objective_deadline
        if is_within and len(self.within) < limit:
            entry = (request.priority, next(self.sequence), request)
            heapq.heappush(self.within, entry)
        elif self.is_met(request, now):
            self.push_past(request)
        else:
            del self.by_flow[request.flow]
        return request.flow in self.by_flow

    def first(self, now: float) -> FlowRequest | None:
        self.update(now)
        is_turn = self.consecutive >= MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE
        if self.past and (not self.within or is_turn):
            return self.past[0][-1]
        return self.within[0][-1] if self.within else None

    def release(self, request: FlowRequest, now: float) -> None:
        is_past = bool(self.past) and self.past[0][-1] is request
        self.consecutive = 0 if is_past else self.consecutive + 1
        self.interval += 0.2 * (now - self.released_at - self.interval)
        self.released_at = now
        del self.by_flow[request.flow]

    def requests_to_drop(self, now: float) -> list[FlowRequest]:
        self.update(now)
        return [
            r
            for r in self.by_flow.values()
            if r.is_abandoned(now)
            or (
                0.0 < r.refusal_deadline - now <= REFUSAL_DECISION_SECONDS
                and not self.is_met(r, now)
            )
        ]

    def is_met(self, request: FlowRequest, now: float) -> bool:
        gap = now - self.released_at
        if gap > RELEASE_STALL_TIMEOUT_SECONDS:
            return False
        interval = max(self.interval, gap) * (1 + MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE)
        return now + interval * (len(self.past) + 1) < request.answer_deadline

    def push_past(self, request: FlowRequest) -> None:
        entry = (
            request.priority,
            request.answer_deadline,
            next(self.sequence),
            request,
        )
        heapq.heappush(self.past, entry)

    def is_sendable(self, request: FlowRequest, now: float) -> bool:
        return self.by_flow.get(request.flow) is request and request.may_be_sent(now)

    def update(self, now: float) -> None:
        while self.within:
            request = self.within[0][-1]
            is_sendable = self.is_sendable(request, now)
            if is_sendable and now + self.average_seconds <= request.objective_deadline:
                break
            heapq.heappop(self.within)
            if is_sendable:
                self.push_past(request)
        while self.past and not self.is_sendable(self.past[0][-1], now):
            heapq.heappop(self.past)


def request_of(
    flow: bytes,
    now: float = 0.0,
    route: bytes = b"",
    priority: int = 1,
    objective: float = 0.15,
    number: int = 0,
) -> FlowRequest:
    began_at = now - PACKET_TIMES_SECONDS[number]
    request = FlowRequest(
        *(flow, "service", number, b"", priority, "", began_at + objective),
        *(began_at + 1.4, began_at + PACKET_TIMES_SECONDS[number + 1], route),
    )
    request.refusal_deadline = now + REFUSAL_WINDOW_SECONDS
    return request


def check_order(events, objectives: list[float], limit: int) -> None:
    queue, reference = FlowQueue(), SingleOrderQueue()
    now = 0.0
    for position, (kind, seconds, number, flow) in enumerate(events):
        now += seconds
        route = b"%d" % (flow % len(objectives))
        if kind == "answer":
            # Averages of equal works differ by chance.
            seconds = 0.02 + 0.003 * number
            queue.record_duration(seconds, route, seconds)
            reference.record_duration(0.02 + 0.003 * number)
        elif kind in ("open", "retransmit"):
            name = b"%d" % (flow if kind == "retransmit" else 100 + position)
            objective = objectives[flow % len(objectives)]
            ours, theirs = (
                request_of(name, now, route, 1, objective, number) for _ in range(2)
            )
            assert queue.add(ours, now, limit) == reference.add(theirs, now, limit)
            assert queue.take_displaced() == []
        elif kind == "release":
            first, expected = queue.first(now), reference.first(now)
            assert (first and first.flow) == (expected and expected.flow)
            if first is not None:
                queue.release(first, now)
                reference.release(expected, now)
        else:
            dropped = queue.requests_to_drop(now)
            expected = [r.flow for r in reference.requests_to_drop(now)]
            assert [r.flow for r in dropped] == expected
            for request in dropped:
                queue.remove(request)
                del reference.by_flow[request.flow]


KINDS = ["open", "open", "retransmit", "release", "tick", "answer"]
EVENT = st.tuples(
    st.sampled_from(KINDS),
    st.sampled_from([0.0, 0.001, 0.02, 0.1, 0.2]),
    st.integers(0, 2),
    st.integers(0, 30),
)


@settings(deadline=None)
@given(
    events=st.lists(EVENT, max_size=120),
    objectives=st.lists(st.sampled_from([0.15, 0.5, 2.0]), min_size=1, max_size=3),
    limit=st.integers(0, 6),
)
def test_routes_of_equal_priority_and_work_are_ordered_as_a_single_route(
    events, objectives, limit
):
    """Deployments without uneven routes must keep their releases and refusals."""
    check_order(events, objectives, limit)


def test_pattern_a_long_overload_of_equal_routes_is_ordered_as_a_single_route():
    """Long queues with refusals, which short generated sequences rarely reach."""
    random = Random(5)
    events = [
        (random.choice(KINDS), 0.004, random.choice([0, 0, 1, 2]), random.randrange(90))
        for _ in range(20_000)
    ]
    check_order(events, [0.15, 0.8], 60)


def full_queue(works: dict[bytes, float], priorities: dict[bytes, int]) -> FlowQueue:
    """Return a queue with 40 flows of each route."""
    queue = FlowQueue()
    for _ in range(100):
        for route, seconds in works.items():
            queue.record_duration(seconds, route, seconds)
    for number in range(40):
        for route in works:
            flow = route + b"-%d" % number
            request = request_of(flow, 0.0, route, priorities[route], 9.0)
            assert queue.add(request, 0.0, 1000)
    return queue


def released_routes(queue: FlowQueue, count: int, now: float = 0.0) -> list[bytes]:
    routes = []
    for _ in range(count):
        request = queue.first(now)
        queue.release(request, now)
        routes.append(request.route)
    return routes


def test_a_route_gets_twice_the_work_of_one_of_the_next_lower_priority():
    """Strict priorities would starve the lower one for as long as the other queues."""
    queue = full_queue({b"high": 0.1, b"low": 0.1}, {b"high": 0, b"low": 1})
    assert released_routes(queue, 30).count(b"low") == 10


def test_routes_get_equal_work_instead_of_equally_many_flows():
    """Otherwise a route of slow requests takes nearly all of the server time."""
    queue = full_queue({b"fast": 0.02, b"slow": 0.2}, {b"fast": 1, b"slow": 1})
    assert 2 <= released_routes(queue, 33).count(b"slow") <= 4


def test_a_route_that_was_idle_gets_no_credit_for_it():
    """Otherwise its first flows would hold up all others for as long as it was idle."""
    queue = full_queue({b"busy": 0.1, b"other": 0.3}, {b"busy": 1, b"other": 1})
    released_routes(queue, 40)
    for number in range(20):
        queue.add(request_of(b"%d" % number, 0.0, b"new", 1, 9.0), 0.0, 1000)
    assert released_routes(queue, 12).count(b"new") < 8


def queue_with_burst() -> tuple[FlowQueue, float]:
    """Return a queue that refuses more flows of its only route, and the time."""
    queue = FlowQueue()
    number, now = 0, 0.0
    while queue.add(request_of(b"burst-%d" % number, now, b"burst", 2), now, 0):
        number += 1
        if number % 10 == 0:
            now += 0.1
            queue.release(queue.first(now), now)
    return queue, now


def test_a_flow_of_a_burst_is_refused_for_one_of_a_route_within_its_share():
    queue, now = queue_with_burst()
    assert queue.add(request_of(b"calm", now, b"calm", 1), now, 0)
    (displaced,) = queue.take_displaced()
    assert displaced.route == b"burst"
    assert now < displaced.refusal_deadline
    assert displaced.flow not in queue


def test_a_flow_of_a_burst_stays_queued_after_its_refusal_window():
    """A refusal could reset a flow that another host has placed in the meantime."""
    queue, now = queue_with_burst()
    queue.release(queue.first(now + 0.1), now + 0.1)
    now += REFUSAL_WINDOW_SECONDS
    queued_count = len(queue)
    assert queue.add(request_of(b"calm", now, b"calm", 1), now, 0)
    assert queue.take_displaced() == []
    assert len(queue) == queued_count + 1


def test_a_displaced_flow_is_reported_as_refused_at_once():
    """Left to the next tick, it could be past its refusal window."""
    released = []
    registry = registry_of({"zone-a": 1})
    placement = Placement(
        "zone-a", registry, Random(1), lambda *release: released.append(release)
    )
    for number in range(10):
        placement.open_flow(flow_request(b"%d" % number, priority=2), 0.0)
    now = REFUSAL_WINDOW_SECONDS - 0.02
    decision = placement.open_flow(flow_request(b"calm", now, priority=1), now)
    assert decision.outcome is PlacementOutcome.QUEUED
    ((_, refusal, _),) = released
    assert refusal.outcome is PlacementOutcome.REFUSED
    assert refusal.reason == "route beyond its share"


@pytest.mark.parametrize("seed", range(20))
def test_uneven_routes_are_refused_and_released_only_when_that_is_safe(seed):
    """A later refusal or release could reset a flow that another host has placed."""
    random = Random(seed)
    queue, now = FlowQueue(), 0.0
    limit = random.choice([0, 5, 40])
    for position in range(1500):
        now += random.choice([0.0, 0.001, 0.004])
        number = random.randrange(5)
        route, priority = b"%d" % number, number // 2
        kind = random.choice(KINDS)
        if kind in ("open", "retransmit"):
            flow = b"%d" % (position if kind == "open" else random.randrange(200))
            packet = random.choice([0, 0, 1, 2])
            request = request_of(flow, now, route, priority, 0.8, packet)
            is_queued = queue.add(request, now, limit)
            for displaced in queue.take_displaced():
                assert now < displaced.refusal_deadline
                assert displaced.flow not in queue
            assert (flow in queue) == is_queued
        elif kind == "release" and (first := queue.first(now)) is not None:
            assert first.flow in queue
            assert first.may_be_sent(now)
            queue.release(first, now)
        elif kind == "tick":
            for dropped in queue.requests_to_drop(now):
                queue.remove(dropped)
        elif kind == "answer":
            queue.record_duration(0.005 * 4**number, route, 0.005 * 4**number)


@pytest.mark.parametrize(
    ("load", "routes_within_share"),
    [
        # The lower priority must not delay the higher one, whatever its demand is.
        ("long overload, 1.3 times", ["tickets", "downloads"]),
        # A burst must not take the capacity of other routes.
        ("burst of board, 1.8 times", ["tickets", "downloads"]),
        ("burst of board, 2.5 times", ["tickets", "downloads"]),
        ("burst of tickets, 2.5 times", ["downloads"]),
        # A few slow requests must not take the slots of many fast ones.
        ("slow route among fast ones", ["board", "downloads"]),
    ],
)
def test_pattern_a_route_within_its_fair_share_is_served_in_time(
    load, routes_within_share
):
    results, _ = simulate("weighted fair queueing", load)
    assert all(results[route][0] >= 0.95 for route in routes_within_share)
    # The other routes get their shares, too: none is starved.
    assert all(in_time >= 0.5 for in_time, _, _ in results.values())


def test_pattern_callers_that_return_after_an_outage_are_answered():
    """Returning callers of one route must not get all of the first releases."""
    results, _ = simulate("weighted fair queueing", "callers back after an outage")
    assert all(in_time + late >= 0.9 for in_time, late, _ in results.values())


def test_the_wait_for_a_slot_is_not_counted_as_work(monkeypatch):
    """Otherwise the short requests of a full service would count as long ones."""
    works = {}
    monkeypatch.setattr(
        FlowQueue,
        "record_duration",
        lambda _, seconds, route, work: works.update({seconds: work}),
    )
    placement = Placement("zone-a", registry_of({"zone-a": 1}), Random(1), print)
    for flow in (b"1", b"2", b"3", b"4"):
        placement.open_flow(flow_request(flow), 0.0)
        placement.flow_established(flow, 0.0)
    # The server has two slots, so the third flow starts after the end of the first.
    placement.end_flow(b"1", True, 0.1)
    placement.end_flow(b"3", True, 0.15)
    assert works == {0.1: 0.1, 0.15: pytest.approx(0.05)}


def test_the_table_of_routes_is_bounded():
    """Each packet names a route, so an unbounded table could use up the memory."""
    work = RouteWork()
    for number in range(MAXIMUM_ROUTES + 1):
        work.record(b"%d" % number, 0.1 if number else 9.0)
    assert work.seconds(b"0") < 9.0
    assert work.seconds(b"1") != work.seconds(b"unknown")
