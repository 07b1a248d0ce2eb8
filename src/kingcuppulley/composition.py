"""Wire the parts of the entry daemon and the control daemon; no other module does."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import msgspec
from eliot import log_message, write_failure
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from kingcuppulley.backend_servers.announcements import (
    ANNOUNCEMENTS_PATH,
    AnnouncementApi,
)
from kingcuppulley.backend_servers.http_client import BackendServerClient
from kingcuppulley.callers.gateway import Gateway
from kingcuppulley.callers.listeners import ServiceListeners
from kingcuppulley.callers.request_drain import RequestDrain
from kingcuppulley.control.acceptor import Acceptor
from kingcuppulley.control.journal import FileJournal
from kingcuppulley.control.peer_task import ControlPeers
from kingcuppulley.control.replica import Replica
from kingcuppulley.entry_hosts.configuration_feed import ConfigurationFeed
from kingcuppulley.entry_hosts.host import EntryHost
from kingcuppulley.entry_hosts.membership import HostAddress
from kingcuppulley.entry_hosts.peer_task import EntryPeers
from kingcuppulley.fabric.router import PacketRouter
from kingcuppulley.fabric.udp_task import FabricSocket, HostSocket, UdpPacketTransport
from kingcuppulley.internal.clock import ProcessClock
from kingcuppulley.internal.counters import METRICS_CONTENT_TYPE, Metrics
from kingcuppulley.internal.http_api import answer_json
from kingcuppulley.internal.http_server import ApiFactory, ApiRequest
from kingcuppulley.internal.tracing import FileTracer, NoTracer, Tracer
from kingcuppulley.operators.administration import AdministrationApi
from kingcuppulley.operators.configuration import Configuration
from kingcuppulley.settings import ControlSettings, EntrySettings

TICK_INTERVAL_SECONDS = 0.05
LISTENER_RETRY_INTERVAL_SECONDS = 1.0


class EntryStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Report the state of an entry host to an operator or a script.

    Attributes
    ----------
    live_hosts : list[str]
        Entry hosts that this host considers alive.
    versions : dict[str, int]
        Version of each active register by its key.
    zones_out : list[str]
        Availability zones that are out of service.
    faults : list[str]
        Faults of the configuration.
    backend_servers : dict[str, str]
        State of each backend server by its name.
    flows, active_requests, held_slots : int
        Numbers of open flows, requests in progress and slots held on this host.
    """

    name: str
    zone: str
    live_hosts: list[str]
    versions: dict[str, int]
    zones_out: list[str]
    faults: list[str]
    backend_servers: dict[str, str]
    flows: int
    active_requests: int
    held_slots: int


