"""Check from when a request may be that a control host reads."""

from __future__ import annotations

from kingcuppulley.control.receipt_history import (
    GAP_RETENTION_SECONDS,
    MAXIMUM_TICK_GAP_SECONDS,
    ReceiptHistory,
)

TICK_SECONDS = 0.02


def run(history: ReceiptHistory, start: float, end: float, step: float) -> float:
    now = start
    while now < end:
        now += step
        history.record_tick(now, now)
    return now


def test_a_request_at_a_running_host_is_new():
    history = ReceiptHistory(0, 0.0)
    now = run(history, 0.0, 5.0, TICK_SECONDS)
    assert history.earliest_sending(now, now) == now - MAXIMUM_TICK_GAP_SECONDS


def test_a_request_after_a_pause_may_be_from_before_it_for_as_long_as_it_lasted():
    # Guards against bytes that the network held up, which come after the pause ended.
    history = ReceiptHistory(0, 0.0)
    before = run(history, 0.0, 5.0, TICK_SECONDS)
    ended = before + 3.0
    assert history.earliest_sending(ended, ended) == before
    now = run(history, ended, ended + 2.9, TICK_SECONDS)
    assert history.earliest_sending(now, now) == before
    now = run(history, now, ended + 3.5, TICK_SECONDS)
    assert history.earliest_sending(now, now) > ended


def test_a_request_is_never_from_before_the_process():
    history = ReceiptHistory(0, 5.0)
    assert history.earliest_sending(5.01, 5.01) == 5.0


def test_the_revision_of_a_time_is_the_newest_that_was_known():
    history = ReceiptHistory(3, 0.0)
    history.record_revision(4, 1.0)
    history.record_revision(6, 2.0)
    assert [history.revision_at(at) for at in (0.5, 1.5, 2.5)] == [3, 4, 6]


def test_a_slow_host_keeps_few_gaps():
    # Guards against a host that is slow and spends its time on old gaps.
    history = ReceiptHistory(0, 0.0)
    step = 1.5 * MAXIMUM_TICK_GAP_SECONDS
    run(history, 0.0, 600.0, step)
    assert len(history._gaps) <= 2 * GAP_RETENTION_SECONDS / step
