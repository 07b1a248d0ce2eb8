"""Write votes on a thread of their own, because a disk may take seconds."""

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
    """Call a function on the thread that decides."""

    def call_soon_threadsafe(
        self, callback: Callable[..., None], *args: object
    ) -> object:
        """Call a function soon."""


class DiskThread:
    """Own the disk; one write is under way at a time."""

    def __init__(
        self, store: VoteStore, main_thread: MainThread, metrics: Metrics
    ) -> None:
        self._store = store
        self._main_thread = main_thread
        self._metrics = metrics
        self._votes: queue.SimpleQueue[Vote] = queue.SimpleQueue()
        self.on_vote_written: Callable[[StorageError | None], None] = _ignore

    def start(self) -> None:
        """Begin to take votes."""
        threading.Thread(target=self._run, name="disk", daemon=True).start()

    def write(self, vote: Vote) -> None:
        """Write a vote and tell `on_vote_written` how it ended."""
        self._votes.put(vote)

    def _run(self) -> None:
        while True:
            vote = self._votes.get()
            failure: StorageError | None = None
            begun_at = time.monotonic()
            try:
                self._store.write(vote)
            except StorageError as error:
                failure = error
            seconds = time.monotonic() - begun_at
            self._main_thread.call_soon_threadsafe(self._tell, failure, seconds)

    def _tell(self, failure: StorageError | None, seconds: float) -> None:
        self._metrics.observe_seconds("vote_write", seconds)
        self.on_vote_written(failure)


def _ignore(_: StorageError | None) -> None:
    """Take the end of a write that nobody waits for."""
