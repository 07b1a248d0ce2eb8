"""Write votes on a separate thread, because a disk write may take seconds."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from typing import Protocol

from kingcuppulley.backend_servers.heartbeats import Heartbeat
from kingcuppulley.backend_servers.server_list_file import ServerListFile
from kingcuppulley.control.state import Vote
from kingcuppulley.control.vote_store import VoteStore
from kingcuppulley.errors import StorageError
from kingcuppulley.internal.counters import Metrics

ServerList = list[Heartbeat]


class MainThread(Protocol):
    """Schedule calls on the main thread, as an asyncio event loop does."""

    def call_soon_threadsafe(
        self, callback: Callable[..., None], *args: object
    ) -> object:
        """Schedule a call of `callback` from another thread."""


class DiskThread:
    """Write votes and lists of servers one after another, and report votes' results.

    `on_vote_written` is called on the main thread with the error, or None.  No error of
    a write ends the thread, because every later vote would then stay unanswered.
    """

    def __init__(
        self,
        store: VoteStore,
        main_thread: MainThread,
        metrics: Metrics,
        server_list: ServerListFile | None = None,
    ) -> None:
        self._store = store
        self._main_thread = main_thread
        self._metrics = metrics
        self._server_list = server_list
        self._writes: queue.SimpleQueue[Vote | ServerList] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._write_started_at: float | None = None
        self.on_vote_written: Callable[[StorageError | None], None] = _discard_result
        self.on_servers_not_written: Callable[[], None] = lambda: None

    @property
    def is_running(self) -> bool:
        """Return whether the thread has started and not ended."""
        return self._thread.is_alive()

    def start(self) -> None:
        """Start the thread that writes votes."""
        self._thread.start()

    def update_gauges(self, gauges: dict[str, float]) -> None:
        """Set the gauge of the time in seconds for which a write is in progress."""
        started_at = self._write_started_at
        gauges["disk_write_pending_seconds"] = (
            time.monotonic() - started_at if started_at is not None else 0.0
        )

    def write(self, vote: Vote) -> None:
        """Queue a vote to be written; `on_vote_written` receives the result."""
        self._writes.put(vote)

    def write_servers(self, servers: ServerList) -> None:
        """Queue a list of servers; `on_servers_not_written` is called if that fails."""
        self._writes.put(servers)

    def _run(self) -> None:
        while True:
            item = self._writes.get()
            started_at = self._write_started_at = time.monotonic()
            if not isinstance(item, Vote):
                self._store_servers(item)
                self._write_started_at = None
                continue
            failure = self._write(item)
            seconds = time.monotonic() - started_at
            self._write_started_at = None
            self._main_thread.call_soon_threadsafe(
                self._report_result, failure, seconds
            )

    def _store_servers(self, servers: ServerList) -> None:
        assert self._server_list is not None
        try:
            self._server_list.write(servers)
        except Exception:
            self._main_thread.call_soon_threadsafe(self._report_unwritten_servers)

    def _write(self, vote: Vote) -> StorageError | None:
        try:
            self._store.write(vote)
        except StorageError as error:
            return error
        except Exception as error:
            failure = StorageError(
                "vote", f"unexpected {type(error).__name__}: {error}"
            )
            failure.__cause__ = error
            return failure
        return None

    def _report_unwritten_servers(self) -> None:
        self._metrics.count("server_lists_not_written")
        self.on_servers_not_written()

    def _report_result(self, failure: StorageError | None, seconds: float) -> None:
        self._metrics.observe_seconds("vote_write", seconds)
        self.on_vote_written(failure)


def _discard_result(_: StorageError | None) -> None:
    """Discard the result of a write until a callback is set."""
