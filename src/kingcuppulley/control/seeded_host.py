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

OPERATION_TIMEOUT_SECONDS = 0.9
# Time without a subscribe message after which an entry host no longer counts as ready.
SUBSCRIPTION_TIMEOUT_SECONDS = 1.5
# Time without a subscribe message after which an entry host gets no more updates.
SUBSCRIPTION_RETENTION_SECONDS = 10.0
# Level of zlib, from 1 (fastest) to 9 (smallest).
COMPRESSION_LEVEL = 1
HEARTBEAT_CHECK_INTERVAL_SECONDS = 0.2
# In this many heartbeat intervals after its start, a control host receives a heartbeat
# from every backend server that sends heartbeats to it.
DISCOVERY_HEARTBEAT_INTERVALS = 1.3


class ControlTransport(Protocol):
    """Send messages to other processes."""

    def send(self, address: str, message: object) -> None:
        """Send one message to the process at an address."""


class ControlLog(Protocol):
    """Log changes of this process's known state."""

    def event(self, kind: str, **fields: object) -> None:
        """Log one event with its fields."""


class _SubscribedHost:
    """Hold an entry host's last subscription.

    `change_number` is the last change that the host has received from the control host
    process `instance`.
    """

    __slots__ = ("info", "is_ready", "instance", "change_number", "last_received_at")

    def __init__(self) -> None:
        self.info = EntryHostInfo("", "", False)
        self.is_ready = False
        self.instance = ""
        self.change_number = 0
        self.last_received_at = 0.0


