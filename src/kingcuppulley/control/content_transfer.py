"""Fetch routing contents from other hosts, in chunks over a link that may lose some."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from kingcuppulley.control.routing_content import (
    ContentReference,
    reference_to,
)
from kingcuppulley.internal.field_types import Count, Name

# Small enough that a chunk delays no other message for long: 32 ms on 2 Mbit/s.
CHUNK_BYTES = 8_000
# Chunks that are requested at a time.  They fill a link of 2 Mbit/s for 0.13 s.
WINDOW_CHUNKS = 4
# Time after which a chunk is requested again, at first and at most.
CHUNK_TIMEOUT_SECONDS = 0.25
MAXIMUM_CHUNK_TIMEOUT_SECONDS = 2.0
# Time without a chunk, beyond the time-out of one, after which another host is asked.
SOURCE_TIMEOUT_SECONDS = 0.35
# A fetch ends if the content has not been requested again for this long.
FETCH_RETENTION_SECONDS = 5.0
_LOST = float("-inf")


class FetchContent(msgspec.Struct, frozen=True, array_like=True, tag="xf"):
    """Ask a control host for the chunk of a content that starts at `offset`."""

    reference: ContentReference
    offset: Count


class ContentChunk(msgspec.Struct, frozen=True, array_like=True, tag="xc"):
    """Send `CHUNK_BYTES` of a content, or the rest of it, from `offset` on."""

    reference: ContentReference
    offset: Count
    data: Annotated[bytes, msgspec.Meta(min_length=1, max_length=CHUNK_BYTES)]


class OfferContent(msgspec.Struct, frozen=True, array_like=True, tag="xo"):
    """Ask a control host to fetch a content from the sender, and to confirm that."""

    reference: ContentReference


class ContentHeld(msgspec.Struct, frozen=True, array_like=True, tag="xh"):
    """Confirm that the host of a voter holds an offered content."""

    disk_id: Name
    reference: ContentReference


ContentMessage = FetchContent | ContentChunk | OfferContent | ContentHeld


def chunk_of(encoded: bytes, fetch: FetchContent) -> ContentChunk | None:
    """Return the chunk that a host asks for, or None if there is none."""
    data = encoded[fetch.offset : fetch.offset + CHUNK_BYTES]
    return ContentChunk(fetch.reference, fetch.offset, data) if data else None


class _Fetch:
    """Track the chunks of one content.

    Attributes
    ----------
    source : str
        Host that is asked for chunks.
    chunks : dict of int to bytes
        Received chunks by offset.
    requested_at : dict of int to float
        When each missing chunk was requested, the one requested first before.  It is
        `_LOST` for a chunk whose answer is certainly lost.
    chunk_timeout : float
        Seconds after which a chunk counts as lost; longer on a link that is slow.
    """

    __slots__ = (
        "reference",
        "source",
        "chunks",
        "requested_at",
        "chunk_timeout",
        "next_offset",
        "source_deadline",
        "retention_deadline",
    )

    def __init__(self, reference: ContentReference, source: str, now: float) -> None:
        self.reference = reference
        self.retention_deadline = now + FETCH_RETENTION_SECONDS
        self.chunks: dict[int, bytes] = {}
        self.requested_at: dict[int, float] = {}
        self.chunk_timeout = CHUNK_TIMEOUT_SECONDS
        self.change_source(source, now)

    @property
    def is_complete(self) -> bool:
        """Return whether every chunk has arrived."""
        return self.next_offset >= self.reference.size and not self.requested_at

    def change_source(self, source: str, now: float) -> None:
        """Ask another host for the chunks that are missing."""
        self.source = source
        self._extend_source_deadline(now)
        self.requested_at.clear()
        self.next_offset = 0

    def receive(self, chunk: ContentChunk, now: float) -> None:
        """Store a chunk; those that were requested before it may be lost."""
        expected = min(CHUNK_BYTES, self.reference.size - chunk.offset)
        if chunk.offset % CHUNK_BYTES or len(chunk.data) != expected:
            return
        self.chunks[chunk.offset] = chunk.data
        self._extend_source_deadline(now)
        requested_at = self.requested_at.get(chunk.offset)
        if requested_at is None:
            return
        for offset in list(self.requested_at):
            if offset == chunk.offset:
                break
            self.requested_at[offset] = _LOST
        del self.requested_at[chunk.offset]
        if requested_at != _LOST:
            self._limit_timeout(2 * (now - requested_at))

    def due_offsets(self, now: float) -> list[int]:
        """Return the offsets to request now: lost chunks, and the next ones."""
        due = []
        for offset, requested_at in list(self.requested_at.items()):
            if now < requested_at + self.chunk_timeout:
                continue
            if requested_at != _LOST:
                self._limit_timeout(2 * self.chunk_timeout)
            # Behind the others, in the order of the requests.
            del self.requested_at[offset]
            self.requested_at[offset] = now
            due.append(offset)
        while (
            len(self.requested_at) < WINDOW_CHUNKS
            and self.next_offset < self.reference.size
        ):
            offset = self.next_offset
            self.next_offset += CHUNK_BYTES
            if offset not in self.chunks:
                self.requested_at[offset] = now
                due.append(offset)
        return due

    def _limit_timeout(self, seconds: float) -> None:
        self.chunk_timeout = min(
            max(seconds, CHUNK_TIMEOUT_SECONDS), MAXIMUM_CHUNK_TIMEOUT_SECONDS
        )

    def _extend_source_deadline(self, now: float) -> None:
        self.source_deadline = now + SOURCE_TIMEOUT_SECONDS + self.chunk_timeout


class ContentFetcher:
    """Fetch contents, each from one host at a time, until they are complete.

    A host that sends no chunk for `SOURCE_TIMEOUT_SECONDS` is replaced by the next of
    the hosts that may hold the content.
    """

    __slots__ = ("_send", "_fetches")

    def __init__(self, send: Callable[[str, FetchContent], None]) -> None:
        self._send = send
        self._fetches: dict[ContentReference, _Fetch] = {}

    @property
    def is_busy(self) -> bool:
        """Return whether any content is being fetched."""
        return bool(self._fetches)

    def request(self, reference: ContentReference, source: str, now: float) -> None:
        """Start to fetch a content from a host, or continue a fetch."""
        fetch = self._fetches.get(reference)
        if fetch is None:
            fetch = self._fetches[reference] = _Fetch(reference, source, now)
            self._request_chunks(fetch, now)
        fetch.retention_deadline = now + FETCH_RETENTION_SECONDS

    def clear(self) -> None:
        """End all fetches, and drop the chunks that have arrived."""
        self._fetches.clear()

    def is_fetching(self, reference: ContentReference) -> bool:
        """Return whether a content is being fetched."""
        return reference in self._fetches

    def receive(self, chunk: ContentChunk, now: float) -> bytes | None:
        """Store a chunk, and return the encoded content once it is complete."""
        fetch = self._fetches.get(chunk.reference)
        if fetch is None:
            return None
        fetch.receive(chunk, now)
        self._request_chunks(fetch, now)
        if not fetch.is_complete:
            return None
        encoded = b"".join(fetch.chunks[offset] for offset in sorted(fetch.chunks))
        if reference_to(encoded) != fetch.reference:
            # A chunk was damaged; nothing tells which.  Another host is asked next.
            fetch.chunks.clear()
            fetch.change_source(fetch.source, now)
            fetch.source_deadline = now
            return None
        del self._fetches[chunk.reference]
        return encoded

    def tick(self, sources: Iterable[str], now: float) -> None:
        """Request lost chunks again, from another of `sources` after a time-out."""
        hosts = sorted(sources)
        for reference, fetch in list(self._fetches.items()):
            if now >= fetch.retention_deadline:
                del self._fetches[reference]
                continue
            if now >= fetch.source_deadline and hosts:
                fetch.change_source(_host_after(fetch.source, hosts), now)
            self._request_chunks(fetch, now)

    def _request_chunks(self, fetch: _Fetch, now: float) -> None:
        for offset in fetch.due_offsets(now):
            self._send(fetch.source, FetchContent(fetch.reference, offset))


def _host_after(host: str, hosts: list[str]) -> str:
    """Return the host that follows one in sorted order, or the first one."""
    return next((other for other in hosts if other > host), hosts[0])
