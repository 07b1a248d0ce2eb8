"""Check that the platform's configurations and heartbeats are decoded or refused."""

from __future__ import annotations

import json
from copy import deepcopy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.errors import InvalidConfigurationError, InvalidHeartbeatError
from kingcuppulley.platform.documents import (
    decode_accepted_configuration,
    decode_configuration,
    decode_heartbeat,
)

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path_prefix": "/8443/",
            "type": "safe",
            "timeout_ms": 1500,
            "slo_ms": 150,
            "priority": 2,
            "split": [
                {"service": "one", "weight": 90},
                {"service": "two", "weight": 10},
            ],
            "attempts": 2,
        },
        {
            "name": "r-2",
            "host": "198.18.0.2",
            "path_prefix": "/8443/",
            "type": "download",
            "timeout_ms": 5000,
            "slo_ms": 508,
            "priority": 1,
            "service": "two",
            "attempts": 2,
        },
    ],
    "services": [
        {"name": "one", "health_path": "/", "warmup_s": 2.0, "warmup_per_s": 0.0},
        {"name": "two", "health_path": "/", "warmup_s": 2.0, "warmup_per_s": 0.0},
    ],
    "limits": {"idle_timeout_ms": 15000},
}
HEARTBEAT = {
    "service": "one",
    "addr": "10.128.0.9:8080",
    "zone": "pl-south-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 500,
    "seq": 4,
    "born": 1_700_000_000_000,
}
SERVER_NAME = "i-7f3a91c2"


def with_value(document: dict, path: list, value: object) -> bytes:
    document = deepcopy(document)
    container = document
    for step in path[:-1]:
        container = container[step]
    container[path[-1]] = value
    return json.dumps(document).encode()


def test_a_configuration_is_decoded():
    configuration = decode_configuration(json.dumps(CONFIGURATION).encode())
    assert configuration.version == 7
    first, second = configuration.routes
    assert first.key == bytes.fromhex("c6120001 20fb")
    assert [share.weight for share in first.shares] == [90, 10]
    assert second.objective_seconds == 0.508
    assert configuration.services[0].cold_seconds == 2.0


def test_a_service_with_weight_zero_receives_no_flows():
    body = with_value(CONFIGURATION, ["routes", 0, "split", 1, "weight"], 0)
    configuration = decode_configuration(body)
    assert all(
        configuration.routes[0].service_of(b"%d" % flow) == "one" for flow in range(50)
    )


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["version"], "seven"),
        (["version"], 0),
        (["version"], None),
        (["routes"], {}),
        (["routes", 0, "timeout_ms"], 0),
        (["routes", 0, "timeout_ms"], -5),
        (["routes", 1, "service"], "unknown"),
        (["routes", 0, "split", 0, "service"], "unknown"),
        (["routes", 0, "split", 0, "weight"], -1),
        # Guards against a name that no flow depends on, because the split decides.
        (["routes", 0, "service"], "unknown"),
        (["routes", 1, "host"], "198.18.0.1"),
        (["routes", 1, "host"], "198.18.0"),
        (["routes", 1, "host"], "not an address"),
        (["routes", 1, "path_prefix"], "/none/"),
        (["routes", 1, "path_prefix"], "/70000/"),
        (["routes", 1, "service"], None),
        (["services"], []),
    ],
)
def test_an_invalid_configuration_is_refused_with_a_remedy(path, value):
    with pytest.raises(InvalidConfigurationError) as caught:
        decode_configuration(with_value(CONFIGURATION, path, value))
    assert caught.value.remedy


def test_a_route_may_name_a_known_service_beside_a_split():
    body = with_value(CONFIGURATION, ["routes", 0, "service"], "two")
    route = decode_configuration(body).routes[0]
    assert [share.weight for share in route.shares] == [90, 10]


def test_an_accepted_route_may_name_an_unknown_service_beside_a_split():
    # Earlier builds accepted it; the configuration in force must stay readable.
    body = with_value(CONFIGURATION, ["routes", 0, "service"], "unknown")
    assert decode_accepted_configuration(body).version == CONFIGURATION["version"]


def test_a_split_whose_weights_are_all_zero_is_refused():
    shares = [{"service": "one", "weight": 0}]
    with pytest.raises(InvalidConfigurationError):
        decode_configuration(with_value(CONFIGURATION, ["routes", 0, "split"], shares))


@given(st.integers(0, len(json.dumps(CONFIGURATION)) - 1))
def test_a_truncated_configuration_is_refused(length):
    with pytest.raises(InvalidConfigurationError):
        decode_configuration(json.dumps(CONFIGURATION).encode()[:length])


def test_a_heartbeat_is_decoded():
    heartbeat = decode_heartbeat(SERVER_NAME, json.dumps(HEARTBEAT).encode())
    assert heartbeat.packet_identity == bytes.fromhex("000000007f3a91c2")
    assert heartbeat.state is ServingState.READY
    assert (heartbeat.host, heartbeat.port) == ("10.128.0.9", 8080)
    assert heartbeat.cold_remaining_seconds == 0.5


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["state"], "resting"),
        (["state"], None),
        (["addr"], "10.128.0.9"),
        (["addr"], "10.128.0.9:0"),
        (["addr"], "somewhere:80"),
        (["slots"], "two"),
        (["slots"], 0),
        (["seq"], None),
        (["born"], 1.5),
        (["born"], "today"),
        (["service"], ""),
    ],
)
def test_an_invalid_heartbeat_is_refused(path, value):
    with pytest.raises(InvalidHeartbeatError):
        decode_heartbeat(SERVER_NAME, with_value(HEARTBEAT, path, value))


@pytest.mark.parametrize("name", ["", "i-", "i-xyz", "i-0", "i-" + "f" * 17])
def test_a_name_without_a_packet_identity_is_refused(name):
    with pytest.raises(InvalidHeartbeatError):
        decode_heartbeat(name, json.dumps(HEARTBEAT).encode())


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_refused(data):
    for decode in (
        decode_accepted_configuration,
        decode_configuration,
        lambda body: decode_heartbeat(SERVER_NAME, body),
    ):
        with pytest.raises((InvalidConfigurationError, InvalidHeartbeatError)):
            decode(data)
