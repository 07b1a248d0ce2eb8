"""Track which entry hosts are live, by heartbeats that hosts forward to each other."""

from __future__ import annotations

import random
from array import array
from collections.abc import Iterable

import msgspec

from kingcuppulley.entry_hosts.messages import MembershipHeartbeat
from kingcuppulley.errors import KingcuppulleyError
from kingcuppulley.internal.rendezvous import hash_name

SMALL_DEPLOYMENT_FAN_OUT = 3
LARGE_DEPLOYMENT_FAN_OUT = 2
HEARTBEAT_COUNTS_PER_SECOND = 4
SMALL_DEPLOYMENT_MAXIMUM_HOSTS = 16
SMALL_DEPLOYMENT_HEARTBEAT_INTERVAL_SECONDS = 0.25
SMALL_DEPLOYMENT_SUSPICION_SECONDS = 1.5
LARGE_DEPLOYMENT_HEARTBEAT_INTERVAL_SECONDS = 0.5
LARGE_DEPLOYMENT_SUSPICION_SECONDS = 5.0
DEAD_HOST_QUARANTINE_SECONDS = 15.0
_COUNT_MASK = 0xFF
_HALF_OF_COUNT_RANGE = 0x80


class HostAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Name an entry host, its zone and the address and ports where it is reached."""

    name: str
    zone: str
    host: str
    peer_port: int
    control_port: int
    packet_port: int


class HostNameClashError(KingcuppulleyError):
    """Report two entry hosts whose names have the same short number."""

    def __init__(self, first: str, second: str) -> None:
        super().__init__(
            f"{first} and {second} have the same short number in heartbeats; "
            "rename one of them"
        )


class HostStatus:
    """Hold the last known count of an entry host, and until when it counts as live."""

    __slots__ = ("count", "is_ineligible", "live_deadline")

    def __init__(self) -> None:
        self.count = 0
        self.is_ineligible = False
        self.live_deadline = 0.0


class Membership:
    """Track the entry hosts of a deployment.

    Each host increments its own heartbeat count and sends the counts of all live hosts
    to a few others.  A host whose count does not grow for the suspicion time counts as
    dead.  Third hosts forward counts, so two hosts that cannot reach each other, but
    share a peer, still see each other live.  A partial network partition therefore does
    not lead to two owners.

    A host that has just started has no records yet, and one that leaves hands over its
    own.  Neither is eligible: they are live, answer and forward, but own nothing.

    A count begins at Unix time in quarters of a second, so that it grows over restarts
    and heartbeats need no incarnation beside it.  In a deployment of the size that the
    system is designed for, the counts of all hosts take most of the bytes that control
    traffic may use, so a heartbeat carries two bytes of name and the lowest byte of the
    count for each host.  Counts of two hosts are never compared, so their clocks need
    not agree.  A byte shows which of two counts is newer within 32 seconds; of a host
    that was dead for longer than the quarantine any count is accepted.
    """

    def __init__(
        self,
        name: str,
        hosts: Iterable[HostAddress],
        generator: random.Random,
    ) -> None:
        self._name = name
        self._addresses = {host.name: host for host in hosts}
        self._statuses = {host: HostStatus() for host in self._addresses}
        self._names_by_number: dict[int, str] = {}
        for host in self._addresses:
            number = _short_number(host)
            if number in self._names_by_number:
                raise HostNameClashError(self._names_by_number[number], host)
            self._names_by_number[number] = host
        self._own_status = self._statuses[name]
        self._own_status.is_ineligible = True
        self._generator = generator
        self._is_small = is_small = (
            len(self._addresses) <= SMALL_DEPLOYMENT_MAXIMUM_HOSTS
        )
        self._fan_out = (
            SMALL_DEPLOYMENT_FAN_OUT if is_small else LARGE_DEPLOYMENT_FAN_OUT
        )
        self._heartbeat_seconds = (
            SMALL_DEPLOYMENT_HEARTBEAT_INTERVAL_SECONDS
            if is_small
            else LARGE_DEPLOYMENT_HEARTBEAT_INTERVAL_SECONDS
        )
        self._suspicion_seconds = (
            SMALL_DEPLOYMENT_SUSPICION_SECONDS
            if is_small
            else LARGE_DEPLOYMENT_SUSPICION_SECONDS
        )

    @property
    def is_small(self) -> bool:
        """Return whether the deployment has few enough hosts for the small settings."""
        return self._is_small

    @property
    def heartbeat_seconds(self) -> float:
        """Return the seconds between two heartbeats of one host."""
        return self._heartbeat_seconds

    @property
    def generator(self) -> random.Random:
        """Return the seeded generator of this host's random choices."""
        return self._generator

    def zone_of(self, name: str) -> str:
        """Return the availability zone of a configured host."""
        return self._addresses[name].zone

    def configured_in(self, zone: str) -> int:
        """Return how many hosts a zone has, live or not."""
        return sum(1 for host in self._addresses.values() if host.zone == zone)

    def live_hosts(self, now: float) -> list[str]:
        """Return the hosts whose counts grow, in the order of their names."""
        return sorted(name for name in self._statuses if self._is_live(name, now))

    def eligible_hosts(self, now: float, zones_out: frozenset[str]) -> list[str]:
        """Return the live, eligible hosts of the zones that are in service."""
        return [
            name
            for name in self.live_hosts(now)
            if not self._statuses[name].is_ineligible
            and self.zone_of(name) not in zones_out
        ]

    def eligible_hosts_in_zone(self, zone: str, now: float) -> list[str]:
        """Return the live hosts of one zone that may own flows, keys and slots."""
        return [
            name
            for name in self.live_hosts(now)
            if not self._statuses[name].is_ineligible and self.zone_of(name) == zone
        ]

    @property
    def has_joined(self) -> bool:
        """Return whether this host may own flows, keys and slots."""
        return not self._own_status.is_ineligible

    def join(self) -> None:
        """Report this host as eligible from its next heartbeat on."""
        self._own_status.is_ineligible = False

    def leave(self) -> None:
        """Report this host as not eligible from its next heartbeat on."""
        self._own_status.is_ineligible = True

    def tick(
        self, now: float, targets_digest: int
    ) -> tuple[list[str], MembershipHeartbeat]:
        """Return the hosts to send the next heartbeat to, and the heartbeat."""
        self._own_status.count = max(
            self._own_status.count + 1, int(now * HEARTBEAT_COUNTS_PER_SECOND)
        )
        # Hosts that are not live get heartbeats too: they may have restarted, and two
        # zones that were cut off from each other find each other only this way.
        other_hosts = [name for name in self._addresses if name != self._name]
        recipients = self._generator.sample(
            other_hosts, min(self._fan_out, len(other_hosts))
        )
        return recipients, self._heartbeat(now, targets_digest)

    def receive(self, heartbeat: MembershipHeartbeat, now: float) -> None:
        """Apply another host's heartbeat."""
        ineligible_numbers = set(_unpack_numbers(heartbeat.ineligible_hosts))
        for number, count in zip(
            _unpack_numbers(heartbeat.hosts), heartbeat.counts, strict=False
        ):
            name = self._names_by_number.get(number)
            if name == self._name:
                self._advance_own_count(count)
            elif name is not None:
                self._update_status(name, count, number in ineligible_numbers, now)

    def _advance_own_count(self, count: int) -> None:
        # Other hosts may still have a higher count from before a restart, if the clock
        # was set back.
        counts_ahead = (count - self._own_status.count) & _COUNT_MASK
        if counts_ahead < _HALF_OF_COUNT_RANGE:
            self._own_status.count += counts_ahead

    def _update_status(
        self, name: str, count: int, is_ineligible: bool, now: float
    ) -> None:
        status = self._statuses[name]
        counts_ahead = (count - status.count) & _COUNT_MASK
        was_long_dead = now > status.live_deadline + DEAD_HOST_QUARANTINE_SECONDS
        if 0 < counts_ahead < _HALF_OF_COUNT_RANGE or was_long_dead:
            status.count = count
            status.is_ineligible = is_ineligible
            status.live_deadline = now + self._suspicion_seconds

    def _heartbeat(self, now: float, targets_digest: int) -> MembershipHeartbeat:
        numbers = array("H")
        counts = bytearray()
        ineligible_numbers = array("H")
        for name, status in self._statuses.items():
            if not self._is_live(name, now):
                continue
            numbers.append(_short_number(name))
            counts.append(status.count & _COUNT_MASK)
            if status.is_ineligible:
                ineligible_numbers.append(_short_number(name))
        return MembershipHeartbeat(
            numbers.tobytes(),
            bytes(counts),
            ineligible_numbers.tobytes(),
            targets_digest,
        )

    def _is_live(self, name: str, now: float) -> bool:
        return name == self._name or self._statuses[name].live_deadline > now


def _short_number(name: str) -> int:
    return hash_name(name) & 0xFFFF


def _unpack_numbers(data: bytes) -> array[int]:
    numbers = array("H")
    numbers.frombytes(data[: len(data) // 2 * 2])
    return numbers
