"""Load generators that send requests and packets to the entry hosts of a deployment.

`RequestLoad` simulates callers of the request tier and records their answers.
`PacketLoad` simulates the fabric with callers of the packet tier and records resets.
"""

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

# Interval at which both generators send.
TICK_SECONDS = 0.02


class RequestKind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of request that callers send at a constant rate.

    A booking is sent as a POST request. A keyed request carries an idempotency key,
    and `repeat_share` is the share of keyed requests that are sent twice.
    """

    service: str
    port: int
    is_booking: bool
    is_keyed: bool
    answer_bytes: int
    timeout_seconds: float
    per_second: float
    repeat_share: float = 0.0


class RequestLoad:
    """Send requests at a constant rate to entry hosts that are chosen at random."""

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
        self._request_numbers = itertools.count(1)
        self._due_times = [0.0 for _ in kinds]
        self._ticker = LoopingCall(self._tick)
        pool = HTTPConnectionPool(reactor, persistent=False)
        self._agent = Agent(reactor, connectTimeout=2.0, pool=pool)
        self._open_count = 0
        self.events: list[RequestEvent] = []

    @property
    def open_count(self) -> int:
        """Return how many requests are still in progress."""
        return self._open_count

    def start(self) -> None:
        """Start to send; the first request of each kind is due immediately."""
        self._due_times = [time.monotonic() for _ in self._kinds]
        self._ticker.start(TICK_SECONDS)

    def stop(self) -> None:
        """Stop sending. Requests in progress continue until they end."""
        self._ticker.stop()

    def _tick(self) -> None:
        now = time.monotonic()
        for index, kind in enumerate(self._kinds):
            while self._due_times[index] <= now:
                self._due_times[index] += 1.0 / kind.per_second
                self._send_new(kind)

    def _send_new(self, kind: RequestKind) -> None:
        number = next(self._request_numbers)
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
        """Send a request, or repeat one with the same booking and key."""
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
        self._open_count += 1
        exchange = _RequestExchange(self, kind, booking, key, host)
        pending = self._agent.request(method, url, headers, body)
        pending.addCallbacks(exchange.handle_response, exchange.handle_failure)

    def record_end(self, event: RequestEvent) -> None:
        """Record a request that ended."""
        self._open_count -= 1
        self.events.append(event)


class _RequestExchange(TwistedProtocol):
    """Receive the answer to one request and record how the request ended."""

    def __init__(
        self, load: RequestLoad, kind: RequestKind, booking: str, key: str, host: str
    ) -> None:
        self._load = load
        self._kind = kind
        self._booking = booking
        self._key = key
        self._host = host
        self._reason = ""
        self._sent_at = time.time()
        self._status = 0
        self._outcome = ""
        self._body_chunks: list[bytes] = []

    def handle_response(self, response: Any) -> None:
        """Read the status and headers, then receive the body."""
        self._status = response.code
        outcomes = response.headers.getRawHeaders("Kingcuppulley-Outcome", [""])
        self._outcome = outcomes[0]
        response.deliverBody(self)

    def handle_failure(self, failure: Failure) -> None:
        """Record that the connection ended without an answer."""
        self._reason = repr(failure.value)
        self._record(is_whole=False)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk of the body."""
        self._body_chunks.append(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Record the end of the request; a truncated body counts as no answer."""
        is_whole = reason is not None and reason.check(ResponseDone) is not None
        if not is_whole:
            self._status = 0
            self._reason = repr(reason.value) if reason is not None else ""
        self._record(is_whole)

    def _record(self, is_whole: bool) -> None:
        expected = answer_body(self._booking.encode(), self._kind.answer_bytes)
        self._load.record_end(
            RequestEvent(
                service=self._kind.service,
                is_booking=self._kind.is_booking,
                booking=self._booking,
                key=self._key,
                asked_at=self._sent_at,
                ended_at=time.time(),
                deadline=self._sent_at + self._kind.timeout_seconds,
                status=self._status,
                outcome=self._outcome,
                is_whole=is_whole,
                is_own=b"".join(self._body_chunks) == expected,
                host=self._host,
                reason=self._reason,
            )
        )


class PacketLoad(DatagramProtocol):
    """Send each packet of long flows to a random entry host, as the fabric does."""

    def __init__(
        self,
        flows: list[CallerFlow],
        addresses: Callable[[], list[tuple[str, int]]],
        packets_per_second: float,
        generator: random.Random,
    ) -> None:
        self._flows = flows
        self._flow_packets = [flow.packet() for flow in flows]
        self._addresses = addresses
        self._packets_per_tick = max(1, math.ceil(packets_per_second * TICK_SECONDS))
        self._generator = generator
        self._ticker = LoopingCall(self._tick)
        self._next_packet_index = 0
        self._reset_flow_hashes: set[int] = set()

    @property
    def reset_flows(self) -> list[int]:
        """Return the hashes of the flows that were reset."""
        return sorted(self._reset_flow_hashes)

    def start(self) -> None:
        """Open every flow, then send packets on all flows in turn."""
        for flow in self._flows:
            self._send(flow.opening_packet())
        self._ticker.start(TICK_SECONDS, now=False)

    def stop(self) -> None:
        """Stop sending."""
        self._ticker.stop()

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Record the flow of a reset that the system sends to a caller.

        Packets without a valid header are ignored.
        """
        try:
            read_header(datagram)
        except MalformedPacketError:
            return
        self._reset_flow_hashes.add(_hash_reversed_flow(datagram))

    def _tick(self) -> None:
        for _ in range(self._packets_per_tick):
            self._next_packet_index = (self._next_packet_index + 1) % len(
                self._flow_packets
            )
            self._send(self._flow_packets[self._next_packet_index])

    def _send(self, packet: bytes) -> None:
        transport: Any = self.transport
        transport.write(packet, self._generator.choice(self._addresses()))


def wait(reactor: Any, seconds: float) -> Deferred[None]:
    """Return a deferred that fires after `seconds`."""
    deferred: Deferred[None] = Deferred()
    reactor.callLater(seconds, deferred.callback, None)
    return deferred


def _hash_reversed_flow(packet: bytes) -> int:
    # A reset travels to the caller. Swapping its addresses and ports gives the header
    # of the caller's own packets, whose hash identifies the flow.
    reversed_packet = bytearray(packet)
    reversed_packet[12:16], reversed_packet[16:20] = packet[16:20], packet[12:16]
    reversed_packet[20:22], reversed_packet[22:24] = packet[22:24], packet[20:22]
    return read_header(bytes(reversed_packet)).flow
