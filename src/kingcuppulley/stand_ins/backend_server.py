"""A stand-in for a backend server that announces itself, starts cold, sheds and drains.

It serves requests over HTTP and receives encapsulated packets over UDP. It keeps an
account of everything that it receives: every request that ran, the largest number that
ran at a time, and every packet with the service that it was sent to. The promises are
checked against these accounts.

SIGUSR1 starts a drain. SIGTERM writes the account and ends the process.
"""

from __future__ import annotations

import hashlib
import json
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http import Request
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from kingcuppulley.backend_servers.http_client import (
    ATTEMPT_HEADER,
    OUTCOME_HEADER,
    BytesProducer,
)
from kingcuppulley.fabric.packet import read_header

ANNOUNCEMENT_INTERVAL_SECONDS = 0.5
ANSWER_CHUNK_BYTES = 16_384
ANSWER_CHUNK_INTERVAL_SECONDS = 0.02
COLD_RETURN_GRACE_SECONDS = 0.5


class BackendServerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of one stand-in.

    `slots` and `cold_slots` are how many requests it runs at a time when warm and when
    cold. It is cold for `cold_seconds` after its start, and once more, without notice,
    `falls_cold_after` seconds after its start; 0 means never. A request takes
    `service_seconds` on average, and `cold_factor` times as long when it is cold.
    `announce_to` lists the entry hosts, as `host:port`, that get its announcements.
    """

    name: str
    service: str
    zone: str
    host: str
    request_port: int
    packet_port: int
    service_address: str
    service_port: int
    token: str
    announce_to: list[str]
    slots: int = 2
    cold_slots: int = 1
    cold_seconds: float = 2.0
    falls_cold_after: float = 0.0
    service_seconds: float = 0.05
    cold_factor: float = 2.0
    answer_bytes: int = 200
    seed: int = 0


class ServerAccount(msgspec.Struct, kw_only=True):
    """What one backend server received.

    `pushed_past` counts the requests shed above its capacity, except those shortly
    after a return to cold without notice. `most_at_once` is the largest number of
    requests that ran at a time. `foreign_requests` and `foreign_packets` count those
    sent to other services. `bookings` holds how often each booking ran. `received_at`
    holds the time of every request that ran and of every packet, `new_work_at` that of
    every request that ran and of the first packet of each flow. Times are wall-clock
    seconds.
    """

    name: str
    service: str
    zone: str
    answered: int = 0
    cancelled: int = 0
    shed: int = 0
    pushed_past: int = 0
    most_at_once: int = 0
    foreign_requests: int = 0
    foreign_packets: int = 0
    packets: int = 0
    bookings: dict[str, int] = {}
    flow_identifiers: list[int] = []
    received_at: list[float] = []
    new_work_at: list[float] = []


class BackendServer(Resource):
    """Run requests up to the current capacity, shed others, and keep the account."""

    isLeaf = True  # noqa: N815

    def __init__(self, settings: BackendServerSettings, reactor: Any) -> None:
        super().__init__()
        self._settings = settings
        self._reactor = reactor
        self._generator = random.Random(settings.seed)
        self._started_at = time.monotonic()
        self._incarnation = int(time.time() * 1000)
        self._running_requests: set[Request] = set()
        self._seen_flows: set[int] = set()
        self._booking_runs: Counter[str] = Counter()
        self._is_draining = False
        pool = HTTPConnectionPool(reactor, persistent=False)
        self._agent = Agent(reactor, connectTimeout=1.0, pool=pool)
        self._next_host_index = settings.seed
        self.account = ServerAccount(
            name=settings.name, service=settings.service, zone=settings.zone
        )

    @property
    def is_cold(self) -> bool:
        """Return whether the server is cold now."""
        age = time.monotonic() - self._started_at
        if age < self._settings.cold_seconds:
            return True
        cold_after = self._settings.falls_cold_after
        return (
            bool(cold_after)
            and cold_after <= age < cold_after + self._settings.cold_seconds
        )

    @property
    def _returned_to_cold_at(self) -> float:
        cold_after = self._settings.falls_cold_after
        age = time.monotonic() - self._started_at
        return (
            self._started_at + cold_after if cold_after and age >= cold_after else 0.0
        )

    @property
    def capacity(self) -> int:
        """Return how many requests the server can run concurrently now."""
        return self._settings.cold_slots if self.is_cold else self._settings.slots

    def drain(self) -> None:
        """Announce that the server is draining. Running requests still complete."""
        self._is_draining = True
        self.announce()

    def announce(self) -> None:
        """Post the announcement to the next entry host, each host in turn."""
        settings = self._settings
        self._next_host_index += 1
        host = settings.announce_to[self._next_host_index % len(settings.announce_to)]
        state = "cold" if time.monotonic() - self._started_at < 1 else "warm"
        announcement = {
            "name": settings.name,
            "service": settings.service,
            "zone": settings.zone,
            "host": settings.host,
            "request_port": settings.request_port,
            "packet_port": settings.packet_port,
            "incarnation": self._incarnation,
            # The announced state lags and misleads: it becomes warm one second after
            # the start, long before the server is, and stays warm when the server
            # becomes cold again.
            "state": "draining" if self._is_draining else state,
        }
        headers = Headers({"Authorization": [f"Bearer {settings.token}"]})
        producer: Any = BytesProducer(json.dumps(announcement).encode())
        url = f"http://{host}/announcements".encode()
        pending = self._agent.request(b"POST", url, headers, producer)
        pending.addCallback(readBody)
        pending.addErrback(lambda _: None)

    def render(self, request: Request) -> int:
        """Run a request, or shed it with 503 if the server is at its capacity."""
        settings = self._settings
        account = self.account
        attempt = request.getHeader(ATTEMPT_HEADER)
        if attempt is not None:
            request.setHeader(ATTEMPT_HEADER, attempt)
        if request.getHeader("X-Service") not in (None, settings.service):
            account.foreign_requests += 1
        if len(self._running_requests) >= self.capacity:
            account.shed += 1
            # Requests already on their way when the server became cold without notice
            # are not counted. All others exceed the capacity that the server had.
            if time.monotonic() > self._returned_to_cold_at + COLD_RETURN_GRACE_SECONDS:
                account.pushed_past += 1
            request.setResponseCode(503)
            request.setHeader(OUTCOME_HEADER, "not-run")
            request.write(b"shed")
            request.finish()
            return int(NOT_DONE_YET)
        self._running_requests.add(request)
        account.most_at_once = max(account.most_at_once, len(self._running_requests))
        account.received_at.append(time.time())
        account.new_work_at.append(time.time())
        booking = request.getHeader("X-Booking")
        if booking is not None:
            self._booking_runs[booking] += 1
        time_factor = self._generator.uniform(0.7, 1.3)
        seconds = settings.service_seconds * time_factor
        if self.is_cold:
            seconds *= settings.cold_factor
        timer = self._reactor.callLater(seconds, self._answer, request)
        request.notifyFinish().addBoth(self._handle_end, request, timer)
        return int(NOT_DONE_YET)

    def receive_packet(self, packet: bytes) -> None:
        """Count a packet, and whether it was sent to another service."""
        account = self.account
        account.packets += 1
        account.received_at.append(time.time())
        header = read_header(packet)
        octets = header.address.to_bytes(4, "big")
        address = ".".join(str(octet) for octet in octets)
        settings = self._settings
        if (address, header.port) != (settings.service_address, settings.service_port):
            account.foreign_packets += 1
        if header.flow not in self._seen_flows:
            self._seen_flows.add(header.flow)
            account.new_work_at.append(time.time())

    def write_account(self, file: Path) -> None:
        """Write the account to a file as JSON."""
        self.account.bookings = dict(self._booking_runs)
        self.account.flow_identifiers = sorted(self._seen_flows)
        file.write_bytes(msgspec.json.encode(self.account))

    def _answer(self, request: Request) -> None:
        size = int(request.getHeader("X-Answer-Bytes") or self._settings.answer_bytes)
        marker = (request.getHeader("X-Marker") or "").encode()
        body = answer_body(marker, size)
        request.setHeader("Content-Length", str(len(body)))
        self._write_chunk(request, body)

    def _write_chunk(self, request: Request, body: bytes) -> None:
        if request not in self._running_requests:
            return
        request.write(body[:ANSWER_CHUNK_BYTES])
        remainder = body[ANSWER_CHUNK_BYTES:]
        if remainder:
            self._reactor.callLater(
                ANSWER_CHUNK_INTERVAL_SECONDS, self._write_chunk, request, remainder
            )
        else:
            request.finish()

    def _handle_end(self, result: object, request: Request, timer: Any) -> None:
        self._running_requests.discard(request)
        if result is None:
            self.account.answered += 1
            return
        self.account.cancelled += 1
        if timer.active():
            timer.cancel()


class PacketReceiver(DatagramProtocol):
    """Receive encapsulated packets over UDP for a backend server."""

    def __init__(self, server: BackendServer) -> None:
        self._server = server

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Pass one packet to the backend server."""
        self._server.receive_packet(datagram)


