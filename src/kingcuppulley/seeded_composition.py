"""Wire the processes of a deployment whose hosts find each other from seeds."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from eliot import write_traceback
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall
from twisted.web.http import Request
from twisted.web.server import Site

from kingcuppulley.control.disk_thread import DiskThread
from kingcuppulley.control.ensemble_host import first_vote
from kingcuppulley.control.seeded_host import (
    ControlHost,
    ControlMessage,
)
from kingcuppulley.control.vote_store import FileVoteStore
from kingcuppulley.entry_hosts.seeded_host import EntryNode
from kingcuppulley.entry_hosts.seeded_messages import ControlNews, EntryMessage
from kingcuppulley.control.ensemble_host import ChosenState
from kingcuppulley.errors import StorageError
from kingcuppulley.fabric.formats import PacketFormat
from kingcuppulley.internal.clock import ProcessClock
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.datagram_link import DatagramLink
from kingcuppulley.internal.event_log import EventLog
from kingcuppulley.internal.http_api import ApiResource, answer_text
from kingcuppulley.operators.routing import RoutingConfiguration
from kingcuppulley.seeded_settings import SeededSettings, SocketAddress

ENTRY_TICK_SECONDS = 0.02
CONTROL_TICK_SECONDS = 0.02
SETTINGS_CHECK_SECONDS = 1.0
ENTRY_LEAVE_SECONDS = 2.0
CONTROL_LEAVE_SECONDS = 1.5
DISK_TRY_SECONDS = 0.5
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

HandleRequest = Callable[[Request], None]


class PacketSocket(DatagramProtocol):
    """Own the socket that callers' packets come to."""

    def __init__(self, settings: SocketAddress, metrics: Metrics) -> None:
        self._settings = settings
        self._counts = metrics.counts
        self.on_packet: Callable[[bytes], None] = _drop

    def startProtocol(self) -> None:  # noqa: N802
        """Ask for room for bursts."""
        self.transport.socket.setsockopt(  # type: ignore[union-attr]
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Pass a packet on."""
        self.on_packet(datagram)

    def send(self, datagram: bytes, endpoint: tuple[str, int]) -> None:
        """Send a datagram, or count it as dropped."""
        try:
            self.transport.socket.sendto(datagram, endpoint)  # type: ignore[union-attr]
        except OSError:
            self._counts["packets_not_sent"] += 1

    def send_to_target(self, datagram: bytes, endpoint: tuple[str, int]) -> None:
        """Send a datagram to a backend server."""
        self.send(datagram, endpoint)

    def send_to_caller(self, packet: bytes, address: str) -> None:
        """Send a packet to a caller, at the port that callers' packets come to."""
        self.send(packet, (address, self._settings.port))


class EntryPort:
    """Send what the router decides."""

    __slots__ = ("send_to_target", "send_to_caller", "send_to_host")

    def __init__(self, packets: PacketSocket, link: DatagramLink) -> None:
        self.send_to_target = packets.send_to_target
        self.send_to_caller = packets.send_to_caller
        self.send_to_host = link.send


class SeededEntry:
    """Run one entry host until it has left."""

    def __init__(
        self,
        settings: SeededSettings,
        reactor: Any,
        packets: PacketFormat,
        decode: Callable[[bytes], RoutingConfiguration],
        ready_path: bytes,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._ready_path = ready_path
        self._clock = ProcessClock()
        self._metrics = Metrics()
        self.log = EventLog(settings.name, self._metrics, self._clock.now)
        messages = EntryMessage | ControlNews | ChosenState
        self._link = DatagramLink(messages, self._receive, self._metrics)
        assert settings.packets is not None
        self._packets = PacketSocket(settings.packets, self._metrics)
        self._node = EntryNode(
            str(settings.peer),
            settings.zone,
            settings.seeds,
            packets,
            decode,
            EntryPort(self._packets, self._link),  # type: ignore[arg-type]
            self._link.send,
            self._metrics,
            self.log,
            Random(os.urandom(8)),
        )
        self._packets.on_packet = self._packet
        self._ticker = LoopingCall(self._tick)

    def start(self) -> None:
        """Open every socket and begin to follow control hosts."""
        settings = self._settings
        _listen_datagrams(self._reactor, settings.peer, self._link)
        assert settings.packets is not None
        _listen_datagrams(self._reactor, settings.packets, self._packets)
        if settings.ready is not None:
            _listen_requests(self._reactor, settings.ready, self._answer)
        self._ticker.start(ENTRY_TICK_SECONDS)
        self.log.always("started", zone=settings.zone, seeds=settings.seeds)

    def reload(self, settings: SeededSettings) -> None:
        """Take settings that changed."""
        self._node.use_seeds(settings.seeds)
        self.log.always("reloaded", seeds=settings.seeds)

    def leave(self) -> None:
        """Leave the rotation, then stop."""
        self.log.always("leaving")
        self._node.leave(self._clock.now())
        self._reactor.callLater(ENTRY_LEAVE_SECONDS, self._stop)

    def _stop(self) -> None:
        self.log.always("stopped")
        self._ticker.stop()
        self._reactor.stop()

    def _packet(self, packet: bytes) -> None:
        self._node.router.packet_from_fabric(packet, self._clock.now())

    def _receive(self, address: str, message: object) -> None:
        self._node.receive(address, message, self._clock.now())

    def _tick(self) -> None:
        guarded(self._node.tick, self._clock.now(), self._metrics)
        self.log.flush()

    def _answer(self, request: Request) -> None:
        if request.path == self._ready_path:
            status = 200 if self._node.is_ready else 503
            answer_text(request, status, b"", "text/plain")
        else:
            answer_text(request, 200, self._metrics.render().encode(), "text/plain")


class SeededControl:
    """Run one control host until it has left."""

    def __init__(
        self,
        settings: SeededSettings,
        reactor: Any,
        build_calls: Callable[[ControlHost, list[str], Metrics], HandleRequest],
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = ProcessClock()
        self._metrics = Metrics()
        self.log = EventLog(settings.name, self._metrics, self._clock.now)
        process = os.urandom(8).hex()
        store = FileVoteStore(Path(settings.data_folder))
        vote = store.read()
        if vote is None:
            vote = first_vote(
                str(settings.peer),
                settings.seeds,
                f"disk:{process}",
                settings.is_first_start,
            )
            _write_first(store, vote, self.log)
        self._disk = DiskThread(store, reactor)
        self._disk.on_written = self._written
        self._link = DatagramLink(ControlMessage, self._receive, self._metrics)
        self._host = ControlHost(
            str(settings.peer),
            settings.zone,
            process,
            vote,
            self._disk,
            self._link,
            settings.seeds,
            2 * settings.losses_borne + 1,
            settings.heartbeat_seconds,
            self.log,
            Random(os.urandom(8)),
            self._clock.now,
        )
        self._handle = build_calls(self._host, settings.zones, self._metrics)
        self._ticker = LoopingCall(self._tick)

    def start(self) -> None:
        """Open every socket and begin to vote."""
        settings = self._settings
        self._disk.start()
        _listen_datagrams(self._reactor, settings.peer, self._link)
        if settings.control is not None:
            _listen_requests(self._reactor, settings.control, self._handle)
        self._ticker.start(CONTROL_TICK_SECONDS)
        self.log.always(
            "started",
            zone=settings.zone,
            seeds=settings.seeds,
            store=self._host.ensemble.voter.vote.store,
        )

    def reload(self, settings: SeededSettings) -> None:
        """Take settings that changed."""
        self._host.ensemble.use_seeds(settings.seeds)
        self.log.always("reloaded", seeds=settings.seeds)

    def leave(self) -> None:
        """Tell the others, wait for a successor's turn, then stop."""
        self.log.always("leaving")
        self._host.ensemble.leave(self._clock.now())
        self._reactor.callLater(CONTROL_LEAVE_SECONDS, self._stop)

    def _stop(self) -> None:
        self.log.always("stopped")
        self._ticker.stop()
        self._reactor.stop()

    def _receive(self, address: str, message: object) -> None:
        self._host.receive(address, message)

    def _written(self, failure: StorageError | None) -> None:
        if failure is not None:
            self._metrics.count("votes_not_written")
            self.log.event("vote not written", reason=str(failure))
        self._host.ensemble.written(failure is None, self._clock.now())

    def _tick(self) -> None:
        guarded(self._host.tick, self._clock.now(), self._metrics)
        self.log.flush()


def watch_settings(
    daemon: SeededEntry | SeededControl,
    file: Path,
    load: Callable[[Path], SeededSettings],
    reactor: Any,
) -> None:
    """Stop on SIGTERM, and take settings that change with SIGHUP or without."""
    held = [load(file)]

    def check() -> None:
        try:
            settings = load(file)
        except ExceptionGroup as group:
            daemon.log.event("settings refused", faults=[str(e) for e in group.exceptions])
            return
        if settings != held[0]:
            held[0] = settings
            daemon.reload(settings)

    def terminate(*_: object) -> None:
        reactor.callFromThread(daemon.leave)

    def hang_up(*_: object) -> None:
        reactor.callFromThread(check)

    signal.signal(signal.SIGTERM, terminate)
    signal.signal(signal.SIGHUP, hang_up)
    LoopingCall(check).start(SETTINGS_CHECK_SECONDS, now=False)


def guarded(tick: Callable[[float], None], now: float, metrics: Metrics) -> None:
    """Call a tick so that one that fails does not end all later ones."""
    try:
        tick(now)
    except Exception:
        metrics.count("ticks_failed")
        write_traceback()


def _write_first(store: FileVoteStore, vote: Any, log: EventLog) -> None:
    # The name of this disk must be durable before anyone counts it; until it can be
    # written nothing else makes sense.
    try:
        store.write(vote)
    except StorageError as error:
        log.always("first vote not written", reason=str(error))
        raise


def _listen_datagrams(
    reactor: Any, address: SocketAddress, protocol: DatagramProtocol
) -> None:
    reactor.listenUDP(
        address.port, protocol, interface=address.host, maxPacketSize=65_535
    )


def _listen_requests(
    reactor: Any, address: SocketAddress, handle: HandleRequest
) -> None:
    site = Site(ApiResource(handle))
    reactor.listenTCP(address.port, site, interface=address.host, backlog=512)


def _drop(_: bytes) -> None:
    """Take a packet that comes before anyone routes."""
