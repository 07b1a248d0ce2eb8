"""Route the packets of flows that name their backend server by a cookie.

A backend server's cookie is in every packet that a caller sends after the server's
first answer.  Any entry host can therefore route such a packet without state of the
flow.  Only the packet that opens a flow needs a placement decision.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.backend_servers.target_registry import (
    RegisteredTarget,
    TargetRegistry,
)
from kingcuppulley.entry_hosts.coordinator_table import CoordinatorTable
from kingcuppulley.entry_hosts.seeded_messages import (
    FlowAcknowledged,
    FlowEnded,
    FlowEstablished,
    FlowMessage,
    FlowRefused,
    ForwardPacket,
    PlaceFlow,
)
from kingcuppulley.errors import MalformedPacketError
from kingcuppulley.fabric.flow_records import FlowRecord, FlowRecords
from kingcuppulley.fabric.flow_request import FlowRequest
from kingcuppulley.fabric.formats import FlowPacket, PacketFormat
from kingcuppulley.fabric.placement import (
    LEAST_LOAD,
    Placement,
    PlacementDecision,
    PlacementOutcome,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators.routing import RoutingTable

PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 0.04
# How long a server's first packet takes to reach the caller that waits for it.
ANSWER_TRAVEL_SECONDS = 0.03
# Flows of lower priorities are counted with those of this one.
MAXIMUM_COUNTED_PRIORITY = 3
# A process whose last tick is longer ago was paused or has fallen behind.  It is
# shorter than the time after which a caller sends its opening packet again.
STALL_SECONDS = 0.15
# How long after that packets may still be read that arrived before.
LATE_PACKETS_SECONDS = 0.2
# Origin of a flow that another host may have placed: if no server is found for the
# flow, no host or caller is notified.
NO_ORIGIN = ""


class CookieTransport(Protocol):
    """Send the router's packets and messages; implementations own the sockets."""

    def send_to_target(
        self,
        datagram: bytes,
        endpoint: tuple[str, int],
        header: FlowPacket | None = None,
    ) -> None:
        """Send a datagram to a backend server.

        A packet of an open flow comes with its header, and may wait for the link.
        """

    def may_open(self, header: FlowPacket, objective_seconds: float) -> bool:
        """Return whether the link can carry the flow of a first opening packet."""

    def send_to_caller(self, packet: bytes, address: str) -> None:
        """Send a packet to a caller."""

    def send_to_host(self, address: str, message: FlowMessage) -> None:
        """Send a message to another entry host."""


class DecisionLog(Protocol):
    """Record the steps of flows."""

    def record_sampled_step(self, flow: bytes, outcome: str, **inputs: object) -> None:
        """Record an expected step if the flow belongs to the sample."""

    def record_step(self, flow: bytes, outcome: str, **inputs: object) -> None:
        """Record a step that the caller may notice, even if the flow is not sampled."""


class _PendingPlacement:
    """Hold a new flow until its coordinator acknowledges the request to place it.

    `is_reclaimed` says that another coordinator did not acknowledge it before.
    """

    __slots__ = ("request", "message", "coordinator", "deadline", "is_reclaimed")

    def __init__(
        self,
        request: FlowRequest,
        message: PlaceFlow,
        coordinator: str,
        now: float,
        *,
        is_reclaimed: bool = False,
    ) -> None:
        self.request = request
        self.message = message
        self.coordinator = coordinator
        self.deadline = now + PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS
        self.is_reclaimed = is_reclaimed


