"""Report this host's open flows to the coordinators that may use the same servers."""

from __future__ import annotations

from collections.abc import Callable

from kingcuppulley.entry_hosts.coordinator_table import CoordinatorTable
from kingcuppulley.entry_hosts.seeded_messages import LoadReport
from kingcuppulley.fabric.server_choice import ServerChoice

LOAD_REPORT_INTERVAL_SECONDS = 0.1
# With many coordinators a host reports less often, but well within the validity of a
# report.
MAXIMUM_LOAD_REPORTS_PER_SECOND = 80
MAXIMUM_LOAD_REPORT_INTERVAL_SECONDS = 0.2


class LoadReporter:
    """Send load reports, as long as this host coordinates a share or has open flows."""

    def __init__(
        self,
        address: str,
        zone: str,
        coordinators: CoordinatorTable,
        choice: ServerChoice,
        send: Callable[[str, object], None],
    ) -> None:
        self._address = address
        self._zone = zone
        self._coordinators = coordinators
        self._choice = choice
        self._send = send
        self._deadline = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the next reports are due."""
        return now >= self._deadline

    def send(self, services: list[str], now: float) -> None:
        """Send the loads of some services to the coordinators that may use them."""
        loads_by_service = self._choice.own_loads()
        loads_by_recipient: dict[str, list[tuple[int, int]]] = {}
        for service in services:
            loads = loads_by_service.get(service, [])
            for recipient in self._recipients(service, bool(loads), now):
                loads_by_recipient.setdefault(recipient, []).extend(loads)
        for recipient, loads in loads_by_recipient.items():
            self._send(recipient, LoadReport(self._zone, loads))
        interval = len(loads_by_recipient) / MAXIMUM_LOAD_REPORTS_PER_SECOND
        interval = min(MAXIMUM_LOAD_REPORT_INTERVAL_SECONDS, interval)
        self._deadline = now + max(LOAD_REPORT_INTERVAL_SECONDS, interval)

    def _recipients(self, service: str, has_loads: bool, now: float) -> set[str]:
        """Return the coordinators that may use a server that this host places on."""
        shares = self._choice.shares
        own_shares = range(shares.count(self._zone, service))
        own_coordinators = [
            self._coordinators.coordinator(self._zone, service, now, share)
            for share in own_shares
        ]
        coordinated = [
            share for share in own_shares if own_coordinators[share] == self._address
        ]
        if not coordinated and not has_loads:
            return set()
        recipients = set(own_coordinators)
        for zone in self._coordinators.other_zones():
            share_count = shares.count(zone, service)
            for share in {share % share_count for share in coordinated or (0,)}:
                recipients.add(
                    self._coordinators.coordinator(zone, service, now, share)
                )
        return {
            address
            for address in recipients
            if address is not None and address != self._address
        }
