"""Play callers, backend servers and operators, and judge from what they see."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from random import Random

from tests.soak.deployment import CONTROL_PORT, PACKET_PORT, Deployment
from tests.soak.proxy import ControlProxy

HEAD = struct.Struct("!IIIH4sH4sIB3sH")
SYN, FIN, ACK, RST = 8, 32, 64, 128
CALLER = "127.33.0.1"
SERVICES = {"desk": ("198.18.0.1", 443), "store": ("198.18.0.2", 443)}
CALL_SECONDS = 1.5


class Flow:
    """Remember one caller's flow."""

    def __init__(self, port: int, service: str) -> None:
        self.port = port
        self.service = service
        self.server: Server | None = None
        self.cookie = 0


class Server(asyncio.DatagramProtocol):
    """Stand in for one backend server."""

    def __init__(self, world: World, number: int, service: str) -> None:
        self.world = world
        self.service = service
        self.identity = number + 1
        self.name = f"i-{self.identity:08x}"
        self.address = f"127.32.0.{number + 1}"
        self.zone = f"zone-{'abc'[number % 3]}"
        self.sequence = 0
        self.born = int(time.time() * 1000)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if int.from_bytes(data[:8], "big") != self.identity:
            self.world.broken("a packet names another server")
            return
        head = HEAD.unpack(data[8 : 8 + HEAD.size])
        port, address, flags, cookie = head[5], head[6], head[8], head[7]
        if (socket.inet_ntoa(address), head[3]) != SERVICES[self.service]:
            self.world.broken("a packet of another service")
        self.world.reached(self, port, flags, cookie)

    async def announce(self) -> None:
        """Send heartbeats for ever."""
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
                "born": self.born,
            }
            await self.world.call(
                "POST", f"/kingcuppulley/targets/{self.name}/heartbeat", body
            )
            await asyncio.sleep(0.4)


class Caller(asyncio.DatagramProtocol):
    """Take what the system sends to callers: resets, and nothing else."""

    def __init__(self, world: World) -> None:
        self.world = world

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        head = HEAD.unpack(data[: HEAD.size])
        flow = self.world.flows.get(head[3])
        if head[8] != RST:
            self.world.broken("a caller got a packet that is no reset")
        elif flow is not None and flow.server is not None:
            self.world.broken("a reset hit an open flow")
        self.world.resets += 1


