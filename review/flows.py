"""Clients, targets and the platform's routers, which exchange packets in flows."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import socket
import struct
import time
import zlib

from review.calls import call
from review.deployment import (
    HEARTBEAT_SECONDS,
    CannotRun,
    Deployment,
    Node,
    Record,
)

# seq, ack, sum, dport, src, sport, dst, echo, flags, pad, len.
HEADER = struct.Struct("!IIIH4sH4sIB3sH")
FIN, SYN, RST, ACK = 32, 8, 128, 64
SUM_KEY = 0x5EED
SYN_TIMES_SECONDS = (0.0, 0.2, 0.6)
ATTEMPT_SECONDS = 1.4
DEADLINE_SECONDS = 2.0
RETRIES = 2
RESEND_SECONDS = 0.2
COLD_FACTOR = 1.6
PROBE_SECONDS = 0.5


def build(
    seq: int,
    ack: int,
    source: tuple[bytes, int],
    destination: tuple[bytes, int],
    echo: int,
    flags: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet with its sum."""
    fields = (seq, ack, destination[1], *source, destination[0], flags, data)
    checksum = zlib.crc32(repr(fields).encode(), SUM_KEY)
    return (
        HEADER.pack(
            seq,
            ack,
            checksum,
            destination[1],
            *source,
            destination[0],
            echo,
            flags,
            b"\0\0\0",
            len(data),
        )
        + data
    )


class Packet:
    """The fields of a packet that arrived."""

    def __init__(self, datagram: bytes) -> None:
        fields = HEADER.unpack_from(datagram)
        self.seq, self.ack, self.sum = fields[:3]
        self.source = (fields[4], fields[5])
        self.destination = (fields[6], fields[3])
        self.echo, self.flags = fields[7], fields[8]
        self.data = datagram[HEADER.size :]
        expected = build(
            self.seq,
            self.ack,
            self.source,
            self.destination,
            self.echo,
            self.flags,
            self.data,
        )
        self.is_genuine = struct.unpack_from("!I", expected, 8)[0] == self.sum


