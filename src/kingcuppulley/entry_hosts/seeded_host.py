"""Follow control hosts and carry flows on one entry host."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from random import Random
from typing import Protocol

from kingcuppulley.backend_servers.target_registry import (
    RegisteredTarget,
    TargetRegistry,
)
from kingcuppulley.control.ensemble_messages import ChosenState, FetchState
from kingcuppulley.control.state import RoutingState
from kingcuppulley.entry_hosts.coordinator_table import CoordinatorTable
from kingcuppulley.entry_hosts.flow_log import FlowLog, KnownState
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    EntryHostInfo,
    FetchHosts,
    FlowAcknowledged,
    FlowEnded,
    FlowEstablished,
    FlowRefused,
    ForwardPacket,
    HostList,
    LoadReport,
    PlaceFlow,
    SubscribeToControl,
)
from kingcuppulley.fabric.cookie_router import CookieRouter, CookieTransport
from kingcuppulley.fabric.formats import PacketFormat
from kingcuppulley.fabric.placement import Placement
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators.routing import RoutingConfiguration, RoutingTable

SUBSCRIPTION_INTERVAL_SECONDS = 0.25
FULL_RATE_MAXIMUM_CONTROL_HOSTS = 3
LOAD_REPORT_INTERVAL_SECONDS = 0.1
FETCH_AGAIN_SECONDS = 0.15
SOURCE_SILENT_SECONDS = 1.0
FORGET_SOURCE_SECONDS = 30.0
COLD_SLACK_SECONDS = 0.5


class EntryLog(Protocol):
    """Record what changes the known state of this host, and decisions about flows."""

    def event(self, kind: str, **fields: object) -> None:
        """Record one event."""

    def always(self, kind: str, **fields: object) -> None:
        """Record one event whatever the budget."""


class _Source:
    """Remember when a control host was heard."""

    __slots__ = ("heard_at", "hosts_digest", "is_lost")

    def __init__(self) -> None:
        self.heard_at = float("-inf")
        self.hosts_digest = 0
        self.is_lost = True


class SeededEntryHost:
    """Keep what one entry host knows, and route by it."""

    def __init__(
        self,
        address: str,
        zone: str,
        seeds: list[str],
        packets: PacketFormat,
        decode: Callable[[bytes], RoutingConfiguration],
        transport: CookieTransport,
        send: Callable[[str, object], None],
        metrics: Metrics,
        log: EntryLog,
        generator: Random,
    ) -> None:
        self._address = address
        self._zone = zone
        self._seeds = seeds
        self._decode = decode
        self._send = send
        self._metrics = metrics
        self._log = log
        self._sources: dict[str, _Source] = {}
        self._control_heard_at = 0.0
        self._revision = -1
        self._zones_out: frozenset[str] = frozenset()
        self._newest_revision = -1
        self._newest_at = ""
        self._fetch_deadline = 0.0
        self._host_lists: dict[int, list[EntryHostInfo]] = {}
        self._hosts_deadline = 0.0
        self._subscription_deadline = 0.0
        self._report_deadline = 0.0
        self._is_leaving = False
        self._has_left = False
        self._now = 0.0
        self._table = RoutingTable()
        self._registry = TargetRegistry()
        self._coordinators = CoordinatorTable(address, zone)
        self._placement = Placement(
            zone,
            self._registry,
            generator,
            lambda *held: self._router.flow_released(*held),
        )
        self._placement.set_cold_start_filter(self._may_place_cold)
        self._router = CookieRouter(
            address,
            zone,
            packets,
            transport,
            self._table,
            self._registry,
            self._coordinators,
            self._placement,
            metrics,
            FlowLog(log, self._known_state),
        )

    @property
    def router(self) -> CookieRouter:
        """Return what routes packets."""
        return self._router

    @property
    def is_ready(self) -> bool:
        """Return whether callers' packets should come here."""
        return self._router.is_ready and not self._has_left

    @property
    def version(self) -> int:
        """Return the configuration's version in force."""
        return self._table.version

    def update_seeds(self, seeds: list[str]) -> None:
        """Take the control hosts that the settings name now."""
        self._seeds = seeds

    def update_gauges(self, gauges: dict[str, float], now: float) -> None:
        """Set the figures that are worked out when they are asked for."""
        gauges["configuration_version"] = self._table.version
        gauges["state_revision"] = self._revision
        gauges["seconds_since_control"] = now - self._control_heard_at
        gauges["control_hosts_lost"] = sum(s.is_lost for s in self._sources.values())
        gauges["backend_servers_in_use"] = sum(
            target.is_eligible for target in self._registry.targets
        )
        gauges["flows_open"] = self._placement.open_count
        gauges["flows_waiting"] = self._placement.queued_count
        gauges["is_ready"] = float(self.is_ready)

    def can_leave_rotation(self, now: float) -> bool:
        """Return whether the zone's other hosts can carry its traffic."""
        return self._coordinators.can_leave_rotation(now)

    def announce_leaving(self) -> None:
        """Tell the others that this host stops soon; it still serves."""
        self._is_leaving = True
        self._subscribe_to_all()

    def leave(self) -> None:
        """Leave the rotation."""
        self._has_left = True

    def receive(self, address: str, message: object, now: float) -> None:
        """Take one message of another process."""
        self._now = now
        match message:
            case ForwardPacket():
                self._router.forward_for_host(message.packet, now)
            case PlaceFlow():
                self._router.place_for_host(address, message, now)
            case FlowAcknowledged():
                self._router.flow_acknowledged(message)
            case FlowRefused():
                self._router.flow_refused(address, message)
            case FlowEstablished():
                self._router.flow_established(message, now)
            case FlowEnded():
                self._router.flow_ended(message, now)
            case LoadReport():
                self._coordinators.record_zone_report(message.zone, now)
                self._placement.update_reported_loads(address, message.loads, now)
            case ControlUpdate():
                self._apply_update(message, now)
            case HostList():
                self._take_hosts(message, now)
            case ChosenState():
                self._take_state(message.state, now)
            case _:
                self._metrics.count("peer_messages_unexpected")

    def tick(self, now: float) -> None:
        """Act on every deadline that has passed."""
        self._now = now
        self._router.tick(now)
        self._fetch_state(now)
        if now >= self._subscription_deadline:
            # The messages of a host grow with control hosts only up to this many.
            stretch = max(1.0, len(self._sources) / FULL_RATE_MAXIMUM_CONTROL_HOSTS)
            self._subscription_deadline = now + SUBSCRIPTION_INTERVAL_SECONDS * stretch
            self._subscribe_to_all()
            self._note_lost(now)
            self._changed(self._registry.tick(now))
        if now >= self._report_deadline:
            self._report_deadline = now + LOAD_REPORT_INTERVAL_SECONDS
            self._report(now)

    def _subscribe_to_all(self) -> None:
        for host in {*self._seeds, *self._sources}:
            self._subscribe(host)

    def _subscribe(self, host: str) -> None:
        instance, change_number = self._registry.subscription_position(host)
        subscription = SubscribeToControl(
            self._address,
            self._zone,
            self._router.is_ready,
            self._is_leaving,
            instance,
            change_number,
        )
        self._send(host, subscription)

    def _note_lost(self, now: float) -> None:
        for host, source in list(self._sources.items()):
            silence = now - source.heard_at
            if silence > FORGET_SOURCE_SECONDS and host not in self._seeds:
                del self._sources[host]
            elif silence > SOURCE_SILENT_SECONDS and not source.is_lost:
                source.is_lost = True
                if host == self._newest_at:
                    # Whoever else has that state says so in its next update.
                    self._newest_revision = self._revision
                self._log.always("control host lost", control=host)

    def _apply_update(self, update: ControlUpdate, now: float) -> None:
        source = self._sources.get(update.host)
        if source is None:
            source = self._sources[update.host] = _Source()
        if source.is_lost:
            source.is_lost = False
            self._log.always("control host heard", control=update.host)
        source.heard_at = now
        self._control_heard_at = now
        for host in update.control_hosts:
            if host not in self._sources:
                self._sources[host] = _Source()
        changed = self._registry.update(
            update.host,
            update.instance,
            update.change_number,
            update.targets,
            now,
            update.since_change_number,
        )
        self._changed(changed)
        if update.has_more:
            self._subscribe(update.host)
        self._placement.set_discovery_deadline(
            now + update.discovery_remaining_ms / 1000
        )
        source.hosts_digest = update.hosts_digest
        self._fetch_hosts(update, now)
        if update.revision > self._newest_revision:
            self._newest_revision = update.revision
            self._newest_at = update.host
            self._fetch_deadline = now
        self._fetch_state(now)
        self._judge_ready()

    def _fetch_state(self, now: float) -> None:
        """Ask for the newest state until it arrives."""
        if self._newest_revision > self._revision and now >= self._fetch_deadline:
            self._fetch_deadline = now + FETCH_AGAIN_SECONDS
            self._send(self._newest_at, FetchState(self._revision))

    def _fetch_hosts(self, update: ControlUpdate, now: float) -> None:
        """Fetch a list of entry hosts that no control host has sent yet."""
        digest = update.hosts_digest
        if digest and digest not in self._host_lists and now >= self._hosts_deadline:
            self._hosts_deadline = now + FETCH_AGAIN_SECONDS
            self._send(update.host, FetchHosts())
        self._use_hosts(now)

    def _take_hosts(self, hosts: HostList, now: float) -> None:
        self._host_lists[hosts.digest] = hosts.hosts
        self._use_hosts(now)

    def _use_hosts(self, now: float) -> None:
        """Use the entry hosts that any control host within reach has heard of."""
        digests = {
            source.hosts_digest
            for source in self._sources.values()
            if now - source.heard_at < SOURCE_SILENT_SECONDS
        }
        known = {d: self._host_lists[d] for d in digests if d in self._host_lists}
        if not known:
            # Until a newer list arrives the former one serves.
            return
        self._host_lists = known
        hosts = {info.address: info for each in known.values() for info in each}
        self._coordinators.update(list(hosts.values()), now)

    def _changed(self, targets: list[RegisteredTarget]) -> None:
        for target in targets:
            self._log.event(
                "backend server",
                server=target.name,
                service=target.service,
                zone=target.zone,
                state=target.state.value,
                born=target.incarnation,
            )

    def _take_state(self, state: RoutingState, now: float) -> None:
        if state.revision <= self._revision:
            return
        self._revision = state.revision
        if state.configuration and state.configuration_version > self._table.version:
            self._table.update(self._decode(zlib.decompress(state.configuration)))
        zones_out = frozenset(state.zones_out)
        self._cool(self._zones_out - zones_out, now)
        self._zones_out = zones_out
        self._use_zones(now)
        self._log.always(
            "state in force",
            revision=state.revision,
            version=self._table.version,
            zones_out=sorted(zones_out),
        )
        self._judge_ready()

    def _cool(self, zones: frozenset[str], now: float) -> None:
        """Treat servers of zones that are back as cold, whatever they last said."""
        for target in self._registry.targets:
            if target.zone in zones:
                service = self._table.service(target.service)
                seconds = service.cold_seconds if service is not None else 0.0
                deadline = now + seconds + COLD_SLACK_SECONDS
                target.cold_deadline = max(target.cold_deadline, deadline)

    def _use_zones(self, now: float) -> None:
        self._placement.update_zones(
            self._zones_out, self._coordinators.unreachable_zones(now)
        )

    def _known_state(self) -> KnownState:
        age = self._now - self._control_heard_at
        return KnownState(self._table.version, self._revision, age)

    def _judge_ready(self) -> None:
        if self._router.is_ready or not self._table.version:
            return
        if any(target.is_eligible for target in self._registry.targets):
            self._router.is_ready = True
            self._log.always("ready", version=self._table.version)
            self._subscription_deadline = self._now

    def _may_place_cold(self, target: RegisteredTarget) -> bool:
        coordinator = self._coordinators.coordinator(
            target.zone, target.service, self._now
        )
        return coordinator == self._address

    def _report(self, now: float) -> None:
        self._use_zones(now)
        loads = self._placement.own_loads()
        services = self._table.service_names()
        is_coordinator = any(
            self._coordinators.coordinator(self._zone, service, now) == self._address
            for service in services
        )
        if not loads and not is_coordinator:
            return
        readers = {
            self._coordinators.coordinator(zone, service, now)
            for zone in {*self._coordinators.other_zones(), self._zone}
            for service in services
        }
        report = LoadReport(self._zone, loads)
        for reader in readers:
            if reader is not None and reader != self._address:
                self._send(reader, report)
