"""Let Hypothesis find an order of losses that breaks what operators were told."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.ensemble_cluster import EnsembleCluster

HOSTS = ["host-a", "host-b", "host-c"]
RECOVERED_SECONDS = 6.0
SETTLE_SECONDS = 12.0
hosts = st.sampled_from(HOSTS)


class ControlHosts(RuleBasedStateMachine):
    """Order, read, lose hosts, disks and messages, and replace hosts for good.

    At most one disk is lost until its host had time to be admitted again, which is
    what a deployment of three bears.  Crashes and cuts are not limited.
    """

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.cluster = EnsembleCluster(HOSTS, HOSTS, 3, seed)
        self.cluster.run(0.5)
        self.names = {host: host for host in HOSTS}
        self.version = 0
        self.acknowledged = 0
        self.reads = []
        self.disk_lost_until = 0.0
        self.replacements = 0

    @rule(host=hosts)
    def put(self, host):
        self._note()
        self.version += 1
        name = self.names[host]
        order = self.cluster.put(name, self.version, b"%d" % self.version)
        self.reads.append((order, self.version, 0))

    @rule(host=hosts)
    def read(self, host):
        self._note()
        order = self.cluster.read(self.names[host])
        self.reads.append((order, 0, self.acknowledged))

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.1, 0.5, 2.0]))
    def pass_time(self, seconds):
        self.cluster.run(seconds)
        self._note()

    @rule(host=hosts)
    def crash(self, host):
        self.cluster.crash(self.names[host])

    @rule(host=hosts)
    def start(self, host):
        if self.names[host] not in self.cluster.running:
            self.cluster.start(self.names[host])

    @rule()
    def lose_power_everywhere(self):
        for host in list(self.cluster.running):
            self.cluster.crash(host)
        for name in self.names.values():
            self.cluster.start(name)

    @precondition(lambda self: self.cluster.now > self.disk_lost_until)
    @rule(host=hosts, for_good=st.booleans())
    def lose_a_disk(self, host, for_good):
        self._restore()
        name = self.names[host]
        self.cluster.wipe(name)
        if for_good:
            self.replacements += 1
            del self.cluster.disks[name]
            self.cluster.seeds = sorted(self.cluster.running)
            name = self.names[host] = f"next-{self.replacements}-{host}"
        self.cluster.start(name)
        self.disk_lost_until = self.cluster.now + RECOVERED_SECONDS

    @rule(host=hosts, other=hosts)
    def cut(self, host, other):
        if host != other and self.cluster.now > self.disk_lost_until:
            self.cluster.cut(self.names[host], self.names[other])

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(loss=st.sampled_from([0.05, 0.3]))
    def lose_messages(self, loss):
        if self.cluster.now > self.disk_lost_until:
            self.cluster.loss = loss

    @rule(host=hosts, stalled=st.booleans(), full=st.booleans())
    def trouble_a_disk(self, host, stalled, full):
        disk = self.cluster.disks[self.names[host]]
        if self.cluster.now > self.disk_lost_until:
            disk.is_stalled = stalled
            disk.is_full = full

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self._restore()
        self._note()
        for name in self.names.values():
            order = self.cluster.run_until_done(self.cluster.read(name))
            assert order.state is not None, f"{name} answers no read"
            assert order.state.configuration_version >= self.acknowledged

    def _restore(self):
        """Bring everything back, so that the last loss is over."""
        self.cluster.heal()
        for disk in self.cluster.disks.values():
            disk.is_stalled = disk.is_full = False
        for name in self.names.values():
            if name not in self.cluster.running:
                self.cluster.start(name)
        self.cluster.run(SETTLE_SECONDS)
        self._note()

    def _note(self):
        for order, version, at_least in self.reads:
            if order.is_done and order.state is not None:
                held = order.state.configuration_version
                assert held >= max(version, at_least)
                self.acknowledged = max(self.acknowledged, version)
        self.reads = [read for read in self.reads if not read[0].is_done]


TestControlHosts = ControlHosts.TestCase
TestControlHosts.settings = settings(
    max_examples=2500,
    stateful_step_count=60,
    deadline=None,
    derandomize=False,
    suppress_health_check=list(HealthCheck),
)
