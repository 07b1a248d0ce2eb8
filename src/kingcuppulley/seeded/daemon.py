"""Start, reload and stop a process, and open its sockets."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from eliot import write_traceback
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall
from twisted.web.http import Request

from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.event_log import EventLog
from kingcuppulley.internal.http_api import answer_text
from kingcuppulley.internal.http_server import ApiFactory, HandleRequest
from kingcuppulley.seeded_settings import SeededSettings, SocketAddress

SETTINGS_CHECK_SECONDS = 1.0
CONNECTION_BACKLOG = 512
METRICS_TYPE = "text/plain; version=0.0.4"


class Daemon(Protocol):
    """Run one process until it has left."""

    log: EventLog

    def start(self) -> None:
        """Open every socket."""

    def reload(self, settings: SeededSettings) -> None:
        """Take settings that changed."""

    def leave(self) -> None:
        """Stop in good order."""


def watch_settings(
    daemon: Daemon,
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
            daemon.log.event(
                "settings refused", faults=[str(e) for e in group.exceptions]
            )
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


def listen_datagrams(
    reactor: Any, address: SocketAddress, protocol: DatagramProtocol
) -> None:
    """Listen for datagrams."""
    reactor.listenUDP(
        address.port, protocol, interface=address.host, maxPacketSize=65_535
    )


def serve_metrics(
    reactor: Any,
    address: SocketAddress | None,
    metrics: Metrics,
    update_gauges: Callable[[dict[str, float]], None],
) -> None:
    """Answer every request at the metrics address with all figures."""

    def answer(request: Request) -> None:
        update_gauges(metrics.gauges)
        answer_text(request, 200, metrics.render().encode(), METRICS_TYPE)

    if address is not None:
        listen_requests(reactor, address, answer)


def listen_requests(
    reactor: Any, address: SocketAddress, handle: HandleRequest
) -> None:
    """Listen for HTTP requests."""
    factory = ApiFactory(handle)
    reactor.listenTCP(
        address.port, factory, interface=address.host, backlog=CONNECTION_BACKLOG
    )
