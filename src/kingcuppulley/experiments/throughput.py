"""Measure packets and requests a second against bare relays, and memory a flow."""

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

PACKETS = 60_000
PACKET_WINDOW = 64
PACKET_FLOWS = 5_000
ROUNDS = 3
DECISIONS = 300_000
MEMORY_FLOWS = 300_000
REQUESTS = 6_000
REQUEST_CONNECTIONS = 16
REQUEST_TARGETS = 4
SETTLE_SECONDS = 1.5
PACKET_RATIO_AIM = 0.7
REQUEST_RATIO_AIM = 0.5
FLOW_BYTES_AIM = 200


class Passage:
    """Hold what one load needed: elapsed and processor seconds, and latencies."""

    __slots__ = ("elapsed", "processor", "latencies")

    def __init__(
        self, elapsed: float, processor: float, latencies: HdrHistogram | None = None
    ) -> None:
        self.elapsed = elapsed
        self.processor = processor
        self.latencies = latencies


class NullPacketTransport:
    """Take what a router sends and drop it."""

    def send_to_target(self, packet: bytes, endpoint: tuple[str, int]) -> None:
        """Drop a packet."""

    def send_to_owner(self, packet: bytes, host: str, hops: int) -> None:
        """Drop a packet."""

    def reset_caller(self, packet: bytes) -> None:
        """Drop a packet."""

    def query_flow(self, hosts: list[str], flow: int) -> None:
        """Ask nobody."""


