"""Check which host is a placement coordinator, and when one leaves the rotation."""

from __future__ import annotations

import pytest

from kingcuppulley.entry_hosts.coordinator_table import (
    HOST_SUSPICION_SECONDS,
    LOAD_REPORT_TIMEOUT_SECONDS,
    CoordinatorTable,
)
from kingcuppulley.entry_hosts.leave_plan import LeavePlan
from kingcuppulley.entry_hosts.seeded_messages import EntryHostInfo

SERVICE = "order-desk"


def hosts(*names: str, leaving: tuple[str, ...] = ()) -> list[EntryHostInfo]:
    return [EntryHostInfo(name, f"zone-{name[0]}", name in leaving) for name in names]


def coordinator_table(*names: str, own: str = "a1") -> CoordinatorTable:
    table = CoordinatorTable(own, f"zone-{own[0]}")
    table.update(hosts(*names), 0.0)
    return table


def test_all_hosts_of_a_zone_agree_on_the_coordinator():
    names = ["a1", "a2", "a3", "b1"]
    chosen = {
        coordinator_table(*names, own=own).coordinator("zone-a", SERVICE, 0.0)
        for own in names
    }
    assert len(chosen) == 1
    assert chosen <= {"a1", "a2", "a3"}


def test_a_host_that_does_not_answer_is_skipped_for_the_suspicion_time():
    table = coordinator_table("a1", "a2", "a3")
    first = table.coordinator("zone-a", SERVICE, 0.0)
    assert first is not None
    table.suspect(first, 0.0)
    assert table.coordinator("zone-a", SERVICE, 0.1) not in (first, None)
    assert table.coordinator("zone-a", SERVICE, HOST_SUSPICION_SECONDS) == first


def test_a_leaving_host_is_no_longer_a_coordinator():
    table = coordinator_table("a1", "a2")
    first = table.coordinator("zone-a", SERVICE, 0.0)
    assert first is not None
    table.update(hosts("a1", "a2", leaving=(first,)), 1.0)
    assert table.coordinator("zone-a", SERVICE, 1.0) not in (first, None)


def test_a_zone_that_stops_reporting_is_unreachable_and_one_that_never_did_is_not():
    table = coordinator_table("a1", "b1", "c1")
    table.record_load_report("zone-b", 1.0)
    assert table.unreachable_zones(1.0 + LOAD_REPORT_TIMEOUT_SECONDS / 2) == frozenset()
    after_timeout = 1.0 + 2 * LOAD_REPORT_TIMEOUT_SECONDS
    assert table.unreachable_zones(after_timeout) == frozenset({"zone-b"})


def test_a_host_may_leave_while_half_of_its_zone_stays():
    table = coordinator_table("a1", "a2", "a3", "b1")
    assert table.can_leave_rotation(0.0)


def test_pattern_rolling_restart_of_a_small_zone_waits_for_each_host():
    table = coordinator_table("a1", "a2", "a3")
    table.update(hosts("a1", "a3"), 2.0)
    assert not table.can_leave_rotation(2.0)
    table.update(hosts("a1", "a2", "a3"), 4.0)
    assert table.can_leave_rotation(4.0)


def test_the_last_host_of_a_zone_cannot_leave_the_rotation():
    assert not coordinator_table("a1").can_leave_rotation(0.0)


# Two probes half a second apart, and as much again until the rotation has changed.
ROTATION_UPDATE_SECONDS = 1.3
OUT_OF_ROTATION_TIMEOUT_SECONDS = 4.0
STEP_SECONDS = 0.02


def seconds_until_leave(can_leave_from: float, stop_deadline: float = 5.6) -> float:
    plan = LeavePlan(0.0, stop_deadline, can_leave_from <= 0.0)
    now = 0.0
    while not plan.may_leave(now, now >= can_leave_from):
        now += STEP_SECONDS
    return now


def seconds_until_stop(
    can_leave_intervals: list[tuple[float, float]], stop_deadline: float
) -> float:
    def can_leave_rotation(now: float) -> bool:
        return any(begin <= now < end for begin, end in can_leave_intervals)

    plan = LeavePlan(0.0, stop_deadline, can_leave_rotation(0.0))
    now = 0.0
    while not plan.has_left:
        plan.may_leave(now, can_leave_rotation(now))
        now += STEP_SECONDS
    while not plan.may_stop(now, can_leave_rotation(now)):
        now += STEP_SECONDS
    return now


def test_a_host_that_can_leave_the_rotation_leaves_at_once():
    assert seconds_until_leave(can_leave_from=0.0) == 0.0


def test_a_host_waits_until_others_had_time_to_return_to_rotation():
    assert 1.0 + 0.5 < seconds_until_leave(can_leave_from=1.0) < 1.0 + 0.7


def test_a_host_that_its_zone_always_needs_is_out_of_rotation_in_time_all_the_same():
    assert (
        seconds_until_leave(can_leave_from=99.0) + ROTATION_UPDATE_SECONDS
        < OUT_OF_ROTATION_TIMEOUT_SECONDS
    )


def test_a_host_with_a_short_grace_period_leaves_though_its_zone_needs_it():
    assert seconds_until_leave(can_leave_from=99.0, stop_deadline=1.8) < 0.6


def test_a_host_that_was_free_to_leave_leaves_though_others_are_stopped_later():
    plan = LeavePlan(0.0, 5.6, can_leave_rotation=False)
    assert not plan.may_leave(0.7, can_leave_rotation=True)
    assert not plan.may_leave(1.2, can_leave_rotation=False)
    assert plan.may_leave(1.4, can_leave_rotation=False)


def test_pattern_rolling_restart_a_host_that_left_serves_until_another_is_back():
    assert seconds_until_stop([(3.9, 99.0)], stop_deadline=5.6) == pytest.approx(
        3.9, abs=0.1
    )


def test_a_host_stops_before_it_is_killed():
    assert seconds_until_stop([], stop_deadline=5.6) == pytest.approx(5.6, abs=0.1)


def test_a_host_that_can_leave_stops_when_no_more_packets_come():
    assert 1.2 < seconds_until_stop([(0.0, 99.0)], stop_deadline=5.6) < 1.5


def test_a_host_that_was_free_to_leave_does_not_wait_for_hosts_stopped_later():
    assert 1.8 < seconds_until_stop([(0.02, 0.5)], stop_deadline=5.6) < 2.1
