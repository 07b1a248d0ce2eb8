"""Cover the agreement of entry hosts on who lives."""

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


def test_a_dead_host_is_noticed_by_all_and_a_restarted_one_is_back():
    cluster = EntryCluster()
    cluster.run(3.0)
    cluster.kill("entry-3")
    cluster.run(2.5)
    now = cluster.network.now
    assert all(len(h.membership.live_hosts(now)) == 7 for h in cluster.hosts.values())
    cluster.start("entry-3")
    cluster.run(2.0)
    now = cluster.network.now
    assert all(
        len(h.membership.eligible_hosts(now, frozenset())) == 8
        for h in cluster.hosts.values()
    )


def test_a_cut_between_two_hosts_that_share_a_peer_splits_nothing():
    cluster = EntryCluster()
    cluster.run(3.0)
    cluster.network.cut(["entry-1"], ["entry-2"])
    cluster.run(6.0)
    now = cluster.network.now
    views = {tuple(h.membership.live_hosts(now)) for h in cluster.hosts.values()}
    assert views == {tuple(sorted(cluster.names))}


def test_zones_that_were_cut_from_each_other_find_each_other_again():
    cluster = EntryCluster()
    cluster.run(3.0)
    inside = ["entry-4", "entry-5"]
    cluster.network.cut(inside, set(cluster.names) - set(inside))
    cluster.run(4.0)
    now = cluster.network.now
    assert cluster.hosts["entry-4"].membership.live_hosts(now) == inside
    cluster.network.heal()
    cluster.run(3.0)
    now = cluster.network.now
    assert len(cluster.hosts["entry-4"].membership.live_hosts(now)) == 8


def test_a_starting_host_owns_nothing_before_it_was_told_what_there_is():
    cluster = EntryCluster()
    cluster.run(3.0)
    cluster.kill("entry-3")
    cluster.run(3.0)
    cluster.start("entry-3")
    assert not cluster.hosts["entry-3"].membership.has_joined
    cluster.run(2.0)
    assert cluster.hosts["entry-3"].membership.has_joined


def test_two_names_with_one_short_number_are_refused():
    names = {}
    clash = None
    for number in range(100_000):
        name = f"entry-{number}"
        short = hash_name(name) & 0xFFFF
        if short in names:
            clash = (names[short], name)
            break
        names[short] = name
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
