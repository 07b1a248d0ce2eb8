"""Check how entry hosts receive updates from control hosts if messages are lost."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Protocol

from kingcuppulley.backend_servers.heartbeats import Heartbeat, ServingState
from kingcuppulley.backend_servers.target_registry import derive_cookie
from kingcuppulley.control.ensemble_host import initial_vote
from kingcuppulley.control.seeded_host import SeededControlHost
from kingcuppulley.entry_hosts.seeded_host import SeededEntryHost
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    FetchHostList,
    FetchHosts,
    HostList,
    RelayedUpdate,
    SubscribeToControl,
    SubscribeToRelay,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators.routing import RoutingConfiguration
from tests.cover.test_cookie_router import Recorder, WordPacketFormat, configuration
from tests.ensemble_cluster import FakeDisk
from tests.seeded_fakes import WaitingCaller, heartbeat

CONTROL_HOST = "control"
ENTRY_HOSTS = ["a1", "a2", "b1"]
STEP_SECONDS = 0.02


class DiscardingLog:
    """Discard every event."""

    def event(self, kind: str, **fields: object) -> None: ...

    def event_unthrottled(self, kind: str, **fields: object) -> None: ...


def decode(document: bytes) -> RoutingConfiguration:
    version, _, services = document.decode().partition(" ")
    return configuration(int(version), *services.split())


class Deployment:
    """Run one control host and some entry hosts on a fake network and clock.

    Messages are lost with the probability `loss`; hosts in `cut_off` exchange none.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now = 100.0
        self.random = Random(seed)
        self.loss = 0.0
        self.cut_off: set[str] = set()
        self.sent: list[tuple[str, str, object]] = []
        self.in_flight: list[tuple[str, str, object]] = []
        self.control_start_count = 0
        self.disk = FakeDisk()
        self.disk.vote = initial_vote(
            CONTROL_HOST, [CONTROL_HOST], "disk", is_first_start=True
        )
        self.control = self.start_control()
        self.recorders = {name: Recorder() for name in ENTRY_HOSTS}
        self.entries = {name: self.start_entry(name) for name in ENTRY_HOSTS}

    def start_control(self) -> SeededControlHost:
        self.control_start_count += 1
        assert self.disk.vote is not None
        return SeededControlHost(
            CONTROL_HOST,
            "zone-a",
            f"instance-{self.control_start_count}",
            self.disk.vote,
            self.disk,
            FakeTransport(self, CONTROL_HOST),
            [CONTROL_HOST],
            1,
            1.0,
            decode,
            DiscardingLog(),
            Metrics(),
            Random(1),
            lambda: self.now,
        )

    def start_entry(self, name: str) -> SeededEntryHost:
        return SeededEntryHost(
            name,
            f"zone-{name[0]}",
            [CONTROL_HOST],
            WordPacketFormat(),
            decode,
            self.recorders[name],
            FakeTransport(self, name).send,
            Metrics(),
            DiscardingLog(),
            Random(2),
        )

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.control.tick(self.now)
            while self.disk.pending_vote is not None:
                self.disk.vote, self.disk.pending_vote = (
                    self.disk.pending_vote,
                    None,
                )
                self.control.ensemble.vote_written(True, self.now)
            for entry in self.entries.values():
                entry.tick(self.now)
            for _ in range(6):
                self._deliver()

    def _deliver(self) -> None:
        in_flight, self.in_flight = self.in_flight, []
        for source, destination, message in in_flight:
            if self.random.random() < self.loss or {source, destination} & self.cut_off:
                continue
            self.sent.append((source, destination, message))
            if destination == CONTROL_HOST:
                self.control.receive(source, message)
            elif destination in self.entries:
                self.entries[destination].receive(source, message, self.now)

    def send_heartbeat(self, server: Heartbeat) -> None:
        """Let the control host receive a heartbeat that was just sent."""
        self.control.receive_heartbeat(server, WaitingCaller(self.now))

    def configure(self, version: int, services: str = "order-desk") -> None:
        results = []
        document = f"{version} {services}".encode()
        self.control.put_configuration(decode(document), document, results.append)
        self.run(0.2)
        assert results and results[0] is not None


