"""Measure how the cost of control grows with hosts, targets, addresses and changes."""

from __future__ import annotations

import gc
import json
import random
import statistics
import tempfile
import time
import tracemalloc
from array import array
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from kingcuppulley.backend_servers.directory import Directory
from kingcuppulley.backend_servers.records import TargetRecord, TargetState
from kingcuppulley.control.acceptor import Acceptor
from kingcuppulley.control.journal import FileJournal
from kingcuppulley.control.messages import CODEC as CONTROL_CODEC
from kingcuppulley.control.messages import Chosen
from kingcuppulley.control.messages import Envelope as ControlEnvelope
from kingcuppulley.control.registers import Change, ChangeKind, Register
from kingcuppulley.control.replica import Replica
from kingcuppulley.entry_hosts.claims import IssuedKey
from kingcuppulley.entry_hosts.configuration_feed import ConfigurationFeed
from kingcuppulley.entry_hosts.host import EntryHost
from kingcuppulley.entry_hosts.membership import (
    HEARTBEAT_COUNTS_PER_SECOND,
    HostAddress,
    Membership,
)
from kingcuppulley.entry_hosts.messages import (
    CODEC,
    AnnouncementsAlive,
    AttemptOutcome,
    ClaimAnswer,
    ClaimCopied,
    ClaimCopy,
    ClaimRequest,
    ClaimResult,
    ClaimVerdict,
    Envelope,
    MembershipHeartbeat,
    SlotGrant,
    SlotRelease,
    SlotRequest,
    TargetUpdate,
)
from kingcuppulley.experiments.figures import Figure, Point, Slope, fit_line
from kingcuppulley.experiments.relay import NullSender
from kingcuppulley.experiments.throughput import NullPacketTransport
from kingcuppulley.experiments.virtual_network import MemoryJournal, VirtualNetwork
from kingcuppulley.fabric.ownership import OwnerTable
from kingcuppulley.fabric.router import PacketRouter
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.rendezvous import hash_name
from kingcuppulley.operators.configuration import Configuration, render_configuration

HOST_COUNTS = (24, 48, 96, 170)
NODE_COUNTS = (64, 128, 256, 510)
TARGET_COUNTS = (500, 1000, 2000)
ADDRESS_COUNTS = (192, 385, 770)
CONTROL_HOST_COUNT = 7
STEP_SECONDS = 0.05
WARM_UP_SECONDS = 6.0
MEASUREMENT_SECONDS = 5.0
CHANGE_COUNT = 12
VIEW_CHANGE_COUNT = 5
CHANGE_INTERVAL_SECONDS = 3.0
JOURNAL_APPEND_COUNT = 200
MAXIMUM_ACTIVATION_SECONDS = 17.0
TEMPLATE = {
    "name": "desk",
    "parameters": [
        {"name": "address", "kind": "address"},
        {"name": "zones", "kind": "zones"},
    ],
    "services": [
        {
            "name": "desk",
            "address": "${address}",
            "port": 8443,
            "protocol": "tcp",
            "tier": "requests",
            "zones": "${zones}",
        }
    ],
}


def measure_membership() -> list[Slope]:
    """Return the traffic and processor time of membership per host and second."""
    traffic = []
    processor = []
    for count in HOST_COUNTS:
        group = _HeartbeatGroup(count)
        group.run(WARM_UP_SECONDS)
        group.network.reset_counts()
        started_at = time.process_time()
        group.run(MEASUREMENT_SECONDS)
        used_seconds = time.process_time() - started_at
        network = group.network
        total_bytes = network.bytes_sent.total() + network.bytes_received.total()
        traffic.append(Point(count, total_bytes / count / MEASUREMENT_SECONDS))
        processor.append(Point(count, used_seconds / count / MEASUREMENT_SECONDS))
    return [
        fit_line(
            "membership traffic, sent and received", "bytes/s", "entry host", traffic
        ),
        fit_line("membership processor time", "core", "entry host", processor),
    ]


def measure_view_change() -> list[Slope]:
    """Return the processor time that each host spends when another fails or returns."""
    points = []
    for count in HOST_COUNTS:
        names = [f"entry-{n}" for n in range(count)]
        table = OwnerTable({name: f"zone-{n % 3}" for n, name in enumerate(names)})
        table.update(names)
        started_at = time.process_time()
        for n in range(VIEW_CHANGE_COUNT):
            table.update(names[:n] + names[n + 1 :])
            table.update(names)
        used_seconds = (time.process_time() - started_at) / VIEW_CHANGE_COUNT / 2
        points.append(Point(count, used_seconds))
    return [fit_line("processor time of one change of view", "s", "entry host", points)]


