"""Queue packets by flow while a host's link has no room for them."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from itertools import count

from kingcuppulley.fabric.link_budget import DATAGRAM_HEADERS_BYTES, FULL_PACKET_BYTES
from kingcuppulley.fabric.request_cost import priority_weight
from kingcuppulley.internal.counters import Metrics

# A caller has at most this many unacknowledged packets of a flow on their way.
MAXIMUM_FLOW_PACKETS = 16
# A flow with nothing queued before overtakes those that came up to this much earlier,
# for each level by which its priority is higher.  It is half of the time after which a
# caller repeats its packet.
PRIORITY_STEP_SECONDS = 0.1
# After this many packets of flows that had nothing queued before, a flow with a
# backlog has its turn, so that a flood of short exchanges does not starve it.
NEW_FLOW_TURNS = 3
# Flows of lower priorities share the link like those of this one.
LOWEST_PRIORITY = 3


class QueuedPacket:
    """Hold a datagram of a flow that waits for the link.

    `size` is what the datagram takes on the link, with headers.
    """

    __slots__ = ("flow", "sequence", "datagram", "endpoint", "size", "queued_at")

    def __init__(
        self,
        flow: bytes,
        sequence: int,
        datagram: bytes,
        endpoint: tuple[str, int],
        now: float,
    ) -> None:
        self.flow = flow
        self.sequence = sequence
        self.datagram = datagram
        self.endpoint = endpoint
        self.size = len(datagram) + DATAGRAM_HEADERS_BYTES
        self.queued_at = now


class _FlowBacklog:
    """Hold the queued packets of one flow, and what it may send in this turn."""

    __slots__ = ("flow", "packets", "queued_bytes", "quantum", "deficit")

    def __init__(self, flow: bytes, priority: int) -> None:
        self.flow = flow
        # By sequence number and size, which are equal for copies.
        self.packets: OrderedDict[tuple[int, int], QueuedPacket] = OrderedDict()
        self.queued_bytes = 0
        # At least a full packet, so that a flow sends something in nearly every round.
        weight = priority_weight(priority) / priority_weight(LOWEST_PRIORITY)
        self.quantum = int(FULL_PACKET_BYTES * weight)
        self.deficit = FULL_PACKET_BYTES


class EgressQueue:
    """Order the packets that wait for the link, by flow.

    A flow that had nothing queued is served before those with a backlog, so that short
    exchanges pass bulk data; among such flows the priority decides.  After a full
    packet it joins the flows with a backlog, which share the link by deficit round
    robin.  The queue is bounded by `maximum_bytes`, and for each flow by
    `MAXIMUM_FLOW_PACKETS`.
    """

    __slots__ = (
        "_maximum_bytes",
        "_metrics",
        "_counts",
        "_backlogs",
        "_new_backlogs",
        "_old_backlogs",
        "_new_turns",
        "_arrival_numbers",
        "_queued_bytes",
    )

    def __init__(self, maximum_bytes: int, metrics: Metrics) -> None:
        self._maximum_bytes = maximum_bytes
        self._metrics = metrics
        self._counts = metrics.counts
        self._backlogs: dict[bytes, _FlowBacklog] = {}
        self._new_backlogs: list[tuple[float, int, _FlowBacklog]] = []
        self._old_backlogs: deque[_FlowBacklog] = deque()
        self._new_turns = 0
        self._arrival_numbers = count()
        self._queued_bytes = 0

    @property
    def queued_bytes(self) -> int:
        """Return the bytes that wait, with headers; 0 if nothing waits."""
        return self._queued_bytes

    @property
    def flow_count(self) -> int:
        """Return how many flows have queued packets."""
        return sum(1 for backlog in self._backlogs.values() if backlog.packets)

    def add(self, packet: QueuedPacket, priority: int) -> bool:
        """Queue a packet unless a copy of it waits; `priority` is that of its route.

        Beyond a bound, the newest packet of the flow with the longest queue is dropped.
        Return False only if a copy of the packet waits.
        """
        backlog = self._backlogs.get(packet.flow)
        if backlog is None:
            backlog = self._add_backlog(packet, min(priority, LOWEST_PRIORITY))
        key = (packet.sequence, packet.size)
        if key in backlog.packets:
            self._counts["egress_repeats_dropped"] += 1
            return False
        self._counts["egress_queued"] += 1
        backlog.packets[key] = packet
        backlog.queued_bytes += packet.size
        self._queued_bytes += packet.size
        if len(backlog.packets) > MAXIMUM_FLOW_PACKETS:
            self._drop_newest(backlog)
        while self._queued_bytes > self._maximum_bytes:
            self._drop_newest(self._longest_backlog())
        return True

    def pop(self, now: float) -> QueuedPacket:
        """Remove and return the next packet of a queue that is not empty."""
        backlog = self._next_backlog()
        _, packet = backlog.packets.popitem(last=False)
        backlog.deficit -= packet.size
        self._remove_bytes(backlog, packet)
        self._metrics.observe_seconds("egress_wait", now - packet.queued_at)
        return packet

    def _add_backlog(self, packet: QueuedPacket, priority: int) -> _FlowBacklog:
        backlog = self._backlogs[packet.flow] = _FlowBacklog(packet.flow, priority)
        # An order by time, not by priority alone, so that no flow waits for ever.
        turn = packet.queued_at + priority * PRIORITY_STEP_SECONDS
        heapq.heappush(self._new_backlogs, (turn, next(self._arrival_numbers), backlog))
        return backlog

    def _next_backlog(self) -> _FlowBacklog:
        while True:
            is_turn_of_old = self._old_backlogs and self._new_turns >= NEW_FLOW_TURNS
            if self._new_backlogs and not is_turn_of_old:
                backlog = self._new_backlogs[0][2]
                if backlog.packets and backlog.deficit > 0:
                    self._new_turns += 1
                    return backlog
                heapq.heappop(self._new_backlogs)
                # An emptied flow stays known until its turn: it cannot pass those with
                # a backlog again by sending one packet at a time.
                self._old_backlogs.append(backlog)
                continue
            backlog = self._old_backlogs[0]
            if backlog.packets and backlog.deficit > 0:
                self._new_turns = 0
                return backlog
            self._old_backlogs.popleft()
            if backlog.packets:
                backlog.deficit += backlog.quantum
                self._old_backlogs.append(backlog)
            else:
                del self._backlogs[backlog.flow]

    def _longest_backlog(self) -> _FlowBacklog:
        # Among equal flows the latest one, which has waited least.
        return max(
            reversed(self._backlogs.values()),
            key=lambda backlog: backlog.queued_bytes,
        )

    def _drop_newest(self, backlog: _FlowBacklog) -> None:
        _, packet = backlog.packets.popitem()
        self._counts["egress_dropped"] += 1
        self._remove_bytes(backlog, packet)

    def _remove_bytes(self, backlog: _FlowBacklog, packet: QueuedPacket) -> None:
        backlog.queued_bytes -= packet.size
        self._queued_bytes -= packet.size
        if not self._queued_bytes:
            self._backlogs.clear()
            self._new_backlogs.clear()
            self._old_backlogs.clear()
            self._new_turns = 0
