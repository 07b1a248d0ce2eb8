"""Collect the metrics of one process."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

_LOWEST_LATENCY_MICROSECONDS = 1
_HIGHEST_LATENCY_MICROSECONDS = 600_000_000
_SIGNIFICANT_FIGURES = 2
_NAME_PREFIX = "kingcuppulley"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
_PERCENTILES = (50.0, 99.0, 99.9)
_MAXIMUM_PENDING_LATENCIES = 1000


class Metrics:
    """Collect counters, gauges and latency histograms.

    Observed latencies are recorded into histograms later and in batches, and the
    histogram library is imported only then, so that it does not delay the start of a
    process.
    """

    __slots__ = (
        "counts",
        "gauges",
        "_histograms",
        "_pending_latencies",
        "_pending_count",
    )

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._pending_latencies: dict[str, list[float]] = {}
        self._pending_count = 0

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self.counts[name] += amount

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Add one latency, in seconds, to the histogram `name`."""
        self._pending_latencies.setdefault(name, []).append(seconds)
        self._pending_count += 1
        if self._pending_count >= _MAXIMUM_PENDING_LATENCIES:
            self._record_pending_latencies()

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        self._record_pending_latencies()
        lines = []
        for name, count in sorted(self.counts.items()):
            lines.append(f"# TYPE {_NAME_PREFIX}_{name}_total counter")
            lines.append(f"{_NAME_PREFIX}_{name}_total {count}")
        for name, gauge in sorted(self.gauges.items()):
            lines.append(f"# TYPE {_NAME_PREFIX}_{name} gauge")
            lines.append(f"{_NAME_PREFIX}_{name} {gauge}")
        for name, histogram in sorted(self._histograms.items()):
            lines.append(f"# TYPE {_NAME_PREFIX}_{name}_seconds summary")
            for percentile in _PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                label = f'quantile="{percentile / 100:g}"'
                lines.append(f"{_NAME_PREFIX}_{name}_seconds{{{label}}} {value}")
            total = histogram.get_total_count()
            lines.append(f"{_NAME_PREFIX}_{name}_seconds_count {total}")
        return "\n".join(lines) + "\n"

    def _record_pending_latencies(self) -> None:
        for name, latencies in self._pending_latencies.items():
            histogram = self._histogram(name)
            for seconds in latencies:
                histogram.record_value(
                    max(_LOWEST_LATENCY_MICROSECONDS, int(seconds * 1e6))
                )
        self._pending_latencies.clear()
        self._pending_count = 0

    def _histogram(self, name: str) -> HdrHistogram:
        histogram = self._histograms.get(name)
        if histogram is None:
            from hdrh.histogram import HdrHistogram

            histogram = HdrHistogram(
                _LOWEST_LATENCY_MICROSECONDS,
                _HIGHEST_LATENCY_MICROSECONDS,
                _SIGNIFICANT_FIGURES,
            )
            self._histograms[name] = histogram
        return histogram
