"""Check the clock that deadlines depend on."""

from __future__ import annotations

import time

from kingcuppulley.internal.clock import ProcessClock

SUSPENSION_SECONDS = 5.0


def test_time_in_which_the_machine_is_suspended_counts(monkeypatch):
    # Guards against leases and proposals that are still valid after a suspension, in
    # which the monotonic clock stands still.
    clock = ProcessClock()
    before = clock.now()
    steady = time.clock_gettime

    def after_suspension(clock_id: int) -> float:
        suspended = SUSPENSION_SECONDS if clock_id == time.CLOCK_BOOTTIME else 0.0
        return steady(clock_id) + suspended

    monkeypatch.setattr(time, "clock_gettime", after_suspension)
    assert clock.now() >= before + SUSPENSION_SECONDS


def test_the_clock_does_not_follow_changes_of_the_time_of_day(monkeypatch):
    # Guards against deadlines that move when the machine's clock is set.
    clock = ProcessClock()
    before = clock.now()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert before <= clock.now() < before + SUSPENSION_SECONDS
