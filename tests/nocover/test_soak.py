"""Run a short soak of real processes, and check that its checks can fail."""

from __future__ import annotations

import asyncio
import math
from random import Random

import pytest

from kingcuppulley.entry_hosts.coordinator_table import find_weak_hosts
from kingcuppulley.entry_hosts.seeded_messages import EntryHostInfo
from kingcuppulley.platform.settings import load_settings
from tests.soak import bulk as bulk_module
from tests.soak import simulated_environment as environment_module
from tests.soak import soak as soak_module
from tests.soak.bulk import BulkCallers
from tests.soak.deployment import CONTROL_PORT, Deployment
from tests.soak.proxy import ConnectionFault, ControlProxy
from tests.soak.simulated_environment import (
    ACK,
    HEADER,
    RST,
    SYN,
    Caller,
    Flow,
    Server,
    SimulatedEnvironment,
)
from tests.soak.soak import FaultInjector, soak

SOAK_SECONDS = 5.0


def test_a_short_soak_breaks_no_promise(tmp_path):
    environment = asyncio.run(soak(1, SOAK_SECONDS, tmp_path))
    assert environment.findings == []
    assert environment.opened > 0
    assert environment.reads > 0
    assert environment.undisturbed > 0


@pytest.fixture
def environment(tmp_path) -> SimulatedEnvironment:
    deployment = Deployment(tmp_path, controls=3, entries=4)
    deployment.draw_limits(Random(1))
    # The faults of these tests start no process.
    deployment.stop()
    for node in deployment.entries:
        node.steady_since = 0.0
    return SimulatedEnvironment(deployment, Random(1))


def make_packet(
    port: int,
    flags: int,
    service_address: bytes = bytes([198, 18, 0, 1]),
    data: bytes = b"",
) -> bytes:
    fields = (0, 0, 0, 443, bytes(4), port, service_address, 9, flags, bytes(3))
    return HEADER.pack(*fields, len(data)) + data


def test_a_packet_of_an_open_flow_at_another_server_is_a_finding(environment):
    first, second = Server(environment, 0, "desk"), Server(environment, 2, "desk")
    environment.flows[5] = Flow(5, "desk", environment.deployment.entries[0])
    first.datagram_received(
        first.packet_identity.to_bytes(8, "big") + make_packet(5, SYN), ("", 0)
    )
    assert environment.findings == []
    second.datagram_received(
        second.packet_identity.to_bytes(8, "big") + make_packet(5, ACK), ("", 0)
    )
    assert len(environment.findings) == 1


def test_a_packet_for_another_server_or_service_is_a_finding(environment):
    server = Server(environment, 1, "store")
    server.datagram_received(bytes(7) + b"\x09" + make_packet(5, SYN), ("", 0))
    assert len(environment.findings) == 1
    server.datagram_received(
        server.packet_identity.to_bytes(8, "big") + make_packet(5, SYN), ("", 0)
    )
    assert len(environment.findings) == 2


def test_a_reset_of_an_open_flow_is_a_finding_and_of_a_new_one_is_not(environment):
    # A reset goes to the caller's port; the destination port of `make_packet` is 443.
    flow = Flow(443, "desk", environment.deployment.entries[0])
    environment.flows[443] = flow
    caller = Caller(environment)
    caller.datagram_received(make_packet(9, RST), ("", 0))
    assert environment.findings == []
    flow.server = Server(environment, 0, "desk")
    caller.datagram_received(make_packet(9, RST), ("", 0))
    assert len(environment.findings) == 1


@pytest.mark.parametrize(
    ("number", "data", "findings"), [(0, b"sent", 0), (0, b"else", 1), (2, b"sent", 1)]
)
def test_changed_data_and_data_at_another_server_are_findings_and_not_acknowledged(
    environment, number, data, findings
):
    servers = {number: Server(environment, number, "desk") for number in (0, 2)}
    flow = environment.flows[5] = Flow(5, "desk", environment.deployment.entries[0])
    flow.server = servers[0]
    flow.packets[0] = make_packet(5, ACK, data=b"sent")
    flow.unacknowledged.add(0)
    identity = servers[number].packet_identity.to_bytes(8, "big")
    servers[number].datagram_received(
        identity + make_packet(5, ACK, data=data), ("", 0)
    )
    assert len(environment.findings) == len(flow.unacknowledged) == findings


@pytest.mark.parametrize(
    ("seconds", "flows", "steady_since", "findings"),
    [(1.0, 1, 8.0, 0), (1.2, 1, 8.0, 1), (1.2, 10, 8.0, 0), (9.0, 1, 9.5, 0)],
)
def test_an_undisturbed_bulk_flow_beyond_its_bound_is_a_finding(
    environment, seconds, flows, steady_since, findings
):
    entry = environment.deployment.entries[0]
    entry.steady_since = steady_since
    bulk = BulkCallers(environment, Random(1))
    for port in range(flows):
        flow = Flow(port, "desk", entry)
        flow.packets = dict.fromkeys(range(16), b"")
        flow.asked_at = flow.opened_at = 10.0
        flow.completed_at = 10.0 + seconds
        bulk.flows.append(flow)
    bulk.check_completion(bulk.flows[0])
    assert len(environment.findings) == findings
    assert environment.undisturbed == (steady_since < 9.0)


