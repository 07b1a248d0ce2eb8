"""Check that every entry host treats the servers of a zone that is back as cold."""

from __future__ import annotations

import pytest

from kingcuppulley.control.state import RoutingState, set_zone
from tests.pausable_deployment import (
    COLD_SECONDS,
    HOST,
    SERVER,
    ZONE,
    PausableDeployment,
)
from tests.seeded_fakes import WaitingCaller, heartbeat


def test_a_running_host_treats_the_servers_as_cold():
    deployment = PausableDeployment()
    assert deployment.flows_to_server() > 1
    deployment.evacuate()
    assert deployment.flows_to_server() <= 1


def test_a_host_that_starts_just_after_the_return_treats_the_servers_as_cold():
    # Guards against full load on cold servers through a restarted host.
    deployment = PausableDeployment()
    deployment.evacuate()
    deployment.entries[HOST] = deployment.start_entry(HOST)
    deployment.run(0.3)
    assert deployment.entries[HOST].is_ready
    assert deployment.flows_to_server() <= 1


def test_a_host_that_was_cut_off_over_the_evacuation_treats_the_servers_as_cold():
    # Guards against a host that sees the zone in service before and after.
    deployment = PausableDeployment()
    deployment.cut_off = {HOST}
    deployment.evacuate()
    deployment.cut_off = set()
    deployment.run(0.3)
    assert deployment.flows_to_server() <= 1


@pytest.mark.parametrize("reads_messages_first", [True, False])
def test_a_host_that_was_paused_over_the_evacuation_treats_the_servers_as_cold(
    reads_messages_first,
):
    # Guards against the packets that a paused host forwards before it knows what
    # happened meanwhile.
    deployment = PausableDeployment()
    deployment.run(0.5)
    deployment.pause(HOST)
    deployment.evacuate()
    deployment.resume(HOST)
    if reads_messages_first:
        deployment.deliver_unread(HOST)
    flows = deployment.flows_to_server()
    if not reads_messages_first:
        deployment.deliver_unread(HOST)
    deployment.run(0.02)
    flows += deployment.flows_to_server()
    deployment.run(0.3)
    assert flows + deployment.flows_to_server() <= 1


def test_a_host_that_was_paused_serves_again_once_its_state_is_confirmed():
    # Guards against a host that serves too little for long after a pause.
    deployment = PausableDeployment()
    deployment.run(0.5)
    deployment.pause(HOST)
    deployment.run_with_heartbeats()
    deployment.resume(HOST)
    deployment.run(0.1)
    assert deployment.flows_to_server() > 1


def test_a_host_that_is_cut_off_after_a_pause_serves_with_its_known_state():
    # Guards against an outage of a zone whose hosts were paused and then cut off.
    deployment = PausableDeployment()
    deployment.run(0.5)
    deployment.pause(HOST)
    deployment.cut_off = {HOST}
    deployment.run_with_heartbeats()
    deployment.resume(HOST)
    deployment.run(1.0)
    assert deployment.flows_to_server() > 1


def test_a_heartbeat_after_the_return_says_whether_a_server_is_cold():
    # Guards against warm servers without flows, and against cold ones with full load.
    for cold_seconds in (0.0, COLD_SECONDS):
        deployment = PausableDeployment()
        deployment.evacuate()
        deployment.run(0.2)
        deployment.send_heartbeats(cold_seconds)
        deployment.run(0.8)
        is_used = deployment.flows_to_server() > 1
        assert is_used is (cold_seconds == 0.0)


def test_servers_without_heartbeats_count_as_warm_after_the_time_of_a_cold_start():
    # Guards against a zone that stays unused while no control host hears its servers.
    deployment = PausableDeployment()
    deployment.evacuate()
    deployment.run(COLD_SECONDS + 0.8)
    assert deployment.flows_to_server() > 1


@pytest.mark.parametrize("restarts_control", [False, True])
def test_a_host_that_starts_long_after_the_return_uses_warm_servers_at_once(
    restarts_control,
):
    # Guards against slow recovery of a zone that was evacuated at any time before.
    deployment = PausableDeployment()
    deployment.evacuate()
    deployment.run(0.5)
    deployment.send_heartbeats()
    deployment.run(2.0)
    if restarts_control:
        deployment.control = deployment.start_control()
        deployment.send_heartbeats()
    deployment.entries[HOST] = deployment.start_entry(HOST)
    deployment.run(0.5)
    assert deployment.flows_to_server() > 1


def test_a_heartbeat_from_before_a_control_hosts_pause_says_nothing_of_the_return():
    # Guards against a control host that reads, after the return, a heartbeat that was
    # sent before it.
    deployment = PausableDeployment()
    deployment.order(in_service=False)
    deployment.run_with_heartbeats()
    began_at = deployment.now
    deployment.order(in_service=True)
    deployment.sequence += 1
    server = heartbeat(SERVER, sequence=deployment.sequence, zone=ZONE)
    deployment.control.receive_heartbeat(server, WaitingCaller(began_at))
    deployment.run(0.3)
    assert deployment.flows_to_server() <= 1


def test_only_an_order_that_brings_a_zone_back_is_a_return():
    # Guards against servers that count as cold because an order was sent again.
    state = set_zone(ZONE, False)(RoutingState())
    assert state.zone_return_revision(ZONE) == 0
    state = set_zone(ZONE, True)(state)
    returned_at = state.zone_return_revision(ZONE)
    assert returned_at > 0
    for in_service in (True, False):
        state = set_zone(ZONE, in_service)(state)
        assert state.zone_return_revision(ZONE) == returned_at
