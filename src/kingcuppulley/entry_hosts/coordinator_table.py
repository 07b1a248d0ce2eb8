"""Select the placement coordinators: the hosts that place a service's new flows.

Each service has one in each zone, or several if it has many servers there, each for a
share of the servers (see `fabric/service_shares.py`).  They are not the slot
coordinators, which lease slots to gateways; see `backend_servers/slot_coordinator.py`.
"""

from __future__ import annotations

from kingcuppulley.entry_hosts.seeded_messages import EntryHostInfo
from kingcuppulley.fabric.service_shares import SERVERS_PER_SHARE
from kingcuppulley.internal.rendezvous import rank_names

HOST_SUSPICION_SECONDS = 1.0
LOAD_REPORT_TIMEOUT_SECONDS = 0.7
ZONE_HOST_RETENTION_SECONDS = 15.0


# Part of a core, in thousandths, that a coordinator needs for each of its servers when
# they are fully used.
MILLICORES_PER_SERVER = 20


def find_weak_hosts(hosts: list[EntryHostInfo]) -> frozenset[str]:
    """Return the hosts of a zone with less than half of the largest capacity.

    While the capacity of any host is not known, there are none: hosts of an earlier
    build choose coordinators without regard to capacity, and two coordinators of one
    share must not last for the whole upgrade.
    """
    capacities = [host.capacity for host in hosts]
    if not capacities or min(capacities) <= 0:
        return frozenset()
    largest = max(capacities)
    return frozenset(host.address for host in hosts if 2 * host.capacity < largest)


class CoordinatorTable:
    """Rank the entry hosts of each zone as placement coordinators of each service.

    Every host computes the ranking from its own list of hosts.  While the lists differ,
    two hosts may place flows of one service; each then counts the flows that the other
    lists in its load reports.  Weak hosts are ranked behind the others of their zone,
    because a coordinator handles messages of every new flow of its share.
    """

    def __init__(self, address: str, zone: str) -> None:
        self._address = address
        self._zone = zone
        self._hosts: dict[str, EntryHostInfo] = {}
        self._suspicion_deadlines: dict[str, float] = {}
        self._reported_at: dict[str, float] = {}
        self._ranked_addresses: dict[tuple[str, str, int], list[str]] = {}
        self._weak_addresses: dict[str, frozenset[str]] = {}
        self._servers_per_share: dict[str, int] = {}
        self._version = 0
        self._last_seen_at: dict[str, float] = {}

    @property
    def version(self) -> int:
        """Return a number that grows when the list of hosts changes."""
        return self._version

    def servers_per_share(self, zone: str) -> int:
        """Return how many servers of a service one coordinator of a zone can bear.

        It follows from the weakest host that may be chosen while a strong one answers.
        While the capacity of any host is not known, it is `SERVERS_PER_SHARE`.
        """
        servers = self._servers_per_share.get(zone)
        if servers is None:
            servers = self._servers_per_share[zone] = self._find_share_size(zone)
        return servers

    def _find_share_size(self, zone: str) -> int:
        hosts = self._staying_hosts(zone)
        weak = find_weak_hosts(hosts)
        capacity = min((h.capacity for h in hosts if h.address not in weak), default=0)
        if capacity <= 0:
            return SERVERS_PER_SHARE
        return max(1, min(SERVERS_PER_SHARE, capacity // MILLICORES_PER_SERVER))

    def update(self, hosts: list[EntryHostInfo], now: float) -> None:
        """Replace the entry hosts by those that control hosts list now."""
        hosts_by_address = {host.address: host for host in hosts}
        for host in hosts:
            if host.zone == self._zone:
                self._last_seen_at[host.address] = now
        if hosts_by_address != self._hosts:
            self._hosts = hosts_by_address
            self._ranked_addresses.clear()
            self._weak_addresses.clear()
            self._servers_per_share.clear()
            self._version += 1

    def suspect(self, address: str, now: float) -> None:
        """Skip an unresponsive host for `HOST_SUSPICION_SECONDS`."""
        self._suspicion_deadlines[address] = now + HOST_SUSPICION_SECONDS

    def coordinator(
        self, zone: str, service: str, now: float, share: int = 0
    ) -> str | None:
        """Return the host that places the flows of a service's share in a zone."""
        for address in self._ranked(zone, service, share):
            if now >= self._suspicion_deadlines.get(address, 0.0):
                return address
        return None

    def can_leave_rotation(self, now: float) -> bool:
        """Return whether half of the zone's hosts stay in rotation without this one.

        The zone's hosts are those listed in the last `ZONE_HOST_RETENTION_SECONDS`.  If
        fewer than half of them are in rotation, callers' packets go to all hosts, also
        to those that are down.
        """
        recent_hosts = [
            address
            for address, last_seen_at in self._last_seen_at.items()
            if now - last_seen_at < ZONE_HOST_RETENTION_SECONDS
        ]
        remaining_hosts = [
            host
            for host in self._staying_hosts(self._zone)
            if host.address != self._address
        ]
        return 2 * len(remaining_hosts) >= len(recent_hosts)

    def peer_in_zone(self, service: str, now: float) -> str | None:
        """Return the first other host of the own zone in the ranking, or None."""
        for address in self._ranked(self._zone, service):
            if address != self._address and now >= self._suspicion_deadlines.get(
                address, 0.0
            ):
                return address
        return None

    def record_load_report(self, zone: str, now: float) -> None:
        """Record that a host of a zone sent a load report."""
        self._reported_at[zone] = now

    def other_zones(self) -> set[str]:
        """Return the other zones that have entry hosts."""
        return {host.zone for host in self._hosts.values()} - {self._zone}

    def unreachable_zones(self, now: float) -> frozenset[str]:
        """Return the other zones whose hosts stopped sending load reports.

        A zone that has never sent one is not among them.
        """
        return frozenset(
            zone
            for zone, reported_at in self._reported_at.items()
            if zone != self._zone and now - reported_at > LOAD_REPORT_TIMEOUT_SECONDS
        )

    def _ranked(self, zone: str, service: str, share: int = 0) -> list[str]:
        key = (zone, service, share)
        ranked = self._ranked_addresses.get(key)
        if ranked is None:
            hosts = self._staying_hosts(zone)
            weak = self._weak_addresses.get(zone)
            if weak is None:
                weak = self._weak_addresses[zone] = find_weak_hosts(hosts)
            name = f"{service}/{share}" if share else service
            ranked = list(rank_names(name, [host.address for host in hosts]))
            # The sort is stable: each class keeps its order.
            ranked.sort(key=weak.__contains__)
            self._ranked_addresses[key] = ranked
        return ranked

    def _staying_hosts(self, zone: str) -> list[EntryHostInfo]:
        return [
            host
            for host in self._hosts.values()
            if host.zone == zone and not host.is_leaving
        ]
