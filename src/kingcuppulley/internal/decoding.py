"""Decode documents from outside, and name what a decoder raises for them."""

from __future__ import annotations

from typing import TypeVar

import msgspec

# Values that are nested too deep raise `RecursionError`, also in fields that are not
# read.
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

_Document = TypeVar("_Document")


def decode_json(document: bytes, decoder: msgspec.json.Decoder[_Document]) -> _Document:
    """Decode a document that arrives from outside, or raise one of `DECODING_ERRORS`.

    Use it where documents are accepted, not where accepted ones are read again: earlier
    builds accepted and stored documents that it refuses.
    """
    # A decoder checks the encoding only of the fields that it reads.
    document.decode()
    return decoder.decode(document)
