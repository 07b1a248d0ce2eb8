"""Check what control traffic costs an entry host as a deployment grows."""

from __future__ import annotations

import msgspec
import pytest

from kingcuppulley.backend_servers.heartbeat_table import HEARTBEAT_RETENTION_SECONDS
from kingcuppulley.control.relayed_sources import EVICTION_INTERVAL_SECONDS
from kingcuppulley.entry_hosts.control_follower import CONTROL_HOST_RETENTION_SECONDS
from kingcuppulley.entry_hosts.seeded_messages import ControlUpdate, SubscribeToRelay
from tests.control_traffic import SERVERS_PER_ENTRY_HOST, ControlNetwork
from tests.seeded_fakes import WaitingCaller

BUDGET_BYTES_PER_SECOND = 11_000
BYTES_PER_SERVER = 110
START_SECONDS = 3.0


def started_network(entry_hosts: int) -> ControlNetwork:
    network = ControlNetwork(5, 5, entry_hosts)
    network.run(1.0)
    network.configure(1)
    return network


@pytest.mark.parametrize("entry_hosts", [15, 30, 60])
def test_pattern_start_of_all_servers_sends_each_change_once(entry_hosts: int):
    """Servers that start at once must not cost each host the square of their number."""
    network = started_network(entry_hosts)
    network.reset_counts()
    servers = SERVERS_PER_ENTRY_HOST * entry_hosts
    network.start_servers(0, servers, 1.0)
    network.run(START_SECONDS)
    for name in network.entry_names:
        assert len(network.known_servers(name)) == servers
    budget = BUDGET_BYTES_PER_SECOND * START_SECONDS + servers * BYTES_PER_SERVER
    assert network.entry_bytes() < budget


def deployment_at_rest(
    zones: int, control_hosts: int, entry_hosts: int
) -> ControlNetwork:
    network = ControlNetwork(zones, control_hosts, entry_hosts)
    network.run(1.0)
    network.configure(1)
    network.start_servers(0, SERVERS_PER_ENTRY_HOST * entry_hosts, 1.0)
    network.run(4.0)
    network.reset_counts()
    return network


def control_bytes_between_zones(network: ControlNetwork) -> int:
    return sum(
        size
        for kind, size in network.bytes_between_zones.items()
        if kind != "LoadReport"
    )


@pytest.mark.parametrize("control_hosts", [3, 7])
def test_pattern_rest_costs_little_and_stays_inside_the_zone(control_hosts: int):
    """Bytes at rest stay in the budget, and entry hosts use their zone's control host.

    Only control hosts send control messages to other zones: hellos, and subscriptions
    to each other.
    """
    network = deployment_at_rest(3, control_hosts, 30)
    network.run(5.0)
    assert network.entry_bytes() / 5 < BUDGET_BYTES_PER_SECOND / 2
    links_between_control_hosts = control_hosts * (control_hosts - 1)
    bytes_per_link = (
        control_bytes_between_zones(network) / 5 / links_between_control_hosts
    )
    assert bytes_per_link < 3000


def test_pattern_rolling_release_sends_each_change_once():
    """A release that replaces ten servers a second must stay in the budget."""
    network = deployment_at_rest(5, 5, 30)
    servers = SERVERS_PER_ENTRY_HOST * 30
    for step in range(20):
        network.start_servers(servers + 5 * step, 5, 0.4)
        for number in range(5 * step, 5 * step + 5):
            network.drain_server(number)
        network.run(0.5)
    network.run(1.0)
    assert network.entry_bytes() / 11 < BUDGET_BYTES_PER_SECOND
    expected = {f"i-{number + 1:x}" for number in range(100, servers + 100)}
    for name in network.entry_names:
        assert network.known_servers(name) == expected


@pytest.mark.parametrize("lost_share", [0.0, 0.3])
def test_a_drain_reaches_every_host_through_relays(lost_share: float):
    network = deployment_at_rest(3, 3, 9)
    network.is_lost = lambda *_: network.random.random() < lost_share
    network.drain_server(0)
    network.run(1.0 if lost_share == 0.0 else 2.5)
    for name in network.entry_names:
        assert "i-1" not in network.known_servers(name)


def test_a_cut_between_a_relay_and_another_control_host_hides_no_change():
    """Hosts that reach both must receive what only the other control host knows."""
    network = deployment_at_rest(3, 3, 9)
    cut = {network.control_names[0], network.control_names[1]}
    network.is_lost = lambda source, destination: {source, destination} == cut
    network.run(1.5)
    network.drain_server(0)
    network.drain_server(1)
    network.run(1.5)
    for name in network.entry_names:
        assert not {"i-1", "i-2"} & network.known_servers(name)


def test_hosts_of_a_lost_relay_follow_another_and_all_hosts_stay_listed():
    network = deployment_at_rest(3, 3, 9)
    lost = network.control_names[0]
    del network.controls[lost]
    listed = set()
    for _ in range(60):
        network.run(0.1)
        for entry in network.entries.values():
            listed.add(len(entry._coordinators._hosts))
    assert listed == {9}
    network.drain_server(1)
    network.run(0.5)
    for name in network.entry_names:
        assert network.entries[name]._control.relay != lost
        assert "i-2" not in network.known_servers(name)


