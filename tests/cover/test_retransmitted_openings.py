"""Check where opening packets go that arrive again.

They guard against packets that go back to a server that may not take them any more.
"""

from __future__ import annotations

import pytest

from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.fabric.placement import PlacementOutcome
from kingcuppulley.fabric.server_choice import COLD_SERVER_MINIMUM_INTERVAL_SECONDS
from tests.cover.test_placement import placement_of
from tests.seeded_fakes import flow_request, heartbeat, registry_of

COLD_SECONDS = 2.0


def changed(registry, state=ServingState.READY, now=0.2, **fields):
    """Report a change of the only server."""
    server = heartbeat(sequence=2, host="10.0.0.0", state=state, **fields)
    registry.update("control", "instance-1", 2, [server], now, 1)


@pytest.mark.parametrize(
    "state",
    [ServingState.DRAINING, ServingState.UNRESPONSIVE, ServingState.GONE],
)
def test_a_retransmission_does_not_go_back_to_a_server_out_of_use(state):
    registry = registry_of({"zone-a": 1})
    placement = placement_of(registry)
    placement.open_flow(flow_request(b"1"), 0.0)
    changed(registry, state)
    decision = placement.open_flow(flow_request(b"1", 0.2, 1), 0.2)
    assert decision.outcome is PlacementOutcome.REFUSED
    assert decision.reason == "no server within reach"


def test_a_retransmission_does_not_go_back_to_a_zone_out_of_service():
    placement = placement_of(registry_of({"zone-a": 1}))
    placement.open_flow(flow_request(b"1"), 0.0)
    placement.choice.update_zones(frozenset({"zone-a"}), frozenset())
    decision = placement.open_flow(flow_request(b"1", 0.2, 1), 0.2)
    assert decision.outcome is PlacementOutcome.REFUSED


@pytest.mark.parametrize("incarnation", [1000, 2000])
def test_retransmissions_to_a_cold_server_wait_for_their_turn(incarnation):
    released = []
    registry = registry_of({"zone-a": 1})
    placement = placement_of(registry, released)
    for number in range(2):
        placement.open_flow(flow_request(b"%d" % number), 0.0)
    changed(registry, incarnation=incarnation, cold_remaining_seconds=COLD_SECONDS)
    outcomes = [
        placement.open_flow(flow_request(b"%d" % number, 0.2, 1), 0.2).outcome
        for number in range(2)
    ]
    assert outcomes == [PlacementOutcome.PLACED, PlacementOutcome.QUEUED]
    for number in range(2):
        decision = placement.open_flow(flow_request(b"%d" % number, 0.6, 2), 0.6)
        assert decision.outcome is not PlacementOutcome.PLACED
    turn = 0.2 + COLD_SERVER_MINIMUM_INTERVAL_SECONDS
    assert placement.open_flow(flow_request(b"3", turn), turn).target is not None
    assert not any(d.outcome is PlacementOutcome.PLACED for _, d, _ in released)


def test_a_repeated_packet_of_an_open_flow_goes_to_its_server_again():
    # The server holds the flow; elsewhere the packet would open it a second time.
    registry = registry_of({"zone-a": 1})
    placement = placement_of(registry)
    first = placement.open_flow(flow_request(b"1"), 0.0)
    placement.flow_established(b"1", 0.01)
    changed(registry, ServingState.DRAINING)
    assert placement.open_flow(flow_request(b"1"), 0.05).target is first.target


def test_a_queued_retransmission_is_not_refused_once_a_server_has_answered():
    # The answer of the first server may be late; a refusal would reset an open flow.
    released = []
    registry = registry_of({"zone-a": 1})
    placement = placement_of(registry, released)
    (target,) = registry.targets
    placement.open_flow(flow_request(b"1"), 0.0)
    changed(registry, cold_remaining_seconds=COLD_SECONDS)
    placement.choice.limit_placements(target, 0.2)
    queued = placement.open_flow(flow_request(b"1", 0.2, 1), 0.2)
    assert queued.outcome is PlacementOutcome.QUEUED
    placement.flow_established(b"1", 0.21, target)
    for step in range(1, 80):
        placement.tick(0.21 + 0.02 * step)
    assert released == []
