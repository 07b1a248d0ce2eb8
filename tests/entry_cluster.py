"""Run several entry hosts on a fake network and a fake fabric."""

from __future__ import annotations

from collections import Counter

from kingcuppulley.backend_servers.records import TargetRecord, TargetState
from kingcuppulley.entry_hosts.host import EntryHost
from kingcuppulley.entry_hosts.membership import HostAddress
from kingcuppulley.entry_hosts.messages import FlowQuery
from kingcuppulley.fabric.packet import read_header
from kingcuppulley.fabric.router import PacketRouter
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.model import Protocol, Service, Tier
from kingcuppulley.operators.configuration import Configuration
from tests.fakes import FakeFabric, FakeNetwork, FakePacketTransport, seeded

ZONES = ("zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c", "zone-c")


def make_service(name: str, address: str, tier: Tier, **limits: int) -> Service:
    fields = {"slots": 2, "cold_slots": 1, "cold_seconds": 0, "connections": 2000}
    return Service(
        account=name,
        name=name,
        address=address,
        port=8443,
        protocol=Protocol.TCP,
        tier=tier,
        zones=("zone-a", "zone-b", "zone-c"),
        announcement_token_hash="",
        **{**fields, **limits},
    )


BOOKINGS = make_service("bookings", "192.0.2.20", Tier.PACKETS)
VIDEOS = make_service("videos", "192.0.2.21", Tier.PACKETS)
ORDER_DESK = make_service("order-desk", "192.0.2.10", Tier.REQUESTS)


class EntryCluster:
    """Run entry hosts, and backend servers that announce themselves to them.

    `run` advances the clock by steps of 0.05 s, delivers all messages and packets, and
    lets each backend server announce itself twice a second to a random host of its
    zone.
    """

    def __init__(self, zones: tuple[str, ...] = ZONES, seed: int = 1) -> None:
        self.network = FakeNetwork()
        self.fabric = FakeFabric()
        self.fabric.send_flow_query = self._send_flow_query
        self.zones = zones
        self.addresses = [
            HostAddress(
                name=f"entry-{index + 1}",
                zone=zone,
                host="127.0.0.1",
                peer_port=1,
                control_port=1,
                packet_port=1,
            )
            for index, zone in enumerate(zones)
        ]
        self.names = [address.name for address in self.addresses]
        self.hosts: dict[str, EntryHost] = {}
        self.metrics: dict[str, Metrics] = {}
        self.generator = seeded(seed)
        self.zones_out: frozenset[str] = frozenset()
        self.services = {
            service.identity: service for service in (BOOKINGS, VIDEOS, ORDER_DESK)
        }
        self.announced_records: dict[str, TargetRecord] = {}
        self._start_count = 0
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self._start_count += 1
        now = self.network.now
        metrics = Metrics()
        zones = {address.name: address.zone for address in self.addresses}
        transport = FakePacketTransport(name, self.fabric)
        router = PacketRouter(name, transport, metrics, zones, 300.0, now)
        host = EntryHost(
            name,
            self.addresses,
            self.network.sender(name),
            router,
            metrics,
            seeded(self._start_count),
            now,
        )
        host.configure(self.configuration, now)
        self.hosts[name] = host
        self.metrics[name] = metrics
        self.network.receivers[name] = host.receive

    def kill(self, name: str) -> None:
        del self.hosts[name]
        del self.network.receivers[name]
        self.network.drop_messages_from(name)

    @property
    def configuration(self) -> Configuration:
        return Configuration({}, {}, self.services, self.zones_out, [])

    def configure(self, zones_out: frozenset[str] = frozenset()) -> None:
        self.zones_out = zones_out
        for host in self.hosts.values():
            host.configure(self.configuration, self.network.now)

    def announce(
        self,
        name: str,
        service: Service,
        zone: str,
        state: TargetState = TargetState.WARM,
        incarnation: int = 1,
    ) -> None:
        self.announced_records[name] = TargetRecord(
            name=name,
            service=service.identity,
            zone=zone,
            host=name,
            request_port=1,
            packet_port=1,
            state=state,
            incarnation=incarnation,
        )

    def stop_announcing(self, name: str) -> None:
        del self.announced_records[name]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.network.now += 0.05
            if round(self.network.now / 0.05) % 10 == 0:
                self._post_announcements()
            for host in list(self.hosts.values()):
                host.tick(self.network.now)
            self.network.deliver_all()
            self.deliver_packets()

    def send(self, packet: bytes, name: str | None = None) -> None:
        name = name or self.generator.choice(sorted(self.hosts))
        self.hosts[name].router.packet_from_fabric(packet, self.network.now)
        self.deliver_packets()

    def deliver_packets(self) -> None:
        while self.fabric.between_hosts or self.network.in_flight:
            if self.fabric.between_hosts:
                packet, name, hops = self.fabric.between_hosts.pop(0)
                if name in self.hosts:
                    router = self.hosts[name].router
                    router.packet_from_host(packet, hops, self.network.now)
            else:
                self.network.deliver()

    def targets_of_flows(self) -> dict[int, Counter[str]]:
        packets_by_flow: dict[int, Counter[str]] = {}
        for packet, target in self.fabric.delivered:
            flow = read_header(packet).flow
            packets_by_flow.setdefault(flow, Counter())[target] += 1
        return packets_by_flow

    def broken_flows(self) -> int:
        flows_with_many_targets = sum(
            1 for targets in self.targets_of_flows().values() if len(targets) > 1
        )
        return flows_with_many_targets + len(self.fabric.resets)

    def _send_flow_query(self, requester: str, host: str, flow: int) -> None:
        self.network.sender(requester).send(host, FlowQuery(flow))

    def _post_announcements(self) -> None:
        for record in self.announced_records.values():
            zone_hosts = [
                name for name in self.hosts if self.hosts[name].zone == record.zone
            ]
            if zone_hosts:
                name = self.generator.choice(sorted(zone_hosts))
                self.hosts[name].handle_announcement(record, self.network.now)
