"""Measure how control grows with hosts, targets, addresses and changes."""

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
from kingcuppulley.experiments.figures import Figure, Point, Slope, fit
from kingcuppulley.experiments.relay import NoSender
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
CONTROL_HOSTS = 7
STEP_SECONDS = 0.05
SETTLE_SECONDS = 6.0
COUNTED_SECONDS = 5.0
CHANGES = 12
VIEW_CHANGES = 5
CHANGE_GAP_SECONDS = 3.0
FSYNC_CHANGES = 200
FORCE_AIM_SECONDS = 17.0
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
    """Return bytes and processor time a second that membership costs each host."""
    traffic = []
    processor = []
    for count in HOST_COUNTS:
        group = _HeartbeatGroup(count)
        group.run(SETTLE_SECONDS)
        group.network.forget_counts()
        began = time.process_time()
        group.run(COUNTED_SECONDS)
        used = time.process_time() - began
        network = group.network
        both = network.bytes_sent.total() + network.bytes_received.total()
        traffic.append(Point(count, both / count / COUNTED_SECONDS))
        processor.append(Point(count, used / count / COUNTED_SECONDS))
    return [
        fit("membership traffic, sent and received", "bytes/s", "entry host", traffic),
        fit("membership processor time", "core", "entry host", processor),
    ]


def measure_view_change() -> list[Slope]:
    """Return the processor time that the death of one host costs each other."""
    points = []
    for count in HOST_COUNTS:
        names = [f"entry-{n}" for n in range(count)]
        table = OwnerTable({name: f"zone-{n % 3}" for n, name in enumerate(names)})
        table.update(names)
        began = time.process_time()
        for n in range(VIEW_CHANGES):
            table.update(names[:n] + names[n + 1 :])
            table.update(names)
        used = (time.process_time() - began) / VIEW_CHANGES / 2
        points.append(Point(count, used))
    return [fit("processor time of one change of view", "s", "entry host", points)]


def measure_distribution() -> tuple[list[Slope], list[Figure]]:
    """Return what spreading changes costs each node, and how long it takes."""
    idle = []
    served = []
    forced: list[float] = []
    for count in NODE_COUNTS:
        cluster = _ControlCluster(count)
        cluster.run(5.0)
        cluster.network.forget_counts()
        cluster.run(10.0)
        traffic = cluster.network.bytes_sent + cluster.network.bytes_received
        nodes = [f"node-{n}" for n in range(count)]
        idle.append(Point(count, sum(traffic[n] for n in nodes) / count / 10.0))
        control = [f"control-{n}" for n in range(CONTROL_HOSTS)]
        most = max(traffic[name] for name in control)
        served.append(Point(count, most / 10.0))
        if count == NODE_COUNTS[-1]:
            forced = cluster.force_changes()
    slopes = [
        fit("idle polling, sent and received", "bytes/s a node", "node", idle),
        fit("idle polling, busiest control host", "bytes/s", "node", served),
    ]
    worst = statistics.quantiles(forced, n=100)[98]
    figure = Figure(
        name=f"acceptance to force at {NODE_COUNTS[-1]} nodes, p99, virtual clock",
        value=worst,
        unit="s",
        aim=f"under {FORCE_AIM_SECONDS:g}",
        is_met=worst < FORCE_AIM_SECONDS,
    )
    return slopes, [figure]


def measure_entry_host() -> list[Slope]:
    """Return the processor time of an idle entry host's decisions at full records."""
    points = []
    for count in HOST_COUNTS:
        lone = _LoneHost(count)
        lone.run(3.0)
        began = time.process_time()
        lone.run(COUNTED_SECONDS)
        points.append(Point(count, (time.process_time() - began) / COUNTED_SECONDS))
    return [fit("processor time of an entry host's ticks", "core", "host", points)]


