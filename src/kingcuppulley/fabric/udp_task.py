"""Receive and send the packets of the packet tier over UDP sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import dpkt
from twisted.internet.protocol import DatagramProtocol

from kingcuppulley.entry_hosts.membership import HostAddress
from kingcuppulley.entry_hosts.messages import Body, FlowQuery
from kingcuppulley.fabric.router import PacketRouter
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.sender import Sender


class PacketProtocol(DatagramProtocol):
    """Send datagrams over one UDP socket with little overhead.

    Packets are sent through the socket itself.  The `write` of Twisted's transport
    parses the receiver's address again for each datagram, which alone costs as much as
    the routing decision.  The addresses here need no check, because they come from
    checked settings and records.
    """

    def startProtocol(self) -> None:  # noqa: N802
        """Store the send method of the socket that the transport has opened."""
        transport: Any = self.transport
        self.write: Callable[[bytes, tuple[str, int]], object]
        self.write = transport.getHandle().sendto


class FabricSocket(PacketProtocol):
    """Receive packets from the fabric and send packets to backend servers."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.router: PacketRouter | None = None

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Route one packet."""
        if self.router is not None:
            self.router.packet_from_fabric(datagram, self._clock())


class HostSocket(PacketProtocol):
    """Exchange packets with other entry hosts, each prefixed with a byte of hops."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.router: PacketRouter | None = None

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Route one packet that another host forwarded to this host as the owner."""
        if self.router is not None and datagram:
            hops = datagram[0]
            self.router.packet_from_host(datagram[1:], hops, self._clock())


class UdpPacketTransport:
    """Send the router's packets over the two sockets and its queries to peers."""

    def __init__(
        self,
        fabric_socket: FabricSocket,
        host_socket: HostSocket,
        hosts: list[HostAddress],
        return_address: tuple[str, int],
        sender: Sender[Body],
        metrics: Metrics,
    ) -> None:
        self._fabric_socket = fabric_socket
        self._host_socket = host_socket
        self._addresses = {host.name: (host.host, host.packet_port) for host in hosts}
        self._return_address = return_address
        self._sender = sender
        self._metrics = metrics

    def send_to_target(self, packet: bytes, endpoint: tuple[str, int]) -> None:
        """Send a packet to a backend server."""
        self._write(self._fabric_socket, packet, endpoint)

    def send_to_owner(self, packet: bytes, host: str, hops: int) -> None:
        """Send a packet to the entry host that owns its flow."""
        self._write(self._host_socket, bytes((hops,)) + packet, self._addresses[host])

    def reset_caller(self, packet: bytes) -> None:
        """Send a TCP reset through the fabric; for a UDP datagram, do nothing."""
        reset = build_reset(packet)
        if reset is not None:
            self._write(self._fabric_socket, reset, self._return_address)

    def query_flow(self, hosts: list[str], flow: int) -> None:
        """Query other entry hosts for the target of a flow."""
        for host in hosts:
            self._sender.send(host, FlowQuery(flow))

    def _write(
        self, socket: PacketProtocol, data: bytes, address: tuple[str, int]
    ) -> None:
        try:
            socket.write(data, address)
        except OSError:
            # The socket buffer is full or the host unreachable.  The network may lose
            # the packet just as well, so it is only counted.
            self._metrics.count("packets_not_written")


def build_reset(packet: bytes) -> bytes | None:
    """Return the TCP reset that answers a packet, or None if none should be sent."""
    received = dpkt.ip.IP(packet)
    segment = received.data
    if not isinstance(segment, dpkt.tcp.TCP) or segment.flags & dpkt.tcp.TH_RST:
        return None
    reset = dpkt.tcp.TCP(
        sport=segment.dport,
        dport=segment.sport,
        seq=segment.ack,
        ack=(segment.seq + 1) & 0xFFFFFFFF,
        flags=dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK,
    )
    answer = dpkt.ip.IP(src=received.dst, dst=received.src, p=6, data=reset)
    answer.len = 20 + len(reset)
    return bytes(answer)
