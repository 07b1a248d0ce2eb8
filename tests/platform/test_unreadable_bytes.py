"""Check that documents with bytes that are no text are refused, wherever they stand.

They guard against a configuration that is acknowledged, in force and read back although
no reader can decode it, because a decoder skips what it does not read.
"""

from __future__ import annotations

import json

import pytest

from kingcuppulley.backend_servers.records import Announcement
from kingcuppulley.errors import InvalidConfigurationError, InvalidHeartbeatError
from kingcuppulley.internal.decoding import DECODING_ERRORS
from kingcuppulley.operators.configuration import decode_document
from kingcuppulley.platform.documents import (
    decode_accepted_configuration,
    decode_configuration,
    decode_heartbeat,
)
from tests.platform.test_decoders import HEARTBEAT, ROUTE, SERVICE

MARK = "MARK"
UNREADABLE = {
    "no text": b"\xff\xfe",
    "surrogate": b"\xed\xa0\x80",
    "overlong": b"\xc0\xaf",
    "cut off": b"\xe2\x82",
    "beyond the last character": b"\xf4\x90\x80\x80",
}
unreadable = pytest.mark.parametrize(
    "unreadable", UNREADABLE.values(), ids=UNREADABLE.keys()
)
CONFIGURATIONS = {
    "value": {"notes": MARK},
    "key": {MARK: 1},
    "deep in a list": {"notes": [[{"a": [MARK]}]]},
    "limits": {"limits": {"max_body_bytes": MARK}},
    "name of a route": {"routes": [{**ROUTE, "name": MARK}]},
    "value of a route": {"routes": [{**ROUTE, "type": MARK}]},
    "key of a route": {"routes": [{**ROUTE, MARK: 1}]},
    "value of a service": {"services": [{**SERVICE, "proto": MARK}]},
    "name of a service": {"services": [SERVICE, {**SERVICE, "name": MARK}]},
}


def document_with(changes: dict[str, object], replacement: bytes) -> bytes:
    body = {"version": 7, "routes": [ROUTE], "services": [SERVICE], **changes}
    return json.dumps(body).encode().replace(MARK.encode(), replacement)


@unreadable
@pytest.mark.parametrize("place", CONFIGURATIONS)
def test_a_configuration_with_unreadable_bytes_is_refused(place, unreadable):
    decode_configuration(document_with(CONFIGURATIONS[place], "ä €".encode()))
    with pytest.raises(InvalidConfigurationError):
        decode_configuration(document_with(CONFIGURATIONS[place], unreadable))


@unreadable
@pytest.mark.parametrize("field", ["version", "notes", MARK, "zone", "service"])
def test_a_heartbeat_with_unreadable_bytes_is_refused(field, unreadable):
    body = json.dumps({**HEARTBEAT, field: MARK}).encode()
    decode_heartbeat("i-7f", body.replace(MARK.encode(), b"v1"))
    with pytest.raises(InvalidHeartbeatError):
        decode_heartbeat("i-7f", body.replace(MARK.encode(), unreadable))


@unreadable
@pytest.mark.parametrize("field", ["name", "in_service", "notes", MARK])
def test_an_operators_document_with_unreadable_bytes_is_refused(field, unreadable):
    body = json.dumps({"name": "zone-a", "in_service": True, field: MARK}).encode()
    with pytest.raises(DECODING_ERRORS):
        decode_document("zone/zone-a", body.replace(MARK.encode(), unreadable))


def test_documents_that_are_not_checked_as_a_whole_allow_no_unknown_fields():
    # All their bytes are read, so the decoder checks all of them.
    assert Announcement.__struct_config__.forbid_unknown_fields


@unreadable
def test_an_accepted_configuration_with_unreadable_bytes_stays_readable(unreadable):
    # Earlier builds accepted it, and hosts of this build must go on serving it.
    for changes in (CONFIGURATIONS["value"], CONFIGURATIONS["value of a route"]):
        decode_accepted_configuration(document_with(changes, unreadable))
