"""Count the bytes between control hosts and entry hosts on a fake network."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.control.ensemble_host import initial_vote
from kingcuppulley.control.seeded_host import SeededControlHost
from kingcuppulley.entry_hosts.seeded_host import SeededEntryHost
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.datagram_link import MAXIMUM_DATAGRAM_BYTES
from tests.cover.test_control_subscription import DiscardingLog, decode
from tests.cover.test_cookie_router import Recorder, WordPacketFormat
from tests.ensemble_cluster import FakeDisk
from tests.seeded_fakes import WaitingCaller, heartbeat

STEP_SECONDS = 0.02
HEARTBEAT_SECONDS = 1.0
SERVERS_PER_ENTRY_HOST = 10
IP_AND_UDP_HEADER_BYTES = 28


class CountingTransport:
    """Send one host's messages over the fake network."""

    def __init__(self, network: ControlNetwork, name: str) -> None:
        self._network = network
        self._name = name

    def send(self, address: str, message: object) -> None:
        self._network.send(self._name, address, message)

    def send_to_all(self, addresses: Iterable[str], message: object) -> None:
        for address in addresses:
            self.send(address, message)


class ControlNetwork:
    """Run control hosts and entry hosts, each in one of some zones.

    Messages arrive one step after they are sent, or later at a host whose link has a
    rate in `link_bytes_per_second`.  `is_lost` decides for a pair of hosts whether a
    message between them is lost.  Messages that do not fit a datagram are lost.
    """

    def __init__(self, zones: int, control_hosts: int, entry_hosts: int) -> None:
        self.now = 100.0
        self.is_lost: Callable[[str, str], bool] = lambda source, destination: False
        self.in_flight: list[tuple[float, str, str, object]] = []
        self.link_bytes_per_second: dict[str, float] = {}
        self._link_free_at: dict[str, float] = {}
        self.bytes_received: Counter[str] = Counter()
        self.bytes_between_zones: Counter[str] = Counter()
        self._encoder = msgspec.msgpack.Encoder()
        self._sizes: dict[int, int] = {}
        self.capacities: dict[str, int] = {}
        self.zone_of = {
            f"control-{number}:1": f"zone-{number % zones}"
            for number in range(control_hosts)
        }
        self.control_names = list(self.zone_of)
        self.entry_names = [f"entry-{number}:1" for number in range(entry_hosts)]
        for number, name in enumerate(self.entry_names):
            self.zone_of[name] = f"zone-{number % zones}"
        self.disks = {name: FakeDisk() for name in self.control_names}
        self.controls = {name: self.start_control(name) for name in self.control_names}
        self.entries = {name: self.start_entry(name) for name in self.entry_names}
        self.random = Random(7)
        self._sequences: Counter[str] = Counter()
        self._draining: set[str] = set()
        self.cold_until: dict[str, float] = {}
        self._heartbeat_times: list[tuple[float, str, str, str]] = []

    def start_control(self, name: str) -> SeededControlHost:
        disk = self.disks[name]
        if disk.vote is None:
            disk.vote = initial_vote(
                name, self.control_names[:3], f"disk-{name}", is_first_start=True
            )
        return SeededControlHost(
            name,
            self.zone_of[name],
            f"instance-{self.now}-{name}",
            disk.vote,
            disk,
            CountingTransport(self, name),
            self.control_names[:3],
            3,
            HEARTBEAT_SECONDS,
            decode,
            DiscardingLog(),
            Metrics(),
            Random(name),
            lambda: self.now,
            disk.load_contents(),
        )

    def start_entry(self, name: str) -> SeededEntryHost:
        return SeededEntryHost(
            name,
            self.zone_of[name],
            self.control_names[:3],
            WordPacketFormat(),
            decode,
            Recorder(),
            CountingTransport(self, name).send,
            Metrics(),
            DiscardingLog(),
            Random(name),
            self.capacities.get(name, 0),
        )

    def start_servers(self, first: int, count: int, seconds: float) -> None:
        """Let servers start within some seconds, each at one control host."""
        zones = sorted(set(self.zone_of.values()))
        for number in range(first, first + count):
            self._heartbeat_times.append(
                (
                    self.now + seconds * (number - first) / count,
                    f"i-{number + 1:x}",
                    self.control_names[number % len(self.control_names)],
                    zones[number % len(zones)],
                )
            )
        self._heartbeat_times.sort()

    def drain_server(self, number: int) -> None:
        """Let a server report that it drains, to the control host that it uses."""
        name = f"i-{number + 1:x}"
        self._draining.add(name)
        zones = sorted(set(self.zone_of.values()))
        control = self.control_names[number % len(self.control_names)]
        self._send_heartbeat(name, control, zones[number % len(zones)])

    def stop_server(self, number: int) -> None:
        """Let a server send no more heartbeats."""
        name = f"i-{number + 1:x}"
        self._heartbeat_times = [
            entry for entry in self._heartbeat_times if entry[1] != name
        ]

    def configure(self, version: int) -> None:
        results = self.put(version)
        self.run(0.4)
        assert results and results[0] is not None

    def put(self, version: int, services: str = "order-desk") -> list[object]:
        """Send a configuration to a control host; return the list for its result."""
        results: list[object] = []
        control = self.controls[self.control_names[0]]
        document = f"{version} {services}".encode()
        control.put_configuration(decode(document), document, results.append)
        return results

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - STEP_SECONDS / 2:
            self._step()

    def send(self, source: str, destination: str, message: object) -> None:
        if self.is_lost(source, destination):
            return
        size = len(self._encoder.encode(message))
        if size > MAXIMUM_DATAGRAM_BYTES:
            return
        size += IP_AND_UDP_HEADER_BYTES
        self.bytes_received[destination] += size
        if self.zone_of[source] != self.zone_of[destination]:
            self.bytes_between_zones[type(message).__name__] += size
        arrival = self.now
        rate = self.link_bytes_per_second.get(destination)
        if rate is not None:
            arrival = max(arrival, self._link_free_at.get(destination, 0)) + size / rate
            self._link_free_at[destination] = arrival
        self.in_flight.append((arrival, source, destination, message))

    def reset_counts(self) -> None:
        self.bytes_received.clear()
        self.bytes_between_zones.clear()

    def entry_bytes(self) -> int:
        """Return the largest number of bytes that an entry host received."""
        return max(self.bytes_received[name] for name in self.entry_names)

    def known_servers(self, name: str) -> set[str]:
        """Return the servers that an entry host may use for new flows."""
        return {
            target.name
            for target in self.entries[name]._registry.targets
            if target.is_eligible
        }

    def _step(self) -> None:
        self.now += STEP_SECONDS
        while self._heartbeat_times and self._heartbeat_times[0][0] <= self.now:
            at, name, control, zone = self._heartbeat_times.pop(0)
            self._send_heartbeat(name, control, zone)
            self._heartbeat_times.append((at + HEARTBEAT_SECONDS, name, control, zone))
        for name, control in self.controls.items():
            control.tick(self.now)
            disk = self.disks[name]
            while (succeeded := disk.complete_write()) is not None:
                control.ensemble.vote_written(succeeded, self.now)
        for entry in self.entries.values():
            entry.tick(self.now)
        in_flight, self.in_flight = self.in_flight, []
        for arrival, source, destination, message in in_flight:
            if arrival > self.now:
                self.in_flight.append((arrival, source, destination, message))
                continue
            if destination in self.controls:
                self.controls[destination].receive(source, message)
            elif destination in self.entries:
                self.entries[destination].receive(source, message, self.now)

    def _send_heartbeat(self, name: str, control: str, zone: str) -> None:
        if control not in self.controls:
            return
        self._sequences[name] += 1
        state = ServingState.DRAINING if name in self._draining else ServingState.READY
        cold_seconds = max(0.0, self.cold_until.get(name, self.now) - self.now)
        self.controls[control].receive_heartbeat(
            heartbeat(
                name,
                sequence=self._sequences[name],
                zone=zone,
                state=state,
                cold_remaining_seconds=cold_seconds,
            ),
            WaitingCaller(self.now),
        )
