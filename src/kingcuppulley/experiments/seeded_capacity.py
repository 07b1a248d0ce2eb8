"""Compute message sizes and traffic at the design size, for hosts with seeds.

The rows are in a table of docs/CAPACITY.md. Print them with
`python -m kingcuppulley.experiments.seeded_capacity`.
"""

from __future__ import annotations

import json
import zlib

import msgspec

from kingcuppulley.backend_servers.change_log import MAXIMUM_UPDATE_TARGETS
from kingcuppulley.backend_servers.heartbeats import Heartbeat, ServingState
from kingcuppulley.control.configuration_publisher import COMPRESSION_LEVEL
from kingcuppulley.control.relayed_sources import (
    RELAY_SUBSCRIPTION_INTERVAL_SECONDS,
)
from kingcuppulley.entry_hosts.load_reporter import (
    LOAD_REPORT_INTERVAL_SECONDS,
    MAXIMUM_LOAD_REPORT_INTERVAL_SECONDS,
    MAXIMUM_LOAD_REPORTS_PER_SECOND,
)
from kingcuppulley.entry_hosts.seeded_host import SUBSCRIPTION_INTERVAL_SECONDS
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    EntryHostInfo,
    FlowAcknowledged,
    FlowEnded,
    FlowEstablished,
    HostList,
    LoadReport,
    PlaceFlow,
    RelayedUpdate,
    SourcePosition,
    SubscribeToControl,
    SubscribeToRelay,
)
from kingcuppulley.fabric.service_shares import share_count

IP_AND_UDP_HEADER_BYTES = 28
ENTRY_HOST_COUNT = 503
CONTROL_HOST_COUNT = 7
ZONE_COUNT = 9
TARGET_COUNT = 6_000
ADDRESS_COUNT = 770
CHANGES_PER_DAY = 420
RESTARTS_PER_DAY = 410
NEW_FLOWS_PER_SECOND = 21_000
SECONDS_PER_DAY = 86_400
OPENING_PACKET_BYTES = 34
HOST_ADDRESS = "10.128.255.255:7720"
HOST_CAPACITY = 408


class Row(msgspec.Struct, frozen=True):
    """Hold one row of the table."""

    what: str
    value: float
    unit: str

    def __str__(self) -> str:
        return f"| {self.what} | {self.value:,.4g} | {self.unit} |"


def datagram_bytes(message: object) -> int:
    """Return the size of a message on the wire, with its IP and UDP headers."""
    return len(msgspec.msgpack.encode(message)) + IP_AND_UDP_HEADER_BYTES


def sample_heartbeat() -> Heartbeat:
    """Return a backend server's heartbeat as control hosts send it to entry hosts."""
    return Heartbeat(
        "i-7f3a91c2",
        bytes(8),
        "order-desk",
        "bg-west-a",
        "10.128.255.255",
        8080,
        ServingState.READY,
        1_790_000_000_000,
        50_000,
        2,
        0.0,
    )


def sample_update(control_hosts: list[str]) -> ControlUpdate:
    """Return an update of a control host without changes."""
    return ControlUpdate(
        HOST_ADDRESS,
        "0" * 16,
        50_000,
        50_000,
        False,
        [],
        1 << 62,
        control_hosts,
        9000,
        0,
        "bg-west-a",
    )


def configuration_bytes(route_count: int) -> int:
    """Return the size of a compressed configuration with the given number of routes."""
    document = {
        "version": 1,
        "routes": [
            {
                "name": f"route-{number * 7919 % 100_003:x}",
                "address": f"198.18.{number // 250}.{number % 250}",
                "port": 1024 + number * 31 % 60_000,
                "timeout": 1500 + number % 7 * 250,
                "objective": 120 + number % 5 * 10,
                "service": f"service-{number % 40}",
            }
            for number in range(route_count)
        ],
    }
    return len(zlib.compress(json.dumps(document).encode(), COMPRESSION_LEVEL))


