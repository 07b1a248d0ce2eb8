"""Route packets whose flows carry a cookie of their target."""

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
from kingcuppulley.fabric.formats import FlowPacket, PacketFormat
from kingcuppulley.fabric.placement import (
    LEAST_LOAD,
    Placement,
    PlacementDecision,
    PlacementOutcome,
)
from kingcuppulley.fabric.waiting import FlowRequest
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators.routing import RoutingTable

PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 0.04
FLOW_NOTE_SECONDS = 4.0
# Between a server's first packet and the caller that waits for it.
ANSWER_SECONDS = 0.03
NO_ORIGIN = ""


class CookieTransport(Protocol):
    """Send what the router decides; a task owns the sockets behind it."""

    def send_to_target(self, datagram: bytes, endpoint: tuple[str, int]) -> None:
        """Send a datagram to a backend server."""

    def send_to_caller(self, packet: bytes, address: str) -> None:
        """Send a packet to a caller."""

    def send_to_host(self, address: str, message: FlowMessage) -> None:
        """Send a message to another entry host."""


class DecisionLog(Protocol):
    """Record decisions that touch a flow."""

    def record_routine(self, flow: bytes, outcome: str, **inputs: object) -> None:
        """Record a step of a flow that is as it should be, for a sample of flows."""

    def record_anomaly(self, flow: bytes, outcome: str, **inputs: object) -> None:
        """Record a step of a flow that its caller may notice."""


class _Awaited:
    """Hold a new flow until its steward says that it has taken it."""

    __slots__ = ("request", "steward", "deadline")

    def __init__(self, request: FlowRequest, steward: str, deadline: float) -> None:
        self.request = request
        self.steward = steward
        self.deadline = deadline


class _Placer:
    """Remember who placed a flow, and whether that host knows it as open."""

    __slots__ = ("address", "noted_at", "is_told_open")

    def __init__(self, address: str, now: float) -> None:
        self.address = address
        self.noted_at = now
        self.is_told_open = False


