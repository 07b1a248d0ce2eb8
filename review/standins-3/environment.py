"""Stand in for callers and backend servers, as PROTOCOL.md describes them.

Servers send heartbeats to the control hosts, answer opening packets, run the requests
of flows that opened at them, and reset flows that they do not hold.  Callers open flows
through the entry hosts, repeat their opening packets, and keep to the first server that
answered.
"""

import asyncio
import json
import os
import random
import socket
import struct
import threading
import time
import zlib

from deployment import CALL_TIMEOUT_SECONDS, HEARTBEAT_MS, request_bytes

HEAD = struct.Struct("!III H4sH4s I B3s H")
SYN, BOUNCED, FIN, ACK, RST = 8, 4, 32, 64, 128
IDENTITY_BYTES = 8
COPY_TIMES_SECONDS = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_SECONDS = 1.4
_KEY = os.urandom(8)


class Packet:
    """Hold the fields of one packet."""

    __slots__ = ("seq", "ack", "src", "sport", "dst", "dport", "echo", "flags", "data")

    def __init__(self, seq, ack, source, destination, echo, flags, data=b""):
        self.seq, self.ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
        self.src, self.sport = source
        self.dst, self.dport = destination
        self.echo, self.flags, self.data = echo, flags, data

    def encode(self):
        fields = struct.pack("!II", self.seq, self.ack) + struct.pack(
            "!H4sH4sBH",
            self.dport,
            socket.inet_aton(self.src),
            self.sport,
            socket.inet_aton(self.dst),
            self.flags & ~BOUNCED,
            len(self.data),
        )
        total = zlib.crc32(_KEY + fields + self.data) or 1
        return (
            HEAD.pack(
                self.seq,
                self.ack,
                total,
                self.dport,
                socket.inet_aton(self.src),
                self.sport,
                socket.inet_aton(self.dst),
                self.echo,
                self.flags,
                b"\0\0\0",
                len(self.data),
            )
            + self.data
        )


def decode(datagram):
    """Return the packet, and whether its sender wrote it so."""
    head = HEAD.unpack_from(datagram)
    seq, ack, total, dport, src, sport, dst, echo, flags, _, length = head
    data = datagram[HEAD.size :]
    packet = Packet(
        seq,
        ack,
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        echo,
        flags,
        data,
    )
    is_genuine = HEAD.unpack_from(packet.encode())[2] == total and len(data) == length
    return packet, is_genuine


class Environment:
    """Run callers and servers in one thread with its own event loop."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.records_flows = True
        self.servers = []
        self.callers = []
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def start(self):
        self._thread.start()

    def record_flow(self, text):
        """Record a step of a flow, unless the case leaves them out for a time."""
        if self.records_flows:
            self.record(text)

    def run(self, coroutine):
        """Run a coroutine in the environment's thread, and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def spawn(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def stop(self):
        async def cancel():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()


