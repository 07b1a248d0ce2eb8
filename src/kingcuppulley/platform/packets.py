"""Read and write the platform's packets."""

from __future__ import annotations

import struct

from kingcuppulley.errors import MalformedPacketError
from kingcuppulley.fabric.formats import FlowPacket

# The fields in order: the sequence number, the acknowledgement, 4 bytes that are not
# read, the destination's port, the source's address and port, the destination's
# address, the cookie, the flags, 3 bytes that are not read, and the data's length.
_HEADER = struct.Struct("!IIIH4sH4sIB3sH")
_COOKIE = struct.Struct("!I")
_SEQUENCE = struct.Struct("!I")
_LENGTH = struct.Struct("!H")
_COOKIE_OFFSET = 24
_COOKIE_END = 28
_FLAGS_OFFSET = 28
_LENGTH_OFFSET = 32
_FLOW_SLICE = slice(12, 24)
# The fields of a flow in order: the destination's port, the source's address and port,
# and the destination's address.
_FLOW = struct.Struct("!H4sH4s")
_FLOW_PORT_SLICE = slice(0, 2)
_FLOW_ADDRESS_SLICE = slice(8, 12)
_CALLED_ADDRESS_SLICE = slice(20, 24)
_CALLED_PORT_SLICE = slice(12, 14)
_ACKNOWLEDGEMENT = struct.Struct("!I")
_ACKNOWLEDGEMENT_OFFSET = 4

MAXIMUM_DATA_BYTES = 1_200

# A caller sends its opening packet at these times, counted from the first packet.
_OPENING_SEND_TIMES_SECONDS = (0.0, 0.2, 0.6)
# After this long without an answer to its first opening packet, a caller times out.
_OPENING_TIMEOUT_SECONDS = 1.4

_SYN = 8
_FIN = 32
_ACK = 64
_RST = 128
_BOUNCED = 4
_KNOWN_FLAGS = _SYN | _FIN | _ACK | _RST | _BOUNCED
_END_FLAGS = _FIN | _RST


class PlatformPackets:
    """Read the platform's packets for the router, and write its resets."""

    __slots__ = ()

    @property
    def opening_timeout_seconds(self) -> float:
        """Return after how many seconds without an answer a caller times out."""
        return _OPENING_TIMEOUT_SECONDS

    def read(self, packet: bytes) -> FlowPacket:
        """Return the fields of a packet, or raise `MalformedPacketError`."""
        if len(packet) < _HEADER.size:
            raise MalformedPacketError("the packet is shorter than its header")
        flags = packet[_FLAGS_OFFSET]
        if flags & ~_KNOWN_FLAGS:
            raise MalformedPacketError(f"the packet has unknown flags {flags:#x}")
        (length,) = _LENGTH.unpack_from(packet, _LENGTH_OFFSET)
        if length > MAXIMUM_DATA_BYTES or length != len(packet) - _HEADER.size:
            raise MalformedPacketError("the length field does not match the data")
        # Only backend servers send SYN+ACK, so one that comes from a caller is forged.
        if flags & _SYN and flags & ~(_SYN | _BOUNCED):
            raise MalformedPacketError("the opening packet has FIN, ACK or RST set")
        opens_flow = bool(flags & _SYN)
        retransmission = 0
        if opens_flow:
            # The acknowledgement field of an opening packet counts how often the caller
            # sent the packet before.
            (retransmission,) = _ACKNOWLEDGEMENT.unpack_from(
                packet, _ACKNOWLEDGEMENT_OFFSET
            )
        (cookie,) = _COOKIE.unpack_from(packet, _COOKIE_OFFSET)
        (sequence,) = _SEQUENCE.unpack_from(packet)
        return FlowPacket(
            packet[_FLOW_SLICE],
            packet[_CALLED_ADDRESS_SLICE] + packet[_CALLED_PORT_SLICE],
            opens_flow,
            bool(flags & _END_FLAGS),
            retransmission,
            cookie,
            length > 0,
            sequence,
        )

    def identify_flow(
        self, route: tuple[bytes, int], caller: tuple[bytes, int]
    ) -> tuple[bytes, bytes]:
        """Return the flow and the route key of a caller's packets to a route.

        Both are given as a packed IPv4 address and a port.
        """
        flow = _FLOW.pack(route[1], *caller, route[0])
        return flow, flow[_FLOW_ADDRESS_SLICE] + flow[_FLOW_PORT_SLICE]

    def retransmission_due_seconds(self, retransmission: int) -> float:
        """Return how many seconds after the first packet the next one is due.

        After the last retransmission, return when the caller times out.
        """
        next_retransmission = retransmission + 1
        if next_retransmission < len(_OPENING_SEND_TIMES_SECONDS):
            return _OPENING_SEND_TIMES_SECONDS[next_retransmission]
        return _OPENING_TIMEOUT_SECONDS

    def opening_age_seconds(self, retransmission: int) -> float:
        """Return how many seconds after the first packet a retransmission is sent."""
        return _OPENING_SEND_TIMES_SECONDS[
            min(retransmission, len(_OPENING_SEND_TIMES_SECONDS) - 1)
        ]

    def to_target(self, packet: bytes, packet_identity: bytes, cookie: int) -> bytes:
        """Return the datagram that sends a packet to one backend server.

        The server's identity goes before the packet, and `cookie` into its header.
        """
        return b"".join(
            (
                packet_identity,
                packet[:_COOKIE_OFFSET],
                _COOKIE.pack(cookie),
                packet[_COOKIE_END:],
            )
        )

    def reset(self, flow: bytes) -> tuple[bytes, str]:
        """Return a reset for a flow and the address of the caller to send it to."""
        called_port, caller_address, caller_port, called_address = _FLOW.unpack(flow)
        packet = _HEADER.pack(
            0,
            0,
            0,
            caller_port,
            called_address,
            called_port,
            caller_address,
            0,
            _RST,
            b"\0\0\0",
            0,
        )
        return packet, ".".join(str(octet) for octet in caller_address)
