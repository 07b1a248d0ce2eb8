"""Check which servers count as slow, and what the choice makes of it."""

from __future__ import annotations

from collections import Counter
from random import Random
from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppulley.backend_servers.target_registry import RegisteredTarget
from kingcuppulley.entry_hosts.seeded_host import SeededEntryHost
from kingcuppulley.experiments.uneven_servers import (
    EQUAL,
    LOADS,
    SLOWED_FROM_SECONDS,
    SLOWED_UNTIL_SECONDS,
    Simulation,
)
from kingcuppulley.fabric.placement import (
    PLACEMENT_RETENTION_SECONDS,
    Placement,
    PlacementOutcome,
)
from kingcuppulley.fabric.server_choice import ServerChoice
from kingcuppulley.fabric.server_index import (
    OTHER_SHARE_COST,
    ServerIndex,
    has_capacity,
)
from kingcuppulley.fabric.server_speed import BACK_TO_NORMAL, SLOW, ServerSpeed
from kingcuppulley.fabric.server_timing import ServerSpeeds, ServerTiming
from kingcuppulley.internal.counters import Metrics
from tests.cover.test_control_subscription import DiscardingLog, decode
from tests.cover.test_cookie_router import Recorder, WordPacketFormat
from tests.seeded_fakes import (
    SERVICE,
    LoadRun,
    flow_request,
    heartbeat,
    registry_of,
)

WORK_SECONDS = 0.05


def cost_by_flows_alone(slots, flows, slowness, *, is_own):
    """The cost of servers before their speed was estimated."""
    cost = flows / slots
    return cost if is_own else cost + OTHER_SHARE_COST


def choices_of(targets, steps) -> list[str]:
    index = ServerIndex(0, 0.0)
    generator = Random(3)
    flows = Counter()
    for number, target in enumerate(targets):
        index.add(target, 0, ServerSpeed(), is_own=number % 3 != 0)
    names = []
    for number, difference in steps:
        cookie = targets[number % len(targets)].cookie
        flows[cookie] = max(0, flows[cookie] + difference)
        index.move(cookie, flows[cookie])
        target = index.choose(generator)
        names.append(target.name)
        flows[target.cookie] += 1
        index.move(target.cookie, flows[target.cookie])
    return names


@settings(max_examples=60, deadline=None)
@given(
    slots=st.integers(1, 7),
    steps=st.lists(st.tuples(st.integers(0, 11), st.integers(-9, 9)), max_size=60),
)
def test_equal_servers_are_chosen_as_by_their_flows_alone(slots, steps):
    """Rounding must not separate servers of equal cost, as those with 3 or 5 slots."""
    targets = registry_of({"zone-a": 12}, slots=slots).of_service(SERVICE)
    with patch("kingcuppulley.fabric.server_index.load_cost", cost_by_flows_alone):
        expected = choices_of(targets, steps)
    assert choices_of(targets, steps) == expected


def test_an_idle_slow_server_is_compared_with_a_fast_busy_one():
    fast, slow = registry_of({"zone-a": 2}).of_service(SERVICE)
    index = ServerIndex(0, 0.0)
    index.add(fast, 1, speed_of(0.64), is_own=True)
    index.add(slow, 0, speed_of(1.953125), is_own=True)
    assert all(index.choose(Random(seed)) is fast for seed in range(20))


@pytest.mark.parametrize("load", LOADS)
def test_neither_load_nor_single_long_requests_mark_servers_as_slow(load):
    """Of 10 equal servers, one in 50 s may be marked: 3 of 100 requests take 7 times.

    Requests that queue at a loaded server take several times the average, too.
    """
    assert len(slow_marks(Simulation(ServerChoice, EQUAL, 0), load)) <= 3


@pytest.mark.parametrize("load", LOADS[1:])
def test_a_server_slowed_5_times_is_left_within_a_second_and_comes_back(load):
    simulation = Simulation(ServerChoice, EQUAL, 1)
    marks = [
        (at, is_slow)
        for at, name, is_slow in slow_marks(simulation, load, both=True)
        if name == "board-0" and at >= SLOWED_FROM_SECONDS
    ]
    became_slow_at = next(at for at, is_slow in marks if is_slow)
    assert became_slow_at - SLOWED_FROM_SECONDS < 1.0
    back_at = next(
        at for at, is_slow in marks if not is_slow and at > SLOWED_UNTIL_SECONDS
    )
    assert back_at - SLOWED_UNTIL_SECONDS < 4.0


