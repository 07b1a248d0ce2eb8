"""Check how entry hosts learn from control hosts over messages that may be lost."""

from __future__ import annotations

from random import Random

from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.control.ensemble_host import first_vote
from kingcuppulley.control.seeded_host import ControlHost
from kingcuppulley.entry_hosts.seeded_host import SeededEntryHost
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    FetchHosts,
    HostList,
    SubscribeToControl,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators.routing import RoutingConfiguration
from tests.cover.test_cookie_router import Recorder, WordPacketFormat, configuration
from tests.ensemble_cluster import FakeDisk
from tests.seeded_fakes import heartbeat

CONTROL = "control"
ENTRIES = ["a1", "a2", "b1"]
STEP_SECONDS = 0.02


class QuietLog:
    """Drop every line."""

    def event(self, kind: str, **fields: object) -> None: ...

    def always(self, kind: str, **fields: object) -> None: ...


def decode(document: bytes) -> RoutingConfiguration:
    version, _, services = document.decode().partition(" ")
    return configuration(int(version), *services.split())


class Deployment:
    """Run one control host and some entry hosts on a fake network and clock."""

    def __init__(self, seed: int = 1) -> None:
        self.now = 100.0
        self.random = Random(seed)
        self.loss = 0.0
        self.cut: set[str] = set()
        self.bytes_like: dict[str, int] = {}
        self.sent: list[tuple[str, str, object]] = []
        self.waiting: list[tuple[str, str, object]] = []
        self.starts = 0
        self.disk = FakeDisk()
        self.disk.vote = first_vote(CONTROL, [CONTROL], "disk", is_first=True)
        self.control = self.start_control()
        self.recorders = {name: Recorder() for name in ENTRIES}
        self.entries = {name: self.start_entry(name) for name in ENTRIES}

    def start_control(self) -> ControlHost:
        self.starts += 1
        assert self.disk.vote is not None
        return ControlHost(
            CONTROL,
            "zone-a",
            f"life-{self.starts}",
            self.disk.vote,
            self.disk,
            _Port(self, CONTROL),
            [CONTROL],
            1,
            1.0,
            QuietLog(),
            Metrics(),
            Random(1),
            lambda: self.now,
        )

    def start_entry(self, name: str) -> SeededEntryHost:
        return SeededEntryHost(
            name,
            f"zone-{name[0]}",
            [CONTROL],
            WordPacketFormat(),
            decode,
            self.recorders[name],
            _Port(self, name).send,
            Metrics(),
            QuietLog(),
            Random(2),
        )

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.control.tick(self.now)
            while self.disk.under_way is not None:
                self.disk.vote, self.disk.under_way = self.disk.under_way, None
                self.control.ensemble.written(True, self.now)
            for entry in self.entries.values():
                entry.tick(self.now)
            for _ in range(6):
                self._deliver()

    def _deliver(self) -> None:
        waiting, self.waiting = self.waiting, []
        for source, target, message in waiting:
            if self.random.random() < self.loss or {source, target} & self.cut:
                continue
            self.sent.append((source, target, message))
            if target == CONTROL:
                self.control.receive(source, message)
            elif target in self.entries:
                self.entries[target].receive(source, message, self.now)

    def configure(self, version: int, services: str = "order-desk") -> None:
        done = []
        document = f"{version} {services}".encode()
        self.control.put_configuration(version, document, done.append)
        self.run(0.2)
        assert done and done[0] is not None


class _Port:
    def __init__(self, deployment: Deployment, name: str) -> None:
        self._deployment = deployment
        self._name = name

    def send(self, address: str, message: object) -> None:
        self._deployment.waiting.append((self._name, address, message))


def ready_deployment() -> Deployment:
    deployment = Deployment()
    deployment.run(0.5)
    deployment.configure(1)
    deployment.control.hear(heartbeat("i-1"))
    deployment.run(1.0)
    return deployment


def test_a_host_is_ready_once_it_has_a_configuration_and_a_server():
    deployment = Deployment()
    deployment.run(0.5)
    assert not any(entry.is_ready for entry in deployment.entries.values())
    deployment.configure(1)
    assert not any(entry.is_ready for entry in deployment.entries.values())
    deployment.control.hear(heartbeat("i-1"))
    deployment.run(0.1)
    assert all(entry.is_ready for entry in deployment.entries.values())