class World:
    """Own everything outside the system, and every finding."""

    def __init__(self, deployment: Deployment, random: Random) -> None:
        self.deployment = deployment
        self.random = random
        self.findings: list[str] = []
        self.flows: dict[int, Flow] = {}
        self.acknowledged = 0
        self.version = 0
        self.opened = 0
        self.asked = 0
        self.resets = 0
        self.reads = 0
        self.proxies = {
            node.address: ControlProxy(number, node.address)
            for number, node in enumerate(deployment.controls)
        }
        self._ports = 20_000
        self._transports: list[asyncio.DatagramTransport] = []
        self._tasks: list[asyncio.Task[None]] = []

    def broken(self, what: str) -> None:
        """Note a promise that was broken."""
        self.findings.append(f"{time.time():.3f} {what}")

    async def start(self, servers: int) -> None:
        """Open sockets and begin to call."""
        loop = asyncio.get_running_loop()
        caller, _ = await loop.create_datagram_endpoint(
            lambda: Caller(self), local_addr=(CALLER, PACKET_PORT)
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
            self._begin(server.announce())
        self._begin(self._operate())
        self._begin(self._read())
        self._begin(self._open_flows())

    async def stop(self) -> None:
        """Close everything."""
        # Packets that are still under way belong to no caller any more.
        self.flows.clear()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for transport in self._transports:
            transport.close()
        for proxy in self.proxies.values():
            proxy.stop()

    async def call(self, method: str, path: str, body: object = None, host: str = ""):
        """Call a control host and return the status and body, or 0 if none came."""
        host = host or self.random.choice(self.deployment.controls).address
        data = json.dumps(body).encode() if body is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        writer = None
        try:
            async with asyncio.timeout(CALL_SECONDS):
                proxy = self.proxies[host]
                reader, writer = await asyncio.open_connection(
                    proxy.address, CONTROL_PORT
                )
                writer.write(head.encode() + data)
                answer = await reader.read()
        except (TimeoutError, OSError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()
        top, _, content = answer.partition(b"\r\n\r\n")
        return (int(top.split()[1]) if top else 0), content

    def reached(self, server: Server, port: int, flags: int, cookie: int) -> None:
        """Judge a packet that reached a server."""
        flow = self.flows.get(port)
        if flow is None:
            return
        if flags == SYN:
            if flow.server is None:
                flow.server = server
                flow.cookie = cookie
                self.opened += 1
        elif flow.server is not server:
            own = flow.server.name if flow.server is not None else "none"
            self.broken(
                f"a packet of an open flow reached another server: port {port}, "
                f"flags {flags}, cookie {cookie:#x} of {flow.cookie:#x}, "
                f"{server.name} in place of {own}"
            )

    def _begin(self, work) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def _configuration(self) -> dict[str, object]:
        routes = [
            {
                "name": name,
                "host": host,
                "path_prefix": f"/{port}/",
                "type": "safe",
                "timeout_ms": 1000 + self.version,
                "slo_ms": 100,
                "priority": 1,
                "service": name,
            }
            for name, (host, port) in SERVICES.items()
        ]
        services = [{"name": name, "warmup_s": 0.5} for name in SERVICES]
        return {"version": self.version, "routes": routes, "services": services}

    async def _operate(self) -> None:
        while True:
            self.version += self.random.randint(1, 3)
            body = self._configuration()
            status = 0
            while status != 200:
                status, _ = await self.call("POST", "/kingcuppulley/config/put", body)
                if 400 <= status < 500:
                    self.broken(f"a valid configuration was refused with {status}")
                await asyncio.sleep(0.05)
            self.acknowledged = max(self.acknowledged, self.version)
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def _read(self) -> None:
        while True:
            await self.read_once("")
            await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def read_once(self, host: str) -> bool:
        """Read the configuration, and judge it if there is an answer."""
        at_least = self.acknowledged
        status, body = await self.call("GET", "/kingcuppulley/config/get", None, host)
        if status != 200:
            return False
        self.reads += 1
        version = json.loads(body)["version"]
        if version < at_least:
            self.broken(f"version {version} was read after {at_least} was accepted")
        return True

    async def _open_flows(self) -> None:
        while True:
            self._begin_flow()
            await asyncio.sleep(0.01)

    def _begin_flow(self) -> None:
        self._ports = 20_000 + (self._ports - 19_999) % 40_000
        flow = Flow(self._ports, self.random.choice(list(SERVICES)))
        self.flows[flow.port] = flow
        self.asked += 1
        self._send(flow, SYN)
        loop = asyncio.get_running_loop()
        for delay, flags in ((0.1, ACK), (0.4, ACK), (1.0, ACK), (1.2, FIN | ACK)):
            loop.call_later(delay, self._send_if_open, flow, flags)
        loop.call_later(4.0, self.flows.pop, flow.port, None)

    def _send_if_open(self, flow: Flow, flags: int) -> None:
        if flow.server is not None and self.flows.get(flow.port) is flow:
            self._send(flow, flags)

    def _send(self, flow: Flow, flags: int) -> None:
        host, port = SERVICES[flow.service]
        packet = HEAD.pack(
            1,
            0,
            7,
            port,
            socket.inet_aton(CALLER),
            flow.port,
            socket.inet_aton(host),
            flow.cookie,
            flags,
            b"\0\0\0",
            0,
        )
        entry = self.random.choice(self.deployment.entries)
        self._transports[0].sendto(packet, (entry.address, PACKET_PORT))
