"""Choose which entry host of a zone places the flows of a service."""

from __future__ import annotations

from kingcuppulley.entry_hosts.seeded_messages import EntryHostInfo
from kingcuppulley.internal.rendezvous import rank_names

HOST_SUSPICION_SECONDS = 1.0
ZONE_REPORT_TIMEOUT_SECONDS = 0.7
REMEMBERED_SECONDS = 15.0


class CoordinatorTable:
    """Know the entry hosts, and rank those of each zone for each service.

    Hosts may differ in their view for a moment; then two of them place flows of one
    service, and each counts the other's by its reports.
    """

    def __init__(self, address: str, zone: str) -> None:
        self._address = address
        self._zone = zone
        self._hosts: dict[str, EntryHostInfo] = {}
        self._suspects: dict[str, float] = {}
        self._reported_at: dict[str, float] = {}
        self._ranks: dict[tuple[str, str], list[str]] = {}
        self._seen_at: dict[str, float] = {}

    def update(self, hosts: list[EntryHostInfo], now: float) -> None:
        """Take the entry hosts that control hosts have heard of."""
        fresh = {host.address: host for host in hosts}
        for host in hosts:
            if host.zone == self._zone:
                self._seen_at[host.address] = now
        if fresh != self._hosts:
            self._hosts = fresh
            self._ranks.clear()

    def suspect(self, address: str, now: float) -> None:
        """Pass over a host that did not answer."""
        self._suspects[address] = now + HOST_SUSPICION_SECONDS

    def coordinator(self, zone: str, service: str, now: float) -> str | None:
        """Return the host that places a service's flows in a zone, if any does."""
        for address in self._ranked(zone, service):
            if now >= self._suspects.get(address, 0.0):
                return address
        return None

    def can_leave_rotation(self, now: float) -> bool:
        """Return whether half of the zone's hosts carry traffic without this one.

        Where fewer do, callers' packets go to all hosts, those that are down too.
        """
        lately = [
            address
            for address, seen_at in self._seen_at.items()
            if now - seen_at < REMEMBERED_SECONDS
        ]
        others = [
            host
            for host in self._hosts.values()
            if host.zone == self._zone
            and host.address != self._address
            and not host.is_leaving
        ]
        return 2 * len(others) >= len(lately)

    def peer_in_zone(self, service: str, now: float) -> str | None:
        """Return the best other host of the own zone to ask about a service."""
        for address in self._ranked(self._zone, service):
            if address != self._address and now >= self._suspects.get(address, 0.0):
                return address
        return None

    def record_zone_report(self, zone: str, now: float) -> None:
        """Note that a zone was heard."""
        self._reported_at[zone] = now

    def other_zones(self) -> set[str]:
        """Return the other zones that have entry hosts."""
        return {host.zone for host in self._hosts.values()} - {self._zone}

    def unreachable_zones(self, now: float) -> frozenset[str]:
        """Return the zones whose hosts were heard before and are silent now."""
        return frozenset(
            zone
            for zone, reported_at in self._reported_at.items()
            if zone != self._zone and now - reported_at > ZONE_REPORT_TIMEOUT_SECONDS
        )

    def _ranked(self, zone: str, service: str) -> list[str]:
        key = (zone, service)
        ranked = self._ranks.get(key)
        if ranked is None:
            names = [
                host.address
                for host in self._hosts.values()
                if host.zone == zone and not host.is_leaving
            ]
            ranked = self._ranks[key] = list(rank_names(service, names))
        return ranked
