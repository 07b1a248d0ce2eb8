"""Encode and decode the messages of one protocol as MessagePack."""

from __future__ import annotations

from typing import Generic, TypeVar

import msgspec

from kingcuppulley.errors import MalformedMessageError
from kingcuppulley.internal.decoding import DECODING_ERRORS

Envelope = TypeVar("Envelope", bound=msgspec.Struct)


class MessageCodec(Generic[Envelope]):
    """Encode one type of envelope to bytes, and decode it."""

    __slots__ = ("_encoder", "_decoder")

    def __init__(self, envelope: type[Envelope]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(envelope)

    def encode(self, envelope: Envelope) -> bytes:
        """Return the bytes of an envelope."""
        return self._encoder.encode(envelope)

    def decode(self, data: bytes) -> Envelope:
        """Return the envelope in `data`, or raise `MalformedMessageError`."""
        try:
            return self._decoder.decode(data)
        except DECODING_ERRORS as error:
            raise MalformedMessageError(
                f"{error}; run the same version on every host"
            ) from error
