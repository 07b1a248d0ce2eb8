"""Define the large part of a routing state, which states of large deployments name.

A state travels in one datagram.  What grows with the number of routes is part of the
state only while it is small.  A larger content is stored and sent apart, and the state
names it by its digest.
"""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec
from xxhash import xxh3_128_digest

from kingcuppulley.errors import MalformedMessageError
from kingcuppulley.internal.decoding import DECODING_ERRORS
from kingcuppulley.internal.field_types import Name

# A setting bounds what operators may send, up to this.
LARGEST_DOCUMENT_BYTES = 16 * 1024 * 1024
DEFAULT_DOCUMENT_BYTES = 4 * 1024 * 1024
# A document may hardly shrink when it is compressed, and earlier services add to it.
MAXIMUM_CONTENT_BYTES = 4 * LARGEST_DOCUMENT_BYTES
# Leaves room in a datagram for the rest of a state.  Hosts of earlier builds understand
# no other states, and a deployment of theirs may have one that hardly fits.
MAXIMUM_INLINE_BYTES = 55_000

ContentDigest = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
ContentSize = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_CONTENT_BYTES)]


class EarlierServices(msgspec.Struct, frozen=True, array_like=True):
    """Name the services that only earlier configurations allowed for a route.

    `key` is the address and port of the route.  Flows that were opened then stay where
    they are, and a host that restarts must still forward their packets.
    """

    key: bytes
    services: tuple[Name, ...]


class ContentReference(msgspec.Struct, frozen=True, array_like=True):
    """Name an encoded content by its digest and its size in bytes."""

    digest: ContentDigest
    size: ContentSize


class RoutingContent(msgspec.Struct, frozen=True, array_like=True):
    """Hold the operator's document, and what earlier ones allowed.

    `configuration` is the document, compressed with zlib.  `earlier_services` has an
    entry for each route that earlier configurations sent to other services.
    """

    configuration: bytes = b""
    earlier_services: tuple[EarlierServices, ...] = ()

    @property
    def document(self) -> bytes | None:
        """Return the operator's document, or None without one.

        Raises `MalformedMessageError` if the bytes are not a compressed document.
        """
        if not self.configuration:
            return None
        decompressor = zlib.decompressobj()
        try:
            document = decompressor.decompress(
                self.configuration, LARGEST_DOCUMENT_BYTES
            )
        except zlib.error as error:
            raise MalformedMessageError(
                f"the configuration cannot be decompressed: {error}; send the "
                "configuration with a higher version"
            ) from error
        if not decompressor.eof:
            raise MalformedMessageError(
                "the configuration is incomplete or larger than "
                f"{LARGEST_DOCUMENT_BYTES} bytes; send one with a higher version"
            )
        return document


def encode_content(content: RoutingContent) -> bytes:
    """Return the bytes that a reference to a content names."""
    return msgspec.msgpack.encode(content)


def decode_content(encoded: bytes) -> RoutingContent:
    """Decode a content, or raise `MalformedMessageError`."""
    try:
        return msgspec.msgpack.decode(encoded, type=RoutingContent)
    except DECODING_ERRORS as error:
        raise MalformedMessageError(
            f"the routing content cannot be decoded: {error}; send the configuration "
            "with a higher version"
        ) from error


def reference_to(encoded: bytes) -> ContentReference:
    """Return the reference that names an encoded content."""
    return ContentReference(xxh3_128_digest(encoded), len(encoded))
