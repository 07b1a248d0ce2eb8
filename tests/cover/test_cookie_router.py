"""Check that each packet of a flow reaches the flow's server through any host."""

from __future__ import annotations

from random import Random

import pytest

from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.backend_servers.target_registry import TargetRegistry
from kingcuppulley.entry_hosts.coordinator_table import CoordinatorTable
from kingcuppulley.entry_hosts.seeded_messages import (
    EntryHostInfo,
    FlowAcknowledged,
    FlowEnded,
    FlowEstablished,
    FlowRefused,
    ForwardPacket,
    PlaceFlow,
)
from kingcuppulley.errors import MalformedPacketError
from kingcuppulley.fabric.cookie_router import (
    PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS,
    CookieRouter,
)
from kingcuppulley.fabric.formats import FlowPacket
from kingcuppulley.fabric.placement import Placement
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators.routing import (
    Route,
    RoutedService,
    RoutingConfiguration,
    RoutingTable,
    ServiceShare,
)
from tests.seeded_fakes import (
    OPENING_PACKET_TIMES_SECONDS,
    OPENING_TIMEOUT_SECONDS,
    heartbeat,
)

SERVICE_KEY = b"address:port"
OWN, OTHER = "a1", "a2"


class WordPacketFormat:
    """Read packets that are written as three words: flow, kind and cookie."""

    def read(self, packet: bytes) -> FlowPacket:
        fields = packet.split()
        if len(fields) != 3:
            raise MalformedPacketError("the packet is not a flow, a kind and a cookie")
        flow, kind, cookie = fields
        return FlowPacket(
            flow,
            SERVICE_KEY,
            kind in (b"open", b"reopen"),
            kind == b"end",
            int(kind == b"reopen"),
            int(cookie.decode()),
            kind == b"data",
            0,
        )

    @property
    def opening_timeout_seconds(self) -> float:
        return OPENING_TIMEOUT_SECONDS

    def retransmission_due_seconds(self, retransmission: int) -> float:
        return (*OPENING_PACKET_TIMES_SECONDS, OPENING_TIMEOUT_SECONDS)[
            retransmission + 1
        ]

    def opening_age_seconds(self, retransmission: int) -> float:
        return OPENING_PACKET_TIMES_SECONDS[retransmission]

    def to_target(self, packet: bytes, packet_identity: bytes, cookie: int) -> bytes:
        return packet_identity + packet

    def reset(self, flow: bytes) -> tuple[bytes, str]:
        return b"reset " + flow, "caller"


class Recorder:
    """Record what a router sends and logs."""

    def __init__(self) -> None:
        self.to_targets: list[tuple[bytes, tuple[str, int]]] = []
        self.headers: list[FlowPacket | None] = []
        self.has_room = True
        self.to_callers: list[bytes] = []
        self.to_hosts: list[tuple[str, object]] = []
        self.decisions: list[tuple] = []

    def send_to_target(self, datagram, endpoint, header=None):
        self.to_targets.append((datagram, endpoint))
        self.headers.append(header)

    def may_open(self, header, objective_seconds):
        return self.has_room

    def send_to_caller(self, packet, address):
        self.to_callers.append(packet)

    def send_to_host(self, address, message):
        self.to_hosts.append((address, message))

    def record_sampled_step(self, flow, outcome, **inputs):
        self.decisions.append((flow, outcome))

    def record_step(self, flow, outcome, **inputs):
        self.decisions.append((flow, outcome, inputs["reason"]))


def configuration(version: int, *services: str) -> RoutingConfiguration:
    shares = tuple(ServiceShare(service, 1) for service in services)
    routes = (Route("route", SERVICE_KEY, shares, 1.0, 0.1, 1),) if services else ()
    return RoutingConfiguration(
        version, routes, tuple(RoutedService(name, 2.0, 0.0) for name in services)
    )


