"""Apply what control hosts send and route flows on one entry host."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Protocol

from kingcuppulley.backend_servers.target_registry import (
    RegisteredTarget,
    TargetRegistry,
)
from kingcuppulley.control.content_transfer import ContentChunk
from kingcuppulley.control.ensemble_messages import ChosenState, FetchState
from kingcuppulley.control.routing_content import RoutingContent
from kingcuppulley.control.state import RoutingState
from kingcuppulley.entry_hosts.content_follower import ContentFollower
from kingcuppulley.entry_hosts.control_follower import ControlFollower
from kingcuppulley.entry_hosts.coordinator_table import CoordinatorTable
from kingcuppulley.entry_hosts.flow_log import FlowLog, KnownState
from kingcuppulley.entry_hosts.load_reporter import LoadReporter
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    FetchHostList,
    FetchHosts,
    FlowAcknowledged,
    FlowEnded,
    FlowEstablished,
    FlowRefused,
    ForwardPacket,
    HostList,
    LoadReport,
    PlaceFlow,
    RelayedUpdate,
    SourcePosition,
    SubscribeToControl,
    SubscribeToRelay,
)
from kingcuppulley.entry_hosts.state_confirmation import StateConfirmation
from kingcuppulley.errors import InvalidConfigurationError, MalformedMessageError
from kingcuppulley.fabric.cookie_router import CookieRouter, CookieTransport
from kingcuppulley.fabric.egress_queue import LOWEST_PRIORITY
from kingcuppulley.fabric.formats import PacketFormat
from kingcuppulley.fabric.placement import Placement
from kingcuppulley.fabric.server_speed import ServerSpeed
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators.routing import RoutingConfiguration, RoutingTable

if TYPE_CHECKING:
    from kingcuppulley.fabric.placement_explanation import (
        LinkState,
        PlacementExplanation,
    )

SUBSCRIPTION_INTERVAL_SECONDS = 0.25
FETCH_RETRY_INTERVAL_SECONDS = 0.15


class EntryLog(Protocol):
    """Record changes of this host's known state, and decisions about flows."""

    def event(self, kind: str, **fields: object) -> None:
        """Record one event unless the log budget is used up."""

    def event_unthrottled(self, kind: str, **fields: object) -> None:
        """Record one event even if the log budget is used up."""