class SeededControlHost:
    """Serve accepted operator changes and backend servers' states to entry hosts.

    Operator changes are proposed to the ensemble of control hosts.  An entry host
    subscribes, and receives an update when the routing state, a backend server or the
    list of ready entry hosts changes.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        instance: str,
        vote: Vote,
        writer: VoteWriter,
        transport: ControlTransport,
        seeds: list[str],
        desired_voters: int,
        heartbeat_seconds: float,
        log: ControlLog,
        metrics: Metrics,
        generator: Random,
        clock: Callable[[], float],
    ) -> None:
        self._address = address
        self._instance = instance
        self._transport = transport
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._last_heartbeat_at = 0.0
        self._discovery_deadline = (
            clock() + DISCOVERY_HEARTBEAT_INTERVALS * heartbeat_seconds
        )
        self._state_chosen_at = 0.0
        self._heartbeat_table = HeartbeatTable(heartbeat_seconds)
        self._subscribed_hosts: dict[str, _SubscribedHost] = {}
        self._ready_hosts: list[EntryHostInfo] = []
        self._ready_hosts_digest = 0
        self._heartbeat_check_deadline = 0.0
        self._ensemble = EnsembleHost(
            address,
            zone,
            instance,
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
        """Return this host's voter and proposer in the ensemble."""
        return self._ensemble

    def put_configuration(
        self, version: int, document: bytes, on_result: StateCallback
    ) -> None:
        """Activate a configuration unless its version or a higher one is active."""
        current = self._ensemble.current
        if current is not None and version <= current.configuration_version:
            self._log.event(
                "order", order="configuration", version=version, outcome="superseded"
            )
            on_result(current)
            return
        compressed = zlib.compress(document, COMPRESSION_LEVEL)
        self._propose_change(
            put_configuration(version, compressed), on_result, "configuration", version
        )

    def set_zone(self, zone: str, in_service: bool, on_result: StateCallback) -> None:
        """Take a zone out of service, or put it back into service."""
        change_kind = "zone back" if in_service else "zone out"
        self._propose_change(set_zone(zone, in_service), on_result, change_kind, zone)

    def read(self, on_result: StateCallback) -> None:
        """Read the state that a quorum confirms.

        `on_result` receives the state, or None after `OPERATION_TIMEOUT_SECONDS`.
        """
        requested_at = self._clock()

        def record_result(state: RoutingState | None) -> None:
            self._metrics.count("reads_certain" if state else "reads_not_certain")
            self._metrics.observe_seconds("read", self._clock() - requested_at)
            on_result(state)

        self._ensemble.read(record_result, requested_at + OPERATION_TIMEOUT_SECONDS)

    def update_gauges(self, gauges: dict[str, float]) -> None:
        """Set the gauges that are computed when metrics are requested."""
        now = self._clock()
        current = self._ensemble.current
        gauges["state_revision"] = self._ensemble.revision
        gauges["configuration_version"] = (
            current.configuration_version if current is not None else 0
        )
        gauges["seconds_since_heartbeat"] = now - self._last_heartbeat_at
        gauges["seconds_since_state"] = now - self._state_chosen_at
        gauges["control_hosts_heard"] = len(self._ensemble.live_hosts(now))
        gauges["is_voter"] = float(self._ensemble.is_member)
        gauges["entry_hosts_followed_by"] = len(self._subscribed_hosts)

    def document(self, state: RoutingState | None) -> bytes | None:
        """Return the configuration in a state, as the operator sent it, or None."""
        if state is None or not state.configuration:
            return None
        return zlib.decompress(state.configuration)

    def log_refused_configuration(self, reason: str) -> None:
        """Log a configuration that was refused as invalid."""
        self._log.event(
            "order", order="configuration", outcome="refused", reason=reason
        )

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat.

        If it is a change, updates to subscribed hosts are sent before this returns.
        """
        self._last_heartbeat_at = self._clock()
        self._metrics.count("heartbeats")
        if self._heartbeat_table.receive_heartbeat(heartbeat, self._last_heartbeat_at):
            self._log.event(
                "backend server heartbeat",
                server=heartbeat.name,
                service=heartbeat.service,
                zone=heartbeat.zone,
                state=heartbeat.state.value,
                born=heartbeat.incarnation,
                sequence=heartbeat.sequence,
                cold_seconds=heartbeat.cold_remaining_seconds,
            )
            self._send_updates()

    def deregister(self, name: str) -> None:
        """Mark a backend server that leaves as gone, and notify subscribed hosts."""
        if self._heartbeat_table.deregister(name, self._clock()):
            self._log.event("backend server left", server=name)
            self._send_updates()

    def receive(self, address: str, message: object) -> None:
        """Process a message from another process."""
        now = self._clock()
        if isinstance(message, SubscribeToControl):
            self._handle_subscription(message, now)
        elif isinstance(message, FetchHosts):
            self._transport.send(
                address, HostList(self._ready_hosts_digest, self._ready_hosts)
            )
        elif isinstance(message, FetchState):
            self._ensemble.answer_fetch(address, message)
        else:
            self._ensemble.receive(address, message, now)  # type: ignore[arg-type]

    def send(self, host: str, message: EnsembleHostMessage) -> None:
        """Send an ensemble message to another control host."""
        self._transport.send(host, message)

    def state_chosen(self, state: RoutingState) -> None:
        """Log a newly chosen state, and notify subscribed hosts of its revision."""
        self._state_chosen_at = self._clock()
        self._log.event(
            "state chosen",
            revision=state.revision,
            version=state.configuration_version,
            zones_out=list(state.zones_out),
            voters=[member.host for member in state.voters.members],
            joint=state.voters.is_joint,
        )
        self._send_updates()

    def tick(self, now: float) -> None:
        """Process every deadline that has passed."""
        self._ensemble.tick(now)
        if now < self._heartbeat_check_deadline:
            return
        self._heartbeat_check_deadline = now + HEARTBEAT_CHECK_INTERVAL_SECONDS
        if self._heartbeat_table.tick(now):
            self._log.event(
                "backend servers timed out", change=self._heartbeat_table.change_number
            )
            self._send_updates()
        self._remove_expired_hosts(now)

    def _propose_change(
        self,
        change: Callable[[RoutingState], RoutingState],
        on_result: StateCallback,
        change_kind: str,
        subject: object,
    ) -> None:
        requested_at = self._clock()

        def record_result(state: RoutingState | None) -> None:
            seconds = self._clock() - requested_at
            outcome = "accepted" if state is not None else "no quorum in time"
            self._metrics.count(f"orders_{outcome.replace(' ', '_')}")
            self._metrics.observe_seconds("order", seconds)
            self._log.event(
                "order",
                order=change_kind,
                subject=subject,
                outcome=outcome,
                revision=state.revision if state is not None else None,
                seconds=round(seconds, 4),
            )
            on_result(state)

        self._ensemble.change(
            change, record_result, requested_at + OPERATION_TIMEOUT_SECONDS
        )

    def _handle_subscription(
        self, subscription: SubscribeToControl, now: float
    ) -> None:
        host = self._subscribed_hosts.get(subscription.address)
        if host is None:
            host = self._subscribed_hosts[subscription.address] = _SubscribedHost()
            self._log.event(
                "entry host subscribed",
                host=subscription.address,
                zone=subscription.zone,
            )
        host.last_received_at = now
        host.info = EntryHostInfo(
            subscription.address, subscription.zone, subscription.is_leaving
        )
        host.is_ready = subscription.is_ready
        host.instance = subscription.instance
        host.change_number = subscription.change_number
        self._send_update(subscription.address, host, now)

    def _remove_expired_hosts(self, now: float) -> None:
        for address, host in list(self._subscribed_hosts.items()):
            if now - host.last_received_at > SUBSCRIPTION_RETENTION_SECONDS:
                self._log.event("entry host timed out", host=address)
                del self._subscribed_hosts[address]
        self._update_ready_hosts(now)

    def _update_ready_hosts(self, now: float) -> None:
        hosts = sorted(
            (
                host.info
                for host in self._subscribed_hosts.values()
                if host.is_ready
                and now - host.last_received_at < SUBSCRIPTION_TIMEOUT_SECONDS
            ),
            key=lambda info: info.address,
        )
        if hosts != self._ready_hosts:
            self._ready_hosts = hosts
            self._ready_hosts_digest = hash_bytes(msgspec.msgpack.encode(hosts)) >> 1
            self._send_updates()

    def _send_updates(self) -> None:
        now = self._clock()
        for address, host in self._subscribed_hosts.items():
            self._send_update(address, host, now)

    def _send_update(self, address: str, host: _SubscribedHost, now: float) -> None:
        since_change_number = (
            host.change_number if host.instance == self._instance else 0
        )
        changes = self._heartbeat_table.changes_since(since_change_number, now)
        update = ControlUpdate(
            self._address,
            self._instance,
            since_change_number,
            changes.change_number,
            changes.has_more,
            changes.targets,
            self._ready_hosts_digest,
            [self._address, *self._ensemble.live_hosts(now)],
            self._ensemble.revision,
            round(max(0.0, self._discovery_deadline - now) * 1000),
        )
        self._transport.send(address, update)


ControlMessage = EnsembleHostMessage | SubscribeToControl | FetchHosts