class Host:
    """Connect the router of one entry host to a recorder."""

    def __init__(self, *hosts: str) -> None:
        self.sent = Recorder()
        self.registry = TargetRegistry()
        self.routing_table = RoutingTable()
        self.routing_table.update(configuration(1, "order-desk"))
        self.coordinators = CoordinatorTable(OWN, "zone-a")
        host_infos = [EntryHostInfo(name, "zone-a", False) for name in hosts]
        self.coordinators.update(host_infos, 0.0)
        self.metrics = Metrics()
        self.build_router()
        self.update_registry(
            heartbeat("i-1", host="10.0.0.1"), heartbeat("i-2", host="10.0.0.2")
        )

    def build_router(self) -> None:
        """Start with a new placement and router, which use the registry."""
        self.placement = Placement(
            "zone-a",
            self.registry,
            Random(1),
            lambda *release: self.router.flow_released(*release),
        )
        self.router = CookieRouter(
            OWN,
            "zone-a",
            WordPacketFormat(),
            self.sent,
            self.routing_table,
            self.registry,
            self.coordinators,
            self.placement,
            self.metrics,
            self.sent,
        )
        self.router.is_ready = True

    def update_registry(self, *servers):
        _, last_change = self.registry.subscription_position("control")
        self.registry.update(
            "control", "instance-1", last_change + 1, list(servers), 0.0, last_change
        )

    def packet(self, text: str, now: float = 0.0) -> None:
        self.router.packet_from_fabric(text.encode(), now)

    def cookie(self, name: str) -> int:
        return next(t.cookie for t in self.registry.targets if t.name == name)


def test_a_new_flow_is_sent_to_a_server_with_its_identity():
    host = Host(OWN)
    host.packet("flow open 0")
    datagram, endpoint = host.sent.to_targets[0]
    assert endpoint in (("10.0.0.1", 80), ("10.0.0.2", 80))
    assert datagram[:8] in (bytes(7) + b"\1", bytes(7) + b"\2")


@pytest.mark.parametrize("name", ["i-1", "i-2"])
def test_any_host_forwards_a_flow_that_it_has_never_seen(name):
    host = Host(OWN)
    host.packet(f"flow data {host.cookie(name)}")
    assert host.sent.to_targets[0][1][0] == f"10.0.0.{name[-1]}"


def test_only_packets_of_open_flows_may_wait_for_the_link():
    host = Host(OWN)
    host.packet("flow open 0")
    host.packet(f"flow data {host.cookie('i-1')}")
    opening, data = host.sent.headers
    assert opening is None
    assert data is not None and data.flow == b"flow"


def test_a_flow_that_the_link_cannot_carry_is_refused_unless_it_may_have_been_sent():
    host = Host(OWN, OTHER)
    host.sent.has_room = False
    host.packet("flow open 0")
    assert not host.sent.to_hosts and not host.sent.to_targets
    assert host.sent.to_callers == [b"reset flow"]
    # Another host may have sent the first packet of this flow to a server.
    host.packet("other reopen 0")
    assert host.sent.to_callers == [b"reset flow"]
    assert host.sent.to_hosts or host.sent.to_targets


def test_a_packet_with_an_unknown_cookie_is_neither_forwarded_nor_reset():
    host = Host(OWN)
    host.packet("flow data 12345")
    assert not host.sent.to_targets
    assert not host.sent.to_callers


def test_a_host_that_has_just_started_resets_nothing():
    host = Host(OWN)
    host.router.is_ready = False
    host.packet("flow open 0")
    host.packet("flow data 12345")
    assert not host.sent.to_callers


def test_flows_stay_with_a_server_that_drains():
    host = Host(OWN)
    cookie = host.cookie("i-1")
    host.update_registry(heartbeat("i-1", sequence=2, state=ServingState.DRAINING))
    host.packet(f"flow data {cookie}")
    assert host.sent.to_targets
    for number in range(8):
        host.packet(f"flow-{number} open 0")
    assert all(datagram[7] == 2 for datagram, _ in host.sent.to_targets[1:])


def test_a_flow_keeps_its_server_when_a_new_version_moves_the_route():
    host = Host(OWN)
    cookie = host.cookie("i-1")
    host.routing_table.update(configuration(2, "drawing-store"))
    host.packet(f"flow data {cookie}")
    assert host.sent.to_targets


def test_a_flow_never_reaches_a_service_that_its_route_never_named():
    host = Host(OWN)
    host.update_registry(heartbeat("i-3", service="drawing-store"))
    host.packet(f"flow data {host.cookie('i-3')}")
    assert not host.sent.to_targets


def test_flows_of_a_removed_route_are_dropped_and_new_ones_refused():
    host = Host(OWN)
    host.routing_table.update(configuration(2))
    host.packet(f"flow data {host.cookie('i-1')}")
    host.packet("other open 0")
    assert not host.sent.to_targets
    assert host.sent.to_callers == [b"reset other"]


def test_an_older_version_is_never_activated():
    host = Host(OWN)
    host.routing_table.update(configuration(5, "order-desk"))
    assert not host.routing_table.update(configuration(4, "drawing-store"))
    assert host.routing_table.version == 5


