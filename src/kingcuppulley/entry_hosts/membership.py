"""Agree on which entry hosts live, by heartbeats that any host passes on."""

from __future__ import annotations

import random
from array import array
from collections.abc import Iterable

import msgspec

from kingcuppulley.entry_hosts.messages import MembershipHeartbeat
from kingcuppulley.errors import KingcuppulleyError
from kingcuppulley.internal.rendezvous import hash_name

SMALL_FAN_OUT = 3
LARGE_FAN_OUT = 2
HEARTBEAT_COUNTS_PER_SECOND = 4
SMALL_DEPLOYMENT_HOSTS = 16
SMALL_HEARTBEAT_SECONDS = 0.25
SMALL_SUSPICION_SECONDS = 1.5
LARGE_HEARTBEAT_SECONDS = 0.5
LARGE_SUSPICION_SECONDS = 5.0
QUARANTINE_SECONDS = 15.0
_BEAT_MASK = 0xFF
_HALF_OF_BEATS = 0x80


class HostAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Name an entry host, its zone and where it is reached."""

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
    """Hold what this host knows of another one."""

    __slots__ = ("beat", "is_aside", "alive_until_deadline")

    def __init__(self) -> None:
        self.beat = 0
        self.is_aside = False
        self.alive_until_deadline = 0.0


class Membership:
    """Track the entry hosts of a deployment.

    Each host counts its own heartbeat up and sends the counts of all to a few others.
    A count that stands still past the suspicion time marks its host as dead.  Counts
    travel through any third host, so two hosts that cannot reach each other, but
    share a peer, still see each other live: a partial cut does not split the owners.

    A host that has just started knows nothing yet, and one that leaves soon knows
    nothing any more.  Both stand aside: they live, answer and forward, but own nothing.

    A count begins at Unix time in quarters of a second, so that it grows over restarts
    and is the incarnation as well.  At the size to design for, the counts of all hosts
    take most of what control may send, so a heartbeat carries two bytes of name and
    the lowest byte of the count for each host.  Counts of two hosts are never compared,
    so their clocks need not agree.  A byte tells newer from older within 32 seconds; a
    host that was dead for longer than the quarantine is believed whatever it counts.
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
            number = _number_of(host)
            if number in self._names_by_number:
                raise HostNameClashError(self._names_by_number[number], host)
            self._names_by_number[number] = host
        self._own = self._statuses[name]
        self._own.is_aside = True
        self._generator = generator
        self._is_small = is_small = len(self._addresses) <= SMALL_DEPLOYMENT_HOSTS
        self._fan_out = SMALL_FAN_OUT if is_small else LARGE_FAN_OUT
        self._heartbeat_seconds = (
            SMALL_HEARTBEAT_SECONDS if is_small else LARGE_HEARTBEAT_SECONDS
        )
        self._suspicion_seconds = (
            SMALL_SUSPICION_SECONDS if is_small else LARGE_SUSPICION_SECONDS
        )

    @property
    def is_small(self) -> bool:
        """Return whether the deployment has few entry hosts."""
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
        """Return the hosts that are heard of, in the order of their names."""
        return sorted(name for name in self._statuses if self._is_live(name, now))

    def eligible_hosts(self, now: float, zones_out: frozenset[str]) -> list[str]:
        """Return the live hosts that may own flows, keys and slots."""
        return [
            name
            for name in self.live_hosts(now)
            if not self._statuses[name].is_aside and self.zone_of(name) not in zones_out
        ]

    def eligible_hosts_in_zone(self, zone: str, now: float) -> list[str]:
        """Return the live hosts of one zone that do not stand aside."""
        return [
            name
            for name in self.live_hosts(now)
            if not self._statuses[name].is_aside and self.zone_of(name) == zone
        ]

    @property
    def has_joined(self) -> bool:
        """Return whether this host may own flows, keys and slots."""
        return not self._own.is_aside

    def join(self) -> None:
        """Tell the others, from the next heartbeat on, that this host may own."""
        self._own.is_aside = False

    def leave(self) -> None:
        """Tell the others, from the next heartbeat on, that this host leaves."""
        self._own.is_aside = True

    def tick(
        self, now: float, targets_digest: int
    ) -> tuple[list[str], MembershipHeartbeat]:
        """Return the hosts to send the next heartbeat to, and the heartbeat."""
        self._own.beat = max(self._own.beat + 1, int(now * HEARTBEAT_COUNTS_PER_SECOND))
        # A host that is silent gets heartbeats too: it may have come back, and two
        # zones that were cut off from each other find each other only this way.
        others = [name for name in self._addresses if name != self._name]
        chosen = self._generator.sample(others, min(self._fan_out, len(others)))
        return chosen, self._heartbeat(now, targets_digest)

    def receive(self, heartbeat: MembershipHeartbeat, now: float) -> None:
        """Take another host's heartbeat."""
        aside = set(_unpack(heartbeat.aside))
        for number, beat in zip(
            _unpack(heartbeat.hosts), heartbeat.beats, strict=False
        ):
            name = self._names_by_number.get(number)
            if name == self._name:
                self._outrun(beat)
            elif name is not None:
                self._take_beat(name, beat, number in aside, now)

    def _outrun(self, beat: int) -> None:
        # Others still hold a count from before a restart, if the clock was set back.
        ahead = (beat - self._own.beat) & _BEAT_MASK
        if ahead < _HALF_OF_BEATS:
            self._own.beat += ahead

    def _take_beat(self, name: str, beat: int, is_aside: bool, now: float) -> None:
        status = self._statuses[name]
        ahead = (beat - status.beat) & _BEAT_MASK
        was_long_dead = now > status.alive_until_deadline + QUARANTINE_SECONDS
        if 0 < ahead < _HALF_OF_BEATS or was_long_dead:
            status.beat = beat
            status.is_aside = is_aside
            status.alive_until_deadline = now + self._suspicion_seconds

    def _heartbeat(self, now: float, targets_digest: int) -> MembershipHeartbeat:
        numbers = array("H")
        beats = bytearray()
        aside = array("H")
        for name, status in self._statuses.items():
            if not self._is_live(name, now):
                continue
            numbers.append(_number_of(name))
            beats.append(status.beat & _BEAT_MASK)
            if status.is_aside:
                aside.append(_number_of(name))
        return MembershipHeartbeat(
            numbers.tobytes(), bytes(beats), aside.tobytes(), targets_digest
        )

    def _is_live(self, name: str, now: float) -> bool:
        return name == self._name or self._statuses[name].alive_until_deadline > now


def _number_of(name: str) -> int:
    return hash_name(name) & 0xFFFF


def _unpack(data: bytes) -> array[int]:
    numbers = array("H")
    numbers.frombytes(data[: len(data) // 2 * 2])
    return numbers
