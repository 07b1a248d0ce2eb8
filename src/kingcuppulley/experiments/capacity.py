"""Work out each role's state, messages, processor time and memory at a size."""

from __future__ import annotations

from pathlib import Path

import msgspec

from kingcuppulley.entry_hosts.host import (
    LARGE_DEPLOYMENT_MAXIMUM_COPIED_FLOWS_PER_SECOND,
)
from kingcuppulley.errors import MissingMeasurementError
from kingcuppulley.experiments.measure import Measurement

SECONDS_PER_DAY = 86_400
ANNOUNCEMENTS_PER_SECOND = 2.0
CHANGES_OF_RECORD_PER_RESTART = 4
BYTES_PER_FLOW_COPY = 8


class DeploymentSize(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the size to design for."""

    nodes: int = 510
    control_hosts: int = 7
    targets: int = 6_000
    addresses: int = 770
    open_flows: int = 9_600_000
    new_flows_per_second: int = 21_000
    regions: int = 3
    zones: int = 9
    changes_per_day: int = 420
    restarts_per_day: int = 380
    failures_per_day: int = 30
    control_bytes_per_second: int = 11_000
    control_memory_bytes: int = 32_000_000
    control_core: float = 0.033

    @property
    def entry_hosts(self) -> int:
        """Return the nodes that are not set aside for control."""
        return self.nodes - self.control_hosts

    @property
    def region_hosts(self) -> float:
        """Return the entry hosts of one region."""
        return self.entry_hosts / self.regions

    @property
    def region_targets(self) -> float:
        """Return the backend servers of one region."""
        return self.targets / self.regions


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one line of the page."""

    role: str
    what: str
    value: float
    unit: str
    mechanism: str


class CapacityModel:
    """Compute the rows of docs/CAPACITY.md from measured slopes."""

    def __init__(self, measurement: Measurement, size: DeploymentSize) -> None:
        self._figures = {figure.name: figure.value for figure in measurement.figures}
        self._slopes = {slope.name: slope for slope in measurement.slopes}
        self._size = size

    def rows(self) -> list[Row]:
        """Return every row."""
        return [
            *self._forwarder(),
            *self._gateway(),
            *self._traffic(),
            *self._processor(),
            *self._memory(),
            *self._control_host(),
        ]

    def _forwarder(self) -> list[Row]:
        flows = self._size.open_flows / self._size.entry_hosts
        name = "resident bytes for each of 300000 open flows"
        new = self._size.new_flows_per_second / self._size.entry_hosts
        decisions = self._figure("packet decisions a second on one core")
        return [
            _row("forwarder", "open flows", flows, "flows", "owner by rendezvous"),
            _row(
                "forwarder",
                "memory of flows",
                flows * self._figure(name) / 1e6,
                "MB",
                "two generations of hash to target number",
            ),
            _row("forwarder", "new flows", new, "1/s", "deterministic choice"),
            _row(
                "forwarder",
                "packet decisions one core can make",
                decisions,
                "1/s",
                "fixed offsets, one table look-up",
            ),
        ]

    def _gateway(self) -> list[Row]:
        rate = self._size.new_flows_per_second / self._size.entry_hosts
        each = self._figure("gateway processor seconds a request")
        return [
            _row(
                "gateway",
                "processor time if each new flow were a request",
                rate * each,
                "core",
                "slot lease a request, steward of the zone",
            ),
            _row(
                "gateway",
                "lease messages if each new flow were a request",
                2 * rate * self._figure("messages of one request's slot"),
                "B/s",
                "grows with requests, so counted with them",
            ),
            _row(
                "gateway",
                "claim messages if each were a keyed booking",
                2 * rate * self._figure("messages of one booking's claim"),
                "B/s",
                "home and two copies, before sending",
            ),
        ]

    def _traffic(self) -> list[Row]:
        size = self._size
        per_zone = size.targets / size.zones * ANNOUNCEMENTS_PER_SECOND
        passed = per_zone / (size.entry_hosts / size.zones)
        announcements = 2 * passed * self._figure("an announcement passed on")
        restarts = (size.restarts_per_day + size.failures_per_day) / SECONDS_PER_DAY
        spread = self._figure("a backend server record spread")
        records = 2 * restarts * CHANGES_OF_RECORD_PER_RESTART * spread
        parts = {
            "membership": self._at(
                "membership traffic, sent and received", size.region_hosts
            ),
            "polling": self._at("idle polling, sent and received", size.nodes),
            "announcements passed on": announcements,
            "records spread": records,
            "changes": size.changes_per_day * 1000 / SECONDS_PER_DAY,
        }
        total = sum(parts.values())
        rows = [
            _row("entry host", f"traffic: {what}", value, "B/s", _MECHANISMS[what])
            for what, value in parts.items()
        ]
        exceptions = (
            LARGE_DEPLOYMENT_MAXIMUM_COPIED_FLOWS_PER_SECOND * BYTES_PER_FLOW_COPY
        )
        return [
            *rows,
            _row("entry host", "traffic: sum", total, "B/s", "budget 11,000"),
            _row(
                "entry host",
                "traffic: sum while exceptions are copied",
                total + 2 * exceptions,
                "B/s",
                "100 flows a second, 8 bytes each",
            ),
        ]

    def _processor(self) -> list[Row]:
        size = self._size
        ticks = self._at("processor time of an entry host's ticks", size.region_hosts)
        beats = self._at("membership processor time", size.region_hosts)
        view = self._at("processor time of one change of view", size.region_hosts)
        daily = 2 * (size.failures_per_day + size.restarts_per_day) / size.regions
        change = self._at("processor time of one change on a node", size.addresses)
        changes = change * size.changes_per_day / SECONDS_PER_DAY
        total = ticks + beats + daily * view / SECONDS_PER_DAY + changes
        return [
            _row("entry host", "processor: ticks", ticks, "core", "20 a second"),
            _row("entry host", "processor: membership", beats, "core", "heartbeats"),
            _row(
                "entry host",
                "processor: one change of view",
                view,
                "s",
                "incremental owner table",
            ),
            _row(
                "entry host", "processor: one change in force", change, "s", "rendering"
            ),
            _row("entry host", "processor: sum", total, "core", "budget 0.033"),
        ]

    def _memory(self) -> list[Row]:
        size = self._size
        parts = {
            "owner table": self._at("memory of the owner table", size.region_hosts),
            "backend server records": self._at(
                "memory of backend server records", size.region_targets
            ),
            "registers and services": self._at(
                "memory of registers and services", size.addresses
            ),
        }
        total = sum(parts.values())
        rows = [
            _row("entry host", f"memory: {what}", value / 1e6, "MB", "in memory only")
            for what, value in parts.items()
        ]
        return [
            *rows,
            _row(
                "entry host", "memory: sum of control", total / 1e6, "MB", "budget 32"
            ),
        ]

    def _control_host(self) -> list[Row]:
        size = self._size
        snapshot = self._at("snapshot for a restarted node", size.addresses)
        return [
            _row(
                "control host",
                "traffic of polls, busiest of seven",
                self._at("idle polling, busiest control host", size.nodes),
                "B/s",
                "each node polls one control host",
            ),
            _row(
                "control host",
                "snapshot for a restarted node",
                snapshot / 1e3,
                "kB",
                "pieces of 32 kB, each key once",
            ),
            _row(
                "control host",
                "one synced record",
                self._figure("one synced record") * 1e3,
                "ms",
                "journal, synced before the vote is sent",
            ),
            _row(
                "distribution",
                "acceptance to force, p99",
                self._figure("acceptance to force at 510 nodes, p99, virtual clock"),
                "s",
                "poll each second",
            ),
        ]

    def _figure(self, name: str) -> float:
        if name not in self._figures:
            raise MissingMeasurementError(name)
        return self._figures[name]

    def _at(self, name: str, size: float) -> float:
        if name not in self._slopes:
            raise MissingMeasurementError(name)
        return self._slopes[name].at(size)


_MECHANISMS = {
    "membership": "gossip of packed heartbeats in the region",
    "polling": "digest of one number, then what is missing",
    "announcements passed on": "to the steward of the zone",
    "records spread": "changes only, digest in heartbeats",
    "changes": "each register once",
}


def load_measurement(file: Path) -> Measurement:
    """Return a written measurement."""
    return msgspec.json.decode(file.read_bytes(), type=Measurement)


def render_rows(rows: list[Row]) -> str:
    """Return rows as a table in Markdown."""
    lines = ["| role | what | value | unit | mechanism |", "|---|---|---|---|---|"]
    lines += [
        f"| {row.role} | {row.what} | {row.value:,.4g} | {row.unit} | {row.mechanism} |"
        for row in rows
    ]
    return "\n".join(lines)


def _row(role: str, what: str, value: float, unit: str, mechanism: str) -> Row:
    return Row(role=role, what=what, value=value, unit=unit, mechanism=mechanism)