def measure_messages() -> list[Figure]:
    """Return the size of the messages that backend servers cause."""
    (record,) = _target_records(1)
    alive = AnnouncementsAlive([record.name])
    size = len(_encode_entry("entry-1", alive))
    update = len(_encode_entry("entry-1", TargetUpdate([record])))
    lease = "entry-1.0a1b2c3d.100000"
    slot = [
        SlotRequest(lease, record.service, 1.0, None),
        SlotGrant(lease, record.name, record.host, record.request_port, 3.0),
        SlotRelease(lease, AttemptOutcome.ANSWERED, 0.1),
    ]
    key = IssuedKey.format("zone-0", 1_796_000_000.0, "0" * 16)
    claim_copy = ClaimCopy(lease, key, "0" * 64, 600.0)
    result = ClaimResult(lease, key, 200, b"x" * 300, "application/json")
    claim = [
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
    slot_bytes = sum(len(_encode_entry("entry-1", message)) for message in slot)
    claim_bytes = sum(len(_encode_entry("entry-1", message)) for message in claim)
    return [
        Figure(name="messages of one request's slot", value=slot_bytes, unit="bytes"),
        Figure(name="messages of one booking's claim", value=claim_bytes, unit="bytes"),
        Figure(name="an announcement passed on", value=size, unit="bytes"),
        Figure(name="a backend server record spread", value=update, unit="bytes"),
    ]


def measure_memory() -> list[Slope]:
    """Return the memory that records and addresses add to a process."""
    targets = [Point(n, _traced(partial(_directory, n))) for n in TARGET_COUNTS]
    addresses = [Point(n, _traced(partial(_configuration, n))) for n in ADDRESS_COUNTS]
    owners = [Point(n, _traced(partial(_owner_table, n))) for n in HOST_COUNTS]
    return [
        fit("memory of the owner table", "bytes", "entry host", owners),
        fit("memory of backend server records", "bytes", "backend server", targets),
        fit("memory of registers and services", "bytes", "address", addresses),
    ]


def measure_snapshot() -> list[Slope]:
    """Return the bytes that a restarted node polls, against the addresses."""
    points = []
    for count in ADDRESS_COUNTS:
        size = sum(
            len(_encode_control("control-1", Chosen(register)))
            for register in _registers(count)
        )
        points.append(Point(count, size))
    return [fit("snapshot for a restarted node", "bytes", "address", points)]


def measure_rendering() -> list[Slope]:
    """Return the processor time of putting one change in force, against addresses."""
    points = []
    for count in ADDRESS_COUNTS:
        registers = _registers(count)
        began = time.process_time()
        for _ in range(3):
            render_configuration(registers)
        points.append(Point(count, (time.process_time() - began) / 3))
    return [fit("processor time of one change on a node", "s", "address", points)]


def measure_journal() -> list[Figure]:
    """Return how long a synced change takes on one control host's disk."""
    with tempfile.TemporaryDirectory() as folder:
        journal = FileJournal(Path(folder))
        began = time.perf_counter()
        for _ in range(FSYNC_CHANGES):
            journal.append([b"x" * 600])
        elapsed = time.perf_counter() - began
        journal.close()
    return [
        Figure(name="one synced record", value=elapsed / FSYNC_CHANGES, unit="s"),
    ]


class _ControlCluster:
    """Run seven control hosts and many polling nodes on a virtual clock."""

    def __init__(self, nodes: int) -> None:
        self.network = VirtualNetwork(_encode_control, 1000.0)
        self._control = [f"control-{n}" for n in range(CONTROL_HOSTS)]
        self._replicas = [self._replica(name) for name in self._control]
        self._in_force: dict[str, dict[str, int]] = {}
        self._feeds = [self._feed(f"node-{n}") for n in range(nodes)]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.network.now += STEP_SECONDS
            for replica in self._replicas:
                replica.tick(self.network.now)
            for feed in self._feeds:
                feed.tick(self.network.now)
            self.network.settle()

    def force_changes(self) -> list[float]:
        delays: list[float] = []
        for number in range(CHANGES):
            accepted_at = self._accept(number)
            missing = set(range(len(self._feeds)))
            until = self.network.now + CHANGE_GAP_SECONDS
            while self.network.now < until:
                self.run(STEP_SECONDS)
                for index in list(missing):
                    versions = self._feeds[index].versions
                    if versions.get("zone/zone-a", 0) > number:
                        missing.discard(index)
                        delays.append(self.network.now - accepted_at)
            delays += [float("inf")] * len(missing)
        return delays

    def _accept(self, number: int) -> float:
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
        replica = self._replicas[number % CONTROL_HOSTS]
        replica.change(
            change,
            lambda _: accepted.append(self.network.now),
            lambda failure: None,
            self.network.now,
        )
        self.network.settle()
        return accepted[0]

    def _replica(self, name: str) -> Replica:
        journal = MemoryJournal()
        Acceptor.initialise(journal)
        replica = Replica(
            name,
            self._control,
            Acceptor(journal),
            self.network.sender(name),
            random.Random(name),
        )
        self.network.attach(name, replica.receive)
        return replica

    def _feed(self, name: str) -> ConfigurationFeed:
        feed = ConfigurationFeed(
            name,
            self._control,
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
        addresses = [_address(n) for n in range(count)]
        self._members = {
            address.name: Membership(address.name, addresses, random.Random(n))
            for n, address in enumerate(addresses)
        }
        for name, member in self._members.items():
            self.network.attach(name, partial(_take_heartbeat, member))

    def run(self, seconds: float) -> None:
        first = next(iter(self._members.values()))
        step = first.heartbeat_seconds
        for _ in range(round(seconds / step)):
            self.network.now += step
            for name, member in self._members.items():
                chosen, heartbeat = member.tick(self.network.now, 0)
                for host in chosen:
                    self.network.post(name, host, heartbeat)
            self.network.settle()


def _take_heartbeat(
    member: Membership, _: str, heartbeat: MembershipHeartbeat, now: float
) -> None:
    member.receive(heartbeat, now)


def _address(number: int) -> HostAddress:
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


def _traced(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


class _LoneHost:
    """Run one entry host that hears of many others on a virtual clock."""

    def __init__(self, count: int) -> None:
        self.now = 1000.0
        addresses = [_address(n) for n in range(count)]
        zones = {address.name: address.zone for address in addresses}
        sender = NoSender()
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
        configuration = render_configuration(_registers(ADDRESS_COUNTS[-1]))
        self._host.configure(configuration, self.now)
        records = _target_records(TARGET_COUNTS[-1])
        self._host.receive("entry-1", TargetUpdate(records), self.now)

    def run(self, seconds: float) -> None:
        for step in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            if step % 5 == 0:
                self._hear()
            self._host.tick(self.now)

    def _hear(self) -> None:
        beats = (
            bytes([int(self.now * HEARTBEAT_COUNTS_PER_SECOND) & 0xFF]) * self._count
        )
        digest = self._host.directory.digest
        numbers = self._numbers.tobytes()
        beat = MembershipHeartbeat(numbers, beats, b"", digest)
        self._host.receive("entry-1", beat, self.now)


def _owner_table(count: int) -> OwnerTable:
    names = [f"entry-{n}" for n in range(count)]
    table = OwnerTable({name: f"zone-{n % 3}" for n, name in enumerate(names)})
    table.update(names)
    return table


def _directory(count: int) -> Directory:
    directory = Directory()
    directory.merge(_target_records(count))
    return directory


def _target_records(count: int) -> list[TargetRecord]:
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


def _registers(count: int) -> list[Register]:
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


def _configuration(count: int) -> tuple[list[Register], Configuration]:
    registers = _registers(count)
    return registers, render_configuration(registers)
