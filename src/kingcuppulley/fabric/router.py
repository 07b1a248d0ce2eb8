"""Route packets of the packet tier; one entry host, the owner, decides for each flow.

Each flow hashes to a bucket, and each bucket has one owner among the entry hosts.  A
host that receives a packet of another owner's flow forwards the packet to the owner.
"""

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

# A packet that was forwarded this often is routed by the host that receives it, even if
# that host does not own the flow.
MAXIMUM_HOPS = 2
FLOW_QUERY_TIMEOUT_SECONDS = 0.1
MAXIMUM_PENDING_FLOWS = 4096
MAXIMUM_PENDING_PACKETS_PER_FLOW = 16


class PacketTransport(Protocol):
    """Send the router's packets and queries; implementations own the sockets."""

    def send_to_target(self, packet: bytes, endpoint: tuple[str, int]) -> None:
        """Send a packet to a backend server."""

    def send_to_owner(self, packet: bytes, host: str, hops: int) -> None:
        """Send a packet to the entry host that owns its flow."""

    def reset_caller(self, packet: bytes) -> None:
        """Answer a packet with a reset, because its flow has no usable target."""

    def query_flow(self, hosts: list[str], flow: int) -> None:
        """Query other entry hosts for the target of a flow."""


class PendingFlow:
    """Hold the packets of a flow while other hosts are queried for its target."""

    __slots__ = ("service", "packets", "unanswered_hosts", "deadline")

    def __init__(
        self, service: Service, unanswered_hosts: set[str], deadline: float
    ) -> None:
        self.service = service
        self.packets: list[bytes] = []
        self.unanswered_hosts = unanswered_hosts
        self.deadline = deadline