def measure_forwarding() -> list[Figure]:
    """Return forwarded packets a second against a bare relay of the same run."""
    ratios = []
    processor_ratios = []
    for _ in range(ROUNDS):
        bare = _pass_packets("bare-udp")
        ours = _pass_packets("packet-tier")
        ratios.append(bare.elapsed / ours.elapsed)
        processor_ratios.append(bare.processor / ours.processor)
    ratio = sorted(ratios)[ROUNDS // 2]
    processor_ratio = sorted(processor_ratios)[ROUNDS // 2]
    return [
        _aimed("forwarded packets a second, ratio to a bare relay", ratio, 0.7),
        Figure(
            name="processor time a packet, bare relay over packet tier",
            value=processor_ratio,
            unit="ratio",
        ),
    ]


def measure_decisions() -> list[Figure]:
    """Return packet decisions a second, also as a share of reading headers."""
    packets = _packets(PACKET_FLOWS)
    now = time.monotonic()
    metrics = Metrics()
    router = _single_router(metrics, now)
    began = time.perf_counter()
    for number in range(DECISIONS):
        read_header(packets[number % PACKET_FLOWS])
    reading = time.perf_counter() - began
    began = time.perf_counter()
    for number in range(DECISIONS):
        router.packet_from_fabric(packets[number % PACKET_FLOWS], now)
    deciding = time.perf_counter() - began
    return [
        Figure(
            name="packet decisions a second on one core",
            value=DECISIONS / deciding,
            unit="1/s",
        ),
        Figure(
            name="packet decisions, ratio to reading headers alone",
            value=reading / deciding,
            unit="ratio",
        ),
    ]


def measure_flow_memory() -> list[Figure]:
    """Return resident bytes for each open flow, in a process of its own."""
    receiver, sender = multiprocessing.Pipe(duplex=False)
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_fill_flows, args=(sender,))
    process.start()
    grown: int = receiver.recv()
    process.join()
    bytes_each = grown / MEMORY_FLOWS
    return [
        Figure(
            name=f"resident bytes for each of {MEMORY_FLOWS} open flows",
            value=bytes_each,
            unit="bytes",
            aim=f"at most {FLOW_BYTES_AIM}",
            is_met=bytes_each <= FLOW_BYTES_AIM,
        )
    ]


def measure_requests() -> list[Figure]:
    """Return requests a second against a bare HTTP relay of the same run."""
    service = ServicePlan(
        name="bench",
        address="192.0.2.30",
        port=8090,
        tier="requests",
        target_zones=("zone-a",) * REQUEST_TARGETS,
        service_seconds=0.0,
        cold_seconds=0.0,
        slots=REQUEST_CONNECTIONS,
        cold_slots=REQUEST_CONNECTIONS,
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
    names = [deployment.start_target(service, z) for z in service.target_zones]
    deployment.wait_until_ready([service])
    targets = [deployment.target_address(name) for name in names]
    entry = (deployment.entry_host("entry-1"), service.port)
    ratios = []
    processor_ratios = []
    ours = None
    with _relay_process("bare-http", targets) as (process_id, port):
        for _ in range(ROUNDS):
            bare = _pass_requests(("127.0.0.1", port), process_id)
            ours = _pass_requests(entry, deployment.process_id("entry-1"))
            ratios.append(bare.elapsed / ours.elapsed)
            processor_ratios.append(bare.processor / ours.processor)
    assert ours is not None and ours.latencies is not None
    ratio = sorted(ratios)[ROUNDS // 2]
    figures = [
        _aimed("requests a second, ratio to a bare relay", ratio, REQUEST_RATIO_AIM),
        Figure(
            name="processor time a request, bare relay over gateway",
            value=sorted(processor_ratios)[ROUNDS // 2],
            unit="ratio",
        ),
        Figure(
            name="requests a second through one gateway",
            value=REQUESTS / ours.elapsed,
            unit="1/s",
        ),
        Figure(
            name="gateway processor seconds a request",
            value=ours.processor / REQUESTS,
            unit="s",
        ),
    ]
    for quantile in (50.0, 99.0, 99.9):
        value = ours.latencies.get_value_at_percentile(quantile) / 1000
        figures.append(Figure(name=f"request p{quantile:g}", value=value, unit="ms"))
    return figures


def _aimed(name: str, value: float, aim: float) -> Figure:
    return Figure(
        name=name, value=value, unit="ratio", aim=f"{aim} or more", is_met=value >= aim
    )


def _packets(count: int) -> list[bytes]:
    flows = make_flows(count, SERVICE_ADDRESS, SERVICE_PORT, random.Random(1))
    return [flow.packet(payload=b"x" * 64) for flow in flows]


def _single_router(metrics: Metrics, now: float) -> PacketRouter:
    zones = {"entry-1": "zone-a"}
    router = PacketRouter("entry-1", NullPacketTransport(), metrics, zones, 300.0, now)
    router.update_services([packet_service()])
    records = [packet_target("127.0.0.1", 9, f"target-{n}") for n in range(7)]
    router.update_targets(records, frozenset())
    router.update_owners(["entry-1"], now)
    return router


def _fill_flows(result: Connection) -> None:
    now = time.monotonic()
    router = _single_router(Metrics(), now)
    flows = make_flows(1000, SERVICE_ADDRESS, SERVICE_PORT, random.Random(1))
    warm = [flow.opening() for flow in flows]
    for packet in warm:
        router.packet_from_fabric(packet, now)
    template = bytearray(warm[0])
    gc.collect()
    before = resident_bytes(os.getpid())
    for number in range(MEMORY_FLOWS):
        template[12:16] = (0x0B000000 + number).to_bytes(4, "big")
        router.packet_from_fabric(bytes(template), now)
    gc.collect()
    result.send(resident_bytes(os.getpid()) - before)


@contextlib.contextmanager
def _relay_process(kind: str, targets: list[str]) -> Iterator[tuple[int, int]]:
    port = _free_port(kind)
    module = "kingcuppulley.experiments.relay"
    command = [sys.executable, "-m", module, kind, str(port), *targets]
    process = subprocess.Popen(command)
    try:
        time.sleep(SETTLE_SECONDS)
        yield process.pid, port
    finally:
        process.terminate()
        process.wait()


def _free_port(kind: str) -> int:
    of_kind = socket.SOCK_STREAM if kind == "bare-http" else socket.SOCK_DGRAM
    with socket.socket(socket.AF_INET, of_kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _pass_packets(kind: str) -> Passage:
    packets = _packets(PACKET_FLOWS)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind(("127.0.0.1", 0))
        sink.settimeout(2.0)
        target = f"127.0.0.1:{sink.getsockname()[1]}"
        with _relay_process(kind, [target]) as (process_id, port):
            _exchange(sink, ("127.0.0.1", port), packets, PACKET_FLOWS)
            processor = processor_seconds(process_id)
            began = time.perf_counter()
            _exchange(sink, ("127.0.0.1", port), packets, PACKETS)
            elapsed = time.perf_counter() - began
            return Passage(elapsed, processor_seconds(process_id) - processor)


def _exchange(
    sink: socket.socket, relay: tuple[str, int], packets: list[bytes], count: int
) -> None:
    sent = 0
    received = 0
    while received < count:
        while sent < count and sent - received < PACKET_WINDOW:
            sink.sendto(packets[sent % len(packets)], relay)
            sent += 1
        sink.recv(2048)
        received += 1


def _pass_requests(address: tuple[str, int], process_id: int) -> Passage:
    histogram = HdrHistogram(1, 60_000_000, 3)
    asyncio.run(_request_all(address, REQUESTS // 6, HdrHistogram(1, 60_000_000, 3)))
    processor = processor_seconds(process_id)
    began = time.perf_counter()
    asyncio.run(_request_all(address, REQUESTS, histogram))
    elapsed = time.perf_counter() - began
    return Passage(elapsed, processor_seconds(process_id) - processor, histogram)


async def _request_all(
    address: tuple[str, int], count: int, histogram: HdrHistogram
) -> None:
    share = count // REQUEST_CONNECTIONS
    await asyncio.gather(
        *(_request_some(address, share, histogram) for _ in range(REQUEST_CONNECTIONS))
    )


async def _request_some(
    address: tuple[str, int], count: int, histogram: HdrHistogram
) -> None:
    reader, writer = await asyncio.open_connection(*address)
    for _ in range(count):
        began = time.perf_counter()
        writer.write(b"GET /stock HTTP/1.1\r\nHost: desk\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length:")[2].split(b"\r\n")[0]
        await reader.readexactly(int(length))
        if b" 200 " not in head[:16]:
            raise RuntimeError(f"a measured request was refused: {head!r}")
        histogram.record_value(max(1, int((time.perf_counter() - began) * 1e6)))
    writer.close()
    await writer.wait_closed()
