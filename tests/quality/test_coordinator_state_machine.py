"""Search for lists of hosts for which coordinators are chosen inconsistently."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kingcuppulley.entry_hosts.coordinator_table import CoordinatorTable
from kingcuppulley.entry_hosts.seeded_messages import EntryHostInfo

names = st.sampled_from([f"10.0.0.{number}:7200" for number in range(8)])
capacities = st.sampled_from([0, 40, 120, 163, 204, 408])


class Coordinators(RuleBasedStateMachine):
    """Change one zone's hosts, and compare the tables of two of them."""

    @initialize()
    def begin(self):
        self.now = 0.0
        self.hosts = {}
        self.tables = [CoordinatorTable(f"own-{number}", "z") for number in range(2)]

    def update(self):
        # Lists of different control hosts arrive in different orders.
        hosts = list(self.hosts.values())
        self.tables[0].update(hosts, self.now)
        self.tables[1].update(hosts[::-1], self.now)

    def chosen(self, table):
        return [table.coordinator("z", "desk", self.now, share) for share in range(6)]

    @rule(name=names, leaving=st.booleans(), capacity=capacities)
    def list_host(self, name, leaving, capacity):
        self.hosts[name] = EntryHostInfo(name, "z", leaving, capacity)
        self.update()

    @rule(name=names)
    def unlist_host(self, name):
        self.hosts.pop(name, None)
        self.update()

    @rule(name=names, seconds=st.sampled_from([0.3, 1.0]))
    def suspect_host_and_pass_time(self, name, seconds):
        for table in self.tables:
            table.suspect(name, self.now)
        self.now += seconds

    @rule(others=st.lists(capacities.filter(bool)), capacity=st.integers(1, 203))
    def add_and_remove_weak_host(self, others, capacity):
        """A weak host moves no share of a zone that has a strong one."""
        table = CoordinatorTable("own", "z")
        addresses = [f"10.0.0.{number}:7200" for number in range(len(others) + 1)]
        known = zip(addresses, [408, *others], strict=True)
        hosts = [EntryHostInfo(address, "z", False, n) for address, n in known]
        weak = EntryHostInfo("weak", "z", False, capacity)
        chosen = []
        for listed in (hosts, [*hosts, weak], hosts):
            table.update(listed, self.now)
            chosen.append(self.chosen(table))
        assert chosen[0] == chosen[1] == chosen[2]

    @invariant()
    def tables_with_equal_lists_agree(self):
        chosen = self.chosen(self.tables[0])
        assert chosen == self.chosen(self.tables[1])
        staying = {name for name, host in self.hosts.items() if not host.is_leaving}
        assert set(chosen) <= staying | {None}


TestCoordinators = Coordinators.TestCase
TestCoordinators.settings = settings(derandomize=True, deadline=None, database=None)
