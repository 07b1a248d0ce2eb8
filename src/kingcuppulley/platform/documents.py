"""Decode the platform's configurations and heartbeats.

The fields of the private structs are the keys of the platform's JSON documents.
"""

from __future__ import annotations

import socket
from typing import TypeVar

import msgspec

from kingcuppulley.backend_servers.heartbeats import Heartbeat, ServingState
from kingcuppulley.errors import InvalidConfigurationError, InvalidHeartbeatError
from kingcuppulley.internal.decoding import (
    DECODING_ERRORS,
    decode_accepted_json,
    decode_json,
)
from kingcuppulley.internal.field_types import (
    MAXIMUM_COUNT,
    MAXIMUM_DURATION_MS,
    MAXIMUM_DURATION_SECONDS,
    MAXIMUM_NAME_BYTES,
    MAXIMUM_PORT,
    MAXIMUM_SLOTS,
)
from kingcuppulley.operators.routing import (
    Route,
    RoutedService,
    RoutingConfiguration,
    ServiceShare,
)

READY_PATH = b"/kingcuppulley/ready"
# Bounds priorities and weights.
_MAXIMUM_RANK = (1 << 31) - 1
_MAXIMUM_REQUESTS_PER_SECOND = 1e9
# Longest cold start that a server can report.
_MAXIMUM_COLD_MS = 86_400_000.0
_HEXADECIMAL_DIGITS = frozenset("0123456789abcdefABCDEF")


class _Share(msgspec.Struct):
    service: str
    # Share of the route's new flows, relative to the other weights.
    weight: int = 0


class _Route(msgspec.Struct):
    name: str
    # IPv4 address that callers connect to.
    host: str
    # Port that callers connect to, written between slashes.
    path_prefix: str
    timeout_ms: int
    # Time within which a request should be answered.
    slo_ms: float = 0.0
    # 0 is the most urgent.
    priority: int = 0
    # Serves the whole route if there is no `split`.
    service: str | None = None
    split: list[_Share] | None = None


class _Service(msgspec.Struct):
    name: str
    # How long a server is cold after its start.
    warmup_s: float = 0.0
    # How many requests per second one server can serve while it is cold.
    warmup_per_s: float = 0.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]


class _Heartbeat(msgspec.Struct):
    service: str
    # ADDRESS:PORT at which the server receives packets.
    addr: str
    zone: str
    # How many requests the server can serve concurrently.
    slots: int
    state: str
    # Grows with each heartbeat of one incarnation.
    seq: int
    # Start time in milliseconds; orders the incarnations of one name.
    born: int = 0
    # How much longer the server is cold.
    warmup_left_ms: float = 0.0


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)
_Number = TypeVar("_Number", int, float)
_SERVING_STATES = {"ready": ServingState.READY, "draining": ServingState.DRAINING}


def decode_configuration(document: bytes) -> RoutingConfiguration:
    """Decode a configuration, or raise `InvalidConfigurationError`."""
    try:
        decoded = decode_json(document, _CONFIGURATION_DECODER)
    except DECODING_ERRORS as error:
        raise _unreadable(error) from error
    _check_limits(decoded)
    _check_services(decoded)
    return _build_configuration(decoded)


def decode_accepted_configuration(document: bytes) -> RoutingConfiguration:
    """Decode a configuration that was accepted, possibly by an earlier build.

    Earlier builds did not check every limit, nor the encoding of fields that are not
    read, nor a route's service beside a split.  A value beyond a limit is replaced by
    the limit, so that the configuration stays active.  Raises
    `InvalidConfigurationError` if the document is not a configuration.
    """
    try:
        decoded = decode_accepted_json(document, _CONFIGURATION_DECODER)
    except DECODING_ERRORS as error:
        raise _unreadable(error) from error
    return _build_configuration(decoded)


def _unreadable(error: Exception) -> InvalidConfigurationError:
    remedy = f"{error}; send the complete configuration as JSON"
    return InvalidConfigurationError("body", remedy)


