"""Decide where each packet goes; one decision point, the owner, for each flow."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Protocol

from kingcuppulley.backend_servers.records import TargetRecord
from kingcuppulley.errors import MalformedPacketError
from kingcuppulley.fabric.flow_table import FlowTable
from kingcuppulley.fabric.ownership import OwnerTable
from kingcuppulley.fabric.packet import TCP, PacketHeader, read_header
from kingcuppulley.fabric.replication import FlowReplication, FlowsByTarget
from kingcuppulley.fabric.targets import PacketTarget, PacketTargets, ServiceKey
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.model import Service, Tier

MAXIMUM_HOPS = 2
LEARN_SECONDS = 0.1
MAXIMUM_WAITING_FLOWS = 4096
MAXIMUM_WAITING_PACKETS_PER_FLOW = 16


class PacketTransport(Protocol):
    """Send what the router decides; a task owns the sockets behind it."""

    def send_to_target(self, packet: bytes, endpoint: tuple[str, int]) -> None:
        """Send a packet to a backend server."""

    def send_to_owner(self, packet: bytes, host: str, hops: int) -> None:
        """Send a packet to the entry host that owns its flow."""

    def reset_caller(self, packet: bytes) -> None:
        """Answer a packet with a reset, because its flow is given up."""

    def ask_for_flow(self, hosts: list[str], flow: int) -> None:
        """Ask other entry hosts which target a flow has."""


class PendingFlow:
    """Hold the packets of a flow whose target other hosts are being asked for."""

    __slots__ = ("service", "packets", "unanswered", "deadline")

    def __init__(self, service: Service, unanswered: set[str], deadline: float) -> None:
        self.service = service
        self.packets: list[bytes] = []
        self.unanswered = unanswered
        self.deadline = deadline


class PacketRouter:
    """Route packets of every service of the packet tier on one entry host."""

    def __init__(
        self,
        name: str,
        transport: PacketTransport,
        metrics: Metrics,
        zones: Mapping[str, str],
        flow_generation_seconds: float,
        now: float,
    ) -> None:
        self._name = name
        self._transport = transport
        self._counts = metrics.counts
        self._services: dict[int, Service] = {}
        self._targets = PacketTargets()
        self._owners = OwnerTable(zones)
        self._flows = FlowTable(flow_generation_seconds, now)
        self._waiting: dict[int, PendingFlow] = {}
        self._waiting_order: deque[int] = deque()
        # Until this deadline a flow that is not in the table may live elsewhere.
        self._learn_until_deadline = now + 2 * flow_generation_seconds
        self._replication = FlowReplication(
            name, self._flows, self._owners, self._targets
        )

    @property
    def flow_count(self) -> int:
        """Return how many flows this host remembers."""
        return len(self._flows)

    @property
    def owners(self) -> OwnerTable:
        """Return which hosts own flows."""
        return self._owners

    @property
    def replication(self) -> FlowReplication:
        """Return what keeps other hosts able to take flows over."""
        return self._replication

    def update_services(self, services: Iterable[Service]) -> None:
        """Take the services that are in force."""
        self._services = {
            ServiceKey.of_service(service): service
            for service in services
            if service.tier is Tier.PACKETS
        }

    def update_targets(
        self, records: Iterable[TargetRecord], zones_out: frozenset[str]
    ) -> None:
        """Take the backend servers that are known and the zones out of service."""
        if self._targets.update(records, zones_out):
            self._replication.restart_scan()

    def update_owners(self, hosts: Iterable[str], now: float) -> None:
        """Take the hosts that may own flows."""
        if self._owners.update(hosts):
            self._learn_until_deadline = now + 2 * self._flows.generation_seconds
            self._replication.restart_scan()

    def packet_from_fabric(self, packet: bytes, now: float) -> None:
        """Route a packet that the fabric handed to this host."""
        self._route(packet, 0, now)

    def packet_from_host(self, packet: bytes, hops: int, now: float) -> None:
        """Route a packet that another entry host took for this host's."""
        self._route(packet, hops, now)

    def answer_flow_query(self, flow: int) -> str | None:
        """Return the target's name that this host knows for a flow, or None."""
        number = self._flows.peek(flow)
        if number is not None:
            return self._targets.by_number(number).name
        return self._replication.backup_target(flow)

    def handle_flow_answer(
        self, host: str, flow: int, target_name: str | None, now: float
    ) -> None:
        """Take another host's answer about a flow."""
        waiting = self._waiting.get(flow)
        if waiting is None:
            return
        target = self._targets.by_name(target_name) if target_name else None
        if target is not None and target.service == waiting.service.identity:
            self._counts["flows_learned"] += 1
            self._release(flow, waiting, target)
            return
        waiting.unanswered.discard(host)
        if not waiting.unanswered:
            self._release(flow, waiting, None)

    def receive_flows(self, groups: FlowsByTarget, as_owner: bool) -> None:
        """Take flows that another host hands over or asks this one to back up."""
        for target_name, flows in groups.items():
            target = self._targets.by_name(target_name)
            if target is None:
                self._counts["flows_of_unknown_target"] += len(flows)
                continue
            if as_owner:
                self._inherit(target, flows)
            else:
                self._replication.store_backups(target_name, flows)

    def tick(self, now: float) -> None:
        """Give up waiting past its deadline and forget silent flows."""
        order = self._waiting_order
        while order:
            waiting = self._waiting.get(order[0])
            if waiting is None:
                order.popleft()
            elif waiting.deadline <= now:
                self._counts["flows_guessed"] += 1
                self._release(order.popleft(), waiting, None)
            else:
                break
        self._flows.rotate(now)

    def _route(self, packet: bytes, hops: int, now: float) -> None:
        try:
            header = read_header(packet)
        except MalformedPacketError:
            self._counts["packets_malformed"] += 1
            return
        key = ServiceKey.of_packet(header.address, header.port, header.protocol)
        service = self._services.get(key)
        if service is None:
            self._counts["packets_of_no_service"] += 1
            return
        if hops < MAXIMUM_HOPS:
            ranked = self._owners.ranked(header.flow)
            if not ranked:
                self._counts["packets_without_owner"] += 1
                return
            if ranked[0] != self._name:
                self._counts["packets_to_owner"] += 1
                self._transport.send_to_owner(packet, ranked[0], hops + 1)
                return
        self._decide(packet, header, service, now)

    def _decide(
        self, packet: bytes, header: PacketHeader, service: Service, now: float
    ) -> None:
        flow = header.flow
        number = self._flows.get(flow)
        if number is not None:
            target = self._targets.by_number(number)
            if target.service == service.identity and not (
                header.opens_flow and self._may_reopen(flow, target)
            ):
                self._send(packet, flow, service, target)
                if header.ends_flow:
                    self._flows.end(flow)
                return
        backup = self._targets.by_name(self._replication.backup_target(flow) or "")
        if (
            backup is not None
            and backup.service == service.identity
            and not header.opens_flow
        ):
            self._remember(flow, backup)
            self._send(packet, flow, service, backup)
            return
        # Only a TCP packet says whether it opens its flow.  A datagram never does, so
        # it is asked about for as long as an earlier owner may still remember it.
        if not header.opens_flow and now < self._learn_until_deadline:
            if self._wait_for_answers(packet, flow, service, now):
                return
        self._open(packet, flow, service, header.protocol)

    def _may_reopen(self, flow: int, target: PacketTarget) -> bool:
        # The caller uses its port again, for a connection that no target knows yet.
        is_lost = not self._targets.may_receive(target, target.service)
        return is_lost or self._flows.is_ended(flow)

    def _open(self, packet: bytes, flow: int, service: Service, protocol: int) -> None:
        limit = max(1, service.connections // max(1, len(self._owners.hosts)))
        target = self._targets.choose_with_room(
            service.identity, flow, self._flows, limit
        )
        if target is None:
            self._counts["flows_without_target"] += 1
            if protocol == TCP:
                self._transport.reset_caller(packet)
            return
        self._counts["flows_opened"] += 1
        self._remember(flow, target)
        self._send(packet, flow, service, target)

    def _remember(self, flow: int, target: PacketTarget) -> None:
        self._flows.put(flow, target.number)
        self._replication.note_if_exception(flow, target)

    def _send(
        self, packet: bytes, flow: int, service: Service, target: PacketTarget
    ) -> None:
        # The last check before the wire: whatever chose the target, a packet leaves
        # only for a backend server that announced this very service and may have it.
        if not self._targets.may_receive(target, service.identity):
            self._counts["flows_given_up"] += 1
            self._flows.forget(flow)
            self._replication.forget(flow)
            self._transport.reset_caller(packet)
            return
        self._counts["packets_to_target"] += 1
        self._transport.send_to_target(packet, target.endpoint)

    def _wait_for_answers(
        self, packet: bytes, flow: int, service: Service, now: float
    ) -> bool:
        waiting = self._waiting.get(flow)
        if waiting is None:
            others = self._owners.hosts_to_ask(flow)
            others = [host for host in others if host != self._name]
            if not others or len(self._waiting) >= MAXIMUM_WAITING_FLOWS:
                return False
            waiting = PendingFlow(service, set(others), now + LEARN_SECONDS)
            self._waiting[flow] = waiting
            self._waiting_order.append(flow)
            self._transport.ask_for_flow(others, flow)
        if len(waiting.packets) < MAXIMUM_WAITING_PACKETS_PER_FLOW:
            waiting.packets.append(packet)
        else:
            self._counts["packets_dropped_waiting"] += 1
        return True

    def _release(
        self, flow: int, waiting: PendingFlow, target: PacketTarget | None
    ) -> None:
        del self._waiting[flow]
        if target is None:
            first = waiting.packets.pop(0)
            self._open(first, flow, waiting.service, read_header(first).protocol)
            number = self._flows.peek(flow)
            if number is None:
                return
            target = self._targets.by_number(number)
        else:
            self._remember(flow, target)
        for packet in waiting.packets:
            self._send(packet, flow, waiting.service, target)

    def _inherit(self, target: PacketTarget, flows: Iterable[int]) -> None:
        for flow in flows:
            # A flow that is already known was seen here later than the hand-over.
            if self._flows.peek(flow) is None:
                self._counts["flows_inherited"] += 1
                self._remember(flow, target)