def measure_distribution() -> tuple[list[Slope], list[Figure]]:
    """Return the traffic of idle polling, and how long a change takes to be active.

    The time runs on the virtual clock, from the acceptance of the change.
    """
    node_points = []
    control_host_points = []
    activation_seconds: list[float] = []
    for count in NODE_COUNTS:
        cluster = _ControlCluster(count)
        cluster.run(5.0)
        cluster.network.reset_counts()
        cluster.run(10.0)
        traffic = cluster.network.bytes_sent + cluster.network.bytes_received
        node_names = [f"node-{n}" for n in range(count)]
        node_points.append(
            Point(count, sum(traffic[name] for name in node_names) / count / 10.0)
        )
        control_names = [f"control-{n}" for n in range(CONTROL_HOST_COUNT)]
        maximum_bytes = max(traffic[name] for name in control_names)
        control_host_points.append(Point(count, maximum_bytes / 10.0))
        if count == NODE_COUNTS[-1]:
            activation_seconds = cluster.measure_activations()
    slopes = [
        fit_line(
            "idle polling, sent and received", "bytes/s a node", "node", node_points
        ),
        fit_line(
            "idle polling, busiest control host", "bytes/s", "node", control_host_points
        ),
    ]
    p99_seconds = statistics.quantiles(activation_seconds, n=100)[98]
    figure = Figure(
        name=f"acceptance to force at {NODE_COUNTS[-1]} nodes, p99, virtual clock",
        value=p99_seconds,
        unit="s",
        aim=f"under {MAXIMUM_ACTIVATION_SECONDS:g}",
        is_met=p99_seconds < MAXIMUM_ACTIVATION_SECONDS,
    )
    return slopes, [figure]


def measure_entry_host() -> list[Slope]:
    """Return the processor time of an idle entry host that has all target records."""
    points = []
    for count in HOST_COUNTS:
        host = _IdleEntryHost(count)
        host.run(3.0)
        started_at = time.process_time()
        host.run(MEASUREMENT_SECONDS)
        points.append(
            Point(count, (time.process_time() - started_at) / MEASUREMENT_SECONDS)
        )
    return [fit_line("processor time of an entry host's ticks", "core", "host", points)]


def measure_messages() -> list[Figure]:
    """Return the sizes of the messages for announcements, records, slots and claims."""
    (record,) = _make_target_records(1)
    announcement = AnnouncementsAlive([record.name])
    announcement_bytes = len(_encode_entry("entry-1", announcement))
    record_bytes = len(_encode_entry("entry-1", TargetUpdate([record])))
    lease = "entry-1.0a1b2c3d.100000"
    slot_messages = [
        SlotRequest(lease, record.service, 1.0, None),
        SlotGrant(lease, record.name, record.host, record.request_port, 3.0),
        SlotRelease(lease, AttemptOutcome.ANSWERED, 0.1),
    ]
    key = IssuedKey.format("zone-0", 1_796_000_000.0, "0" * 16)
    claim_copy = ClaimCopy(lease, key, "0" * 64, 600.0)
    result = ClaimResult(lease, key, 200, b"x" * 300, "application/json")
    claim_messages = [
        ClaimRequest(lease, key, "0" * 64),
        claim_copy,
        claim_copy,
        ClaimCopied(lease, key, lease),
        ClaimCopied(lease, key, lease),
        ClaimAnswer(lease, ClaimVerdict.GRANTED),
        result,
        result,
        result,
    ]
    slot_bytes = sum(
        len(_encode_entry("entry-1", message)) for message in slot_messages
    )
    claim_bytes = sum(
        len(_encode_entry("entry-1", message)) for message in claim_messages
    )
    return [
        Figure(name="messages of one request's slot", value=slot_bytes, unit="bytes"),
        Figure(name="messages of one booking's claim", value=claim_bytes, unit="bytes"),
        Figure(
            name="an announcement passed on", value=announcement_bytes, unit="bytes"
        ),
        Figure(name="a backend server record spread", value=record_bytes, unit="bytes"),
    ]


def measure_memory() -> list[Slope]:
    """Return the memory of the owner table, target records and configurations."""
    targets = [
        Point(n, _measure_allocated_bytes(partial(_make_directory, n)))
        for n in TARGET_COUNTS
    ]
    addresses = [
        Point(n, _measure_allocated_bytes(partial(_make_configuration, n)))
        for n in ADDRESS_COUNTS
    ]
    owners = [
        Point(n, _measure_allocated_bytes(partial(_make_owner_table, n)))
        for n in HOST_COUNTS
    ]
    return [
        fit_line("memory of the owner table", "bytes", "entry host", owners),
        fit_line(
            "memory of backend server records", "bytes", "backend server", targets
        ),
        fit_line("memory of registers and services", "bytes", "address", addresses),
    ]