def rows() -> list[Row]:
    """Return the rows of the table in their order."""
    subscription_bytes = datagram_bytes(
        SubscribeToRelay(
            HOST_ADDRESS,
            "bg-west-a",
            True,
            False,
            [SourcePosition(HOST_ADDRESS, "0" * 16, 50_000)] * CONTROL_HOST_COUNT,
            HOST_CAPACITY,
        )
    )
    own_update = sample_update([HOST_ADDRESS] * CONTROL_HOST_COUNT)
    update_bytes = datagram_bytes(
        RelayedUpdate(
            [own_update, *[sample_update([])] * (CONTROL_HOST_COUNT - 1)],
            [250] * CONTROL_HOST_COUNT,
        )
    )
    control_exchange_bytes = datagram_bytes(own_update) + datagram_bytes(
        SubscribeToControl(HOST_ADDRESS, "bg-west-a", True, False, "0" * 16, 50_000)
    )
    target_bytes = len(msgspec.msgpack.encode(sample_heartbeat()))
    host_info = EntryHostInfo(HOST_ADDRESS, "bg-west-a", False, HOST_CAPACITY)
    host_bytes = len(msgspec.msgpack.encode(host_info))
    hosts_per_relay = -(-ENTRY_HOST_COUNT // CONTROL_HOST_COUNT)
    host_list_bytes = datagram_bytes(HostList(1 << 62, [host_info] * hosts_per_relay))
    flow_id = bytes(12)
    opening_bytes = datagram_bytes(
        PlaceFlow(flow_id, "order-desk", 0, 1, 120, bytes(OPENING_PACKET_BYTES))
    )
    bytes_per_flow = opening_bytes + sum(
        datagram_bytes(message)
        for message in (
            FlowAcknowledged(flow_id),
            FlowEstablished(flow_id, cookie=2**32 - 1, route=bytes(6)),
            FlowEnded(flow_id, True),
        )
    )
    compressed_configuration_bytes = configuration_bytes(ADDRESS_COUNT)
    targets_per_zone = TARGET_COUNT // ZONE_COUNT
    shares_per_zone = share_count(targets_per_zone)
    load_report_bytes = datagram_bytes(
        LoadReport("bg-west-a", [(1 << 31, 3)] * (targets_per_zone // shares_per_zone))
    )
    report_recipients = shares_per_zone + ZONE_COUNT - 2
    load_report_interval = max(
        LOAD_REPORT_INTERVAL_SECONDS,
        min(
            MAXIMUM_LOAD_REPORT_INTERVAL_SECONDS,
            report_recipients / MAXIMUM_LOAD_REPORTS_PER_SECOND,
        ),
    )
    host_list_traffic = 2 * RESTARTS_PER_DAY * host_list_bytes / SECONDS_PER_DAY
    configuration_traffic = (
        CHANGES_PER_DAY * compressed_configuration_bytes / SECONDS_PER_DAY
    )
    subscription_traffic = (
        subscription_bytes + update_bytes
    ) / SUBSCRIPTION_INTERVAL_SECONDS
    control_exchange_traffic = (
        2
        * (CONTROL_HOST_COUNT - 1)
        * control_exchange_bytes
        / RELAY_SUBSCRIPTION_INTERVAL_SECONDS
    )
    return [
        Row("one question of an entry host", subscription_bytes, "B"),
        Row("one answer without news", update_bytes, "B"),
        Row("one backend server in an answer", target_bytes, "B"),
        Row("one entry host in a list", host_bytes, "B"),
        Row("a list of the entry hosts of one relay", host_list_bytes, "B"),
        Row(
            "a configuration of all addresses, compressed",
            compressed_configuration_bytes,
            "B",
        ),
        Row("entry host: questions and answers", subscription_traffic, "B/s"),
        Row("entry host: lists of entry hosts", host_list_traffic, "B/s"),
        Row("entry host: configurations", configuration_traffic, "B/s"),
        Row(
            "entry host: sum at rest",
            subscription_traffic + host_list_traffic + configuration_traffic,
            "B/s",
        ),
        Row("messages inside the zone for one new flow", bytes_per_flow, "B"),
        Row("coordinators of a service in a zone", shares_per_zone, ""),
        Row(
            "coordinator: messages of its new flows",
            bytes_per_flow * NEW_FLOWS_PER_SECOND / ZONE_COUNT / shares_per_zone,
            "B/s",
        ),
        Row(
            "coordinator: load reports, with a flow on each of its servers",
            load_report_bytes * report_recipients / load_report_interval,
            "B/s",
        ),
        Row(
            "control host: questions of entry hosts",
            hosts_per_relay / SUBSCRIPTION_INTERVAL_SECONDS,
            "1/s",
        ),
        Row(
            "control host: questions and answers of entry hosts",
            hosts_per_relay * subscription_traffic,
            "B/s",
        ),
        Row("control host: exchange with the others", control_exchange_traffic, "B/s"),
        Row("entry host after a start: all servers", target_bytes * TARGET_COUNT, "B"),
        Row(
            "the longest answer",
            update_bytes + 2 * target_bytes * MAXIMUM_UPDATE_TARGETS,
            "B",
        ),
    ]


if __name__ == "__main__":
    for row in rows():
        print(row)
