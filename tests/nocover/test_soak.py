"""Run a short soak of real processes, and show that its judges can fail."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from tests.soak.deployment import CONTROL_PORT, Deployment
from tests.soak.outside import ACK, HEAD, RST, SYN, Caller, Flow, Server, World
from tests.soak.proxy import ControlProxy, Trouble
from tests.soak.soak import soak

SHORT_SECONDS = 5.0


def test_a_short_soak_breaks_no_promise(tmp_path):
    world = asyncio.run(soak(1, SHORT_SECONDS, tmp_path))
    assert world.findings == []
    assert world.opened > 0
    assert world.reads > 0


@pytest.fixture
def world(tmp_path) -> World:
    return World(Deployment(tmp_path, controls=3, entries=2), Random(1))


def packet(port: int, flags: int, called: bytes = bytes([198, 18, 0, 1])) -> bytes:
    head = (0, 0, 0, 443, bytes(4), port, called, 9, flags, bytes(3), 0)
    return HEAD.pack(*head)


def test_a_packet_of_an_open_flow_at_another_server_is_a_finding(world):
    first, second = Server(world, 0, "desk"), Server(world, 2, "desk")
    world.flows[5] = Flow(5, "desk")
    first.datagram_received(first.identity.to_bytes(8, "big") + packet(5, SYN), ("", 0))
    assert world.findings == []
    second.datagram_received(
        second.identity.to_bytes(8, "big") + packet(5, ACK), ("", 0)
    )
    assert len(world.findings) == 1


def test_a_packet_for_another_server_or_service_is_a_finding(world):
    server = Server(world, 1, "store")
    server.datagram_received(bytes(7) + b"\x09" + packet(5, SYN), ("", 0))
    assert len(world.findings) == 1
    server.datagram_received(
        server.identity.to_bytes(8, "big") + packet(5, SYN), ("", 0)
    )
    assert len(world.findings) == 2


def test_a_reset_of_an_open_flow_is_a_finding_and_of_a_new_one_is_not(world):
    flow = world.flows[443] = Flow(443, "desk")
    caller = Caller(world)
    caller.datagram_received(packet(9, RST), ("", 0))
    assert world.findings == []
    flow.server = Server(world, 0, "desk")
    caller.datagram_received(packet(9, RST), ("", 0))
    assert len(world.findings) == 1


@pytest.mark.parametrize(("version", "findings"), [(4, 1), (5, 0), (6, 0)])
def test_an_older_version_that_is_read_is_a_finding(world, version, findings):
    async def answer(*_):
        return 200, b'{"version": %d}' % version

    world.acknowledged = 5
    world.call = answer
    assert asyncio.run(world.read_once("host"))
    assert len(world.findings) == findings


def test_a_process_is_not_started_once_the_run_is_over(tmp_path):
    deployment = Deployment(tmp_path, controls=1, entries=1)
    deployment.stop()
    deployment.restore()
    assert not any(node.is_running for node in deployment.nodes)


async def call_through(trouble: Trouble) -> tuple[bytes | None, list[bytes]]:
    """Return what a call through a proxy brings back, and what arrived behind it."""
    arrived: list[bytes] = []

    async def answer(reader, writer):
        arrived.append(await reader.read(100))
        writer.write(b"answer")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    proxy = ControlProxy(200, "127.0.0.1")
    proxy.carry_for(server.sockets[0].getsockname()[1])
    await proxy.start()
    proxy.trouble = trouble
    reader, writer = await asyncio.open_connection(proxy.address, CONTROL_PORT)
    writer.write(b"question")
    try:
        async with asyncio.timeout(2.0):
            return await reader.read(), arrived
    except TimeoutError:
        return None, arrived
    except ConnectionResetError:
        return b"reset", arrived
    finally:
        writer.close()
        proxy.stop()
        server.close()


@pytest.mark.parametrize(
    ("trouble", "answer", "arrived"),
    [
        (Trouble.NONE, b"answer", [b"question"]),
        (Trouble.DELAYED, b"answer", [b"question"]),
        (Trouble.RESET, b"reset", []),
        (Trouble.ANSWERS_LOST, None, [b"question"]),
        (Trouble.SILENT, None, []),
    ],
)
def test_the_proxy_spoils_connections_as_it_is_told(trouble, answer, arrived):
    assert asyncio.run(call_through(trouble)) == (answer, arrived)
