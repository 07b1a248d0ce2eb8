"""Check that no input from outside causes anything but the typed error."""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppulley.backend_servers.change_log import MAXIMUM_UPDATE_TARGETS
from kingcuppulley.backend_servers.heartbeats import Heartbeat
from kingcuppulley.control.seeded_host import ControlMessage
from kingcuppulley.entry_hosts.seeded_messages import EntryMessage, RelayedUpdate
from kingcuppulley.errors import (
    InvalidConfigurationError,
    InvalidHeartbeatError,
    MalformedPacketError,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.datagram_link import (
    MAXIMUM_DATAGRAM_BYTES,
    DatagramLink,
)
from kingcuppulley.platform.documents import decode_configuration, decode_heartbeat
from kingcuppulley.platform.packets import PlatformPackets

MAXIMUM_UPDATE_FIELDS_BYTES = 2_000
# The servers of the largest update, each of this size, fit one datagram.
MAXIMUM_HEARTBEAT_BYTES = (MAXIMUM_DATAGRAM_BYTES - MAXIMUM_UPDATE_FIELDS_BYTES) // (
    2 * MAXIMUM_UPDATE_TARGETS
)
HEARTBEAT = {
    "service": "huvo11a",
    "addr": "10.128.0.9:8080",
    "zone": "pl-south-a",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "seq": 4,
    "born": 1_790_000_000_000,
}
ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "path_prefix": "/8443/",
    "timeout_ms": 1500,
    "slo_ms": 150,
    "priority": 2,
    "service": "huvo11a",
    "split": None,
}
CONFIGURATION = {"version": 7, "routes": [ROUTE], "services": [{"name": "huvo11a"}]}

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 70), 1 << 70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=300),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=8,
)


def with_changes(document: dict[str, object]) -> st.SearchStrategy[dict[str, object]]:
    changes = st.dictionaries(st.sampled_from(sorted(document)), json_values)
    return changes.map(lambda changed: {**document, **changed})


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(name=st.text(max_size=200) | st.just("i-7f"), body=with_changes(HEARTBEAT))
def test_a_heartbeat_is_refused_or_can_be_sent_on(name, body):
    try:
        heartbeat = decode_heartbeat(name, json.dumps(body).encode())
    except InvalidHeartbeatError:
        return
    encoded = msgspec.msgpack.encode(heartbeat)
    assert len(encoded) <= MAXIMUM_HEARTBEAT_BYTES
    assert msgspec.msgpack.decode(encoded, type=Heartbeat) == heartbeat


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(
    document=with_changes(CONFIGURATION)
    | with_changes(ROUTE).map(lambda route: {**CONFIGURATION, "routes": [route]})
)
def test_a_configuration_is_refused_or_decoded(document):
    try:
        decode_configuration(json.dumps(document).encode())
    except InvalidConfigurationError:
        return


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(data=st.binary(max_size=200))
def test_bytes_that_are_no_document_are_refused(data):
    with pytest.raises(InvalidConfigurationError):
        decode_configuration(data)
    with pytest.raises(InvalidHeartbeatError):
        decode_heartbeat("i-7f", data)


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(data=st.binary(max_size=120))
def test_a_packet_is_refused_or_read(data):
    try:
        packet = PlatformPackets().read(data)
    except MalformedPacketError:
        return
    assert len(packet.flow) == 12
    PlatformPackets().reset(packet.flow)


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(data=st.binary(max_size=120))
def test_a_datagram_of_another_host_is_refused_or_decoded(data):
    metrics = Metrics()
    received: list[object] = []
    for message_types in (ControlMessage, EntryMessage | RelayedUpdate):
        link = DatagramLink(message_types, lambda _, m: received.append(m), metrics)
        link._receive(data, ("127.0.0.1", 1))
    assert metrics.counts["peer_messages_malformed"] + len(received) == 2


@pytest.mark.parametrize("name", ["i-0x7f", "i-7_f", "i-+7f", "i- 7f", "i-٧"])
def test_two_names_never_get_one_identity(name):
    with pytest.raises(InvalidHeartbeatError):
        decode_heartbeat(name, json.dumps(HEARTBEAT).encode())


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("seq", 1 << 63),
        ("born", 1 << 70),
        ("born", -1),
        ("slots", 0),
        ("slots", 1 << 40),
        ("zone", "z" * 65),
        ("zone", "é" * 40),
        ("service", ""),
        ("warmup_left_ms", 1e300),
        ("addr", "10.0.0.1:8_0"),
    ],
)
def test_a_value_that_would_break_updates_is_refused(field, value):
    body = json.dumps({**HEARTBEAT, field: value}).encode()
    with pytest.raises(InvalidHeartbeatError):
        decode_heartbeat("i-7f", body)
