"""Keep the open flows per backend server that other entry hosts reported."""

from __future__ import annotations

from collections.abc import Callable

LOAD_REPORT_VALIDITY_SECONDS = 0.5


class _Report:
    """Hold the open flows by the cookie of their server, and until when they count."""

    __slots__ = ("flows", "deadline")

    def __init__(self) -> None:
        self.flows: dict[int, int] = {}
        self.deadline = 0.0


class ReportedLoads:
    """Keep the latest report of each host until it expires.

    `on_change` is called with the cookie of a server and how many more or fewer open
    flows of other hosts it has.
    """

    __slots__ = ("_on_change", "_reports")

    def __init__(self, on_change: Callable[[int, int], None]) -> None:
        self._on_change = on_change
        self._reports: dict[str, _Report] = {}

    def update(self, host: str, flows: dict[int, int], now: float) -> None:
        """Replace the report of a host; it counts for a limited time."""
        report = self._reports.get(host)
        if report is None:
            report = self._reports[host] = _Report()
        report.deadline = now + LOAD_REPORT_VALIDITY_SECONDS
        self._replace(report, flows)

    def tick(self, now: float) -> None:
        """Expire old reports."""
        for host, report in list(self._reports.items()):
            if now >= report.deadline:
                self._replace(report, {})
                del self._reports[host]

    def _replace(self, report: _Report, flows: dict[int, int]) -> None:
        for cookie in report.flows.keys() | flows.keys():
            difference = flows.get(cookie, 0) - report.flows.get(cookie, 0)
            if difference:
                self._on_change(cookie, difference)
        report.flows = flows