def measure_snapshot() -> list[Slope]:
    """Return the bytes that a restarted node fetches, by the number of addresses."""
    points = []
    for count in ADDRESS_COUNTS:
        size = sum(
            len(_encode_control("control-1", Chosen(register)))
            for register in _make_registers(count)
        )
        points.append(Point(count, size))
    return [fit_line("snapshot for a restarted node", "bytes", "address", points)]


def measure_rendering() -> list[Slope]:
    """Return the processor time to activate one change, by the number of addresses."""
    points = []
    for count in ADDRESS_COUNTS:
        registers = _make_registers(count)
        started_at = time.process_time()
        for _ in range(3):
            render_configuration(registers)
        points.append(Point(count, (time.process_time() - started_at) / 3))
    return [fit_line("processor time of one change on a node", "s", "address", points)]


def measure_journal() -> list[Figure]:
    """Return the time of one synced append to a control host's journal, in seconds."""
    with tempfile.TemporaryDirectory() as folder:
        journal = FileJournal(Path(folder))
        started_at = time.perf_counter()
        for _ in range(JOURNAL_APPEND_COUNT):
            journal.append([b"x" * 600])
        elapsed_seconds = time.perf_counter() - started_at
        journal.close()
    return [
        Figure(
            name="one synced record",
            value=elapsed_seconds / JOURNAL_APPEND_COUNT,
            unit="s",
        ),
    ]


class _ControlCluster:
    """Run seven control hosts and many nodes that poll them on a virtual clock."""

    def __init__(self, node_count: int) -> None:
        self.network = VirtualNetwork(_encode_control, 1000.0)
        self._control_names = [f"control-{n}" for n in range(CONTROL_HOST_COUNT)]
        self._replicas = [self._make_replica(name) for name in self._control_names]
        self._active_versions: dict[str, dict[str, int]] = {}
        self._feeds = [self._make_feed(f"node-{n}") for n in range(node_count)]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.network.now += STEP_SECONDS
            for replica in self._replicas:
                replica.tick(self.network.now)
            for feed in self._feeds:
                feed.tick(self.network.now)
            self.network.deliver_all()

    def measure_activations(self) -> list[float]:
        activation_delays: list[float] = []
        for number in range(CHANGE_COUNT):
            accepted_at = self._accept_change(number)
            pending_feeds = set(range(len(self._feeds)))
            interval_end = self.network.now + CHANGE_INTERVAL_SECONDS
            while self.network.now < interval_end:
                self.run(STEP_SECONDS)
                for index in list(pending_feeds):
                    versions = self._feeds[index].versions
                    if versions.get("zone/zone-a", 0) > number:
                        pending_feeds.discard(index)
                        activation_delays.append(self.network.now - accepted_at)
            activation_delays += [float("inf")] * len(pending_feeds)
        return activation_delays

    def _accept_change(self, number: int) -> float:
        change = Change(
            identifier=f"change-{number}",
            key="zone/zone-a",
            kind=ChangeKind.PUT,
            expected_version=number,
            document=json.dumps({"name": "zone-a", "in_service": True}).encode(),
            operator="maja",
            asked_at=self.network.now,
        )
        accepted: list[float] = []
        replica = self._replicas[number % CONTROL_HOST_COUNT]
        replica.change(
            change,
            lambda _: accepted.append(self.network.now),
            lambda failure: None,
            self.network.now,
        )
        self.network.deliver_all()
        return accepted[0]

    def _make_replica(self, name: str) -> Replica:
        journal = MemoryJournal()
        Acceptor.initialise(journal)
        replica = Replica(
            name,
            self._control_names,
            Acceptor(journal),
            self.network.sender(name),
            random.Random(name),
        )
        self.network.attach(name, replica.receive)
        return replica

    def _make_feed(self, name: str) -> ConfigurationFeed:
        feed = ConfigurationFeed(
            name,
            self._control_names,
            [],
            self.network.sender(name),
            lambda _: None,
            random.Random(name),
        )
        self.network.attach(name, feed.receive)
        return feed


