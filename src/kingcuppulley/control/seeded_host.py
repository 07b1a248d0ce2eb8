"""Serve operators, backend servers and entry hosts from one control host."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from random import Random
from typing import Protocol

import msgspec

from kingcuppulley.backend_servers.heartbeats import Heartbeat, HeartbeatTable
from kingcuppulley.control.ensemble_host import EnsembleHost
from kingcuppulley.control.ensemble_messages import (
    EnsembleHostMessage,
    FetchState,
)
from kingcuppulley.control.proposer import StateCallback
from kingcuppulley.control.state import (
    RoutingState,
    Vote,
    put_configuration,
    set_zone,
)
from kingcuppulley.control.voter import VoteWriter
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    EntryHostInfo,
    FetchHosts,
    HostList,
    SubscribeToControl,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.rendezvous import hash_bytes

ANSWER_SECONDS = 0.9
FOLLOWER_SILENT_SECONDS = 1.5
FOLLOWER_FORGET_SECONDS = 10.0
COMPRESSION_LEVEL = 1
LEDGER_TICK_SECONDS = 0.2
# So many heartbeats after its start a control host has heard all that call it.
SETTLED_HEARTBEATS = 1.3


class ControlTransport(Protocol):
    """Send messages to other processes."""

    def send(self, address: str, message: object) -> None:
        """Send one message."""


class EventLog(Protocol):
    """Record what changes this process's beliefs."""

    def event(self, kind: str, **fields: object) -> None:
        """Record one event."""


class _SubscribedHost:
    """Remember what one entry host has heard."""

    __slots__ = ("info", "is_ready", "instance", "change", "heard_at")

    def __init__(self) -> None:
        self.info = EntryHostInfo("", "", False)
        self.is_ready = False
        self.instance = ""
        self.change = 0
        self.heard_at = 0.0