class EntryDaemon:
    """Run one entry host until it has left the deployment."""

    def __init__(self, settings: EntrySettings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = ProcessClock()
        self._metrics = Metrics()
        self._own = _own_address(settings)
        incarnation = int(self._clock.now() * 1000)
        generator = random.Random(incarnation)
        self._entry_peers = EntryPeers(
            self._own,
            settings.entry_hosts,
            incarnation,
            reactor,
            reactor,
            self._clock.now,
            self._metrics,
        )
        self._fabric_socket = FabricSocket(self._clock.now)
        self._host_socket = HostSocket(self._clock.now)
        self._router = self._build_router()
        self._host = EntryHost(
            self._own.name,
            settings.entry_hosts,
            self._entry_peers,
            self._router,
            self._metrics,
            generator,
            self._clock.now(),
        )
        self._control_peers = self._build_control_peers()
        zone_peers = [
            host.name
            for host in settings.entry_hosts
            if host.zone == self._own.zone and host.name != self._own.name
        ]
        self._feed = ConfigurationFeed(
            f"{self._own.name}:{incarnation}",
            [host.name for host in settings.control_hosts],
            zone_peers,
            self._control_peers,
            self._apply_configuration,
            generator,
        )
        self._client = BackendServerClient(reactor)
        self._gateway = self._build_gateway()
        self._listeners = ServiceListeners(self._gateway, reactor)
        self._announcements = AnnouncementApi(
            self._host, self._clock.now, self._metrics
        )
        self._listener_retry_deadline = self._clock.now()
        self._ticker = LoopingCall(self._tick)

    def start(self) -> None:
        """Open all sockets and start to serve."""
        fabric = self._settings.fabric
        self._fabric_socket.router = self._router
        self._host_socket.router = self._router
        self._reactor.listenUDP(
            fabric.listen_port, self._fabric_socket, interface=fabric.listen_host
        )
        self._reactor.listenUDP(
            self._own.packet_port, self._host_socket, interface=self._own.host
        )
        self._entry_peers.start(self._host)
        self._control_peers.start(self._feed)
        administration = self._settings.administration
        self._reactor.listenTCP(
            administration.listen_port,
            ApiFactory(self._handle_administration),
            interface=administration.listen_host,
        )
        _start_ticker(self._ticker, self._reactor)
        log_message(message_type="kingcuppulley:entry-started", host=self._own.name)

    def leave(self) -> None:
        """Hand over flows, answer the requests in progress, then stop.

        Answers that are not sent after `leave_seconds` of the settings are cut off.
        """
        if self._gateway.is_leaving:
            return
        log_message(message_type="kingcuppulley:entry-leaving", host=self._own.name)
        self._gateway.is_leaving = True
        now = self._clock.now()
        self._host.leave(now)
        drain = RequestDrain(
            self._gateway,
            self._listeners,
            self._reactor,
            self._clock.now,
            now + self._settings.leave_seconds,
            self._stop,
        )
        drain.check()

    def _stop(self) -> None:
        log_message(
            message_type="kingcuppulley:entry-left",
            host=self._own.name,
            requests_under_way=self._gateway.active_count,
            connections_unheard=self._listeners.pending_connection_count,
            connections_open=self._listeners.open_connection_count,
        )
        self._ticker.stop()
        self._client.close()
        self._reactor.stop()

    def _build_router(self) -> PacketRouter:
        fabric = self._settings.fabric
        transport = UdpPacketTransport(
            self._fabric_socket,
            self._host_socket,
            self._settings.entry_hosts,
            (fabric.return_host, fabric.return_port),
            self._entry_peers,
            self._metrics,
        )
        return PacketRouter(
            self._own.name,
            transport,
            self._metrics,
            {host.name: host.zone for host in self._settings.entry_hosts},
            fabric.flow_generation_seconds,
            self._clock.now(),
        )

    def _build_control_peers(self) -> ControlPeers:
        addresses = {
            host.name: f"tcp://{host.host}:{host.port}"
            for host in self._settings.control_hosts
        }
        for host in self._settings.entry_hosts:
            if host.zone == self._own.zone:
                addresses[host.name] = f"tcp://{host.host}:{host.control_port}"
        return ControlPeers(
            self._own.name,
            f"tcp://{self._own.host}:{self._own.control_port}",
            addresses,
            self._reactor,
            self._reactor,
            self._clock.now,
            self._metrics,
        )

    def _build_gateway(self) -> Gateway:
        file = self._settings.traces.file
        tracer: Tracer = FileTracer(self._own.name, Path(file)) if file else NoTracer()
        return Gateway(
            self._host,
            self._entry_peers,
            self._client,
            self._settings.callers,
            self._reactor,
            self._clock.now,
            tracer,
            self._metrics,
        )

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._host.configure(configuration, self._clock.now())
        self._metrics.gauges["services"] = len(configuration.services)
        self._metrics.gauges["configuration_faults"] = len(configuration.faults)
        if not self._gateway.is_leaving:
            self._listeners.update(configuration.services.values())
        log_message(
            message_type="kingcuppulley:configuration-in-force",
            versions=self._feed.versions,
            zones_out=sorted(configuration.zones_out),
        )

    def _tick(self) -> None:
        now = self._clock.now()
        self._host.tick(now)
        self._feed.tick(now)
        self._gateway.tick()
        if now >= self._listener_retry_deadline:
            self._listener_retry_deadline = now + LISTENER_RETRY_INTERVAL_SECONDS
            self._listeners.retry()

    def _handle_administration(self, request: ApiRequest) -> None:
        if request.path == ANNOUNCEMENTS_PATH and request.method == b"POST":
            self._announcements.handle(request)
        elif request.path == b"/metrics":
            self._update_gauges()
            body = self._metrics.render().encode()
            request.answer(200, body, METRICS_CONTENT_TYPE)
        else:
            answer_json(request, 200, self._build_status())

    def _update_gauges(self) -> None:
        gauges = self._metrics.gauges
        replication = self._router.replication
        gauges["flows"] = self._router.flow_count
        gauges["flows_not_copied_yet"] = replication.pending_count
        gauges["flow_backups"] = replication.backup_count
        gauges["claims"] = len(self._host.claims)

    def _build_status(self) -> EntryStatus:
        configuration = self._host.configuration
        return EntryStatus(
            name=self._own.name,
            zone=self._own.zone,
            live_hosts=self._host.membership.live_hosts(self._clock.now()),
            versions=self._feed.versions,
            zones_out=sorted(configuration.zones_out),
            faults=configuration.faults,
            backend_servers={
                record.name: record.state.value
                for record in self._host.directory.records
            },
            flows=self._router.flow_count,
            active_requests=self._gateway.active_count,
            held_slots=self._host.slot_client.held_count,
        )


class ControlDaemon:
    """Run one control host: its replica and the administration API."""

    def __init__(self, settings: ControlSettings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = ProcessClock()
        self._metrics = Metrics()
        addresses = {
            host.name: f"tcp://{host.host}:{host.port}"
            for host in settings.control_hosts
        }
        self._peers = ControlPeers(
            settings.name,
            addresses[settings.name],
            addresses,
            reactor,
            reactor,
            self._clock.now,
            self._metrics,
        )
        acceptor = Acceptor(FileJournal(Path(settings.data_folder)))
        self._replica = Replica(
            settings.name,
            list(addresses),
            acceptor,
            self._peers,
            random.Random(int(self._clock.now() * 1000)),
        )
        self._api = AdministrationApi(
            settings.name,
            self._replica,
            settings.operators,
            self._clock.now,
            self._metrics,
        )
        self._ticker = LoopingCall(self._tick)
        self._last_state = self._replica.state

    def start(self) -> None:
        """Open all sockets; the replica starts to vote once that is safe."""
        self._peers.start(self._replica)
        administration = self._settings.administration
        self._reactor.listenTCP(
            administration.listen_port,
            ApiFactory(self._api.handle),
            interface=administration.listen_host,
        )
        _start_ticker(self._ticker, self._reactor)
        log_message(
            message_type="kingcuppulley:control-started",
            host=self._settings.name,
            state=self._replica.state.value,
        )

    def stop(self) -> None:
        """Stop at once; the journal is synced after each write and needs no flush."""
        self._ticker.stop()
        self._reactor.stop()

    def _tick(self) -> None:
        self._replica.tick(self._clock.now())
        self._metrics.gauges["failed_writes"] = self._replica.failed_writes
        self._metrics.gauges["failed_rewrites"] = self._replica.failed_rewrites
        if self._replica.state is not self._last_state:
            self._last_state = self._replica.state
            log_message(
                message_type="kingcuppulley:control-state",
                host=self._settings.name,
                state=self._last_state.value,
            )


def _start_ticker(ticker: LoopingCall, reactor: Any) -> None:
    """Start a ticker; a tick that raises an error stops the process.

    A daemon that answers but no longer ticks would keep its leases and its view of the
    other hosts indefinitely.  A stopped process is a failed host, whose work the other
    hosts take over.
    """

    def stop_process(failure: Failure) -> None:
        write_failure(failure)
        reactor.stop()

    ticker.start(TICK_INTERVAL_SECONDS, now=True).addErrback(stop_process)


def initialise_control_host(settings: ControlSettings) -> None:
    """Create the data folder of a control host, at a deployment's first start only.

    A journal that already holds records is left unchanged.
    """
    journal = FileJournal(Path(settings.data_folder))
    if any(True for _ in journal.read()):
        return
    Acceptor.initialise(journal)
    journal.close()


def _own_address(settings: EntrySettings) -> HostAddress:
    for host in settings.entry_hosts:
        if host.name == settings.name:
            return host
    raise KeyError(settings.name)
