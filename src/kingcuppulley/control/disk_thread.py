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

    `on_vote_written` is called on the main thread with the error, or None.
    """

    def __init__(
        self, store: VoteStore, main_thread: MainThread, metrics: Metrics
    ) -> None:
        self._store = store
        self._main_thread = main_thread
        self._metrics = metrics
        self._votes: queue.SimpleQueue[Vote] = queue.SimpleQueue()
        self.on_vote_written: Callable[[StorageError | None], None] = _discard_result

    def start(self) -> None:
        """Start the thread that writes votes."""
        threading.Thread(target=self._run, name="disk", daemon=True).start()

    def write(self, vote: Vote) -> None:
        """Queue a vote to be written; `on_vote_written` receives the result."""
        self._votes.put(vote)

    def _run(self) -> None:
        while True:
            vote = self._votes.get()
            failure: StorageError | None = None
            started_at = time.monotonic()
            try:
                self._store.write(vote)
            except StorageError as error:
                failure = error
            seconds = time.monotonic() - started_at
            self._main_thread.call_soon_threadsafe(
                self._report_result, failure, seconds
            )

    def _report_result(self, failure: StorageError | None, seconds: float) -> None:
        self._metrics.observe_seconds("vote_write", seconds)
        self.on_vote_written(failure)


def _discard_result(_: StorageError | None) -> None:
    """Discard the result of a write until a callback is set."""