def test_repeats_pass_a_failed_host_by_and_an_unfinished_flow_is_a_finding(
    environment, monkeypatch
):
    monkeypatch.setattr(bulk_module, "COMPLETION_TIMEOUT_SECONDS", 0.5)
    carriers = []

    def send(flow, flags, entry, *_, **__):
        carriers.append(entry)
        if flags == SYN:
            environment.check_packet(Server(environment, 0, "desk"), flow.port, SYN, 9)
        else:
            environment.deployment.entries[1].steady_since = math.inf

    async def run():
        bulk = BulkCallers(environment, Random(1))
        bulk.open_burst(environment.deployment.entries[1], 1)
        await bulk.finish()
        await environment.stop()

    environment.send = send
    asyncio.run(run())
    assert carriers[0] is environment.deployment.entries[1] is not carriers[-1]
    assert len(environment.findings) == 1


@pytest.mark.parametrize("is_placed", [True, False])
def test_callers_that_are_not_placed_without_the_coordinator_are_findings(
    environment, monkeypatch, is_placed
):
    monkeypatch.setattr(soak_module, "PLACEMENT_TIMEOUT_SECONDS", 0.05)

    def send(flow, flags, *_, **__):
        if is_placed:
            environment.check_packet(Server(environment, 0, "desk"), flow.port, SYN, 9)

    async def run():
        bulk = BulkCallers(environment, Random(1))
        injector = FaultInjector(environment, bulk, Random(1))
        await injector.check_coordinator_failure()
        await environment.stop()

    environment.send = send
    asyncio.run(run())
    assert len(environment.findings) == (0 if is_placed else 4)


@pytest.mark.parametrize(
    ("counts", "findings"),
    [
        ({"egress_queued": 1, "callbacks_failed": 0}, 0),
        ({"egress_queued": 1, "callbacks_failed": 1}, 7),
        ({"egress_queued": 1, "peer_messages_malformed": 1}, 7),
        ({}, 1),
    ],
)
def test_counted_errors_and_an_unused_queue_are_findings(
    environment, monkeypatch, counts, findings
):
    monkeypatch.setattr(environment_module, "read_counters", lambda _: counts)
    environment.check_metrics()
    assert len(environment.findings) == findings


def test_only_the_substitute_is_weak_in_the_zone_of_the_coordinator(environment):
    deployment = environment.deployment
    hosts = []
    for node in (deployment.coordinator, deployment.substitute):
        node.write_settings(deployment.seeds, is_first=True)
        settings = load_settings(str(node.data.parent / "settings.toml"))
        assert 2e6 <= 8 * settings.link_bytes_per_second <= 5e6
        capacity = round(1000 * settings.processor_cores)
        hosts.append(EntryHostInfo(node.address, node.zone, False, capacity))
    assert hosts[0].zone == hosts[1].zone
    assert find_weak_hosts(hosts) == {deployment.substitute.address}


@pytest.mark.parametrize(("version", "findings"), [(4, 1), (5, 0), (6, 0)])
def test_reading_a_version_older_than_the_acknowledged_one_is_a_finding(
    environment, version, findings
):
    async def answer(*_):
        return 200, b'{"version": %d}' % version

    environment.acknowledged = 5
    environment.call = answer
    assert asyncio.run(environment.read_configuration("host"))
    assert len(environment.findings) == findings


def test_a_process_is_not_started_once_the_run_is_over(tmp_path):
    deployment = Deployment(tmp_path, controls=1, entries=1)
    deployment.stop()
    deployment.restore()
    assert not any(node.is_running for node in deployment.nodes)


async def call_through_proxy(
    fault: ConnectionFault,
) -> tuple[bytes | None, list[bytes]]:
    """Return the answer to a call through a proxy, and the requests that arrived."""
    arrived_requests: list[bytes] = []

    async def answer(reader, writer):
        arrived_requests.append(await reader.read(100))
        writer.write(b"answer")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    proxy = ControlProxy(200, "127.0.0.1")
    proxy.forward_to(server.sockets[0].getsockname()[1])
    await proxy.start()
    proxy.fault = fault
    reader, writer = await asyncio.open_connection(proxy.address, CONTROL_PORT)
    writer.write(b"question")
    try:
        async with asyncio.timeout(2.0):
            return await reader.read(), arrived_requests
    except TimeoutError:
        return None, arrived_requests
    except ConnectionResetError:
        return b"reset", arrived_requests
    finally:
        writer.close()
        proxy.stop()
        server.close()


@pytest.mark.parametrize(
    ("fault", "answer", "arrived_requests"),
    [
        (ConnectionFault.NONE, b"answer", [b"question"]),
        (ConnectionFault.DELAYED, b"answer", [b"question"]),
        (ConnectionFault.RESET, b"reset", []),
        (ConnectionFault.ANSWERS_LOST, None, [b"question"]),
        (ConnectionFault.UNRESPONSIVE, None, []),
    ],
)
def test_the_proxy_injects_the_configured_fault(fault, answer, arrived_requests):
    assert asyncio.run(call_through_proxy(fault)) == (answer, arrived_requests)
