"""Queue new flows until a backend server has free capacity.

The queue decides which flow is released next, and which flows cannot be placed before
their deadline and are dropped.
"""

from __future__ import annotations

import heapq
from copy import copy

from kingcuppulley.fabric.fair_share import (
    MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE,
    FairShare,
    FairShares,
)
from kingcuppulley.fabric.flow_request import FlowRequest

# Shorter than the time after which callers retransmit an opening packet: a later
# refusal could reset a flow that another host has placed in the meantime.
REFUSAL_WINDOW_SECONDS = 0.18
# Last part of the refusal window, in which flows that cannot meet their deadline are
# refused; long enough for a tick to fall into it.
REFUSAL_DECISION_SECONDS = 0.05
# After this time without a release, no server is expected to end any flow.
RELEASE_STALL_TIMEOUT_SECONDS = 0.15
# Weight of the latest interval between releases in the moving average.
RELEASE_INTERVAL_WEIGHT = 0.2
INITIAL_AVERAGE_DURATION_SECONDS = 0.05
# Weight of the latest duration in the moving average.
DURATION_WEIGHT = 0.1


class FlowQueue:
    """Queue the flows of one service until a server has free capacity.

    Flows that can still meet their objective are released first.  After every
    `MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE` of them a flow past its objective is
    released, as long as its caller still waits: after an outage nearly all flows are
    past their objective, and callers that are refused come back at once with new flows.

    Routes of different priority or work are released by weighted fair queueing (see
    `FairShares`), each with its own turns of flows past their objective, and flows of a
    route beyond its fair share give way to those of others.  Flows of a route that can
    meet their objective are released in the order of their packets, the others by the
    time at which their caller gives up.

    Attributes
    ----------
    discovery_deadline : float
        Until when more servers may still be discovered; until then every flow is
        expected to be placed in time.
    """

    __slots__ = (
        "discovery_deadline",
        "_by_flow",
        "_shares",
        "_displaced",
        "_average_duration_seconds",
        "_last_released_at",
        "_release_interval",
    )

    def __init__(self, shares: FairShares | None = None) -> None:
        self.discovery_deadline = 0.0
        self._by_flow: dict[bytes, FlowRequest] = {}
        self._shares = FairShares() if shares is None else shares
        self._displaced: list[FlowRequest] = []
        self._average_duration_seconds = INITIAL_AVERAGE_DURATION_SECONDS
        self._last_released_at = 0.0
        self._release_interval = 0.0

    def __len__(self) -> int:
        return len(self._by_flow)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    def record_duration(
        self, seconds: float, route: bytes = b"", work_seconds: float | None = None
    ) -> None:
        """Record how long an answered flow lasted, and its server's work for it.

        The work leaves out the wait for a slot; it is None if it is not known.
        """
        self._average_duration_seconds += DURATION_WEIGHT * (
            seconds - self._average_duration_seconds
        )
        if work_seconds is not None:
            self._shares.record_work(route, work_seconds)

    def copy(self) -> FlowQueue:
        """Return a copy on which operations can be tried without an effect.

        The copies share the requests and the work of the routes, so `record_duration`
        is for the original only.
        """
        twin = copy(self)
        twin._by_flow = dict(self._by_flow)
        twin._displaced = list(self._displaced)
        twin._shares = self._shares.copy()
        return twin

    def count_within_objective(self, now: float) -> int:
        """Return how many queued flows count as able to meet their objective."""
        if not self._shares.has_shares:
            return 0
        self._update_order(now)
        return self._shares.within_objective_count

    def has_within_objective(self, now: float) -> bool:
        """Return whether a queued flow can still meet its objective."""
        return self.count_within_objective(now) > 0

    def add(
        self, request: FlowRequest, now: float, within_objective_limit: int
    ) -> bool:
        """Queue a flow unless it cannot meet its deadline; return whether it is queued.

        A retransmission replaces the earlier packet of its flow.  Flows beyond
        `within_objective_limit` count as past their objective from the start.  The
        flow may displace others: see `take_displaced`.
        """
        if not self._by_flow:
            self._last_released_at = now
            self._release_interval = 0.0
            self._shares.restart()
        earlier = self._by_flow.get(request.flow)
        request.queued_since = now if earlier is None else earlier.queued_since
        request.refusal_deadline = now + REFUSAL_WINDOW_SECONDS
        self._by_flow[request.flow] = request
        if self._can_meet_objective(request, now) and self._make_room(
            request, now, within_objective_limit
        ):
            self._shares.add_within_objective(request)
            return True
        if self.can_meet_deadline(request, now):
            self._shares.add_past_objective(request)
            self._displace_past_objective(request, now)
            return True
        self.remove(request)
        return False

    def first(self, now: float) -> FlowRequest | None:
        """Return the flow to release next, or None if none may be sent now."""
        if not self._shares.has_shares:
            return None
        self._update_order(now)
        return self._shares.next_flow()

    def release(self, request: FlowRequest, now: float) -> None:
        """Remove the flow that `first` returned, because a server can serve it."""
        gap = now - self._last_released_at
        self._release_interval += RELEASE_INTERVAL_WEIGHT * (
            gap - self._release_interval
        )
        self._last_released_at = now
        self._shares.record_release(request)
        del self._by_flow[request.flow]

    def remove(self, request: FlowRequest) -> None:
        """Remove a flow that gets no server."""
        del self._by_flow[request.flow]

    def discard(self, flow: bytes) -> None:
        """Remove a flow, if it is queued, because a server has answered it."""
        self._by_flow.pop(flow, None)

    def take_displaced(self) -> list[FlowRequest]:
        """Remove and return the flows to refuse in favour of the flow added last.

        Each is of a route beyond its fair share, and in its refusal window.
        """
        displaced = self._displaced
        self._displaced = []
        for request in displaced:
            self.remove(request)
        return displaced

    def can_meet_deadline(self, request: FlowRequest, now: float) -> bool:
        """Return whether a flow is expected to be released while its caller waits.

        The estimate is for a flow past its objective and uses the recent release rate.
        """
        flows_before = self._shares.count_before(self._shares.share_of(request))
        return self._is_released_in_time(request, flows_before, now)

    def requests_to_drop(self, now: float) -> list[FlowRequest]:
        """Return abandoned flows and those that cannot be placed in time."""
        self._update_order(now)
        return [
            request
            for request in self._by_flow.values()
            if request.is_abandoned(now)
            or (
                0.0 < request.refusal_deadline - now <= REFUSAL_DECISION_SECONDS
                and not self.can_meet_deadline(request, now)
            )
        ]

    def _can_meet_objective(self, request: FlowRequest, now: float) -> bool:
        """Return whether a new flow is expected to be answered within its objective.

        The flows before it are released at the recent rate, with their turns of flows
        past their objective.
        """
        flows_before = self._shares.count_within_before(self._shares.share_of(request))
        turns = 1 + 1 / MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE
        wait_seconds = self._release_interval * turns * flows_before
        answered_at = now + wait_seconds + self._average_duration_seconds
        return answered_at <= request.objective_deadline

    def _make_room(self, request: FlowRequest, now: float, limit: int) -> bool:
        """Return whether a flow may be queued as within its objective.

        If there are as many as `limit`, the newest one of a route beyond its fair share
        counts as past its objective instead, or is refused.
        """
        if self._shares.within_objective_count < limit:
            return True
        other = self._shares.beyond_within_objective(self._shares.share_of(request))
        if other is None:
            return False
        _, displaced = other.within_objective.pop()
        if not self._is_queued(displaced):
            return True
        is_refusable = now < displaced.refusal_deadline
        if is_refusable and not self.can_meet_deadline(displaced, now):
            self._displaced.append(displaced)
        else:
            self._shares.add_past_objective(displaced)
        return True

    def _displace_past_objective(self, request: FlowRequest, now: float) -> None:
        """Refuse a flow that cannot be released in time because of a new one.

        It is the newest one past its objective, of a route beyond its fair share.
        """
        share = self._shares.share_of(request)
        for other in self._shares.beyond_past_objective(share):
            displaced = self._newest_refusable(other, now)
            flows_before = self._shares.count_before(other) - 1
            if displaced is not None and not self._is_released_in_time(
                displaced, flows_before, now
            ):
                self._displaced.append(displaced)
                other.remove_past_objective(displaced)
                return

    def _newest_refusable(self, share: FairShare, now: float) -> FlowRequest | None:
        """Return the newest flow past its objective that was not placed meanwhile."""
        refusable = (
            entry
            for entry in share.past_objective
            if self._is_queued(entry[-1]) and now < entry[-1].refusal_deadline
        )
        newest = max(refusable, default=None)
        return newest[-1] if newest is not None else None

    def _is_released_in_time(
        self, request: FlowRequest, flows_before: float, now: float
    ) -> bool:
        if now < self.discovery_deadline:
            return True
        gap = now - self._last_released_at
        if gap > RELEASE_STALL_TIMEOUT_SECONDS:
            return False
        past_objective_interval = max(self._release_interval, gap) * (
            1 + MAXIMUM_CONSECUTIVE_WITHIN_OBJECTIVE
        )
        return (
            now + past_objective_interval * (flows_before + 1) < request.answer_deadline
        )

    def _update_order(self, now: float) -> None:
        """Remove or move the flows at the heads that cannot be released as they are."""
        shares = self._shares
        # Lists, because every head is updated even if an earlier one left its place.
        while any([self._update_within(share, now) for share in shares.within_heads()]):
            pass
        while any([self._update_past(share, now) for share in shares.past_heads()]):
            pass
        shares.evict_idle()

    def _update_within(self, share: FairShare, now: float) -> bool:
        """Return whether a share's first flow within its objective left its place."""
        request = share.within_objective[0][-1]
        is_sendable = self._is_sendable(request, now)
        if (
            is_sendable
            and now + self._average_duration_seconds <= request.objective_deadline
        ):
            return False
        share.within_objective.popleft()
        if is_sendable:
            self._shares.add_past_objective(request)
        return True

    def _update_past(self, share: FairShare, now: float) -> bool:
        """Return whether a share's first flow past its objective left its place."""
        if self._is_sendable(share.past_objective[0][-1], now):
            return False
        heapq.heappop(share.past_objective)
        return True

    def _is_queued(self, request: FlowRequest) -> bool:
        return self._by_flow.get(request.flow) is request

    def _is_sendable(self, request: FlowRequest, now: float) -> bool:
        # A flow whose next retransmission is due leaves its share; the retransmission
        # queues it again.
        return self._is_queued(request) and request.may_be_sent(now)
