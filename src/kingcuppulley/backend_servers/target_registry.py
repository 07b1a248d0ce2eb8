"""Merge the heartbeat reports of all control hosts into one registry of servers.

Each entry host keeps one registry.  It is the list of backend servers that the entry
host can place flows on, and it resolves the cookies of packets to servers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from kingcuppulley.backend_servers.heartbeats import Heartbeat, ServingState
from kingcuppulley.backend_servers.instance_order import InstanceOrder
from kingcuppulley.backend_servers.zone_returns import ZoneReturns
from kingcuppulley.internal.rendezvous import hash_name

PREVIOUS_INSTANCE_RETENTION_SECONDS = 4.0
# Longer than any flow, so that packets to a server that has gone are still recognised.
UNUSED_TARGET_RETENTION_SECONDS = 120.0
TARGET_EVICTION_INTERVAL_SECONDS = 10.0


class RegisteredTarget:
    """Hold one incarnation of a backend server.

    Attributes
    ----------
    incarnation : int
        Start time of the server in milliseconds.
    cold_deadline : float
        Until when the server is cold, or may be because its zone has returned.
    known_return_revision : int
        That of the newest heartbeat; see `Heartbeat`.
    changed_at : float
        When the server was registered or its state last changed.
    packet_identity : bytes
        Sent with each packet, so that a server at an address that another server had
        before ignores packets for that other server.
    cookie : int
        Identifies the server in the packets of its flows.
    """

    __slots__ = (
        "name",
        "service",
        "zone",
        "endpoint",
        "slots",
        "state",
        "incarnation",
        "cold_deadline",
        "known_return_revision",
        "changed_at",
        "packet_identity",
        "cookie",
    )

    def __init__(self, heartbeat: Heartbeat) -> None:
        self.name = heartbeat.name
        self.service = heartbeat.service
        self.zone = heartbeat.zone
        self.endpoint = (heartbeat.host, heartbeat.port)
        self.slots = heartbeat.slots
        self.state = heartbeat.state
        self.incarnation = heartbeat.incarnation
        self.cold_deadline = 0.0
        self.known_return_revision = heartbeat.known_return_revision
        self.changed_at = 0.0
        self.packet_identity = heartbeat.packet_identity
        self.cookie = derive_cookie(heartbeat.name, heartbeat.incarnation)

    @property
    def is_eligible(self) -> bool:
        """Return whether new flows may be placed on the server."""
        return self.state is ServingState.READY


def derive_cookie(name: str, incarnation: int) -> int:
    """Return the cookie of one incarnation of a server.

    Every host derives the same cookie.  It is never 0, which means "no cookie".
    """
    return (hash_name(f"{name}/{incarnation}") & 0xFFFFFFFF) or 1


class _Report:
    """Hold what one control host reported on a server.

    Attributes
    ----------
    change_number : int
        That of the update that brought the report.
    cold_deadline : float
        Until when the server is cold, by this report.
    """

    __slots__ = ("heartbeat", "change_number", "cold_deadline")

    def __init__(self, heartbeat: Heartbeat, change_number: int, now: float) -> None:
        self.heartbeat = heartbeat
        self.change_number = change_number
        self.cold_deadline = now + heartbeat.cold_remaining_seconds

    @property
    def order(self) -> tuple[int, bool, int]:
        """Return the key that orders reports of several control hosts on one server.

        A leave is final within its incarnation.
        """
        heartbeat = self.heartbeat
        has_left = heartbeat.state is ServingState.GONE
        return (heartbeat.incarnation, has_left, heartbeat.sequence)


class _Source:
    """Hold what the current instance of one control host reported."""

    __slots__ = ("instance", "change_number", "reports")

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.change_number = 0
        self.reports: dict[str, _Report] = {}

    def store(self, heartbeat: Heartbeat, change_number: int, now: float) -> bool:
        """Store a report unless this or a later one is known; return whether it is new.

        An update holds the state that its servers had when it was sent, so of two
        updates the one that ends at the higher change number is not older.
        """
        known = self.reports.get(heartbeat.name)
        if known is not None and change_number <= known.change_number:
            return False
        self.reports[heartbeat.name] = _Report(heartbeat, change_number, now)
        return True


class TargetRegistry:
    """Hold the backend servers that one entry host knows.

    Each control host reports only the heartbeats that it received itself; of several
    reports on a server the newest wins.  Updates may arrive late, twice or in another
    order, from a control host or from one that relays them.  What is older than the
    known reports of its control host changes nothing.

    When a control host restarts, the reports of its previous instance stay valid for
    `PREVIOUS_INSTANCE_RETENTION_SECONDS`, so that the servers have time to send
    heartbeats to the new instance.  Servers whose newest report is from before the last
    return of their zone count as cold; see `ZoneReturns`.
    """

    def __init__(
        self, cold_seconds_of: Callable[[str], float] = lambda service: 0.0
    ) -> None:
        self._zone_returns = ZoneReturns(cold_seconds_of)
        self._sources: dict[str, _Source] = {}
        self._instance_orders: dict[str, InstanceOrder] = {}
        self._previous_instances: list[tuple[float, dict[str, _Report]]] = []
        self._targets: dict[str, RegisteredTarget] = {}
        self._by_cookie: dict[int, RegisteredTarget] = {}
        self._by_service: dict[str, list[RegisteredTarget]] = {}
        self._eviction_deadline = 0.0
        self._version = 0

    @property
    def version(self) -> int:
        """Return a number that grows when a server is added or changes its state."""
        return self._version

    @property
    def targets(self) -> Iterable[RegisteredTarget]:
        """Return every known server, whatever its state."""
        return self._targets.values()

    def of_service(self, service: str) -> list[RegisteredTarget]:
        """Return the known servers of a service, whatever their state."""
        return self._by_service.get(service, [])

    def by_cookie(self, cookie: int) -> RegisteredTarget | None:
        """Return the server that a cookie identifies, or None."""
        return self._by_cookie.get(cookie)

    def has_own_cookie(self, target: RegisteredTarget) -> bool:
        """Return whether a server's cookie names it and no other server."""
        return self._by_cookie.get(target.cookie) is target

    @property
    def cookie_collisions(self) -> int:
        """Return how many servers have the cookie of another server."""
        return len(self._targets) - len(self._by_cookie)

    def subscription_position(self, host: str) -> tuple[str, int]:
        """Return a control host's instance and the last change number received from it.

        For a control host that has sent no update yet, return an empty string and 0.
        """
        source = self._sources.get(host)
        return (source.instance, source.change_number) if source else ("", 0)

    def is_outdated(
        self, host: str, instance: str, change_number: int, received_at: float
    ) -> bool:
        """Return whether all changes of an update are known, and later ones too.

        `received_at` is when the update arrived, here or at the host that relayed it.
        An update without changes since the last one is not outdated.
        """
        order = self._instance_orders.get(host)
        if order is None:
            return False
        if order.is_outdated(instance, received_at):
            return True
        source = self._sources[host]
        return source.instance == instance and change_number < source.change_number

    def update(
        self,
        host: str,
        instance: str,
        change_number: int,
        heartbeats: list[Heartbeat],
        now: float,
        since_change_number: int = 0,
        received_at: float | None = None,
    ) -> list[RegisteredTarget]:
        """Apply a control host's update and return the servers that changed.

        The update holds the changes after `since_change_number` up to `change_number`.
        If an earlier update was lost, its changes are newer than what is known, but the
        position does not advance, so that the entry host still requests the changes
        that it lacks.  `received_at` is as in `is_outdated`, and `now` if left out.
        """
        received_at = now if received_at is None else received_at
        if self.is_outdated(host, instance, change_number, received_at):
            return []
        source = self._current_source(host, instance, received_at, now)
        if change_number <= source.change_number:
            return []
        if since_change_number <= source.change_number:
            source.change_number = change_number
        changed = []
        for heartbeat in heartbeats:
            if not source.store(heartbeat, change_number, now):
                continue
            target = self._merge(heartbeat.name, now)
            if target is not None:
                changed.append(target)
        return changed

    def _current_source(
        self, host: str, instance: str, received_at: float, now: float
    ) -> _Source:
        """Return what an instance reported; it is the current one from now on."""
        order = self._instance_orders.get(host)
        if order is None:
            order = self._instance_orders[host] = InstanceOrder(instance, received_at)
        order.record(instance, received_at)
        source = self._sources.get(host)
        if source is not None and source.instance == instance:
            return source
        if source is not None:
            deadline = now + PREVIOUS_INSTANCE_RETENTION_SECONDS
            self._previous_instances.append((deadline, source.reports))
        source = self._sources[host] = _Source(instance)
        return source

    def record_zone_return(self, zone: str, revision: int, now: float) -> None:
        """Treat the servers of a zone as cold until they report after its return."""
        if not self._zone_returns.record(zone, revision, now):
            return
        for target in self._targets.values():
            if target.zone == zone:
                self._presume_cold(target)

    def remove_source(self, host: str, now: float) -> list[RegisteredTarget]:
        """Discard the reports of a control host and return the servers that changed.

        A server that only it reported is unresponsive: while it runs, it sends
        heartbeats to another control host.
        """
        source = self._sources.pop(host, None)
        self._instance_orders.pop(host, None)
        if source is None:
            return []
        merged = [self._merge(name, now) for name in source.reports]
        return [target for target in merged if target is not None]

    def tick(self, now: float) -> list[RegisteredTarget]:
        """Expire reports of previous instances and return the servers that changed.

        Also evict servers that have been out of use for longer than
        `UNUSED_TARGET_RETENTION_SECONDS`.
        """
        changed = []
        while self._previous_instances and now >= self._previous_instances[0][0]:
            _, reports = self._previous_instances.pop(0)
            for name in reports:
                target = self._merge(name, now)
                if target is not None:
                    changed.append(target)
        if now >= self._eviction_deadline:
            self._eviction_deadline = now + TARGET_EVICTION_INTERVAL_SECONDS
            self._evict_unused(now)
        return changed

    def _evict_unused(self, now: float) -> None:
        for name, target in list(self._targets.items()):
            is_used = target.state in (ServingState.READY, ServingState.DRAINING)
            if is_used or now - target.changed_at < UNUSED_TARGET_RETENTION_SECONDS:
                continue
            self._remove(target)
            for source in self._sources.values():
                source.reports.pop(name, None)

    def _remove(self, target: RegisteredTarget) -> None:
        del self._targets[target.name]
        self._by_service[target.service].remove(target)
        if self._by_cookie.get(target.cookie) is not target:
            return
        del self._by_cookie[target.cookie]
        for other in self._targets.values():
            if other.cookie == target.cookie:
                # Its cookie was that of the removed server, too, and is unique now.
                self._by_cookie[other.cookie] = other
                return

    def _merge(self, name: str, now: float) -> RegisteredTarget | None:
        """Update a server from its newest report and return it if it changed."""
        reports = [
            source.reports[name]
            for source in self._sources.values()
            if name in source.reports
        ]
        reports += [
            earlier_reports[name]
            for _, earlier_reports in self._previous_instances
            if name in earlier_reports
        ]
        target = self._targets.get(name)
        if not reports:
            if target is not None:
                self._version += 1
                target.state = ServingState.UNRESPONSIVE
                target.changed_at = now
            return target
        report = max(reports, key=lambda report: report.order)
        newest = report.heartbeat
        if target is None or target.incarnation != newest.incarnation:
            return self._add(report, now)
        has_changed = target.state is not newest.state
        if has_changed:
            self._version += 1
            target.changed_at = now
        target.state = newest.state
        target.slots = newest.slots
        target.endpoint = (newest.host, newest.port)
        if newest.known_return_revision > target.known_return_revision:
            # The first report after a return of the zone replaces the presumption.
            target.known_return_revision = newest.known_return_revision
            target.cold_deadline = report.cold_deadline
        target.cold_deadline = max(target.cold_deadline, report.cold_deadline)
        self._presume_cold(target)
        return target if has_changed else None

    def _presume_cold(self, target: RegisteredTarget) -> None:
        deadline = self._zone_returns.presumed_cold_until(
            target.zone, target.service, target.known_return_revision
        )
        target.cold_deadline = max(target.cold_deadline, deadline)

    def _add(self, report: _Report, now: float) -> RegisteredTarget:
        self._version += 1
        heartbeat = report.heartbeat
        target = RegisteredTarget(heartbeat)
        target.cold_deadline = report.cold_deadline
        self._presume_cold(target)
        target.changed_at = now
        previous = self._targets.get(heartbeat.name)
        if previous is not None:
            self._remove(previous)
        self._targets[heartbeat.name] = target
        # If two servers have the same cookie, the first one keeps it, and the second
        # gets no flows: their packets would reach the first.
        self._by_cookie.setdefault(target.cookie, target)
        self._by_service.setdefault(target.service, []).append(target)
        return target