class PacketRouter:
    """Route the packets of every service of the packet tier on one entry host.

    The owner of a flow looks up its target in its flow table and then in the copies
    that it keeps as a backup.  If both lack the flow and the packet does not open it,
    the owner queries the hosts that may have owned the flow before.  If none of them
    names a target within `FLOW_QUERY_TIMEOUT_SECONDS`, or if the packet opens the flow,
    the owner chooses a target.
    """

    def __init__(
        self,
        host_name: str,
        transport: PacketTransport,
        metrics: Metrics,
        zones: Mapping[str, str],
        flow_generation_seconds: float,
        now: float,
    ) -> None:
        self._host_name = host_name
        self._transport = transport
        self._counts = metrics.counts
        self._services: dict[int, Service] = {}
        self._targets = PacketTargets()
        self._owners = OwnerTable(zones)
        self._flows = FlowTable(flow_generation_seconds, now)
        self._pending_flows: dict[int, PendingFlow] = {}
        self._pending_order: deque[int] = deque()
        # Until this deadline an earlier owner may know a flow that is not in the table.
        self._flow_query_deadline = now + 2 * flow_generation_seconds
        self._replication = FlowReplication(
            host_name, self._flows, self._owners, self._targets
        )

    @property
    def flow_count(self) -> int:
        """Return how many flows are in this host's flow table."""
        return len(self._flows)

    @property
    def owners(self) -> OwnerTable:
        """Return the table of the hosts that own flows."""
        return self._owners

    @property
    def replication(self) -> FlowReplication:
        """Return the replication that lets other hosts take over flows."""
        return self._replication

    def update_services(self, services: Iterable[Service]) -> None:
        """Replace the active services."""
        self._services = {
            ServiceKey.of_service(service): service
            for service in services
            if service.tier is Tier.PACKETS
        }

    def update_targets(
        self, records: Iterable[TargetRecord], zones_out: frozenset[str]
    ) -> None:
        """Update the known backend servers and the zones that are out of service."""
        if self._targets.update(records, zones_out):
            self._replication.restart_scan()

    def update_owners(self, hosts: Iterable[str], now: float) -> None:
        """Update the hosts that may own flows."""
        if self._owners.update(hosts):
            self._flow_query_deadline = now + 2 * self._flows.generation_seconds
            self._replication.restart_scan()

    def packet_from_fabric(self, packet: bytes, now: float) -> None:
        """Route a packet that the fabric delivered to this host."""
        self._route(packet, 0, now)

    def packet_from_host(self, packet: bytes, hops: int, now: float) -> None:
        """Route a packet that another entry host forwarded to its owner, this host."""
        self._route(packet, hops, now)

    def answer_flow_query(self, flow: int) -> str | None:
        """Return the name of the target that this host knows for a flow, or None."""
        target_number = self._flows.peek(flow)
        if target_number is not None:
            return self._targets.by_number(target_number).name
        return self._replication.backup_target(flow)

    def handle_flow_answer(
        self, host: str, flow: int, target_name: str | None, now: float
    ) -> None:
        """Apply another host's answer to a query; None means that it lacks the flow."""
        pending = self._pending_flows.get(flow)
        if pending is None:
            return
        target = self._targets.by_name(target_name) if target_name else None
        if target is not None and target.service == pending.service.identity:
            self._counts["flows_learned"] += 1
            self._resolve_flow(flow, pending, target)
            return
        pending.unanswered_hosts.discard(host)
        if not pending.unanswered_hosts:
            self._resolve_flow(flow, pending, None)

    def receive_flows(self, flows_by_target: FlowsByTarget, as_owner: bool) -> None:
        """Store flows that another host hands over or that this host is to back up."""
        for target_name, flows in flows_by_target.items():
            target = self._targets.by_name(target_name)
            if target is None:
                self._counts["flows_of_unknown_target"] += len(flows)
                continue
            if as_owner:
                self._adopt_flows(target, flows)
            else:
                self._replication.store_backups(target_name, flows)

    def tick(self, now: float) -> None:
        """Time out queries past their deadline and expire idle flows."""
        order = self._pending_order
        while order:
            pending = self._pending_flows.get(order[0])
            if pending is None:
                order.popleft()
            elif pending.deadline <= now:
                self._counts["flows_guessed"] += 1
                self._resolve_flow(order.popleft(), pending, None)
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
            if ranked[0] != self._host_name:
                self._counts["packets_to_owner"] += 1
                self._transport.send_to_owner(packet, ranked[0], hops + 1)
                return
        self._route_as_owner(packet, header, service, now)

    def _route_as_owner(
        self, packet: bytes, header: PacketHeader, service: Service, now: float
    ) -> None:
        flow = header.flow
        target_number = self._flows.get(flow)
        if target_number is not None:
            target = self._targets.by_number(target_number)
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
            self._store_flow(flow, backup)
            self._send(packet, flow, service, backup)
            return
        # Only a TCP packet shows whether it opens its flow.  A datagram never does, so
        # other hosts are queried for as long as an earlier owner may have its flow.
        if not header.opens_flow and now < self._flow_query_deadline:
            if self._query_other_hosts(packet, flow, service, now):
                return
        self._open_flow(packet, flow, service, header.protocol)

    def _may_reopen(self, flow: int, target: PacketTarget) -> bool:
        # Distinguishes a caller that reuses its port for a new connection from one that
        # retransmits its opening packet.
        is_target_unusable = not self._targets.may_receive(target, target.service)
        return is_target_unusable or self._flows.is_ended(flow)

    def _open_flow(
        self, packet: bytes, flow: int, service: Service, protocol: int
    ) -> None:
        connection_limit = max(
            1, service.connections // max(1, len(self._owners.hosts))
        )
        target = self._targets.choose_with_capacity(
            service.identity, flow, self._flows, connection_limit
        )
        if target is None:
            self._counts["flows_without_target"] += 1
            if protocol == TCP:
                self._transport.reset_caller(packet)
            return
        self._counts["flows_opened"] += 1
        self._store_flow(flow, target)
        self._send(packet, flow, service, target)

    def _store_flow(self, flow: int, target: PacketTarget) -> None:
        self._flows.put(flow, target.number)
        self._replication.track_if_exception(flow, target)

    def _send(
        self, packet: bytes, flow: int, service: Service, target: PacketTarget
    ) -> None:
        # Final check before sending: however the target was chosen, the packet is sent
        # only to a backend server that announced this service and may receive it.
        if not self._targets.may_receive(target, service.identity):
            self._counts["flows_given_up"] += 1
            self._flows.remove(flow)
            self._replication.remove(flow)
            self._transport.reset_caller(packet)
            return
        self._counts["packets_to_target"] += 1
        self._transport.send_to_target(packet, target.endpoint)

    def _query_other_hosts(
        self, packet: bytes, flow: int, service: Service, now: float
    ) -> bool:
        pending = self._pending_flows.get(flow)
        if pending is None:
            other_hosts = self._owners.hosts_to_query(flow)
            other_hosts = [host for host in other_hosts if host != self._host_name]
            if not other_hosts or len(self._pending_flows) >= MAXIMUM_PENDING_FLOWS:
                return False
            pending = PendingFlow(
                service, set(other_hosts), now + FLOW_QUERY_TIMEOUT_SECONDS
            )
            self._pending_flows[flow] = pending
            self._pending_order.append(flow)
            self._transport.query_flow(other_hosts, flow)
        if len(pending.packets) < MAXIMUM_PENDING_PACKETS_PER_FLOW:
            pending.packets.append(packet)
        else:
            self._counts["packets_dropped_waiting"] += 1
        return True

    def _resolve_flow(
        self, flow: int, pending: PendingFlow, target: PacketTarget | None
    ) -> None:
        del self._pending_flows[flow]
        if target is None:
            first_packet = pending.packets.pop(0)
            self._open_flow(
                first_packet, flow, pending.service, read_header(first_packet).protocol
            )
            target_number = self._flows.peek(flow)
            if target_number is None:
                return
            target = self._targets.by_number(target_number)
        else:
            self._store_flow(flow, target)
        for packet in pending.packets:
            self._send(packet, flow, pending.service, target)

    def _adopt_flows(self, target: PacketTarget, flows: Iterable[int]) -> None:
        for flow in flows:
            # A flow that is in the table was seen here after it was handed over.
            if self._flows.peek(flow) is None:
                self._counts["flows_inherited"] += 1
                self._store_flow(flow, target)
