"""Run an entry host: open its sockets, pass on packets and messages, and stop it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from random import Random

from kingcuppulley.control.content_transfer import ContentChunk
from kingcuppulley.control.ensemble_messages import ChosenState
from kingcuppulley.entry_hosts.leave_plan import LeavePlan
from kingcuppulley.entry_hosts.seeded_host import SeededEntryHost
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    EntryMessage,
    HostList,
    RelayedUpdate,
)
from kingcuppulley.fabric.formats import FlowPacket, PacketFormat
from kingcuppulley.internal.asyncio_http import HttpRequest, listen_requests
from kingcuppulley.internal.clock import ProcessClock
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.datagram_link import DatagramLink
from kingcuppulley.internal.datagram_socket import DatagramSocket
from kingcuppulley.internal.event_log import EventLog
from kingcuppulley.internal.ticker import Ticker
from kingcuppulley.operators.routing import RoutingConfiguration
from kingcuppulley.seeded.daemon import serve_metrics
from kingcuppulley.seeded.egress_pacer import EgressPacer
from kingcuppulley.seeded_settings import SeededSettings, SocketAddress

TICK_INTERVAL_SECONDS = 0.02
# A leaving host stops at least this long before it would be killed.
STOP_MARGIN_SECONDS = 0.4
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
MAXIMUM_PACKET_BYTES = 2048
MILLICORES_PER_CORE = 1000
# Where an operator's question for a placement is answered, beside the metrics.
PLACEMENT_PATH = b"/placement"


class PacketSocket:
    """Own the UDP socket for packets to and from callers and backend servers."""

    def __init__(
        self,
        address: SocketAddress,
        on_packet: Callable[[bytes], None],
        metrics: Metrics,
    ) -> None:
        self._address = address
        self._on_packet = on_packet
        self._counts = metrics.counts
        self._socket = DatagramSocket(self._receive, MAXIMUM_PACKET_BYTES)
        self.send = self._socket.send

    def open(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to read, with a receive buffer that is large enough for bursts."""
        self._socket.open(
            loop, self._address.host, self._address.port, RECEIVE_BUFFER_BYTES
        )

    def send_to_target(
        self,
        datagram: bytes,
        endpoint: tuple[str, int],
        header: FlowPacket | None = None,
    ) -> None:
        """Send a datagram to a backend server at once, or count it as not sent."""
        if not self._socket.send(datagram, endpoint):
            self._counts["packets_not_sent"] += 1

    def may_open(self, header: FlowPacket, objective_seconds: float) -> bool:
        """Return True: without a known rate, every flow is accepted."""
        return True

    def _receive(self, datagram: bytes, _: tuple[str, int]) -> None:
        self._on_packet(datagram)


class EntryTransport:
    """Give the router the send methods of a packet socket and of a link to hosts.

    With a pacer, datagrams to targets and callers keep to the rate of the host's link.
    """

    __slots__ = ("send_to_target", "send_to_host", "may_open", "_caller_port")

    def __init__(
        self,
        packet_socket: PacketSocket,
        caller_port: int,
        link: DatagramLink,
        pacer: EgressPacer | None,
    ) -> None:
        self.send_to_target = (
            packet_socket.send_to_target if pacer is None else pacer.send_to_target
        )
        self.may_open = packet_socket.may_open if pacer is None else pacer.may_open
        self.send_to_host = link.send
        self._caller_port = caller_port

    def send_to_caller(self, packet: bytes, address: str) -> None:
        """Send a packet to a caller, at the port that receives callers' packets."""
        self.send_to_target(packet, (address, self._caller_port))


