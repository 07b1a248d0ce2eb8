"""Build encoded messages whose fields hold odd values of the right type."""

from __future__ import annotations

import types
from enum import Enum
from typing import Annotated, Any, Union, get_args, get_origin, get_type_hints

import msgspec
from hypothesis import strategies as st

from kingcuppulley.internal.field_types import IPv4Address, PeerAddress

# Usual values come more often, so that most messages get past the decoder.
INTEGERS = [*range(4)] * 16 + [
    -1,
    1_790_000_000_000,
    (1 << 31) - 1,
    (1 << 62) - 1,
    1 << 62,
    (1 << 63) - 1,
    1 << 63,
    (1 << 64) - 1,
    -(1 << 63),
]
FLOATS = [0.0, 0.05, 0.5, 2.0] * 12 + [
    -1.0,
    1e9,
    1e308,
    float("inf"),
    float("-inf"),
    float("nan"),
]
ODD_TEXTS = [
    "",
    "10.0.0.1:70000",
    "10.0.0.1:0",
    "10.0.0.256:80",
    "example:80",
    "10.0.0.1:80\n",
    "zone\0",
    "é" * 70,
    "x" * 300,
]
NAMES = ["zone-a", "desk", "i-7f", "instance"] * 16 + ODD_TEXTS
ADDRESSES = ["10.0.0.1:7700", "10.0.0.2:7700", "10.0.0.3:7700"] * 24 + ODD_TEXTS
IPV4_ADDRESSES = ["10.0.0.3", "10.0.0.4"] * 36 + ODD_TEXTS
OPENING_PACKET = bytes.fromhex(
    "1122334400000000a1b2c3d501bb644000079c41c61200010000000008000000 0000"
)
BYTES = [
    OPENING_PACKET,
    OPENING_PACKET[12:24],
    b"\0" * 7 + b"\x7f",
    b"",
    b"\xff" * 9,
    b"\x78\x9c\x03\x00\x00\x00\x00\x01",
]


def odd_value(hint: Any) -> st.SearchStrategy[Any]:
    """Return values that encode a type, some of them odd ones."""
    origin = get_origin(hint)
    arguments = get_args(hint)
    if hint in (PeerAddress, IPv4Address):
        return st.sampled_from(ADDRESSES if hint == PeerAddress else IPV4_ADDRESSES)
    if origin is Annotated:
        return odd_value(arguments[0])
    if origin in (Union, types.UnionType):
        return st.one_of([odd_value(argument) for argument in arguments])
    if origin is list or (origin is tuple and arguments[-1] is Ellipsis):
        return st.lists(odd_value(arguments[0]), max_size=3)
    if origin is tuple:
        return st.tuples(*map(odd_value, arguments)).map(list)
    if hint is types.NoneType:
        return st.none()
    if hint is bool:
        return st.booleans()
    if hint is int:
        return st.sampled_from(INTEGERS)
    if hint is float:
        return st.sampled_from(FLOATS)
    if hint is str:
        return st.sampled_from(NAMES)
    if hint is bytes:
        return st.sampled_from(BYTES)
    if issubclass(hint, Enum):
        return st.sampled_from([member.value for member in hint])
    return odd_struct(hint)


def odd_struct(struct: type[msgspec.Struct]) -> st.SearchStrategy[list[Any]]:
    """Return the arrays that encode a struct, its tag included."""
    hints = get_type_hints(struct, include_extras=True)
    fields = [odd_value(hints[name]) for name in struct.__struct_fields__]
    tag = struct.__struct_config__.tag
    head = [] if tag is None else [st.just(tag)]
    return st.tuples(*head, *fields).map(list)
