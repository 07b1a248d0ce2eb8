"""Run one measured process: a bare relay, or the packet tier alone."""

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
TICK_SECONDS = 0.05


class BareUdpRelay(DatagramProtocol):
    """Send every datagram on to one address and do nothing else."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Send one datagram on."""
        transport: Any = self.transport
        transport.write(datagram, self._target)


class BareHttpRelay(Resource):
    """Send every request on to the next of some addresses and do nothing else."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: Any, targets: list[str]) -> None:
        super().__init__()
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 64
        self._agent = Agent(reactor, pool=pool)
        self._targets = targets
        self._next = 0

    def render(self, request: Request) -> int:
        """Send one request on."""
        self._next = (self._next + 1) % len(self._targets)
        url = b"http://" + self._targets[self._next].encode() + request.uri
        headers = Headers({"Host": [request.getHeader("Host") or ""]})
        pending = self._agent.request(request.method, url, headers)
        pending.addCallback(self._answer, request)
        return int(NOT_DONE_YET)

    def _answer(self, response: Any, request: Request) -> None:
        request.setResponseCode(response.code)
        readBody(response).addCallback(self._finish, request)

    def _finish(self, body: bytes, request: Request) -> None:
        request.setHeader("Content-Length", str(len(body)))
        request.write(body)
        request.finish()


class NoSender:
    """Send to nobody, because there is one host."""

    def send(self, host: str, message: object) -> None:
        """Drop a message."""


def run_packet_tier(reactor: Any, port: int, target: tuple[str, int]) -> None:
    """Run the packet tier of a single entry host before one backend server."""
    clock = time.monotonic
    metrics = Metrics()
    own = HostAddress(
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
        fabric_socket, host_socket, [own], ("127.0.0.1", 9), NoSender(), metrics
    )
    zones = {"entry-1": "zone-a"}
    router = PacketRouter("entry-1", transport, metrics, zones, 300.0, clock())
    router.update_services([packet_service()])
    router.update_targets([packet_target(*target)], frozenset())
    router.update_owners(["entry-1"], clock())
    fabric_socket.router = router
    reactor.listenUDP(port, fabric_socket, interface="127.0.0.1")
    LoopingCall(lambda: router.tick(clock())).start(TICK_SECONDS)


def packet_service() -> Service:
    """Return the service that is measured."""
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
    """Run the process that the arguments name: KIND PORT TARGET [TARGET ...]."""
    from twisted.internet import reactor

    kind, port, *targets = sys.argv[1:]
    loop: Any = reactor
    if kind == "bare-http":
        relay = BareHttpRelay(loop, targets)
        loop.listenTCP(int(port), Site(relay), interface="127.0.0.1", backlog=512)
    else:
        host, _, target_port = targets[0].partition(":")
        target = (host, int(target_port))
        if kind == "bare-udp":
            loop.listenUDP(int(port), BareUdpRelay(target), interface="127.0.0.1")
        else:
            run_packet_tier(loop, int(port), target)
    loop.run()


if __name__ == "__main__":
    main()
