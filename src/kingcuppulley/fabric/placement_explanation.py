"""Explain where a new flow would be placed now, without placing it."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from kingcuppulley.backend_servers.target_registry import RegisteredTarget
from kingcuppulley.entry_hosts.coordinator_table import CoordinatorTable
from kingcuppulley.fabric.cookie_router import ANSWER_TRAVEL_SECONDS
from kingcuppulley.fabric.flow_queue import FlowQueue
from kingcuppulley.fabric.flow_request import FlowRequest
from kingcuppulley.fabric.formats import PacketFormat
from kingcuppulley.fabric.placement import (
    LEAST_LOAD,
    MAXIMUM_WITHIN_OBJECTIVE_PER_SLOT,
    Placement,
)
from kingcuppulley.fabric.ranked_server import RankedServer
from kingcuppulley.fabric.server_index import MAXIMUM_TIE_BREAK_COST
from kingcuppulley.operators.routing import Route, RoutingTable


class ExpectedOutcome(Enum):
    """Name what would happen to a new flow."""

    PLACED = "placed"
    QUEUED = "queued"
    DEPENDS_ON_TIE_BREAK = "depends on tie break"
    REFUSED = "refused"
    DROPPED = "dropped"
    SENT_TO_COORDINATOR = "sent to coordinator"


class ExplainedServer(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a backend server as the host that explains sees it.

    Attributes
    ----------
    flows : int
        Open flows that the host knows of.
    rank : str
        Servers are compared by rank first and by cost second.
    slowness : float
        How long requests take, relative to an average server of the service.
    cost : float
        Flows per slot, with one flow more, times slowness; more for servers of other
        shares and zones.
    has_capacity : bool
        Whether a flow would be placed on the server instead of being queued.
    may_be_chosen : bool
        Whether the random tie break could choose the server.
    """

    name: str
    zone: str
    rank: str
    flows: int
    slots: int
    slowness: float
    cost: float
    has_capacity: bool
    may_be_chosen: bool


