"""Check the platform's packets against the examples of its pages."""

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
IDENTITY = bytes.fromhex("000000007f3a91c2")
FLAGS, LENGTH = 28, slice(32, 34)

packets = PlatformPackets()


def with_flags(flags: int) -> bytes:
    packet = bytearray(OPENING)
    packet[FLAGS] = flags
    return bytes(packet)


def test_an_opening_packet_is_read():
    head = packets.read(OPENING)
    assert head.opens_flow
    assert not head.ends_flow
    assert head.retransmission == 0
    assert head.cookie == 0
    assert head.service_key == bytes.fromhex("c6120001 01bb")


def test_the_count_of_copies_is_read_from_an_opening_packet_only():
    copy = bytearray(OPENING)
    copy[7] = 2
    assert packets.read(bytes(copy)).retransmission == 2
    copy[FLAGS] = 64
    assert packets.read(bytes(copy)).retransmission == 0


@pytest.mark.parametrize("flags", [32, 32 | 64, 128])
def test_a_packet_that_ends_a_flow_is_read(flags):
    assert packets.read(with_flags(flags)).ends_flow


def test_a_reset_goes_to_the_caller():
    packet, address = packets.reset(packets.read(OPENING).flow)
    assert packet == RESET
    assert address == "100.64.0.7"


def test_only_the_mark_of_a_packet_changes_on_its_way_to_a_target():
    datagram = packets.to_target(OPENING, IDENTITY, 0x01020304)
    assert datagram[:8] == IDENTITY
    assert datagram[8:32] == OPENING[:24]
    assert datagram[32:36] == bytes.fromhex("01020304")
    assert datagram[36:] == OPENING[28:]


@pytest.mark.parametrize(
    "packet",
    [
        b"",
        OPENING[:33],
        OPENING + b"more than its length says",
        OPENING[:32] + b"\x00\x05" + b"four",
        OPENING[:32] + b"\xff\xff" + bytes(0xFFFF),
        with_flags(8 | 64),
        with_flags(8 | 128),
        with_flags(1),
        with_flags(2),
        with_flags(16),
    ],
)
def test_a_packet_that_cannot_be_so_is_refused(packet):
    with pytest.raises(MalformedPacketError):
        packets.read(packet)


@given(st.binary(max_size=1300))
def test_any_bytes_are_read_or_refused(data):
    try:
        packets.read(data)
    except MalformedPacketError:
        pass
