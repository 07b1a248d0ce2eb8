"""Define what the cookie router needs of a packet, whatever its format."""

from __future__ import annotations

from typing import Protocol


class FlowPacket:
    """Hold what one packet says of its flow.

    Attributes
    ----------
    flow : bytes
        Called port, caller's address, caller's port and called address, 12 bytes in
        network order; equal for every packet of the flow, and its id in logs.
    service_key : bytes
        Address and port that the caller called.
    copy : int
        How many equal opening packets the caller sent before this one.
    cookie : int
        What the target returned of this system's own cookie; 0 for none.
    """

    __slots__ = (
        "flow",
        "service_key",
        "opens_flow",
        "ends_flow",
        "retransmission",
        "cookie",
    )

    def __init__(
        self,
        flow: bytes,
        service_key: bytes,
        opens_flow: bool,
        ends_flow: bool,
        retransmission: int,
        cookie: int,
    ) -> None:
        self.flow = flow
        self.service_key = service_key
        self.opens_flow = opens_flow
        self.ends_flow = ends_flow
        self.retransmission = retransmission
        self.cookie = cookie


class PacketFormat(Protocol):
    """Read packets from callers and write packets to targets and callers."""

    @property
    def opening_timeout_seconds(self) -> float:
        """Return after how many seconds without an answer a caller gives up."""

    def read(self, packet: bytes) -> FlowPacket:
        """Return what a packet says, or raise `MalformedPacketError`."""

    def opening_age_seconds(self, retransmission: int) -> float:
        """Return how many seconds before a copy the caller began to open its flow."""

    def retransmission_due_seconds(self, retransmission: int) -> float:
        """Return how many seconds after the first packet the next copy is due.

        After the last copy, when the caller gives up.
        """

    def to_target(self, packet: bytes, packet_identity: bytes, cookie: int) -> bytes:
        """Return the datagram that carries a packet to one backend server."""

    def reset(self, flow: bytes) -> tuple[bytes, str]:
        """Return a reset of a flow and the caller's address that it goes to."""
