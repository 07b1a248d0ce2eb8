"""Search with Hypothesis for orders of events that break what a `Replica` promises."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kingcuppulley.control.acceptor import ReplicaState
from kingcuppulley.control.registers import ChangeOutcome
from tests.control_cluster import Cluster

KEYS = ("zone/west-a", "template/order-desk")
hosts = st.integers(0, 2)


class ControlHosts(RuleBasedStateMachine):
    """Submit changes while messages, hosts and disks are lost."""

    @initialize()
    def start_cluster(self):
        self.cluster = Cluster(3)
        self.cluster.run(1.0)
        self.highest_revisions = {}
        self.chosen_values = {}
        self.submitted = {}

    @rule(host=hosts, key=st.sampled_from(KEYS), version=st.integers(0, 4))
    def change_register(self, host, key, version):
        name = self.cluster.names[host]
        if name in self.cluster.replicas:
            identifier = self.cluster.submit(name, version, key=key)
            self.submitted[identifier] = (version, key)

    @rule(host=hosts, data=st.data())
    def resend(self, host, data):
        name = self.cluster.names[host]
        if name in self.cluster.replicas and self.submitted:
            identifier = data.draw(st.sampled_from(sorted(self.submitted)))
            version, key = self.submitted[identifier]
            self.cluster.submit(name, version, identifier=identifier, key=key)

    @rule(data=st.data(), count=st.integers(1, 8))
    def deliver_any(self, data, count):
        for _ in range(count):
            message_count = len(self.cluster.network.in_flight)
            if message_count:
                index = data.draw(st.integers(0, min(message_count, 12) - 1))
                self.cluster.network.deliver(index)

    @rule(data=st.data(), is_repeated=st.booleans())
    def lose_or_repeat(self, data, is_repeated):
        messages = self.cluster.network.in_flight
        if messages:
            index = data.draw(st.integers(0, min(len(messages), 12) - 1))
            if is_repeated:
                messages.append(messages[index])
            else:
                messages.pop(index)

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.5]))
    def pass_time(self, seconds):
        self.cluster.tick(seconds)

    @rule()
    def run_cluster(self):
        self.cluster.run(1.0)

    @rule(host=hosts)
    def restart(self, host):
        name = self.cluster.names[host]
        self.cluster.crash(name)
        self.cluster.start(name)

    @rule(host=hosts)
    def lose_disk(self, host):
        # At most one disk is lost at a time; the next may be lost once this host votes.
        name = self.cluster.names[host]
        others = [other for other in self.cluster.names if other != name]
        if all(other in self.cluster.voting() for other in others):
            self.cluster.lose_disk(name)
            self.cluster.start(name)

    @rule(host=hosts)
    def cut_or_heal(self, host):
        name = self.cluster.names[host]
        if self.cluster.network.cut_pairs:
            self.cluster.network.heal()
        else:
            others = [other for other in self.cluster.names if other != name]
            self.cluster.network.cut([name], others)

    @invariant()
    def no_revision_has_two_values_and_no_revision_decreases(self):
        if not hasattr(self, "cluster"):
            return
        for name, replica in self.cluster.replicas.items():
            for register in replica.publisher.registers:
                key_and_revision = (register.key, register.revision)
                value = repr(register)
                assert self.chosen_values.setdefault(key_and_revision, value) == value
                instance = (name, id(replica), register.key)
                assert register.revision >= self.highest_revisions.get(instance, 0)
                self.highest_revisions[instance] = register.revision

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.network.heal()
        for name in cluster.names:
            if name not in cluster.replicas:
                cluster.start(name)
        cluster.run(15.0)
        assert all(
            replica.state is ReplicaState.VOTING
            for replica in cluster.replicas.values()
        )
        self.check_answers()

    def check_answers(self):
        cluster = self.cluster
        first_answers = {}
        for identifier, answer in cluster.answers:
            if identifier in self.submitted:
                assert first_answers.setdefault(identifier, answer) == answer
        for identifier, answer in first_answers.items():
            if answer.outcome is ChangeOutcome.ACCEPTED:
                for replica in cluster.replicas.values():
                    register = replica.publisher.get(answer.key)
                    stored = {
                        change.identifier: change.answer
                        for change in register.answered_changes
                    }
                    assert stored[identifier] == answer


ControlHosts.TestCase.settings = settings(
    max_examples=250,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestControlHosts = ControlHosts.TestCase
