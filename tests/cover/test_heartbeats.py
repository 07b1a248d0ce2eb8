"""Check what control hosts keep of heartbeats, and what entry hosts make of it."""

from __future__ import annotations

from kingcuppulley.backend_servers.heartbeats import (
    MAXIMUM_UPDATE_TARGETS,
    HeartbeatTable,
    ServingState,
)
from kingcuppulley.backend_servers.target_registry import (
    PREVIOUS_INSTANCE_RETENTION_SECONDS,
    TARGET_EVICTION_INTERVAL_SECONDS,
    UNUSED_TARGET_RETENTION_SECONDS,
    TargetRegistry,
    derive_cookie,
)
from tests.seeded_fakes import SERVICE, heartbeat

HEARTBEAT_SECONDS = 1.0


def test_a_steady_heartbeat_is_news_once():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    assert table.receive_heartbeat(heartbeat(sequence=1), 0.0)
    assert not table.receive_heartbeat(heartbeat(sequence=2), 1.0)
    assert len(table.changes_since(0, 1.0).targets) == 1


def test_a_late_heartbeat_changes_nothing():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    table.receive_heartbeat(heartbeat(sequence=5, state=ServingState.DRAINING), 0.0)
    assert not table.receive_heartbeat(heartbeat(sequence=4), 0.1)
    assert table.changes_since(0, 0.1).targets[0].state is ServingState.DRAINING


def test_a_heartbeat_of_an_earlier_life_changes_nothing():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    table.receive_heartbeat(heartbeat(incarnation=2000, sequence=1), 0.0)
    assert not table.receive_heartbeat(heartbeat(incarnation=1000, sequence=99), 0.1)


def test_a_server_that_starts_again_under_its_name_is_news():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    table.receive_heartbeat(heartbeat(incarnation=1000, sequence=50), 0.0)
    assert table.receive_heartbeat(heartbeat(incarnation=2000, sequence=1), 1.0)


def test_a_late_heartbeat_does_not_bring_back_a_server_that_left():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    table.receive_heartbeat(heartbeat(sequence=5), 0.0)
    assert table.deregister("i-1", 1.0)
    assert not table.receive_heartbeat(heartbeat(sequence=6), 1.1)
    assert table.changes_since(0, 1.1).targets[0].state is ServingState.GONE


def test_silence_is_news_and_so_is_its_end():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    table.receive_heartbeat(heartbeat(sequence=1), 0.0)
    assert not table.tick(3.0)
    assert table.tick(4.0)
    assert table.changes_since(0, 4.0).targets[0].state is ServingState.UNRESPONSIVE
    assert table.receive_heartbeat(heartbeat(sequence=2), 5.0)


def test_the_newest_word_of_any_control_host_counts():
    registry = TargetRegistry()
    registry.update("control-a", "life", 1, [heartbeat(sequence=3)], 0.0)
    registry.update(
        "control-b",
        "life",
        1,
        [heartbeat(sequence=4, state=ServingState.DRAINING)],
        0.0,
    )
    registry.update("control-a", "life", 2, [heartbeat(sequence=3)], 0.0)
    target = registry.of_service("order-desk")[0]
    assert target.state is ServingState.DRAINING


def test_silence_at_one_control_host_is_outlived_by_a_heartbeat_at_another():
    registry = TargetRegistry()
    registry.update(
        "control-a",
        "life",
        1,
        [heartbeat(sequence=3, state=ServingState.UNRESPONSIVE)],
        0.0,
    )
    registry.update("control-b", "life", 1, [heartbeat(sequence=4)], 0.0)
    assert registry.of_service("order-desk")[0].is_eligible


def test_a_server_moves_back_before_its_silence_elsewhere_is_told():
    first = HeartbeatTable(HEARTBEAT_SECONDS)
    second = HeartbeatTable(HEARTBEAT_SECONDS)
    registry = TargetRegistry()
    first.receive_heartbeat(heartbeat(sequence=1), 0.0)
    second.receive_heartbeat(heartbeat(sequence=2), 1.0)
    first.receive_heartbeat(heartbeat(sequence=3), 2.0)
    second.tick(9.0)
    registry.update("a", "life", 9, first.changes_since(0, 9.0).targets, 9.0)
    registry.update("b", "life", 9, second.changes_since(0, 9.0).targets, 9.0)
    assert registry.of_service("order-desk")[0].is_eligible