def host_with_other_coordinator() -> Host:
    """Return a host in a zone whose coordinator is another host."""
    host = Host(OWN, OTHER)
    if host.coordinators.coordinator("zone-a", "order-desk", 0.0) == OWN:
        host_infos = [EntryHostInfo(OTHER, "zone-a", False)]
        host.coordinators.update(host_infos, 0.0)
    return host


def test_a_new_flow_is_placed_by_the_coordinator():
    host = host_with_other_coordinator()
    host.packet("flow open 0")
    address, message = host.sent.to_hosts[0]
    assert address == OTHER
    assert isinstance(message, PlaceFlow)
    assert not host.sent.to_targets


def test_a_coordinator_that_does_not_answer_is_replaced_at_once():
    host = host_with_other_coordinator()
    host.packet("flow open 0")
    host.router.tick(PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS + 0.01)
    assert len(host.sent.to_targets) == 1
    host.packet("other open 0", PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS + 0.02)
    assert len(host.sent.to_targets) == 2


def test_a_reclaimed_flow_goes_to_the_next_coordinator_and_is_not_reset():
    """Hosts that place flows by what they know alone overload the servers."""
    host = Host(OWN)
    names = [OWN, OTHER, "a3", "a4", "a5"]
    infos = [EntryHostInfo(name, "zone-a", False) for name in names]
    host.coordinators.update(infos, 0.0)
    first, second = host.coordinators._ranked("zone-a", "order-desk")[:2]
    assert OWN not in (first, second)
    host.packet("flow open 0")
    now = PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS + 0.01
    host.router.tick(now)
    assert [address for address, _ in host.sent.to_hosts] == [first, second]
    assert not host.sent.to_targets
    # The first coordinator may have placed the flow.
    host.router.flow_refused(second, FlowRefused(b"flow"))
    assert not host.sent.to_callers
    host.router.tick(2 * now)
    assert len(host.sent.to_targets) == 1


@pytest.mark.parametrize("seconds_after_resume", [0.0, 0.1])
def test_an_opening_packet_that_waited_in_a_paused_host_is_not_reset(
    seconds_after_resume,
):
    """Another host may have placed the flow when its packet was repeated."""
    host = without_servers(Host(OWN))
    host.router.tick(0.0)
    resumed_at = 2.0
    if seconds_after_resume:
        host.router.tick(resumed_at)
    host.packet("flow open 0", resumed_at + seconds_after_resume)
    host.router.tick(resumed_at + 0.11)
    assert not host.sent.to_callers
    for seconds in (0.22, 0.33):
        host.router.tick(resumed_at + seconds)
    host.packet("other open 0", resumed_at + 0.34)
    assert host.sent.to_callers


def test_a_paused_host_does_not_refuse_an_upload_for_its_link():
    host = Host(OWN)
    host.sent.has_room = False
    host.router.tick(0.0)
    host.packet("flow open 0", 2.0)
    assert not host.sent.to_callers
    assert len(host.sent.to_targets) == 1


def test_an_acknowledged_flow_is_not_reclaimed():
    host = host_with_other_coordinator()
    host.packet("flow open 0")
    host.router.flow_acknowledged(FlowAcknowledged(b"flow"))
    host.router.tick(1.0)
    assert not host.sent.to_targets


def test_pattern_a_host_cut_off_from_control_forwards_unknown_cookies_to_a_peer():
    host = host_with_other_coordinator()
    host.packet("flow data 12345")
    assert host.sent.to_hosts == [(OTHER, ForwardPacket(b"flow data 12345"))]
    assert not host.sent.decisions


def test_a_host_forwards_known_cookies_for_a_peer_and_drops_unknown_ones():
    host = host_with_other_coordinator()
    host.router.forward_for_host(b"flow data %d" % host.cookie("i-1"), 0.0)
    assert host.sent.to_targets
    host.router.forward_for_host(b"flow data 12345", 0.0)
    assert len(host.sent.to_targets) == 1
    # The packet is not forwarded again, so that no packet loops between hosts.
    assert not host.sent.to_hosts


def without_servers(host: Host) -> Host:
    for name in ("i-1", "i-2"):
        host.update_registry(
            heartbeat(name, sequence=2, state=ServingState.UNRESPONSIVE)
        )
    return host


def test_a_refusal_of_the_coordinator_resets_the_caller():
    host = host_with_other_coordinator()
    host.packet("flow open 0")
    host.router.flow_acknowledged(FlowAcknowledged(b"flow"))
    host.router.flow_refused(OTHER, FlowRefused(b"flow"))
    assert host.sent.to_callers == [b"reset flow"]