class InFlight(Protocol):
    """Hold the messages that are in flight, with their source and destination."""

    in_flight: list[tuple[str, str, object]]


class FakeTransport:
    def __init__(self, deployment: InFlight, name: str) -> None:
        self._deployment = deployment
        self._name = name

    def send(self, address: str, message: object) -> None:
        self._deployment.in_flight.append((self._name, address, message))

    def send_to_all(self, addresses: Iterable[str], message: object) -> None:
        for address in addresses:
            self.send(address, message)


def ready_deployment(seed: int = 1) -> Deployment:
    deployment = Deployment(seed)
    deployment.run(0.5)
    deployment.configure(1)
    deployment.send_heartbeat(heartbeat("i-1"))
    deployment.run(1.0)
    return deployment


def test_a_host_is_ready_once_it_has_a_configuration_and_a_server():
    deployment = Deployment()
    deployment.run(0.5)
    assert not any(entry.is_ready for entry in deployment.entries.values())
    deployment.configure(1)
    assert not any(entry.is_ready for entry in deployment.entries.values())
    deployment.send_heartbeat(heartbeat("i-1"))
    deployment.run(0.1)
    assert all(entry.is_ready for entry in deployment.entries.values())


def test_a_host_that_leaves_is_not_ready():
    deployment = ready_deployment()
    deployment.entries["a1"].notify_leaving()
    assert deployment.entries["a1"].is_ready
    deployment.entries["a1"].leave()
    assert not deployment.entries["a1"].is_ready


def test_an_update_of_a_server_is_sent_before_its_heartbeat_is_acknowledged():
    deployment = ready_deployment()
    deployment.send_heartbeat(heartbeat("i-1", sequence=2, state=ServingState.DRAINING))
    recipients = {
        destination
        for _, destination, message in deployment.in_flight
        if type(message) is RelayedUpdate
    }
    assert recipients == set(ENTRY_HOSTS)


def test_a_lost_update_arrives_with_the_next_subscription():
    deployment = ready_deployment()
    deployment.loss = 1.0
    deployment.send_heartbeat(heartbeat("i-1", sequence=2, state=ServingState.DRAINING))
    deployment.configure(2, "drawing-store")
    deployment.loss = 0.0
    deployment.run(1.0)
    for entry in deployment.entries.values():
        assert entry.version == 2
        entry.router.packet_from_fabric(b"flow open 0", deployment.now)
    assert all(not recorder.to_targets for recorder in deployment.recorders.values())


