"""Stand in for a backend server: announces itself, starts cold, sheds and drains.

It speaks HTTP for requests and takes encapsulated packets over UDP.  It keeps its own
account of what it was given, which is what promises are judged by: every request that
ran, the most that ran at a time, and every packet with the service it was meant for.
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

ANNOUNCE_SECONDS = 0.5
PLAN_CHUNK_BYTES = 16_384
PLAN_CHUNK_SECONDS = 0.02
GRACE_SECONDS = 0.5


class BackendServerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold every setting of one stand-in.

    `cold_seconds` is how long it stays cold after its start, and `falls_cold_after`
    the seconds after which it falls back without a word; 0 means never.
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


class Account(msgspec.Struct, kw_only=True):
    """Count what a backend server was given, for the promises to be judged by."""

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
    """Serve requests within the slots that are borne now."""

    isLeaf = True  # noqa: N815

    def __init__(self, settings: BackendServerSettings, reactor: Any) -> None:
        super().__init__()
        self._settings = settings
        self._reactor = reactor
        self._generator = random.Random(settings.seed)
        self._started_at = time.monotonic()
        self._incarnation = int(time.time() * 1000)
        self._running: set[Request] = set()
        self._flows: set[int] = set()
        self._bookings: Counter[str] = Counter()
        self._is_draining = False
        pool = HTTPConnectionPool(reactor, persistent=False)
        self._agent = Agent(reactor, connectTimeout=1.0, pool=pool)
        self._next_host = settings.seed
        self.account = Account(
            name=settings.name, service=settings.service, zone=settings.zone
        )

    @property
    def is_cold(self) -> bool:
        """Return whether the server is in cold start."""
        age = time.monotonic() - self._started_at
        if age < self._settings.cold_seconds:
            return True
        fall = self._settings.falls_cold_after
        return bool(fall) and fall <= age < fall + self._settings.cold_seconds

    @property
    def _fell_at(self) -> float:
        fall = self._settings.falls_cold_after
        age = time.monotonic() - self._started_at
        return self._started_at + fall if fall and age >= fall else 0.0

    @property
    def bears(self) -> int:
        """Return how many requests the server bears at this moment."""
        return self._settings.cold_slots if self.is_cold else self._settings.slots

    def drain(self) -> None:
        """Announce that the server leaves; what runs goes on to its end."""
        self._is_draining = True
        self.announce()

    def announce(self) -> None:
        """Post the announcement to the next entry host."""
        settings = self._settings
        self._next_host += 1
        host = settings.announce_to[self._next_host % len(settings.announce_to)]
        state = "cold" if time.monotonic() - self._started_at < 1 else "warm"
        announcement = {
            "name": settings.name,
            "service": settings.service,
            "zone": settings.zone,
            "host": settings.host,
            "request_port": settings.request_port,
            "packet_port": settings.packet_port,
            "incarnation": self._incarnation,
            # Its word lags and misleads: it says warm long before it is.
            "state": "draining" if self._is_draining else state,
        }
        headers = Headers({"Authorization": [f"Bearer {settings.token}"]})
        producer: Any = BytesProducer(json.dumps(announcement).encode())
        url = f"http://{host}/announcements".encode()
        pending = self._agent.request(b"POST", url, headers, producer)
        pending.addCallback(readBody)
        pending.addErrback(lambda _: None)

    def render(self, request: Request) -> int:
        """Run a request, or shed it when the server bears no more."""
        settings = self._settings
        account = self.account
        attempt = request.getHeader(ATTEMPT_HEADER)
        if attempt is not None:
            request.setHeader(ATTEMPT_HEADER, attempt)
        if request.getHeader("X-Service") not in (None, settings.service):
            account.foreign_requests += 1
        if len(self._running) >= self.bears:
            account.shed += 1
            # What was on its way when the server fell back without a word is not
            # held against anyone; all else is more than the server bore.
            if time.monotonic() > self._fell_at + GRACE_SECONDS:
                account.pushed_past += 1
            request.setResponseCode(503)
            request.setHeader(OUTCOME_HEADER, "not-run")
            request.write(b"shed")
            request.finish()
            return int(NOT_DONE_YET)
        self._running.add(request)
        account.most_at_once = max(account.most_at_once, len(self._running))
        account.received_at.append(time.time())
        account.new_work_at.append(time.time())
        booking = request.getHeader("X-Booking")
        if booking is not None:
            self._bookings[booking] += 1
        spread = self._generator.uniform(0.7, 1.3)
        seconds = settings.service_seconds * spread
        if self.is_cold:
            seconds *= settings.cold_factor
        timer = self._reactor.callLater(seconds, self._answer, request)
        request.notifyFinish().addBoth(self._finished, request, timer)
        return int(NOT_DONE_YET)

    def packet(self, packet: bytes) -> None:
        """Count a packet and whether it was meant for this server's service."""
        account = self.account
        account.packets += 1
        account.received_at.append(time.time())
        header = read_header(packet)
        octets = header.address.to_bytes(4, "big")
        address = ".".join(str(octet) for octet in octets)
        settings = self._settings
        if (address, header.port) != (settings.service_address, settings.service_port):
            account.foreign_packets += 1
        if header.flow not in self._flows:
            self._flows.add(header.flow)
            account.new_work_at.append(time.time())

    def write_account(self, file: Path) -> None:
        """Write the account as JSON."""
        self.account.bookings = dict(self._bookings)
        self.account.flow_identifiers = sorted(self._flows)
        file.write_bytes(msgspec.json.encode(self.account))

    def _answer(self, request: Request) -> None:
        size = int(request.getHeader("X-Answer-Bytes") or self._settings.answer_bytes)
        marker = (request.getHeader("X-Marker") or "").encode()
        body = answer_body(marker, size)
        request.setHeader("Content-Length", str(len(body)))
        self._write_rest(request, body)

    def _write_rest(self, request: Request, body: bytes) -> None:
        if request not in self._running:
            return
        request.write(body[:PLAN_CHUNK_BYTES])
        rest = body[PLAN_CHUNK_BYTES:]
        if rest:
            self._reactor.callLater(PLAN_CHUNK_SECONDS, self._write_rest, request, rest)
        else:
            request.finish()

    def _finished(self, result: object, request: Request, timer: Any) -> None:
        self._running.discard(request)
        if result is None:
            self.account.answered += 1
            return
        self.account.cancelled += 1
        if timer.active():
            timer.cancel()