class ControlHost:
    """Keep what operators have accepted and what backend servers say."""

    def __init__(
        self,
        address: str,
        zone: str,
        process: str,
        vote: Vote,
        writer: VoteWriter,
        transport: ControlTransport,
        seeds: list[str],
        desired_voters: int,
        heartbeat_seconds: float,
        log: EventLog,
        metrics: Metrics,
        generator: Random,
        clock: Callable[[], float],
    ) -> None:
        self._address = address
        self._instance = process
        self._transport = transport
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._heard_at = 0.0
        self._discovery_deadline = clock() + SETTLED_HEARTBEATS * heartbeat_seconds
        self._chosen_at = 0.0
        self._heartbeat_table = HeartbeatTable(heartbeat_seconds)
        self._followers: dict[str, _SubscribedHost] = {}
        self._hosts: list[EntryHostInfo] = []
        self._hosts_digest = 0
        self._ledger_deadline = 0.0
        self._ensemble = EnsembleHost(
            address,
            zone,
            process,
            vote,
            writer,
            self,
            seeds,
            desired_voters,
            generator,
            clock(),
        )

    @property
    def ensemble(self) -> EnsembleHost:
        """Return this host's part in the agreement."""
        return self._ensemble

    def put_configuration(
        self, version: int, document: bytes, on_result: StateCallback
    ) -> None:
        """Put a configuration in force unless a higher version is."""
        current = self._ensemble.current
        if current is not None and version <= current.configuration_version:
            self._log.event(
                "order", order="configuration", version=version, outcome="overtaken"
            )
            on_result(current)
            return
        compressed = zlib.compress(document, COMPRESSION_LEVEL)
        self._order(
            put_configuration(version, compressed), on_result, "configuration", version
        )

    def set_zone(self, zone: str, in_service: bool, on_result: StateCallback) -> None:
        """Take a zone out of service or back."""
        order = "zone back" if in_service else "zone out"
        self._order(set_zone(zone, in_service), on_result, order, zone)

    def read(self, on_result: StateCallback) -> None:
        """Read the state that a quorum confirms, or None."""
        asked_at = self._clock()

        def end(state: RoutingState | None) -> None:
            self._metrics.count("reads_certain" if state else "reads_not_certain")
            self._metrics.observe_seconds("read", self._clock() - asked_at)
            on_result(state)

        self._ensemble.read(end, asked_at + ANSWER_SECONDS)

    def update_gauges(self, gauges: dict[str, float]) -> None:
        """Set the figures that are worked out when they are asked for."""
        now = self._clock()
        current = self._ensemble.current
        gauges["state_revision"] = self._ensemble.revision
        gauges["configuration_version"] = (
            current.configuration_version if current is not None else 0
        )
        gauges["seconds_since_heartbeat"] = now - self._heard_at
        gauges["seconds_since_state"] = now - self._chosen_at
        gauges["control_hosts_heard"] = len(self._ensemble.live_hosts(now))
        gauges["is_voter"] = float(self._ensemble.is_member)
        gauges["entry_hosts_followed_by"] = len(self._followers)

    def document(self, state: RoutingState | None) -> bytes | None:
        """Return the operator's configuration as it was sent, or None."""
        if state is None or not state.configuration:
            return None
        return zlib.decompress(state.configuration)

    def log_refused_configuration(self, reason: str) -> None:
        """Record an order that was refused."""
        self._log.event(
            "order", order="configuration", outcome="refused", reason=reason
        )

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat; what is news is on its way to all when this returns."""
        self._heard_at = self._clock()
        self._metrics.count("heartbeats")
        if self._heartbeat_table.receive_heartbeat(heartbeat, self._heard_at):
            self._log.event(
                "backend server heard",
                server=heartbeat.name,
                service=heartbeat.service,
                zone=heartbeat.zone,
                state=heartbeat.state.value,
                born=heartbeat.incarnation,
                sequence=heartbeat.sequence,
                cold_seconds=heartbeat.cold_seconds,
            )
            self._tell_followers()

    def deregister(self, name: str) -> None:
        """Take a backend server's leave."""
        if self._heartbeat_table.deregister(name, self._clock()):
            self._log.event("backend server left", server=name)
            self._tell_followers()

    def receive(self, address: str, message: object) -> None:
        """Take one message of another process."""
        now = self._clock()
        if isinstance(message, SubscribeToControl):
            self._take_follower(message, now)
        elif isinstance(message, FetchHosts):
            self._transport.send(address, HostList(self._hosts_digest, self._hosts))
        elif isinstance(message, FetchState):
            self._ensemble.answer_fetch(address, message)
        else:
            self._ensemble.receive(address, message, now)  # type: ignore[arg-type]

    def send(self, host: str, message: EnsembleHostMessage) -> None:
        """Send a message of the ensemble."""
        self._transport.send(host, message)

    def state_chosen(self, state: RoutingState) -> None:
        """Tell entry hosts that there is a newer state."""
        self._chosen_at = self._clock()
        self._log.event(
            "state chosen",
            revision=state.revision,
            version=state.configuration_version,
            zones_out=list(state.zones_out),
            voters=[member.host for member in state.voters.members],
            joint=state.voters.is_joint,
        )
        self._tell_followers()

    def tick(self, now: float) -> None:
        """Act on every deadline that has passed."""
        self._ensemble.tick(now)
        if now < self._ledger_deadline:
            return
        self._ledger_deadline = now + LEDGER_TICK_SECONDS
        if self._heartbeat_table.tick(now):
            self._log.event(
                "backend servers silent", change=self._heartbeat_table.change_number
            )
            self._tell_followers()
        self._forget_followers(now)

    def _order(
        self,
        change: Callable[[RoutingState], RoutingState],
        on_result: StateCallback,
        order: str,
        subject: object,
    ) -> None:
        asked_at = self._clock()

        def end(state: RoutingState | None) -> None:
            seconds = self._clock() - asked_at
            outcome = "accepted" if state is not None else "no quorum in time"
            self._metrics.count(f"orders_{outcome.replace(' ', '_')}")
            self._metrics.observe_seconds("order", seconds)
            self._log.event(
                "order",
                order=order,
                subject=subject,
                outcome=outcome,
                revision=state.revision if state is not None else None,
                seconds=round(seconds, 4),
            )
            on_result(state)

        self._ensemble.change(change, end, asked_at + ANSWER_SECONDS)

    def _take_follower(self, follow: SubscribeToControl, now: float) -> None:
        follower = self._followers.get(follow.address)
        if follower is None:
            follower = self._followers[follow.address] = _SubscribedHost()
            self._log.event("entry host heard", host=follow.address, zone=follow.zone)
        follower.heard_at = now
        follower.info = EntryHostInfo(follow.address, follow.zone, follow.is_leaving)
        follower.is_ready = follow.is_ready
        follower.instance = follow.instance
        follower.change = follow.change_number
        self._tell(follow.address, follower, now)

    def _forget_followers(self, now: float) -> None:
        for address, follower in list(self._followers.items()):
            if now - follower.heard_at > FOLLOWER_FORGET_SECONDS:
                self._log.event("entry host silent", host=address)
                del self._followers[address]
        self._list_hosts(now)

    def _list_hosts(self, now: float) -> None:
        hosts = sorted(
            (
                follower.info
                for follower in self._followers.values()
                if follower.is_ready
                and now - follower.heard_at < FOLLOWER_SILENT_SECONDS
            ),
            key=lambda info: info.address,
        )
        if hosts != self._hosts:
            self._hosts = hosts
            self._hosts_digest = hash_bytes(msgspec.msgpack.encode(hosts)) >> 1
            self._tell_followers()

    def _tell_followers(self) -> None:
        now = self._clock()
        for address, follower in self._followers.items():
            self._tell(address, follower, now)

    def _tell(self, address: str, follower: _SubscribedHost, now: float) -> None:
        since = follower.change if follower.instance == self._instance else 0
        changes = self._heartbeat_table.changes_since(since, now)
        news = ControlUpdate(
            self._address,
            self._instance,
            since,
            changes.change_number,
            changes.has_more,
            changes.targets,
            self._hosts_digest,
            [self._address, *self._ensemble.live_hosts(now)],
            self._ensemble.revision,
            round(max(0.0, self._discovery_deadline - now) * 1000),
        )
        self._transport.send(address, news)


ControlMessage = EnsembleHostMessage | SubscribeToControl | FetchHosts
