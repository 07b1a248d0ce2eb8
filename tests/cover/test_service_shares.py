"""Check how the servers of a large service are divided among coordinators."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from kingcuppulley.entry_hosts.coordinator_table import CoordinatorTable
from kingcuppulley.entry_hosts.seeded_messages import EntryHostInfo, LoadReport
from kingcuppulley.fabric.placement import Placement, PlacementOutcome
from kingcuppulley.fabric.service_shares import SERVERS_PER_SHARE, ServiceShares
from tests.control_traffic import ControlNetwork
from tests.seeded_fakes import SERVICE, flow_request, heartbeat, registry_of

ENTRY_HOSTS = [f"a{number}" for number in range(12)]


@pytest.mark.parametrize(
    ("servers", "shares"),
    [
        (1, 1),
        (SERVERS_PER_SHARE, 1),
        (SERVERS_PER_SHARE + 1, 2),
        (4 * SERVERS_PER_SHARE, 4),
        (667, 16),
    ],
)
def test_the_number_of_shares_follows_the_servers_of_the_zone(
    servers: int, shares: int
):
    registry = registry_of({"zone-a": servers, "zone-b": 3})
    assert ServiceShares(registry).count("zone-a", SERVICE) == shares
    assert ServiceShares(registry).count("zone-b", SERVICE) == 1


def test_every_server_has_one_share_and_the_shares_are_of_similar_size():
    registry = registry_of({"zone-a": 512})
    shares = ServiceShares(registry)
    sizes = Counter(
        shares.share_of_server(target) for target in registry.of_service(SERVICE)
    )
    assert sorted(sizes) == list(range(8))
    assert max(sizes.values()) < 2 * min(sizes.values())


def test_half_of_the_servers_keep_their_share_when_the_number_doubles():
    registry = registry_of({"zone-a": 2 * SERVERS_PER_SHARE})
    shares = ServiceShares(registry)
    before = {
        target.name: shares.share_of_server(target)
        for target in registry.of_service(SERVICE)
    }
    added = heartbeat("i-fff", zone="zone-a")
    registry.update("control", "instance-1", 2, [added], 0.0, 1)
    moved = sum(
        share != shares.share_of_server(registry._targets[name])
        for name, share in before.items()
    )
    assert 0.3 < moved / len(before) < 0.7


def test_the_shares_of_a_service_have_different_coordinators():
    table = CoordinatorTable("a0", "zone-a")
    table.update([EntryHostInfo(name, "zone-a", False) for name in ENTRY_HOSTS], 0.0)
    coordinators = {
        table.coordinator("zone-a", SERVICE, 0.0, share) for share in range(8)
    }
    assert len(coordinators) > 4


def test_the_flows_of_a_service_are_spread_over_its_shares():
    shares = ServiceShares(registry_of({"zone-a": 512}))
    flows = Counter(
        shares.share_of_flow("zone-a", SERVICE, b"flow-%d" % number)
        for number in range(8000)
    )
    assert sorted(flows) == list(range(8))
    assert max(flows.values()) < 1.2 * min(flows.values())


def test_pattern_a_share_whose_servers_are_full_uses_those_of_the_others():
    """A burst on one share must not be refused while other shares have capacity."""
    registry = registry_of({"zone-a": 2 * SERVERS_PER_SHARE})
    placement = Placement("zone-a", registry, Random(1), lambda *_: None)
    shares = placement.choice.shares
    placed = Counter()
    number = 0
    # Three flows for each server of the share: more than its two slots.
    while sum(placed.values()) < 3 * SERVERS_PER_SHARE:
        flow = b"flow-%d" % number
        number += 1
        if shares.share_of_flow("zone-a", SERVICE, flow) != 0:
            continue
        decision = placement.open_flow(flow_request(flow), 0.0)
        assert decision.outcome is PlacementOutcome.PLACED
        assert decision.target is not None
        placed[shares.share_of_server(decision.target)] += 1
    assert placed[1] > 0
    assert placed[0] >= 1.5 * SERVERS_PER_SHARE


def test_load_reports_reach_each_coordinator_that_may_use_a_server():
    """Every pair of coordinators that share servers exchanges reports, and few do not.

    Coordinators of other zones hear only of the same share.
    """
    network = ControlNetwork(2, 2, 20)
    network.run(1.0)
    network.configure(1)
    network.start_servers(0, 5 * SERVERS_PER_SHARE, 0.5)
    network.run(3.0)
    reports: Counter[tuple[str, str]] = Counter()
    send = network.send

    def recording_send(source: str, destination: str, message: object) -> None:
        if isinstance(message, LoadReport):
            reports[source, destination] += 1
        send(source, destination, message)

    network.send = recording_send  # type: ignore[method-assign]
    network.run(1.0)
    entry = network.entries[network.entry_names[0]]
    coordinators = {
        zone: [
            entry._coordinators.coordinator(zone, "order-desk", network.now, share)
            for share in range(4)
        ]
        for zone in ("zone-0", "zone-1")
    }
    for zone, other_zone in (("zone-0", "zone-1"), ("zone-1", "zone-0")):
        for share, source in enumerate(coordinators[zone]):
            expected = {*coordinators[zone], coordinators[other_zone][share]}
            for destination in expected - {source}:
                assert reports[source, destination] >= 4
    assert len(reports) <= 2 * 4 * 4
