"""Let Hypothesis find an order of events that overfills slots or doubles bookings."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kingcuppulley.entry_hosts.messages import AttemptOutcome, ClaimVerdict
from tests.cover.test_claims import Claims, issued
from tests.cover.test_slot_limits import ZONE, Requests, warm_up
from tests.entry_cluster import ORDER_DESK, EntryCluster

HOSTS = ("zone-a", "zone-b", "zone-b", "zone-b")
hosts = st.integers(0, len(HOSTS) - 1)
SETTINGS = settings(
    max_examples=40,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class Faults(RuleBasedStateMachine):
    """Let time pass while hosts die, restart and are cut off."""

    def alive(self, host):
        name = self.cluster.names[host]
        return name if name in self.cluster.hosts else None

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]))
    def pass_time(self, seconds):
        self.cluster.run(seconds)

    @rule(host=hosts)
    def kill(self, host):
        name = self.alive(host)
        if name and len(self.cluster.hosts) > 2:
            self.cluster.kill(name)
            self.forget(name)

    def forget(self, name):
        """Drop what died with a process."""

    @rule(host=hosts)
    def start(self, host):
        name = self.cluster.names[host]
        if name not in self.cluster.hosts:
            self.cluster.start(name)

    @rule(host=hosts)
    def cut_or_heal(self, host):
        name = self.cluster.names[host]
        if self.cluster.network.cut_pairs:
            self.cluster.network.heal()
        else:
            self.cluster.network.cut([name], set(self.cluster.names) - {name})


class Slots(Faults):
    """Ask for slots of three backend servers from every host."""

    @initialize()
    def begin(self):
        self.cluster = EntryCluster(HOSTS)
        for number in range(2):
            self.cluster.announce(f"desk-{number}", ORDER_DESK, ZONE)
        self.cluster.run(6.0)
        self.requests = Requests(self.cluster)
        warm_up(self.requests)

    def forget(self, name):
        # The connections of a killed gateway close with it, which cancels its work.
        users = self.requests.users
        for lease in [lease for lease, (n, _) in users.items() if n == name]:
            del users[lease]

    @rule(host=hosts, count=st.integers(1, 4), wait=st.sampled_from([0.0, 1.0]))
    def ask(self, host, count, wait):
        name = self.alive(host)
        if name is None:
            return
        now = self.cluster.network.now
        if self.cluster.hosts[name].coordinator_of(ORDER_DESK.identity, ZONE, now):
            for _ in range(count):
                self.requests.request(name, wait)

    @rule(data=st.data(), lost=st.booleans())
    def end(self, data, lost):
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
    def no_backend_server_is_given_more_than_its_slots(self):
        if hasattr(self, "requests"):
            assert max(self.requests.slots_in_use().values(), default=0) <= 2


class Bookings(Faults):
    """Send the same keyed bookings again and again through every host."""

    @initialize()
    def begin(self):
        self.cluster = EntryCluster(HOSTS)
        self.cluster.run(3.0)
        self.claims = Claims(self.cluster)
        self.asked = {}
        self.keys = [issued(self.cluster, zone) for zone in ("zone-a", "zone-b")]

    @rule(host=hosts, key=st.integers(0, 1))
    def ask(self, host, key):
        name = self.alive(host)
        if name and self.claims.homes(name, self.keys[key]):
            claim = self.claims.ask(name, self.keys[key])
            self.asked[claim] = key

    @invariant()
    def no_key_is_granted_twice(self):
        if not hasattr(self, "asked"):
            return
        granted = [
            key
            for claim, key in self.asked.items()
            if self.claims.verdict(claim) is ClaimVerdict.GRANTED
        ]
        assert len(granted) == len(set(granted))


Slots.TestCase.settings = SETTINGS
Bookings.TestCase.settings = SETTINGS
TestSlots = Slots.TestCase
TestBookings = Bookings.TestCase
