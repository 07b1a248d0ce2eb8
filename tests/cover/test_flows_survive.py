"""Check that flows of the packet tier survive every planned change and some faults."""

import pytest
from msgspec.structs import replace

from kingcuppulley.backend_servers.records import TargetState
from kingcuppulley.fabric.replication import FlowReplication
from kingcuppulley.fabric.targets import PacketTargets
from kingcuppulley.stand_ins.fabric import make_flows
from tests.entry_cluster import BOOKINGS, VIDEOS, EntryCluster
from tests.fakes import seeded

FLOWS = 300


def cluster_with_flows(count=FLOWS):
    cluster = EntryCluster()
    for number, zone in enumerate(("zone-a", "zone-a", "zone-b", "zone-c")):
        cluster.announce(f"bookings-{number}", BOOKINGS, zone)
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c")):
        cluster.announce(f"videos-{number}", VIDEOS, zone)
    cluster.run(3.0)
    flows = make_flows(count, BOOKINGS.address, BOOKINGS.port, seeded(3))
    for flow in flows:
        cluster.send(flow.opening_packet())
    return cluster, flows


def send_all(cluster, flows, rounds=2):
    for _ in range(rounds):
        before = len(cluster.fabric.delivered) + len(cluster.fabric.resets)
        for flow in flows:
            cluster.send(flow.packet())
        # Packets of a flow that other hosts are queried for are sent at the latest at
        # the query's deadline.
        cluster.run(0.3)
        after = len(cluster.fabric.delivered) + len(cluster.fabric.resets)
        assert after - before == len(flows)


def test_a_flow_keeps_its_target_whichever_host_receives_its_packets():
    cluster, flows = cluster_with_flows()
    send_all(cluster, flows)
    assert len(cluster.targets_of_flows()) == FLOWS
    assert cluster.broken_flows() == 0


@pytest.mark.parametrize("state", [TargetState.COLD, TargetState.WARM])
def test_flows_survive_a_target_that_is_added(state):
    cluster, flows = cluster_with_flows()
    cluster.announce("bookings-new", BOOKINGS, "zone-b", state)
    cluster.run(2.0)
    send_all(cluster, flows)
    assert cluster.broken_flows() == 0


def test_flows_survive_the_drain_of_their_target_and_new_ones_avoid_it():
    cluster, flows = cluster_with_flows()
    cluster.announce("bookings-0", BOOKINGS, "zone-a", TargetState.DRAINING)
    cluster.run(2.0)
    send_all(cluster, flows)
    assert cluster.broken_flows() == 0
    cluster.fabric.delivered.clear()
    for flow in make_flows(100, BOOKINGS.address, BOOKINGS.port, seeded(9)):
        cluster.send(flow.opening_packet())
    assert "bookings-0" not in {target for _, target in cluster.fabric.delivered}


def test_flows_survive_a_host_that_joins():
    cluster, flows = cluster_with_flows()
    cluster.kill("entry-4")
    cluster.run(3.0)
    send_all(cluster, flows, rounds=1)
    cluster.announce("bookings-0", BOOKINGS, "zone-a", TargetState.DRAINING)
    cluster.run(3.0)
    cluster.start("entry-4")
    for _ in range(20):
        cluster.run(0.1)
        send_all(cluster, flows[::10], rounds=1)
    send_all(cluster, flows)
    assert cluster.broken_flows() == 0


def test_flows_survive_a_planned_leave_during_a_drain():
    cluster, flows = cluster_with_flows()
    cluster.announce("bookings-0", BOOKINGS, "zone-a", TargetState.DRAINING)
    cluster.run(0.6)
    cluster.hosts["entry-2"].leave(cluster.network.now)
    for _ in range(10):
        cluster.run(0.1)
        send_all(cluster, flows[::10], rounds=1)
    cluster.kill("entry-2")
    cluster.run(3.0)
    send_all(cluster, flows)
    assert cluster.broken_flows() == 0


def test_an_idle_flow_survives_a_leave_and_a_later_change_of_targets():
    """The new owner must know flows that sent no packet between the two changes."""
    cluster, flows = cluster_with_flows()
    cluster.hosts["entry-2"].leave(cluster.network.now)
    cluster.run(1.0)
    cluster.kill("entry-2")
    cluster.run(3.0)
    cluster.announce("bookings-new", BOOKINGS, "zone-b")
    cluster.run(3.0)
    send_all(cluster, flows)
    assert cluster.broken_flows() == 0


def test_flow_exceptions_survive_the_failure_of_their_owner():
    cluster, flows = cluster_with_flows()
    cluster.announce("bookings-new", BOOKINGS, "zone-b")
    cluster.announce("bookings-0", BOOKINGS, "zone-a", TargetState.DRAINING)
    cluster.run(3.0)
    cluster.kill("entry-5")
    cluster.run(3.0)
    send_all(cluster, flows)
    assert cluster.broken_flows() == 0