class _HeartbeatGroup:
    """Run the membership of many hosts on a virtual clock."""

    def __init__(self, count: int) -> None:
        self.network = VirtualNetwork(_encode_entry, 1000.0)
        addresses = [_make_address(n) for n in range(count)]
        self._members = {
            address.name: Membership(address.name, addresses, random.Random(n))
            for n, address in enumerate(addresses)
        }
        for name, member in self._members.items():
            self.network.attach(name, partial(_deliver_heartbeat, member))

    def run(self, seconds: float) -> None:
        first_member = next(iter(self._members.values()))
        step_seconds = first_member.heartbeat_seconds
        for _ in range(round(seconds / step_seconds)):
            self.network.now += step_seconds
            for name, member in self._members.items():
                destinations, heartbeat = member.tick(self.network.now, 0)
                for host in destinations:
                    self.network.enqueue(name, host, heartbeat)
            self.network.deliver_all()


def _deliver_heartbeat(
    member: Membership, _: str, heartbeat: MembershipHeartbeat, now: float
) -> None:
    member.receive(heartbeat, now)


def _make_address(number: int) -> HostAddress:
    return HostAddress(
        name=f"entry-{number}",
        zone=f"zone-{number % 3}",
        host="127.0.0.1",
        peer_port=1,
        control_port=1,
        packet_port=1,
    )


def _encode_entry(sender: str, message: Any) -> bytes:
    return CODEC.encode(Envelope(sender, 1, message))


def _encode_control(sender: str, message: Any) -> bytes:
    envelope = ControlEnvelope(sender, "tcp://127.100.100.100:7002", message)
    return CONTROL_CODEC.encode(envelope)


def _measure_allocated_bytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(size)


class _IdleEntryHost:
    """Run one entry host that receives the counts of many hosts on a virtual clock."""

    def __init__(self, count: int) -> None:
        self.now = 1000.0
        addresses = [_make_address(n) for n in range(count)]
        zones = {address.name: address.zone for address in addresses}
        sender = NullSender()
        metrics = Metrics()
        router = PacketRouter(
            "entry-0", NullPacketTransport(), metrics, zones, 300.0, self.now
        )
        generator = random.Random(1)
        self._host = EntryHost(
            "entry-0", addresses, sender, router, metrics, generator, self.now
        )
        self._numbers = array("H", (hash_name(name) & 0xFFFF for name in zones))
        self._count = count
        configuration = render_configuration(_make_registers(ADDRESS_COUNTS[-1]))
        self._host.configure(configuration, self.now)
        records = _make_target_records(TARGET_COUNTS[-1])
        self._host.receive("entry-1", TargetUpdate(records), self.now)

    def run(self, seconds: float) -> None:
        for step in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            if step % 5 == 0:
                self._receive_heartbeat()
            self._host.tick(self.now)

    def _receive_heartbeat(self) -> None:
        heartbeat_counts = (
            bytes([int(self.now * HEARTBEAT_COUNTS_PER_SECOND) & 0xFF]) * self._count
        )
        digest = self._host.directory.digest
        numbers = self._numbers.tobytes()
        heartbeat = MembershipHeartbeat(numbers, heartbeat_counts, b"", digest)
        self._host.receive("entry-1", heartbeat, self.now)


def _make_owner_table(count: int) -> OwnerTable:
    names = [f"entry-{n}" for n in range(count)]
    table = OwnerTable({name: f"zone-{n % 3}" for n, name in enumerate(names)})
    table.update(names)
    return table


def _make_directory(count: int) -> Directory:
    directory = Directory()
    directory.merge(_make_target_records(count))
    return directory


def _make_target_records(count: int) -> list[TargetRecord]:
    return [
        TargetRecord(
            name=f"target-{n}",
            service=f"account-{n % 770}/desk",
            zone=f"zone-{n % 3}",
            host=f"10.0.{n >> 8}.{n & 255}",
            request_port=9080,
            packet_port=9081,
            state=TargetState.WARM,
            incarnation=1_796_000_000_000 + n,
        )
        for n in range(count)
    ]


def _make_registers(count: int) -> list[Register]:
    registers = [Register("template/desk", 1, 1, json.dumps(TEMPLATE).encode(), [])]
    for number in range(count):
        account = {
            "name": f"account-{number}",
            "template": "desk",
            "announcement_token_hash": "0" * 64,
            "parameters": {
                "address": f"192.0.{number >> 8}.{number & 255}",
                "zones": ["zone-0", "zone-1", "zone-2"],
            },
        }
        document = json.dumps(account).encode()
        registers.append(Register(f"account/account-{number}", 1, 1, document, []))
    return registers


def _make_configuration(count: int) -> tuple[list[Register], Configuration]:
    registers = _make_registers(count)
    return registers, render_configuration(registers)