def test_a_slowed_server_gets_few_flows():
    run = LoadRun(registry_of({"zone-a": 6}))
    run.run_load(flows_per_second=60, seconds=3, work_seconds=WORK_SECONDS)
    run.servers["i-1"].work_factor = 5.0
    run.run_load(flows_per_second=60, seconds=1.5, work_seconds=WORK_SECONDS)
    before = run.arrivals["i-1"]
    run.run_load(flows_per_second=60, seconds=5, work_seconds=WORK_SECONDS)
    # Its share by speed would be 12 flows, that of an equal server 50.
    assert 3 <= run.arrivals["i-1"] - before <= 20


def test_a_new_coordinator_learns_which_server_is_slow():
    run = LoadRun(registry_of({"zone-a": 6}))
    run.servers["i-1"].work_factor = 5.0
    run.run_load(flows_per_second=60, seconds=3, work_seconds=WORK_SECONDS)
    run.placement = Placement("zone-a", run.registry, Random(2), run._flow_released)
    run.run_load(flows_per_second=60, seconds=1, work_seconds=WORK_SECONDS)
    # From here on the server gets few flows, so the rest takes longer.
    assert speed_in(run.placement).slowness > BACK_TO_NORMAL
    run.run_load(flows_per_second=60, seconds=1.5, work_seconds=WORK_SECONDS)
    assert run.placement.choice.speeds.slow_count == 1
    assert speed_in(run.placement).slowness > SLOW


def test_without_samples_a_slow_server_counts_as_average_after_about_10_s():
    placement = placement_with_slow_server()
    assert speed_in(placement).slowness > SLOW
    for step in range(1, 61):
        placement.tick(step * 0.2)
    assert speed_in(placement).slowness == 1.0
    assert placement.choice.speeds.slow_count == 0
    placement.tick(18.0)
    assert not placement.choice.speeds._estimated
    placement.tick(30.0)
    assert not placement.choice._probes._cookies


def test_a_slow_server_has_no_queue_beyond_its_slots():
    assert has_capacity(2, 3, 1.0)
    assert has_capacity(2, 1, 2.44)
    assert not has_capacity(2, 2, 2.44)


def test_an_idle_slow_server_is_probed_each_second_by_one_flow():
    """Else its recovery would show only when the estimate has decayed."""
    placement = placement_with_slow_server()
    target = target_in(placement)
    probes = []
    for step in range(1, 300):
        now = 0.5 + step * 0.01
        flow = b"flow-%d" % step
        decision = placement.open_flow(flow_request(flow, now), now)
        if decision.target is target:
            probes.append(now)
            assert placement.choice.load(target.cookie).own_flows == 1
            placement.flow_established(flow, now)
        else:
            placement.end_flow(flow, False, now)
        if probes and now > probes[-1] + 0.2:
            placement.end_flow(b"flow-%d" % round((probes[-1] - 0.5) * 100), True, now)
    assert 2 <= len(probes) <= 4
    assert all(
        later - earlier >= 0.99
        for earlier, later in zip(probes, probes[1:], strict=False)
    )


@pytest.mark.parametrize("retransmission, cold_deadline", [(1, 0.0), (0, 100.0)])
def test_retransmitted_flows_and_cold_servers_give_no_samples(
    retransmission, cold_deadline
):
    placement = placement_on(1)
    target_in(placement).cold_deadline = cold_deadline
    now = 0.0
    for number in range(20):
        now += 1.0
        flow = b"%d" % number
        request = flow_request(flow, now, retransmission)
        decision = placement.open_flow(request, now)
        assert decision.outcome is PlacementOutcome.PLACED
        placement.flow_established(flow, now)
        placement.end_flow(flow, True, now + 0.05)
    assert not placement.choice.speeds._estimated


def test_the_answers_on_long_lived_flows_show_a_slow_server():
    placement = placement_on(6)
    placed = {}
    for number in range(6):
        flow = b"flow-%d" % number
        placed[flow] = placement.open_flow(flow_request(flow, 0.0), 0.0).target
    assert len(set(placed.values())) == 6
    for request in range(8):
        for flow, target in placed.items():
            sent_at = 0.1 + 0.3 * request
            placement.flow_established(flow, sent_at)
            seconds = 0.15 if target is target_in(placement) else 0.03
            placement.flow_answered(flow, seconds, sent_at + seconds + 0.03)
    assert placement.choice.speeds.slow_count == 1
    assert speed_in(placement).slowness > SLOW


def test_a_request_of_a_flow_that_is_no_longer_known_does_not_become_overdue():
    """Its answer is not reported, so an average server would count as slow."""
    placement = placement_on(1, slots=8)
    flows = [b"%d" % number for number in range(8)]
    for flow in flows:
        placement.open_flow(flow_request(flow), 0.0)
        placement.flow_established(flow, 0.0)
        placement.flow_answered(flow, 0.03, 0.06)
    sent_at = PLACEMENT_RETENTION_SECONDS - 0.01
    for flow in flows:
        placement.flow_established(flow, sent_at)
    placement.tick(PLACEMENT_RETENTION_SECONDS)
    for flow in flows:
        placement.flow_answered(flow, 0.03, sent_at + 0.06)
    placement.tick(sent_at + 0.25)
    assert speed_in(placement).slowness == 1.0