class Fabric:
    """The platform's routers: probe entry hosts, and choose one for each packet."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment, self._record = deployment, record
        self._misses = {node.ip: 2 for node in deployment.entries}

    def in_rotation(self, node: Node) -> bool:
        """Return whether an entry host is in rotation."""
        return self._misses[node.ip] < 2

    def choose(self, zone: str, flow: bytes) -> Node:
        """Return the entry host that gets a packet of a flow."""
        entries = self._deployment.entries
        of_zone = [node for node in entries if node.zone == zone]
        nodes = [node for node in of_zone if self.in_rotation(node)]
        if not nodes:
            nodes = [node for node in entries if self.in_rotation(node)] or of_zone
        elif 2 * len(nodes) < len(of_zone):
            nodes = of_zone
        return max(
            nodes, key=lambda node: hashlib.md5(flow + node.ip.encode()).digest()
        )

    async def probe(self, node: Node) -> None:
        """Probe one entry host until cancelled."""
        while True:
            began_at = time.monotonic()
            status, _ = await call(
                node.ip,
                self._deployment.addresses.ready_port,
                "GET",
                "/kingcuppulley/ready",
                timeout=PROBE_SECONDS,
            )
            was_in = self.in_rotation(node)
            self._misses[node.ip] = 0 if status == 200 else self._misses[node.ip] + 1
            if self.in_rotation(node) != was_in:
                state = "in" if not was_in else "out of"
                self._record.write(f"router: {node.name} is {state} rotation")
            passed = time.monotonic() - began_at
            await asyncio.sleep(max(0.0, PROBE_SECONDS - passed))


class _TargetFlow:
    def __init__(self, client: tuple[bytes, int], own_seq: int, next_seq: int) -> None:
        self.client = client
        self.own_seq, self.next_seq = own_seq, next_seq
        self.echo = 0
        self.response: bytes | None = None
        self.is_acknowledged = self.has_ended = False


class Target(asyncio.DatagramProtocol):
    """One target: it sends heartbeats, and runs the requests of its flows."""

    def __init__(
        self,
        world: World,
        number: int,
        service: str,
        zone: str,
        work_seconds: float = 0.022,
        slots: int = 2,
    ) -> None:
        self.world = world
        self.service, self.zone = service, zone
        self.identity = random.getrandbits(40) << 8 | (number + 1)
        self.name = f"i-{self.identity:x}"
        self.ip = world.deployment.addresses.host(31 + number)
        self.state = "ready"
        self.cold_until = 0.0
        self._work_seconds, self._slots_count = work_seconds, slots
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._flows: dict[tuple[object, object], _TargetFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Open the socket."""
        port = self.world.deployment.addresses.packet_port
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    async def send_heartbeats(self, first_after: float) -> None:
        """Send heartbeats until cancelled."""
        await asyncio.sleep(first_after)
        controls = self.world.deployment.controls
        node = random.randrange(len(controls))
        while True:
            began_at = time.monotonic()
            for _ in controls:
                status = await self._heartbeat(controls[node])
                if 200 <= status < 300:
                    break
                node = (node + 1) % len(controls)
            passed = time.monotonic() - began_at
            await asyncio.sleep(max(0.1, HEARTBEAT_SECONDS - passed))

    async def _heartbeat(self, control: Node) -> int:
        self._sequence += 1
        now = self.world.record.now()
        cold_ms = max(0, round((self.cold_until - now) * 1000))
        port = self.world.deployment.addresses.packet_port
        body = {
            "service": self.service,
            "addr": f"{self.ip}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots_count,
            "state": self.state,
            "warmup_left_ms": cold_ms,
            "seq": self._sequence,
            "born": self._born,
        }
        status, _ = await call(
            control.ip,
            self.world.deployment.addresses.control_port,
            "POST",
            f"/kingcuppulley/targets/{self.name}/heartbeat",
            json.dumps(body).encode(),
        )
        if cold_ms or self.state != "ready" or status != 200:
            self.world.record.write(
                f"target {self.name}: heartbeat {self._sequence} {self.state}, "
                f"warmup_left_ms {cold_ms}, to {control.name}: {status or 'no answer'}"
            )
        return status

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle one packet."""
        identity = int.from_bytes(data[:8], "big")
        if identity not in (0, self.identity):
            return
        packet = Packet(data[8:])
        if not packet.is_genuine:
            self.world.record.write(f"target {self.name}: a packet with a wrong sum")
            return
        key = (packet.source, packet.destination)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = _TargetFlow(
                    packet.source, random.getrandbits(32), packet.seq + 1 & 0xFFFFFFFF
                )
                self._flows[key] = flow
                self.world.record_arrival(self, packet, addr[0])
            flow.echo = packet.echo
            self._send(flow, packet.destination, flow.own_seq, SYN | ACK)
        elif flow is None:
            if not packet.flags & RST:
                reset = build(0, 0, packet.destination, packet.source, packet.echo, RST)
                self._send_to(reset, packet.source)
        else:
            flow.echo = packet.echo
            self._handle(flow, packet)

    def _handle(self, flow: _TargetFlow, packet: Packet) -> None:
        if packet.flags & RST:
            flow.has_ended = True
        elif packet.data:
            if flow.has_ended:
                reset = build(0, 0, packet.destination, packet.source, flow.echo, RST)
                self._send_to(reset, packet.source)
            elif packet.seq == flow.next_seq:
                flow.next_seq = flow.next_seq + len(packet.data) & 0xFFFFFFFF
                asyncio.get_running_loop().create_task(self._run(flow, packet))
            self._send(flow, packet.destination, flow.own_seq + 1, ACK)
        elif packet.flags & FIN:
            flow.is_acknowledged = flow.has_ended = True
            flow.next_seq = packet.seq + 1 & 0xFFFFFFFF
            size = len(flow.response or b"")
            self._send(flow, packet.destination, flow.own_seq + 1 + size, FIN | ACK)
        elif flow.response is not None:
            if packet.ack == flow.own_seq + 1 + len(flow.response) & 0xFFFFFFFF:
                flow.is_acknowledged = True

    async def _run(self, flow: _TargetFlow, packet: Packet) -> None:
        async with self._slots:
            is_cold = self.world.record.now() < self.cold_until
            await asyncio.sleep(self._work_seconds * (COLD_FACTOR if is_cold else 1))
        try_id = packet.data.split(b"X-Try-Id: ")[1].split(b"\r\n")[0].decode()
        self.world.record_run(self, try_id)
        body = b"x" * 500
        flow.response = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
            b"X-Target-Stamp: " + self.name.encode() + b"\r\n"
            b"Content-Length: 500\r\n\r\n" + body
        )
        pause = RESEND_SECONDS
        for _ in range(9):
            if flow.is_acknowledged or flow.has_ended:
                return
            self._send(flow, packet.destination, flow.own_seq + 1, ACK, flow.response)
            await asyncio.sleep(pause)
            pause = min(2 * pause, 1.6)

    def _send(
        self,
        flow: _TargetFlow,
        own: tuple[bytes, int],
        seq: int,
        flags: int,
        data: bytes = b"",
    ) -> None:
        seq &= 0xFFFFFFFF
        packet = build(seq, flow.next_seq, own, flow.client, flow.echo, flags, data)
        self._send_to(packet, flow.client)

    def _send_to(self, packet: bytes, client: tuple[bytes, int]) -> None:
        assert self._transport is not None
        address = socket.inet_ntoa(client[0])
        port = self.world.deployment.addresses.packet_port
        self._transport.sendto(packet, (address, port))


class _Attempt:
    """One client attempt on one flow."""

    def __init__(self, try_id: str, port: int) -> None:
        self.try_id, self.port = try_id, port
        self.seq = random.getrandbits(32)
        self.target_seq = 0
        self.echo = 0
        self.sent_at: list[float] = []
        self.is_open = False
        self.result: asyncio.Future[str] = asyncio.get_running_loop().create_future()


class Client(asyncio.DatagramProtocol):
    """Clients of one zone: each request has a flow of its own."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        self.world, self.zone = world, zone
        self.ip = world.deployment.addresses.host(51 + number)
        self.attempts: dict[int, _Attempt] = {}
        self.counts: dict[str, int] = {}
        self._address = socket.inet_aton(self.ip)
        self._next_port = 10_000
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Open the socket."""
        port = self.world.deployment.addresses.packet_port
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    async def send_requests(self, per_second: float) -> None:
        """Send requests at a mean rate until cancelled."""
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            next_at += random.expovariate(per_second)
            await asyncio.sleep(max(0.0, next_at - loop.time()))
            loop.create_task(self._request())

    async def _request(self) -> None:
        deadline = asyncio.get_running_loop().time() + DEADLINE_SECONDS
        outcome = "not served"
        for _ in range(1 + RETRIES):
            outcome = await self._attempt(deadline)
            if outcome == "served":
                break
            if asyncio.get_running_loop().time() >= deadline:
                break
        self.counts[outcome] = self.counts.get(outcome, 0) + 1

    async def _attempt(self, deadline: float) -> str:
        self._next_port += 1
        attempt = _Attempt(f"{random.getrandbits(64):016x}", self._next_port)
        self.attempts[attempt.port] = attempt
        opening = asyncio.get_running_loop().create_task(self._open_flow(attempt))
        outcome = "no answer"
        try:
            async with asyncio.timeout_at(deadline):
                outcome = await attempt.result
        except TimeoutError:
            pass
        finally:
            opening.cancel()
        self.world.record.write(
            f"client of {self.zone}: {attempt.try_id} ended: {outcome}"
        )
        return outcome

    async def _open_flow(self, attempt: _Attempt) -> None:
        began_at = asyncio.get_running_loop().time()
        for copy, seconds in enumerate(SYN_TIMES_SECONDS):
            await asyncio.sleep(began_at + seconds - asyncio.get_running_loop().time())
            if attempt.is_open or attempt.result.done():
                break
            attempt.sent_at.append(self.world.record.now())
            self.world.record.write(
                f"client of {self.zone}: {attempt.try_id} opening packet {copy} "
                f"sent from port {attempt.port}"
            )
            self._send(attempt, attempt.seq, copy, SYN)
        else:
            await asyncio.sleep(
                began_at + ATTEMPT_SECONDS - asyncio.get_running_loop().time()
            )
        if not attempt.is_open and not attempt.result.done():
            attempt.result.set_result("not opened")
        request = (
            f"GET /stock HTTP/1.1\r\nHost: desk\r\nX-Try-Id: {attempt.try_id}\r\n\r\n"
        ).encode()
        while not attempt.result.done():
            self._send(attempt, attempt.seq + 1, attempt.target_seq + 1, ACK, request)
            await asyncio.sleep(RESEND_SECONDS)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle one packet."""
        packet = Packet(data)
        attempt = self.attempts.get(packet.destination[1])
        if attempt is None:
            return
        if packet.flags & RST:
            if not attempt.result.done():
                attempt.result.set_result("reset")
            return
        if not packet.is_genuine:
            self.world.record.write(f"client {self.ip}: a packet with a wrong sum")
            return
        if packet.flags & SYN:
            if not attempt.is_open and not attempt.result.done():
                attempt.is_open = True
                attempt.target_seq, attempt.echo = packet.seq, packet.echo
        elif packet.data and packet.seq == attempt.target_seq + 1 & 0xFFFFFFFF:
            request_end = attempt.seq + 1 + 200 & 0xFFFFFFFF
            end = attempt.target_seq + 1 + len(packet.data)
            self._send(attempt, packet.ack or request_end, end, ACK)
            if not attempt.result.done():
                attempt.result.set_result("served")
                self._send(attempt, packet.ack, end, FIN | ACK)

    def _send(
        self, attempt: _Attempt, seq: int, ack: int, flags: int, data: bytes = b""
    ) -> None:
        assert self._transport is not None
        own = (self._address, attempt.port)
        packet = build(
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            own,
            self.world.route,
            attempt.echo,
            flags,
            data,
        )
        flow = self._address + attempt.port.to_bytes(2, "big")
        node = self.world.fabric.choose(self.zone, flow)
        port = self.world.deployment.addresses.packet_port
        self._transport.sendto(packet, (node.ip, port))


