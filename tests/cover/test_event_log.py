"""Check that the log is bounded and never waits for its reader."""

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


def lines_of(descriptor: int) -> list[dict]:
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


def test_a_pipe_that_nobody_reads_delays_nothing_and_losses_are_counted():
    reader, writer = os.pipe()
    metrics = Metrics()
    output = BoundedOutput(writer, metrics)
    begun = time.monotonic()
    for number in range(20_000):
        output({"message_type": "flow", "number": number})
    assert time.monotonic() - begun < 30
    assert metrics.counts["log_lines_lost"] > 0
    assert output._buffered_bytes <= MAXIMUM_BUFFERED_BYTES
    first = lines_of(reader)
    output.flush()
    later = lines_of(reader)
    numbers = [line["number"] for line in first + later]
    assert numbers == sorted(numbers)
    os.close(reader)
    os.close(writer)


def test_a_reader_that_is_gone_costs_lines_only():
    reader, writer = os.pipe()
    os.close(reader)
    metrics = Metrics()
    output = BoundedOutput(writer, metrics)
    output({"message_type": "flow"})
    assert metrics.counts["log_lines_lost"] == 1
    os.close(writer)


def logged(write) -> list[dict]:
    reader, writer = os.pipe()
    metrics = Metrics()
    log = EventLog("host-a", metrics, lambda: 5.0, descriptor=writer)
    write(log)
    lines = lines_of(reader)
    os.close(reader)
    os.close(writer)
    return lines


def test_lines_beyond_the_budget_are_left_out_and_said_so():
    def write(log):
        for number in range(MAXIMUM_BURST_LINES + 50):
            log.event("flow", number=number)
        log.event_unthrottled("stopped")

    lines = logged(write)
    assert len(lines) == MAXIMUM_BURST_LINES + 1
    assert lines[-1]["message_type"] == "kingcuppulley:stopped"
    assert lines[-1]["left_out"] == 50


def test_a_field_may_have_any_name():
    lines = logged(lambda log: log.event("heard", host="other", process="other"))
    assert lines[0]["host"] == "other"
    assert lines[0]["process"] == "host-a"


class Sink:
    def __init__(self):
        self.flows = []

    def event(self, kind, **fields):
        self.flows.append(fields["flow"])


def test_all_processes_sample_the_same_flows_and_keep_every_failure():
    sinks = [Sink(), Sink()]
    for sink in sinks:
        log = FlowLog(sink, lambda: KnownState(1, 1, 0.0))
        for number in range(1600):
            log.record_sampled_step(b"flow-%d" % number, "placed")
    assert sinks[0].flows == sinks[1].flows
    assert 50 < len(sinks[0].flows) < 150
    log = FlowLog(sinks[0], lambda: KnownState(1, 1, 0.0))
    sinks[0].flows.clear()
    for number in range(50):
        log.record_step(b"flow-%d" % number, "refused", reason="no route")
    assert len(sinks[0].flows) == 50
