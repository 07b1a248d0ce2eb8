"""Search with Hypothesis for failures that lose an acknowledged operator change."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.ensemble_cluster import EnsembleCluster

HOSTS = ["host-a", "host-b", "host-c"]
DISK_RECOVERY_SECONDS = 6.0
RESTORATION_SECONDS = 12.0
LARGE_CONFIGURATION_BYTES = 70_000
hosts = st.sampled_from(HOSTS)


class ControlHosts(RuleBasedStateMachine):
    """Change, read, lose hosts, disks and messages, and replace hosts permanently.

    After a lost disk no other one is lost until its host had time to become a member
    again, because three control hosts tolerate the loss of one disk.  No network or
    disk fault starts during that time.  Crashes are not limited.
    """

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.cluster = EnsembleCluster(HOSTS, HOSTS, 3, seed)
        self.cluster.run(0.5)
        self.current_names = {host: host for host in HOSTS}
        self.version = 0
        self.documents = {}
        self.acknowledged_version = 0
        self.operations = []
        self.disk_recovery_deadline = 0.0
        self.replacements = 0

    @rule(host=hosts)
    def put(self, host):
        self._check_results()
        self._put(host, 1)

    @rule(host=hosts)
    def put_large(self, host):
        # No message can carry a state with this configuration.
        self._check_results()
        self._put(host, LARGE_CONFIGURATION_BYTES)

    @rule(host=hosts)
    def read(self, host):
        self._check_results()
        operation = self.cluster.read(self.current_names[host])
        self.operations.append((operation, 0, self.acknowledged_version))

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.1, 0.5, 2.0]))
    def pass_time(self, seconds):
        self.cluster.run(seconds)
        self._check_results()

    @rule(host=hosts)
    def crash(self, host):
        self.cluster.crash(self.current_names[host])

    @rule(host=hosts)
    def start(self, host):
        if self.current_names[host] not in self.cluster.running:
            self.cluster.start(self.current_names[host])

    @rule()
    def lose_power_everywhere(self):
        for host in list(self.cluster.running):
            self.cluster.crash(host)
        for name in self.current_names.values():
            self.cluster.start(name)

    @precondition(lambda self: self.cluster.now > self.disk_recovery_deadline)
    @rule(host=hosts, is_permanent=st.booleans())
    def lose_a_disk(self, host, is_permanent):
        self._restore()
        name = self.current_names[host]
        self.cluster.wipe(name)
        if is_permanent:
            self.replacements += 1
            del self.cluster.disks[name]
            self.cluster.seeds = sorted(self.cluster.running)
            name = self.current_names[host] = f"next-{self.replacements}-{host}"
        self.cluster.start(name)
        self.disk_recovery_deadline = self.cluster.now + DISK_RECOVERY_SECONDS

    @rule(host=hosts, other=hosts)
    def cut(self, host, other):
        if host != other and self.cluster.now > self.disk_recovery_deadline:
            self.cluster.cut(self.current_names[host], self.current_names[other])

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(loss_rate=st.sampled_from([0.05, 0.3]))
    def lose_messages(self, loss_rate):
        if self.cluster.now > self.disk_recovery_deadline:
            self.cluster.loss_rate = loss_rate

    @rule(host=hosts, is_stalled=st.booleans(), is_full=st.booleans())
    def update_disk_faults(self, host, is_stalled, is_full):
        disk = self.cluster.disks[self.current_names[host]]
        if self.cluster.now > self.disk_recovery_deadline:
            disk.is_stalled = is_stalled
            disk.is_full = is_full

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self._restore()
        self._check_results()
        for name in self.current_names.values():
            operation = self.cluster.run_until_done(self.cluster.read(name))
            assert operation.state is not None, f"{name} answers no read"
            version = operation.state.configuration_version
            assert version >= self.acknowledged_version
            assert version == 0 or (
                self.cluster.document(name, operation.state) == self.documents[version]
            ), f"{name} has not the configuration of version {version}"

    def _put(self, host, size):
        self.version += 1
        document = self.documents[self.version] = b"%d" % self.version * size
        operation = self.cluster.put(self.current_names[host], self.version, document)
        self.operations.append((operation, self.version, 0))

    def _restore(self):
        """End every fault, start all hosts and wait until they have recovered."""
        self.cluster.heal()
        for disk in self.cluster.disks.values():
            disk.is_stalled = disk.is_full = False
        for name in self.current_names.values():
            if name not in self.cluster.running:
                self.cluster.start(name)
        self.cluster.run(RESTORATION_SECONDS)
        self._check_results()

    def _check_results(self):
        for operation, put_version, minimum_version in self.operations:
            if operation.is_done and operation.state is not None:
                version = operation.state.configuration_version
                assert version >= max(put_version, minimum_version)
                self.acknowledged_version = max(self.acknowledged_version, put_version)
        self.operations = [
            pending for pending in self.operations if not pending[0].is_done
        ]


TestControlHosts = ControlHosts.TestCase
TestControlHosts.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
