"""Check that accepted operator changes survive failures of control hosts."""

from __future__ import annotations

import pytest

from tests.ensemble_cluster import EnsembleCluster

HOSTS = ["host-a", "host-b", "host-c"]


def start_cluster(hosts: list[str] = HOSTS, desired_voters: int = 3) -> EnsembleCluster:
    cluster = EnsembleCluster(hosts, hosts[:3], desired_voters)
    cluster.run(1.0)
    return cluster


def put_accepted(cluster: EnsembleCluster, host: str, version: int) -> None:
    operation = cluster.run_until_done(cluster.put(host, version))
    assert operation.state is not None


def read_version(cluster: EnsembleCluster, host: str) -> int | None:
    operation = cluster.run_until_done(cluster.read(host))
    return (
        operation.state.configuration_version if operation.state is not None else None
    )


def member_hosts(cluster: EnsembleCluster, host: str) -> list[str]:
    current = cluster.running[host].current
    assert current is not None
    return sorted(member.host for member in current.voters.members)


def test_an_accepted_configuration_is_read_at_every_host():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    assert [read_version(cluster, host) for host in HOSTS] == [7, 7, 7]


def test_the_highest_version_wins_and_a_lower_one_changes_nothing():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    operation = cluster.run_until_done(cluster.put("host-b", 5, b"other"))
    assert operation.state is not None
    assert operation.state.configuration_version == 7
    assert read_version(cluster, "host-c") == 7


def test_other_content_under_the_accepted_version_changes_nothing():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    operation = cluster.run_until_done(cluster.put("host-b", 7, b"other"))
    assert operation.state is not None
    assert operation.state.configuration == b"document"


def test_concurrent_changes_at_all_hosts_are_all_accepted():
    cluster = start_cluster()
    operations = [cluster.put(host, 8 + index) for index, host in enumerate(HOSTS)]
    zone_change = cluster.set_zone("host-b", "zone-a", False)
    cluster.run(1.0)
    assert all(operation.state is not None for operation in [*operations, zone_change])
    assert read_version(cluster, "host-a") == 10
    current = cluster.running["host-a"].current
    assert current is not None
    assert current.zones_out == ("zone-a",)


def test_an_isolated_host_answers_no_read_and_accepts_no_change():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    cluster.isolate("host-a")
    put_accepted(cluster, "host-b", 8)
    assert read_version(cluster, "host-a") is None
    operation = cluster.run_until_done(cluster.put("host-a", 9))
    assert operation.state is None


def test_an_isolated_host_reads_the_newest_version_once_links_are_restored():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    cluster.isolate("host-a")
    put_accepted(cluster, "host-b", 8)
    cluster.run(3.0)
    cluster.heal()
    assert read_version(cluster, "host-a") == 8


def test_all_hosts_lose_power_at_once_and_nothing_is_lost():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    for host in HOSTS:
        cluster.crash(host)
    for host in HOSTS:
        cluster.start(host)
    cluster.run(0.5)
    assert [read_version(cluster, host) for host in HOSTS] == [7, 7, 7]


@pytest.mark.parametrize("wiped", HOSTS)
@pytest.mark.parametrize("acknowledged_by", HOSTS)
def test_a_configuration_survives_a_lost_disk_and_a_power_loss_of_all_hosts(
    wiped, acknowledged_by
):
    cluster = start_cluster()
    others = [host for host in HOSTS if host != acknowledged_by]
    cluster.disks[others[0]].is_stalled = True
    put_accepted(cluster, acknowledged_by, 7)
    cluster.wipe(wiped)
    for host in HOSTS:
        cluster.crash(host)
    for host in HOSTS:
        cluster.disks[host].is_stalled = False
        cluster.start(host)
    cluster.run(6.0)
    assert [read_version(cluster, host) for host in HOSTS] == [7, 7, 7]
    assert len(member_hosts(cluster, wiped)) == 3


def test_a_wiped_disk_votes_under_a_new_identifier_only_once_it_is_a_member():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    cluster.wipe("host-c")
    cluster.start("host-c")
    assert not cluster.running["host-c"].is_member
    cluster.run(4.0)
    assert cluster.running["host-c"].is_member
    # Its vote counts now, so the ensemble tolerates the loss of another host.
    cluster.crash("host-a")
    put_accepted(cluster, "host-c", 8)


