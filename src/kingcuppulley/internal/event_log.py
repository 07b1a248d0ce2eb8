"""Write structured lines to standard output, bounded and without blocking."""

from __future__ import annotations

import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from kingcuppulley.internal.counters import Metrics

LINES_PER_SECOND = 60
MAXIMUM_BURST_LINES = 120
MAXIMUM_BUFFERED_BYTES = 256 * 1024
STANDARD_OUTPUT = 1


class BoundedOutput:
    """Write lines to a descriptor that may be full; what does not fit is counted."""

    def __init__(self, descriptor: int, metrics: Metrics) -> None:
        self._descriptor = descriptor
        self._metrics = metrics
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message as a line of JSON."""
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        if self._waiting_bytes + len(line) > MAXIMUM_BUFFERED_BYTES:
            self._metrics.count("log_lines_lost")
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what waits as far as the reader takes it."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self._metrics.count("log_lines_lost", len(self._waiting))
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written == len(line):
                self._waiting.popleft()
            else:
                self._waiting[0] = line[written:]


class EventLog:
    """Record events of one process within a budget of lines a second."""

    def __init__(
        self,
        process: str,
        metrics: Metrics,
        clock: Callable[[], float],
        descriptor: int = STANDARD_OUTPUT,
    ) -> None:
        self._process = process
        self._metrics = metrics
        self._clock = clock
        self._credit = float(MAXIMUM_BURST_LINES)
        self._credited_at = clock()
        self._left_out = 0
        self._output = BoundedOutput(descriptor, metrics)

    def event(self, kind: str, **fields: object) -> None:
        """Record one change of belief or decision, unless the budget is spent."""
        if self._has_credit():
            self._write(kind, fields)
        else:
            self._left_out += 1
            self._metrics.count("log_lines_left_out")

    def event_unthrottled(self, kind: str, **fields: object) -> None:
        """Record a start, stop, reload or dependency whatever the budget."""
        self._write(kind, fields)

    def flush(self) -> None:
        """Write what waits."""
        self._output.flush()

    def _write(self, kind: str, fields: dict[str, Any]) -> None:
        fields["process"] = self._process
        if self._left_out:
            # The line says how many went before it unwritten.
            fields["left_out"] = self._left_out
            self._left_out = 0
        fields["timestamp"] = time.time()
        fields["message_type"] = f"kingcuppulley:{kind}"
        self._output(fields)

    def _has_credit(self) -> bool:
        now = self._clock()
        earned = (now - self._credited_at) * LINES_PER_SECOND
        self._credit = min(float(MAXIMUM_BURST_LINES), self._credit + earned)
        self._credited_at = now
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