def answer_body(marker: bytes, size: int) -> bytes:
    """Return the body of the answer to the request with this marker.

    Bodies of different markers differ, so that a caller detects another request's
    answer.
    """
    digest = hashlib.sha256(marker).hexdigest().encode()
    repeats = size // len(digest) + 1
    return (digest * repeats)[:size]


def run(settings: BackendServerSettings, account_file: Path, reactor: Any) -> None:
    """Run one stand-in until it receives SIGTERM, then write its account."""
    server = BackendServer(settings, reactor)
    reactor.listenTCP(
        settings.request_port, Site(server), interface=settings.host, backlog=512
    )
    reactor.listenUDP(
        settings.packet_port,
        PacketReceiver(server),
        interface=settings.host,
        maxPacketSize=65_536,
    )
    LoopingCall(server.announce).start(ANNOUNCEMENT_INTERVAL_SECONDS)

    def stop(_number: int, _frame: object) -> None:
        server.write_account(account_file)
        reactor.callFromThread(reactor.stop)

    def drain(_number: int, _frame: object) -> None:
        reactor.callFromThread(server.drain)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGUSR1, drain)
    reactor.run(installSignalHandlers=False)


def main() -> None:
    """Run one stand-in; the arguments are its settings file and its account file."""
    from twisted.internet import reactor

    data = Path(sys.argv[1]).read_bytes()
    settings = msgspec.json.decode(data, type=BackendServerSettings)
    run(settings, Path(sys.argv[2]), reactor)


if __name__ == "__main__":
    main()
