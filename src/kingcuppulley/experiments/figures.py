"""Define the results of measurements, fit lines, and read /proc of a process."""

from __future__ import annotations

import os
import statistics
from collections.abc import Sequence
from pathlib import Path

import msgspec

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Index in /proc/PID/stat after the command name; the system time follows.
_STAT_USER_TIME_FIELD = 11
_STATM_RESIDENT_FIELD = 1


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one measured figure.

    `aim` is the required value as text. Without one it is empty and `is_met` is None.
    """

    name: str
    value: float
    unit: str
    aim: str = ""
    is_met: bool | None = None


class Point(msgspec.Struct, frozen=True):
    """Hold the value measured at one size."""

    size: float
    value: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a fitted line, value = base + slope * size, and the measured points.

    `per` names what the size counts.
    """

    name: str
    unit: str
    per: str
    base: float
    slope: float
    points: list[Point]

    def value_at(self, size: float) -> float:
        """Return the value of the line at the given size."""
        return self.base + self.slope * size


def fit_line(name: str, unit: str, per: str, points: Sequence[Point]) -> Slope:
    """Return the least-squares line through the points."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    slope, base = statistics.linear_regression(sizes, values)
    return Slope(
        name=name, unit=unit, per=per, base=base, slope=slope, points=list(points)
    )


def processor_seconds(process_id: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    stat = Path(f"/proc/{process_id}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_STAT_USER_TIME_FIELD]) + int(fields[_STAT_USER_TIME_FIELD + 1])
    return ticks / CLOCK_TICKS_PER_SECOND


def resident_bytes(process_id: int) -> int:
    """Return the resident set size of a process in bytes."""
    fields = Path(f"/proc/{process_id}/statm").read_text().split()
    return int(fields[_STATM_RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