def _check_limits(configuration: _Configuration) -> None:
    """Raise `InvalidConfigurationError` for a value that processes cannot use."""
    for route in configuration.routes:
        for field, number, maximum in (
            ("timeout_ms", route.timeout_ms, MAXIMUM_DURATION_MS),
            ("slo_ms", route.slo_ms, MAXIMUM_DURATION_MS),
            ("priority", route.priority, _MAXIMUM_RANK),
            *(("weight", share.weight, _MAXIMUM_RANK) for share in route.split or []),
        ):
            if not 0 <= number <= maximum:
                remedy = f"use {field} from 0 to {maximum}"
                raise InvalidConfigurationError(f"route {route.name}", remedy)
    for service in configuration.services:
        location = f"service {service.name}"
        if not 0 < len(service.name.encode()) <= MAXIMUM_NAME_BYTES:
            remedy = f"use a name of 1 to {MAXIMUM_NAME_BYTES} bytes"
            raise InvalidConfigurationError(location, remedy)
        for field, figure, most in (
            ("warmup_s", service.warmup_s, float(MAXIMUM_DURATION_SECONDS)),
            ("warmup_per_s", service.warmup_per_s, _MAXIMUM_REQUESTS_PER_SECOND),
        ):
            if not 0 <= figure <= most:
                remedy = f"use {field} from 0 to {most:.0f}"
                raise InvalidConfigurationError(location, remedy)


def _check_services(configuration: _Configuration) -> None:
    """Raise `InvalidConfigurationError` for a service that is not configured.

    That of a route with a split has no effect, but it is a name in the route, too.
    """
    service_names = {service.name for service in configuration.services}
    for route in configuration.routes:
        if route.service is not None and route.service not in service_names:
            raise _unknown_service(route, route.service)


def _unknown_service(route: _Route, name: str) -> InvalidConfigurationError:
    remedy = f"configure service {name!r} or name another"
    return InvalidConfigurationError(f"route {route.name}", remedy)


def _build_configuration(decoded: _Configuration) -> RoutingConfiguration:
    if not 0 < decoded.version <= MAXIMUM_COUNT:
        raise InvalidConfigurationError("version", "use a version from 1 to 2**63 - 1")
    service_names = {service.name for service in decoded.services}
    routes = tuple(_build_route(route, service_names) for route in decoded.routes)
    route_keys = {route.key for route in routes}
    if len(route_keys) != len(routes):
        raise InvalidConfigurationError(
            "routes", "give each route a distinct pair of host and path_prefix"
        )
    return RoutingConfiguration(
        decoded.version,
        routes,
        tuple(
            RoutedService(
                service.name,
                _limit(service.warmup_s, float(MAXIMUM_DURATION_SECONDS)),
                _limit(service.warmup_per_s, _MAXIMUM_REQUESTS_PER_SECOND),
            )
            for service in decoded.services
        ),
    )


def decode_heartbeat(name: str, body: bytes) -> Heartbeat:
    """Decode the heartbeat of a named server, or raise `InvalidHeartbeatError`."""
    try:
        decoded = decode_json(body, _HEARTBEAT_DECODER)
    except DECODING_ERRORS as error:
        raise InvalidHeartbeatError("body", f"{error}; send it as JSON") from error
    state = _SERVING_STATES.get(decoded.state)
    if state is None:
        raise InvalidHeartbeatError("state", "use ready or draining")
    host, port = _parse_address(decoded.addr)
    _check_heartbeat(name, decoded)
    return Heartbeat(
        name,
        packet_identity_of(name),
        decoded.service,
        decoded.zone,
        host,
        port,
        state,
        decoded.born,
        decoded.seq,
        decoded.slots,
        max(0.0, decoded.warmup_left_ms / 1000),
    )


