"""Build the packets of callers that the fabric forwards to entry hosts."""

from __future__ import annotations

import random
import socket

import dpkt

from kingcuppulley.fabric.packet import TCP, UDP


class CallerFlow:
    """One flow from a caller to a service: its addresses, ports and protocol."""

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
        """Return an IPv4 packet of the flow; `flags` is ignored for UDP."""
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
        """Return the packet that opens a TCP flow (SYN)."""
        return self.packet(flags=dpkt.tcp.TH_SYN)

    def closing_packet(self) -> bytes:
        """Return the last packet that the caller sends on a TCP flow (FIN)."""
        return self.packet(flags=dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK)


def make_flows(
    count: int, address: str, port: int, generator: random.Random, protocol: int = TCP
) -> list[CallerFlow]:
    """Return `count` flows to one service, each from another caller address."""
    flows = []
    for number in range(count):
        source = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        source_port = generator.randrange(1024, 65_536)
        flows.append(CallerFlow(source, source_port, address, port, protocol))
    return flows


__all__ = ["TCP", "UDP", "CallerFlow", "make_flows"]