def test_a_configuration_survives_disks_lost_one_after_the_other():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    for host in HOSTS * 2:
        cluster.wipe(host)
        cluster.run(0.5)
        cluster.start(host)
        cluster.run(5.0)
    assert [read_version(cluster, host) for host in HOSTS] == [7, 7, 7]


def test_hosts_are_replaced_by_empty_ones_at_other_addresses():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    replaced = {"host-a": "next-a", "host-b": "next-b", "host-c": "next-c"}
    for old, new in replaced.items():
        cluster.crash(old)
        del cluster.disks[old]
        cluster.run(1.0)
        # The seeds of a new host are the control hosts that run when it is installed.
        cluster.seeds = sorted(cluster.running)
        cluster.start(new)
        cluster.run(8.0)
    assert member_hosts(cluster, "next-a") == sorted(replaced.values())
    assert read_version(cluster, "next-a") == 7
    put_accepted(cluster, "next-b", 8)


def test_a_planned_replacement_takes_over_when_the_old_host_leaves():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    cluster.start("next-c")
    cluster.run(5.0)
    assert member_hosts(cluster, "host-a") == HOSTS
    cluster.running["host-c"].leave(cluster.now)
    cluster.run(1.0)
    assert member_hosts(cluster, "host-a") == ["host-a", "host-b", "next-c"]


def test_new_seeds_do_not_matter_once_hosts_know_each_other():
    cluster = start_cluster()
    put_accepted(cluster, "host-a", 7)
    cluster.seeds = ["unknown-1", "unknown-2", "host-b"]
    cluster.crash("host-a")
    cluster.start("host-a")
    cluster.run(1.0)
    assert read_version(cluster, "host-a") == 7


def test_a_stalled_disk_delays_neither_changes_nor_reads():
    cluster = start_cluster()
    cluster.disks["host-a"].is_stalled = True
    put_accepted(cluster, "host-a", 7)
    assert read_version(cluster, "host-a") == 7


def test_a_full_disk_does_not_vote_and_votes_again_once_it_has_free_space():
    cluster = start_cluster()
    cluster.disks["host-c"].is_full = True
    put_accepted(cluster, "host-c", 7)
    vote = cluster.disks["host-c"].vote
    assert vote is not None
    assert vote.state.configuration_version == 0
    cluster.disks["host-c"].is_full = False
    cluster.crash("host-b")
    put_accepted(cluster, "host-a", 8)


def test_voters_are_added_until_the_ensemble_tolerates_the_desired_losses():
    hosts = [f"host-{letter}" for letter in "abcdef"]
    cluster = start_cluster(hosts, desired_voters=5)
    cluster.run(12.0)
    assert len(member_hosts(cluster, "host-f")) == 5
    put_accepted(cluster, "host-a", 7)
    lost = member_hosts(cluster, "host-f")[:2]
    for host in lost:
        cluster.wipe(host)
    remaining = [host for host in hosts if host not in lost]
    assert read_version(cluster, remaining[-1]) == 7


def test_changes_are_accepted_over_links_that_lose_messages():
    cluster = start_cluster()
    cluster.loss_rate = 0.2
    outcomes = []
    for version in range(1, 21):
        operation = cluster.run_until_done(cluster.put(HOSTS[version % 3], version))
        outcomes.append(operation.state is not None)
    assert sum(outcomes) >= 18


def test_an_order_that_expired_behind_stalled_disks_does_not_undo_a_later_one():
    # Guards against an order that voters store after its caller has gone on.
    cluster = start_cluster()
    assert cluster.run_until_done(cluster.set_zone("host-a", "zone-a", True)).state
    for host in ("host-b", "host-c"):
        cluster.disks[host].is_stalled = True
    stalled = cluster.set_zone("host-a", "zone-a", False)
    cluster.run(1.0)
    assert stalled.is_done
    assert stalled.state is None
    for host in ("host-b", "host-c"):
        cluster.disks[host].is_stalled = False
    later = cluster.run_until_done(cluster.set_zone("host-b", "zone-a", True))
    assert later.state is not None
    cluster.run(2.0)
    newest = cluster.chosen[max(cluster.chosen)]
    assert newest.zones_out == ()
