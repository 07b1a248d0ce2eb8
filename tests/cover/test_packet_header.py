"""Check the reading of packet headers against the codec library."""

import random

import dpkt
import pytest

from kingcuppulley.errors import MalformedPacketError
from kingcuppulley.fabric.packet import TCP, UDP, read_header
from kingcuppulley.stand_ins.fabric import make_flows


@pytest.mark.parametrize("protocol", [TCP, UDP])
def test_header_agrees_with_the_codec_library(protocol):
    for flow in make_flows(50, "192.0.2.9", 8443, random.Random(1), protocol):
        packet = flow.packet(payload=b"x" * 40)
        decoded = dpkt.ip.IP(packet)
        header = read_header(packet)
        assert header.address == int.from_bytes(decoded.dst, "big")
        assert header.port == decoded.data.dport
        assert header.protocol == decoded.p


def test_a_syn_opens_its_flow_and_a_fin_ends_it():
    flow = make_flows(1, "192.0.2.9", 8443, random.Random(1))[0]
    assert read_header(flow.opening_packet()).opens_flow
    assert not read_header(flow.packet()).opens_flow
    assert read_header(flow.closing_packet()).ends_flow


def test_every_truncation_of_a_packet_is_refused():
    packet = make_flows(1, "192.0.2.9", 8443, random.Random(1))[0].packet()
    for length in range(len(packet)):
        with pytest.raises(MalformedPacketError):
            read_header(packet[:length])


def test_a_fragment_is_refused():
    packet = bytearray(make_flows(1, "192.0.2.9", 8443, random.Random(1))[0].packet())
    packet[6] |= 0x20
    with pytest.raises(MalformedPacketError):
        read_header(bytes(packet))
