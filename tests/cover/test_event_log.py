"""Check that the log is bounded and never blocks on its reader."""

from __future__ import annotations

import os
import time

import msgspec

from kingcuppulley.entry_hosts.flow_log import FlowLog, KnownState
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.event_log import (
    MAXIMUM_BUFFERED_BYTES,
    MAXIMUM_BURST_LINES,
    BoundedOutput,
    EventLog,
)


def read_lines(descriptor: int) -> list[dict]:
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            chunk = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_an_unread_pipe_never_blocks_and_lost_lines_are_counted():
    reader, writer = os.pipe()
    metrics = Metrics()
    output = BoundedOutput(writer, metrics)
    started_at = time.monotonic()
    for number in range(20_000):
        output({"message_type": "flow", "number": number})
    assert time.monotonic() - started_at < 30
    assert metrics.counts["log_lines_lost"] > 0
    assert output._buffered_bytes <= MAXIMUM_BUFFERED_BYTES
    before_flush = read_lines(reader)
    output.flush()
    after_flush = read_lines(reader)
    numbers = [line["number"] for line in before_flush + after_flush]
    assert numbers == sorted(numbers)
    os.close(reader)
    os.close(writer)


def test_a_line_for_a_closed_reader_is_counted_as_lost():
    reader, writer = os.pipe()
    os.close(reader)
    metrics = Metrics()
    output = BoundedOutput(writer, metrics)
    output({"message_type": "flow"})
    assert metrics.counts["log_lines_lost"] == 1
    os.close(writer)


def capture_lines(write) -> list[dict]:
    reader, writer = os.pipe()
    metrics = Metrics()
    log = EventLog("host-a", metrics, lambda: 5.0, descriptor=writer)
    write(log)
    lines = read_lines(reader)
    os.close(reader)
    os.close(writer)
    return lines


def test_lines_beyond_the_budget_are_suppressed_and_the_next_line_counts_them():
    def write(log):
        for number in range(MAXIMUM_BURST_LINES + 50):
            log.event("flow", number=number)
        log.event_unthrottled("stopped")

    lines = capture_lines(write)
    assert len(lines) == MAXIMUM_BURST_LINES + 1
    assert lines[-1]["message_type"] == "kingcuppulley:stopped"
    assert lines[-1]["left_out"] == 50


def test_a_field_may_have_any_name_but_cannot_replace_the_process():
    lines = capture_lines(
        lambda log: log.event("update", host="other", process="other")
    )
    assert lines[0]["host"] == "other"
    assert lines[0]["process"] == "host-a"


class RecordingLog:
    def __init__(self):
        self.flows = []

    def event(self, kind, **fields):
        self.flows.append(fields["flow"])


def test_all_processes_sample_the_same_flows_and_log_every_refusal():
    recording_logs = [RecordingLog(), RecordingLog()]
    for recording_log in recording_logs:
        flow_log = FlowLog(recording_log, lambda: KnownState(1, 1, 0.0))
        for number in range(1600):
            flow_log.record_sampled_step(b"flow-%d" % number, "placed")
    assert recording_logs[0].flows == recording_logs[1].flows
    assert 50 < len(recording_logs[0].flows) < 150
    flow_log = FlowLog(recording_logs[0], lambda: KnownState(1, 1, 0.0))
    recording_logs[0].flows.clear()
    for number in range(50):
        flow_log.record_step(b"flow-%d" % number, "refused", reason="no route")
    assert len(recording_logs[0].flows) == 50
