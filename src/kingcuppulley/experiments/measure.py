"""Measure everything that docs/CAPACITY.md rests on: `make measure`."""

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
    """Hold every figure and slope of one run."""

    figures: list[Figure]
    slopes: list[Slope]


def measure_in_process() -> Measurement:
    """Return what needs no reactor."""
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
    """Return everything, one part after the other so that none disturbs another."""
    measurement = await deferToThread(measure_in_process)
    figures = list(measurement.figures)
    figures += await measure_overload(reactor)
    figures += await measure_owner_loss(reactor)
    return Measurement(figures=figures, slopes=measurement.slopes)


def print_measurement(measurement: Measurement) -> None:
    """Write figures and slopes as tables."""
    for figure in measurement.figures:
        met = {None: "", True: "met", False: "MISSED"}[figure.is_met]
        aim = f"(aim: {figure.aim}) {met}" if figure.aim else ""
        print(f"{figure.name:62} {figure.value:12.6g} {figure.unit:8} {aim}")
    for slope in measurement.slopes:
        print(f"{slope.name:62} {slope.base:12.6g} + {slope.slope:.6g} {slope.unit}")
        print(f"{'':62} for each {slope.per}")


def main() -> int:
    """Measure once, write the report, and return 0 if every aim was met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--report", type=Path, default=Path("build/measure.json"))
    arguments = parser.parse_args()
    from twisted.internet import reactor

    loop: Any = reactor
    results: list[Measurement] = []
    failures: list[object] = []

    def begin() -> None:
        pending = ensureDeferred(measure_all(loop))
        pending.addCallbacks(results.append, failures.append)
        pending.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(begin)
    loop.run()
    if failures:
        print(failures[0])
        return 1
    measurement = results[0]
    arguments.report.parent.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(measurement))
    arguments.report.write_bytes(encoded + b"\n")
    print_measurement(measurement)
    return 1 if any(f.is_met is False for f in measurement.figures) else 0


if __name__ == "__main__":
    raise SystemExit(main())
