"""Serve operators, backend servers and entry hosts from one control host."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from kingcuppulley.backend_servers.heartbeat_table import HeartbeatTable
from kingcuppulley.backend_servers.heartbeats import Heartbeat
from kingcuppulley.control.awaited_requests import AwaitedRequests, Caller
from kingcuppulley.control.configuration_publisher import ConfigurationPublisher
from kingcuppulley.control.configuration_reader import ConfigurationReader, ControlLog
from kingcuppulley.control.content_store import ContentStore
from kingcuppulley.control.ensemble_host import EnsembleHost
from kingcuppulley.control.ensemble_messages import (
    EnsembleHostMessage,
    FetchState,
)
from kingcuppulley.control.news import News, classify
from kingcuppulley.control.proposer import StateCallback
from kingcuppulley.control.receipt_history import ReceiptHistory
from kingcuppulley.control.relayed_sources import RelayedSources
from kingcuppulley.control.state import RoutingState, Vote, set_zone
from kingcuppulley.control.update_sender import (
    Subscriber,
    UpdateSender,
    UpdateTransport,
)
from kingcuppulley.control.update_source import UpdateSource
from kingcuppulley.control.voter import VoteWriter
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    EntryHostInfo,
    FetchHostList,
    FetchHosts,
    HostList,
    SourcePosition,
    SubscribeToControl,
    SubscribeToRelay,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.operators.routing import RoutingConfiguration

OPERATION_TIMEOUT_SECONDS = 0.9
# Time without a subscribe message after which an entry host no longer counts as ready.
SUBSCRIPTION_TIMEOUT_SECONDS = 1.5
# Time without a subscribe message after which an entry host gets no more updates.
SUBSCRIPTION_RETENTION_SECONDS = 10.0
HEARTBEAT_CHECK_INTERVAL_SECONDS = 0.2
# Pause between writes of the list of servers, which a release changes once a second.
SERVER_LIST_INTERVAL_SECONDS = 1.0
# In this many heartbeat intervals after its start, a control host receives a heartbeat
# from every backend server that sends heartbeats to it.
DISCOVERY_HEARTBEAT_INTERVALS = 1.3


# Names of servers, with their incarnation, address and port.
ServerIdentities = frozenset[tuple[str, int, str, int]]


class SeededControlHost:
    """Serve accepted operator changes and backend servers' states to entry hosts.

    Operator changes are proposed to the ensemble of control hosts.  An entry host
    subscribes, and receives an update when the routing state, a backend server or the
    list of ready entry hosts changes.  The control hosts subscribe to each other, so
    that each can relay the updates of all of them to the entry hosts of its zone.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        instance: str,
        vote: Vote,
        writer: VoteWriter,
        transport: UpdateTransport,
        seeds: list[str],
        desired_voters: int,
        heartbeat_seconds: float,
        decode: Callable[[bytes], RoutingConfiguration],
        log: ControlLog,
        metrics: Metrics,
        generator: Random,
        clock: Callable[[], float],
        contents: ContentStore | None = None,
    ) -> None:
        self._address = address
        self._instance = instance
        self._transport = transport
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._last_heartbeat_at = 0.0
        self._state_chosen_at = 0.0
        self._receipts = ReceiptHistory(vote.state.revision, clock())
        self._awaited_requests = AwaitedRequests(self._receipts)
        self._heartbeat_table = HeartbeatTable(heartbeat_seconds)
        self._own_source = UpdateSource(
            address, instance, self._heartbeat_table.log, clock()
        )
        self._own_source.discovery_deadline = (
            clock() + DISCOVERY_HEARTBEAT_INTERVALS * heartbeat_seconds
        )
        self._own_source.relay_zone = zone
        self._relayed = RelayedSources(
            address, zone, transport.send, self._heartbeat_table.log
        )
        self._heartbeat_check_deadline = 0.0
        self._stored_servers: ServerIdentities = frozenset()
        self._server_list_deadline = 0.0
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
            contents,
        )
        self._reader = ConfigurationReader(
            self._ensemble.content_exchange, decode, log, metrics
        )
        self._publisher = ConfigurationPublisher(
            self._ensemble, self._reader.configuration
        )
        self._updates = UpdateSender(self._own_source, transport, self._ensemble)

    @property
    def ensemble(self) -> EnsembleHost:
        """Return this host's voter and proposer in the ensemble."""
        return self._ensemble

    def put_configuration(
        self,
        configuration: RoutingConfiguration,
        document: bytes,
        on_result: StateCallback,
    ) -> None:
        """Activate a configuration unless its version or a higher one is active.

        `document` is the configuration as the operator sent it.
        """
        version = configuration.version
        current = self._ensemble.current
        if current is not None and version <= current.configuration_version:
            self._log.event(
                "order", order="configuration", version=version, outcome="superseded"
            )
            on_result(current)
            return
        now = self._clock()
        self._publisher.put(
            configuration,
            document,
            self._record_order("configuration", version, on_result),
            now + OPERATION_TIMEOUT_SECONDS,
            now,
        )

    def set_zone(
        self, zone: str, in_service: bool, on_result: StateCallback, caller: Caller
    ) -> None:
        """Take a zone out of service, or put it back into service.

        Orders for zones have no version, so one whose caller has gone is not applied.
        """
        change_kind = "zone back" if in_service else "zone out"
        change = set_zone(zone, in_service)

        def propose(deadline: float | None) -> None:
            record_result = self._record_order(change_kind, zone, on_result, caller)
            if deadline is None:
                record_result(None)
            else:
                self._ensemble.change(
                    change, record_result, deadline, lambda: not caller.is_disconnected
                )

        self._awaited_requests.submit(caller, propose, self._clock())

    def read(self, on_result: StateCallback) -> None:
        """Read the state that a quorum confirms.

        `on_result` receives the state, or None after `OPERATION_TIMEOUT_SECONDS`.
        """
        requested_at = self._clock()
        deadline = requested_at + OPERATION_TIMEOUT_SECONDS

        def record_result(state: RoutingState | None) -> None:
            self._metrics.count("reads_certain" if state else "reads_not_certain")
            self._metrics.observe_seconds("read", self._clock() - requested_at)
            on_result(state)

        def await_content(state: RoutingState | None) -> None:
            if state is None:
                record_result(None)
            else:
                self._reader.await_content(
                    state, record_result, deadline, self._clock()
                )

        self._ensemble.read(await_content, deadline)

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
        gauges["entry_hosts_followed_by"] = len(self._updates.subscribers)

    def document(self, state: RoutingState | None) -> bytes | None:
        """Return the configuration in a state, as the operator sent it, or None."""
        return None if state is None else self._reader.document(state)

    def log_refused_configuration(self, reason: str) -> None:
        """Log a configuration that was refused as invalid."""
        self._log.event(
            "order", order="configuration", outcome="refused", reason=reason
        )

    def receive_heartbeat(self, heartbeat: Heartbeat, caller: Caller) -> None:
        """Process a heartbeat.

        If the server gets no new flows any more, updates to subscribed hosts are sent
        before this returns; other changes may be collected for a short time.
        """
        self._last_heartbeat_at = self._clock()
        self._metrics.count("heartbeats")
        known_return_revision = self._known_return_revision(heartbeat.zone, caller)
        if known_return_revision:
            heartbeat = msgspec.structs.replace(
                heartbeat, known_return_revision=known_return_revision
            )
        news = classify([heartbeat], self._relayed.logs, self._last_heartbeat_at)
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
            self._notify(self._address, news)

    def restore_servers(self, heartbeats: list[Heartbeat]) -> None:
        """Report servers that an earlier process knew, for their open flows only."""
        self._heartbeat_table.restore(heartbeats, self._clock())
        self._stored_servers = _identities(heartbeats)

    def servers_to_store(self) -> list[Heartbeat] | None:
        """Return the known servers if others are stored and a write is due, or None."""
        now = self._clock()
        if now < self._server_list_deadline:
            return None
        self._server_list_deadline = now + SERVER_LIST_INTERVAL_SECONDS
        servers = self._heartbeat_table.known_servers()
        identities = _identities(servers)
        if identities == self._stored_servers:
            return None
        self._stored_servers = identities
        return servers

    def servers_not_stored(self) -> None:
        """Return the servers from `servers_to_store` again, as their write failed."""
        self._stored_servers = frozenset()

    def deregister(
        self, name: str, on_done: Callable[[], None], caller: Caller
    ) -> None:
        """Mark a backend server that leaves as gone, and notify subscribed hosts.

        A leave names no start of its server, so one whose caller has gone is dropped:
        the server may have started again.  Otherwise `on_done` is called.
        """

        def mark(deadline: float | None) -> None:
            if deadline is None:
                self._metrics.count("leaves_abandoned")
                return
            if self._heartbeat_table.deregister(name, self._clock()):
                self._log.event("backend server left", server=name)
                self._notify(self._address, News.URGENT)
            on_done()

        self._awaited_requests.submit(caller, mark, self._clock())

    def receive(self, address: str, message: object) -> None:
        """Process a message from another process."""
        now = self._clock()
        match message:
            case SubscribeToControl() | SubscribeToRelay():
                self._handle_subscription(message, now)
            case ControlUpdate():
                news = self._relayed.apply_update(message, now)
                if news is not News.NONE:
                    self._notify(message.host, news)
            case FetchHosts():
                self._transport.send(address, self._own_host_list())
            case FetchHostList():
                self._send_host_list(address, message.digest)
            case HostList():
                self._relayed.store_host_list(address, message)
                self._notify(address, News.ROUTINE)
            case FetchState():
                self._ensemble.answer_fetch(address, message)
            case _:
                self._ensemble.receive(address, message, now)  # type: ignore[arg-type]

    def send(self, host: str, message: EnsembleHostMessage) -> None:
        """Send an ensemble message to another control host."""
        self._transport.send(host, message)

    def state_chosen(self, state: RoutingState) -> None:
        """Log a newly chosen state, and notify subscribed hosts of its revision."""
        self._state_chosen_at = self._clock()
        self._receipts.record_revision(state.revision, self._state_chosen_at)
        self._log.event(
            "state chosen",
            revision=state.revision,
            version=state.configuration_version,
            zones_out=list(state.zones_out),
            voters=[member.host for member in state.voters.members],
            joint=state.voters.is_joint,
        )
        self._notify(self._address, News.ROUTINE)

    def tick(self, now: float) -> None:
        """Process every deadline that has passed."""
        self._receipts.record_tick(self._ensemble.quorum_contact_at(now), now)
        self._awaited_requests.tick(now)
        self._ensemble.tick(now)
        self._publisher.tick(now)
        self._reader.tick(now)
        self._relayed.tick(self._ensemble.live_hosts(now), now)
        self._updates.tick(self._relayed.sources, now)
        if now < self._heartbeat_check_deadline:
            return
        self._heartbeat_check_deadline = now + HEARTBEAT_CHECK_INTERVAL_SECONDS
        if self._heartbeat_table.tick(now):
            self._log.event(
                "backend servers timed out", change=self._heartbeat_table.change_number
            )
            self._notify(self._address, News.URGENT)
        self._remove_expired_hosts(now)

    def _record_order(
        self,
        change_kind: str,
        subject: object,
        on_result: StateCallback,
        caller: Caller | None = None,
    ) -> StateCallback:
        """Return a callback that logs the outcome of an order and passes it on."""
        requested_at = self._clock()

        def record_result(state: RoutingState | None) -> None:
            seconds = self._clock() - requested_at
            if state is not None:
                outcome = "accepted"
            elif caller is not None and caller.is_disconnected:
                outcome = "caller disconnected"
            else:
                outcome = "no quorum in time"
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

        return record_result

    def _known_return_revision(self, zone: str, caller: Caller) -> int:
        """Return the last return of a zone that a heartbeat is certainly sent after."""
        ensemble = self._ensemble
        # After a restart the state that was accepted before is known at once.
        state = ensemble.current or ensemble.voter.vote.state
        revision = state.zone_return_revision(zone)
        if not revision:
            return 0
        now = self._clock()
        sent_after = self._receipts.earliest_sending(caller.began_at, now)
        return revision if revision <= self._receipts.revision_at(sent_after) else 0

    def _handle_subscription(
        self, subscription: SubscribeToControl | SubscribeToRelay, now: float
    ) -> None:
        subscriber = self._updates.subscribers.get(subscription.address)
        if subscriber is None:
            subscriber = Subscriber()
            self._updates.subscribers[subscription.address] = subscriber
            subscriber.is_control_host = (
                subscription.address in self._ensemble.known_hosts()
            )
            role = "control" if subscriber.is_control_host else "entry"
            self._log.event(
                f"{role} host subscribed",
                host=subscription.address,
                zone=subscription.zone,
            )
        subscriber.last_received_at = now
        info = EntryHostInfo(
            subscription.address,
            subscription.zone,
            subscription.is_leaving,
            subscription.capacity,
        )
        is_listed_differently = (info, subscription.is_ready) != (
            subscriber.info,
            subscriber.is_ready,
        )
        subscriber.info = info
        subscriber.is_ready = subscription.is_ready
        subscriber.follows_all = isinstance(subscription, SubscribeToRelay)
        if isinstance(subscription, SubscribeToRelay):
            subscriber.confirm_all(subscription.positions, now)
        else:
            position = SourcePosition(
                self._address, subscription.instance, subscription.change_number
            )
            subscriber.confirm(position, now)
        if is_listed_differently:
            self._update_ready_hosts(now)
        if isinstance(subscription, SubscribeToControl) and (
            subscription.instance != self._instance
        ):
            self._updates.greet(subscription.address, now)
            return
        number = (
            subscription.number if isinstance(subscription, SubscribeToRelay) else 0
        )
        self._updates.answer(
            subscription.address, subscriber, self._relayed.sources, now, number
        )

    def _own_host_list(self) -> HostList:
        return HostList(self._own_source.hosts_digest, self._own_source.hosts)

    def _send_host_list(self, address: str, digest: int) -> None:
        own_list = self._own_host_list()
        host_list = (
            own_list if own_list.digest == digest else self._relayed.host_list(digest)
        )
        if host_list is not None:
            self._transport.send(address, host_list)

    def _remove_expired_hosts(self, now: float) -> None:
        for address, subscriber in list(self._updates.subscribers.items()):
            if now - subscriber.last_received_at > SUBSCRIPTION_RETENTION_SECONDS:
                self._log.event("subscriber timed out", host=address)
                del self._updates.subscribers[address]
        self._update_ready_hosts(now)

    def _update_ready_hosts(self, now: float) -> None:
        hosts = sorted(
            (
                subscriber.info
                for subscriber in self._updates.subscribers.values()
                if subscriber.is_ready
                and now - subscriber.last_received_at < SUBSCRIPTION_TIMEOUT_SECONDS
            ),
            key=lambda info: info.address,
        )
        if hosts != self._own_source.hosts:
            self._own_source.update_hosts(hosts)
            self._notify(self._address, News.ROUTINE)

    def _notify(self, host: str, news: News) -> None:
        """Notify subscribers of news of this or another control host."""
        self._updates.notify(host, self._relayed.sources, self._clock(), news)


def _identities(servers: list[Heartbeat]) -> ServerIdentities:
    """Return what a stored list of servers has to keep of them."""
    return frozenset(
        (server.name, server.incarnation, server.host, server.port)
        for server in servers
    )


ControlMessage = (
    EnsembleHostMessage
    | SubscribeToControl
    | SubscribeToRelay
    | ControlUpdate
    | FetchHosts
    | FetchHostList
    | HostList
)
