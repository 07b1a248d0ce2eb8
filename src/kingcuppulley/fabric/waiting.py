"""Order the new flows that wait for a backend server, and say which wait in vain."""

from __future__ import annotations

import heapq
from itertools import count

# Less than the time after which callers repeat an opening packet: a later refusal
# could reach a flow that another host has opened meanwhile.
REFUSAL_WINDOW_SECONDS = 0.18
ANSWER_MARGIN_SECONDS = 0.02
COPY_SLACK_SECONDS = 0.06
# Before the end of that time, and long enough for a tick to fall into it.
JUDGED_SECONDS = 0.05
# With nothing released for so long no server ends any flow.
STALLED_SECONDS = 0.15
INTERVAL_WEIGHT = 0.2
# So many flows in time go before one that is late.
IN_TIME_TURNS = 2
USUAL_SECONDS = 0.05
USUAL_WEIGHT = 0.1


class FlowRequest:
    """Ask for a backend server for one new flow.

    Attributes
    ----------
    origin : str
        Entry host that took the packet.
    objective_deadline : float
        Until when an answer is worth most to the caller.
    answer_deadline : float
        When the caller gives this flow up if no server has answered.
    next_copy_at : float
        When the caller repeats its packet, or gives up after the last copy.
    refusal_deadline : float
        Until when a refusal cannot reach a flow that has opened meanwhile.
    """

    __slots__ = (
        "flow",
        "service",
        "retransmission",
        "packet",
        "priority",
        "origin",
        "objective_deadline",
        "answer_deadline",
        "next_retransmission_at",
        "refusal_deadline",
        "queued_since",
    )

    def __init__(
        self,
        flow: bytes,
        service: str,
        retransmission: int,
        packet: bytes,
        priority: int,
        origin: str,
        objective_deadline: float,
        answer_deadline: float,
        next_retransmission_at: float,
    ) -> None:
        self.flow = flow
        self.service = service
        self.retransmission = retransmission
        self.packet = packet
        self.priority = priority
        self.origin = origin
        self.objective_deadline = objective_deadline
        self.answer_deadline = answer_deadline
        self.next_retransmission_at = next_retransmission_at
        self.refusal_deadline = 0.0
        self.queued_since = 0.0

    def may_be_sent(self, now: float) -> bool:
        """Return whether a server's answer would come before the next copy.

        So a copy proves that nobody has sent the flow to a server that answers, and
        whichever host takes the copy may refuse it.
        """
        return now < self.next_retransmission_at - ANSWER_MARGIN_SECONDS

    def has_lost_caller(self, now: float) -> bool:
        """Return whether a copy is overdue, or the caller has given up."""
        overdue_at = self.next_retransmission_at + COPY_SLACK_SECONDS
        return now >= min(self.answer_deadline, overdue_at)


class FlowQueue:
    """Hold the flows of one service until a server has room.

    Flows that can still meet their objective go first, the more urgent before others.
    Every few turns belong to a late flow all the same, as long as its caller waits:
    after an outage nearly all callers are late, and those that are refused come back at
    once as new ones.

    Attributes
    ----------
    settled_deadline : float
        Until when servers are still to be announced, so that nothing waits in vain.
    """

    __slots__ = (
        "discovery_deadline",
        "_by_flow",
        "_in_time",
        "_late",
        "_ticket",
        "_usual",
        "_released_at",
        "_interval",
        "_turns",
    )

    def __init__(self) -> None:
        self.discovery_deadline = 0.0
        self._by_flow: dict[bytes, FlowRequest] = {}
        # Entries of flows that have been replaced or taken out stay until they surface.
        self._in_time: list[tuple[int, int, FlowRequest]] = []
        self._late: list[tuple[int, float, int, FlowRequest]] = []
        self._ticket = count()
        self._usual = USUAL_SECONDS
        self._released_at = 0.0
        self._interval = 0.0
        self._turns = 0

    def __len__(self) -> int:
        return len(self._by_flow)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    def learn(self, seconds: float) -> None:
        """Take how long an answered flow of the service lasted."""
        self._usual += USUAL_WEIGHT * (seconds - self._usual)

    def has_in_time(self, now: float) -> bool:
        """Return whether a flow waits that can still meet its objective."""
        self._sort_out(now)
        return bool(self._in_time)

    def add(self, request: FlowRequest, now: float, in_time_limit: int) -> bool:
        """Let a flow wait, in place of an earlier packet of it, if there is hope.

        Flows beyond the limit count as late from the start.
        """
        if not self._by_flow:
            self._released_at = now
            self._interval = 0.0
        former = self._by_flow.get(request.flow)
        request.queued_since = now if former is None else former.queued_since
        request.refusal_deadline = now + REFUSAL_WINDOW_SECONDS
        self._by_flow[request.flow] = request
        is_in_time = now + self._usual <= request.objective_deadline
        if is_in_time and len(self._in_time) < in_time_limit:
            entry = (request.priority, next(self._ticket), request)
            heapq.heappush(self._in_time, entry)
            return True
        if self.is_hopeful(request, now):
            self._add_late(request)
            return True
        self.remove(request)
        return False

    def first(self, now: float) -> FlowRequest | None:
        """Return the flow that goes next, or None if none waits."""
        self._sort_out(now)
        if self._late and (not self._in_time or self._turns >= IN_TIME_TURNS):
            return self._late[0][-1]
        return self._in_time[0][-1] if self._in_time else None

    def release(self, request: FlowRequest, now: float) -> None:
        """Take the flow that goes next out, because a server has room for it."""
        is_late = bool(self._late) and self._late[0][-1] is request
        self._turns = 0 if is_late else self._turns + 1
        gap = now - self._released_at
        self._interval += INTERVAL_WEIGHT * (gap - self._interval)
        self._released_at = now
        del self._by_flow[request.flow]

    def remove(self, request: FlowRequest) -> None:
        """Take a flow out that gets no server."""
        del self._by_flow[request.flow]

    def is_hopeful(self, request: FlowRequest, now: float) -> bool:
        """Return whether a late flow will probably be sent while its caller waits."""
        if now < self.discovery_deadline:
            return True
        gap = now - self._released_at
        if gap > STALLED_SECONDS:
            return False
        seconds_a_turn = max(self._interval, gap) * (1 + IN_TIME_TURNS)
        return now + seconds_a_turn * (len(self._late) + 1) < request.answer_deadline

    def requests_to_drop(self, now: float) -> list[FlowRequest]:
        """Return the flows that need not wait any longer."""
        self._sort_out(now)
        return [
            request
            for request in self._by_flow.values()
            if request.has_lost_caller(now)
            or (
                0.0 < request.refusal_deadline - now <= JUDGED_SECONDS
                and not self.is_hopeful(request, now)
            )
        ]

    def _sort_out(self, now: float) -> None:
        while self._in_time:
            request = self._in_time[0][-1]
            if not self._is_current(request, now):
                heapq.heappop(self._in_time)
            elif now + self._usual > request.objective_deadline:
                heapq.heappop(self._in_time)
                self._add_late(request)
            else:
                break
        while self._late:
            if self._is_current(self._late[0][-1], now):
                break
            heapq.heappop(self._late)

    def _is_current(self, request: FlowRequest, now: float) -> bool:
        # A flow whose next copy is due waits outside the orders until the copy comes.
        is_held = self._by_flow.get(request.flow) is request
        return is_held and request.may_be_sent(now)

    def _add_late(self, request: FlowRequest) -> None:
        entry = (request.priority, request.answer_deadline, next(self._ticket), request)
        heapq.heappush(self._late, entry)
