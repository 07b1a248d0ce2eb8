"""Record the flows of one entry host, and follow their requests and answers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from kingcuppulley.entry_hosts.seeded_messages import FlowEstablished
from kingcuppulley.fabric.formats import FlowPacket

# After this time without a request or an answer, a flow is not recorded any more.
FLOW_RECORD_RETENTION_SECONDS = 4.0
# A flow without a packet for this long after part of an answer has all of the answer.
QUIET_AFTER_ANSWER_SECONDS = 0.03


class FlowRecord:
    """Hold which host placed a flow, and what that host knows of its answers.

    Attributes
    ----------
    recorded_at : float
        When the flow was opened here, or adopted.
    last_active_at : float
        When the caller last sent a request or acknowledged part of an answer.
    may_be_reset : bool
        Whether no other host may have placed the flow.
    is_reported_established : bool
        Whether the host that placed the flow counts it as established.
    is_answer_reported : bool
        Whether that host knows of an answer; then only a new request counts.
    request_at : float or None
        When the caller sent the request that is not answered yet.
    answered_at : float
        When the caller last acknowledged part of the answer.
    """

    __slots__ = (
        "placed_by",
        "recorded_at",
        "last_active_at",
        "may_be_reset",
        "is_reported_established",
        "is_answer_reported",
        "request_at",
        "answered_at",
    )

    def __init__(
        self, placed_by: str, now: float, *, may_be_reset: bool = True
    ) -> None:
        self.placed_by = placed_by
        self.recorded_at = now
        self.last_active_at = now
        self.may_be_reset = may_be_reset
        self.is_reported_established = False
        self.is_answer_reported = False
        self.request_at: float | None = None
        self.answered_at = 0.0


class FlowRecords:
    """Hold the flows in use, and report when a server works for one or has answered.

    `report` sends a message to the host that placed a flow.  `adopt` returns a record
    for a flow whose request arrives without one, or None if its server is unknown.
    """

    def __init__(
        self,
        report: Callable[[FlowRecord, FlowEstablished, float], None],
        adopt: Callable[[FlowPacket, float], FlowRecord | None],
    ) -> None:
        self._report = report
        self._adopt = adopt
        # By last activity.
        self._records: OrderedDict[bytes, FlowRecord] = OrderedDict()
        # Flows whose answer may be complete, the latest acknowledgement last.
        self._answered: OrderedDict[bytes, FlowRecord] = OrderedDict()

    def get(self, flow: bytes) -> FlowRecord | None:
        """Return the record of a flow, or None."""
        return self._records.get(flow)

    def add(self, flow: bytes, record: FlowRecord) -> None:
        """Record a flow, in place of an earlier record of it."""
        self._records[flow] = record
        self._records.move_to_end(flow)

    def remove(self, flow: bytes) -> FlowRecord | None:
        """Remove and return the record of a flow that its caller ended, or None."""
        self._answered.pop(flow, None)
        return self._records.pop(flow, None)

    def track(self, header: FlowPacket, now: float) -> None:
        """Follow the requests and answers of a flow by a packet of its caller.

        A request on a flow without a record occupies its server as much as any other,
        so the flow is adopted.  It was idle for longer than flows are recorded, or
        another host or an earlier process received its opening packet.
        """
        record = self._records.get(header.flow)
        if record is None and header.has_data:
            record = self._adopt(header, now)
        if record is None:
            return
        record.last_active_at = now
        self.add(header.flow, record)
        is_new_request = header.has_data and record.request_at is None
        if is_new_request:
            record.request_at = now
        if is_new_request or not record.is_answer_reported:
            self._report_established(header, record, now)
        if header.has_data:
            self._answered.pop(header.flow, None)
        elif record.request_at is not None:
            # Without data, the packet acknowledges part of the answer.
            record.answered_at = now
            self._answered[header.flow] = record
            self._answered.move_to_end(header.flow)

    def tick(self, now: float) -> None:
        """Report the flows that pause after an answer, and expire unused records."""
        while self._answered:
            flow, record = next(iter(self._answered.items()))
            if now - record.answered_at < QUIET_AFTER_ANSWER_SECONDS:
                break
            del self._answered[flow]
            self._report_answered(flow, record, now)
        while self._records:
            flow, record = next(iter(self._records.items()))
            if now - record.last_active_at < FLOW_RECORD_RETENTION_SECONDS:
                break
            del self._records[flow]

    def _report_established(
        self, header: FlowPacket, record: FlowRecord, now: float
    ) -> None:
        if record.is_reported_established:
            return
        record.is_reported_established = True
        message = FlowEstablished(
            header.flow, cookie=header.cookie, route=header.route_key
        )
        self._report(record, message, now)

    def _report_answered(self, flow: bytes, record: FlowRecord, now: float) -> None:
        assert record.request_at is not None
        seconds = record.answered_at - record.request_at
        record.request_at = None
        record.is_reported_established = False
        record.is_answer_reported = True
        self._report(record, FlowEstablished(flow, seconds), now)
