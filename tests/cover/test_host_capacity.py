"""Check that coordinators are chosen by capacity, also beside earlier builds."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest

from kingcuppulley.control.state import RoutingState, VoterSet, ZoneReturn
from kingcuppulley.entry_hosts.control_follower import ControlFollower
from kingcuppulley.entry_hosts.coordinator_table import CoordinatorTable
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    EntryHostInfo,
    HostList,
    RelayedUpdate,
    SourcePosition,
    SubscribeToControl,
    SubscribeToRelay,
)
from kingcuppulley.fabric.service_shares import SERVERS_PER_SHARE, ServiceShares
from kingcuppulley.internal.rendezvous import rank_names
from tests.control_traffic import ControlNetwork
from tests.seeded_fakes import heartbeat, registry_of

SERVICE = "order-desk"
STRONG, WEAK = 408, 120
SHARES = range(32)
HOST, CONTROL = "10.0.0.1:7700", "10.0.0.2:7700"
POSITION = [CONTROL, "i1", 7]
HEARTBEAT = heartbeat(known_return_revision=6)
UPDATE = ControlUpdate(
    CONTROL, "i1", 0, 7, False, [HEARTBEAT], 5, [CONTROL], 7, 0, "zone-a"
)
STATE = RoutingState(
    7, VoterSet((), ()), 3, b"document", ("zone-a",), (), (ZoneReturn("zone-a", 7),)
)


def as_list(message: Any) -> list[Any]:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message))


@pytest.mark.parametrize(
    ("current", "earlier", "new_fields"),
    [
        (EntryHostInfo(HOST, "z", True, 163), [HOST, "z", True], 1),
        (
            SubscribeToControl(HOST, "z", True, False, "i1", 7, 163),
            ["fc", HOST, "z", True, False, "i1", 7],
            1,
        ),
        (
            SubscribeToRelay(
                HOST, "z", True, False, [SourcePosition(*POSITION)], 163, 5
            ),
            ["fy", HOST, "z", True, False, [POSITION]],
            2,
        ),
        (RelayedUpdate([UPDATE], [3], 5), ["cr", [as_list(UPDATE)], [3]], 1),
        (HEARTBEAT, as_list(HEARTBEAT)[:-1], 1),
        (STATE, as_list(STATE)[:-1], 1),
    ],
    ids=lambda value: type(value).__name__,
)
def test_messages_are_exchanged_with_earlier_builds(
    current: Any, earlier: list[Any], new_fields: int
):
    """A mixed deployment must not lose subscriptions, updates or lists of hosts."""
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    tag = current.__struct_config__.tag
    all_fields = msgspec.structs.fields(current)
    fields = [(each.name, each.type) for each in all_fields[:-new_fields]]
    EarlierType = msgspec.defstruct("EarlierType", fields, array_like=True, tag=tag)
    earlier_message = decode(encode(current), type=EarlierType)
    assert encode(earlier_message) == encode(earlier)
    received = decode(encode(earlier_message), type=type(current))
    defaults = {each.name: each.default for each in all_fields[-new_fields:]}
    assert received == msgspec.structs.replace(current, **defaults)


def table_of(capacities: dict[str, int]) -> CoordinatorTable:
    table = CoordinatorTable("a0", "zone-a")
    hosts = [EntryHostInfo(name, "zone-a", False, n) for name, n in capacities.items()]
    table.update(hosts, 0.0)
    return table


def chosen(table: CoordinatorTable) -> set[str | None]:
    return {table.coordinator("zone-a", SERVICE, 0.0, share) for share in SHARES}


@pytest.mark.parametrize("capacity", [0, 1, 163])
def test_hosts_of_equal_capacity_are_ranked_by_hash_alone(capacity: int):
    """Deployments of equal hosts, or of earlier builds, must see no change."""
    random = Random(4)
    for _ in range(50):
        names = [f"10.0.{random.randrange(256)}.{n}:7" for n in range(9)]
        table = table_of(dict.fromkeys(names, capacity))
        assert table._ranked("zone-a", SERVICE) == rank_names(SERVICE, names)
        assert table._ranked("zone-a", SERVICE, 5) == rank_names(f"{SERVICE}/5", names)


def test_weak_hosts_coordinate_only_while_no_strong_one_answers():
    table = table_of({"a0": WEAK, "a1": STRONG, "a2": 204, "a3": 203})
    assert chosen(table) == {"a1", "a2"}
    assert table.peer_in_zone(SERVICE, 0.0) in ("a1", "a2")
    for address in ("a1", "a2"):
        table.suspect(address, 0.0)
    assert chosen(table) == {"a0", "a3"}
    assert table.peer_in_zone(SERVICE, 0.0) == "a3"


def test_capacities_count_only_when_those_of_all_hosts_of_the_zone_are_known():
    """During an upgrade, hosts of both builds must choose the same coordinators.

    A lasting difference lets the coordinator of a repeated opening packet refuse a flow
    that the other one has placed; the soak of two builds saw open flows reset by that.
    """
    capacities = {"a1": WEAK, "a2": WEAK, "a3": STRONG, "a9": 0}
    mixed, earlier = table_of(capacities), table_of(dict.fromkeys(capacities, 0))
    for share in SHARES:
        ranked = mixed._ranked("zone-a", SERVICE, share)
        assert ranked == earlier._ranked("zone-a", SERVICE, share)
    assert mixed.servers_per_share("zone-a") == SERVERS_PER_SHARE
    assert chosen(table_of({**capacities, "a9": WEAK})) == {"a3"}


def test_a_coordinator_of_a_weak_zone_gets_fewer_servers():
    """A burst on all servers of a zone overloads a coordinator with 0.16 of a core."""
    table = table_of({"a1": 163, "a2": 163})
    assert table.servers_per_share("zone-a") == 8
    shares = ServiceShares(registry_of({"zone-a": 20, "zone-b": 3}), table)
    assert shares.count("zone-a", SERVICE) == 4
    assert shares.count("zone-b", SERVICE) == 1
    version = table.version
    table.update([EntryHostInfo("a1", "zone-a", False, 1000)], 0.0)
    assert table.version > version
    assert shares.count("zone-a", SERVICE) == 1


@pytest.mark.parametrize("order", [("c1", "c2"), ("c2", "c1")])
def test_a_known_capacity_is_preferred_to_an_unknown_one(order: tuple[str, str]):
    """The ranking must not change with the order in which lists arrive."""
    follower = ControlFollower("a1", "zone-a", [])
    follower.add(order, 0.0)
    for control, capacity in (("c1", 408), ("c2", 0)):
        info = EntryHostInfo("a1", "z", False, capacity)
        follower.statuses[control].store_hosts([info], 0.0)
    assert [host.capacity for host in follower.listed_hosts(0.1)] == [408]


class UnevenNetwork(ControlNetwork):
    """Run a zone of weak and strong hosts; some control hosts are of an older build."""

    def __init__(self, *earlier: str) -> None:
        self.earlier = set(earlier)
        super().__init__(1, 3, 12)
        for number, name in enumerate(self.entry_names):
            self.capacities[name] = WEAK if number % 4 else STRONG
            self.entries[name] = self.start_entry(name)
        self.run(1.0)
        self.configure(1)
        self.start_servers(0, 30, 0.2)
        self.run(2.0)

    def send(self, source: str, destination: str, message: object) -> None:
        replace = msgspec.structs.replace
        if {source, destination} & self.earlier:
            match message:
                case SubscribeToControl() | SubscribeToRelay():
                    message = replace(message, capacity=0)
                case HostList():
                    hosts = [replace(host, capacity=0) for host in message.hosts]
                    message = HostList(message.digest, hosts)
        super().send(source, destination, message)

    def coordinators(self) -> set[str | None]:
        """Return the hosts that any host takes for the coordinator."""
        return {
            entry._coordinators.coordinator("zone-0", SERVICE, self.now)
            for entry in self.entries.values()
        }

    def disagreement_seconds(self, seconds: float) -> float:
        """Run for some seconds and return how long hosts chose differently."""
        different_steps = 0
        for _ in range(round(seconds / 0.02)):
            self.run(0.02)
            different_steps += len(self.coordinators() - {None}) > 1
        return different_steps * 0.02


def test_two_hosts_place_flows_of_a_share_for_less_than_a_second():
    """A strong host leaves, returns as a weak one, and returns as a strong one."""
    network = UnevenNetwork()
    (changed,) = network.coordinators()
    assert changed is not None
    assert network.capacities[changed] == STRONG
    network.entries[changed].notify_leaving()
    assert network.disagreement_seconds(3.0) < 1.0
    for capacity in (WEAK, STRONG):
        network.capacities[changed] = capacity
        network.entries[changed] = network.start_entry(changed)
        assert network.disagreement_seconds(4.0) < 1.0
        assert (network.coordinators() == {changed}) is (capacity == STRONG)


@pytest.mark.parametrize("downtime", [0.1, 1.5])
def test_hosts_agree_again_after_the_last_control_host_is_upgraded(downtime: float):
    """Lists without capacities must not outlive the relay that dropped them."""
    upgraded = "control-1:1"
    network = UnevenNetwork(upgraded)
    del network.controls[upgraded]
    network.run(downtime)
    network.earlier.clear()
    network.controls[upgraded] = network.start_control(upgraded)
    network.run(4.0)
    for entry in network.entries.values():
        hosts = entry._coordinators._hosts.values()
        assert {host.address: host.capacity for host in hosts} == network.capacities
