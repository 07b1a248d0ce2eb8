"""Simulate callers, backend servers and operators, and check what they observe.

The callers send packets to the entry hosts, the backend servers send heartbeats, and
the operators submit and read configurations. Every violation of a promise is recorded
as a finding.
"""

from __future__ import annotations

import asyncio
import json
import math
import re
import socket
import struct
import time
from http.client import HTTPConnection, HTTPException
from random import Random

from tests.soak.deployment import (
    CONTROL_PORT,
    METRICS_PORT,
    PACKET_PORT,
    RUN_OCTET,
    Deployment,
    Node,
)
from tests.soak.proxy import ControlProxy

# The header of all packets: to entry hosts, to backend servers and to callers. Its
# fields 3 to 8 are the destination port, the source address, the source port, the
# destination address, the cookie and the flags.
HEADER = struct.Struct("!IIIH4sH4sIB3sH")
SYN, FIN, ACK, RST = 8, 32, 64, 128
CALLER_ADDRESS = f"127.33.{RUN_OCTET}.1"
SERVICES = {"desk": ("198.18.0.1", 443), "store": ("198.18.0.2", 443)}
CALL_TIMEOUT_SECONDS = 1.5
# One version in so many names routes beyond what one message can carry.
LARGE_CONFIGURATION_INTERVAL = 4
LARGE_CONFIGURATION_ROUTES = 5_000


class Flow:
    """One flow of the caller, and the server and cookie that it was placed with.

    `carriers` are the entry hosts that a bulk flow was sent through, or the one that
    another flow was opened through. `packets` holds the data packets that the caller
    sent, by sequence number, and `unacknowledged` has the numbers of those that did
    not reach the server.
    """

    def __init__(self, port: int, service: str, entry: Node) -> None:
        self.port = port
        self.service = service
        self.server: Server | None = None
        self.cookie = 0
        self.carriers = [entry]
        self.packets: dict[int, bytes] = {}
        self.unacknowledged: set[int] = set()
        self.asked_at = time.monotonic()
        self.opened_at = self.completed_at = math.inf

    def __str__(self) -> str:
        names = ", ".join(node.name for node in self.carriers)
        left = f"{len(self.unacknowledged)} of {len(self.packets)} packets left"
        return f"port {self.port} through {names}, {left}"


class Server(asyncio.DatagramProtocol):
    """One backend server: it sends heartbeats and checks the packets it receives."""

    def __init__(
        self, environment: SimulatedEnvironment, number: int, service: str
    ) -> None:
        self.environment = environment
        self.service = service
        self.packet_identity = number + 1
        self.name = f"i-{self.packet_identity:08x}"
        self.address = f"127.32.{RUN_OCTET}.{number + 1}"
        self.zone = f"zone-{'abc'[number % 3]}"
        self.sequence = 0
        self.incarnation = int(time.time() * 1000)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if int.from_bytes(data[:8], "big") != self.packet_identity:
            self.environment.record_violation("a packet names another server")
            return
        header = HEADER.unpack(data[8 : 8 + HEADER.size])
        port, address, flags, cookie = header[5], header[6], header[8], header[7]
        if (socket.inet_ntoa(address), header[3]) != SERVICES[self.service]:
            self.environment.record_violation("a packet of another service")
        self.environment.check_packet(self, port, flags, cookie)
        if header[10]:
            self.environment.check_data(self, port, header[0], data[8:])

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.sequence += 1
            body = {
                "service": self.service,
                "addr": f"{self.address}:{PACKET_PORT}",
                "zone": self.zone,
                "version": "v1",
                "slots": 50,
                "state": "ready",
                "warmup_left_ms": 0,
                "seq": self.sequence,
                "born": self.incarnation,
            }
            await self.environment.call(
                "POST", f"/kingcuppulley/targets/{self.name}/heartbeat", body
            )
            await asyncio.sleep(0.4)


class Caller(asyncio.DatagramProtocol):
    """The caller of all flows: it may receive only resets, and none of an open flow."""

    def __init__(self, environment: SimulatedEnvironment) -> None:
        self.environment = environment

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        header = HEADER.unpack(data[: HEADER.size])
        flow = self.environment.flows.get(header[3])
        if header[8] != RST:
            self.environment.record_violation("a caller got a packet that is no reset")
        elif flow is not None and flow.server is not None:
            self.environment.record_violation("a reset hit an open flow")
        self.environment.resets += 1