class SeededEntryHost:
    """Route callers' packets on one entry host by the state that control hosts send.

    The host subscribes to a control host, which relays the updates of all of them.  It
    applies them to its routing table, target registry and coordinator table, and routes
    callers' packets by these.  `seeds` names the control hosts that it knows first.
    Unlike an `EntryHost`, it gets the lists of entry hosts and backend servers from
    control hosts alone.  `capacity` is that of `EntryHostInfo`.
    It owns no sockets: `transport` and `send` are given by the process.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        seeds: list[str],
        packet_format: PacketFormat,
        decode: Callable[[bytes], RoutingConfiguration],
        transport: CookieTransport,
        send: Callable[[str, object], None],
        metrics: Metrics,
        log: EntryLog,
        generator: Random,
        capacity: int = 0,
    ) -> None:
        self._address = address
        self._zone = zone
        self._capacity = capacity
        self._packet_format = packet_format
        self._decode = decode
        self._send = send
        self._metrics = metrics
        self._log = log
        self._control = ControlFollower(address, zone, seeds)
        self._last_update_at = 0.0
        self._revision = -1
        self._zones_out: frozenset[str] = frozenset()
        self._newest_revision = -1
        self._newest_revision_host = ""
        self._state_fetch_deadline = 0.0
        self._contents = ContentFollower(send)
        self._host_list_deadlines: dict[int, float] = {}
        self._subscription_deadline = 0.0
        self._is_leaving = False
        self._has_left = False
        self._now = 0.0
        self._routing_table = RoutingTable()
        self._registry = TargetRegistry(self._cold_seconds_of)
        self._confirmation = StateConfirmation(generator)
        self._coordinators = CoordinatorTable(address, zone)
        self._placement = Placement(
            zone,
            self._registry,
            generator,
            lambda *released: self._router.flow_released(*released),
            self._coordinators,
        )
        self._placement.choice.set_cold_start_filter(self._may_place_on_cold)
        self._placement.choice.set_slow_server_observer(self._log_slow_server)
        self._load_reporter = LoadReporter(
            address, zone, self._coordinators, self._placement.choice, send
        )
        self._router = CookieRouter(
            address,
            zone,
            packet_format,
            transport,
            self._routing_table,
            self._registry,
            self._coordinators,
            self._placement,
            metrics,
            FlowLog(log, self._known_state),
        )

    @property
    def router(self) -> CookieRouter:
        """Return the router of callers' packets."""
        return self._router

    @property
    def is_ready(self) -> bool:
        """Return whether this host should be in rotation for callers' packets."""
        return self._router.is_ready and not self._has_left

    @property
    def version(self) -> int:
        """Return the version of the active configuration, or 0 without one."""
        return self._routing_table.version

    def update_seeds(self, seeds: list[str]) -> None:
        """Use the control hosts that the settings name now."""
        self._control.update_seeds(seeds)

    def update_gauges(self, gauges: dict[str, float], now: float) -> None:
        """Set the gauges that are computed when metrics are requested."""
        gauges["configuration_version"] = self._routing_table.version
        gauges["state_revision"] = self._revision
        gauges["seconds_since_control"] = now - self._last_update_at
        gauges["control_hosts_lost"] = self._control.lost_count
        gauges["backend_servers_in_use"] = sum(
            target.is_eligible for target in self._registry.targets
        )
        gauges["backend_server_cookie_collisions"] = self._registry.cookie_collisions
        speeds = self._placement.choice.speeds
        gauges["backend_servers_slow"] = speeds.slow_count
        gauges["backend_server_slowness_max"] = round(speeds.maximum_slowness, 2)
        gauges["flows_open"] = self._placement.open_count
        gauges["flows_waiting"] = self._placement.queued_count
        gauges["is_ready"] = float(self.is_ready)

    def priority_of_route(self, key: bytes) -> int:
        """Return the priority of a route, the lowest one if the route is unknown."""
        route = self._routing_table.route(key)
        return LOWEST_PRIORITY if route is None else route.priority

    def explain_placement(
        self, flow: bytes, route_key: bytes, link: LinkState | None, now: float
    ) -> PlacementExplanation:
        """Explain where a new flow would be placed now, without placing it.

        `link` is None if the rate of the host's link is not known.
        """
        # Imported when it is needed, because entry hosts start often and on small
        # machines.
        from kingcuppulley.fabric.placement_explanation import PlacementExplainer

        explainer = PlacementExplainer(
            self._address,
            self._zone,
            self._packet_format,
            self._routing_table,
            self._coordinators,
            self._placement,
            link,
        )
        return explainer.explain(flow, route_key, self._router.is_ready, now)

    def can_leave_rotation(self, now: float) -> bool:
        """Return whether the zone's other hosts can serve its traffic."""
        return self._coordinators.can_leave_rotation(now)

    def notify_leaving(self) -> None:
        """Notify the control hosts that this host stops soon; it still serves."""
        self._is_leaving = True
        self._subscribe_to_relay()

    def leave(self) -> None:
        """Leave the rotation: `is_ready` is false from now on."""
        self._has_left = True

    def packet_from_fabric(self, packet: bytes, now: float) -> None:
        """Route one packet that a caller sent."""
        self._record_activity(now)
        self._router.packet_from_fabric(packet, now)

    def receive(self, address: str, message: object, now: float) -> None:
        """Handle one message of another process."""
        self._now = now
        self._record_activity(now)
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
                self._coordinators.record_load_report(message.zone, now)
                self._placement.choice.update_reported_loads(
                    address, message.loads, now
                )
            case RelayedUpdate():
                self._apply_relayed_updates(message, now)
            case ControlUpdate():
                self._apply_direct_update(message, now)
            case HostList():
                self._store_host_list(message, now)
            case ChosenState():
                self._apply_state(message.state, address, now)
            case ContentChunk():
                self._apply_chunk(message, address, now)
            case _:
                self._metrics.count("peer_messages_unexpected")

    def tick(self, now: float) -> None:
        """Act on every deadline that has passed."""
        self._now = now
        self._record_activity(now)
        self._update_confirmation(now)
        self._router.tick(now)
        self._request_state(now)
        if self._contents.is_fetching:
            self._contents.tick(self._control.reachable_hosts(), now)
        if now >= self._subscription_deadline:
            self._subscription_deadline = now + SUBSCRIPTION_INTERVAL_SECONDS
            self._change_relay(now)
            self._subscribe_to_relay()
            for host in self._control.hosts_to_subscribe(
                now, SUBSCRIPTION_INTERVAL_SECONDS
            ):
                self._subscribe(host)
            self._handle_lost_control_hosts(now)
            self._log_changed_targets(self._registry.tick(now))
        if self._load_reporter.is_due(now):
            self._update_placement_zones(now)
            self._load_reporter.send(self._routing_table.service_names(), now)

    def _record_activity(self, now: float) -> None:
        """Treat all servers as cold after a pause until the state is confirmed."""
        if self._confirmation.record_activity(now):
            self._log.event_unthrottled("paused", revision=self._revision)
            self._update_confirmation(now)
            self._subscribe_to_relay()

    def _update_confirmation(self, now: float) -> None:
        is_pending = self._confirmation.is_pending(self._revision, now)
        self._placement.choice.set_state_pending(is_pending)

    def _change_relay(self, now: float) -> None:
        """Follow another control host if that is better now."""
        previous_relay = self._control.relay
        if self._control.choose_relay(now) == previous_relay:
            return
        self._subscribe_to_relay()
        if previous_relay is not None:
            # A direct subscription ends the one to a relay.
            self._subscribe(previous_relay)

    def _subscribe_to_relay(self) -> None:
        relay = self._control.relay
        if relay is None:
            return
        positions = [
            SourcePosition(host, *self._registry.subscription_position(host))
            for host in self._control.statuses
        ]
        subscription = SubscribeToRelay(
            self._address,
            self._zone,
            self._router.is_ready,
            self._is_leaving,
            [position for position in positions if position.instance],
            self._capacity,
            self._confirmation.number,
        )
        self._send(relay, subscription)

    def _subscribe(self, host: str) -> None:
        instance, change_number = self._registry.subscription_position(host)
        subscription = SubscribeToControl(
            self._address,
            self._zone,
            self._router.is_ready,
            self._is_leaving,
            instance,
            change_number,
            self._capacity,
        )
        self._send(host, subscription)

    def _handle_lost_control_hosts(self, now: float) -> None:
        for host in self._control.expire(now):
            if host == self._newest_revision_host:
                # A control host that has that state too reports it in its next update.
                self._newest_revision = self._revision
            self._log.event_unthrottled("control host lost", control=host)
        for host in self._control.remove_departed(now):
            self._log_changed_targets(self._registry.remove_source(host, now))

    def _apply_relayed_updates(self, message: RelayedUpdate, now: float) -> None:
        relay_update = message.updates[0]
        relay = relay_update.host
        self._control.record_relayed(relay, relay_update.instance, now)
        for update, age_ms in zip(message.updates, message.ages_ms, strict=False):
            self._apply_update(update, now - age_ms / 1000, now)
            self._request_host_list(update, relay, True, now)
        if any(update.has_more for update in message.updates):
            self._subscribe_to_relay()
        self._confirmation.receive_answer(
            message.answered_number, relay_update.revision
        )
        self._update_confirmation(now)
        self._change_relay(now)
        self._finish_update(now)

    def _apply_direct_update(self, update: ControlUpdate, now: float) -> None:
        self._apply_update(update, now, now)
        self._control.record_direct(update.host)
        self._change_relay(now)
        self._request_host_list(update, update.host, False, now)
        if update.has_more and not self._control.has_relay(now):
            self._subscribe(update.host)
        self._finish_update(now)

    def _apply_update(
        self, update: ControlUpdate, received_at: float, now: float
    ) -> None:
        """Apply an update that arrived at `received_at`, here or at the relay."""
        if self._control.record_received(update.host, received_at, now):
            self._log.event_unthrottled("control host reachable", control=update.host)
        if self._registry.is_outdated(
            update.host, update.instance, update.change_number, received_at
        ):
            self._metrics.count("updates_outdated")
            return
        self._last_update_at = now
        self._control.add(update.control_hosts, now)
        self._control.record_relay_zone(update.host, update.relay_zone)
        changed_targets = self._registry.update(
            update.host,
            update.instance,
            update.change_number,
            update.targets,
            now,
            update.since_change_number,
            received_at,
        )
        self._log_changed_targets(changed_targets)
        self._placement.set_discovery_deadline(
            now + update.discovery_remaining_ms / 1000
        )
        status = self._control.statuses[update.host]
        if received_at >= status.received_at:
            status.record_digest(update.hosts_digest, received_at)
        if update.revision > self._newest_revision:
            self._newest_revision = update.revision
            self._newest_revision_host = update.host
            self._state_fetch_deadline = now

    def _finish_update(self, now: float) -> None:
        self._update_entry_hosts(now)
        self._request_state(now)
        self._update_readiness()

    def _request_state(self, now: float) -> None:
        """Request the newest state, and repeat the request until it arrives."""
        if self._newest_revision > self._revision and now >= self._state_fetch_deadline:
            self._state_fetch_deadline = now + FETCH_RETRY_INTERVAL_SECONDS
            self._send(self._newest_revision_host, FetchState(self._revision))

    def _request_host_list(
        self, update: ControlUpdate, sender: str, is_relayed: bool, now: float
    ) -> None:
        """Request the list of entry hosts of an update, unless it is known."""
        digest = update.hosts_digest
        status = self._control.statuses.get(update.host)
        if status is None or digest in (0, status.stored_digest):
            return
        if now < self._host_list_deadlines.get(digest, 0.0):
            return
        for other, deadline in list(self._host_list_deadlines.items()):
            if now >= deadline:
                del self._host_list_deadlines[other]
        self._host_list_deadlines[digest] = now + FETCH_RETRY_INTERVAL_SECONDS
        self._send(sender, FetchHostList(digest) if is_relayed else FetchHosts())

    def _store_host_list(self, host_list: HostList, now: float) -> None:
        self._host_list_deadlines.pop(host_list.digest, None)
        for status in self._control.statuses.values():
            if status.hosts_digest == host_list.digest:
                status.store_hosts(host_list.hosts, now)
        self._update_entry_hosts(now)

    def _update_entry_hosts(self, now: float) -> None:
        """Use the entry hosts that any control host has listed lately."""
        hosts = self._control.listed_hosts(now)
        if hosts:
            # The previous hosts stay in use while no list is known.
            self._coordinators.update(hosts, now)

    def _log_changed_targets(self, targets: list[RegisteredTarget]) -> None:
        for target in targets:
            self._log.event(
                "backend server",
                server=target.name,
                service=target.service,
                zone=target.zone,
                state=target.state.value,
                born=target.incarnation,
            )

    def _log_slow_server(self, target: RegisteredTarget, speed: ServerSpeed) -> None:
        self._log.event(
            "backend server slow" if speed.is_slow else "backend server not slow",
            server=target.name,
            service=target.service,
            zone=target.zone,
            slowness=round(speed.slowness, 2),
        )

    def _apply_state(self, state: RoutingState, source: str, now: float) -> None:
        """Apply a state; a large configuration takes effect once it has arrived."""
        if state.revision <= self._revision:
            return
        is_newer = state.configuration_version > self._routing_table.version
        if state.content_reference is None:
            if is_newer and not self._update_routes(state, state.inline_content):
                return
            self._contents.stop()
        elif is_newer:
            self._contents.follow(state, source, now)
        self._revision = state.revision
        zones_out = frozenset(state.zones_out)
        for zone in self._zones_out - zones_out:
            # States that control hosts of an earlier build proposed name no returns.
            self._registry.record_zone_return(
                zone, state.zone_return_revision(zone) or state.revision, now
            )
        for zone_return in state.zone_returns:
            self._registry.record_zone_return(
                zone_return.zone, zone_return.revision, now
            )
        self._zones_out = zones_out
        self._update_placement_zones(now)
        self._update_confirmation(now)
        self._log.event_unthrottled(
            "state in force",
            revision=state.revision,
            version=self._routing_table.version,
            zones_out=sorted(zones_out),
        )
        self._update_readiness()

    def _apply_chunk(self, chunk: ContentChunk, source: str, now: float) -> None:
        try:
            completed = self._contents.receive(chunk, source, now)
        except MalformedMessageError as error:
            self._record_malformed_state(error)
            return
        if completed is None:
            return
        state, content = completed
        if self._update_routes(state, content):
            self._log.event_unthrottled(
                "configuration in force",
                revision=state.revision,
                version=self._routing_table.version,
            )
            self._update_readiness()

    def _update_routes(self, state: RoutingState, content: RoutingContent) -> bool:
        """Activate the configuration of a state, or return False if it is malformed."""
        try:
            document = content.document
            if document is not None:
                self._routing_table.update(
                    self._decode(document), content.earlier_services
                )
        except (MalformedMessageError, InvalidConfigurationError) as error:
            self._record_malformed_state(error)
            return False
        return True

    def _record_malformed_state(self, error: Exception) -> None:
        self._metrics.count("states_malformed")
        self._log.event("state malformed", reason=str(error))

    def _cold_seconds_of(self, name: str) -> float:
        service = self._routing_table.service(name)
        return service.cold_seconds if service is not None else 0.0

    def _update_placement_zones(self, now: float) -> None:
        self._placement.choice.update_zones(
            self._zones_out, self._coordinators.unreachable_zones(now)
        )

    def _known_state(self) -> KnownState:
        age = self._now - self._last_update_at
        return KnownState(self._routing_table.version, self._revision, age)

    def _update_readiness(self) -> None:
        if self._router.is_ready or not self._routing_table.version:
            return
        if any(target.is_eligible for target in self._registry.targets):
            self._router.is_ready = True
            self._log.event_unthrottled("ready", version=self._routing_table.version)
            self._subscription_deadline = self._now

    def _may_place_on_cold(self, target: RegisteredTarget) -> bool:
        share = self._placement.choice.shares.share_of_server(target)
        coordinator = self._coordinators.coordinator(
            target.zone, target.service, self._now, share
        )
        return coordinator == self._address
