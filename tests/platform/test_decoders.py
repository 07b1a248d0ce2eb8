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
from kingcuppulley.control.state import RoutingState
from kingcuppulley.entry_hosts.seeded_messages import (
    EntryMessage,
    PlaceFlow,
    RelayedUpdate,
)
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
from kingcuppulley.operators.routing import (
    RoutingConfiguration,
    RoutingTable,
    find_earlier_services,
)
from kingcuppulley.platform.documents import (
    decode_accepted_configuration,
    decode_configuration,
    decode_heartbeat,
)
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
SERVICE = {"name": "huvo11a", "warmup_s": 2.0, "warmup_per_s": 0.0}
CONFIGURATION = {"version": 7, "routes": [ROUTE], "services": [SERVICE]}

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


def use(configuration: RoutingConfiguration) -> None:
    """Do with a configuration what hosts do with one that is active."""
    table = RoutingTable()
    assert table.update(configuration)
    service_names = table.service_names()
    for route in configuration.routes:
        service = route.service_of(b"flow")
        assert service in service_names
        deadline = 1_790_000_000.0 + route.timeout_seconds + route.objective_seconds
        assert 0 < deadline < float("inf")
        objective_ms = round(route.objective_seconds * 1000)
        message = PlaceFlow(b"flow", service, 0, route.priority, objective_ms, b"")
        encoded = msgspec.msgpack.encode(message)
        assert len(encoded) < MAXIMUM_UPDATE_FIELDS_BYTES
        assert msgspec.msgpack.decode(encoded, type=PlaceFlow) == message
    for configured in configuration.services:
        assert 0 <= configured.cold_seconds < float("inf")
    find_earlier_services(configuration, (), configuration)
    version = configuration.version
    state = RoutingState(configuration_version=version, revision=version)
    msgspec.msgpack.decode(msgspec.msgpack.encode(state), type=RoutingState)


configurations = (
    with_changes(CONFIGURATION)
    | with_changes(ROUTE).map(lambda route: {**CONFIGURATION, "routes": [route]})
    | with_changes(SERVICE).map(lambda one: {**CONFIGURATION, "services": [one]})
)


@settings(max_examples=600, deadline=None, derandomize=True, database=None)
@given(document=configurations)
def test_a_configuration_is_refused_or_can_be_used(document):
    # Guards against configurations that are acknowledged and then fail on each host.
    body = json.dumps(document).encode()
    for decode in (decode_configuration, decode_accepted_configuration):
        try:
            configuration = decode(body)
        except InvalidConfigurationError:
            continue
        use(configuration)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("routes", 0, "timeout_ms"), 10**400),
        (("routes", 0, "timeout_ms"), 10**12),
        (("routes", 0, "slo_ms"), -1),
        (("routes", 0, "slo_ms"), 1e300),
        (("routes", 0, "priority"), -1),
        (("routes", 0, "priority"), 1 << 70),
        (("routes", 0, "split"), [{"service": "huvo11a", "weight": 1 << 70}]),
        (("services", 0, "warmup_s"), -1.0),
        (("services", 0, "warmup_s"), 1e308),
        (("services", 0, "warmup_per_s"), -1.0),
        (("version",), 1 << 63),
    ],
)
def test_a_value_that_hosts_cannot_use_is_refused(path, value):
    # Guards against `OverflowError` in a decoder, which closed the connection.
    document = json.loads(json.dumps(CONFIGURATION))
    container = document
    for step in path[:-1]:
        container = container[step]
    container[path[-1]] = value
    with pytest.raises(InvalidConfigurationError):
        decode_configuration(json.dumps(document).encode())


def test_a_configuration_that_an_earlier_build_accepted_stays_active():
    # Guards against hosts that drop a stored configuration after an upgrade.
    route = {**ROUTE, "slo_ms": -5, "priority": 1 << 70, "timeout_ms": 10**400}
    service = {**SERVICE, "warmup_s": -1.0}
    document = {**CONFIGURATION, "routes": [route], "services": [service]}
    configuration = decode_accepted_configuration(json.dumps(document).encode())
    use(configuration)
    assert configuration.routes[0].objective_seconds == 0.0
    assert configuration.services[0].cold_seconds == 0.0


@pytest.mark.parametrize("opening", [b"[", b'{"a":'])
@pytest.mark.parametrize("depth", [1_000, 100_000])
def test_a_document_that_is_nested_deeply_is_refused(opening, depth):
    # Guards against `RecursionError`, which closed the connection without an answer.
    closing = b"]" if opening == b"[" else b"}"
    nested = opening * depth + b"1" + closing * depth
    for body in (nested, b'{"version":1,"unread":' + nested + b"}"):
        with pytest.raises(InvalidConfigurationError):
            decode_configuration(body)
        with pytest.raises(InvalidHeartbeatError):
            decode_heartbeat("i-7f", body)


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