class CookieRouter:
    """Route the packets of callers on one entry host.

    A new flow is placed by the placement coordinator of its service, which counts the
    flows of the whole zone.  All later packets name their target by its cookie, so that
    any host can forward them without state of the flow.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        packet_format: PacketFormat,
        transport: CookieTransport,
        routing_table: RoutingTable,
        registry: TargetRegistry,
        coordinators: CoordinatorTable,
        placement: Placement,
        metrics: Metrics,
        log: DecisionLog,
    ) -> None:
        self._address = address
        self._zone = zone
        self._packet_format = packet_format
        self._transport = transport
        self._routing_table = routing_table
        self._registry = registry
        self._coordinators = coordinators
        self._placement = placement
        self._metrics = metrics
        self._counts = metrics.counts
        self._log = log
        self._pending_placements: OrderedDict[bytes, _PendingPlacement] = OrderedDict()
        self._records = FlowRecords(self._report, self._adopt_flow)
        self._ticked_at = float("inf")
        self._late_until = 0.0
        self.is_ready = False

    def packet_from_fabric(self, packet: bytes, now: float) -> None:
        """Route one packet that a caller sent."""
        try:
            header = self._packet_format.read(packet)
        except MalformedPacketError:
            self._counts["packets_malformed"] += 1
            return
        if header.opens_flow:
            self._open_flow(packet, header, now)
        else:
            self._forward(packet, header, now)

    def place_for_host(self, host: str, message: PlaceFlow, now: float) -> None:
        """Place a new flow whose packet another host of the zone received."""
        try:
            route_key = self._packet_format.read(message.packet).route_key
        except MalformedPacketError:
            self._counts["packets_malformed"] += 1
            return
        self._transport.send_to_host(host, FlowAcknowledged(message.flow))
        self._place_flow(self._build_request(message, route_key, host, now), now)

    def forward_for_host(self, packet: bytes, now: float) -> None:
        """Forward a packet whose cookie another host of the zone does not know.

        A packet whose cookie is unknown here too is dropped, so that no packet loops
        between hosts.
        """
        try:
            header = self._packet_format.read(packet)
        except MalformedPacketError:
            self._counts["packets_malformed"] += 1
            return
        target = self._registry.by_cookie(header.cookie)
        if target is None:
            self._drop_unknown(header)
        else:
            self._counts["packets_carried_for_hosts"] += 1
            self._send_to_target(packet, header, target)

    def flow_acknowledged(self, message: FlowAcknowledged) -> None:
        """Stop waiting for the coordinator's acknowledgement."""
        self._pending_placements.pop(message.flow, None)

    def flow_refused(self, host: str, message: FlowRefused) -> None:
        """Reset a flow for which its coordinator found no server.

        Ignore the refusal if another host may have placed the flow in the meantime,
        because the flow may be established by now.
        """
        record = self._records.get(message.flow)
        if record is not None and record.placed_by == host and record.may_be_reset:
            self._reset(message.flow)

    def flow_established(self, message: FlowEstablished, now: float) -> None:
        """Record that a server works for a flow placed here, or has answered it."""
        if message.answer_seconds is None:
            target = self._registry.by_cookie(message.cookie)
            self._placement.flow_established(message.flow, now, target, message.route)
        else:
            self._placement.flow_answered(message.flow, message.answer_seconds, now)

    def flow_ended(self, message: FlowEnded, now: float) -> None:
        """Record the end of a flow that was placed here."""
        self._placement.end_flow(message.flow, message.was_answered, now)

    def flow_released(
        self, request: FlowRequest, decision: PlacementDecision, queued_seconds: float
    ) -> None:
        """Apply the decision on a flow that was queued for `queued_seconds`."""
        self._metrics.observe_seconds("flow_held", queued_seconds)
        self._apply(request, decision)

    def tick(self, now: float) -> None:
        """Place flows that no coordinator acknowledged, and expire old flow records."""
        if self._has_stalled(now):
            self._late_until = now + LATE_PACKETS_SECONDS
        self._ticked_at = now
        while self._pending_placements:
            pending = next(iter(self._pending_placements.values()))
            if now < pending.deadline:
                break
            self._pending_placements.popitem(last=False)
            self._counts["stewards_missed"] += 1
            self._coordinators.suspect(pending.coordinator, now)
            self._log.record_step(
                pending.request.flow,
                "reclaimed",
                reason="no answer from the coordinator",
                steward=pending.coordinator,
            )
            self._place_reclaimed(pending, now)
        self._records.tick(now)
        self._placement.tick(now)

    def _has_stalled(self, now: float) -> bool:
        return now - self._ticked_at > STALL_SECONDS

    def _may_be_late(self, now: float) -> bool:
        """Return whether a packet may have waited while the process did not run.

        Another host may have placed its flow, which then must not be reset.
        """
        return now < self._late_until or self._has_stalled(now)

    def _place_reclaimed(self, pending: _PendingPlacement, now: float) -> None:
        """Give a flow to the next coordinator, or place it here if that fails too.

        Hosts that place flows themselves do not know of each other's, and overload the
        servers when a coordinator is slow.  The first coordinator may have placed the
        flow after all, so it must not be reset.
        """
        request = pending.request
        coordinator = self._coordinator_of(request, now)
        if pending.is_reclaimed or coordinator in (None, self._address):
            self._records.add(request.flow, FlowRecord(self._address, now))
            request.origin = NO_ORIGIN
            self._place_flow(request, now)
            return
        assert coordinator is not None
        self._counts["opens_to_next_coordinator"] += 1
        self._records.add(
            request.flow, FlowRecord(coordinator, now, may_be_reset=False)
        )
        self._pending_placements[request.flow] = _PendingPlacement(
            request, pending.message, coordinator, now, is_reclaimed=True
        )
        self._transport.send_to_host(coordinator, pending.message)

    def _coordinator_of(self, request: FlowRequest, now: float) -> str | None:
        share = self._placement.choice.shares.share_of_flow(
            self._zone, request.service, request.flow
        )
        return self._coordinators.coordinator(self._zone, request.service, now, share)

    def _open_flow(self, packet: bytes, header: FlowPacket, now: float) -> None:
        if not self.is_ready:
            self._counts["opens_before_ready"] += 1
            self._log.record_step(header.flow, "dropped", reason="not ready")
            return
        route = self._routing_table.route(header.route_key)
        if route is None:
            self._counts["opens_without_route"] += 1
            self._log.record_step(header.flow, "refused", reason="no route")
            self._reset(header.flow)
            return
        self._counts["opens"] += 1
        may_be_reset = not self._may_be_late(now)
        # Another host may have sent an earlier copy of a retransmitted packet on.
        if (
            may_be_reset
            and not header.retransmission
            and not self._transport.may_open(header, route.objective_seconds)
        ):
            self._counts["egress_refused"] += 1
            self._log.record_step(header.flow, "refused", reason="link backlog")
            self._reset(header.flow)
            return
        service = route.service_of(header.flow)
        objective_ms = round(route.objective_seconds * 1000)
        message = PlaceFlow(
            header.flow,
            service,
            header.retransmission,
            route.priority,
            objective_ms,
            packet,
        )
        origin = self._address if may_be_reset else NO_ORIGIN
        request = self._build_request(message, header.route_key, origin, now)
        coordinator = self._coordinator_of(request, now)
        if coordinator is None or coordinator == self._address:
            self._records.add(header.flow, FlowRecord(self._address, now))
            self._place_flow(request, now)
            return
        self._records.add(
            header.flow, FlowRecord(coordinator, now, may_be_reset=may_be_reset)
        )
        self._pending_placements[header.flow] = _PendingPlacement(
            request, message, coordinator, now
        )
        self._counts["opens_to_steward"] += 1
        self._log.record_sampled_step(
            header.flow, "sent to coordinator", steward=coordinator, service=service
        )
        self._transport.send_to_host(coordinator, message)

    def _build_request(
        self, message: PlaceFlow, route_key: bytes, origin: str, now: float
    ) -> FlowRequest:
        opening_began_at = now - self._packet_format.opening_age_seconds(
            message.retransmission
        )
        return FlowRequest(
            message.flow,
            message.service,
            message.retransmission,
            message.packet,
            message.priority,
            origin,
            opening_began_at + message.objective_ms / 1000 - ANSWER_TRAVEL_SECONDS,
            opening_began_at
            + self._packet_format.opening_timeout_seconds
            - ANSWER_TRAVEL_SECONDS,
            opening_began_at
            + self._packet_format.retransmission_due_seconds(message.retransmission),
            route_key,
        )

    def _place_flow(self, request: FlowRequest, now: float) -> None:
        self._apply(request, self._placement.open_flow(request, now))

    def _apply(self, request: FlowRequest, decision: PlacementDecision) -> None:
        self._counts[f"flows_{decision.outcome.value}"] += 1
        self._count_by_priority(request, decision.outcome)
        if decision.outcome is PlacementOutcome.REFUSED:
            reason = decision.reason.replace(" ", "_")
            self._counts[f"flows_refused_{reason}"] += 1
        target = decision.target
        is_routine = decision.reason == LEAST_LOAD
        log_step = (
            self._log.record_sampled_step if is_routine else self._log.record_step
        )
        log_step(
            request.flow,
            decision.outcome.value,
            reason=decision.reason,
            copy=request.retransmission,
            server=target.name if target is not None else None,
            zone=target.zone if target is not None else None,
            load=decision.load,
        )
        if decision.outcome is PlacementOutcome.REFUSED:
            self._refuse(request)
        elif decision.outcome is PlacementOutcome.PLACED and target is not None:
            datagram = self._packet_format.to_target(
                request.packet, target.packet_identity, target.cookie
            )
            self._transport.send_to_target(datagram, target.endpoint)

    def _count_by_priority(
        self, request: FlowRequest, outcome: PlacementOutcome
    ) -> None:
        if outcome is not PlacementOutcome.PLACED:
            level = min(request.priority, MAXIMUM_COUNTED_PRIORITY)
            # By name: the value of QUEUED is `held`, the term of earlier counters.
            self._counts[f"flows_{outcome.name.lower()}_priority_{level}"] += 1

    def _forward(self, packet: bytes, header: FlowPacket, now: float) -> None:
        if header.ends_flow:
            # A caller learns a cookie only from a server's answer.
            self._end_flow(header.flow, header.cookie != 0, now)
        elif header.cookie:
            self._records.track(header, now)
        target = self._registry.by_cookie(header.cookie)
        if target is None:
            self._forward_to_peer(packet, header, now)
            return
        self._send_to_target(packet, header, target)

    def _forward_to_peer(self, packet: bytes, header: FlowPacket, now: float) -> None:
        """Forward a packet to a peer, which may know a newer server."""
        self._counts["packets_with_unknown_mark"] += 1
        route = self._routing_table.route(header.route_key)
        peer = None
        if route is not None and header.cookie:
            service = route.service_of(header.flow)
            peer = self._coordinators.peer_in_zone(service, now)
        if peer is None:
            self._drop_unknown(header)
        else:
            self._transport.send_to_host(peer, ForwardPacket(packet))

    def _drop_unknown(self, header: FlowPacket) -> None:
        self._counts["packets_dropped_unknown"] += 1
        self._log.record_step(
            header.flow, "dropped", reason="unknown cookie", mark=header.cookie
        )

    def _send_to_target(
        self, packet: bytes, header: FlowPacket, target: RegisteredTarget
    ) -> None:
        if not self._routing_table.may_forward(header.route_key, target.service):
            self._counts["packets_of_removed_route"] += 1
            self._log.record_step(header.flow, "dropped", reason="route removed")
            return
        if target.state is ServingState.GONE:
            # The server deregistered because it stops, so its flows have ended.
            self._counts["packets_to_server_gone"] += 1
            self._log.record_step(
                header.flow, "dropped", reason="server gone", server=target.name
            )
            return
        self._counts["packets_carried"] += 1
        datagram = self._packet_format.to_target(
            packet, target.packet_identity, header.cookie
        )
        self._transport.send_to_target(datagram, target.endpoint, header)

    def _adopt_flow(self, header: FlowPacket, now: float) -> FlowRecord | None:
        """Return a record by which the coordinator of a flow's server counts it."""
        target = self._registry.by_cookie(header.cookie)
        if target is None:
            return None
        share = self._placement.choice.shares.share_of_server(target)
        coordinator = self._coordinators.coordinator(
            target.zone, target.service, now, share
        )
        self._counts["flows_adopted"] += 1
        return FlowRecord(coordinator or self._address, now, may_be_reset=False)

    def _report(self, record: FlowRecord, message: FlowEstablished, now: float) -> None:
        if record.placed_by == self._address:
            self.flow_established(message, now)
        else:
            self._transport.send_to_host(record.placed_by, message)

    def _end_flow(self, flow: bytes, was_answered: bool, now: float) -> None:
        record = self._records.remove(flow)
        if record is None:
            return
        self._log.record_sampled_step(
            flow, "ended", seconds=round(now - record.recorded_at, 4)
        )
        if record.placed_by == self._address:
            self._placement.end_flow(flow, was_answered, now)
        else:
            self._transport.send_to_host(
                record.placed_by, FlowEnded(flow, was_answered)
            )

    def _refuse(self, request: FlowRequest) -> None:
        if request.origin == self._address:
            self._reset(request.flow)
        elif request.origin != NO_ORIGIN:
            self._transport.send_to_host(request.origin, FlowRefused(request.flow))

    def _reset(self, flow: bytes) -> None:
        packet, address = self._packet_format.reset(flow)
        self._transport.send_to_caller(packet, address)
