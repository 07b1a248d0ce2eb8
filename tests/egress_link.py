"""Run an egress pacer on a fake event loop, and record what it sends when."""

from __future__ import annotations

import heapq
from itertools import count

from kingcuppulley.fabric.formats import FlowPacket
from kingcuppulley.fabric.link_budget import DATAGRAM_HEADERS_BYTES
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.seeded.egress_pacer import EgressPacer

# 2 Mbit/s.
LINK_BYTES_PER_SECOND = 250_000.0
FULL_DATAGRAM_BYTES = 1_242
ENDPOINT = ("10.0.0.1", 80)


class FakeLoop:
    """Run callbacks at their time, or late if the process was paused."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.wakeups = 0
        self.timers: list[tuple[float, int, object]] = []
        self._numbers = count()

    def time(self):
        return self.now

    def call_at(self, when, callback):
        heapq.heappush(self.timers, (when, next(self._numbers), callback))

    def run(self, seconds):
        end = self.now + seconds
        while self.timers and self.timers[0][0] <= end:
            when, _, callback = heapq.heappop(self.timers)
            self.now = max(self.now, when)
            self.wakeups += 1
            callback()
        self.now = end

    def pause(self, seconds):
        """Let time pass in which no timer runs."""
        self.now += seconds


class PacedLink:
    """Offer packets to a pacer; route keys are priorities in one byte.

    `sent` holds the time, flow, number of the offer and size on the link of each
    datagram.
    """

    def __init__(self, rate=LINK_BYTES_PER_SECOND) -> None:
        self.loop = FakeLoop()
        self.metrics = Metrics()
        self.events: list[str] = []
        self.sent: list[tuple[float, str, int, int]] = []
        self._offers = count()
        self.pacer = EgressPacer(
            rate, self._send, lambda key: key[0], self.loop, self.metrics, self
        )

    def offer(self, flow, sequence=0, size=FULL_DATAGRAM_BYTES, priority=2):
        return self._send_packet(self._header(flow, priority, True, sequence), size)

    def acknowledge_answer(self, flow, priority=2):
        self._send_packet(self._header(flow, priority, False, 0), 42)

    def end_flow(self, flow, priority=2):
        header = self._header(flow, priority, False, 0)
        header.ends_flow = True
        self._send_packet(header, 42)

    def may_open(self, flow, priority=2, objective_seconds=1.0):
        header = self._header(flow, priority, False, 0)
        return self.pacer.may_open(header, objective_seconds)

    def offer_window(self, flow, packets=16, first=0, priority=2):
        for sequence in range(first, first + packets):
            self.offer(flow, sequence & 0xFFFF_FFFF, priority=priority)

    def fill(self, flow="filler"):
        """Use up what may be sent at once, so that the next packet is queued."""
        sequence = 0
        while not self.pacer.queued_bytes:
            self.offer(flow, sequence)
            sequence += 1

    def sent_flows(self):
        return [flow for _, flow, _, _ in self.sent]

    def event(self, kind, **fields):
        self.events.append(kind)

    def _header(self, flow, priority, has_data, sequence):
        key = bytes([priority])
        return FlowPacket(flow.encode(), key, False, False, 0, 1, has_data, sequence)

    def _send_packet(self, header, size):
        number = next(self._offers)
        datagram = b"%s %d " % (header.flow, number)
        self.pacer.send_to_target(datagram.ljust(size, b"."), ENDPOINT, header)
        return number

    def _send(self, datagram, endpoint):
        flow, number, _ = datagram.split(b" ", 2)
        size = len(datagram) + DATAGRAM_HEADERS_BYTES
        self.sent.append((self.loop.now, flow.decode(), int(number), size))
        return True
