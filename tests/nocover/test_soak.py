"""Run a short soak of real processes, and check that its checks can fail."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

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
from tests.soak.soak import soak

SOAK_SECONDS = 5.0


def test_a_short_soak_breaks_no_promise(tmp_path):
    environment = asyncio.run(soak(1, SOAK_SECONDS, tmp_path))
    assert environment.findings == []
    assert environment.opened > 0
    assert environment.reads > 0


@pytest.fixture
def environment(tmp_path) -> SimulatedEnvironment:
    return SimulatedEnvironment(Deployment(tmp_path, controls=3, entries=2), Random(1))


def make_packet(
    port: int, flags: int, service_address: bytes = bytes([198, 18, 0, 1])
) -> bytes:
    fields = (0, 0, 0, 443, bytes(4), port, service_address, 9, flags, bytes(3), 0)
    return HEADER.pack(*fields)


def test_a_packet_of_an_open_flow_at_another_server_is_a_finding(environment):
    first, second = Server(environment, 0, "desk"), Server(environment, 2, "desk")
    environment.flows[5] = Flow(5, "desk")
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
    flow = environment.flows[443] = Flow(443, "desk")
    caller = Caller(environment)
    caller.datagram_received(make_packet(9, RST), ("", 0))
    assert environment.findings == []
    flow.server = Server(environment, 0, "desk")
    caller.datagram_received(make_packet(9, RST), ("", 0))
    assert len(environment.findings) == 1


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
