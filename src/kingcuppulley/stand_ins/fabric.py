"""Stand in for the fabric: build packets of flows and hand each to any entry host."""

from __future__ import annotations

import random
import socket

import dpkt

from kingcuppulley.fabric.packet import TCP, UDP


class CallerFlow:
    """Hold the addresses of one flow of a caller."""

    __slots__ = ("source", "source_port", "address", "port", "protocol")

    def __init__(
        self, source: str, source_port: int, address: str, port: int, protocol: int
    ) -> None:
        self.source = source
        self.source_port = source_port
        self.address = address
        self.port = port
        self.protocol = protocol

    def packet(self, flags: int = dpkt.tcp.TH_ACK, payload: bytes = b"") -> bytes:
        """Return one packet of the flow; flags go unused for a datagram."""
        if self.protocol == TCP:
            segment = dpkt.tcp.TCP(
                sport=self.source_port, dport=self.port, flags=flags, data=payload
            )
        else:
            segment = dpkt.udp.UDP(
                sport=self.source_port, dport=self.port, data=payload
            )
            segment.ulen = len(segment)
        packet = dpkt.ip.IP(
            src=socket.inet_aton(self.source),
            dst=socket.inet_aton(self.address),
            p=self.protocol,
            data=segment,
        )
        packet.len = len(packet)
        return bytes(packet)

    def opening_packet(self) -> bytes:
        """Return the packet that opens a TCP flow."""
        return self.packet(flags=dpkt.tcp.TH_SYN)

    def closing_packet(self) -> bytes:
        """Return the last packet of a TCP flow's caller."""
        return self.packet(flags=dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK)


def make_flows(
    count: int, address: str, port: int, generator: random.Random, protocol: int = TCP
) -> list[CallerFlow]:
    """Return distinct flows of many callers to one service."""
    flows = []
    for number in range(count):
        source = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        source_port = generator.randrange(1024, 65_536)
        flows.append(CallerFlow(source, source_port, address, port, protocol))
    return flows


__all__ = ["TCP", "UDP", "CallerFlow", "make_flows"]
