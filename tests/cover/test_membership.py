"""Check that entry hosts agree on which of them are live."""

import pytest

from kingcuppulley.entry_hosts.membership import (
    HostAddress,
    HostNameClashError,
    Membership,
)
from kingcuppulley.experiments.scale import _HeartbeatGroup
from kingcuppulley.internal.rendezvous import hash_name
from tests.entry_cluster import EntryCluster
from tests.fakes import seeded


@pytest.mark.parametrize("count", [8, 170])
def test_no_live_host_is_ever_taken_for_dead(count):
    group = _HeartbeatGroup(count)
    group.run(10.0)
    for _ in range(40):
        group.run(0.5)
        for member in group._members.values():
            assert len(member.live_hosts(group.network.now)) == count


def test_all_hosts_notice_a_dead_host_and_a_restarted_one():
    cluster = EntryCluster()
    cluster.run(3.0)
    cluster.kill("entry-3")
    cluster.run(2.5)
    now = cluster.network.now
    assert all(
        len(host.membership.live_hosts(now)) == 7 for host in cluster.hosts.values()
    )
    cluster.start("entry-3")
    cluster.run(2.0)
    now = cluster.network.now
    assert all(
        len(h.membership.eligible_hosts(now, frozenset())) == 8
        for h in cluster.hosts.values()
    )


def test_a_cut_between_two_hosts_that_share_a_peer_changes_no_view():
    cluster = EntryCluster()
    cluster.run(3.0)
    cluster.network.cut(["entry-1"], ["entry-2"])
    cluster.run(6.0)
    now = cluster.network.now
    views = {tuple(host.membership.live_hosts(now)) for host in cluster.hosts.values()}
    assert views == {tuple(sorted(cluster.names))}


def test_zones_that_were_cut_off_from_each_other_find_each_other_again():
    cluster = EntryCluster()
    cluster.run(3.0)
    cut_off = ["entry-4", "entry-5"]
    cluster.network.cut(cut_off, set(cluster.names) - set(cut_off))
    cluster.run(4.0)
    now = cluster.network.now
    assert cluster.hosts["entry-4"].membership.live_hosts(now) == cut_off
    cluster.network.heal()
    cluster.run(3.0)
    now = cluster.network.now
    assert len(cluster.hosts["entry-4"].membership.live_hosts(now)) == 8


def test_a_starting_host_owns_nothing_before_it_has_received_records_and_claims():
    cluster = EntryCluster()
    cluster.run(3.0)
    cluster.kill("entry-3")
    cluster.run(3.0)
    cluster.start("entry-3")
    assert not cluster.hosts["entry-3"].membership.has_joined
    cluster.run(2.0)
    assert cluster.hosts["entry-3"].membership.has_joined


def test_two_names_with_the_same_short_number_are_refused():
    names_by_number = {}
    clash = None
    for number in range(100_000):
        name = f"entry-{number}"
        short_number = hash_name(name) & 0xFFFF
        if short_number in names_by_number:
            clash = (names_by_number[short_number], name)
            break
        names_by_number[short_number] = name
    hosts = [
        HostAddress(
            name=name,
            zone="zone-a",
            host="127.0.0.1",
            peer_port=1,
            control_port=1,
            packet_port=1,
        )
        for name in clash
    ]
    with pytest.raises(HostNameClashError):
        Membership(clash[0], hosts, seeded())
