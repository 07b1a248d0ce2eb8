"""Compute the state, messages, processor time and memory of each role at a size.

The figures and slopes come from a report of `make measure`.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from kingcuppulley.entry_hosts.host import (
    LARGE_DEPLOYMENT_MAXIMUM_COPIED_FLOWS_PER_SECOND,
)
from kingcuppulley.errors import MissingMeasurementError
from kingcuppulley.experiments.measure import Measurement

SECONDS_PER_DAY = 86_400
ANNOUNCEMENTS_PER_TARGET_PER_SECOND = 2.0
RECORD_CHANGES_PER_RESTART = 4
BYTES_PER_FLOW_COPY = 8


class DeploymentSize(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the deployment that the capacity is computed for.

    `nodes` counts entry hosts and control hosts. `control_bytes_per_second`,
    `control_memory_bytes` and `control_core`, a share of one core, are the budgets
    of one entry host.
    """

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
        """Return the number of nodes that are not control hosts."""
        return self.nodes - self.control_hosts

    @property
    def region_hosts(self) -> float:
        """Return the average number of entry hosts in a region."""
        return self.entry_hosts / self.regions

    @property
    def region_targets(self) -> float:
        """Return the average number of backend servers in a region."""
        return self.targets / self.regions


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one row of the table in docs/CAPACITY.md."""

    role: str
    what: str
    value: float
    unit: str
    mechanism: str


class CapacityModel:
    """Compute the rows of docs/CAPACITY.md from a measurement and a size.

    Traffic is the bytes that a host sends plus those that it receives: the factor 2
    counts each message at its sender and at its receiver. A figure or slope that the
    measurement lacks raises MissingMeasurementError.
    """

    def __init__(self, measurement: Measurement, size: DeploymentSize) -> None:
        self._figure_values = {
            figure.name: figure.value for figure in measurement.figures
        }
        self._slopes = {slope.name: slope for slope in measurement.slopes}
        self._size = size

    def rows(self) -> list[Row]:
        """Return the rows of all roles, in the order of the table."""
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
        figure_name = "resident bytes for each of 300000 open flows"
        new_flows_per_second = self._size.new_flows_per_second / self._size.entry_hosts
        decisions_per_second = self._figure_value(
            "packet decisions a second on one core"
        )
        return [
            _row("forwarder", "open flows", flows, "flows", "owner by rendezvous"),
            _row(
                "forwarder",
                "memory of flows",
                flows * self._figure_value(figure_name) / 1e6,
                "MB",
                "two generations of hash to target number",
            ),
            _row(
                "forwarder",
                "new flows",
                new_flows_per_second,
                "1/s",
                "deterministic choice",
            ),
            _row(
                "forwarder",
                "packet decisions one core can make",
                decisions_per_second,
                "1/s",
                "fixed offsets, one table look-up",
            ),
        ]

    def _gateway(self) -> list[Row]:
        requests_per_second = self._size.new_flows_per_second / self._size.entry_hosts
        seconds_per_request = self._figure_value("gateway processor seconds a request")
        return [
            _row(
                "gateway",
                "processor time if each new flow were a request",
                requests_per_second * seconds_per_request,
                "core",
                "slot lease a request, steward of the zone",
            ),
            _row(
                "gateway",
                "lease messages if each new flow were a request",
                2
                * requests_per_second
                * self._figure_value("messages of one request's slot"),
                "B/s",
                "grows with requests, so counted with them",
            ),
            _row(
                "gateway",
                "claim messages if each were a keyed booking",
                2
                * requests_per_second
                * self._figure_value("messages of one booking's claim"),
                "B/s",
                "home and two copies, before sending",
            ),
        ]

    def _traffic(self) -> list[Row]:
        size = self._size
        zone_announcement_rate = (
            size.targets / size.zones * ANNOUNCEMENTS_PER_TARGET_PER_SECOND
        )
        host_announcement_rate = zone_announcement_rate / (
            size.entry_hosts / size.zones
        )
        announcement_traffic = (
            2 * host_announcement_rate * self._figure_value("an announcement passed on")
        )
        restarts_per_second = (
            size.restarts_per_day + size.failures_per_day
        ) / SECONDS_PER_DAY
        record_bytes = self._figure_value("a backend server record spread")
        record_traffic = (
            2 * restarts_per_second * RECORD_CHANGES_PER_RESTART * record_bytes
        )
        parts = {
            "membership": self._slope_value(
                "membership traffic, sent and received", size.region_hosts
            ),
            "polling": self._slope_value("idle polling, sent and received", size.nodes),
            "announcements passed on": announcement_traffic,
            "records spread": record_traffic,
            # A change counts as 1000 bytes.
            "changes": size.changes_per_day * 1000 / SECONDS_PER_DAY,
        }
        total = sum(parts.values())
        rows = [
            _row(
                "entry host",
                f"traffic: {what}",
                value,
                "B/s",
                _TRAFFIC_MECHANISMS[what],
            )
            for what, value in parts.items()
        ]
        copied_flow_traffic = (
            LARGE_DEPLOYMENT_MAXIMUM_COPIED_FLOWS_PER_SECOND * BYTES_PER_FLOW_COPY
        )
        return [
            *rows,
            _row("entry host", "traffic: sum", total, "B/s", "budget 11,000"),
            _row(
                "entry host",
                "traffic: sum while exceptions are copied",
                total + 2 * copied_flow_traffic,
                "B/s",
                "100 flows a second, 8 bytes each",
            ),
        ]

    def _processor(self) -> list[Row]:
        size = self._size
        ticks = self._slope_value(
            "processor time of an entry host's ticks", size.region_hosts
        )
        heartbeats = self._slope_value("membership processor time", size.region_hosts)
        view_change = self._slope_value(
            "processor time of one change of view", size.region_hosts
        )
        # A host changes the view of its region when it leaves and when it returns.
        view_changes_per_day = (
            2 * (size.failures_per_day + size.restarts_per_day) / size.regions
        )
        change_activation = self._slope_value(
            "processor time of one change on a node", size.addresses
        )
        changes = change_activation * size.changes_per_day / SECONDS_PER_DAY
        total = (
            ticks
            + heartbeats
            + view_changes_per_day * view_change / SECONDS_PER_DAY
            + changes
        )
        return [
            _row("entry host", "processor: ticks", ticks, "core", "20 a second"),
            _row(
                "entry host", "processor: membership", heartbeats, "core", "heartbeats"
            ),
            _row(
                "entry host",
                "processor: one change of view",
                view_change,
                "s",
                "incremental owner table",
            ),
            _row(
                "entry host",
                "processor: one change in force",
                change_activation,
                "s",
                "rendering",
            ),
            _row("entry host", "processor: sum", total, "core", "budget 0.033"),
        ]

    def _memory(self) -> list[Row]:
        size = self._size
        parts = {
            "owner table": self._slope_value(
                "memory of the owner table", size.region_hosts
            ),
            "backend server records": self._slope_value(
                "memory of backend server records", size.region_targets
            ),
            "registers and services": self._slope_value(
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
        snapshot = self._slope_value("snapshot for a restarted node", size.addresses)
        return [
            _row(
                "control host",
                "traffic of polls, busiest of seven",
                self._slope_value("idle polling, busiest control host", size.nodes),
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
                self._figure_value("one synced record") * 1e3,
                "ms",
                "journal, synced before the vote is sent",
            ),
            _row(
                "distribution",
                "acceptance to force, p99",
                self._figure_value(
                    "acceptance to force at 510 nodes, p99, virtual clock"
                ),
                "s",
                "poll each second",
            ),
        ]

    def _figure_value(self, name: str) -> float:
        if name not in self._figure_values:
            raise MissingMeasurementError(name)
        return self._figure_values[name]

    def _slope_value(self, name: str, size: float) -> float:
        if name not in self._slopes:
            raise MissingMeasurementError(name)
        return self._slopes[name].value_at(size)


_TRAFFIC_MECHANISMS = {
    "membership": "gossip of packed heartbeats in the region",
    "polling": "digest of one number, then what is missing",
    "announcements passed on": "to the steward of the zone",
    "records spread": "changes only, digest in heartbeats",
    "changes": "each register once",
}


def load_measurement(file: Path) -> Measurement:
    """Return the measurement that a report of `make measure` holds."""
    return msgspec.json.decode(file.read_bytes(), type=Measurement)


def render_rows(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = ["| role | what | value | unit | mechanism |", "|---|---|---|---|---|"]
    lines += [
        f"| {row.role} | {row.what} | {row.value:,.4g} | {row.unit} | {row.mechanism} |"
        for row in rows
    ]
    return "\n".join(lines)


def _row(role: str, what: str, value: float, unit: str, mechanism: str) -> Row:
    return Row(role=role, what=what, value=value, unit=unit, mechanism=mechanism)