class ExplainedQueue(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the host's queue of a service.

    `within_objective` counts the flows that can still meet their objective.  A new flow
    is queued behind them even if a server has free capacity.
    """

    flows: int = 0
    within_objective: int = 0


class PlacementExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Say where a new flow would go, and by which facts.

    Attributes
    ----------
    host : str
        The entry host that explains, by its own knowledge.
    flow : str
        Identifier of the flow in logs.
    route : str
        Name of the route; empty if there is none, and so are the fields after it.
    share : int
        Share of the service in the zone, of `share_count`.
    coordinator : str or None
        The host that places the flows of the share, or None if no host is known.
    link_queued_bytes : int
        Bytes that wait for the host's link; 0 if its rate is not known.
    servers : list of ExplainedServer
        The servers that the flow may use, in the order of the choice.
    """

    host: str
    zone: str
    flow: str
    outcome: ExpectedOutcome
    reason: str
    configuration_version: int = 0
    route: str = ""
    service: str = ""
    share: int = 0
    share_count: int = 0
    coordinator: str | None = None
    is_coordinator: bool = False
    link_queued_bytes: int = 0
    queue: ExplainedQueue = ExplainedQueue()
    servers: list[ExplainedServer] = []


class LinkState(Protocol):
    """Say how busy the link of the host that explains is."""

    @property
    def queued_bytes(self) -> int:
        """Return how many bytes wait for the link."""

    def has_room(self, route_key: bytes, objective_seconds: float) -> bool:
        """Return whether a new flow of a route can be sent in time."""


class PlacementExplainer:
    """Explain placements by what one entry host knows; nothing is changed."""

    def __init__(
        self,
        address: str,
        zone: str,
        packet_format: PacketFormat,
        routing_table: RoutingTable,
        coordinators: CoordinatorTable,
        placement: Placement,
        link: LinkState | None = None,
    ) -> None:
        self._address = address
        self._zone = zone
        self._packet_format = packet_format
        self._routing_table = routing_table
        self._coordinators = coordinators
        self._placement = placement
        self._link = link

    def explain(
        self, flow: bytes, route_key: bytes, is_ready: bool, now: float
    ) -> PlacementExplanation:
        """Explain where a flow whose first packet arrived now would go."""
        route = self._routing_table.route(route_key)
        if route is None or not is_ready:
            return PlacementExplanation(
                host=self._address,
                zone=self._zone,
                flow=flow.hex(),
                outcome=ExpectedOutcome.REFUSED
                if is_ready
                else ExpectedOutcome.DROPPED,
                reason="no route" if is_ready else "this host is not ready",
                configuration_version=self._routing_table.version,
                route="" if route is None else route.name,
            )
        return self._explain_route(flow, route, now)

    def _explain_route(
        self, flow: bytes, route: Route, now: float
    ) -> PlacementExplanation:
        service = route.service_of(flow)
        choice = self._placement.choice
        share = choice.shares.share_of_flow(self._zone, service, flow)
        coordinator = self._coordinators.coordinator(self._zone, service, now, share)
        is_coordinator = coordinator in (None, self._address)
        servers = choice.ranked_servers(service, share, now)
        probed = choice.due_probe(service, share, now)
        contenders = _find_contenders(servers, probed)
        queue = self._placement.queue_of(service)
        if queue is None:
            queue = FlowQueue()
        if self._link and not self._link.has_room(route.key, route.objective_seconds):
            outcome, reason = ExpectedOutcome.REFUSED, "link backlog"
        elif is_coordinator:
            request = self._build_request(flow, service, route, now)
            outcome, reason = self._decide(
                request, queue.copy(), servers, contenders, now
            )
        else:
            outcome = ExpectedOutcome.SENT_TO_COORDINATOR
            reason = f"{coordinator} places the flows of the share; ask that host"
        return PlacementExplanation(
            host=self._address,
            zone=self._zone,
            flow=flow.hex(),
            outcome=outcome,
            reason=reason,
            configuration_version=self._routing_table.version,
            route=route.name,
            service=service,
            share=share,
            share_count=choice.shares.count(self._zone, service),
            coordinator=coordinator,
            is_coordinator=is_coordinator,
            link_queued_bytes=self._link.queued_bytes if self._link else 0,
            queue=_explain_queue(queue, now),
            servers=[
                _explain_server(server, server in contenders) for server in servers
            ],
        )

    def _decide(
        self,
        request: FlowRequest,
        queue: FlowQueue,
        servers: list[RankedServer],
        contenders: list[RankedServer],
        now: float,
    ) -> tuple[ExpectedOutcome, str]:
        """Decide as `Placement` does for a new flow; `queue` is a copy."""
        slots = sum(server.counted_slots for server in servers)
        is_discovery_over = now >= self._placement.discovery_deadline
        if not contenders and not slots and is_discovery_over:
            return ExpectedOutcome.REFUSED, "no server within reach"
        if contenders and not slots:
            return ExpectedOutcome.PLACED, LEAST_LOAD
        with_capacity = sum(server.has_capacity for server in contenders)
        # `Placement` checks the queue only if the server drawn has capacity, and the
        # check removes outdated entries, which `add` counts otherwise.
        checked = queue if with_capacity == len(contenders) else queue.copy()
        is_next = (
            with_capacity > 0
            and request.flow not in queue
            and not checked.has_within_objective(now)
        )
        if is_next and with_capacity == len(contenders):
            return ExpectedOutcome.PLACED, LEAST_LOAD
        limit = MAXIMUM_WITHIN_OBJECTIVE_PER_SLOT * slots
        if queue.add(request, now, limit):
            outcome = ExpectedOutcome.QUEUED
            reason = _queueing_reason(len(contenders), with_capacity)
        else:
            outcome, reason = ExpectedOutcome.REFUSED, "too many wait"
        if is_next:
            reason = f"placed, or {outcome.value} if a full server is drawn"
            outcome = ExpectedOutcome.DEPENDS_ON_TIE_BREAK
        return outcome, reason

    def _build_request(
        self, flow: bytes, service: str, route: Route, now: float
    ) -> FlowRequest:
        timeout_seconds = self._packet_format.opening_timeout_seconds
        return FlowRequest(
            flow,
            service,
            0,
            b"",
            route.priority,
            self._address,
            now + route.objective_seconds - ANSWER_TRAVEL_SECONDS,
            now + timeout_seconds - ANSWER_TRAVEL_SECONDS,
            now + self._packet_format.retransmission_due_seconds(0),
            route.key,
        )


def _queueing_reason(contenders: int, with_capacity: int) -> str:
    if not contenders:
        return "no server may get a flow now"
    if with_capacity:
        return "other flows are queued"
    return "every server that may be chosen is full"


def _find_contenders(
    servers: list[RankedServer], probed: RegisteredTarget | None
) -> list[RankedServer]:
    """Return the servers that the tie break could choose, or the one to probe."""
    if probed is not None:
        return [server for server in servers if server.target is probed]
    usable = [server for server in servers if server.may_be_used]
    return [
        server
        for server in usable
        if server.rank == usable[0].rank
        and server.cost < usable[0].cost + MAXIMUM_TIE_BREAK_COST
    ]


def _explain_queue(queue: FlowQueue, now: float) -> ExplainedQueue:
    # Counting removes outdated entries, so it is done on a copy.
    within_objective = queue.copy().count_within_objective(now)
    return ExplainedQueue(flows=len(queue), within_objective=within_objective)


def _explain_server(server: RankedServer, may_be_chosen: bool) -> ExplainedServer:
    return ExplainedServer(
        name=server.target.name,
        zone=server.target.zone,
        rank=server.rank_name,
        flows=server.flows,
        slots=server.target.slots,
        slowness=round(server.slowness, 2),
        cost=round(server.cost, 3),
        has_capacity=server.has_capacity,
        may_be_chosen=may_be_chosen,
    )
