"""Define what measurements return and how a slope is fitted."""

from __future__ import annotations

import os
import statistics
from collections.abc import Sequence
from pathlib import Path

import msgspec

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_USER_TIME_FIELD = 11
_RESIDENT_FIELD = 1


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one measured figure; `aim` is empty where none is stated."""

    name: str
    value: float
    unit: str
    aim: str = ""
    is_met: bool | None = None


class Point(msgspec.Struct, frozen=True):
    """Hold one measured point of a slope."""

    size: float
    value: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a fitted line, value = base + slope * size, with its points."""

    name: str
    unit: str
    per: str
    base: float
    slope: float
    points: list[Point]

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit(name: str, unit: str, per: str, points: Sequence[Point]) -> Slope:
    """Return the least-squares line through points."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    slope, base = statistics.linear_regression(sizes, values)
    return Slope(
        name=name, unit=unit, per=per, base=base, slope=slope, points=list(points)
    )


def processor_seconds(process_id: int) -> float:
    """Return the processor time that a process has used."""
    text = Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_USER_TIME_FIELD + 1])
    return ticks / CLOCK_TICKS_PER_SECOND


def resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process."""
    fields = Path(f"/proc/{process_id}/statm").read_text().split()
    return int(fields[_RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
