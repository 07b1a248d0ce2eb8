"""Read and write the platform's packets."""

from __future__ import annotations

import struct

from kingcuppulley.errors import MalformedPacketError
from kingcuppulley.fabric.formats import FlowPacket

_HEAD = struct.Struct("!IIIH4sH4sIB3sH")
_COOKIE = struct.Struct("!I")
_LENGTH = struct.Struct("!H")
_COOKIE_OFFSET = 24
_COOKIE_END = 28
_FLAGS_OFFSET = 28
_LENGTH_OFFSET = 32
_FLOW = slice(12, 24)
_ADDRESS = slice(20, 24)
_PORT = slice(12, 14)
_ACKNOWLEDGED = struct.Struct("!I")
_ACKNOWLEDGED_OFFSET = 4

MAXIMUM_DATA_BYTES = 1_200

# A caller repeats its opening packet so long after the first, and gives up at the end.
_COPIES_AFTER_SECONDS = (0.0, 0.2, 0.6)
_OPENING_SECONDS = 1.4

_SYN = 8
_FIN = 32
_ACK = 64
_RST = 128
_BOUNCED = 4
_KNOWN_FLAGS = _SYN | _FIN | _ACK | _RST | _BOUNCED
_ENDS = _FIN | _RST


class PlatformPackets:
    """Read the platform's packets for the router, and write its resets."""

    __slots__ = ()

    @property
    def opening_timeout_seconds(self) -> float:
        """Return after how many seconds without an answer a caller gives up."""
        return _OPENING_SECONDS

    def read(self, packet: bytes) -> FlowPacket:
        """Return what a packet says, or raise `MalformedPacketError`."""
        if len(packet) < _HEAD.size:
            raise MalformedPacketError("the packet is shorter than its header")
        flags = packet[_FLAGS_OFFSET]
        if flags & ~_KNOWN_FLAGS:
            raise MalformedPacketError(f"the packet carries unknown flags {flags:#x}")
        (length,) = _LENGTH.unpack_from(packet, _LENGTH_OFFSET)
        if length > MAXIMUM_DATA_BYTES or length != len(packet) - _HEAD.size:
            raise MalformedPacketError("the packet's length does not fit its data")
        # A SYN+ACK is written by backend servers only, so a caller's one is forged.
        if flags & _SYN and flags & ~(_SYN | _BOUNCED):
            raise MalformedPacketError("an opening packet carries other flags")
        opens_flow = bool(flags & _SYN)
        retransmission = 0
        if opens_flow:
            # On an opening packet `ack` counts the copies that went before.
            (retransmission,) = _ACKNOWLEDGED.unpack_from(packet, _ACKNOWLEDGED_OFFSET)
        (cookie,) = _COOKIE.unpack_from(packet, _COOKIE_OFFSET)
        return FlowPacket(
            packet[_FLOW],
            packet[_ADDRESS] + packet[_PORT],
            opens_flow,
            bool(flags & _ENDS),
            retransmission,
            cookie,
        )

    def retransmission_due_seconds(self, retransmission: int) -> float:
        """Return how many seconds after the first packet the next copy is due."""
        later = retransmission + 1
        if later < len(_COPIES_AFTER_SECONDS):
            return _COPIES_AFTER_SECONDS[later]
        return _OPENING_SECONDS

    def opening_age_seconds(self, retransmission: int) -> float:
        """Return how many seconds before a copy the caller began to open its flow."""
        return _COPIES_AFTER_SECONDS[
            min(retransmission, len(_COPIES_AFTER_SECONDS) - 1)
        ]

    def to_target(self, packet: bytes, packet_identity: bytes, cookie: int) -> bytes:
        """Return the datagram that carries a packet to one backend server."""
        return b"".join(
            (
                packet_identity,
                packet[:_COOKIE_OFFSET],
                _COOKIE.pack(cookie),
                packet[_COOKIE_END:],
            )
        )

    def reset(self, flow: bytes) -> tuple[bytes, str]:
        """Return a reset of a flow and the caller's address that it goes to."""
        port, source, source_port, address = struct.unpack("!H4sH4s", flow)
        packet = _HEAD.pack(
            0, 0, 0, source_port, address, port, source, 0, _RST, b"\0\0\0", 0
        )
        return packet, ".".join(str(octet) for octet in source)