class SimulatedEnvironment:
    """Everything outside the system under test, and the findings about it.

    `asked` counts the flows that callers began, and `opened` those that a server
    received. `completed` counts the bulk flows that completed, and `undisturbed` those
    of them whose time was checked. `reads` counts the configurations read, and
    `acknowledged` is the newest version that was accepted.
    """

    def __init__(self, deployment: Deployment, random: Random) -> None:
        self.deployment = deployment
        self.random = random
        self.findings: list[str] = []
        self.flows: dict[int, Flow] = {}
        self.acknowledged = 0
        self.submitted_version = 0
        self.opened = 0
        self.completed = 0
        self.undisturbed = 0
        self.asked = 0
        self.resets = 0
        self.reads = 0
        self.proxies = {
            node.address: ControlProxy(number, node.address)
            for number, node in enumerate(deployment.controls)
        }
        self._last_caller_port = 20_000
        self._transports: list[asyncio.DatagramTransport] = []
        self._tasks: list[asyncio.Task[None]] = []

    def record_violation(self, description: str) -> None:
        """Record a broken promise as a finding, with the time."""
        self.findings.append(f"{time.time():.3f} {description}")

    async def start(self, servers: int) -> None:
        """Open the sockets and start the callers, servers and operators."""
        loop = asyncio.get_running_loop()
        caller, _ = await loop.create_datagram_endpoint(
            lambda: Caller(self), local_addr=(CALLER_ADDRESS, PACKET_PORT)
        )
        self._transports.append(caller)
        for proxy in self.proxies.values():
            await proxy.start()
        for number in range(servers):
            server = Server(self, number, list(SERVICES)[number % 2])
            transport, _ = await loop.create_datagram_endpoint(
                lambda server=server: server, local_addr=(server.address, PACKET_PORT)
            )
            self._transports.append(transport)
            self.start_task(server.send_heartbeats())
        self.start_task(self._put_configurations())
        self.start_task(self._read_configurations())
        self.start_task(self._open_flows())

    async def stop(self) -> None:
        """Cancel all tasks and close all sockets."""
        # Packets that are still in flight no longer belong to a flow and are ignored.
        self.flows.clear()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for transport in self._transports:
            transport.close()
        for proxy in self.proxies.values():
            proxy.stop()

    async def call(self, method: str, path: str, body: object = None, host: str = ""):
        """Call a control host through its proxy and return the status and the body.

        The status is 0 if no answer arrived within CALL_TIMEOUT_SECONDS. The host is
        chosen at random unless it is given.
        """
        host = host or self.random.choice(self.deployment.controls).address
        data = json.dumps(body).encode() if body is not None else b""
        request_head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        request_head += f"Content-Length: {len(data)}\r\n\r\n"
        writer = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                proxy = self.proxies[host]
                reader, writer = await asyncio.open_connection(
                    proxy.address, CONTROL_PORT
                )
                writer.write(request_head.encode() + data)
                answer = await reader.read()
        except (TimeoutError, OSError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()
        answer_head, _, content = answer.partition(b"\r\n\r\n")
        return (int(answer_head.split()[1]) if answer_head else 0), content

    def check_packet(self, server: Server, port: int, flags: int, cookie: int) -> None:
        """Record the server of a new flow; check that later packets reach it too."""
        flow = self.flows.get(port)
        if flow is None:
            return
        if flags == SYN:
            if flow.server is None:
                flow.server = server
                flow.cookie = cookie
                flow.opened_at = time.monotonic()
                flow.carriers[-1].record_opened_flow(flow.asked_at)
                self.opened += 1
        elif flow.server is not server:
            expected_name = flow.server.name if flow.server is not None else "none"
            self.record_violation(
                f"a packet of an open flow reached another server: port {port}, "
                f"flags {flags}, mark {cookie:#x} of {flow.cookie:#x}, "
                f"{server.name} in place of {expected_name}"
            )

    def check_data(
        self, server: Server, port: int, sequence: int, packet: bytes
    ) -> None:
        """Check that a data packet is what the caller sent, and acknowledge it."""
        flow = self.flows.get(port)
        if flow is None:
            return
        if flow.packets.get(sequence) != packet:
            self.record_violation(f"a data packet {sequence} was changed: {flow}")
        elif flow.server is server and sequence in flow.unacknowledged:
            flow.unacknowledged.remove(sequence)
            if not flow.unacknowledged:
                flow.completed_at = time.monotonic()
                self.completed += 1

    def check_metrics(self) -> None:
        """Check that no process counted an error, and that bulk data was queued."""
        queued_packets = 0
        for node in self.deployment.nodes:
            counts = read_counters(node)
            queued_packets += counts.get("egress_queued", 0)
            for name, count in counts.items():
                if count and (name == "callbacks_failed" or "malformed" in name):
                    self.record_violation(f"{node.name} counted {count} {name}")
        if not queued_packets:
            self.record_violation("no packet was queued for a link")

    def start_task(self, coroutine) -> None:
        """Run a coroutine until the environment stops."""
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def _make_configuration(self) -> dict[str, object]:
        routes = [
            {
                "name": name,
                "host": host,
                "path_prefix": f"/{port}/",
                "type": "safe",
                "timeout_ms": 1000 + self.submitted_version,
                "slo_ms": 100,
                "priority": 1,
                "service": name,
            }
            for name, (host, port) in SERVICES.items()
        ]
        if self.submitted_version % LARGE_CONFIGURATION_INTERVAL == 0:
            routes += self._make_unused_routes()
        services = [{"name": name, "warmup_s": 0.5} for name in SERVICES]
        return {
            "version": self.submitted_version,
            "routes": routes,
            "services": services,
        }

    def _make_unused_routes(self) -> list[dict[str, object]]:
        """Return so many routes that no message can carry the configuration."""
        return [
            {
                "name": f"{self.random.getrandbits(64):016x}",
                "host": f"198.18.{1 + number // 200}.{1 + number % 200}",
                "path_prefix": "/443/",
                "timeout_ms": 1000,
                "service": next(iter(SERVICES)),
            }
            for number in range(LARGE_CONFIGURATION_ROUTES)
        ]

    async def _put_configurations(self) -> None:
        while True:
            self.submitted_version += self.random.randint(1, 3)
            body = self._make_configuration()
            status = 0
            while status != 200:
                status, _ = await self.call("POST", "/kingcuppulley/config/put", body)
                if 400 <= status < 500:
                    self.record_violation(
                        f"a valid configuration was refused with {status}"
                    )
                await asyncio.sleep(0.05)
            self.acknowledged = max(self.acknowledged, self.submitted_version)
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def _read_configurations(self) -> None:
        while True:
            await self.read_configuration("")
            await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def read_configuration(self, host: str) -> bool:
        """Read the configuration and check that its version is not outdated.

        Return whether there was an answer.
        """
        acknowledged_before = self.acknowledged
        status, body = await self.call("GET", "/kingcuppulley/config/get", None, host)
        if status != 200:
            return False
        self.reads += 1
        version = json.loads(body)["version"]
        if version < acknowledged_before:
            self.record_violation(
                f"version {version} was read after {acknowledged_before} was accepted"
            )
        return True

    async def _open_flows(self) -> None:
        while True:
            self._open_flow()
            await asyncio.sleep(0.01)

    def add_flow(self, entry: Node) -> Flow:
        """Return a new flow of a random service, for which nothing was sent yet."""
        self._last_caller_port = 20_000 + (self._last_caller_port - 19_999) % 40_000
        service = self.random.choice(list(SERVICES))
        flow = Flow(self._last_caller_port, service, entry)
        self.flows[flow.port] = flow
        self.asked += 1
        return flow

    def _open_flow(self) -> None:
        flow = self.add_flow(self.random.choice(self.deployment.entries))
        self.send(flow, SYN, flow.carriers[0])
        loop = asyncio.get_running_loop()
        for delay, flags in ((0.1, ACK), (0.4, ACK), (1.0, ACK), (1.2, FIN | ACK)):
            loop.call_later(delay, self._send_if_open, flow, flags)
        loop.call_later(4.0, self.flows.pop, flow.port, None)

    def _send_if_open(self, flow: Flow, flags: int) -> None:
        if flow.server is not None and self.flows.get(flow.port) is flow:
            self.send(flow, flags, self.random.choice(self.deployment.entries))

    def send(
        self,
        flow: Flow,
        flags: int,
        entry: Node,
        sequence: int = 1,
        acknowledgement: int = 0,
        data: bytes = b"",
    ) -> None:
        """Send a packet of a flow to an entry host, and keep it if it has data."""
        host, port = SERVICES[flow.service]
        packet = HEADER.pack(
            sequence,
            acknowledgement,
            7,
            port,
            socket.inet_aton(CALLER_ADDRESS),
            flow.port,
            socket.inet_aton(host),
            flow.cookie,
            flags,
            b"\0\0\0",
            len(data),
        )
        if data:
            packet = flow.packets[sequence] = packet + data
        self._transports[0].sendto(packet, (entry.address, PACKET_PORT))


def read_counters(node: Node) -> dict[str, int]:
    """Return the counters of a process by name; none if it does not answer."""
    connection = HTTPConnection(node.address, METRICS_PORT, timeout=1.0)
    try:
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    except (OSError, HTTPException):
        return {}
    finally:
        connection.close()
    counters = re.findall(r"^kingcuppulley_(\w+)_total (\d+)$", text, re.MULTILINE)
    return {name: int(count) for name, count in counters}
