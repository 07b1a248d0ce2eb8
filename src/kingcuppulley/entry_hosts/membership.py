"""Agree on which entry hosts live, by heartbeats that any host passes on."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from kingcuppulley.entry_hosts.messages import Heartbeat, HostReport

HEARTBEAT_SECONDS = 0.25
SUSPICION_SECONDS = 1.5
FAN_OUT = 3


class HostAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Name an entry host, its zone and where it is reached."""

    name: str
    zone: str
    host: str
    peer_port: int
    control_port: int
    packet_port: int


class HostStatus:
    """Hold what this host knows of another one."""

    __slots__ = ("incarnation", "beat", "leaving", "alive_until_deadline")

    def __init__(self) -> None:
        self.incarnation = 0
        self.beat = 0
        self.leaving = False
        self.alive_until_deadline = 0.0


class Membership:
    """Track the entry hosts of a deployment.

    Each host counts its own heartbeat up and sends the counts of all to a few others.
    A count that stands still past the suspicion time marks its host as dead.  Counts
    travel through any third host, so two hosts that cannot reach each other, but
    share a peer, still see each other live: a partial cut does not split the owners.
    """

    def __init__(
        self,
        name: str,
        hosts: Iterable[HostAddress],
        incarnation: int,
        generator: random.Random,
    ) -> None:
        self._name = name
        self._addresses = {host.name: host for host in hosts}
        self._statuses = {host: HostStatus() for host in self._addresses}
        self._own = self._statuses[name]
        self._own.incarnation = incarnation
        self._generator = generator

    @property
    def incarnation(self) -> int:
        """Return the number of this start of the host."""
        return self._own.incarnation

    @property
    def generator(self) -> random.Random:
        """Return the seeded generator of this host's random choices."""
        return self._generator

    def address(self, name: str) -> HostAddress | None:
        """Return where a host is reached, or None if it is not configured."""
        return self._addresses.get(name)

    def zone_of(self, name: str) -> str:
        """Return the availability zone of a configured host."""
        return self._addresses[name].zone

    def live_hosts(self, now: float) -> list[str]:
        """Return the hosts that are heard of, in the order of their names."""
        return sorted(name for name in self._statuses if self._is_live(name, now))

    def owners(self, now: float, zones_out: frozenset[str]) -> list[str]:
        """Return the live hosts that may own flows, keys and slots."""
        return [
            name
            for name in self.live_hosts(now)
            if not self._statuses[name].leaving and self.zone_of(name) not in zones_out
        ]

    def owners_of_zone(self, zone: str, now: float) -> list[str]:
        """Return the live hosts of one zone that are not leaving."""
        return [
            name
            for name in self.live_hosts(now)
            if not self._statuses[name].leaving and self.zone_of(name) == zone
        ]

    def leave(self) -> None:
        """Tell the others, from the next heartbeat on, that this host leaves."""
        self._own.leaving = True

    def tick(self, now: float) -> tuple[list[str], Heartbeat]:
        """Return the hosts to send the next heartbeat to, and the heartbeat."""
        self._own.beat += 1
        # A host that is silent gets heartbeats too: it may have come back, and two
        # zones that were cut off from each other find each other only this way.
        others = [name for name in self._addresses if name != self._name]
        chosen = self._generator.sample(others, min(FAN_OUT, len(others)))
        return chosen, Heartbeat(reports=self._reports(now))

    def receive(self, heartbeat: Heartbeat, now: float) -> None:
        """Take another host's heartbeat."""
        for report in heartbeat.reports:
            status = self._statuses.get(report.name)
            if status is None:
                continue
            if report.name == self._name:
                self._outlive(report)
                continue
            newer = (report.incarnation, report.beat) > (
                status.incarnation,
                status.beat,
            )
            if newer:
                status.incarnation = report.incarnation
                status.beat = report.beat
                status.leaving = report.leaving
                status.alive_until_deadline = now + SUSPICION_SECONDS

    def _reports(self, now: float) -> list[HostReport]:
        return [
            HostReport(name, status.incarnation, status.beat, status.leaving)
            for name, status in self._statuses.items()
            if name == self._name or self._is_live(name, now)
        ]

    def _outlive(self, report: HostReport) -> None:
        # Others still pass on the counts of an earlier start of this host.
        if report.incarnation > self._own.incarnation:
            self._own.incarnation = report.incarnation + 1

    def _is_live(self, name: str, now: float) -> bool:
        return name == self._name or self._statuses[name].alive_until_deadline > now