class CookieRouter:
    """Route packets of callers on one entry host.

    A new flow is placed by the steward of its service, which counts the flows of the
    whole zone.  All later packets name their target by its cookie, so that any host can
    carry them without knowing the flow.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        packets: PacketFormat,
        transport: CookieTransport,
        table: RoutingTable,
        registry: TargetRegistry,
        stewards: CoordinatorTable,
        placement: Placement,
        metrics: Metrics,
        log: DecisionLog,
    ) -> None:
        self._address = address
        self._zone = zone
        self._packets = packets
        self._transport = transport
        self._table = table
        self._registry = registry
        self._stewards = stewards
        self._placement = placement
        self._metrics = metrics
        self._counts = metrics.counts
        self._log = log
        self._awaited: OrderedDict[bytes, _Awaited] = OrderedDict()
        self._placers: OrderedDict[bytes, _Placer] = OrderedDict()
        self.is_ready = False

    def packet_from_fabric(self, packet: bytes, now: float) -> None:
        """Route one packet of a caller."""
        try:
            head = self._packets.read(packet)
        except MalformedPacketError:
            self._counts["packets_malformed"] += 1
            return
        if head.opens_flow:
            self._open(packet, head, now)
        else:
            self._carry(packet, head, now)

    def place_for_host(self, host: str, asked: PlaceFlow, now: float) -> None:
        """Place a new flow that another host of the zone took."""
        self._transport.send_to_host(host, FlowAcknowledged(asked.flow))
        self._place(self._request(asked, host, now), now)

    def forward_for_host(self, packet: bytes, now: float) -> None:
        """Carry a packet whose cookie another host of the zone does not know."""
        head = self._packets.read(packet)
        target = self._registry.by_cookie(head.cookie)
        if target is None:
            self._drop_unknown(head)
        else:
            self._counts["packets_carried_for_hosts"] += 1
            self._send_on(packet, head, target)

    def flow_acknowledged(self, taken: FlowAcknowledged) -> None:
        """Stop waiting for a steward's answer."""
        self._awaited.pop(taken.flow, None)

    def flow_refused(self, host: str, refused: FlowRefused) -> None:
        """Refuse a flow for whose opening a steward found no server.

        A flow that was taken back meanwhile may be open by now, so it is left alone.
        """
        noted = self._placers.get(refused.flow)
        if noted is not None and noted.address == host:
            self._reset(refused.flow)

    def flow_established(self, opened: FlowEstablished, now: float) -> None:
        """Take that the caller of a flow which was placed here has heard a server."""
        self._placement.flow_established(opened.flow, now)

    def flow_ended(self, ended: FlowEnded, now: float) -> None:
        """Take the end of a flow that was placed here."""
        self._placement.end_flow(ended.flow, ended.was_answered, now)

    def flow_released(
        self, request: FlowRequest, decision: PlacementDecision, held: float
    ) -> None:
        """Send a flow that was held for some seconds, or refuse it."""
        self._metrics.observe_seconds("flow_held", held)
        self._carry_out(request, decision)

    def tick(self, now: float) -> None:
        """Place what a steward did not answer for, and forget old notes."""
        while self._awaited:
            awaited = next(iter(self._awaited.values()))
            if now < awaited.deadline:
                break
            self._awaited.popitem(last=False)
            self._counts["stewards_missed"] += 1
            self._stewards.suspect(awaited.steward, now)
            self._log.record_anomaly(
                awaited.request.flow,
                "taken back",
                reason="no answer from the steward",
                steward=awaited.steward,
            )
            self._placers[awaited.request.flow] = _Placer(self._address, now)
            # The steward may have placed it after all: it is not refused from here.
            awaited.request.origin = NO_ORIGIN
            self._place(awaited.request, now)
        while self._placers:
            flow, noted = next(iter(self._placers.items()))
            if now - noted.noted_at < FLOW_NOTE_SECONDS:
                break
            del self._placers[flow]
        self._placement.tick(now)

    def _open(self, packet: bytes, head: FlowPacket, now: float) -> None:
        if not self.is_ready:
            self._counts["opens_before_ready"] += 1
            self._log.record_anomaly(head.flow, "dropped", reason="not ready")
            return
        route = self._table.route(head.service_key)
        if route is None:
            self._counts["opens_without_route"] += 1
            self._log.record_anomaly(head.flow, "refused", reason="no route")
            self._reset(head.flow)
            return
        self._counts["opens"] += 1
        service = route.service_of(head.flow)
        objective_ms = round(route.objective_seconds * 1000)
        asked = PlaceFlow(
            head.flow,
            service,
            head.retransmission,
            route.priority,
            objective_ms,
            packet,
        )
        request = self._request(asked, self._address, now)
        steward = self._stewards.coordinator(self._zone, service, now)
        if steward is None or steward == self._address:
            self._placers[head.flow] = _Placer(self._address, now)
            self._place(request, now)
            return
        self._placers[head.flow] = _Placer(steward, now)
        self._awaited[head.flow] = _Awaited(
            request, steward, now + PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS
        )
        self._counts["opens_to_steward"] += 1
        self._log.record_routine(head.flow, "given", steward=steward, service=service)
        self._transport.send_to_host(steward, asked)

    def _request(self, asked: PlaceFlow, origin: str, now: float) -> FlowRequest:
        began_at = now - self._packets.opening_age_seconds(asked.retransmission)
        return FlowRequest(
            asked.flow,
            asked.service,
            asked.retransmission,
            asked.packet,
            asked.priority,
            origin,
            began_at + asked.objective_ms / 1000 - ANSWER_SECONDS,
            began_at + self._packets.opening_timeout_seconds - ANSWER_SECONDS,
            began_at + self._packets.retransmission_due_seconds(asked.retransmission),
        )

    def _place(self, request: FlowRequest, now: float) -> None:
        self._carry_out(request, self._placement.open_flow(request, now))

    def _carry_out(self, request: FlowRequest, decision: PlacementDecision) -> None:
        self._counts[f"flows_{decision.outcome.value}"] += 1
        if decision.outcome is PlacementOutcome.REFUSED:
            reason = decision.reason.replace(" ", "_")
            self._counts[f"flows_refused_{reason}"] += 1
        target = decision.target
        is_usual = decision.reason == LEAST_LOAD
        tell = self._log.record_routine if is_usual else self._log.record_anomaly
        tell(
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
            datagram = self._packets.to_target(
                request.packet, target.packet_identity, target.cookie
            )
            self._transport.send_to_target(datagram, target.endpoint)

    def _carry(self, packet: bytes, head: FlowPacket, now: float) -> None:
        if head.ends_flow:
            # Only a server's answer brings a cookie back.
            self._end(head.flow, head.cookie != 0, now)
        elif head.cookie:
            self._tell_open(head.flow, now)
        target = self._registry.by_cookie(head.cookie)
        if target is None:
            self._pass_on(packet, head, now)
            return
        self._send_on(packet, head, target)

    def _pass_on(self, packet: bytes, head: FlowPacket, now: float) -> None:
        """Let a neighbour carry a packet: it may have heard of a newer server."""
        self._counts["packets_with_unknown_mark"] += 1
        route = self._table.route(head.service_key)
        neighbour = None
        if route is not None and head.cookie:
            service = route.service_of(head.flow)
            neighbour = self._stewards.peer_in_zone(service, now)
        if neighbour is None:
            self._drop_unknown(head)
        else:
            self._transport.send_to_host(neighbour, ForwardPacket(packet))

    def _drop_unknown(self, head: FlowPacket) -> None:
        self._counts["packets_dropped_unknown"] += 1
        self._log.record_anomaly(
            head.flow, "dropped", reason="unknown mark", mark=head.cookie
        )

    def _send_on(
        self, packet: bytes, head: FlowPacket, target: RegisteredTarget
    ) -> None:
        if not self._table.may_carry(head.service_key, target.service):
            self._counts["packets_of_removed_route"] += 1
            self._log.record_anomaly(head.flow, "dropped", reason="route removed")
            return
        if target.state is ServingState.GONE:
            # The server said that it ends, so its flows are over.
            self._counts["packets_to_server_gone"] += 1
            self._log.record_anomaly(
                head.flow, "dropped", reason="server gone", server=target.name
            )
            return
        self._counts["packets_carried"] += 1
        datagram = self._packets.to_target(packet, target.packet_identity, head.cookie)
        self._transport.send_to_target(datagram, target.endpoint)

    def _tell_open(self, flow: bytes, now: float) -> None:
        noted = self._placers.get(flow)
        if noted is None or noted.is_told_open:
            return
        noted.is_told_open = True
        if noted.address == self._address:
            self._placement.flow_established(flow, now)
        else:
            self._transport.send_to_host(noted.address, FlowEstablished(flow))

    def _end(self, flow: bytes, was_answered: bool, now: float) -> None:
        noted = self._placers.pop(flow, None)
        if noted is None:
            return
        self._log.record_routine(flow, "ended", seconds=round(now - noted.noted_at, 4))
        if noted.address == self._address:
            self._placement.end_flow(flow, was_answered, now)
        else:
            self._transport.send_to_host(noted.address, FlowEnded(flow, was_answered))

    def _refuse(self, request: FlowRequest) -> None:
        if request.origin == self._address:
            self._reset(request.flow)
        elif request.origin != NO_ORIGIN:
            self._transport.send_to_host(request.origin, FlowRefused(request.flow))

    def _reset(self, flow: bytes) -> None:
        packet, address = self._packets.reset(flow)
        self._transport.send_to_caller(packet, address)
