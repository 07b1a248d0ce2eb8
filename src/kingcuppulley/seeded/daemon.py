"""Run a daemon process: its event loop, settings, signals and metrics."""

from __future__ import annotations

import asyncio
import gc
import signal
import traceback
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Protocol

from kingcuppulley.internal.asyncio_http import (
    HttpRequest,
    HttpRequestHandler,
    listen_requests,
)
from kingcuppulley.internal.counters import METRICS_CONTENT_TYPE, Metrics
from kingcuppulley.internal.event_log import EventLog
from kingcuppulley.internal.ticker import Ticker
from kingcuppulley.seeded_settings import SeededSettings, SocketAddress

SETTINGS_CHECK_INTERVAL_SECONDS = 1.0

LoadSettings = Callable[[str], SeededSettings]


class Daemon(Protocol):
    """Define what `run` needs of a process.

    A daemon stops the event loop when it has left.
    """

    log: EventLog
    metrics: Metrics

    async def start(self) -> None:
        """Open every socket."""

    def reload(self, settings: SeededSettings) -> None:
        """Apply changed settings."""

    def leave(self) -> None:
        """Start a graceful stop, which ends by stopping the event loop."""


def run(
    daemon: Daemon,
    settings_file: str,
    load_settings: LoadSettings,
    loop: asyncio.AbstractEventLoop,
) -> None:
    """Run a daemon until it stops the event loop."""
    loop.set_exception_handler(_build_exception_handler(daemon))
    loop.run_until_complete(daemon.start())
    _watch_settings(daemon, settings_file, load_settings, loop)
    # Objects made while the process starts live as long as it does, so the collector
    # need not visit them.
    gc.freeze()
    gc.enable()
    loop.run_forever()


async def serve_metrics(
    loop: asyncio.AbstractEventLoop,
    address: SocketAddress | None,
    metrics: Metrics,
    update_gauges: Callable[[dict[str, float]], None],
    handlers: Mapping[bytes, HttpRequestHandler] = MappingProxyType({}),
) -> None:
    """Answer HTTP requests at the metrics address.

    `handlers` answer the paths that they name; all others are answered with metrics.
    """

    def answer(request: HttpRequest) -> None:
        if request.path in handlers:
            handlers[request.path](request)
            return
        update_gauges(metrics.gauges)
        request.answer(200, metrics.render().encode(), METRICS_CONTENT_TYPE)

    if address is not None:
        await listen_requests(loop, address.host, address.port, answer)


def _build_exception_handler(
    daemon: Daemon,
) -> Callable[[asyncio.AbstractEventLoop, dict[str, Any]], None]:
    def handle(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        daemon.metrics.count("callbacks_failed")
        error = context.get("exception")
        daemon.log.event(
            "callback failed",
            reason=context.get("message"),
            traceback="".join(traceback.format_exception(error)) if error else "",
        )

    return handle


def _watch_settings(
    daemon: Daemon,
    settings_file: str,
    load_settings: LoadSettings,
    loop: asyncio.AbstractEventLoop,
) -> None:
    """Leave on SIGTERM, and apply changed settings on SIGHUP and periodically."""
    current = [load_settings(settings_file)]

    def check() -> None:
        try:
            settings = load_settings(settings_file)
        except ExceptionGroup as group:
            daemon.log.event(
                "settings refused", faults=[str(fault) for fault in group.exceptions]
            )
            return
        if settings != current[0]:
            current[0] = settings
            daemon.reload(settings)

    loop.add_signal_handler(signal.SIGTERM, daemon.leave)
    loop.add_signal_handler(signal.SIGHUP, check)
    Ticker(loop, SETTINGS_CHECK_INTERVAL_SECONDS, check).start()
