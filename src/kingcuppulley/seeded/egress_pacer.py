"""Send an entry host's datagrams at the rate of its link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from kingcuppulley.fabric.egress_queue import (
    MAXIMUM_FLOW_PACKETS,
    EgressQueue,
    QueuedPacket,
)
from kingcuppulley.fabric.formats import FlowPacket
from kingcuppulley.fabric.link_admission import LinkAdmission
from kingcuppulley.fabric.link_budget import (
    DATAGRAM_HEADERS_BYTES,
    FULL_PACKET_BYTES,
    LinkBudget,
)
from kingcuppulley.fabric.sent_sequences import SentSequences
from kingcuppulley.internal.counters import Metrics

# Smaller datagrams are sent at once: packets that open, acknowledge or end flows.
SMALL_DATAGRAM_BYTES = 400
# Uploads are not counted on a faster link, which 100 of them at once leave fast enough.
MAXIMUM_ADMISSION_BYTES_PER_SECOND = 12_500_000.0
# More than any UDP datagram has.
UNLIMITED_DATAGRAM_BYTES = 1 << 16
MAXIMUM_QUEUE_SECONDS = 1.0
# One flow's packets fit into the queue of a slow link.
MINIMUM_QUEUE_BYTES = MAXIMUM_FLOW_PACKETS * FULL_PACKET_BYTES
# Bounds the memory of the queue of a fast link.
MAXIMUM_QUEUE_BYTES = 2 * 1024 * 1024
# Bounds the wake-ups of a host with a backlog: a link of more than 2 Mbit/s carries
# several packets in this time, which is well below that of a full bucket.
MINIMUM_WAKE_INTERVAL_SECONDS = 0.005
# Above this backlog, a packet may wait for longer than its caller does before it
# repeats the packet.
LOGGED_BACKLOG_SECONDS = 0.2


class PacerLog(Protocol):
    """Record when the backlog of the link becomes long, and when it is gone."""

    def event(self, kind: str, **fields: object) -> None:
        """Record one event unless the log budget is used up."""


class EgressPacer:
    """Send datagrams at once while the link has room, and otherwise queue them.

    Everything that the host sends is charged to one budget.  Only packets of open
    flows with at least `SMALL_DATAGRAM_BYTES` are ever queued.  Without a backlog, some
    bytes are prepaid, and datagrams take from them until they are used up.  `send`
    sends a datagram without delay and returns whether the system accepted it;
    `priority_of` returns the priority of a route key.
    """

    __slots__ = (
        "_send",
        "_priority_of",
        "_loop",
        "_time",
        "_counts",
        "_log",
        "_budget",
        "_prepaid_bytes",
        "_queue",
        "_admission",
        "_has_admission",
        "_open_requests",
        "_prepaid_datagram_limit",
        "_sent_sequences",
        "_sequenced_flows",
        "_logged_backlog_bytes",
        "_backlog_began_at",
        "_is_backlog_logged",
    )

    def __init__(
        self,
        bytes_per_second: float,
        send: Callable[[bytes, tuple[str, int]], bool],
        priority_of: Callable[[bytes], int],
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        log: PacerLog,
    ) -> None:
        self._send = send
        self._priority_of = priority_of
        self._loop = loop
        self._time = loop.time
        self._counts = metrics.counts
        self._log = log
        self._budget = LinkBudget(bytes_per_second, loop.time())
        # Charged but not sent; 0 while packets are queued.
        self._prepaid_bytes = 0
        rate = self._budget.bytes_per_second
        maximum_bytes = min(int(rate * MAXIMUM_QUEUE_SECONDS), MAXIMUM_QUEUE_BYTES)
        self._queue = EgressQueue(max(maximum_bytes, MINIMUM_QUEUE_BYTES), metrics)
        self._admission = LinkAdmission(rate)
        # The two tables are kept here, too, because each packet is looked up in them.
        self._open_requests = self._admission.open_requests
        self._has_admission = bytes_per_second <= MAXIMUM_ADMISSION_BYTES_PER_SECOND
        # On a slow link, large packets are not prepaid, because they are recorded.
        self._prepaid_datagram_limit = (
            SMALL_DATAGRAM_BYTES if self._has_admission else UNLIMITED_DATAGRAM_BYTES
        )
        self._sent_sequences = SentSequences()
        self._sequenced_flows = self._sent_sequences.flows
        self._logged_backlog_bytes = rate * LOGGED_BACKLOG_SECONDS
        self._backlog_began_at = 0.0
        self._is_backlog_logged = False

    @property
    def queued_bytes(self) -> int:
        """Return how many bytes wait for the link."""
        return self._queue.queued_bytes

    def update_gauges(self, gauges: dict[str, float]) -> None:
        """Set the gauges of the queue."""
        gauges["egress_queued_bytes"] = self._queue.queued_bytes
        gauges["egress_queued_flows"] = self._queue.flow_count

    def may_open(self, header: FlowPacket, objective_seconds: float) -> bool:
        """Return whether the link can carry the flow of a first opening packet."""
        return not self._has_admission or self._admission.may_open(
            header.flow,
            header.route_key,
            objective_seconds,
            self._queue.queued_bytes,
            self._time(),
        )

    def has_room(self, route_key: bytes, objective_seconds: float) -> bool:
        """Return what `may_open` would return for a route; nothing is changed."""
        return not self._has_admission or self._admission.has_room(
            route_key, objective_seconds, self._queue.queued_bytes, self._time()
        )

    def charge(self, payload_bytes: int) -> None:
        """Charge a datagram that was sent over another socket of this host."""
        self._charge_and_prepay(payload_bytes + DATAGRAM_HEADERS_BYTES, self._time())

    def send_to_target(
        self,
        datagram: bytes,
        endpoint: tuple[str, int],
        header: FlowPacket | None = None,
    ) -> None:
        """Send a datagram, or queue a large one with a header while others wait."""
        if self._open_requests and header is not None and not header.has_data:
            self._admission.end_request(header.flow, ends_flow=header.ends_flow)
        size = len(datagram)
        prepaid_bytes = self._prepaid_bytes - size - DATAGRAM_HEADERS_BYTES
        if prepaid_bytes >= 0 and size < self._prepaid_datagram_limit:
            self._prepaid_bytes = prepaid_bytes
        else:
            now = self._time()
            if size >= SMALL_DATAGRAM_BYTES and header is not None:
                if self._queue.queued_bytes or not self._budget.may_send(now):
                    self._enqueue(datagram, endpoint, header, now)
                    return
                self._record_sent_at_once(header, size + DATAGRAM_HEADERS_BYTES, now)
            if size < self._prepaid_datagram_limit:
                self._charge_and_prepay(size + DATAGRAM_HEADERS_BYTES, now)
            else:
                self._budget.charge(size + DATAGRAM_HEADERS_BYTES, now)
        if not self._send(datagram, endpoint):
            self._counts["packets_not_sent"] += 1

    def _record_sent_at_once(self, header: FlowPacket, size: int, now: float) -> None:
        if self._sequenced_flows and self._sent_sequences.record(
            header.flow, header.sequence
        ):
            self._counts["egress_repeats"] += 1
            return
        if self._has_admission:
            self._admission.record(header.flow, header.route_key, size, now)

    def _charge_and_prepay(self, size: int, now: float) -> None:
        """Charge a datagram that is sent now, and prepay if the link has room."""
        self._budget.charge(size - self._prepaid_bytes, now)
        self._prepaid_bytes = 0
        if not self._queue.queued_bytes and self._budget.may_send(now):
            self._prepaid_bytes = self._budget.prepaid_bytes
            self._budget.charge(self._prepaid_bytes, now)

    def _enqueue(
        self,
        datagram: bytes,
        endpoint: tuple[str, int],
        header: FlowPacket,
        now: float,
    ) -> None:
        if not self._queue.queued_bytes:
            self._begin_backlog(now)
        packet = QueuedPacket(header.flow, header.sequence, datagram, endpoint, now)
        is_new = self._queue.add(packet, self._priority_of(header.route_key))
        if is_new and self._has_admission:
            self._admission.record(header.flow, header.route_key, packet.size, now)
        queued_bytes = self._queue.queued_bytes
        if queued_bytes > self._logged_backlog_bytes and not self._is_backlog_logged:
            self._is_backlog_logged = True
            flows = self._queue.flow_count
            self._log.event("egress backlog", queued_bytes=queued_bytes, flows=flows)

    def _begin_backlog(self, now: float) -> None:
        self._budget.charge(-self._prepaid_bytes, now)
        self._prepaid_bytes = 0
        self._backlog_began_at = now
        self._arm_timer(now)

    def _arm_timer(self, now: float) -> None:
        wake_at = max(self._budget.ready_at(now), now + MINIMUM_WAKE_INTERVAL_SECONDS)
        self._loop.call_at(wake_at, self._send_queued)

    def _send_queued(self) -> None:
        """Send the queued packets for which the link has room.

        The first one is sent even if other datagrams were charged since the timer was
        set.  The next one waits for them, so the rate is kept, but datagrams that are
        sent at once cannot hold the queue back for ever.
        """
        now = self._time()
        self._send_next(now)
        while self._queue.queued_bytes and self._budget.may_send(now):
            self._send_next(now)
        if self._queue.queued_bytes:
            self._arm_timer(now)
        elif self._is_backlog_logged:
            self._is_backlog_logged = False
            seconds = round(now - self._backlog_began_at, 3)
            self._log.event("egress backlog gone", seconds=seconds)

    def _send_next(self, now: float) -> None:
        packet = self._queue.pop(now)
        if self._sent_sequences.record_queued(packet.flow, packet.sequence):
            self._counts["egress_repeats"] += 1
        self._budget.charge(packet.size, now)
        if not self._send(packet.datagram, packet.endpoint):
            self._counts["packets_not_sent"] += 1
