"""Check how soon entry hosts learn that a server crashed and is back cold.

They guard against full load on cold servers after their first heartbeat.
"""

from __future__ import annotations

from collections import Counter

import pytest

from kingcuppulley.control.update_sender import (
    MAXIMUM_PROMPT_MESSAGES,
    UPDATE_INTERVAL_SECONDS,
)
from kingcuppulley.entry_hosts.seeded_messages import RelayedUpdate
from tests.control_traffic import ControlNetwork
from tests.seeded_fakes import WaitingCaller, heartbeat

COLD_SECONDS = 2.0
# One step to a relay and one to an entry host.
STEPS_TO_ENTRY_HOSTS = 2


def running_network(servers: int) -> ControlNetwork:
    network = ControlNetwork(zones=3, control_hosts=3, entry_hosts=3)
    network.run(1.0)
    network.configure(1)
    network.start_servers(0, servers, 0.5)
    network.run(2.0)
    return network


def restart_server(network: ControlNetwork, number: int, control: int) -> None:
    """Let a server's first heartbeat after a crash arrive at a control host."""
    zones = sorted(set(network.zone_of.values()))
    network.controls[network.control_names[control]].receive_heartbeat(
        heartbeat(
            f"i-{number + 1:x}",
            incarnation=2000,
            zone=zones[number % len(zones)],
            cold_remaining_seconds=COLD_SECONDS,
        ),
        WaitingCaller(network.now),
    )


def cold_servers(network: ControlNetwork, entry: str) -> set[str]:
    return {
        target.name
        for target in network.entries[entry]._registry.targets
        if target.cold_deadline > network.now
    }


@pytest.mark.parametrize("control", [0, 1])
def test_entry_hosts_learn_at_once_that_a_server_in_use_is_cold(control):
    # The server called control host 0 before, and may call another one after its crash.
    network = running_network(3)
    # News that was just sent must not delay it.
    network.drain_server(1)
    network.run(0.04)
    restart_server(network, 0, control)
    network.run(0.02 * STEPS_TO_ENTRY_HOSTS)
    for entry in network.entry_names:
        assert cold_servers(network, entry) == {"i-1"}


def test_a_crash_of_many_servers_costs_few_messages():
    network = running_network(60)
    received: Counter[str] = Counter()
    deliver = network.send

    def count_updates(source: str, destination: str, message: object) -> None:
        if isinstance(message, RelayedUpdate) and destination in network.entries:
            received[destination] += any(update.targets for update in message.updates)
        deliver(source, destination, message)

    network.send = count_updates  # type: ignore[method-assign]
    for number in range(60):
        restart_server(network, number, number % 3)
    network.run(UPDATE_INTERVAL_SECONDS + 0.04)
    for entry in network.entry_names:
        assert len(cold_servers(network, entry)) == 60
        # Some of each control host, and one with the rest.
        assert received[entry] <= 3 * (MAXIMUM_PROMPT_MESSAGES + 1)


def test_a_new_server_is_routine_news():
    # No host uses it yet, so it may wait for others.
    network = running_network(1)
    network.drain_server(0)
    sent: list[object] = []
    transport = network.controls[network.control_names[0]]._transport
    transport.send_to_all = lambda addresses, message: sent.append(message)
    restart_server(network, 7, 0)
    assert sent == []
