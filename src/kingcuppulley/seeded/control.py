"""Run a control host: open its sockets and disk, and stop it."""

from __future__ import annotations

import asyncio
import os
import traceback
from collections.abc import Callable
from pathlib import Path
from random import Random

from kingcuppulley.backend_servers.server_list_file import ServerListFile
from kingcuppulley.control.content_store import ContentStore
from kingcuppulley.control.disk_thread import DiskThread
from kingcuppulley.control.ensemble_host import initial_vote
from kingcuppulley.control.seeded_host import ControlMessage, SeededControlHost
from kingcuppulley.control.state import Vote
from kingcuppulley.control.vote_store import FileVoteStore
from kingcuppulley.errors import StorageError
from kingcuppulley.internal.asyncio_http import HttpRequestHandler, listen_requests
from kingcuppulley.internal.clock import ProcessClock
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.datagram_link import DatagramLink
from kingcuppulley.internal.event_log import EventLog
from kingcuppulley.internal.ticker import Ticker
from kingcuppulley.operators.routing import RoutingConfiguration
from kingcuppulley.seeded.daemon import serve_metrics
from kingcuppulley.seeded_settings import SeededSettings

TICK_INTERVAL_SECONDS = 0.02
# A leaving host still votes for this long, so that the others can replace it.
LEAVE_DURATION_SECONDS = 1.5
INITIAL_VOTE_RETRY_SECONDS = 0.5


class SeededControlDaemon:
    """Run one control host until it has left.

    `build_control_handler` returns the handler of HTTP requests from operators and
    backend servers.
    """

    def __init__(
        self,
        settings: SeededSettings,
        loop: asyncio.AbstractEventLoop,
        decode_configuration: Callable[[bytes], RoutingConfiguration],
        build_control_handler: Callable[
            [SeededControlHost, list[str], Metrics], HttpRequestHandler
        ],
    ) -> None:
        self._settings = settings
        self._loop = loop
        self._clock = ProcessClock()
        self.metrics = Metrics()
        self.log = EventLog(settings.name, self.metrics, self._clock.now)
        instance = os.urandom(8).hex()
        contents = ContentStore()
        self._store = FileVoteStore(Path(settings.data_folder), contents)
        vote = self._store.read()
        self._unwritten_initial_vote: Vote | None = None
        if vote is None:
            vote = self._unwritten_initial_vote = initial_vote(
                str(settings.peer),
                settings.seeds,
                f"disk:{instance}",
                settings.is_first_start,
            )
        self._has_failed_write = False
        self._server_list = ServerListFile(Path(settings.data_folder))
        self._disk = DiskThread(self._store, loop, self.metrics, self._server_list)
        self._disk.on_vote_written = self._handle_vote_result
        self._link = DatagramLink(ControlMessage, self._receive_message, self.metrics)
        self._host = SeededControlHost(
            str(settings.peer),
            settings.zone,
            instance,
            vote,
            self._disk,
            self._link,
            settings.seeds,
            2 * settings.tolerated_disk_losses + 1,
            settings.heartbeat_seconds,
            decode_configuration,
            self.log,
            self.metrics,
            Random(os.urandom(8)),
            self._clock.now,
            contents,
        )
        self._disk.on_servers_not_written = self._host.servers_not_stored
        self._restore_servers()
        self._handle_request = build_control_handler(
            self._host, settings.zones, self.metrics
        )
        self._is_leaving = False
        self._ticker = Ticker(loop, TICK_INTERVAL_SECONDS, self._tick)

    async def start(self) -> None:
        """Open every socket and start to vote, once the disk has a vote."""
        settings = self._settings
        if self._unwritten_initial_vote is not None:
            await self._write_initial_vote(self._unwritten_initial_vote)
        self._disk.start()
        self._link.open(self._loop, settings.peer.host, settings.peer.port)
        if settings.control is not None:
            control = settings.control
            await listen_requests(
                self._loop,
                control.host,
                control.port,
                self._handle_request,
                self._clock.now,
                settings.maximum_configuration_bytes,
            )
        await serve_metrics(
            self._loop, settings.metrics, self.metrics, self._update_gauges
        )
        self._ticker.start()
        self.log.event_unthrottled(
            "started",
            zone=settings.zone,
            seeds=settings.seeds,
            store=self._host.ensemble.voter.vote.disk_id,
        )

    def reload(self, settings: SeededSettings) -> None:
        """Use the seeds of changed settings; other settings need a restart."""
        self._host.ensemble.update_seeds(settings.seeds)
        self.log.event_unthrottled("reloaded", seeds=settings.seeds)

    def leave(self) -> None:
        """Notify the other control hosts, and stop `LEAVE_DURATION_SECONDS` later."""
        if self._is_leaving:
            return
        self._is_leaving = True
        self.log.event_unthrottled("leaving")
        self._host.ensemble.leave(self._clock.now())
        self._loop.call_later(LEAVE_DURATION_SECONDS, self._stop)

    def _stop(self) -> None:
        self.log.event_unthrottled("stopped")
        self._ticker.stop()
        self._loop.stop()

    def _receive_message(self, address: str, message: object) -> None:
        self._host.receive(address, message)

    async def _write_initial_vote(self, vote: Vote) -> None:
        # The disk's identifier must be durable before any control host counts its vote,
        # so the host opens no socket until it is written.
        while True:
            try:
                self._store.write(vote)
                return
            except StorageError as error:
                self.metrics.count("votes_not_written")
                self._log_failed_write(error)
            await asyncio.sleep(INITIAL_VOTE_RETRY_SECONDS)

    def _handle_vote_result(self, failure: StorageError | None) -> None:
        if failure is not None:
            self.metrics.count("votes_not_written")
            self._log_failed_write(failure)
        elif self._has_failed_write:
            self._has_failed_write = False
            self.log.event_unthrottled("votes are written again")
        self._host.ensemble.vote_written(failure is None, self._clock.now())

    def _log_failed_write(self, failure: StorageError) -> None:
        # Later failures until the next success are counted only.
        if self._has_failed_write:
            return
        self._has_failed_write = True
        is_expected = isinstance(failure.__cause__, OSError)
        self.log.event_unthrottled(
            "vote not written",
            reason=str(failure),
            traceback=""
            if is_expected
            else "".join(traceback.format_exception(failure)),
        )

    def _restore_servers(self) -> None:
        try:
            servers = self._server_list.read()
        except StorageError as error:
            self.log.event_unthrottled("server list not read", reason=str(error))
            return
        self._host.restore_servers(servers)
        self.log.event_unthrottled("servers restored", count=len(servers))

    def _update_gauges(self, gauges: dict[str, float]) -> None:
        self._host.update_gauges(gauges)
        self._disk.update_gauges(gauges)

    def _tick(self) -> None:
        if not self._disk.is_running:
            # Without its disk thread this host would never vote again.
            self.log.event_unthrottled("disk thread ended")
            raise SystemExit(1)
        self._host.tick(self._clock.now())
        servers = self._host.servers_to_store()
        if servers is not None:
            self._disk.write_servers(servers)
        self.log.flush()
