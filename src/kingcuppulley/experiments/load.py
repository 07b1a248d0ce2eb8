"""Put load on a deployment as callers and the fabric would, and record the answers."""

from __future__ import annotations

import itertools
import math
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone, readBody
from twisted.web.http_headers import Headers

from kingcuppulley.backend_servers.http_client import BytesProducer
from kingcuppulley.callers.gateway import KEY_ISSUE_PATH
from kingcuppulley.errors import MalformedPacketError
from kingcuppulley.experiments.history import RequestEvent
from kingcuppulley.fabric.packet import read_header
from kingcuppulley.stand_ins.backend_server import answer_body
from kingcuppulley.stand_ins.fabric import CallerFlow

TICK_SECONDS = 0.02


class RequestKind(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one kind of request that callers send."""

    service: str
    port: int
    is_booking: bool
    is_keyed: bool
    answer_bytes: int
    timeout_seconds: float
    per_second: float
    repeat_share: float = 0.0


class RequestLoad:
    """Send requests at a steady rate to entry hosts chosen at random."""

    def __init__(
        self,
        reactor: Any,
        kinds: list[RequestKind],
        hosts: Callable[[], list[str]],
        generator: random.Random,
    ) -> None:
        self._reactor = reactor
        self._kinds = kinds
        self._hosts = hosts
        self._generator = generator
        self._serial = itertools.count(1)
        self._due = [0.0 for _ in kinds]
        self._ticker = LoopingCall(self._tick)
        pool = HTTPConnectionPool(reactor, persistent=False)
        self._agent = Agent(reactor, connectTimeout=2.0, pool=pool)
        self._open = 0
        self.events: list[RequestEvent] = []

    @property
    def open_count(self) -> int:
        """Return how many requests have not ended."""
        return self._open

    def start(self) -> None:
        """Begin to send."""
        self._due = [time.monotonic() for _ in self._kinds]
        self._ticker.start(TICK_SECONDS)

    def stop(self) -> None:
        """Stop sending; what is open goes on to its end."""
        self._ticker.stop()

    def _tick(self) -> None:
        now = time.monotonic()
        for index, kind in enumerate(self._kinds):
            while self._due[index] <= now:
                self._due[index] += 1.0 / kind.per_second
                self._send_new(kind)

    def _send_new(self, kind: RequestKind) -> None:
        number = next(self._serial)
        booking = f"b{number}-{self._generator.randrange(1 << 30)}"
        if kind.is_keyed:
            self._fetch_key(kind, booking)
        else:
            self.send(kind, booking, "")

    def _fetch_key(self, kind: RequestKind, booking: str) -> None:
        host = self._generator.choice(self._hosts())
        url = f"http://{host}:{kind.port}{KEY_ISSUE_PATH.decode()}".encode()
        pending = self._agent.request(b"GET", url)
        pending.addCallback(readBody)
        pending.addCallback(lambda key: self._send_keyed(kind, booking, key.decode()))
        pending.addErrback(lambda _: None)

    def _send_keyed(self, kind: RequestKind, booking: str, key: str) -> None:
        self.send(kind, booking, key)
        if self._generator.random() < kind.repeat_share:
            delay = self._generator.uniform(0.0, 0.3)
            self._reactor.callLater(delay, self.send, kind, booking, key)

    def send(self, kind: RequestKind, booking: str, key: str) -> None:
        """Send one request, or a repeat of one."""
        host = self._generator.choice(self._hosts())
        method = b"POST" if kind.is_booking else b"GET"
        headers = Headers(
            {
                "X-Marker": [booking],
                "X-Service": [kind.service],
                "X-Answer-Bytes": [str(kind.answer_bytes)],
                "Request-Timeout": [f"{kind.timeout_seconds}"],
            }
        )
        if kind.is_booking:
            headers.setRawHeaders("X-Booking", [booking])
        if key:
            headers.setRawHeaders("Idempotency-Key", [key])
        body: Any = BytesProducer(b"one roll") if kind.is_booking else None
        url = f"http://{host}:{kind.port}/{booking}".encode()
        self._open += 1
        exchange = _Exchange(self, kind, booking, key, host)
        pending = self._agent.request(method, url, headers, body)
        pending.addCallbacks(exchange.head, exchange.lost)

    def ended(self, event: RequestEvent) -> None:
        """Record the end of a request."""
        self._open -= 1
        self.events.append(event)


class _Exchange(TwistedProtocol):
    """Take the answer to one request as its caller."""

    def __init__(
        self, load: RequestLoad, kind: RequestKind, booking: str, key: str, host: str
    ) -> None:
        self._load = load
        self._kind = kind
        self._booking = booking
        self._key = key
        self._host = host
        self._reason = ""
        self._asked_at = time.time()
        self._status = 0
        self._outcome = ""
        self._pieces: list[bytes] = []

    def head(self, response: Any) -> None:
        """Take the status and headers."""
        self._status = response.code
        outcomes = response.headers.getRawHeaders("Kingcuppulley-Outcome", [""])
        self._outcome = outcomes[0]
        response.deliverBody(self)

    def lost(self, failure: Failure) -> None:
        """Take the end of a connection without an answer."""
        self._reason = repr(failure.value)
        self._record(is_whole=False)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a piece of the body."""
        self._pieces.append(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Take the end of the body."""
        is_whole = reason is not None and reason.check(ResponseDone) is not None
        if not is_whole:
            self._status = 0
            self._reason = repr(reason.value) if reason is not None else ""
        self._record(is_whole)

    def _record(self, is_whole: bool) -> None:
        expected = answer_body(self._booking.encode(), self._kind.answer_bytes)
        self._load.ended(
            RequestEvent(
                service=self._kind.service,
                is_booking=self._kind.is_booking,
                booking=self._booking,
                key=self._key,
                asked_at=self._asked_at,
                ended_at=time.time(),
                deadline=self._asked_at + self._kind.timeout_seconds,
                status=self._status,
                outcome=self._outcome,
                is_whole=is_whole,
                is_own=b"".join(self._pieces) == expected,
                host=self._host,
                reason=self._reason,
            )
        )


class PacketLoad(DatagramProtocol):
    """Send packets of long flows, each to any entry host, as the fabric does."""

    def __init__(
        self,
        flows: list[CallerFlow],
        addresses: Callable[[], list[tuple[str, int]]],
        packets_per_second: float,
        generator: random.Random,
    ) -> None:
        self._flows = flows
        self._packets = [flow.packet() for flow in flows]
        self._addresses = addresses
        self._per_tick = max(1, math.ceil(packets_per_second * TICK_SECONDS))
        self._generator = generator
        self._ticker = LoopingCall(self._tick)
        self._next = 0
        self._reset: set[int] = set()

    @property
    def reset_flows(self) -> list[int]:
        """Return the hashes of the flows that were reset."""
        return sorted(self._reset)

    def start(self) -> None:
        """Open every flow, then keep sending on all of them."""
        for flow in self._flows:
            self._send(flow.opening_packet())
        self._ticker.start(TICK_SECONDS, now=False)

    def stop(self) -> None:
        """Stop sending."""
        self._ticker.stop()

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Take a reset, which names its flow by the answer's turned addresses."""
        try:
            read_header(datagram)
        except MalformedPacketError:
            return
        self._reset.add(_turned_flow(datagram))

    def _tick(self) -> None:
        for _ in range(self._per_tick):
            self._next = (self._next + 1) % len(self._packets)
            self._send(self._packets[self._next])

    def _send(self, packet: bytes) -> None:
        transport: Any = self.transport
        transport.write(packet, self._generator.choice(self._addresses()))


def wait(reactor: Any, seconds: float) -> Deferred[None]:
    """Return a deferred that fires after some seconds."""
    deferred: Deferred[None] = Deferred()
    reactor.callLater(seconds, deferred.callback, None)
    return deferred


def _turned_flow(packet: bytes) -> int:
    turned = bytearray(packet)
    turned[12:16], turned[16:20] = packet[16:20], packet[12:16]
    turned[20:22], turned[22:24] = packet[22:24], packet[20:22]
    return read_header(bytes(turned)).flow
