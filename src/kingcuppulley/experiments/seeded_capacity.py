"""Work out what hosts that start from seeds send at the size to design for.

Run with `python -m kingcuppulley.experiments.seeded_capacity`.
"""

from __future__ import annotations

import json
import zlib

import msgspec

from kingcuppulley.backend_servers.heartbeats import (
    MAXIMUM_UPDATE_TARGETS,
    Heartbeat,
    ServingState,
)
from kingcuppulley.control.seeded_host import COMPRESSION_LEVEL
from kingcuppulley.entry_hosts.seeded_host import (
    FULL_RATE_MAXIMUM_CONTROL_HOSTS,
    LOAD_REPORT_INTERVAL_SECONDS,
    SUBSCRIPTION_INTERVAL_SECONDS,
)
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    EntryHostInfo,
    FlowAcknowledged,
    FlowEnded,
    FlowEstablished,
    HostList,
    LoadReport,
    PlaceFlow,
    SubscribeToControl,
)

DATAGRAM_HEAD_BYTES = 28
ENTRY_HOSTS = 503
CONTROL_HOSTS = 7
ZONES = 9
TARGETS = 6_000
ADDRESSES = 770
CHANGES_PER_DAY = 420
RESTARTS_PER_DAY = 410
NEW_FLOWS_PER_SECOND = 21_000
DAY_SECONDS = 86_400
OPENING_PACKET_BYTES = 34
ADDRESS = "10.128.255.255:7720"


class Row(msgspec.Struct, frozen=True):
    """Hold one figure of the page."""

    what: str
    value: float
    unit: str

    def __str__(self) -> str:
        return f"| {self.what} | {self.value:,.4g} | {self.unit} |"


def size_of(message: object) -> int:
    """Return the bytes that a message takes on the wire."""
    return len(msgspec.msgpack.encode(message)) + DATAGRAM_HEAD_BYTES


def a_target() -> Heartbeat:
    """Return a backend server as control hosts tell it."""
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


def configuration_bytes(routes: int) -> int:
    """Return the bytes of a compressed configuration with this many routes."""
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
            for number in range(routes)
        ],
    }
    return len(zlib.compress(json.dumps(document).encode(), COMPRESSION_LEVEL))


def rows() -> list[Row]:
    """Return every figure."""
    subscription = size_of(
        SubscribeToControl(ADDRESS, "bg-west-a", True, False, "0" * 16, 50_000)
    )
    control_hosts = [ADDRESS] * CONTROL_HOSTS
    update = size_of(
        ControlUpdate(
            ADDRESS,
            "0" * 16,
            50_000,
            50_000,
            False,
            [],
            1 << 62,
            control_hosts,
            9000,
            0,
        )
    )
    target = len(msgspec.msgpack.encode(a_target()))
    host = len(msgspec.msgpack.encode(EntryHostInfo(ADDRESS, "bg-west-a", False)))
    host_list = size_of(
        HostList(1 << 62, [EntryHostInfo(ADDRESS, "bg-west-a", False)] * ENTRY_HOSTS)
    )
    flow = bytes(12)
    opening = size_of(
        PlaceFlow(flow, "order-desk", 0, 1, 120, bytes(OPENING_PACKET_BYTES))
    )
    per_flow = opening + sum(
        size_of(message)
        for message in (
            FlowAcknowledged(flow),
            FlowEstablished(flow),
            FlowEnded(flow, True),
        )
    )
    poll_seconds = SUBSCRIPTION_INTERVAL_SECONDS * max(
        1.0, CONTROL_HOSTS / FULL_RATE_MAXIMUM_CONTROL_HOSTS
    )
    polls = CONTROL_HOSTS / poll_seconds
    configuration = configuration_bytes(ADDRESSES)
    targets_of_zone = TARGETS // ZONES
    report = size_of(LoadReport("bg-west-a", [(1 << 31, 3)] * targets_of_zone))
    lists = 2 * RESTARTS_PER_DAY * host_list / DAY_SECONDS
    changes = CHANGES_PER_DAY * configuration / DAY_SECONDS
    steady = polls * (subscription + update)
    return [
        Row("one question of an entry host", subscription, "B"),
        Row("one answer without news", update, "B"),
        Row("one backend server in an answer", target, "B"),
        Row("one entry host in a list", host, "B"),
        Row("a list of all entry hosts", host_list, "B"),
        Row("a configuration of all addresses, compressed", configuration, "B"),
        Row("entry host: questions and answers", steady, "B/s"),
        Row("entry host: lists of entry hosts", lists, "B/s"),
        Row("entry host: configurations", changes, "B/s"),
        Row("entry host: sum at rest", steady + lists + changes, "B/s"),
        Row("messages inside the zone for one new flow", per_flow, "B"),
        Row(
            "steward of a zone: messages of all its new flows",
            per_flow * NEW_FLOWS_PER_SECOND / ZONES,
            "B/s",
        ),
        Row(
            "steward of a zone: reports to the other zones",
            report * (ZONES - 1) / LOAD_REPORT_INTERVAL_SECONDS,
            "B/s",
        ),
        Row("control host: questions", ENTRY_HOSTS / poll_seconds, "1/s"),
        Row(
            "control host: questions and answers",
            ENTRY_HOSTS / poll_seconds * (subscription + update),
            "B/s",
        ),
        Row("entry host after a start: all servers", target * TARGETS, "B"),
        Row("the longest answer", update + target * MAXIMUM_UPDATE_TARGETS, "B"),
    ]


if __name__ == "__main__":
    for row in rows():
        print(row)
