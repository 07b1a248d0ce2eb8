"""Run one measured process: a bare UDP or HTTP relay, or the packet tier.

A bare relay only forwards; `throughput` uses its rate as the baseline.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http import Request
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from kingcuppulley.backend_servers.records import TargetRecord, TargetState
from kingcuppulley.entry_hosts.membership import HostAddress
from kingcuppulley.fabric.router import PacketRouter
from kingcuppulley.fabric.udp_task import FabricSocket, HostSocket, UdpPacketTransport
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.model import Protocol, Service, Tier

SERVICE_ADDRESS = "192.0.2.20"
SERVICE_PORT = 8443
TICK_INTERVAL_SECONDS = 0.05


class BareUdpRelay(DatagramProtocol):
    """Forward every datagram to one address, without any processing."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Forward one datagram."""
        transport: Any = self.transport
        transport.write(datagram, self._target)


class BareHttpRelay(Resource):
    """Forward requests to the targets in rotation, without any processing."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: Any, targets: list[str]) -> None:
        super().__init__()
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 64
        self._agent = Agent(reactor, pool=pool)
        self._targets = targets
        self._target_index = 0

    def render(self, request: Request) -> int:
        """Forward one request to the next target."""
        self._target_index = (self._target_index + 1) % len(self._targets)
        url = b"http://" + self._targets[self._target_index].encode() + request.uri
        headers = Headers({"Host": [request.getHeader("Host") or ""]})
        deferred = self._agent.request(request.method, url, headers)
        deferred.addCallback(self._write_response, request)
        return int(NOT_DONE_YET)

    def _write_response(self, response: Any, request: Request) -> None:
        request.setResponseCode(response.code)
        readBody(response).addCallback(self._finish, request)

    def _finish(self, body: bytes, request: Request) -> None:
        request.setHeader("Content-Length", str(len(body)))
        request.write(body)
        request.finish()


class NullSender:
    """Drop all messages, for measurements of a single host."""

    def send(self, host: str, message: object) -> None:
        """Drop the message."""


def run_packet_tier(reactor: Any, port: int, target: tuple[str, int]) -> None:
    """Run the packet tier of a single entry host with one backend server."""
    clock = time.monotonic
    metrics = Metrics()
    own_address = HostAddress(
        name="entry-1",
        zone="zone-a",
        host="127.0.0.1",
        peer_port=1,
        control_port=1,
        packet_port=1,
    )
    fabric_socket = FabricSocket(clock)
    host_socket = HostSocket(clock)
    transport = UdpPacketTransport(
        fabric_socket,
        host_socket,
        [own_address],
        ("127.0.0.1", 9),
        NullSender(),
        metrics,
    )
    zones = {"entry-1": "zone-a"}
    router = PacketRouter("entry-1", transport, metrics, zones, 300.0, clock())
    router.update_services([packet_service()])
    router.update_targets([packet_target(*target)], frozenset())
    router.update_owners(["entry-1"], clock())
    fabric_socket.router = router
    reactor.listenUDP(port, fabric_socket, interface="127.0.0.1")
    LoopingCall(lambda: router.tick(clock())).start(TICK_INTERVAL_SECONDS)


def packet_service() -> Service:
    """Return the packet service that the measurements use."""
    return Service(
        account="bench",
        name="bench",
        address=SERVICE_ADDRESS,
        port=SERVICE_PORT,
        protocol=Protocol.TCP,
        tier=Tier.PACKETS,
        zones=("zone-a",),
        slots=2,
        cold_slots=1,
        cold_seconds=0,
        connections=1_000_000,
        announcement_token_hash="",
    )


def packet_target(host: str, port: int, name: str = "target-1") -> TargetRecord:
    """Return a backend server of the measured service."""
    return TargetRecord(
        name=name,
        service="bench/bench",
        zone="zone-a",
        host=host,
        request_port=1,
        packet_port=port,
        state=TargetState.WARM,
        incarnation=1,
    )


def main() -> None:
    """Run the process that the arguments name: KIND PORT TARGET [TARGET ...].

    KIND is "bare-http", "bare-udp" or "packet-tier"; a TARGET is HOST:PORT.
    """
    from twisted.internet import reactor

    kind, port, *targets = sys.argv[1:]
    running_reactor: Any = reactor
    if kind == "bare-http":
        relay = BareHttpRelay(running_reactor, targets)
        running_reactor.listenTCP(
            int(port), Site(relay), interface="127.0.0.1", backlog=512
        )
    else:
        host, _, target_port = targets[0].partition(":")
        target = (host, int(target_port))
        if kind == "bare-udp":
            running_reactor.listenUDP(
                int(port), BareUdpRelay(target), interface="127.0.0.1"
            )
        else:
            run_packet_tier(running_reactor, int(port), target)
    running_reactor.run()


if __name__ == "__main__":
    main()
