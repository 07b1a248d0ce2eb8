"""Drain a server while a control host is paused and datagrams are lost or delayed."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.pausable_network import PausableNetwork

STEP_SECONDS = 0.1
ENTRY_HOSTS = 3
SERVERS = 4
# The number of the server that starts late, and drains.
ADDED = SERVERS
COLD_SECONDS = 2.0
MAXIMUM_DELAY_SECONDS = 0.6
# Time in which entry hosts learn of a change once nothing is disturbed any more.
LEARNING_SECONDS = 2.0


class DisturbedNetwork(PausableNetwork):
    """Lose some datagrams and let copies of others arrive late."""

    def __init__(self, seed: int) -> None:
        self.disturbances = Random(seed)
        self.loss = 0.0
        self.delays = 0.0
        super().__init__(ENTRY_HOSTS)

    def send(self, source: str, destination: str, message: object) -> None:
        if self.disturbances.random() < self.loss:
            return
        super().send(source, destination, message)
        if self.disturbances.random() < self.delays:
            delay = self.disturbances.uniform(0.0, MAXIMUM_DELAY_SECONDS)
            self.in_flight.append((self.now + delay, source, destination, message))


@settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(
    seed=st.integers(0, 1000),
    paused=st.integers(0, 2),
    pause_step=st.integers(0, 15),
    pause_steps=st.integers(5, 40),
    drain_step=st.integers(5, 40),
    loss=st.sampled_from([0.0, 0.1, 0.3]),
    delays=st.sampled_from([0.0, 0.1, 0.3]),
    has_cold_start=st.booleans(),
)
def test_no_entry_host_uses_a_server_again_once_it_knows_that_it_drains(
    seed, paused, pause_step, pause_steps, drain_step, loss, delays, has_cold_start
):
    # Guards against outdated reports of paused control hosts, and of late datagrams.
    network = DisturbedNetwork(seed)
    network.configure(1)
    network.start_servers(0, SERVERS, 0.5)
    network.run(2.0)
    network.loss, network.delays = loss, delays
    name = f"i-{ADDED + 1:x}"
    if has_cold_start:
        network.cold_until[name] = network.now + COLD_SECONDS
    network.start_servers(ADDED, 1, 0.0)
    control = network.control_names[paused]
    last_step = max(pause_step + pause_steps, drain_step) + 10
    has_learned: set[str] = set()
    for step in range(last_step):
        if step == pause_step:
            network.pause(control)
        if step == pause_step + pause_steps:
            network.resume(control)
            network.deliver_unread(control)
        if step == drain_step:
            network.drain_server(ADDED)
        network.run(STEP_SECONDS)
        check_known(network, name, has_learned, has_begun=step >= drain_step)
    network.loss = network.delays = 0.0
    for _ in range(round(LEARNING_SECONDS / STEP_SECONDS)):
        network.run(STEP_SECONDS)
        check_known(network, name, has_learned, has_begun=True)
    assert has_learned == set(network.entry_names)
    for entry in network.entry_names:
        assert len(network.known_servers(entry)) == SERVERS


def check_known(network, name: str, has_learned: set[str], *, has_begun: bool) -> None:
    """Check that no host that knew of the drain uses the server again."""
    for entry in network.entry_names:
        is_used = name in network.known_servers(entry)
        assert not (is_used and entry in has_learned)
        targets = network.entries[entry]._registry.targets
        if has_begun and not is_used and any(t.name == name for t in targets):
            has_learned.add(entry)
