"""Merge what control hosts heard of backend servers into one list on an entry host."""

from __future__ import annotations

from collections.abc import Iterable

from kingcuppulley.backend_servers.heartbeats import Heartbeat, ServingState
from kingcuppulley.internal.rendezvous import hash_name

PREVIOUS_INSTANCE_RETENTION_SECONDS = 4.0
# Longer than any flow, so that the packets of a server that has gone are told apart.
UNUSED_TARGET_RETENTION_SECONDS = 120.0
TARGET_EVICTION_INTERVAL_SECONDS = 10.0


class RegisteredTarget:
    """Hold one life of a backend server.

    Attributes
    ----------
    packet_identity : bytes
        What a packet names, so that a server which took over an address ignores it.
    cookie : int
        The mark that packets of this server's flows carry.
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
        "changed_at",
        "packet_identity",
        "cookie",
    )

    def __init__(self, heard: Heartbeat) -> None:
        self.name = heard.name
        self.service = heard.service
        self.zone = heard.zone
        self.endpoint = (heard.host, heard.port)
        self.slots = heard.slots
        self.state = heard.state
        self.incarnation = heard.incarnation
        self.cold_deadline = 0.0
        self.changed_at = 0.0
        self.packet_identity = heard.packet_identity
        self.cookie = derive_cookie(heard.name, heard.incarnation)

    @property
    def is_eligible(self) -> bool:
        """Return whether the server may be given new flows."""
        return self.state is ServingState.READY


def derive_cookie(name: str, incarnation: int) -> int:
    """Return the mark, never 0, that every host derives alike for a server's life."""
    return (hash_name(f"{name}/{incarnation}") & 0xFFFFFFFF) or 1


class _Source:
    """Hold what one control host said in its present life."""

    __slots__ = ("instance", "change_number", "heard")

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.change_number = 0
        self.heard: dict[str, Heartbeat] = {}


class TargetRegistry:
    """Keep the backend servers that one entry host may use.

    Each control host tells only what it heard itself; the newest word wins.  What was
    heard in an earlier life of a control host holds until the servers had time to
    announce themselves again.
    """

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}
        self._orphans: list[tuple[float, dict[str, Heartbeat]]] = []
        self._targets: dict[str, RegisteredTarget] = {}
        self._by_cookie: dict[int, RegisteredTarget] = {}
        self._by_service: dict[str, list[RegisteredTarget]] = {}
        self._forget_deadline = 0.0

    @property
    def targets(self) -> Iterable[RegisteredTarget]:
        """Return every server that is known."""
        return self._targets.values()

    def of_service(self, service: str) -> list[RegisteredTarget]:
        """Return the known servers of a service."""
        return self._by_service.get(service, [])

    def by_cookie(self, cookie: int) -> RegisteredTarget | None:
        """Return the server whose flows carry a mark."""
        return self._by_cookie.get(cookie)

    def subscription_position(self, host: str) -> tuple[str, int]:
        """Return the life of a control host and its last change that are known."""
        source = self._sources.get(host)
        return (source.instance, source.change_number) if source else ("", 0)

    def update(
        self,
        host: str,
        instance: str,
        change_number: int,
        heard: list[Heartbeat],
        now: float,
        since_change_number: int = 0,
    ) -> list[RegisteredTarget]:
        """Take what a control host tells and return the servers that changed.

        `since_change_number` is the change after which its list begins: a host that has
        just started may be told what is news to its former life, and must still ask
        for the rest.
        """
        source = self._sources.get(host)
        if source is None or source.instance != instance:
            if source is not None:
                self._orphans.append(
                    (now + PREVIOUS_INSTANCE_RETENTION_SECONDS, source.heard)
                )
            source = self._sources[host] = _Source(instance)
        changed = []
        if since_change_number <= source.change_number:
            source.change_number = max(source.change_number, change_number)
        for each in heard:
            source.heard[each.name] = each
            target = self._merge(each.name, now)
            if target is not None:
                changed.append(target)
        return changed

    def tick(self, now: float) -> list[RegisteredTarget]:
        """Drop what only an earlier life of a control host has said."""
        changed = []
        while self._orphans and now >= self._orphans[0][0]:
            _, heard = self._orphans.pop(0)
            for name in heard:
                target = self._merge(name, now)
                if target is not None:
                    changed.append(target)
        if now >= self._forget_deadline:
            self._forget_deadline = now + TARGET_EVICTION_INTERVAL_SECONDS
            self._forget(now)
        return changed

    def _forget(self, now: float) -> None:
        """Drop servers that have been out of use for long."""
        for name, target in list(self._targets.items()):
            is_used = target.state in (ServingState.READY, ServingState.DRAINING)
            if is_used or now - target.changed_at < UNUSED_TARGET_RETENTION_SECONDS:
                continue
            self._remove(target)
            for source in self._sources.values():
                source.heard.pop(name, None)

    def _remove(self, target: RegisteredTarget) -> None:
        del self._targets[target.name]
        if self._by_cookie.get(target.cookie) is target:
            del self._by_cookie[target.cookie]
        self._by_service[target.service].remove(target)

    def _merge(self, name: str, now: float) -> RegisteredTarget | None:
        told = [
            source.heard[name]
            for source in self._sources.values()
            if name in source.heard
        ]
        told += [heard[name] for _, heard in self._orphans if name in heard]
        target = self._targets.get(name)
        if not told:
            if target is not None:
                target.state = ServingState.UNRESPONSIVE
                target.changed_at = now
            return target
        newest = max(told, key=_finality)
        if target is None or target.incarnation != newest.incarnation:
            return self._add(newest, now)
        has_changed = target.state is not newest.state
        if has_changed:
            target.changed_at = now
        target.state = newest.state
        target.slots = newest.slots
        target.endpoint = (newest.host, newest.port)
        # Never sooner: a zone that is back counts as cold whatever was said before.
        cold_deadline = now + newest.cold_seconds
        target.cold_deadline = max(target.cold_deadline, cold_deadline)
        return target if has_changed else None

    def _add(self, heard: Heartbeat, now: float) -> RegisteredTarget:
        target = RegisteredTarget(heard)
        target.cold_deadline = now + heard.cold_seconds
        target.changed_at = now
        earlier = self._targets.get(heard.name)
        if earlier is not None:
            self._remove(earlier)
        self._targets[heard.name] = target
        # Of two servers with an equal mark the first keeps it.
        self._by_cookie.setdefault(target.cookie, target)
        self._by_service.setdefault(target.service, []).append(target)
        return target


def _finality(heartbeat: Heartbeat) -> tuple[int, bool, int]:
    """Order words on one server: of its last life, a leave is the last word."""
    has_left = heartbeat.state is ServingState.GONE
    return (heartbeat.incarnation, has_left, heartbeat.sequence)
