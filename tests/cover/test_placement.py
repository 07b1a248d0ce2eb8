"""Check on which servers new flows are placed, in particular under heavy load."""

from __future__ import annotations

from random import Random

import pytest

from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.backend_servers.target_registry import (
    UNUSED_TARGET_RETENTION_SECONDS,
)
from kingcuppulley.fabric.flow_queue import REFUSAL_WINDOW_SECONDS
from kingcuppulley.fabric.flow_request import FlowRequest
from kingcuppulley.fabric.placement import Placement, PlacementOutcome
from kingcuppulley.fabric.server_choice import COLD_SERVER_MINIMUM_INTERVAL_SECONDS
from tests.seeded_fakes import (
    OBJECTIVE_SECONDS,
    LoadRun,
    flow_request,
    heartbeat,
    registry_of,
)

WORK_SECONDS = 0.03
TICK_SECONDS = 0.02


def request(flow: bytes, retransmission: int = 0, priority: int = 1) -> FlowRequest:
    return flow_request(flow, 0.0, retransmission, priority)


def placement_of(registry, released=None) -> Placement:
    releases = released if released is not None else []
    return Placement(
        "zone-a", registry, Random(1), lambda *release: releases.append(release)
    )


def test_pattern_calm_load_is_spread_evenly():
    run = LoadRun(registry_of({"zone-a": 5}))
    run.run_load(flows_per_second=130, seconds=20, work_seconds=WORK_SECONDS)
    mean = sum(run.arrivals.values()) / len(run.arrivals)
    assert max(run.arrivals.values()) / mean < 1.1
    assert run.share_past_objective(OBJECTIVE_SECONDS) < 0.001


def test_pattern_burst_of_twice_the_load_is_served_in_time():
    run = LoadRun(registry_of({"zone-a": 5}))
    run.run_load(flows_per_second=120, seconds=5, work_seconds=WORK_SECONDS)
    run.run_load(flows_per_second=240, seconds=5, work_seconds=WORK_SECONDS)
    assert run.share_past_objective(OBJECTIVE_SECONDS) < 0.01


def test_pattern_a_slow_server_gets_less():
    run = LoadRun(registry_of({"zone-a": 6}))
    run.run_load(flows_per_second=100, seconds=2, work_seconds=WORK_SECONDS)
    slow = run.servers["i-1"]
    slow.work_factor = 5.0
    before = run.arrivals["i-1"]
    run.run_load(flows_per_second=100, seconds=10, work_seconds=WORK_SECONDS)
    assert run.arrivals["i-1"] - before < 1000 / 6 / 1.5


def test_pattern_a_server_becomes_unresponsive_while_flows_open():
    run = LoadRun(registry_of({"zone-a": 5}))
    run.servers["i-1"].is_unresponsive = True
    run.run_load(flows_per_second=100, seconds=10, work_seconds=WORK_SECONDS)
    assert run.unanswered == 0
    # Each suspicion lasts 1 s or longer and ends with a new attempt, which delays one
    # caller by 200 ms.
    assert run.share_past_objective(OBJECTIVE_SECONDS) < 0.05


def test_pattern_overload_is_refused_at_once_and_ends_by_itself():
    run = LoadRun(registry_of({"zone-a": 4}))
    run.run_load(flows_per_second=800, seconds=5, work_seconds=WORK_SECONDS)
    assert run.refused > 0
    assert max(run.durations) < REFUSAL_WINDOW_SECONDS + 0.3
    run.restart_counts()
    run.run_load(flows_per_second=100, seconds=5, work_seconds=WORK_SECONDS)
    assert run.share_past_objective(OBJECTIVE_SECONDS) < 0.1


def test_pattern_callers_abandon_their_flows_without_notice():
    """Flows whose end is not reported must not use up their servers' capacity."""
    registry = registry_of({"zone-a": 2})
    released = []
    placement = placement_of(registry, released)
    now = 0.0
    placed = 0
    for number in range(400):
        now += 0.02
        placement.tick(now)
        decision = placement.open_flow(request(b"%d" % number), now)
        placed += decision.outcome is PlacementOutcome.PLACED
    placed += sum(
        decision.outcome is PlacementOutcome.PLACED for _, decision, _ in released
    )
    assert placed > 200


def test_pattern_callers_have_disconnected_when_their_flows_are_placed():
    """A flow whose caller never answers its server must not keep others queued."""
    placement = placement_of(registry_of({"zone-a": 2}))
    placed = 0
    now = 0.0
    for number in range(200):
        now += 0.02
        placement.tick(now)
        flow = b"%d" % number
        outcome = placement.open_flow(flow_request(flow, now), now).outcome
        placed += outcome is PlacementOutcome.PLACED
    assert placed > 190


def test_a_flow_that_is_established_late_counts_again():
    placement = placement_of(registry_of({"zone-a": 1}))
    placement.open_flow(request(b"1"), 0.0)
    placement.tick(0.1)
    assert placement.open_count == 0
    placement.flow_established(b"1", 0.11)
    assert placement.open_count == 1
    placement.end_flow(b"1", True, 0.12)
    assert placement.open_count == 0


