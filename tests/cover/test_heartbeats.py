"""Check heartbeat tables of control hosts and target registries of entry hosts."""

from __future__ import annotations

from kingcuppulley.backend_servers.change_log import MAXIMUM_UPDATE_TARGETS
from kingcuppulley.backend_servers.heartbeat_table import HeartbeatTable
from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.backend_servers.target_registry import (
    PREVIOUS_INSTANCE_RETENTION_SECONDS,
    TARGET_EVICTION_INTERVAL_SECONDS,
    UNUSED_TARGET_RETENTION_SECONDS,
    TargetRegistry,
    derive_cookie,
)
from tests.seeded_fakes import SERVICE, heartbeat

HEARTBEAT_SECONDS = 1.0


def test_a_steady_heartbeat_is_a_change_only_once():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    assert table.receive_heartbeat(heartbeat(sequence=1), 0.0)
    assert not table.receive_heartbeat(heartbeat(sequence=2), 1.0)
    assert len(table.changes_since(0, 1.0).targets) == 1


def test_a_late_heartbeat_changes_nothing():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    table.receive_heartbeat(heartbeat(sequence=5, state=ServingState.DRAINING), 0.0)
    assert not table.receive_heartbeat(heartbeat(sequence=4), 0.1)
    assert table.changes_since(0, 0.1).targets[0].state is ServingState.DRAINING


def test_a_heartbeat_of_a_previous_incarnation_changes_nothing():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    table.receive_heartbeat(heartbeat(incarnation=2000, sequence=1), 0.0)
    assert not table.receive_heartbeat(heartbeat(incarnation=1000, sequence=99), 0.1)


def test_a_server_that_starts_again_under_its_name_is_a_change():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    table.receive_heartbeat(heartbeat(incarnation=1000, sequence=50), 0.0)
    assert table.receive_heartbeat(heartbeat(incarnation=2000, sequence=1), 1.0)


def test_a_late_heartbeat_does_not_bring_back_a_server_that_left():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    table.receive_heartbeat(heartbeat(sequence=5), 0.0)
    assert table.deregister("i-1", 1.0)
    assert not table.receive_heartbeat(heartbeat(sequence=6), 1.1)
    assert table.changes_since(0, 1.1).targets[0].state is ServingState.GONE


def test_a_heartbeat_timeout_is_a_change_and_so_is_its_end():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    table.receive_heartbeat(heartbeat(sequence=1), 0.0)
    assert not table.tick(3.0)
    assert table.tick(4.0)
    assert table.changes_since(0, 4.0).targets[0].state is ServingState.UNRESPONSIVE
    assert table.receive_heartbeat(heartbeat(sequence=2), 5.0)


def test_the_newest_report_of_any_control_host_wins():
    registry = TargetRegistry()
    registry.update("control-a", "instance", 1, [heartbeat(sequence=3)], 0.0)
    registry.update(
        "control-b",
        "instance",
        1,
        [heartbeat(sequence=4, state=ServingState.DRAINING)],
        0.0,
    )
    registry.update("control-a", "instance", 2, [heartbeat(sequence=3)], 0.0)
    target = registry.of_service("order-desk")[0]
    assert target.state is ServingState.DRAINING


def test_a_timeout_at_one_control_host_yields_to_a_newer_heartbeat_at_another():
    registry = TargetRegistry()
    registry.update(
        "control-a",
        "instance",
        1,
        [heartbeat(sequence=3, state=ServingState.UNRESPONSIVE)],
        0.0,
    )
    registry.update("control-b", "instance", 1, [heartbeat(sequence=4)], 0.0)
    assert registry.of_service("order-desk")[0].is_eligible


def test_a_server_that_returns_to_its_first_control_host_stays_eligible():
    """The heartbeat that times out at the second host is not the server's last one."""
    first_table = HeartbeatTable(HEARTBEAT_SECONDS)
    second_table = HeartbeatTable(HEARTBEAT_SECONDS)
    registry = TargetRegistry()
    first_table.receive_heartbeat(heartbeat(sequence=1), 0.0)
    second_table.receive_heartbeat(heartbeat(sequence=2), 1.0)
    first_table.receive_heartbeat(heartbeat(sequence=3), 2.0)
    second_table.tick(9.0)
    registry.update("a", "instance", 9, first_table.changes_since(0, 9.0).targets, 9.0)
    registry.update("b", "instance", 9, second_table.changes_since(0, 9.0).targets, 9.0)
    assert registry.of_service("order-desk")[0].is_eligible


