"""Check the order and the rate in which an entry host sends over a slow link."""

from __future__ import annotations

from collections import Counter

import pytest

from kingcuppulley.entry_hosts.leave_plan import LeavePlan
from kingcuppulley.entry_hosts.seeded_messages import FlowAcknowledged
from kingcuppulley.fabric.egress_queue import MAXIMUM_FLOW_PACKETS
from kingcuppulley.fabric.formats import FlowPacket
from kingcuppulley.fabric.link_admission import (
    IDLE_SECONDS,
    MAXIMUM_OPEN_REQUESTS,
    MAXIMUM_ROUTES,
    LinkAdmission,
)
from kingcuppulley.fabric.link_budget import (
    FULL_PACKET_BYTES,
    MAXIMUM_DEBT_SECONDS,
    USABLE_SHARE_OF_RATE,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.datagram_link import DatagramLink
from kingcuppulley.seeded.entry import EntryTransport, PacketSocket
from kingcuppulley.seeded_settings import SocketAddress
from tests.egress_link import LINK_BYTES_PER_SECOND, PacedLink

RATE = LINK_BYTES_PER_SECOND * USABLE_SHARE_OF_RATE


@pytest.fixture
def link() -> PacedLink:
    return PacedLink()


def test_without_a_rate_the_router_sends_directly_to_the_socket():
    metrics = Metrics()
    address = SocketAddress("127.0.0.1", 7000)
    packet_socket = PacketSocket(address, lambda packet: None, metrics)
    link = DatagramLink(FlowAcknowledged, lambda *_: None, metrics)
    transport = EntryTransport(packet_socket, address.port, link, None)
    assert transport.send_to_target == packet_socket.send_to_target
    assert transport.may_open(FlowPacket(b"", b"", True, False, 0, 0, False, 0), 0.0)


def test_a_message_to_another_process_is_reported_with_its_size():
    sizes: list[int] = []
    metrics = Metrics()
    link = DatagramLink(FlowAcknowledged, lambda *_: None, metrics, sizes.append)
    link.send("127.0.0.1:9", FlowAcknowledged(b"flow"))
    assert sizes == [metrics.counts["peer_bytes_sent"]]


def test_a_link_without_backlog_sends_at_once_and_sets_no_timer():
    link = PacedLink(rate=125_000_000.0)
    for flow in range(60):
        link.offer_window(str(flow))
    assert len(link.sent) == 60 * 16
    assert not link.loop.timers


def test_small_datagrams_and_those_without_a_header_pass_a_backlog_in_the_same_call(
    link,
):
    link.fill()
    sent_before = len(link.sent)
    link.offer("small", size=399)
    link.pacer.send_to_target(b"opening 0 ".ljust(900), ("10.0.0.1", 80))
    assert link.sent_flows()[sent_before:] == ["small", "opening"]


def test_datagrams_sent_at_once_at_twice_the_rate_do_not_starve_data(link):
    link.offer_window("upload")
    for _ in range(2000):
        link.offer("small", size=300)
        link.loop.run(328 / (2 * RATE))
    assert link.sent_flows().count("upload") == 16


def test_a_faster_link_with_a_backlog_wakes_the_process_no_more_often():
    link = PacedLink(rate=575_000.0)
    for flow in "abcd":
        link.offer_window(flow)
    link.loop.run(0.1)
    assert link.loop.wakeups <= 20
    rate = 575_000 * USABLE_SHARE_OF_RATE
    sent_bytes = sum(size for *_, size in link.sent)
    assert 0.95 * rate * 0.1 < sent_bytes <= rate * 0.1 + 0.015 * rate


def test_datagrams_sent_at_once_are_charged_once(link):
    for _ in range(1000):
        link.offer("small", size=300)
        link.loop.run(328 / (0.9 * RATE))
    link.offer_window("upload", 2)
    assert not link.pacer.queued_bytes
    for _ in range(100):
        link.offer("small", size=100)
    link.offer("upload")
    assert link.pacer.queued_bytes


def test_a_large_message_delays_data_only_by_the_bounded_debt(link):
    link.pacer.charge(10_000_000)
    link.offer("upload")
    assert link.pacer.queued_bytes
    link.loop.run(MAXIMUM_DEBT_SECONDS)
    assert link.sent_flows() == ["upload"]


def test_a_host_that_was_paused_sends_a_burst_and_not_its_backlog(link):
    link.offer_window("upload")
    # More packets at once were lost in the queue of a 2 Mbit/s link.
    assert 2 <= len(link.sent) <= 4
    sent_before = len(link.sent)
    link.loop.pause(5.0)
    link.loop.run(0.0)
    assert 2 <= len(link.sent) - sent_before <= 4
    assert len(link.loop.timers) == 1


def test_a_packet_does_not_pass_its_flow_while_the_timer_of_the_queue_is_late(link):
    link.offer_window("upload")
    link.loop.pause(1.0)
    link.offer("small", size=50)
    last = link.offer("upload", 16, size=600)
    link.loop.run(1.0)
    assert link.sent[-1][2] == last


def test_a_short_exchange_passes_bulk_data_and_lower_priorities(link):
    link.offer_window("upload")
    sent_before = len(link.sent)
    link.offer("low", size=900, priority=2)
    link.offer("high", size=900, priority=1)
    link.loop.run(1.0)
    assert link.sent_flows()[sent_before : sent_before + 3] == ["high", "upload", "low"]


def test_a_flood_of_short_exchanges_starves_neither_low_priorities_nor_bulk_data(link):
    link.offer_window("upload")
    link.offer("low", size=900, priority=9)
    for number in range(300):
        link.offer(f"high-{number}", size=1200, priority=0)
        link.loop.run(0.003)
    counts = Counter(link.sent_flows())
    assert (counts["upload"], counts["low"]) == (16, 1)


def test_a_flow_that_sends_one_packet_at_a_time_gets_no_more_than_its_share(link):
    for flow in "abc":
        link.offer_window(flow)
    link.loop.run(7 * FULL_PACKET_BYTES / RATE)
    for sequence in range(16):
        link.offer("single", sequence)
        link.loop.run(2 * FULL_PACKET_BYTES / RATE)
    assert link.sent_flows().count("single") < 10


def test_flows_share_the_link_by_the_weight_of_their_priority(link):
    link.fill()
    link.offer_window("a", priority=1)
    link.offer_window("b", priority=2)
    sent_before = len(link.sent)
    # The first packets of both are served as new flows, and then three or more turns.
    while min(Counter(link.sent_flows())[flow] for flow in "ab") < 7:
        link.loop.run(0.001)
    counts = Counter(link.sent_flows()[sent_before:])
    assert counts["a"] / counts["b"] == pytest.approx(2, rel=0.35)


def test_a_copy_of_a_queued_packet_is_dropped(link):
    link.fill()
    link.offer("upload", 7)
    link.offer("upload", 7)
    link.offer("upload", 7, size=600)
    link.offer("other", 7)
    link.loop.run(1.0)
    assert Counter(link.sent_flows())["upload"] == 2
    assert Counter(link.sent_flows())["other"] == 1
    assert link.metrics.counts["egress_repeats_dropped"] == 1


def test_a_repeat_of_a_packet_that_was_sent_is_sent_and_counted(link):
    # The sequence numbers wrap around.
    link.offer_window("upload", first=0xFFFF_FFF8)
    link.loop.run(1.0)
    link.offer("upload", 0xFFFF_FFFF)
    link.offer("upload", 8)
    assert link.sent_flows().count("upload") == 18
    assert link.metrics.counts["egress_repeats"] == 1


def test_the_newest_packet_of_a_flow_beyond_its_window_is_dropped(link):
    link.fill()
    link.offer_window("upload", MAXIMUM_FLOW_PACKETS)
    dropped = link.offer("upload", MAXIMUM_FLOW_PACKETS)
    link.loop.run(1.0)
    assert link.sent_flows().count("upload") == MAXIMUM_FLOW_PACKETS
    assert dropped not in [number for _, _, number, _ in link.sent]
    assert link.metrics.counts["egress_dropped"] == 1


def test_a_full_queue_drops_packets_of_the_longest_flow(link):
    link.fill()
    link.offer_window("long")
    for number in range(200):
        link.offer_window(f"short-{number}", 1)
    assert link.pacer.queued_bytes <= RATE
    link.loop.run(2.0)
    assert link.metrics.counts["egress_dropped"] > 16
    counts = Counter(link.sent_flows())
    assert counts["long"] < 4
    # Among equally long flows, those that came last lose their packets.
    assert counts["short-0"] == 1
    assert counts["short-199"] == 0


def test_a_long_backlog_is_logged_when_it_begins_and_when_it_is_gone(link):
    link.offer_window("a")
    link.loop.run(1.0)
    assert link.events == []
    for _ in range(2):
        for flow in "abcd":
            link.offer_window(flow)
        link.loop.run(0.1)
        assert link.events.pop() == "egress backlog"
        link.loop.run(1.0)
        assert link.events.pop() == "egress backlog gone"
    gauges: dict[str, float] = {}
    link.pacer.update_gauges(gauges)
    assert gauges == {"egress_queued_bytes": 0, "egress_queued_flows": 0}


def test_an_upload_is_refused_while_open_ones_take_much_of_its_objective():
    admission = LinkAdmission(100_000.0)

    def may_open(flow, queued_bytes=0, now=0.0):
        # The link may be busy for 0.8 s, which is with 80 kB.
        return admission.may_open(flow, b"route", 2.0, queued_bytes, now)

    admission.record(b"small", b"small", 900, 0.0)
    admission.end_request(b"small")
    assert admission.may_open(b"small", b"small", 2.0, 1_000_000, 0.0)
    assert may_open(b"unknown", queued_bytes=1_000_000)
    admission.record(b"first", b"route", 40_000, 0.0)
    admission.end_request(b"first")
    flows = [b"a", b"b", b"c", b"d"]
    assert [may_open(flow) for flow in flows] == [True, True, True, False]
    # The last packet to open a flow does not end its request.
    admission.end_request(b"a")
    assert not may_open(b"d")
    admission.record(b"a", b"route", 40_000, 1.0)
    assert not may_open(b"d", queued_bytes=1)
    assert may_open(b"d")
    admission.record(b"b", b"route", 40_000, 1.0)
    admission.end_request(b"b")
    # The callers of the others are gone, and they would be counted for ever.
    admission.record(b"d", b"route", 1, 1.5)
    assert may_open(b"e", now=IDLE_SECONDS)
    assert set(admission.open_requests) == {b"a", b"d", b"e"}


@pytest.mark.parametrize("interval", [0.0, 0.01])
def test_the_size_of_uploads_is_known_with_and_without_a_backlog(interval):
    link = PacedLink(575_000.0)
    for sequence in range(10):
        link.offer("upload", sequence)
        link.offer("small", size=399)
        link.loop.run(interval)
    link.acknowledge_answer("upload")
    assert not all(link.may_open(str(number)) for number in range(100))


def test_a_fast_link_refuses_no_upload_whatever_its_backlog_is():
    """Its uploads are counted only in part, so their backlog is not known."""
    link = PacedLink(13_000_000.0)
    for flow in range(300):
        link.offer_window(str(flow))
    for flow in range(300):
        link.acknowledge_answer(str(flow))
    assert link.pacer.queued_bytes
    assert all(link.may_open(str(number)) for number in range(1000))


def test_the_memory_of_the_admission_is_bounded():
    admission = LinkAdmission(RATE)
    for number in range(2 * MAXIMUM_OPEN_REQUESTS):
        key = number.to_bytes(2, "big")
        admission.record(key, key, 500, 0.0)
    assert len(admission.open_requests) == MAXIMUM_OPEN_REQUESTS
    for flow in list(admission.open_requests):
        admission.end_request(flow)
    assert len(admission._average_bytes) == MAXIMUM_ROUTES


def test_a_host_that_leaves_sends_its_backlog_before_it_stops():
    plan = LeavePlan(0.0, 5.6, can_leave_rotation=True)
    assert plan.may_leave(0.0, True)
    assert not plan.may_stop(2.0, True, has_backlog=True)
    assert plan.may_stop(2.0, True, has_backlog=False)
    assert plan.may_stop(5.6, True, has_backlog=True)