class Server(asyncio.DatagramProtocol):
    """One target: its flows, its requests and its heartbeats.

    `controls` are the control hosts that it calls, in this order.
    """

    def __init__(self, environment, name, ip, service, zone, slots=2, work=0.02):
        self.environment = environment
        self.name, self.ip, self.service, self.zone = name, ip, service, zone
        self.slots, self.work = slots, work
        self.identity = int(name.rpartition("-")[2], 16)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.flows = {}
        self.ended = set()
        self.openings = []
        self.runs = []
        self.controls = list(environment.deployment.controls)
        self.transport = None
        environment.servers.append(self)

    async def open(self):
        loop = asyncio.get_running_loop()
        address = (self.ip, self.environment.deployment.packet_port)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def datagram_received(self, data, addr):
        identity = int.from_bytes(data[:IDENTITY_BYTES], "big")
        if identity not in (0, self.identity):
            return
        packet, is_genuine = decode(data[IDENTITY_BYTES:])
        record = self.environment.record
        if not is_genuine:
            record(f"{self.name} got a packet that nobody sent so, from {addr[0]}")
            return
        key = (packet.src, packet.sport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {
                    "seq": random.getrandbits(31),
                    "open": False,
                    "arrived": time.monotonic(),
                    "done": 0,
                }
            self.environment.record_flow(
                f"{self.name} got an opening packet of {key[1]} from {addr[0]}"
            )
            self.openings.append((time.monotonic(), key, addr[0]))
            self._send(packet, flow["seq"], packet.seq + 1, SYN | ACK)
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if flow is None:
            if key in self.ended and packet.flags & FIN and not packet.data:
                self._send(packet, packet.ack, packet.seq + 1, ACK)
                return
            record(f"{self.name} holds no flow {key[1]}: sends RST")
            self._send(packet, packet.ack, 0, RST)
            return
        if not flow["open"] and packet.ack == (flow["seq"] + 1) & 0xFFFFFFFF:
            flow["open"] = True
            self.environment.record_flow(f"flow {key[1]} is open at {self.name}")
        if not flow["open"]:
            return
        if packet.data:
            asyncio.get_running_loop().call_later(
                self.work, self._answer, packet, flow, key
            )
        if packet.flags & FIN:
            self._send(packet, packet.ack, packet.seq + 1, FIN | ACK)
            self.flows.pop(key, None)
            self.ended.add(key)

    def _answer(self, packet, flow, key):
        self.runs.append((time.monotonic(), key, packet.data))
        self.environment.record_flow(f"{self.name} ran a request of {key[1]}")
        body = self.name.encode() + b":" + packet.data
        self._send(packet, packet.ack, packet.seq + len(packet.data), ACK, body)

    def _send(self, packet, seq, ack, flags, data=b""):
        answer = Packet(
            seq,
            ack,
            (packet.dst, packet.dport),
            (packet.src, packet.sport),
            packet.echo,
            flags,
            data,
        )
        self.transport.sendto(
            answer.encode(), (packet.src, self.environment.deployment.packet_port)
        )

    def restart(self, cold_seconds):
        """Start again under the same id, knowing nothing of before."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.seq = 0
        self.state = "ready"
        self.flows.clear()
        self.ended.clear()
        self.cold_until = time.monotonic() + cold_seconds

    async def beat(self):
        """Send one heartbeat; return the control host that acknowledged it."""
        for node in list(self.controls):
            self.seq += 1
            left = max(0.0, self.cold_until - time.monotonic())
            body = {
                "service": self.service,
                "addr": f"{self.ip}:{self.environment.deployment.packet_port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmup_left_ms": round(left * 1000),
                "seq": self.seq,
                "born": self.born,
            }
            path = f"/kingcuppulley/targets/{self.name}/heartbeat"
            status = await call(self.environment.deployment, node, path, body)
            if status == 200:
                return node
        return None

    async def keep_beating(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)


async def call(deployment, node, path, body):
    """Post to a control host; return the status, or 0 without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(
                node.ip, deployment.control_port
            )
            writer.write(request_bytes("POST", path, json.dumps(body).encode()))
            answer = await reader.read()
    except (TimeoutError, OSError):
        return 0
    finally:
        if writer is not None:
            writer.close()
    return int(answer.split()[1]) if answer else 0


class Flow:
    """One flow of a caller.

    `server` is the address of the target that it opened at, by its SYN+ACK.
    """

    def __init__(self, port, route, entry):
        self.port, self.route, self.entry = port, route, entry
        self.began_at = time.monotonic()
        self.seq = random.getrandbits(30)
        self.ack = 0
        self.echo = 0
        self.server = None
        self.opened = asyncio.Event()
        self.answers = []
        self.answered = asyncio.Event()
        self.reset_by = None
        self.is_ended = False


class Caller(asyncio.DatagramProtocol):
    """One client address with its flows."""

    def __init__(self, environment, ip):
        self.environment = environment
        self.ip = ip
        self.flows = {}
        self._next_port = random.randrange(20_000, 40_000)
        self.transport = None
        environment.callers.append(self)

    async def open(self):
        loop = asyncio.get_running_loop()
        address = (self.ip, self.environment.deployment.packet_port)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def datagram_received(self, data, addr):
        packet, is_genuine = decode(data)
        flow = self.flows.get(packet.dport)
        if flow is None or flow.is_ended:
            return
        if packet.flags & RST:
            if flow.reset_by is None:
                flow.reset_by = addr[0]
                state = "open" if flow.opened.is_set() else "not open"
                self.environment.record(
                    f"the caller's flow {flow.port} ({state}) is reset by {addr[0]}"
                )
            flow.answered.set()
            return
        if not is_genuine:
            self.environment.record(f"a forged packet reached the caller from {addr[0]}")
            return
        if packet.flags & SYN:
            if flow.server is None:
                flow.server = addr[0]
                flow.echo = packet.echo
                flow.seq += 1
                flow.ack = packet.seq + 1
                self.send(flow, ACK)
                flow.opened.set()
            return
        if flow.server != addr[0]:
            return
        flow.echo = packet.echo
        if packet.data:
            flow.ack = packet.seq + len(packet.data)
            flow.answers.append(packet.data)
            self.send(flow, ACK)
            flow.answered.set()

    def send(self, flow, flags, data=b"", copy=None):
        """Send a packet through the flow's entry host."""
        packet = Packet(
            flow.seq,
            flow.ack if copy is None else copy,
            (self.ip, flow.port),
            flow.route,
            flow.echo,
            flags,
            data,
        )
        deployment = self.environment.deployment
        self.transport.sendto(packet.encode(), (flow.entry.ip, deployment.packet_port))

    async def open_flow(self, route, entry):
        """Open a flow; return it once it is open, was reset or timed out."""
        self._next_port = 20_000 + (self._next_port - 19_999) % 40_000
        flow = Flow(self._next_port, route, entry)
        self.flows[flow.port] = flow
        for number, at in enumerate(COPY_TIMES_SECONDS):
            remaining = flow.began_at + at - time.monotonic()
            if remaining > 0 and await self._opens(flow, remaining):
                break
            self.send(flow, SYN, copy=number)
        else:
            await self._opens(
                flow, flow.began_at + OPENING_TIMEOUT_SECONDS - time.monotonic()
            )
        return flow

    async def _opens(self, flow, seconds):
        try:
            async with asyncio.timeout(seconds):
                await flow.opened.wait()
        except TimeoutError:
            return False
        return True

    async def request(self, flow, data, timeout=1.5):
        """Send a request on an open flow; return the answer, or None."""
        flow.answered.clear()
        count = len(flow.answers)
        self.send(flow, ACK, data)
        flow.seq += len(data)
        try:
            async with asyncio.timeout(timeout):
                await flow.answered.wait()
        except TimeoutError:
            return None
        return flow.answers[-1] if len(flow.answers) > count else None

    def close_flow(self, flow):
        if flow.server is not None and flow.reset_by is None:
            self.send(flow, FIN | ACK)
        flow.is_ended = True

    async def open_steadily(self, route, entries, per_second, with_request=False):
        """Open flows at a rate, through the entry hosts by turns, until cancelled."""
        number = 0
        tasks = set()
        due = time.monotonic()
        while True:
            entry = entries() if callable(entries) else entries[number % len(entries)]
            number += 1
            task = asyncio.ensure_future(self._short_flow(route, entry, with_request))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += 1 / per_second
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _short_flow(self, route, entry, with_request):
        flow = await self.open_flow(route, entry)
        if flow.opened.is_set():
            if with_request:
                await self.request(flow, b"request")
            self.close_flow(flow)
        flow.is_ended = True
        await asyncio.sleep(2.0)
        self.flows.pop(flow.port, None)