def test_overdue_requests_show_a_slow_server_before_its_answers_arrive():
    placement = placement_on(3)
    speeds = placement.choice.speeds
    slow, normal, _ = targets_in(placement)
    for number in range(30):
        feed(placement, normal, 0.05, number * 0.1)
    requests = [
        speeds.start(slow, placement.choice.load(slow.cookie).timing, b"", 0, 0, 3.0)
        for _ in range(4)
    ]
    for request in requests:
        speeds.establish(request)
    placement.tick(3.1)
    assert speed_in(placement).slowness == 1.0
    placement.tick(3.4)
    assert speed_in(placement).slowness > SLOW
    for request in requests:
        speeds.finish(request, 0.05, 3.45)
    assert speed_in(placement).slowness < SLOW


def test_operators_see_which_servers_are_slow_and_when_they_are_back():
    log = RecordingLog()
    host = SeededEntryHost(
        "a1",
        "zone-a",
        [],
        WordPacketFormat(),
        decode,
        Recorder(),
        lambda *_: None,
        Metrics(),
        log,
        Random(1),
    )
    servers = [heartbeat(f"i-{number}") for number in range(1, 5)]
    host._registry.update("control", "instance-1", 1, servers, 0.0)
    gauges: dict[str, float] = {}
    feed_with_slow_server(host._placement)
    host.update_gauges(gauges, 0.0)
    assert gauges["backend_servers_slow"] == 1
    assert gauges["backend_server_slowness_max"] > SLOW
    for step in range(60):
        host._placement.tick(step * 0.2)
    host.update_gauges(gauges, 0.0)
    assert gauges["backend_servers_slow"] == 0
    assert gauges["backend_server_slowness_max"] == 1.0
    assert log.lines == [
        ("backend server slow", "i-1"),
        ("backend server not slow", "i-1"),
    ]


class RecordingLog(DiscardingLog):
    """Record the kind and server of each event."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, object]] = []

    def event(self, kind: str, **fields: object) -> None:
        self.lines.append((kind, fields["server"]))


def speed_of(slowness: float) -> ServerSpeed:
    speed = ServerSpeed()
    speed.slowness = slowness
    return speed


def placement_on(servers: int, slots: int = 2) -> Placement:
    registry = registry_of({"zone-a": servers}, slots=slots)
    return Placement("zone-a", registry, Random(1), lambda *_: None)


def targets_in(placement: Placement) -> list[RegisteredTarget]:
    servers = placement.choice.ranked_servers(SERVICE, 0, 0.0)
    return sorted((server.target for server in servers), key=lambda t: t.name)


def target_in(placement: Placement) -> RegisteredTarget:
    return targets_in(placement)[0]


def speed_in(placement: Placement) -> ServerSpeed:
    return placement.choice.load(target_in(placement).cookie).speed


def feed(placement: Placement, target, seconds: float, now: float) -> None:
    timing = placement.choice.load(target.cookie).timing
    request = placement.choice.speeds.start(target, timing, b"", 0, 0, now)
    placement.choice.speeds.finish(request, seconds, now)


def placement_with_slow_server() -> Placement:
    placement = placement_on(4)
    feed_with_slow_server(placement)
    return placement


def feed_with_slow_server(placement: Placement) -> None:
    for _ in range(20):
        for target in targets_in(placement):
            is_slow = target is target_in(placement)
            feed(placement, target, 0.3 if is_slow else 0.05, 0.0)


def slow_marks(simulation: Simulation, load: float, both: bool = False) -> list:
    marks = []
    simulation.placement.choice.set_slow_server_observer(
        lambda target, speed: marks.append((simulation.now, target.name, speed.is_slow))
    )
    simulation.run(load)
    return [mark for mark in marks if both or mark[2]]


def test_the_end_of_a_request_does_not_free_the_slot_of_another_expired_one():
    """The waiting request would be timed before the server has a slot for it."""
    (target,) = registry_of({"zone-a": 1}, slots=1).of_service(SERVICE)
    speeds, timing = ServerSpeeds(lambda _: None, lambda *_: None), ServerTiming()
    first = speeds.start(target, timing, b"", 0, 0, 0.0)
    speeds.expire(timing, first, 0.0)
    # The slot of the first request is free again by now.
    second = speeds.start(target, timing, b"", 0, 0, 0.35)
    speeds.expire(timing, second, 0.4)
    speeds.close(first)
    third = speeds.start(target, timing, b"", 0, 0, 0.45)
    assert third.started_at is None
