"""Check that what operators had accepted survives whatever befalls control hosts."""

from __future__ import annotations

import pytest

from tests.ensemble_cluster import EnsembleCluster

HOSTS = ["host-a", "host-b", "host-c"]


def cluster_of(hosts: list[str] = HOSTS, desired: int = 3) -> EnsembleCluster:
    cluster = EnsembleCluster(hosts, hosts[:3], desired)
    cluster.run(1.0)
    return cluster


def accepted(cluster: EnsembleCluster, host: str, version: int) -> None:
    order = cluster.run_until_done(cluster.put(host, version))
    assert order.state is not None


def version_read(cluster: EnsembleCluster, host: str) -> int | None:
    order = cluster.run_until_done(cluster.read(host))
    return order.state.configuration_version if order.state is not None else None


def members(cluster: EnsembleCluster, host: str) -> list[str]:
    current = cluster.running[host].current
    assert current is not None
    return sorted(member.host for member in current.voters.members)


def test_an_accepted_configuration_is_read_at_every_host():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    assert [version_read(cluster, host) for host in HOSTS] == [7, 7, 7]


def test_the_highest_version_wins_and_a_lower_one_changes_nothing():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    order = cluster.run_until_done(cluster.put("host-b", 5, b"other"))
    assert order.state is not None
    assert order.state.configuration_version == 7
    assert version_read(cluster, "host-c") == 7


def test_other_content_under_the_version_held_is_not_obeyed():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    order = cluster.run_until_done(cluster.put("host-b", 7, b"other"))
    assert order.state is not None
    assert order.state.configuration == b"document"


def test_orders_at_all_hosts_at_once_are_all_accepted():
    cluster = cluster_of()
    orders = [cluster.put(host, 8 + n) for n, host in enumerate(HOSTS)]
    zone = cluster.set_zone("host-b", "zone-a", False)
    cluster.run(1.0)
    assert all(order.state is not None for order in [*orders, zone])
    assert version_read(cluster, "host-a") == 10
    current = cluster.running["host-a"].current
    assert current is not None
    assert current.zones_out == ("zone-a",)


def test_a_host_that_is_cut_off_answers_no_read_and_accepts_nothing():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    cluster.isolate("host-a")
    accepted(cluster, "host-b", 8)
    assert version_read(cluster, "host-a") is None
    order = cluster.run_until_done(cluster.put("host-a", 9))
    assert order.state is None


def test_a_cut_host_reads_the_newest_as_soon_as_the_cut_heals():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    cluster.isolate("host-a")
    accepted(cluster, "host-b", 8)
    cluster.run(3.0)
    cluster.heal()
    assert version_read(cluster, "host-a") == 8


def test_all_hosts_lose_power_at_once_and_nothing_is_lost():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    for host in HOSTS:
        cluster.crash(host)
    for host in HOSTS:
        cluster.start(host)
    cluster.run(0.5)
    assert [version_read(cluster, host) for host in HOSTS] == [7, 7, 7]


@pytest.mark.parametrize("wiped", HOSTS)
@pytest.mark.parametrize("acknowledged_by", HOSTS)
def test_a_disk_is_lost_while_all_others_lose_power(wiped, acknowledged_by):
    cluster = cluster_of()
    others = [host for host in HOSTS if host != acknowledged_by]
    cluster.disks[others[0]].is_stalled = True
    accepted(cluster, acknowledged_by, 7)
    cluster.wipe(wiped)
    for host in HOSTS:
        cluster.crash(host)
    for host in HOSTS:
        cluster.disks[host].is_stalled = False
        cluster.start(host)
    cluster.run(6.0)
    assert [version_read(cluster, host) for host in HOSTS] == [7, 7, 7]
    assert len(members(cluster, wiped)) == 3


def test_a_wiped_disk_votes_under_a_new_name_only_after_it_was_admitted():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    cluster.wipe("host-c")
    cluster.start("host-c")
    assert not cluster.running["host-c"].is_member
    cluster.run(4.0)
    assert cluster.running["host-c"].is_member
    # It counts now: another host may be lost.
    cluster.crash("host-a")
    accepted(cluster, "host-c", 8)


def test_disks_are_lost_one_after_the_other():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    for host in HOSTS * 2:
        cluster.wipe(host)
        cluster.run(0.5)
        cluster.start(host)
        cluster.run(5.0)
    assert [version_read(cluster, host) for host in HOSTS] == [7, 7, 7]


def test_hosts_are_replaced_by_empty_ones_at_other_addresses():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    replaced = {"host-a": "next-a", "host-b": "next-b", "host-c": "next-c"}
    for old, new in replaced.items():
        cluster.crash(old)
        del cluster.disks[old]
        cluster.run(1.0)
        # A new host is told of control hosts that live when it is made.
        cluster.seeds = sorted(cluster.running)
        cluster.start(new)
        cluster.run(8.0)
    assert members(cluster, "next-a") == sorted(replaced.values())
    assert version_read(cluster, "next-a") == 7
    accepted(cluster, "next-b", 8)


def test_a_planned_replacement_takes_over_when_the_old_host_leaves():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    cluster.start("next-c")
    cluster.run(5.0)
    assert members(cluster, "host-a") == HOSTS
    cluster.running["host-c"].leave(cluster.now)
    cluster.run(1.0)
    assert members(cluster, "host-a") == ["host-a", "host-b", "next-c"]


def test_new_seeds_do_not_matter_once_hosts_know_each_other():
    cluster = cluster_of()
    accepted(cluster, "host-a", 7)
    cluster.seeds = ["nobody-1", "nobody-2", "host-b"]
    cluster.crash("host-a")
    cluster.start("host-a")
    cluster.run(1.0)
    assert version_read(cluster, "host-a") == 7


def test_a_stalled_disk_holds_up_neither_orders_nor_reads():
    cluster = cluster_of()
    cluster.disks["host-a"].is_stalled = True
    accepted(cluster, "host-a", 7)
    assert version_read(cluster, "host-a") == 7


def test_a_full_disk_does_not_vote_and_votes_again_once_it_has_room():
    cluster = cluster_of()
    cluster.disks["host-c"].is_full = True
    accepted(cluster, "host-c", 7)
    held = cluster.disks["host-c"].vote
    assert held is not None
    assert held.state.configuration_version == 0
    cluster.disks["host-c"].is_full = False
    cluster.crash("host-b")
    accepted(cluster, "host-a", 8)


def test_voters_grow_to_bear_the_losses_that_are_asked_for():
    hosts = [f"host-{letter}" for letter in "abcdef"]
    cluster = cluster_of(hosts, desired=5)
    cluster.run(12.0)
    assert len(members(cluster, "host-f")) == 5
    accepted(cluster, "host-a", 7)
    lost = members(cluster, "host-f")[:2]
    for host in lost:
        cluster.wipe(host)
    left = [host for host in hosts if host not in lost]
    assert version_read(cluster, left[-1]) == 7


def test_orders_are_accepted_over_links_that_lose_messages():
    cluster = cluster_of()
    cluster.loss = 0.2
    outcomes = []
    for version in range(1, 21):
        order = cluster.run_until_done(cluster.put(HOSTS[version % 3], version))
        outcomes.append(order.state is not None)
    assert sum(outcomes) >= 18