class PacketReceiver(DatagramProtocol):
    """Take encapsulated packets."""

    def __init__(self, server: BackendServer) -> None:
        self._server = server

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Count one packet."""
        self._server.packet(datagram)


def answer_body(marker: bytes, size: int) -> bytes:
    """Return the answer to a request with a marker, which tells it from all others."""
    digest = hashlib.sha256(marker).hexdigest().encode()
    repeats = size // len(digest) + 1
    return (digest * repeats)[:size]


def run(settings: BackendServerSettings, account_file: Path, reactor: Any) -> None:
    """Run one stand-in until it is told to stop."""
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
    LoopingCall(server.announce).start(ANNOUNCE_SECONDS)

    def stop(_number: int, _frame: object) -> None:
        server.write_account(account_file)
        reactor.callFromThread(reactor.stop)

    def drain(_number: int, _frame: object) -> None:
        reactor.callFromThread(server.drain)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGUSR1, drain)
    reactor.run(installSignalHandlers=False)


def main() -> None:
    """Run with a settings file and an account file as arguments."""
    from twisted.internet import reactor

    data = Path(sys.argv[1]).read_bytes()
    settings = msgspec.json.decode(data, type=BackendServerSettings)
    run(settings, Path(sys.argv[2]), reactor)


if __name__ == "__main__":
    main()