def _check_heartbeat(name: str, heartbeat: _Heartbeat) -> None:
    """Raise `InvalidHeartbeatError` for a value that other processes cannot take."""
    for field, text in (
        ("id", name),
        ("service", heartbeat.service),
        ("zone", heartbeat.zone),
    ):
        if not 0 < len(text.encode()) <= MAXIMUM_NAME_BYTES:
            remedy = f"use 1 to {MAXIMUM_NAME_BYTES} bytes"
            raise InvalidHeartbeatError(field, remedy)
    for field, number in (("seq", heartbeat.seq), ("born", heartbeat.born)):
        if not 0 <= number <= MAXIMUM_COUNT:
            raise InvalidHeartbeatError(field, "use a number from 0 to 2**63 - 1")
    if not 0 < heartbeat.slots <= MAXIMUM_SLOTS:
        remedy = f"use 1 to {MAXIMUM_SLOTS} slots"
        raise InvalidHeartbeatError("slots", remedy)
    if not heartbeat.warmup_left_ms <= _MAXIMUM_COLD_MS:
        raise InvalidHeartbeatError("warmup_left_ms", "use a day at most")


def packet_identity_of(name: str) -> bytes:
    """Return the 8 bytes that identify a server in the packets sent to it.

    They hold the hexadecimal number after the last hyphen of the server's name.
    """
    digits = name.rpartition("-")[2]
    # `int` also takes prefixes and underscores, by which two names would get one
    # identity.
    if not digits or not _HEXADECIMAL_DIGITS.issuperset(digits):
        raise InvalidHeartbeatError("id", "end the name in hexadecimal digits")
    number = int(digits, 16)
    if not 0 < number < 1 << 64:
        raise InvalidHeartbeatError("id", "use 1 to 16 hexadecimal digits, not all 0")
    return number.to_bytes(8, "big")


def _build_route(route: _Route, service_names: set[str]) -> Route:
    shares = _build_shares(route)
    for share in shares:
        if share.service not in service_names:
            raise _unknown_service(route, share.service)
    if route.timeout_ms <= 0:
        raise InvalidConfigurationError(f"route {route.name}", "set timeout_ms above 0")
    return Route(
        route.name,
        _build_route_key(route),
        shares,
        _limit(route.timeout_ms, MAXIMUM_DURATION_MS) / 1000,
        _limit(route.slo_ms, float(MAXIMUM_DURATION_MS)) / 1000,
        _limit(route.priority, _MAXIMUM_RANK),
    )


def _build_shares(route: _Route) -> tuple[ServiceShare, ...]:
    if route.split:
        if any(share.weight < 0 for share in route.split) or not any(
            share.weight for share in route.split
        ):
            raise InvalidConfigurationError(
                f"route {route.name}",
                "use split weights of 0 or higher, at least one above 0",
            )
        return tuple(
            ServiceShare(share.service, _limit(share.weight, _MAXIMUM_RANK))
            for share in route.split
        )
    if route.service is None:
        raise InvalidConfigurationError(f"route {route.name}", "set service or split")
    return (ServiceShare(route.service, 1),)


def _build_route_key(route: _Route) -> bytes:
    try:
        address = socket.inet_pton(socket.AF_INET, route.host)
        port = _parse_digits(route.path_prefix.strip("/"))
    except (OSError, ValueError) as error:
        raise InvalidConfigurationError(
            f"route {route.name}",
            "write host as an IPv4 address and path_prefix as /PORT/",
        ) from error
    if not 0 < port <= MAXIMUM_PORT:
        raise InvalidConfigurationError(
            f"route {route.name}", "use a port from 1 to 65535 in path_prefix"
        )
    return address + port.to_bytes(2, "big")


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
        number = _parse_digits(port)
    except (OSError, ValueError) as error:
        raise InvalidHeartbeatError("addr", "write it as ADDRESS:PORT") from error
    if not 0 < number <= MAXIMUM_PORT:
        raise InvalidHeartbeatError("addr", "use a port from 1 to 65535")
    return host, number


def _limit(value: _Number, maximum: _Number) -> _Number:
    """Return a value, or the nearest one from 0 to a maximum."""
    return min(max(value, 0), maximum)


def _parse_digits(text: str) -> int:
    """Return the number in a text of ASCII digits, or raise `ValueError`."""
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"{text!r} has characters other than digits")
    return int(text)
