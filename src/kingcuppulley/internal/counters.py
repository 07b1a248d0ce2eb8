"""Count events and record latencies, one object a process."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 600_000_000
_SIGNIFICANT_FIGURES = 2
_PREFIX = "kingcuppulley"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
_QUANTILES = (50.0, 99.0, 99.9)
_MAXIMUM_UNFOLDED = 1000


class Metrics:
    """Collect counters, gauges and latency histograms of one process.

    Latencies are folded into histograms some time after they were observed, and the
    library is loaded then: a process that starts is waited for.
    """

    __slots__ = ("counts", "gauges", "_histograms", "_unfolded", "_unfolded_count")

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._unfolded: dict[str, list[float]] = {}
        self._unfolded_count = 0

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        self.counts[name] += amount

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Record one latency, in seconds, under a name."""
        self._unfolded.setdefault(name, []).append(seconds)
        self._unfolded_count += 1
        if self._unfolded_count >= _MAXIMUM_UNFOLDED:
            self._fold()

    def render(self) -> str:
        """Return every figure in the usual text exposition format."""
        self._fold()
        lines = []
        for name, count in sorted(self.counts.items()):
            lines.append(f"# TYPE {_PREFIX}_{name}_total counter")
            lines.append(f"{_PREFIX}_{name}_total {count}")
        for name, gauge in sorted(self.gauges.items()):
            lines.append(f"# TYPE {_PREFIX}_{name} gauge")
            lines.append(f"{_PREFIX}_{name} {gauge}")
        for name, histogram in sorted(self._histograms.items()):
            lines.append(f"# TYPE {_PREFIX}_{name}_seconds summary")
            for quantile in _QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1e6
                label = f'quantile="{quantile / 100:g}"'
                lines.append(f"{_PREFIX}_{name}_seconds{{{label}}} {value}")
            total = histogram.get_total_count()
            lines.append(f"{_PREFIX}_{name}_seconds_count {total}")
        return "\n".join(lines) + "\n"

    def _fold(self) -> None:
        for name, latencies in self._unfolded.items():
            histogram = self._histogram(name)
            for seconds in latencies:
                histogram.record_value(max(_LOWEST_MICROSECONDS, int(seconds * 1e6)))
        self._unfolded.clear()
        self._unfolded_count = 0

    def _histogram(self, name: str) -> HdrHistogram:
        histogram = self._histograms.get(name)
        if histogram is None:
            from hdrh.histogram import HdrHistogram

            histogram = HdrHistogram(
                _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _SIGNIFICANT_FIGURES
            )
            self._histograms[name] = histogram
        return histogram
