"""Check slot leases and slot limits.

A single coordinator counts the slots of a service in a zone.  Its limits rise slowly
and are lowered at once.
"""

import pytest

from kingcuppulley.backend_servers.limits import SlotLimit
from kingcuppulley.backend_servers.records import TargetState
from kingcuppulley.entry_hosts.messages import AttemptOutcome, LeaseQuery
from tests.entry_cluster import ORDER_DESK, EntryCluster, make_service

ZONE = "zone-b"


class SlotUser:
    """Use one slot and record the answers to its request."""

    def __init__(self):
        self.grant = None
        self.refusal = None
        self.is_lost = False

    def slot_granted(self, grant):
        self.grant = grant

    def slot_refused(self, reason):
        self.refusal = reason

    def lease_lost(self):
        self.is_lost = True


class Requests:
    """Request slots as the gateways of a cluster and count the slots in use."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.users = {}
        self.request_count = 0

    def request(self, name, wait_seconds=0.0):
        self.request_count += 1
        lease = f"{name}.{self.request_count}"
        host = self.cluster.hosts[name]
        now = self.cluster.network.now
        coordinator = host.coordinator_of(ORDER_DESK.identity, ZONE, now)
        user = SlotUser()
        self.users[lease] = (name, user)
        host.slot_client.request(
            lease, user, ORDER_DESK.identity, ZONE, coordinator, wait_seconds, None, now
        )
        self.cluster.network.deliver_all()
        return lease

    def release(self, lease, outcome=AttemptOutcome.ANSWERED):
        name, _ = self.users.pop(lease)
        now = self.cluster.network.now
        self.cluster.hosts[name].slot_client.release(lease, outcome, now)
        self.cluster.network.deliver_all()

    def slots_in_use(self):
        counts = {}
        for name, user in self.users.values():
            if name in self.cluster.hosts and user.grant and not user.is_lost:
                target = user.grant.target
                counts[target] = counts.get(target, 0) + 1
        return counts

    def granted_leases(self):
        return [lease for lease, (_, user) in self.users.items() if user.grant]


@pytest.fixture
def requests():
    cluster = EntryCluster()
    for number in range(3):
        cluster.announce(f"desk-{number}", ORDER_DESK, ZONE)
    cluster.run(6.0)
    return Requests(cluster)


def warm_up(requests):
    for _ in range(30):
        requests.release(requests.request("entry-1"))
    requests.cluster.run(0.2)
    assert not requests.slots_in_use()


def test_eight_gateways_together_stay_within_the_slots(requests):
    warm_up(requests)
    for name in requests.cluster.names * 4:
        requests.request(name)
    assert requests.slots_in_use() == {"desk-0": 2, "desk-1": 2, "desk-2": 2}


def test_cold_servers_get_only_their_cold_slots(requests):
    for name in requests.cluster.names:
        requests.request(name)
    assert requests.slots_in_use() == {"desk-0": 1, "desk-1": 1, "desk-2": 1}


def test_a_shed_lowers_the_limit_at_once(requests):
    warm_up(requests)
    lease = requests.request("entry-1")
    target = requests.users[lease][1].grant.target
    requests.release(lease, AttemptOutcome.SHED)
    requests.cluster.run(0.6)
    for name in requests.cluster.names * 2:
        requests.request(name)
    assert requests.slots_in_use()[target] == 1


def test_a_request_waits_for_a_slot_and_gets_the_next_free_one(requests):
    warm_up(requests)
    leases = [requests.request("entry-1") for _ in range(6)]
    waiting = requests.request("entry-2", wait_seconds=1.0)
    assert requests.users[waiting][1].grant is None
    requests.release(leases[0])
    assert requests.users[waiting][1].grant is not None


def test_a_new_coordinator_counts_the_leases_of_the_previous_one(requests):
    warm_up(requests)
    cluster = requests.cluster
    for _ in range(6):
        requests.request("entry-1")
    coordinator = cluster.hosts["entry-1"].coordinator_of(
        ORDER_DESK.identity, ZONE, cluster.network.now
    )
    cluster.kill(coordinator)
    cluster.run(3.0)
    for name in sorted(cluster.hosts):
        requests.request(name, wait_seconds=3.0)
    cluster.run(4.0)
    assert max(requests.slots_in_use().values()) <= 2
    assert sum(requests.slots_in_use().values()) == 6


def test_a_grant_of_a_replaced_coordinator_is_released(requests):
    cluster = requests.cluster
    host = cluster.hosts["entry-1"]
    now = cluster.network.now
    user = SlotUser()
    coordinator = host.coordinator_of(ORDER_DESK.identity, ZONE, now)
    other = next(n for n in ("entry-4", "entry-5") if n != coordinator)
    host.slot_client.request(
        "late", user, ORDER_DESK.identity, ZONE, coordinator, 0, None, now
    )
    host.receive(other, LeaseQuery(ORDER_DESK.identity, ZONE), now)
    cluster.network.deliver_all()
    assert user.grant is None
    assert user.refusal is not None


def test_a_coordinator_that_was_replaced_by_mistake_starts_again(requests):
    """The other host's view was wrong briefly, and this host's view never changes."""
    cluster = requests.cluster
    now = cluster.network.now
    coordinator = cluster.hosts["entry-1"].coordinator_of(
        ORDER_DESK.identity, ZONE, now
    )
    other = next(n for n in ("entry-4", "entry-5") if n != coordinator)
    query = LeaseQuery(ORDER_DESK.identity, ZONE)
    cluster.hosts[coordinator].receive(other, query, now)
    requests.request("entry-1")
    assert not requests.granted_leases()
    cluster.run(6.0)
    requests.request("entry-1")
    assert requests.granted_leases()


def test_a_host_that_is_cut_off_from_all_others_grants_no_slots(requests):
    """It can still reach the servers, whose slots the other hosts grant as well."""
    warm_up(requests)
    cluster = requests.cluster
    cluster.network.cut(["entry-4"], set(cluster.names) - {"entry-4"})
    for _ in range(100):
        cluster.run(0.1)
        now = cluster.network.now
        for name in ("entry-4", "entry-5"):
            if cluster.hosts[name].coordinator_of(ORDER_DESK.identity, ZONE, now):
                requests.request(name)
        assert max(requests.slots_in_use().values(), default=0) <= 2
    assert sum(requests.slots_in_use().values()) == 6


def test_a_gateway_that_cannot_renew_stops_before_its_slot_is_granted_to_another(
    requests,
):
    warm_up(requests)
    cluster = requests.cluster
    leases = [requests.request("entry-1") for _ in range(6)]
    cluster.network.cut(["entry-1"], [n for n in cluster.names if n != "entry-1"])
    for _ in range(120):
        cluster.run(0.05)
        requests.request("entry-2")
        assert max(requests.slots_in_use().values(), default=0) <= 2
    assert all(requests.users[lease][1].is_lost for lease in leases)
    assert sum(requests.slots_in_use().values()) > 0


def test_a_server_whose_announcements_timed_out_gets_nothing_and_returns_cold(requests):
    warm_up(requests)
    cluster = requests.cluster
    cluster.stop_announcing("desk-1")
    cluster.run(4.0)
    for name in cluster.names * 2:
        requests.request(name)
    assert "desk-1" not in requests.slots_in_use()
    cluster.announce("desk-1", ORDER_DESK, ZONE)
    cluster.run(1.0)
    for name in cluster.names * 2:
        requests.request(name)
    assert requests.slots_in_use()["desk-1"] == 1


def test_a_zone_that_is_out_of_service_grants_nothing(requests):
    requests.cluster.configure(zones_out=frozenset({ZONE}))
    requests.cluster.run(1.0)
    requests.request("entry-1")
    assert not requests.granted_leases()


def test_a_limit_waits_for_the_end_of_a_cold_start_before_it_rises():
    service = make_service("desk", "192.0.2.1", ORDER_DESK.tier, cold_seconds=5)
    limit = SlotLimit(service, 0, now=0.0)
    for second in range(5):
        limit.record(AttemptOutcome.ANSWERED, 0.03, float(second))
    assert limit.current(TargetState.WARM, 4.9) == 1
    for _ in range(3):
        limit.record(AttemptOutcome.ANSWERED, 0.03, 5.1)
    assert limit.current(TargetState.WARM, 5.2) == 2
    assert limit.current(TargetState.COLD, 5.2) == 1


def test_a_timeout_after_a_short_service_time_does_not_lower_the_limit():
    """Under overload requests reach a server with little of their timeout left."""
    limit = SlotLimit(ORDER_DESK, 2, now=0.0)
    limit.record(AttemptOutcome.ANSWERED, 0.1, 1.0)
    limit.record(AttemptOutcome.TIMEOUT, 0.02, 2.0)
    assert limit.current(TargetState.WARM, 2.0) == 2
    limit.record(AttemptOutcome.TIMEOUT, 0.9, 3.0)
    assert limit.current(TargetState.WARM, 3.0) == 0


def test_a_sudden_rise_in_service_time_lowers_the_limit_to_the_cold_slots():
    limit = SlotLimit(ORDER_DESK, 0, now=0.0)
    for _ in range(10):
        limit.record(AttemptOutcome.ANSWERED, 0.06, 1.0)
    assert limit.current(TargetState.WARM, 1.0) == 2
    limit.record(AttemptOutcome.ANSWERED, 0.3, 2.0)
    assert limit.current(TargetState.WARM, 2.0) == 1
