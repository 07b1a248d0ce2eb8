"""Run a process until it has left: its loop, settings, signals and metrics."""

from __future__ import annotations

import asyncio
import gc
import signal
import traceback
from collections.abc import Callable
from typing import Any, Protocol

from kingcuppulley.internal.asyncio_http import HttpRequest, listen_requests
from kingcuppulley.internal.counters import METRICS_CONTENT_TYPE, Metrics
from kingcuppulley.internal.event_log import EventLog
from kingcuppulley.internal.ticker import Ticker
from kingcuppulley.seeded_settings import SeededSettings, SocketAddress

SETTINGS_CHECK_SECONDS = 1.0

LoadSettings = Callable[[str], SeededSettings]


class Daemon(Protocol):
    """Run one process until it has left."""

    log: EventLog
    metrics: Metrics

    async def start(self) -> None:
        """Open every socket."""

    def reload(self, settings: SeededSettings) -> None:
        """Take settings that changed."""

    def leave(self) -> None:
        """Stop in good order."""


def run(
    daemon: Daemon, file: str, load: LoadSettings, loop: asyncio.AbstractEventLoop
) -> None:
    """Run a process until it stops the loop."""
    loop.set_exception_handler(_log_failures(daemon))
    loop.run_until_complete(daemon.start())
    _watch_settings(daemon, file, load, loop)
    # Nothing that was made while the process started is garbage.
    gc.freeze()
    gc.enable()
    loop.run_forever()


async def serve_metrics(
    loop: asyncio.AbstractEventLoop,
    address: SocketAddress | None,
    metrics: Metrics,
    update_gauges: Callable[[dict[str, float]], None],
) -> None:
    """Answer every request at the metrics address with all figures."""

    def answer(request: HttpRequest) -> None:
        update_gauges(metrics.gauges)
        request.answer(200, metrics.render().encode(), METRICS_CONTENT_TYPE)

    if address is not None:
        await listen_requests(loop, address.host, address.port, answer)


def _log_failures(
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
    daemon: Daemon, file: str, load: LoadSettings, loop: asyncio.AbstractEventLoop
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

    loop.add_signal_handler(signal.SIGTERM, daemon.leave)
    loop.add_signal_handler(signal.SIGHUP, check)
    Ticker(loop, SETTINGS_CHECK_SECONDS, check).start()
