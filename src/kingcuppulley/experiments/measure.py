"""Measure the figures and slopes of docs/CAPACITY.md; `make measure` runs this."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.threads import deferToThread

from kingcuppulley.experiments import scale, throughput
from kingcuppulley.experiments.figures import Figure, Slope
from kingcuppulley.experiments.overload import measure_overload
from kingcuppulley.experiments.owner_loss import measure_owner_loss


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the figures and slopes of one run, as the report stores them."""

    figures: list[Figure]
    slopes: list[Slope]


def measure_without_reactor() -> Measurement:
    """Return the figures and slopes whose measurement needs no reactor."""
    figures = throughput.measure_decisions()
    figures += throughput.measure_flow_memory()
    figures += throughput.measure_forwarding()
    figures += throughput.measure_requests()
    figures += scale.measure_journal()
    figures += scale.measure_messages()
    slopes = scale.measure_membership()
    slopes += scale.measure_view_change()
    slopes += scale.measure_entry_host()
    slopes += scale.measure_memory()
    slopes += scale.measure_snapshot()
    slopes += scale.measure_rendering()
    distribution_slopes, distribution_figures = scale.measure_distribution()
    return Measurement(
        figures=figures + distribution_figures, slopes=slopes + distribution_slopes
    )


async def measure_all(reactor: Any) -> Measurement:
    """Return all figures and slopes.

    The measurements run one at a time, so that they do not affect each other.
    """
    measurement = await deferToThread(measure_without_reactor)
    figures = list(measurement.figures)
    figures += await measure_overload(reactor)
    figures += await measure_owner_loss(reactor)
    return Measurement(figures=figures, slopes=measurement.slopes)


def print_measurement(measurement: Measurement) -> None:
    """Print the figures and slopes as tables."""
    for figure in measurement.figures:
        verdict = {None: "", True: "met", False: "MISSED"}[figure.is_met]
        aim = f"(aim: {figure.aim}) {verdict}" if figure.aim else ""
        print(f"{figure.name:62} {figure.value:12.6g} {figure.unit:8} {aim}")
    for slope in measurement.slopes:
        print(f"{slope.name:62} {slope.base:12.6g} + {slope.slope:.6g} {slope.unit}")
        print(f"{'':62} for each {slope.per}")


def main() -> int:
    """Measure, write the report, and return 0 if every aim is met, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--report", type=Path, default=Path("build/measure.json"))
    arguments = parser.parse_args()
    from twisted.internet import reactor

    running_reactor: Any = reactor
    results: list[Measurement] = []
    failures: list[object] = []

    def start_measurement() -> None:
        pending = ensureDeferred(measure_all(running_reactor))
        pending.addCallbacks(results.append, failures.append)
        pending.addBoth(lambda _: running_reactor.stop())

    running_reactor.callWhenRunning(start_measurement)
    running_reactor.run()
    if failures:
        print(failures[0])
        return 1
    measurement = results[0]
    arguments.report.parent.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(measurement))
    arguments.report.write_bytes(encoded + b"\n")
    print_measurement(measurement)
    return 1 if any(figure.is_met is False for figure in measurement.figures) else 0


if __name__ == "__main__":
    raise SystemExit(main())