class Arrival:
    """An opening packet that a target took."""

    def __init__(
        self, sent_at: float, at: float, target: Target, sender: str, was_cold: bool
    ) -> None:
        self.sent_at, self.at = sent_at, at
        self.target, self.sender, self.was_cold = target, sender, was_cold


class World:
    """All stand-ins of one run, and what they saw."""

    def __init__(
        self, deployment: Deployment, record: Record, route: tuple[str, int]
    ) -> None:
        self.deployment, self.record = deployment, record
        self.route = (socket.inet_aton(route[0]), route[1])
        self.fabric = Fabric(deployment, record)
        self.targets: list[Target] = []
        self.clients: dict[str, Client] = {}
        self.arrivals: list[Arrival] = []
        self.runs: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def run(self, coroutine) -> None:  # type: ignore[no-untyped-def]
        """Run a coroutine until `stop`."""
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def stop(self) -> None:
        """Cancel what `run` started."""
        for task in self._tasks:
            task.cancel()

    def record_arrival(self, target: Target, packet: Packet, sender: str) -> None:
        """Record the opening packet of a flow that a target took."""
        sent_at = self.record.now()
        for client in self.clients.values():
            attempt = client.attempts.get(packet.source[1])
            if socket.inet_aton(client.ip) == packet.source[0] and attempt is not None:
                sent_at = attempt.sent_at[min(packet.ack, len(attempt.sent_at) - 1)]
        now = self.record.now()
        was_cold = now < target.cold_until
        self.arrivals.append(Arrival(sent_at, now, target, sender, was_cold))
        client = f"{socket.inet_ntoa(packet.source[0])} port {packet.source[1]}"
        self.record.write(
            f"target {target.name} of {target.zone}{', cold' if was_cold else ''}: "
            f"took the opening packet of {client} from {sender}"
        )

    def record_run(self, target: Target, try_id: str) -> None:
        """Record that a target ran a request."""
        self.runs[try_id] = self.runs.get(try_id, 0) + 1
        self.record.write(f"target {target.name} of {target.zone}: ran {try_id}")
        if self.runs[try_id] > 1:
            self.record.write(f"target {target.name}: {try_id} ran again")

    async def open(self, targets: list[Target], per_second: dict[str, float]) -> None:
        """Open the sockets, and start heartbeats, probes and each zone's clients."""
        for node in self.deployment.entries:
            self.run(self.fabric.probe(node))
        for target in targets:
            self.targets.append(target)
            await target.open()
            self.run(target.send_heartbeats(random.uniform(0.0, HEARTBEAT_SECONDS)))
        for number, (zone, rate) in enumerate(per_second.items()):
            client = self.clients[zone] = Client(self, number, zone)
            await client.open()
            self.run(client.send_requests(rate))

    async def wait_until_served(self, seconds: float) -> None:
        """Wait until every entry host is in rotation and clients are served."""
        deadline = self.record.now() + seconds
        while self.record.now() < deadline:
            await asyncio.sleep(0.1)
            if all(self.fabric.in_rotation(node) for node in self.deployment.entries):
                if all(c.counts.get("served", 0) > 20 for c in self.clients.values()):
                    return
        raise CannotRun("the deployment did not serve within the time to start")

    def summary(self) -> str:
        """Return how the clients' requests ended, by zone."""
        return "; ".join(
            f"clients of {zone}: {client.counts}"
            for zone, client in self.clients.items()
        )
