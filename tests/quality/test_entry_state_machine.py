"""Search for event sequences that overfill slots or run a keyed request twice."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kingcuppulley.entry_hosts.messages import AttemptOutcome, ClaimVerdict
from tests.cover.test_claims import Claims, issued_key
from tests.cover.test_slot_limits import ZONE, Requests, warm_up
from tests.entry_cluster import ORDER_DESK, EntryCluster

HOST_ZONES = ("zone-a", "zone-b", "zone-b", "zone-b")
host_indexes = st.integers(0, len(HOST_ZONES) - 1)
SETTINGS = settings(
    max_examples=40,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class HostFaults(RuleBasedStateMachine):
    """Advance time while hosts are killed, restarted and cut off."""

    def running_name(self, host):
        name = self.cluster.names[host]
        return name if name in self.cluster.hosts else None

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]))
    def pass_time(self, seconds):
        self.cluster.run(seconds)

    @rule(host=host_indexes)
    def kill(self, host):
        name = self.running_name(host)
        if name and len(self.cluster.hosts) > 2:
            self.cluster.kill(name)
            self.discard_state(name)

    def discard_state(self, name):
        """Discard the state that is lost with a process."""

    @rule(host=host_indexes)
    def start(self, host):
        name = self.cluster.names[host]
        if name not in self.cluster.hosts:
            self.cluster.start(name)

    @rule(host=host_indexes)
    def cut_or_heal(self, host):
        name = self.cluster.names[host]
        if self.cluster.network.cut_pairs:
            self.cluster.network.heal()
        else:
            self.cluster.network.cut([name], set(self.cluster.names) - {name})


class Slots(HostFaults):
    """Request slots of two backend servers from every host."""

    @initialize()
    def begin(self):
        self.cluster = EntryCluster(HOST_ZONES)
        for number in range(2):
            self.cluster.announce(f"desk-{number}", ORDER_DESK, ZONE)
        self.cluster.run(6.0)
        self.requests = Requests(self.cluster)
        warm_up(self.requests)

    def discard_state(self, name):
        # The connections of a killed gateway close with it, which cancels its work.
        users = self.requests.users
        for lease in [
            lease for lease, (host_name, _) in users.items() if host_name == name
        ]:
            del users[lease]

    @rule(host=host_indexes, count=st.integers(1, 4), wait=st.sampled_from([0.0, 1.0]))
    def acquire_slots(self, host, count, wait):
        name = self.running_name(host)
        if name is None:
            return
        now = self.cluster.network.now
        if self.cluster.hosts[name].coordinator_of(ORDER_DESK.identity, ZONE, now):
            for _ in range(count):
                self.requests.request(name, wait)

    @rule(data=st.data(), lost=st.booleans())
    def end_lease(self, data, lost):
        granted = [
            lease
            for lease in self.requests.granted_leases()
            if self.requests.users[lease][0] in self.cluster.hosts
        ]
        if granted:
            lease = data.draw(st.sampled_from(granted))
            outcome = AttemptOutcome.LOST if lost else AttemptOutcome.ANSWERED
            self.requests.release(lease, outcome)

    @invariant()
    def no_backend_server_exceeds_its_slots(self):
        if hasattr(self, "requests"):
            assert max(self.requests.slots_in_use().values(), default=0) <= 2


class Bookings(HostFaults):
    """Send the same keyed bookings repeatedly through every host."""

    @initialize()
    def begin(self):
        self.cluster = EntryCluster(HOST_ZONES)
        self.cluster.run(3.0)
        self.claims = Claims(self.cluster)
        self.keys_by_claim = {}
        self.keys = [issued_key(self.cluster, zone) for zone in ("zone-a", "zone-b")]

    @rule(host=host_indexes, key=st.integers(0, 1))
    def book(self, host, key):
        name = self.running_name(host)
        if name and self.claims.replicas(name, self.keys[key]):
            claim = self.claims.request(name, self.keys[key])
            self.keys_by_claim[claim] = key

    @invariant()
    def no_key_is_granted_twice(self):
        if not hasattr(self, "keys_by_claim"):
            return
        granted = [
            key
            for claim, key in self.keys_by_claim.items()
            if self.claims.verdict(claim) is ClaimVerdict.GRANTED
        ]
        assert len(granted) == len(set(granted))


Slots.TestCase.settings = SETTINGS
Bookings.TestCase.settings = SETTINGS
TestSlots = Slots.TestCase
TestBookings = Bookings.TestCase
