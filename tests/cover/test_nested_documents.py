"""Check that a document that was accepted can be read again on any stack.

They guard against a configuration in force after which no order is answered, because
reading it failed with more frames on the stack than when it was accepted.
"""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcuppulley.internal.decoding import (
    MAXIMUM_READ_DEPTH,
    decode_accepted_json,
    prune_nesting,
)


class Record(msgspec.Struct):
    version: int
    names: list[str]


DECODER = msgspec.json.Decoder(Record)


def nested(depth: int, opening: str = "[", closing: str = "]") -> bytes:
    names = json.dumps(["a", "[[{", 'b"]}', "c\\"])
    notes = opening * depth + closing * depth
    return f'{{"version":7,"notes":{notes},"names":{names}}}'.encode()


def decode_on_stack(document: bytes, frames: int) -> Record:
    if frames:
        return decode_on_stack(document, frames - 1)
    return decode_accepted_json(document, DECODER)


@pytest.mark.parametrize("frames", [0, 100, 400])
@pytest.mark.parametrize("depth", [1, 400, 900, 5000])
@pytest.mark.parametrize("brackets", [("[", "]"), ('{"a":', "}")])
def test_a_nested_document_is_read_on_any_stack(depth, frames, brackets):
    opening, closing = brackets
    # An object needs a value at the innermost place.
    document = nested(depth, opening, closing).replace(b'{"a":}', b"{}")
    record = decode_on_stack(document, frames)
    assert record == Record(7, ["a", "[[{", 'b"]}', "c\\"])


json_values = st.recursive(
    st.none() | st.integers() | st.text(alphabet='[]{}"\\a', max_size=8),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(alphabet='[]{}"\\a', max_size=3), children)
    ),
)


def pruned(value: object, depth: int) -> object:
    """Return a value without what is nested deeper, by another way."""
    if isinstance(value, list):
        return [pruned(item, depth - 1) for item in value] if depth else None
    if isinstance(value, dict):
        return {k: pruned(v, depth - 1) for k, v in value.items()} if depth else None
    return value


@given(value=json_values, depth=st.integers(0, 4))
def test_only_what_is_nested_deeper_is_left_out(value, depth):
    document = prune_nesting(json.dumps(value).encode(), depth)
    assert json.loads(document) == pruned(value, depth)


def test_a_document_that_is_not_deep_stays_as_it_is():
    document = nested(MAXIMUM_READ_DEPTH - 1)
    assert prune_nesting(document, MAXIMUM_READ_DEPTH) == document


def test_a_document_of_another_form_is_still_refused():
    with pytest.raises(msgspec.MsgspecError):
        decode_accepted_json(nested(5000).replace(b"7", b"[]"), DECODER)
    with pytest.raises(msgspec.MsgspecError):
        decode_accepted_json(nested(5000)[:-1], DECODER)