def test_a_late_refusal_does_not_reset_a_flow_that_was_reclaimed_and_placed():
    host = host_with_other_coordinator()
    host.packet("flow open 0")
    host.router.tick(PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS + 0.01)
    host.router.flow_refused(OTHER, FlowRefused(b"flow"))
    assert host.sent.to_targets
    assert not host.sent.to_callers


def test_a_reclaimed_flow_is_not_reset_as_its_coordinator_may_have_placed_it():
    host = without_servers(host_with_other_coordinator())
    host.packet("flow open 0")
    host.router.tick(PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS + 0.01)
    assert not host.sent.to_callers


def test_a_coordinator_leaves_the_reset_to_the_host_that_received_the_packet():
    host = without_servers(Host(OWN))
    request = PlaceFlow(b"flow", "order-desk", 0, 1, 150, b"flow open 0")
    host.router.place_for_host(OTHER, request, 0.0)
    assert host.sent.to_hosts[-1] == (OTHER, FlowRefused(b"flow"))
    assert not host.sent.to_callers


def test_refusals_are_counted_by_priority_with_the_lowest_in_one_counter():
    """Operators see whose flows are turned away; counters must not grow in number."""
    host = without_servers(Host(OWN))
    for priority in (1, 3, 9):
        flow = b"flow-%d" % priority
        packet = flow + b" open 0"
        message = PlaceFlow(flow, "order-desk", 0, priority, 150, packet)
        host.router.place_for_host(OTHER, message, 0.0)
    assert host.metrics.counts["flows_refused_priority_1"] == 1
    assert host.metrics.counts["flows_refused_priority_3"] == 2


def test_a_malformed_packet_of_another_host_is_not_placed():
    # It has no route; acknowledged, it would be lost without a trace.
    host = Host(OWN)
    request = PlaceFlow(b"flow", "order-desk", 0, 1, 150, b"malformed")
    host.router.place_for_host(OTHER, request, 0.0)
    assert not host.sent.to_hosts
    assert not host.sent.to_targets


def test_the_end_of_a_flow_is_reported_to_its_coordinator():
    host = host_with_other_coordinator()
    host.packet("flow open 0")
    host.packet(f"flow end {host.cookie('i-1')}", 0.1)
    assert host.sent.to_hosts[-1] == (OTHER, FlowEnded(b"flow", True))


def test_an_established_flow_is_reported_once_to_its_coordinator():
    host = host_with_other_coordinator()
    host.packet("flow open 0")
    for number in range(3):
        host.packet(f"flow data {host.cookie('i-1')}", 0.01 + number / 100)
    report = FlowEstablished(b"flow", None, host.cookie("i-1"), SERVICE_KEY)
    reports = [
        sent for sent in host.sent.to_hosts if isinstance(sent[1], FlowEstablished)
    ]
    assert reports == [(OTHER, report)]


def test_a_retransmitted_opening_packet_does_not_count_as_established():
    host = host_with_other_coordinator()
    host.packet("flow open 0")
    host.packet("flow open 1", 0.2)
    assert (OTHER, FlowEstablished(b"flow")) not in host.sent.to_hosts


def test_a_queued_flow_whose_caller_has_disconnected_expires_without_a_reset():
    host = Host(OWN)
    host.router.tick(0.0)
    host.placement.set_discovery_deadline(9.0)
    number = 0
    while host.metrics.counts["flows_held"] == 0:
        host.packet(f"flow-{number} open 0")
        number += 1
    for server in host.registry.targets:
        host.placement.choice.update_reported_loads("other", [(server.cookie, 50)], 0.2)
    host.router.tick(0.5)
    assert host.metrics.counts["flows_expired"] == 1
    assert host.sent.to_callers == []


def test_without_a_server_a_new_flow_is_reset_at_once():
    host = without_servers(Host(OWN))
    host.packet("flow open 0")
    assert host.sent.to_callers == [b"reset flow"]


def test_a_packet_that_cannot_be_read_is_counted_and_dropped():
    host = Host(OWN)
    host.packet("nonsense")
    assert host.metrics.counts["packets_malformed"] == 1
    assert not host.sent.to_targets


def test_every_step_that_a_caller_may_notice_is_recorded():
    host = host_with_other_coordinator()
    host.packet("flow open 0")
    host.router.tick(PLACEMENT_ACKNOWLEDGEMENT_TIMEOUT_SECONDS + 0.01)
    host.routing_table.update(configuration(2))
    host.packet("late open 0", 2.0)
    assert host.sent.decisions == [
        (b"flow", "sent to coordinator"),
        (b"flow", "reclaimed", "no answer from the coordinator"),
        (b"flow", "placed"),
        (b"late", "refused", "no route"),
    ]