def test_the_loads_of_evicted_servers_are_evicted():
    registry = registry_of({"zone-a": 1})
    placement = placement_of(registry)
    placement.open_flow(request(b"1"), 0.0)
    placement.end_flow(b"1", True, 0.1)
    (target,) = registry.targets
    registry.update(
        "control", "instance-1", 2, [heartbeat(state=ServingState.GONE)], 1.0
    )
    registry.tick(2 * UNUSED_TARGET_RETENTION_SECONDS)
    placement.tick(2 * UNUSED_TARGET_RETENTION_SECONDS)
    assert target.cookie not in placement.choice._loads


def test_servers_of_the_own_zone_are_preferred():
    placement = placement_of(registry_of({"zone-a": 2, "zone-b": 2}))
    zones = set()
    for number in range(4):
        target = placement.open_flow(request(b"%d" % number), 0.0).target
        assert target is not None
        zones.add(target.zone)
    assert zones == {"zone-a"}


def test_flows_of_a_full_zone_go_to_other_zones():
    placement = placement_of(registry_of({"zone-a": 1, "zone-b": 2}))
    zones = [
        placement.open_flow(request(b"%d" % number), 0.0).target.zone
        for number in range(6)
    ]
    assert "zone-b" in zones


def test_a_zone_that_is_out_of_service_gets_no_flows():
    placement = placement_of(registry_of({"zone-a": 2, "zone-b": 1}))
    placement.choice.update_zones(frozenset({"zone-a"}), frozenset())
    for number in range(3):
        target = placement.open_flow(request(b"%d" % number), 0.0).target
        assert target is None or target.zone == "zone-b"


def test_an_unreachable_zone_is_used_only_if_there_is_no_other():
    registry = registry_of({"zone-a": 1, "zone-b": 4})
    placement = placement_of(registry)
    placement.choice.update_zones(frozenset(), frozenset({"zone-b"}))
    target = placement.open_flow(request(b"1"), 0.0).target
    assert target is not None
    assert target.zone == "zone-a"


def test_a_retransmission_moves_the_flow_once_and_its_duplicate_does_not():
    placement = placement_of(registry_of({"zone-a": 3}))
    first = placement.open_flow(request(b"1"), 0.0).target
    second = placement.open_flow(request(b"1", retransmission=1), 0.2).target
    duplicate = placement.open_flow(request(b"1", retransmission=1), 0.21).target
    assert first is not second
    assert duplicate is second


def test_without_any_server_a_flow_is_refused_at_once():
    placement = placement_of(registry_of({}))
    assert placement.open_flow(request(b"1"), 0.0).outcome is PlacementOutcome.REFUSED


def test_a_queued_flow_is_sent_when_a_server_has_free_capacity():
    released = []
    placement = placement_of(registry_of({"zone-a": 1}), released)
    number = 0
    while (
        placement.open_flow(request(b"%d" % number), 0.0).outcome
        is PlacementOutcome.PLACED
    ):
        number += 1
    placement.end_flow(b"0", True, 0.05)
    assert released[0][0].flow == b"%d" % number
    assert released[0][1].outcome is PlacementOutcome.PLACED


def test_the_more_urgent_of_two_queued_flows_goes_first():
    released = []
    placement = placement_of(registry_of({"zone-a": 1}), released)
    number = 0
    while (
        placement.open_flow(request(b"%d" % number), 0.0).outcome
        is PlacementOutcome.PLACED
    ):
        number += 1
    placement.open_flow(request(b"urgent", priority=0), 0.01)
    placement.end_flow(b"0", True, 0.05)
    assert released[0][0].flow == b"urgent"


def test_a_queued_flow_is_refused_when_it_has_waited_too_long():
    released = []
    placement = placement_of(registry_of({"zone-a": 1}), released)
    while placement.queued_count == 0:
        placement.open_flow(request(b"%d" % placement.open_count), 0.0)
    now = 0.0
    while now + TICK_SECONDS < REFUSAL_WINDOW_SECONDS:
        now += TICK_SECONDS
        for target in placement.choice._registry.targets:
            placement.choice.update_reported_loads("other", [(target.cookie, 50)], now)
        placement.tick(now)
    assert [decision.outcome for _, decision, _ in released] == [
        PlacementOutcome.REFUSED
    ]


def test_cold_servers_get_no_flows_while_warm_ones_have_capacity():
    registry = registry_of({"zone-a": 2})
    cold, warm = registry.targets
    cold.cold_deadline = 10.0
    placement = placement_of(registry)
    for number in range(2):
        decision = placement.open_flow(request(b"%d" % number), 1.0)
        assert decision.target is warm