def test_hosts_return_to_the_control_host_of_their_zone():
    network = deployment_at_rest(3, 3, 9)
    lost = network.control_names[0]
    del network.controls[lost]
    network.run(4.0)
    network.controls[lost] = network.start_control(lost)
    network.run(4.0)
    for name, entry in network.entries.items():
        relay = entry._control.relay
        assert relay is not None
        assert network.zone_of[relay] == network.zone_of[name]
    network.drain_server(0)
    network.run(0.5)
    for name in network.entry_names:
        assert "i-1" not in network.known_servers(name)


def test_a_server_that_left_stays_out_when_a_relay_restarts():
    """A copy of a previous process must not bring back what has left since."""
    network = deployment_at_rest(3, 3, 9)
    network.drain_server(0)
    network.run(0.5)
    restarted = network.control_names[2]
    network.controls[restarted] = network.start_control(restarted)
    for _ in range(50):
        network.run(0.1)
        for name in network.entry_names:
            assert "i-1" not in network.known_servers(name)


def test_a_restarted_entry_host_gets_every_server_from_its_relay():
    network = deployment_at_rest(3, 3, 9)
    name = network.entry_names[0]
    network.entries[name] = network.start_entry(name)
    network.run(0.5)
    assert len(network.known_servers(name)) == SERVERS_PER_ENTRY_HOST * 9
    assert network.entries[name].is_ready


@pytest.mark.parametrize("control_hosts", [3, 5])
def test_a_restarted_entry_host_finds_a_relay_while_one_seed_is_down(
    control_hosts: int,
):
    network = deployment_at_rest(3, control_hosts, 9)
    for seed in network.control_names[:3]:
        control = network.controls.pop(seed)
        network.run(1.0)
        for name in network.entry_names:
            network.entries[name] = network.start_entry(name)
        network.run(0.8)
        assert all(entry.is_ready for entry in network.entries.values())
        network.controls[seed] = control
        network.run(2.0)


@pytest.mark.parametrize("restarted_entry_hosts", [False, True])
def test_pattern_restart_of_all_control_hosts_moves_the_state_inside_zones(
    restarted_entry_hosts: bool,
):
    """When all hosts return at once, each entry host gets the state from its zone.

    Between zones go one copy for each pair of control hosts, and a first page or less
    for each entry host.
    """
    network = deployment_at_rest(5, 5, 30)
    servers = SERVERS_PER_ENTRY_HOST * 30
    controls = dict(network.controls)
    network.controls.clear()
    network.run(1.0)
    for name in controls:
        network.controls[name] = network.start_control(name)
    if restarted_entry_hosts:
        for name in network.entry_names:
            network.entries[name] = network.start_entry(name)
    network.run(5.0)
    for name in network.entry_names:
        assert len(network.known_servers(name)) == servers
    copies_of_control_hosts = 4 * servers * BYTES_PER_SERVER
    rest_of_control_hosts = 6.0 * 5 * 4 * 3000
    share_of_entry_hosts = 30 * servers * BYTES_PER_SERVER / 4
    assert control_bytes_between_zones(network) < (
        copies_of_control_hosts + rest_of_control_hosts + share_of_entry_hosts
    )


def test_a_server_that_dies_with_its_control_host_is_taken_out():
    """Nobody reports its silence, so its last report must not count for ever."""
    network = deployment_at_rest(3, 3, 6)
    lost = network.control_names[0]
    del network.controls[lost]
    network.run(CONTROL_HOST_RETENTION_SECONDS + 2.0)
    for name in network.entry_names:
        assert len(network.known_servers(name)) == SERVERS_PER_ENTRY_HOST * 6 * 2 / 3
    network.controls[lost] = network.start_control(lost)
    network.run(3.0)
    for name in network.entry_names:
        assert len(network.known_servers(name)) == SERVERS_PER_ENTRY_HOST * 6


def test_a_host_that_hears_no_control_host_keeps_every_server():
    network = deployment_at_rest(3, 3, 6)
    network.controls.clear()
    network.run(CONTROL_HOST_RETENTION_SECONDS + 5.0)
    for name in network.entry_names:
        assert len(network.known_servers(name)) == SERVERS_PER_ENTRY_HOST * 6


def test_a_relay_forgets_servers_that_left_long_ago():
    network = deployment_at_rest(3, 3, 3)
    network.drain_server(0)
    network.run(0.5)
    owner = network.controls[network.control_names[0]]
    owner.deregister("i-1", lambda: None, WaitingCaller(network.now))
    network.stop_server(0)
    network.run(HEARTBEAT_RETENTION_SECONDS + 2 * EVICTION_INTERVAL_SECONDS)
    for control in network.controls.values():
        for source in control._relayed.sources:
            assert source.log.get("i-1") is None


def test_hosts_leave_a_relay_that_returns_as_an_earlier_build():
    """An earlier build knows no relays: it must not be asked again and again."""
    network = deployment_at_rest(3, 3, 9)
    earlier = network.control_names[0]
    del network.controls[earlier]
    network.run(0.5)
    network.controls[earlier] = network.start_control(earlier)
    requests: list[float] = []
    send = network.send

    def send_as_earlier_build(source: str, destination: str, message: object) -> None:
        if destination == earlier and isinstance(message, SubscribeToRelay):
            requests.append(network.now)
            return
        if source == earlier and isinstance(message, ControlUpdate):
            message = msgspec.structs.replace(message, relay_zone="")
        send(source, destination, message)

    network.send = send_as_earlier_build  # type: ignore[method-assign]
    network.run(2.0)
    requests.clear()
    network.run(5.0)
    assert requests == []
    network.drain_server(0)
    network.run(1.0)
    for name in network.entry_names:
        assert "i-1" not in network.known_servers(name)