def test_servers_outlive_a_restart_of_the_control_host_they_called():
    registry = TargetRegistry()
    registry.update("control", "life-1", 1, [heartbeat()], 0.0)
    registry.update("control", "life-2", 0, [], 1.0)
    assert registry.of_service("order-desk")[0].is_eligible
    registry.tick(1.0 + PREVIOUS_INSTANCE_RETENTION_SECONDS)
    assert not registry.of_service("order-desk")[0].is_eligible


def test_a_server_announces_itself_to_the_new_life_of_a_control_host():
    registry = TargetRegistry()
    registry.update("control", "life-1", 1, [heartbeat(sequence=1)], 0.0)
    registry.update("control", "life-2", 1, [heartbeat(sequence=2)], 1.0)
    registry.tick(1.0 + PREVIOUS_INSTANCE_RETENTION_SECONDS)
    assert registry.of_service("order-desk")[0].is_eligible


def test_the_mark_of_an_earlier_life_leads_nowhere():
    registry = TargetRegistry()
    registry.update("control", "life", 1, [heartbeat(incarnation=1000)], 0.0)
    registry.update("control", "life", 2, [heartbeat(incarnation=2000)], 1.0)
    assert registry.by_cookie(derive_cookie("i-1", 1000)) is None
    target = registry.by_cookie(derive_cookie("i-1", 2000))
    assert target is not None
    assert target.incarnation == 2000


def test_no_mark_is_zero():
    assert all(derive_cookie(f"i-{n:x}", n) for n in range(1, 2000))


def test_many_changes_are_told_in_parts_that_each_fit_one_message():
    table = HeartbeatTable(HEARTBEAT_SECONDS)
    registry = TargetRegistry()
    for number in range(1, 1001):
        table.receive_heartbeat(heartbeat(f"i-{number:x}", sequence=1), 0.0)
    table.receive_heartbeat(
        heartbeat("i-1", sequence=2, state=ServingState.DRAINING), 0.1
    )
    parts = 0
    has_more = True
    while has_more:
        _, change_number = registry.subscription_position("control")
        changes = table.changes_since(change_number, 0.1)
        assert len(changes.targets) <= MAXIMUM_UPDATE_TARGETS
        registry.update("control", "life", changes.change_number, changes.targets, 0.1)
        has_more = changes.has_more
        parts += 1
    assert parts == 3
    assert len(list(registry.targets)) == 1000
    assert sum(target.is_eligible for target in registry.targets) == 999
    assert table.changes_since(changes.change_number, 0.1).targets == []


def test_an_older_word_does_not_make_a_cold_server_warm():
    """A zone that is back counts as cold; what was told before must not end that."""
    registry = TargetRegistry()
    registry.update("control-a", "life", 1, [heartbeat(sequence=3)], 0.0)
    target = registry.of_service("order-desk")[0]
    target.cold_deadline = 12.5
    registry.update("control-b", "life", 1, [heartbeat(sequence=2)], 10.0)
    assert target.cold_deadline == 12.5


def test_a_leave_is_the_last_word_of_a_life():
    registry = TargetRegistry()
    left = heartbeat(sequence=5, state=ServingState.GONE)
    registry.update("control-a", "life", 1, [left], 0.0)
    registry.update("control-b", "life", 1, [heartbeat(sequence=6)], 0.1)
    assert not registry.of_service("order-desk")[0].is_eligible
    registry.update("control-b", "life", 2, [heartbeat(incarnation=2000)], 0.2)
    assert registry.of_service("order-desk")[0].is_eligible


def test_a_server_that_left_long_ago_is_forgotten():
    registry = TargetRegistry()
    gone = heartbeat(state=ServingState.GONE)
    registry.update("control", "life", 1, [heartbeat(sequence=1), gone], 0.0)
    registry.tick(UNUSED_TARGET_RETENTION_SECONDS - 1.0)
    assert list(registry.targets)
    registry.tick(UNUSED_TARGET_RETENTION_SECONDS + TARGET_EVICTION_INTERVAL_SECONDS)
    assert not list(registry.targets)
    assert registry.of_service(SERVICE) == []
    registry.update(
        "control",
        "life",
        2,
        [heartbeat(incarnation=2000)],
        UNUSED_TARGET_RETENTION_SECONDS + 20,
    )
    assert [target.is_eligible for target in registry.targets] == [True]


def test_a_server_in_use_is_never_forgotten():
    registry = TargetRegistry()
    registry.update("control", "life", 1, [heartbeat()], 0.0)
    registry.tick(10 * UNUSED_TARGET_RETENTION_SECONDS)
    assert len(list(registry.targets)) == 1
