"""Number the backend servers of the packet tier and choose one for each new flow."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterable

from kingcuppulley.backend_servers.records import TargetRecord, TargetState
from kingcuppulley.fabric.flow_table import FlowTable
from kingcuppulley.internal.rendezvous import hash_name, weighted_score
from kingcuppulley.model import Protocol, Service

COLD_WEIGHT = 0.1
WARM_WEIGHT = 1.0


class PacketTarget:
    """Hold what the packet tier needs of one backend server."""

    __slots__ = (
        "number",
        "name",
        "name_hash",
        "service",
        "zone",
        "endpoint",
        "state",
    )

    def __init__(self, number: int, record: TargetRecord) -> None:
        self.number = number
        self.name = record.name
        self.name_hash = hash_name(record.name)
        self.service = record.service
        self.zone = record.zone
        self.endpoint = (record.host, record.packet_port)
        self.state = record.state

    @property
    def weight(self) -> float:
        """Return the relative share of new flows for this backend server."""
        return COLD_WEIGHT if self.state is TargetState.COLD else WARM_WEIGHT


class ServiceKey:
    """Build the integer key of a destination, under which its service is looked up."""

    @staticmethod
    def of_packet(address: int, port: int, protocol: int) -> int:
        """Return the key of a packet's destination."""
        return address << 24 | port << 8 | protocol

    @staticmethod
    def of_service(service: Service) -> int:
        """Return the key of a service's destination."""
        (address,) = struct.unpack("!I", socket.inet_aton(service.address))
        protocol = 6 if service.protocol is Protocol.TCP else 17
        return ServiceKey.of_packet(address, service.port, protocol)


class PacketTargets:
    """Hold every backend server that packets may be sent to.

    Numbers are never reused, so that a flow table can store a number alone.
    """

    __slots__ = ("_by_number", "_by_name", "_candidates", "_zones_out")

    def __init__(self) -> None:
        self._by_number: list[PacketTarget] = []
        self._by_name: dict[str, PacketTarget] = {}
        self._candidates: dict[str, list[PacketTarget]] = {}
        self._zones_out: frozenset[str] = frozenset()

    def update(
        self, records: Iterable[TargetRecord], zones_out: frozenset[str]
    ) -> bool:
        """Apply the current records and return whether any choice may have changed."""
        self._zones_out = zones_out
        previous_signatures = {
            service: self._signature(targets)
            for service, targets in self._candidates.items()
        }
        for record in records:
            self._update_target(record)
        self._candidates = {}
        for target in self._by_name.values():
            if target.zone in zones_out:
                continue
            if target.state in (TargetState.COLD, TargetState.WARM):
                self._candidates.setdefault(target.service, []).append(target)
        return previous_signatures != {
            service: self._signature(targets)
            for service, targets in self._candidates.items()
        }

    def choose(self, service: str, flow: int) -> PacketTarget | None:
        """Return the target that every host would choose for a flow, or None."""
        best = None
        best_score = -1.0
        for target in self._candidates.get(service, ()):
            score = weighted_score(flow, target.name_hash, target.weight)
            if score > best_score:
                best = target
                best_score = score
        return best

    def choose_with_capacity(
        self, service: str, flow: int, flows: FlowTable, limit: int
    ) -> PacketTarget | None:
        """Return the best target with fewer open flows than `limit`, or None."""
        best = self.choose(service, flow)
        if best is None or flows.open_count(best.number) < limit:
            return best
        available = [
            target
            for target in self._candidates[service]
            if flows.open_count(target.number) < limit
        ]
        if not available:
            return None
        return max(available, key=lambda t: weighted_score(flow, t.name_hash, t.weight))

    def by_number(self, number: int) -> PacketTarget:
        """Return the target with this number."""
        return self._by_number[number]

    def by_name(self, name: str) -> PacketTarget | None:
        """Return the target with this name, or None if it was never announced."""
        return self._by_name.get(name)

    def may_receive(self, target: PacketTarget, service: str) -> bool:
        """Return whether packets of a service may be sent to a target now."""
        return (
            target.service == service
            and target.state is not TargetState.GONE
            and target.zone not in self._zones_out
        )

    def _update_target(self, record: TargetRecord) -> None:
        existing = self._by_name.get(record.name)
        endpoint = (record.host, record.packet_port)
        if (
            existing is not None
            and existing.service == record.service
            and existing.endpoint == endpoint
        ):
            existing.state = record.state
            return
        # A backend server that returns under another service or address is another
        # target: flows of the old target must not follow the name to the new one.
        if existing is not None:
            existing.state = TargetState.GONE
        target = PacketTarget(len(self._by_number), record)
        self._by_number.append(target)
        self._by_name[record.name] = target

    @staticmethod
    def _signature(targets: list[PacketTarget]) -> frozenset[tuple[int, float]]:
        return frozenset((target.number, target.weight) for target in targets)