def test_a_host_that_leaves_is_not_ready():
    deployment = ready_deployment()
    deployment.entries["a1"].announce_leaving()
    assert deployment.entries["a1"].is_ready
    deployment.entries["a1"].leave()
    assert not deployment.entries["a1"].is_ready


def test_news_of_a_server_leave_before_its_heartbeat_is_acknowledged():
    deployment = ready_deployment()
    deployment.control.hear(heartbeat("i-1", sequence=2, state=ServingState.DRAINING))
    targets = {
        target for _, target, m in deployment.waiting if type(m) is ControlUpdate
    }
    assert targets == set(ENTRIES)


def test_news_that_were_lost_arrive_with_the_next_question():
    deployment = ready_deployment()
    deployment.loss = 1.0
    deployment.control.hear(heartbeat("i-1", sequence=2, state=ServingState.DRAINING))
    deployment.configure(2, "drawing-store")
    deployment.loss = 0.0
    deployment.run(1.0)
    for entry in deployment.entries.values():
        assert entry.version == 2
        entry.router.packet_from_fabric(b"flow open 0", deployment.now)
    assert all(not recorder.to_targets for recorder in deployment.recorders.values())


def test_hosts_learn_over_links_that_lose_half_of_all_messages():
    deployment = ready_deployment()
    deployment.loss = 0.5
    deployment.configure(2)
    deployment.run(3.0)
    assert [entry.version for entry in deployment.entries.values()] == [2, 2, 2]


def test_a_host_that_restarts_learns_all_though_news_for_its_former_life_come_first():
    deployment = ready_deployment()
    deployment.control.hear(heartbeat("i-2"))
    deployment.run(0.5)
    restarted = deployment.entries[ENTRIES[0]] = deployment.start_entry(ENTRIES[0])
    # The control host does not know yet that the host has started again.
    deployment.control.hear(heartbeat("i-3"))
    deployment._deliver()
    deployment.run(1.0)
    known = {target.name for target in restarted._registry.targets}
    assert known == {"i-1", "i-2", "i-3"}


def test_a_control_host_that_restarts_does_not_empty_its_followers():
    deployment = ready_deployment()
    deployment.control = deployment.start_control()
    deployment.run(1.0)
    deployment.entries["a1"].router.packet_from_fabric(b"flow open 0", deployment.now)
    deployment.run(0.1)
    sent = [recorder.to_targets for recorder in deployment.recorders.values()]
    assert any(sent)


def test_a_cut_host_keeps_serving_by_what_it_knew():
    deployment = ready_deployment()
    deployment.cut = {"a1"}
    deployment.run(20.0)
    assert deployment.entries["a1"].is_ready
    deployment.entries["a1"].router.packet_from_fabric(b"flow open 0", deployment.now)
    deployment.run(0.1)
    assert deployment.recorders["a1"].to_targets


def test_servers_of_a_zone_that_is_back_are_taken_for_cold():
    deployment = ready_deployment()
    deployment.control.hear(heartbeat("i-2", zone="zone-b"))
    done = []
    deployment.control.set_zone("zone-b", False, done.append)
    deployment.run(0.2)
    deployment.control.set_zone("zone-b", True, done.append)
    deployment.run(0.2)
    assert all(state is not None for state in done)
    for number in range(8):
        flow = b"flow-%d open 0" % number
        deployment.entries["b1"].router.packet_from_fabric(flow, deployment.now)
    datagrams = deployment.recorders["b1"].to_targets
    assert datagrams
    assert sum(datagram[7] == 2 for datagram, _ in datagrams) <= 1


def test_pattern_steady_state_costs_two_small_messages_a_poll():
    """What a host and a control host say when nothing happens must not grow."""
    deployment = ready_deployment()
    deployment.sent.clear()
    for sequence in range(2, 7):
        deployment.control.hear(heartbeat("i-1", sequence=sequence))
        deployment.run(1.0)
    to_one = [m for _, target, m in deployment.sent if target == "a1"]
    assert not any(isinstance(message, HostList) for message in to_one)
    assert all(not m.targets for m in to_one if isinstance(m, ControlUpdate))
    asked = [m for source, _, m in deployment.sent if source == "a1"]
    assert not any(isinstance(message, FetchHosts) for message in asked)
    assert sum(isinstance(message, SubscribeToControl) for message in asked) <= 21
