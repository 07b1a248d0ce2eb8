"""Check the platform's packets against the examples of its documentation."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcuppulley.errors import MalformedPacketError
from kingcuppulley.platform.packets import PlatformPackets

OPENING = bytes.fromhex(
    "11223344 00000000 a1b2c3d5 01bb 64400007 9c41 c6120001 00000000 08 000000 0000"
)
RESET = bytes.fromhex(
    "00000000 00000000 00000000 9c41 c6120001 01bb 64400007 00000000 80 000000 0000"
)
PACKET_IDENTITY = bytes.fromhex("000000007f3a91c2")
FLAGS_OFFSET = 28
SYN, FIN, ACK, RST = 8, 32, 64, 128

packet_format = PlatformPackets()


def with_flags(flags: int) -> bytes:
    packet = bytearray(OPENING)
    packet[FLAGS_OFFSET] = flags
    return bytes(packet)


def test_an_opening_packet_is_read():
    flow_packet = packet_format.read(OPENING)
    assert flow_packet.opens_flow
    assert not flow_packet.ends_flow
    assert flow_packet.retransmission == 0
    assert flow_packet.cookie == 0
    assert flow_packet.route_key == bytes.fromhex("c6120001 01bb")
    assert flow_packet.sequence == 0x11223344


def test_the_retransmission_count_is_read_from_an_opening_packet_only():
    packet = bytearray(OPENING)
    packet[7] = 2
    assert packet_format.read(bytes(packet)).retransmission == 2
    packet[FLAGS_OFFSET] = ACK
    assert packet_format.read(bytes(packet)).retransmission == 0


@pytest.mark.parametrize("flags", [FIN, FIN | ACK, RST])
def test_a_packet_that_ends_a_flow_is_read(flags):
    assert packet_format.read(with_flags(flags)).ends_flow


def test_a_reset_goes_to_the_caller():
    packet, address = packet_format.reset(packet_format.read(OPENING).flow)
    assert packet == RESET
    assert address == "100.64.0.7"


def test_only_the_cookie_of_a_packet_changes_on_its_way_to_a_target():
    datagram = packet_format.to_target(OPENING, PACKET_IDENTITY, 0x01020304)
    assert datagram[:8] == PACKET_IDENTITY
    assert datagram[8:32] == OPENING[:24]
    assert datagram[32:36] == bytes.fromhex("01020304")
    assert datagram[36:] == OPENING[28:]


@pytest.mark.parametrize(
    "packet",
    [
        b"",
        OPENING[:33],
        OPENING + b"more data than the length field states",
        OPENING[:32] + b"\x00\x05" + b"four",
        OPENING[:32] + b"\xff\xff" + bytes(0xFFFF),
        with_flags(SYN | ACK),
        with_flags(SYN | RST),
        with_flags(1),
        with_flags(2),
        with_flags(16),
    ],
)
def test_a_malformed_packet_is_refused(packet):
    with pytest.raises(MalformedPacketError):
        packet_format.read(packet)


@given(st.binary(max_size=1300))
def test_arbitrary_bytes_are_read_or_refused(data):
    try:
        packet_format.read(data)
    except MalformedPacketError:
        pass
