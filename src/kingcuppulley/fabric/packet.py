"""Read the headers of an encapsulated packet at their fixed offsets.

The encapsulation is variant 1 of Generic UDP Encapsulation: the UDP payload is the
inner IP packet itself, so nothing is added and nothing is copied.  The entry host
reads seven fields and rewrites none.  A full decode with the codec library builds
one object per header and costs more than the whole relay (docs/design/packets.md has
the ratio).  The hot path therefore reads the fields with `struct` at the offsets that
RFC 791 and RFC 793 fix; tests build packets with the codec library and compare.
"""

from __future__ import annotations

import struct

from kingcuppulley.errors import MalformedPacketError
from kingcuppulley.internal.rendezvous import hash_bytes

TCP = 6
UDP = 17

_MINIMUM_HEADER_BYTES = 20
_TCP_HEADER_BYTES = 20
_UDP_HEADER_BYTES = 8
_TCP_FLAGS_OFFSET = 13
_FLAG_FIN = 0x01
_FLAG_SYN = 0x02
_FLAG_RST = 0x04
_FLAG_ACK = 0x10
_FRAGMENT_MASK = 0x3FFF
_UNPACK_IP = struct.Struct("!BxHxxHxB2xII").unpack_from
_UNPACK_PORTS = struct.Struct("!HH").unpack_from


class PacketHeader:
    """Hold the header fields that the packet tier needs of one packet.

    Attributes
    ----------
    flow : int
        64-bit hash of both addresses, both ports and the protocol.
    address : int
        Destination address.
    port : int
        Destination port.
    protocol : int
        `TCP` or `UDP`.
    opens_flow : bool
        Whether the caller opens the flow with this packet; never for a datagram.
    ends_flow : bool
        Whether the caller ends the flow with this packet; never for a datagram.
    """

    __slots__ = ("flow", "address", "port", "protocol", "opens_flow", "ends_flow")

    def __init__(
        self,
        flow: int,
        address: int,
        port: int,
        protocol: int,
        opens_flow: bool,
        ends_flow: bool,
    ) -> None:
        self.flow = flow
        self.address = address
        self.port = port
        self.protocol = protocol
        self.opens_flow = opens_flow
        self.ends_flow = ends_flow


def read_header(packet: bytes) -> PacketHeader:
    """Return the header of an inner IPv4 packet, or raise `MalformedPacketError`."""
    size = len(packet)
    if size < _MINIMUM_HEADER_BYTES:
        raise MalformedPacketError("the packet is shorter than an IPv4 header")
    version, length, fragment, protocol, _, address = _UNPACK_IP(packet)
    if version >> 4 != 4:
        raise MalformedPacketError("the packet is not IPv4")
    start = (version & 0x0F) * 4
    if start < _MINIMUM_HEADER_BYTES or length > size or fragment & _FRAGMENT_MASK:
        raise MalformedPacketError("the packet is truncated or a fragment")
    if protocol == TCP:
        if length < start + _TCP_HEADER_BYTES:
            raise MalformedPacketError("the TCP header is truncated")
        flags = packet[start + _TCP_FLAGS_OFFSET]
        opens_flow = flags & (_FLAG_SYN | _FLAG_ACK) == _FLAG_SYN
        ends_flow = flags & (_FLAG_FIN | _FLAG_RST) != 0
    elif protocol == UDP:
        if length < start + _UDP_HEADER_BYTES:
            raise MalformedPacketError("the UDP header is truncated")
        opens_flow = False
        ends_flow = False
    else:
        raise MalformedPacketError("the packet is neither TCP nor UDP")
    _, port = _UNPACK_PORTS(packet, start)
    flow = hash_bytes(packet[12:20] + packet[start : start + 4] + packet[9:10])
    return PacketHeader(flow, address, port, protocol, opens_flow, ends_flow)