def test_hosts_receive_changes_over_links_that_lose_half_of_all_messages():
    seconds = sorted(seconds_to_activate_under_loss(seed) for seed in range(20))
    assert seconds[len(seconds) // 2] <= 2.0
    assert seconds[int(0.8 * len(seconds))] <= 3.0
    assert seconds[-1] <= 6.0


def seconds_to_activate_under_loss(seed: int) -> float:
    """Return how long all hosts need for a change if half of the messages are lost."""
    deployment = ready_deployment(seed)
    deployment.loss = 0.5
    started_at = deployment.now
    deployment.configure(2)
    while any(entry.version < 2 for entry in deployment.entries.values()):
        deployment.run(0.1)
        assert deployment.now < started_at + 20.0
    return deployment.now - started_at


def test_a_restarted_host_gets_all_servers_after_an_update_for_its_previous_process():
    deployment = ready_deployment()
    deployment.send_heartbeat(heartbeat("i-2"))
    deployment.run(0.5)
    restarted = deployment.entries[ENTRY_HOSTS[0]] = deployment.start_entry(
        ENTRY_HOSTS[0]
    )
    # The control host does not know yet that the entry host has restarted.
    deployment.send_heartbeat(heartbeat("i-3"))
    deployment._deliver()
    deployment.run(1.0)
    known_names = {target.name for target in restarted._registry.targets}
    assert known_names == {"i-1", "i-2", "i-3"}


def test_entry_hosts_keep_their_servers_when_a_control_host_restarts():
    deployment = ready_deployment()
    deployment.control = deployment.start_control()
    deployment.run(1.0)
    deployment.entries["a1"].router.packet_from_fabric(b"flow open 0", deployment.now)
    deployment.run(0.1)
    sent = [recorder.to_targets for recorder in deployment.recorders.values()]
    assert any(sent)


def test_a_host_that_is_cut_off_continues_to_serve_with_its_known_state():
    deployment = ready_deployment()
    deployment.cut_off = {"a1"}
    deployment.run(20.0)
    assert deployment.entries["a1"].is_ready
    deployment.entries["a1"].router.packet_from_fabric(b"flow open 0", deployment.now)
    deployment.run(0.1)
    assert deployment.recorders["a1"].to_targets


def test_servers_of_a_zone_back_in_service_are_treated_as_cold():
    deployment = ready_deployment()
    deployment.send_heartbeat(heartbeat("i-2", zone="zone-b"))
    results = []
    caller = WaitingCaller(deployment.now)
    deployment.control.set_zone("zone-b", False, results.append, caller)
    deployment.run(0.2)
    deployment.control.set_zone("zone-b", True, results.append, caller)
    deployment.run(0.2)
    assert all(state is not None for state in results)
    for number in range(8):
        flow = b"flow-%d open 0" % number
        deployment.entries["b1"].router.packet_from_fabric(flow, deployment.now)
    datagrams = deployment.recorders["b1"].to_targets
    assert datagrams
    assert sum(datagram[7] == 2 for datagram, _ in datagrams) <= 1


def test_flows_of_an_earlier_service_survive_a_restart_of_every_entry_host():
    """A route is sent to another service, and its open flows stay where they are."""
    deployment = ready_deployment()
    deployment.send_heartbeat(
        heartbeat("i-2", service="drawing-store", host="10.0.0.2")
    )
    deployment.configure(2, "drawing-store")
    deployment.configure(3, "drawing-store")
    for name in ENTRY_HOSTS:
        deployment.entries[name] = deployment.start_entry(name)
    deployment.run(1.0)
    cookie = derive_cookie("i-1", 1000)
    for name in ENTRY_HOSTS:
        deployment.recorders[name].to_targets.clear()
        deployment.entries[name].router.packet_from_fabric(
            b"flow data %d" % cookie, deployment.now
        )
        assert len(deployment.recorders[name].to_targets) == 1


def test_flows_of_a_route_that_was_removed_and_added_again_are_not_forwarded():
    deployment = ready_deployment()
    deployment.configure(2, "")
    deployment.configure(3, "drawing-store")
    deployment.entries["a1"] = deployment.start_entry("a1")
    deployment.run(1.0)
    deployment.recorders["a1"].to_targets.clear()
    cookie = derive_cookie("i-1", 1000)
    deployment.entries["a1"].router.packet_from_fabric(
        b"flow data %d" % cookie, deployment.now
    )
    assert not deployment.recorders["a1"].to_targets


def test_pattern_steady_state_costs_two_small_messages_per_subscription():
    """Without changes the messages of a host and a control host must not grow."""
    deployment = ready_deployment()
    deployment.sent.clear()
    for sequence in range(2, 7):
        deployment.send_heartbeat(heartbeat("i-1", sequence=sequence))
        deployment.run(1.0)
    received = [
        message for _, destination, message in deployment.sent if destination == "a1"
    ]
    assert not any(isinstance(message, HostList) for message in received)
    updates = [
        update
        for message in received
        if isinstance(message, RelayedUpdate)
        for update in message.updates
    ]
    assert updates
    assert not any(update.targets for update in updates)
    assert not any(isinstance(message, ControlUpdate) for message in received)
    requests = [message for source, _, message in deployment.sent if source == "a1"]
    assert not any(
        isinstance(message, FetchHosts | FetchHostList | SubscribeToControl)
        for message in requests
    )
    assert sum(isinstance(message, SubscribeToRelay) for message in requests) <= 21
