"""Define the interface between the cookie router and a packet format."""

from __future__ import annotations

from typing import Protocol


class FlowPacket:
    """Hold the fields that the cookie router needs of one packet.

    Attributes
    ----------
    flow : bytes
        Destination port, caller's address, caller's port and destination address, 12
        bytes in network order; equal for every packet of the flow, and its identifier
        in logs.
    route_key : bytes
        Destination address and port.
    opens_flow : bool
        Whether the caller opens the flow with this packet.
    ends_flow : bool
        Whether the caller ends the flow with this packet.
    retransmission : int
        How many times the caller sent this opening packet before; 0 for the first one.
    cookie : int
        Cookie of the flow's target, which the caller learned from its answer; 0 for
        none.
    has_data : bool
        Whether the packet carries a part of a request.
    sequence : int
        Position of the packet's data in what the caller sends; equal for repeats.
    """

    __slots__ = (
        "flow",
        "route_key",
        "opens_flow",
        "ends_flow",
        "retransmission",
        "cookie",
        "has_data",
        "sequence",
    )

    def __init__(
        self,
        flow: bytes,
        route_key: bytes,
        opens_flow: bool,
        ends_flow: bool,
        retransmission: int,
        cookie: int,
        has_data: bool,
        sequence: int,
    ) -> None:
        self.flow = flow
        self.route_key = route_key
        self.opens_flow = opens_flow
        self.ends_flow = ends_flow
        self.retransmission = retransmission
        self.cookie = cookie
        self.has_data = has_data
        self.sequence = sequence


class PacketFormat(Protocol):
    """Read packets from callers and write packets to targets and callers."""

    @property
    def opening_timeout_seconds(self) -> float:
        """Return after how many seconds without an answer a caller times out."""

    def read(self, packet: bytes) -> FlowPacket:
        """Return the fields of a packet, or raise `MalformedPacketError`."""

    def identify_flow(
        self, route: tuple[bytes, int], caller: tuple[bytes, int]
    ) -> tuple[bytes, bytes]:
        """Return the flow and the route key of a caller's packets to a route.

        Both are given as a packed IPv4 address and a port.
        """

    def opening_age_seconds(self, retransmission: int) -> float:
        """Return how many seconds after the first packet a retransmission is sent."""

    def retransmission_due_seconds(self, retransmission: int) -> float:
        """Return how many seconds after the first packet the next one is due.

        After the last retransmission, return when the caller times out.
        """

    def to_target(self, packet: bytes, packet_identity: bytes, cookie: int) -> bytes:
        """Return the datagram that sends a packet to one backend server."""

    def reset(self, flow: bytes) -> tuple[bytes, str]:
        """Return a reset for a flow and the address of the caller to send it to."""
