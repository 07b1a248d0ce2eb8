"""Decode documents from outside, and name what a decoder raises for them."""

from __future__ import annotations

from typing import TypeVar

import msgspec

# Values that are nested too deep raise `RecursionError`, also in fields that are not
# read.
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

# No document has a field that is read at a greater depth.
MAXIMUM_READ_DEPTH = 16

_Document = TypeVar("_Document")


def decode_json(document: bytes, decoder: msgspec.json.Decoder[_Document]) -> _Document:
    """Decode a document that arrives from outside, or raise one of `DECODING_ERRORS`.

    Use it where documents are accepted, not where accepted ones are read again: earlier
    builds accepted and stored documents that it refuses.
    """
    # A decoder checks the encoding only of the fields that it reads.
    document.decode()
    return decoder.decode(document)


def decode_accepted_json(
    document: bytes, decoder: msgspec.json.Decoder[_Document]
) -> _Document:
    """Decode a document that was accepted, or raise one of `DECODING_ERRORS`.

    A decoder counts the nesting of a document together with the frames on the stack, so
    that a document may be too deep here though it was not where it was accepted.  What
    is nested that deep is in no field that is read, and is left out then.
    """
    try:
        return decoder.decode(document)
    except RecursionError:
        return decoder.decode(prune_nesting(document, MAXIMUM_READ_DEPTH))


def prune_nesting(document: bytes, maximum_depth: int) -> bytes:
    """Return a JSON document with null for all that is nested deeper than a depth."""
    # Imported when it is needed, because entry hosts start often and on small machines.
    import re

    tokens = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)
    parts = []
    depth = 0
    kept_from = 0
    for match in tokens.finditer(document):
        if match.group() in (b"[", b"{"):
            depth += 1
            if depth == maximum_depth + 1:
                parts += [document[kept_from : match.start()], b"null"]
        elif match.group() in (b"]", b"}"):
            if depth == maximum_depth + 1:
                kept_from = match.end()
            depth -= 1
    return b"".join([*parts, document[kept_from:]])