@pytest.mark.parametrize("servers", [1, 3])
def test_cold_servers_alone_get_no_more_than_they_can_serve(servers):
    registry = registry_of({"zone-a": servers})
    for target in registry.targets:
        target.cold_deadline = 100.0
    arrivals: dict[str, list[float]] = {}

    def record_arrival(_, decision, queued_seconds=0.0):
        if decision.target is not None:
            arrivals.setdefault(decision.target.name, []).append(now)

    placement = Placement("zone-a", registry, Random(1), record_arrival)
    now = 0.0
    for number in range(500):
        now += 0.01
        placement.tick(now)
        new_request = request(b"%d" % number)
        record_arrival(new_request, placement.open_flow(new_request, now))
    for times in arrivals.values():
        pairs = zip(times, times[1:], strict=False)
        assert (
            min(later - earlier for earlier, later in pairs)
            >= COLD_SERVER_MINIMUM_INTERVAL_SECONDS
        )


def test_a_host_places_no_flows_on_cold_servers_that_it_does_not_coordinate():
    registry = registry_of({"zone-a": 1})
    for target in registry.targets:
        target.cold_deadline = 100.0
    placement = placement_of(registry)
    placement.choice.set_cold_start_filter(lambda _: False)
    assert (
        placement.open_flow(request(b"1"), 0.0).outcome is not PlacementOutcome.PLACED
    )


def test_the_reported_flows_of_other_hosts_count():
    registry = registry_of({"zone-a": 2})
    busy, idle = registry.targets
    placement = placement_of(registry)
    placement.choice.update_reported_loads("other", [(busy.cookie, 3)], 0.0)
    assert placement.open_flow(request(b"1"), 0.1).target is idle


def test_pattern_an_isolated_zone_without_own_servers_refuses_at_once():
    """Flows are refused immediately, except for occasional probes of other zones."""
    placement = placement_of(registry_of({"zone-a": 2, "zone-b": 2}))
    placement.choice.update_zones(frozenset({"zone-a"}), frozenset({"zone-b"}))
    outcomes = []
    for number in range(100):
        decision = placement.open_flow(request(b"%d" % number), number * 0.01)
        outcomes.append(decision.outcome)
    assert outcomes.count(PlacementOutcome.QUEUED) == 0
    assert 4 <= outcomes.count(PlacementOutcome.PLACED) <= 10


def test_an_unreachable_zone_whose_servers_answer_is_used():
    """Only the zone's entry hosts have failed; its servers answer other zones."""
    placement = placement_of(registry_of({"zone-a": 2, "zone-b": 2}))
    placement.choice.update_zones(frozenset({"zone-a"}), frozenset({"zone-b"}))
    placed = 0
    for number in range(100):
        flow = b"%d" % number
        outcome = placement.open_flow(request(flow), number * 0.01).outcome
        placed += outcome is PlacementOutcome.PLACED
        placement.end_flow(flow, True, number * 0.01 + 0.005)
    assert placed > 90


def test_pattern_a_server_fails_while_the_host_is_cut_off_from_control():
    """The host detects the failure by its own flows; each suspicion lasts longer."""
    run = LoadRun(registry_of({"zone-a": 5}))
    run.servers["i-1"].is_unresponsive = True
    run.run_load(flows_per_second=100, seconds=5, work_seconds=WORK_SECONDS)
    early = run.arrivals["i-1"]
    run.run_load(flows_per_second=100, seconds=10, work_seconds=WORK_SECONDS)
    assert run.arrivals["i-1"] - early <= 4


def test_a_server_that_answers_again_gets_flows_again():
    run = LoadRun(registry_of({"zone-a": 3}))
    run.servers["i-1"].is_unresponsive = True
    run.run_load(flows_per_second=100, seconds=5, work_seconds=WORK_SECONDS)
    run.servers["i-1"].is_unresponsive = False
    run.run_load(flows_per_second=100, seconds=9, work_seconds=WORK_SECONDS)
    before = run.arrivals["i-1"]
    run.run_load(flows_per_second=100, seconds=5, work_seconds=WORK_SECONDS)
    assert run.arrivals["i-1"] - before > 100


def test_of_two_servers_with_one_cookie_only_the_first_gets_flows(monkeypatch):
    """Packets of the second one's flows would reach the first."""
    monkeypatch.setattr(
        "kingcuppulley.backend_servers.target_registry.derive_cookie", lambda *_: 7
    )
    registry = registry_of({"zone-a": 2})
    placement = Placement("zone-a", registry, Random(1), lambda *_: None)
    assert registry.cookie_collisions == 1
    for number in range(4):
        request = flow_request(b"flow-%d" % number)
        decision = placement.open_flow(request, 0.0)
        assert decision.target is not None and decision.target.name == "i-1"
    left = heartbeat("i-1", state=ServingState.GONE, sequence=2)
    registry.update("control", "instance-1", 2, [left], 1.0, 1)
    registry.tick(1.0 + UNUSED_TARGET_RETENTION_SECONDS + 1.0)
    assert registry.cookie_collisions == 0
    placement.tick(200.0)
    decision = placement.open_flow(flow_request(b"later", 200.0), 200.0)
    assert decision.target is not None and decision.target.name == "i-2"
