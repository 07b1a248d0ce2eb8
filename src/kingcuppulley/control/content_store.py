"""Hold the routing contents that the states of one control host name."""

from __future__ import annotations

from collections.abc import Iterable

from kingcuppulley.control.routing_content import (
    MAXIMUM_INLINE_BYTES,
    ContentReference,
    RoutingContent,
    decode_content,
    encode_content,
    reference_to,
)
from kingcuppulley.control.state import RoutingState

# Other hosts may still fetch a content after the newest state names another one.
UNUSED_RETENTION_SECONDS = 10.0
MAXIMUM_UNUSED_BYTES = 32 * 1024 * 1024


class ContentStore:
    """Hold encoded contents in memory, those that are in use and recent ones.

    Only `encoded` may be called from another thread.
    """

    __slots__ = ("_encoded", "_unused_since")

    def __init__(self) -> None:
        self._encoded: dict[ContentReference, bytes] = {}
        # The references that nothing uses, those that became unused first before.
        self._unused_since: dict[ContentReference, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no content is held."""
        return not self._encoded

    def add(self, encoded: bytes) -> ContentReference:
        """Hold an encoded content, and return its reference."""
        reference = reference_to(encoded)
        self._encoded[reference] = encoded
        return reference

    def encoded(self, reference: ContentReference) -> bytes | None:
        """Return an encoded content, or None if it is not held."""
        return self._encoded.get(reference)

    def holds(self, state: RoutingState) -> bool:
        """Return whether the content of a state is known here."""
        reference = state.content_reference
        return reference is None or reference in self._encoded

    def content(self, state: RoutingState) -> RoutingContent | None:
        """Return the content of a state, or None if it is not held.

        Raises `MalformedMessageError` if the held bytes are no content.
        """
        reference = state.content_reference
        if reference is None:
            return state.inline_content
        encoded = self._encoded.get(reference)
        return None if encoded is None else decode_content(encoded)

    def attach(self, state: RoutingState, content: RoutingContent) -> RoutingState:
        """Return a state with a content: as a part of it, or named if it is large."""
        return self._reference_if_large(state.with_content(content))

    def detach_large(self, state: RoutingState) -> RoutingState:
        """Return a state that fits a message, whatever an earlier build put into it."""
        if state.content_reference is not None:
            return state
        content = state.inline_content
        if not content.earlier_services and (
            len(content.configuration) <= MAXIMUM_INLINE_BYTES // 2
        ):
            # Most states, which need not be encoded to be measured.
            return state
        return self._reference_if_large(state)

    def evict(self, in_use: Iterable[ContentReference], now: float) -> None:
        """Drop contents that have not been in use for a while, or are too many."""
        used = frozenset(in_use)
        for reference in self._encoded:
            if reference in used:
                self._unused_since.pop(reference, None)
            else:
                self._unused_since.setdefault(reference, now)
        unused_bytes = sum(reference.size for reference in self._unused_since)
        for reference, since in list(self._unused_since.items()):
            is_recent = now - since <= UNUSED_RETENTION_SECONDS
            if is_recent and unused_bytes <= MAXIMUM_UNUSED_BYTES:
                return
            unused_bytes -= reference.size
            del self._unused_since[reference]
            del self._encoded[reference]

    def _reference_if_large(self, state: RoutingState) -> RoutingState:
        """Return a state with a reference in place of its content if that is large."""
        encoded = encode_content(state.inline_content)
        if len(encoded) <= MAXIMUM_INLINE_BYTES:
            return state
        return state.with_reference(self.add(encoded))