def test_servers_stay_eligible_until_reports_of_a_previous_instance_expire():
    registry = TargetRegistry()
    registry.update("control", "instance-1", 1, [heartbeat()], 0.0)
    registry.update("control", "instance-2", 0, [], 1.0)
    assert registry.of_service("order-desk")[0].is_eligible
    registry.tick(1.0 + PREVIOUS_INSTANCE_RETENTION_SECONDS)
    assert not registry.of_service("order-desk")[0].is_eligible


def test_a_heartbeat_to_the_new_instance_of_a_control_host_keeps_a_server_eligible():
    registry = TargetRegistry()
    registry.update("control", "instance-1", 1, [heartbeat(sequence=1)], 0.0)
    registry.update("control", "instance-2", 1, [heartbeat(sequence=2)], 1.0)
    registry.tick(1.0 + PREVIOUS_INSTANCE_RETENTION_SECONDS)
    assert registry.of_service("order-desk")[0].is_eligible


def test_the_cookie_of_a_previous_incarnation_resolves_to_no_server():
    registry = TargetRegistry()
    registry.update("control", "instance", 1, [heartbeat(incarnation=1000)], 0.0)
    registry.update("control", "instance", 2, [heartbeat(incarnation=2000)], 1.0)
    assert registry.by_cookie(derive_cookie("i-1", 1000)) is None
    target = registry.by_cookie(derive_cookie("i-1", 2000))
    assert target is not None
    assert target.incarnation == 2000


def test_no_cookie_is_zero():
    assert all(derive_cookie(f"i-{n:x}", n) for n in range(1, 2000))


def test_many_changes_are_sent_in_updates_that_each_fit_one_message():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    registry = TargetRegistry()
    for number in range(1, 1001):
        table.receive_heartbeat(heartbeat(f"i-{number:x}", sequence=1), 0.0)
    table.receive_heartbeat(
        heartbeat("i-1", sequence=2, state=ServingState.DRAINING), 0.1
    )
    updates = 0
    has_more = True
    while has_more:
        _, change_number = registry.subscription_position("control")
        changes = table.changes_since(change_number, 0.1)
        assert len(changes.targets) <= MAXIMUM_UPDATE_TARGETS
        registry.update(
            "control", "instance", changes.change_number, changes.targets, 0.1
        )
        has_more = changes.has_more
        updates += 1
    assert updates == -(-1000 // MAXIMUM_UPDATE_TARGETS)
    assert len(list(registry.targets)) == 1000
    assert sum(target.is_eligible for target in registry.targets) == 999
    assert table.changes_since(changes.change_number, 0.1).targets == []


def test_an_older_report_does_not_make_a_cold_server_warm():
    """A server of a zone that returns to service counts as cold until its deadline.

    Heartbeats that were sent before must not end the cold start earlier.
    """
    registry = TargetRegistry()
    registry.update("control-a", "instance", 1, [heartbeat(sequence=3)], 0.0)
    target = registry.of_service("order-desk")[0]
    target.cold_deadline = 12.5
    registry.update("control-b", "instance", 1, [heartbeat(sequence=2)], 10.0)
    assert target.cold_deadline == 12.5


def test_a_leave_is_final_within_an_incarnation():
    registry = TargetRegistry()
    left = heartbeat(sequence=5, state=ServingState.GONE)
    registry.update("control-a", "instance", 1, [left], 0.0)
    registry.update("control-b", "instance", 1, [heartbeat(sequence=6)], 0.1)
    assert not registry.of_service("order-desk")[0].is_eligible
    registry.update("control-b", "instance", 2, [heartbeat(incarnation=2000)], 0.2)
    assert registry.of_service("order-desk")[0].is_eligible


def test_a_server_that_left_long_ago_is_evicted():
    registry = TargetRegistry()
    gone = heartbeat(state=ServingState.GONE)
    registry.update("control", "instance", 1, [heartbeat(sequence=1)], 0.0)
    registry.update("control", "instance", 2, [gone], 0.0, 1)
    registry.tick(UNUSED_TARGET_RETENTION_SECONDS - 1.0)
    assert list(registry.targets)
    registry.tick(UNUSED_TARGET_RETENTION_SECONDS + TARGET_EVICTION_INTERVAL_SECONDS)
    assert not list(registry.targets)
    assert registry.of_service(SERVICE) == []
    registry.update(
        "control",
        "instance",
        3,
        [heartbeat(incarnation=2000)],
        UNUSED_TARGET_RETENTION_SECONDS + 20,
    )
    assert [target.is_eligible for target in registry.targets] == [True]


def test_a_server_in_use_is_never_evicted():
    registry = TargetRegistry()
    registry.update("control", "instance", 1, [heartbeat()], 0.0)
    registry.tick(10 * UNUSED_TARGET_RETENTION_SECONDS)
    assert len(list(registry.targets)) == 1
