"""Let Hypothesis find an order of events that breaks what control hosts promise."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kingcuppulley.control.acceptor import ReplicaState
from kingcuppulley.control.registers import ChangeOutcome
from tests.control_cluster import Cluster

KEYS = ("zone/west-a", "template/order-desk")
hosts = st.integers(0, 2)


class ControlHosts(RuleBasedStateMachine):
    """Ask for changes while messages, hosts and disks are lost."""

    @initialize()
    def begin(self):
        self.cluster = Cluster(3)
        self.cluster.run(1.0)
        self.highest = {}
        self.chosen = {}
        self.asked = {}

    @rule(host=hosts, key=st.sampled_from(KEYS), version=st.integers(0, 4))
    def ask(self, host, key, version):
        name = self.cluster.names[host]
        if name in self.cluster.replicas:
            identifier = self.cluster.ask(name, version, key=key)
            self.asked[identifier] = (version, key)

    @rule(host=hosts, data=st.data())
    def resend(self, host, data):
        name = self.cluster.names[host]
        if name in self.cluster.replicas and self.asked:
            identifier = data.draw(st.sampled_from(sorted(self.asked)))
            version, key = self.asked[identifier]
            self.cluster.ask(name, version, identifier=identifier, key=key)

    @rule(data=st.data(), count=st.integers(1, 8))
    def deliver_any(self, data, count):
        for _ in range(count):
            waiting = len(self.cluster.network.in_flight)
            if waiting:
                index = data.draw(st.integers(0, min(waiting, 12) - 1))
                self.cluster.network.deliver(index)

    @rule(data=st.data(), again=st.booleans())
    def lose_or_repeat(self, data, again):
        flights = self.cluster.network.in_flight
        if flights:
            index = data.draw(st.integers(0, min(len(flights), 12) - 1))
            if again:
                flights.append(flights[index])
            else:
                flights.pop(index)

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.5]))
    def pass_time(self, seconds):
        self.cluster.tick(seconds)

    @rule()
    def settle(self):
        self.cluster.run(1.0)

    @rule(host=hosts)
    def restart(self, host):
        name = self.cluster.names[host]
        self.cluster.crash(name)
        self.cluster.start(name)

    @rule(host=hosts)
    def lose_disk(self, host):
        # One disk at a time: the next may go as soon as this one votes again.
        name = self.cluster.names[host]
        others = [n for n in self.cluster.names if n != name]
        if all(n in self.cluster.voting() for n in others):
            self.cluster.lose_disk(name)
            self.cluster.start(name)

    @rule(host=hosts)
    def cut_or_heal(self, host):
        name = self.cluster.names[host]
        if self.cluster.network.cut_pairs:
            self.cluster.network.heal()
        else:
            others = [n for n in self.cluster.names if n != name]
            self.cluster.network.cut([name], others)

    @invariant()
    def no_version_has_two_values_and_none_goes_back(self):
        if not hasattr(self, "cluster"):
            return
        for name, replica in self.cluster.replicas.items():
            for register in replica.publisher.registers:
                place = (register.key, register.revision)
                value = repr(register)
                assert self.chosen.setdefault(place, value) == value
                boot = (name, id(replica), register.key)
                assert register.revision >= self.highest.get(boot, 0)
                self.highest[boot] = register.revision

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.network.heal()
        for name in cluster.names:
            if name not in cluster.replicas:
                cluster.start(name)
        cluster.run(15.0)
        assert all(r.state is ReplicaState.VOTING for r in cluster.replicas.values())
        self.check_answers()

    def check_answers(self):
        cluster = self.cluster
        first_answers = {}
        for identifier, answer in cluster.answers:
            if identifier in self.asked:
                assert first_answers.setdefault(identifier, answer) == answer
        for identifier, answer in first_answers.items():
            if answer.outcome is ChangeOutcome.ACCEPTED:
                for replica in cluster.replicas.values():
                    register = replica.publisher.get(answer.key)
                    kept = {a.identifier: a.answer for a in register.answered_changes}
                    assert kept[identifier] == answer


ControlHosts.TestCase.settings = settings(
    max_examples=250,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestControlHosts = ControlHosts.TestCase