class SeededEntryDaemon:
    """Run one entry host until it has left.

    `ready_path` is the HTTP path at which readiness probes are answered.
    """

    def __init__(
        self,
        settings: SeededSettings,
        loop: asyncio.AbstractEventLoop,
        packet_format: PacketFormat,
        decode_configuration: Callable[[bytes], RoutingConfiguration],
        ready_path: bytes,
    ) -> None:
        self._settings = settings
        self._loop = loop
        self._packet_format = packet_format
        self._ready_path = ready_path
        self._clock = ProcessClock()
        self.metrics = Metrics()
        self.log = EventLog(settings.name, self.metrics, self._clock.now)
        message_types = (
            EntryMessage
            | ControlUpdate
            | RelayedUpdate
            | HostList
            | ChosenState
            | ContentChunk
        )
        assert settings.packets is not None
        self._packet_socket = PacketSocket(
            settings.packets, self._route_packet, self.metrics
        )
        self._pacer = self._build_pacer()
        self._link = DatagramLink(
            message_types,
            self._receive_message,
            self.metrics,
            None if self._pacer is None else self._pacer.charge,
        )
        self._host = SeededEntryHost(
            str(settings.peer),
            settings.zone,
            settings.seeds,
            packet_format,
            decode_configuration,
            EntryTransport(
                self._packet_socket, settings.packets.port, self._link, self._pacer
            ),
            self._link.send,
            self.metrics,
            self.log,
            Random(os.urandom(8)),
            round(settings.processor_cores * MILLICORES_PER_CORE),
        )
        self._leave_plan: LeavePlan | None = None
        self._ticker = Ticker(loop, TICK_INTERVAL_SECONDS, self._tick)

    async def start(self) -> None:
        """Open every socket and subscribe to the control hosts."""
        settings = self._settings
        self._link.open(self._loop, settings.peer.host, settings.peer.port)
        self._packet_socket.open(self._loop)
        if settings.ready is not None:
            ready = settings.ready
            await listen_requests(
                self._loop, ready.host, ready.port, self._answer_readiness_probe
            )
        await serve_metrics(
            self._loop,
            settings.metrics,
            self.metrics,
            self._update_gauges,
            {PLACEMENT_PATH: self._answer_placement_query},
        )
        self._ticker.start()
        # Subscribe at once: the host is not ready before control hosts have answered.
        self._tick()
        self.log.event_unthrottled("started", zone=settings.zone, seeds=settings.seeds)

    def reload(self, settings: SeededSettings) -> None:
        """Use the seeds of changed settings; other settings need a restart."""
        self._host.update_seeds(settings.seeds)
        self.log.event_unthrottled("reloaded", seeds=settings.seeds)

    def leave(self) -> None:
        """Leave the rotation once the zone's other hosts suffice, then stop.

        `LeavePlan` bounds how long this host waits for them.
        """
        if self._leave_plan is not None:
            return
        now = self._clock.now()
        can_leave_rotation = self._host.can_leave_rotation(now)
        stop_deadline = now + self._settings.grace_seconds - STOP_MARGIN_SECONDS
        self._leave_plan = LeavePlan(now, stop_deadline, can_leave_rotation)
        self.log.event_unthrottled("stop requested", can_be_spared=can_leave_rotation)
        self._host.notify_leaving()

    def _build_pacer(self) -> EgressPacer | None:
        """Return the pacer of the host's link, or None if its rate is not known."""
        if not self._settings.link_bytes_per_second:
            return None
        return EgressPacer(
            self._settings.link_bytes_per_second,
            self._packet_socket.send,
            lambda key: self._host.priority_of_route(key),
            self._loop,
            self.metrics,
            self.log,
        )

    def _advance_leave(self, plan: LeavePlan, now: float) -> None:
        can_leave_rotation = self._host.can_leave_rotation(now)
        has_backlog = self._pacer is not None and self._pacer.queued_bytes > 0
        if not plan.has_left:
            if plan.may_leave(now, can_leave_rotation):
                self.log.event_unthrottled("leaving", can_be_spared=can_leave_rotation)
                self._host.leave()
        elif plan.may_stop(now, can_leave_rotation, has_backlog):
            self._stop(can_leave_rotation)

    def _stop(self, can_leave_rotation: bool) -> None:
        self.log.event_unthrottled("stopped", can_be_spared=can_leave_rotation)
        self.log.flush()
        self._ticker.stop()
        self._loop.stop()

    def _route_packet(self, packet: bytes) -> None:
        self._host.packet_from_fabric(packet, self._clock.now())

    def _receive_message(self, address: str, message: object) -> None:
        self._host.receive(address, message, self._clock.now())

    def _tick(self) -> None:
        now = self._clock.now()
        self._host.tick(now)
        if self._leave_plan is not None:
            self._advance_leave(self._leave_plan, now)
        self.log.flush()

    def _answer_readiness_probe(self, request: HttpRequest) -> None:
        status = 404
        if request.path == self._ready_path:
            status = 200 if self._host.is_ready else 503
        request.answer(status, b"", "text/plain")

    def _answer_placement_query(self, request: HttpRequest) -> None:
        # Imported when it is needed, because entry hosts start often and on small
        # machines.
        from kingcuppulley.seeded.placement_answer import PlacementAnswer

        answer = PlacementAnswer(
            self._packet_format,
            lambda flow, route_key: self._host.explain_placement(
                flow, route_key, self._pacer, self._clock.now()
            ),
        )
        answer.answer(request)

    def _update_gauges(self, gauges: dict[str, float]) -> None:
        self._host.update_gauges(gauges, self._clock.now())
        if self._pacer is not None:
            self._pacer.update_gauges(gauges)
