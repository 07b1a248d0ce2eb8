"""Write structured log lines to standard output, bounded and without blocking."""

from __future__ import annotations

import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from kingcuppulley.internal.counters import Metrics

MAXIMUM_LINES_PER_SECOND = 60
MAXIMUM_BURST_LINES = 120
MAXIMUM_BUFFERED_BYTES = 256 * 1024
STANDARD_OUTPUT_DESCRIPTOR = 1


class BoundedOutput:
    """Write lines to a descriptor whose reader may be slow or gone.

    Lines that the descriptor does not accept are buffered.  Lines beyond
    `MAXIMUM_BUFFERED_BYTES`, and those still buffered when the reader is gone,
    are lost and counted.
    """

    def __init__(self, descriptor: int, metrics: Metrics) -> None:
        self._descriptor = descriptor
        self._metrics = metrics
        self._buffered_lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message as a line of JSON, or count the line as lost."""
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        if self._buffered_bytes + len(line) > MAXIMUM_BUFFERED_BYTES:
            self._metrics.count("log_lines_lost")
            return
        self._buffered_lines.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor is full."""
        while self._buffered_lines:
            line = self._buffered_lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self._metrics.count("log_lines_lost", len(self._buffered_lines))
                self._buffered_lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(line):
                self._buffered_lines.popleft()
            else:
                self._buffered_lines[0] = line[written:]


class EventLog:
    """Log events of one process within a budget of lines.

    The budget is `MAXIMUM_LINES_PER_SECOND`, with bursts of `MAXIMUM_BURST_LINES`.
    """

    def __init__(
        self,
        process_name: str,
        metrics: Metrics,
        clock: Callable[[], float],
        descriptor: int = STANDARD_OUTPUT_DESCRIPTOR,
    ) -> None:
        self._process_name = process_name
        self._metrics = metrics
        self._clock = clock
        self._tokens = float(MAXIMUM_BURST_LINES)
        self._refilled_at = clock()
        self._suppressed_lines = 0
        self._output = BoundedOutput(descriptor, metrics)

    def event(self, kind: str, **fields: object) -> None:
        """Log a change of known state or a decision, unless the budget is used up."""
        if self._take_token():
            self._write(kind, fields)
        else:
            self._suppressed_lines += 1
            self._metrics.count("log_lines_left_out")

    def event_unthrottled(self, kind: str, **fields: object) -> None:
        """Log a start, stop, reload or dependency change, even without budget left."""
        self._write(kind, fields)

    def flush(self) -> None:
        """Write buffered lines until the descriptor is full."""
        self._output.flush()

    def _write(self, kind: str, fields: dict[str, Any]) -> None:
        fields["process"] = self._process_name
        if self._suppressed_lines:
            # The first line after suppressed ones reports how many they were.
            fields["left_out"] = self._suppressed_lines
            self._suppressed_lines = 0
        fields["timestamp"] = time.time()
        fields["message_type"] = f"kingcuppulley:{kind}"
        self._output(fields)

    def _take_token(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * MAXIMUM_LINES_PER_SECOND
        self._tokens = min(float(MAXIMUM_BURST_LINES), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
