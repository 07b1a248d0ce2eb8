"""Measure packet and request rates against bare relays, and memory per flow."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import multiprocessing
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from multiprocessing.connection import Connection
from pathlib import Path

from hdrh.histogram import HdrHistogram

from kingcuppulley.experiments.figures import (
    Figure,
    processor_seconds,
    resident_bytes,
)
from kingcuppulley.experiments.processes import Deployment, Plan, ServicePlan
from kingcuppulley.experiments.relay import (
    SERVICE_ADDRESS,
    SERVICE_PORT,
    packet_service,
    packet_target,
)
from kingcuppulley.fabric.packet import read_header
from kingcuppulley.fabric.router import PacketRouter
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.stand_ins.fabric import make_flows

PACKET_COUNT = 60_000
MAXIMUM_PACKETS_IN_FLIGHT = 64
PACKET_FLOW_COUNT = 5_000
ROUNDS = 3
DECISION_COUNT = 300_000
MEMORY_FLOW_COUNT = 300_000
REQUEST_COUNT = 6_000
REQUEST_CONNECTION_COUNT = 16
REQUEST_TARGET_COUNT = 4
RELAY_START_SECONDS = 1.5
MINIMUM_PACKET_RATE_RATIO = 0.7
MINIMUM_REQUEST_RATE_RATIO = 0.5
MAXIMUM_BYTES_PER_FLOW = 200


class LoadResult:
    """Hold the elapsed and processor time of one load, and request latencies.

    `latencies` is a histogram in microseconds, None for a load of packets.
    """

    __slots__ = ("elapsed_seconds", "processor_time_seconds", "latencies")

    def __init__(
        self,
        elapsed_seconds: float,
        processor_time_seconds: float,
        latencies: HdrHistogram | None = None,
    ) -> None:
        self.elapsed_seconds = elapsed_seconds
        self.processor_time_seconds = processor_time_seconds
        self.latencies = latencies


class NullPacketTransport:
    """Drop everything that a router sends."""

    def send_to_target(self, packet: bytes, endpoint: tuple[str, int]) -> None:
        """Drop a packet."""

    def send_to_owner(self, packet: bytes, host: str, hops: int) -> None:
        """Drop a packet."""

    def reset_caller(self, packet: bytes) -> None:
        """Drop a packet."""

    def query_flow(self, hosts: list[str], flow: int) -> None:
        """Drop the query."""


def measure_forwarding() -> list[Figure]:
    """Return the packet rate of the packet tier relative to a bare UDP relay.

    Both are measured alternately in the same run. The ratios are medians of the
    rounds.
    """
    ratios = []
    processor_ratios = []
    for _ in range(ROUNDS):
        baseline = _send_packets("bare-udp")
        measured = _send_packets("packet-tier")
        ratios.append(baseline.elapsed_seconds / measured.elapsed_seconds)
        processor_ratios.append(
            baseline.processor_time_seconds / measured.processor_time_seconds
        )
    ratio = sorted(ratios)[ROUNDS // 2]
    processor_ratio = sorted(processor_ratios)[ROUNDS // 2]
    return [
        _make_ratio_figure(
            "forwarded packets a second, ratio to a bare relay", ratio, 0.7
        ),
        Figure(
            name="processor time a packet, bare relay over packet tier",
            value=processor_ratio,
            unit="ratio",
        ),
    ]


def measure_decisions() -> list[Figure]:
    """Return the rate of packet decisions, also relative to reading headers alone."""
    packets = _make_packets(PACKET_FLOW_COUNT)
    now = time.monotonic()
    metrics = Metrics()
    router = _make_single_router(metrics, now)
    started_at = time.perf_counter()
    for number in range(DECISION_COUNT):
        read_header(packets[number % PACKET_FLOW_COUNT])
    reading_seconds = time.perf_counter() - started_at
    started_at = time.perf_counter()
    for number in range(DECISION_COUNT):
        router.packet_from_fabric(packets[number % PACKET_FLOW_COUNT], now)
    deciding_seconds = time.perf_counter() - started_at
    return [
        Figure(
            name="packet decisions a second on one core",
            value=DECISION_COUNT / deciding_seconds,
            unit="1/s",
        ),
        Figure(
            name="packet decisions, ratio to reading headers alone",
            value=reading_seconds / deciding_seconds,
            unit="ratio",
        ),
    ]


def measure_flow_memory() -> list[Figure]:
    """Return the resident bytes per open flow, measured in a separate process."""
    receiver, sender = multiprocessing.Pipe(duplex=False)
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_report_flow_memory, args=(sender,))
    process.start()
    grown_bytes: int = receiver.recv()
    process.join()
    bytes_per_flow = grown_bytes / MEMORY_FLOW_COUNT
    return [
        Figure(
            name=f"resident bytes for each of {MEMORY_FLOW_COUNT} open flows",
            value=bytes_per_flow,
            unit="bytes",
            aim=f"at most {MAXIMUM_BYTES_PER_FLOW}",
            is_met=bytes_per_flow <= MAXIMUM_BYTES_PER_FLOW,
        )
    ]


def measure_requests() -> list[Figure]:
    """Return the request rate of a gateway relative to a bare HTTP relay.

    Both are measured alternately in the same run. The ratios are medians of the
    rounds, the other figures are those of the last round.
    """
    service = ServicePlan(
        name="bench",
        address="192.0.2.30",
        port=8090,
        tier="requests",
        target_zones=("zone-a",) * REQUEST_TARGET_COUNT,
        service_seconds=0.0,
        cold_seconds=0.0,
        slots=REQUEST_CONNECTION_COUNT,
        cold_slots=REQUEST_CONNECTION_COUNT,
    )
    plan = Plan(zones=("zone-a",), entry_hosts=("zone-a",), control_hosts=1)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), plan)
        try:
            return _compare_requests(deployment, service)
        finally:
            deployment.end_all()


def _compare_requests(deployment: Deployment, service: ServicePlan) -> list[Figure]:
    deployment.start_system()
    deployment.wait_until_control_votes()
    deployment.accept_service(service)
    names = [deployment.start_target(service, zone) for zone in service.target_zones]
    deployment.wait_until_ready([service])
    targets = [deployment.target_address(name) for name in names]
    entry = (deployment.entry_host("entry-1"), service.port)
    ratios = []
    processor_ratios = []
    measured = None
    with _relay_process("bare-http", targets) as (process_id, port):
        for _ in range(ROUNDS):
            baseline = _send_requests(("127.0.0.1", port), process_id)
            measured = _send_requests(entry, deployment.process_id("entry-1"))
            ratios.append(baseline.elapsed_seconds / measured.elapsed_seconds)
            processor_ratios.append(
                baseline.processor_time_seconds / measured.processor_time_seconds
            )
    assert measured is not None and measured.latencies is not None
    ratio = sorted(ratios)[ROUNDS // 2]
    figures = [
        _make_ratio_figure(
            "requests a second, ratio to a bare relay",
            ratio,
            MINIMUM_REQUEST_RATE_RATIO,
        ),
        Figure(
            name="processor time a request, bare relay over gateway",
            value=sorted(processor_ratios)[ROUNDS // 2],
            unit="ratio",
        ),
        Figure(
            name="requests a second through one gateway",
            value=REQUEST_COUNT / measured.elapsed_seconds,
            unit="1/s",
        ),
        Figure(
            name="gateway processor seconds a request",
            value=measured.processor_time_seconds / REQUEST_COUNT,
            unit="s",
        ),
    ]
    for quantile in (50.0, 99.0, 99.9):
        value = measured.latencies.get_value_at_percentile(quantile) / 1000
        figures.append(Figure(name=f"request p{quantile:g}", value=value, unit="ms"))
    return figures


def _make_ratio_figure(name: str, value: float, aim: float) -> Figure:
    return Figure(
        name=name, value=value, unit="ratio", aim=f"{aim} or more", is_met=value >= aim
    )


def _make_packets(count: int) -> list[bytes]:
    flows = make_flows(count, SERVICE_ADDRESS, SERVICE_PORT, random.Random(1))
    return [flow.packet(payload=b"x" * 64) for flow in flows]


def _make_single_router(metrics: Metrics, now: float) -> PacketRouter:
    zones = {"entry-1": "zone-a"}
    router = PacketRouter("entry-1", NullPacketTransport(), metrics, zones, 300.0, now)
    router.update_services([packet_service()])
    records = [packet_target("127.0.0.1", 9, f"target-{n}") for n in range(7)]
    router.update_targets(records, frozenset())
    router.update_owners(["entry-1"], now)
    return router


def _report_flow_memory(connection: Connection) -> None:
    now = time.monotonic()
    router = _make_single_router(Metrics(), now)
    flows = make_flows(1000, SERVICE_ADDRESS, SERVICE_PORT, random.Random(1))
    opening_packets = [flow.opening_packet() for flow in flows]
    for packet in opening_packets:
        router.packet_from_fabric(packet, now)
    template = bytearray(opening_packets[0])
    gc.collect()
    bytes_before = resident_bytes(os.getpid())
    for number in range(MEMORY_FLOW_COUNT):
        # The bytes are the source address, so each packet opens another flow.
        template[12:16] = (0x0B000000 + number).to_bytes(4, "big")
        router.packet_from_fabric(bytes(template), now)
    gc.collect()
    connection.send(resident_bytes(os.getpid()) - bytes_before)


@contextlib.contextmanager
def _relay_process(kind: str, targets: list[str]) -> Iterator[tuple[int, int]]:
    port = _free_port(kind)
    module = "kingcuppulley.experiments.relay"
    command = [sys.executable, "-m", module, kind, str(port), *targets]
    process = subprocess.Popen(command)
    try:
        time.sleep(RELAY_START_SECONDS)
        yield process.pid, port
    finally:
        process.terminate()
        process.wait()


def _free_port(kind: str) -> int:
    socket_type = socket.SOCK_STREAM if kind == "bare-http" else socket.SOCK_DGRAM
    with socket.socket(socket.AF_INET, socket_type) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _send_packets(kind: str) -> LoadResult:
    packets = _make_packets(PACKET_FLOW_COUNT)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind(("127.0.0.1", 0))
        sink.settimeout(2.0)
        target = f"127.0.0.1:{sink.getsockname()[1]}"
        with _relay_process(kind, [target]) as (process_id, port):
            _send_and_receive(sink, ("127.0.0.1", port), packets, PACKET_FLOW_COUNT)
            processor_seconds_before = processor_seconds(process_id)
            started_at = time.perf_counter()
            _send_and_receive(sink, ("127.0.0.1", port), packets, PACKET_COUNT)
            elapsed_seconds = time.perf_counter() - started_at
            return LoadResult(
                elapsed_seconds,
                processor_seconds(process_id) - processor_seconds_before,
            )


def _send_and_receive(
    sink: socket.socket, relay: tuple[str, int], packets: list[bytes], count: int
) -> None:
    sent = 0
    received = 0
    while received < count:
        while sent < count and sent - received < MAXIMUM_PACKETS_IN_FLIGHT:
            sink.sendto(packets[sent % len(packets)], relay)
            sent += 1
        sink.recv(2048)
        received += 1


def _send_requests(address: tuple[str, int], process_id: int) -> LoadResult:
    histogram = HdrHistogram(1, 60_000_000, 3)
    asyncio.run(
        _send_on_all_connections(
            address, REQUEST_COUNT // 6, HdrHistogram(1, 60_000_000, 3)
        )
    )
    processor_seconds_before = processor_seconds(process_id)
    started_at = time.perf_counter()
    asyncio.run(_send_on_all_connections(address, REQUEST_COUNT, histogram))
    elapsed_seconds = time.perf_counter() - started_at
    return LoadResult(
        elapsed_seconds,
        processor_seconds(process_id) - processor_seconds_before,
        histogram,
    )


async def _send_on_all_connections(
    address: tuple[str, int], count: int, histogram: HdrHistogram
) -> None:
    count_per_connection = count // REQUEST_CONNECTION_COUNT
    await asyncio.gather(
        *(
            _send_on_connection(address, count_per_connection, histogram)
            for _ in range(REQUEST_CONNECTION_COUNT)
        )
    )


async def _send_on_connection(
    address: tuple[str, int], count: int, histogram: HdrHistogram
) -> None:
    reader, writer = await asyncio.open_connection(*address)
    for _ in range(count):
        started_at = time.perf_counter()
        writer.write(b"GET /stock HTTP/1.1\r\nHost: desk\r\n\r\n")
        response_head = await reader.readuntil(b"\r\n\r\n")
        length = (
            response_head.lower().partition(b"content-length:")[2].split(b"\r\n")[0]
        )
        await reader.readexactly(int(length))
        if b" 200 " not in response_head[:16]:
            raise RuntimeError(f"measured request failed: {response_head!r}")
        histogram.record_value(max(1, int((time.perf_counter() - started_at) * 1e6)))
    writer.close()
    await writer.wait_closed()
