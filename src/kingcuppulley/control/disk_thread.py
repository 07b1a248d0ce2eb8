"""Write votes on a separate thread, because a disk write may take seconds."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from typing import Protocol

from kingcuppulley.control.state import Vote
from kingcuppulley.control.vote_store import VoteStore
from kingcuppulley.errors import StorageError
from kingcuppulley.internal.counters import Metrics


class MainThread(Protocol):
    """Schedule calls on the main thread, as an asyncio event loop does."""

    def call_soon_threadsafe(
        self, callback: Callable[..., None], *args: object
    ) -> object:
        """Schedule a call of `callback` from another thread."""


class DiskThread:
    """Write votes to a store one after another, and report each result.

    `on_vote_written` is called on the main thread with the error, or None.  No error of
    a write ends the thread, because every later vote would then stay unanswered.
    """

    def __init__(
        self, store: VoteStore, main_thread: MainThread, metrics: Metrics
    ) -> None:
        self._store = store
        self._main_thread = main_thread
        self._metrics = metrics
        self._votes: queue.SimpleQueue[Vote] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._write_started_at: float | None = None
        self.on_vote_written: Callable[[StorageError | None], None] = _discard_result

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
        gauges["vote_write_pending_seconds"] = (
            time.monotonic() - started_at if started_at is not None else 0.0
        )

    def write(self, vote: Vote) -> None:
        """Queue a vote to be written; `on_vote_written` receives the result."""
        self._votes.put(vote)

    def _run(self) -> None:
        while True:
            vote = self._votes.get()
            started_at = self._write_started_at = time.monotonic()
            failure = self._write(vote)
            seconds = time.monotonic() - started_at
            self._write_started_at = None
            self._main_thread.call_soon_threadsafe(
                self._report_result, failure, seconds
            )

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

    def _report_result(self, failure: StorageError | None, seconds: float) -> None:
        self._metrics.observe_seconds("vote_write", seconds)
        self.on_vote_written(failure)


def _discard_result(_: StorageError | None) -> None:
    """Discard the result of a write until a callback is set."""
