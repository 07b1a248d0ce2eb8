"""Fetch the contents of routing states on an entry host, one at a time."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from kingcuppulley.control.content_transfer import (
    ContentChunk,
    ContentFetcher,
    FetchContent,
)
from kingcuppulley.control.routing_content import RoutingContent, decode_content
from kingcuppulley.control.state import RoutingState

# Time without a chunk after which a newer content is fetched instead.
STALL_SECONDS = 1.0


class ContentFollower:
    """Fetch the content of the newest state that names one.

    A fetch that is in progress continues when a newer state arrives.  Otherwise a host
    whose link is slow would apply no configuration while they change often.
    """

    __slots__ = ("_fetcher", "_fetched", "_newest", "_progress_at")

    def __init__(self, send: Callable[[str, FetchContent], None]) -> None:
        self._fetcher = ContentFetcher(send)
        # The state whose content is being fetched, and the newest one.
        self._fetched: RoutingState | None = None
        self._newest: RoutingState | None = None
        self._progress_at = 0.0

    @property
    def is_fetching(self) -> bool:
        """Return whether a content is being fetched."""
        return self._fetched is not None

    def follow(self, state: RoutingState, source: str, now: float) -> None:
        """Fetch the content of a state, at once or after the present fetch."""
        self._newest = state
        if self._fetched is None:
            self._start(state, source, now)

    def stop(self) -> None:
        """Fetch nothing, because a newer state contains its content."""
        self._fetched = self._newest = None
        self._fetcher.clear()

    def receive(
        self, chunk: ContentChunk, source: str, now: float
    ) -> tuple[RoutingState, RoutingContent] | None:
        """Store a chunk; return a state and its content once that is complete.

        Raises `MalformedMessageError` if the complete content cannot be decoded.
        """
        state = self._fetched
        if state is None or chunk.reference != state.content_reference:
            return None
        self._progress_at = now
        encoded = self._fetcher.receive(chunk, now)
        if encoded is None:
            return None
        self._fetched = None
        if self._newest is not None and self._newest is not state:
            if self._newest.content_reference != state.content_reference:
                self._start(self._newest, source, now)
        return state, decode_content(encoded)

    def tick(self, sources: Iterable[str], now: float) -> None:
        """Request lost chunks again, and leave a content that no host sends."""
        if self._fetched is None or self._newest is None:
            return
        hosts = list(sources)
        is_stalled = now - self._progress_at > STALL_SECONDS
        if is_stalled and self._newest is not self._fetched and hosts:
            self._start(self._newest, hosts[0], now)
        reference = self._fetched.content_reference
        if reference is not None and hosts:
            self._fetcher.request(reference, hosts[0], now)
        self._fetcher.tick(hosts, now)

    def _start(self, state: RoutingState, source: str, now: float) -> None:
        self._fetched = state
        self._progress_at = now
        reference = state.content_reference
        assert reference is not None
        self._fetcher.request(reference, source, now)
