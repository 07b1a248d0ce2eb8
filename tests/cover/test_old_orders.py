"""Check that a control host applies no order whose caller may have given up on it."""

from __future__ import annotations

import pytest

from kingcuppulley.control.awaited_requests import SETTLING_SECONDS
from tests.pausable_network import PausableNetwork
from tests.seeded_fakes import WaitingCaller, heartbeat

PAUSE_SECONDS = 4.0


def acknowledge(network: PausableNetwork, name: str, action: str) -> None:
    request = network.order(name, action)
    network.run(0.4)
    assert request.status == 200


@pytest.mark.parametrize(("old", "newer"), [("end", "start"), ("start", "end")])
@pytest.mark.parametrize("reads_order_first", [True, False])
def test_an_order_from_before_a_pause_does_not_undo_a_later_one(
    old, newer, reads_order_first
):
    # Guards against an evacuated zone that gets requests again, and against a zone that
    # stays out after it was taken back: a paused host read the order of a caller that
    # had gone on to another host.
    network = PausableNetwork()
    first, second, paused = network.control_names
    acknowledge(network, first, newer)
    network.pause(paused)
    network.run(0.2)
    acknowledge(network, first, old)
    acknowledge(network, second, newer)
    network.run(PAUSE_SECONDS)
    network.resume(paused)
    if not reads_order_first:
        network.deliver_unread(paused)
        network.run(0.1)
    request = network.order(paused, old)
    network.disconnect_later(request)
    assert network.is_out(first) == (newer == "start")
    assert request.status == 0


def test_an_order_that_only_waited_for_a_pause_is_acknowledged():
    # Guards against refusing a caller that still waits when a paused host runs again.
    network = PausableNetwork()
    first, _, paused = network.control_names
    acknowledge(network, first, "start")
    network.run(1.0)
    network.pause(paused)
    network.run(PAUSE_SECONDS)
    network.resume(paused)
    request = network.order(paused, "end")
    network.run(SETTLING_SECONDS + 0.2)
    assert request.status == 200
    assert not network.is_out(first)


def test_an_order_that_waited_for_a_pause_is_acknowledged_after_a_later_one():
    # Guards against refusing a caller that still waits, because another one has ordered
    # something for the zone meanwhile.
    network = PausableNetwork()
    first, _, paused = network.control_names
    network.pause(paused)
    network.run(1.0)
    acknowledge(network, first, "start")
    network.run(PAUSE_SECONDS)
    network.resume(paused)
    request = network.order(paused, "end")
    network.run(SETTLING_SECONDS + 0.2)
    assert request.status == 200
    assert not network.is_out(first)


def test_an_order_that_repeats_the_decided_one_is_acknowledged_after_a_pause():
    # Guards against refusing an accepted order that is sent again.
    network = PausableNetwork()
    first, _, paused = network.control_names
    network.pause(paused)
    acknowledge(network, first, "start")
    network.run(PAUSE_SECONDS)
    network.resume(paused)
    request = network.order(paused, "start")
    network.run(SETTLING_SECONDS + 0.2)
    assert request.status == 200
    assert network.is_out(first)


def test_an_order_is_dropped_if_its_host_pauses_before_it_proposes():
    # Guards against a host that reads the promises it asked for before the pause, and
    # proposes the order before its tick notices that the time is over.
    network = PausableNetwork()
    first, second, paused = network.control_names
    acknowledge(network, first, "start")
    network.order(paused, "end")
    network.pause(paused)
    network.run(0.2)
    acknowledge(network, second, "end")
    acknowledge(network, first, "start")
    network.run(PAUSE_SECONDS)
    network.resume(paused)
    network.deliver_unread(paused)
    network.run(2.0)
    assert network.is_out(first)


def test_an_order_that_was_held_up_by_the_network_does_not_undo_a_later_one():
    # Guards against an order whose bytes arrive long after its connection was opened.
    network = PausableNetwork()
    first, second, third = network.control_names
    acknowledge(network, first, "start")
    connected_at = network.now
    network.run(0.5)
    acknowledge(network, first, "end")
    acknowledge(network, second, "start")
    network.run(3.0)
    request = network.order(third, "end", began_at=connected_at)
    network.disconnect_later(request)
    assert network.is_out(first)
    assert request.status == 0


def test_an_order_that_reached_a_host_that_was_cut_off_does_not_undo_a_later_one():
    # Guards against orders that are read as soon as the links of a host work again.
    network = PausableNetwork()
    first, second, isolated = network.control_names
    acknowledge(network, first, "start")
    network.is_lost = lambda source, destination: isolated in (source, destination)
    network.run(0.5)
    acknowledge(network, first, "end")
    acknowledge(network, second, "start")
    network.run(PAUSE_SECONDS)
    network.is_lost = lambda source, destination: False
    network.run(0.1)
    network.disconnect_later(network.order(isolated, "end"))
    assert network.is_out(first)


def test_orders_at_different_hosts_take_effect_one_after_another():
    # Guards against refusing a fresh order at a host that has not heard of the last
    # one, also on a connection that had earlier orders.
    network = PausableNetwork()
    for round_number in range(12):
        name = network.control_names[round_number % 3]
        action = "end" if round_number % 2 else "start"
        request = network.order(name, action)
        network.run(0.1)
        assert request.status == 200
        assert network.is_out(name) == (action == "start")


def test_an_order_whose_caller_has_disconnected_is_not_proposed():
    # Guards against orders that a caller gave up while no majority answered.
    network = PausableNetwork()
    first, _, third = network.control_names
    acknowledge(network, first, "start")
    request = network.order(third, "end")
    request.is_disconnected = True
    network.run(1.0)
    assert network.is_out(first)


def test_an_old_leave_does_not_end_a_server_that_started_again():
    # Guards against a server without new flows for its whole life, because a paused
    # host read the leave of its previous start after the heartbeat of the present one.
    network = PausableNetwork()
    paused = network.control_names[2]
    network.controls[paused].receive_heartbeat(
        heartbeat("i-1", incarnation=1), WaitingCaller(network.now)
    )
    network.pause(paused)
    network.run(PAUSE_SECONDS)
    network.resume(paused)
    host = network.controls[paused]
    host.receive_heartbeat(heartbeat("i-1", incarnation=2), WaitingCaller(network.now))
    network.disconnect_later(network.leave(paused, "i-1", began_at=network.now))
    assert [server.name for server in host.servers_to_store() or []] == ["i-1"]


def test_a_leave_ends_the_server_that_was_known_before():
    # Guards against a server that left and still gets new flows.
    network = PausableNetwork()
    name = network.control_names[0]
    network.controls[name].receive_heartbeat(
        heartbeat("i-1", incarnation=1), WaitingCaller(network.now)
    )
    network.run(0.5)
    request = network.leave(name, "i-1", began_at=network.now)
    assert request.status == 200
    assert network.controls[name].servers_to_store() in (None, [])


def test_orders_are_accepted_as_soon_as_all_hosts_have_restarted():
    # Guards against refusing fresh orders because no restarted host knows a revision.
    network = PausableNetwork()
    acknowledge(network, network.control_names[0], "start")
    network.is_lost = lambda source, destination: True
    for name in network.control_names:
        network.controls[name] = network.start_control(name)
    network.run(1.0)
    network.is_lost = lambda source, destination: False
    network.run(0.3)
    request = network.order(network.control_names[1], "end")
    network.run(1.0)
    assert request.status == 200