def test_flow_exceptions_survive_the_loss_of_all_entry_hosts_of_a_zone():
    cluster, flows = cluster_with_flows()
    cluster.announce("bookings-0", BOOKINGS, "zone-a", TargetState.DRAINING)
    cluster.run(3.0)
    for name in ("entry-6", "entry-7", "entry-8"):
        cluster.kill(name)
    cluster.run(0.1)
    cluster.stop_announcing("bookings-3")
    cluster.run(2.5)
    send_all(cluster, flows)
    assert cluster.broken_flows() == 0


def test_taking_a_zone_out_resets_its_own_flows_and_no_others():
    cluster, flows = cluster_with_flows()
    cluster.announce("bookings-0", BOOKINGS, "zone-a", TargetState.DRAINING)
    cluster.run(3.0)
    expected_resets = sum(
        1 for t in cluster.targets_of_flows().values() if "bookings-3" in t
    )
    cluster.configure(zones_out=frozenset({"zone-c"}))
    cluster.fabric.delivered.clear()
    send_all(cluster, flows, rounds=1)
    assert len(cluster.fabric.resets) == expected_resets > 0
    assert "bookings-3" not in {target for _, target in cluster.fabric.delivered}
    cluster.run(3.0)
    cluster.fabric.resets.clear()
    survivors = {packet for packet, _ in cluster.fabric.delivered}
    send_all(cluster, [flow for flow in flows if flow.packet() in survivors])
    assert cluster.broken_flows() == 0


def test_a_packet_reaches_only_targets_that_announced_its_service():
    cluster, flows = cluster_with_flows()
    videos = make_flows(FLOWS, VIDEOS.address, VIDEOS.port, seeded(4))
    for flow in [*flows, *videos]:
        cluster.send(flow.opening_packet())
    for packet, target in cluster.fabric.delivered:
        service = "videos" if packet[19] == 21 else "bookings"
        assert target.startswith(service)


def test_flows_do_not_follow_a_server_name_to_another_service():
    cluster, flows = cluster_with_flows()
    cluster.announce("bookings-0", VIDEOS, "zone-a", incarnation=2)
    cluster.run(2.0)
    cluster.fabric.delivered.clear()
    send_all(cluster, flows)
    assert "bookings-0" not in {target for _, target in cluster.fabric.delivered}


def test_the_connections_of_a_target_stay_below_its_limit():
    cluster, _ = cluster_with_flows(0)
    limited = make_flows(200, BOOKINGS.address, BOOKINGS.port, seeded(5))
    services = dict(cluster.services)
    services[BOOKINGS.identity] = replace(BOOKINGS, connections=24)
    cluster.services = services
    cluster.configure()
    for flow in limited:
        cluster.send(flow.opening_packet())
    per_target = {}
    for targets in cluster.targets_of_flows().values():
        (name,) = targets
        per_target[name] = per_target.get(name, 0) + 1
    assert max(per_target.values()) <= 24
    assert len(cluster.fabric.resets) == 200 - sum(per_target.values()) > 0


def test_a_port_reused_after_its_target_has_gone_opens_a_new_flow():
    cluster, flows = cluster_with_flows(50)
    cluster.stop_announcing("bookings-0")
    cluster.run(5.0)
    cluster.fabric.delivered.clear()
    for flow in flows:
        cluster.send(flow.opening_packet())
    assert len(cluster.fabric.delivered) == 50
    assert not cluster.fabric.resets


def test_a_flow_is_queried_at_its_former_owner_before_a_target_is_chosen(monkeypatch):
    """A new owner queries until the former one has handed over all flows."""
    cluster, flows = cluster_with_flows()
    cluster.announce("bookings-0", BOOKINGS, "zone-a", TargetState.DRAINING)
    cluster.run(2.0)
    cluster.kill("entry-4")
    cluster.run(3.0)
    send_all(cluster, flows, rounds=1)
    monkeypatch.setattr(FlowReplication, "pop_moved_flows", lambda self: {})
    cluster.start("entry-4")
    cluster.run(3.0)
    assert cluster.metrics["entry-4"].counts["flows_inherited"] == 0
    send_all(cluster, flows, rounds=1)
    assert cluster.metrics["entry-4"].counts["flows_learned"] > 0
    assert cluster.broken_flows() == 0


def test_the_final_check_stops_packets_to_targets_of_other_services(monkeypatch):
    cluster, flows = cluster_with_flows(1)
    cluster.send(flows[0].packet())
    cluster.fabric.delivered.clear()
    monkeypatch.setattr(
        PacketTargets, "choose_with_capacity", lambda self, *_: self.by_name("videos-0")
    )
    for flow in make_flows(20, BOOKINGS.address, BOOKINGS.port, seeded(8)):
        cluster.send(flow.opening_packet())
    assert not cluster.fabric.delivered
    assert len(cluster.fabric.resets) == 20


def test_malformed_packets_are_counted_and_dropped():
    cluster, flows = cluster_with_flows(1)
    cluster.fabric.delivered.clear()
    for length in range(len(flows[0].packet())):
        cluster.send(flows[0].packet()[:length], "entry-1")
    assert cluster.metrics["entry-1"].counts["packets_malformed"] == 40
    assert not cluster.fabric.delivered
