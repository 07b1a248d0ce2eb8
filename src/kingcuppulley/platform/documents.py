"""Read the platform's configurations and heartbeats into the product's types."""

from __future__ import annotations

import socket

import msgspec

from kingcuppulley.backend_servers.heartbeats import Heartbeat, ServingState
from kingcuppulley.errors import InvalidConfigurationError, InvalidHeartbeatError
from kingcuppulley.operators.routing import (
    Route,
    RoutedService,
    RoutingConfiguration,
    ServiceShare,
)

READY_PATH = b"/kingcuppulley/ready"
_MAXIMUM_PORT = 65_535


class _Share(msgspec.Struct):
    service: str
    weight: int = 0


class _Route(msgspec.Struct):
    # `host` is an address of the platform and `path_prefix` a port between slashes.
    name: str
    host: str
    path_prefix: str
    timeout_ms: int
    slo_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    split: list[_Share] | None = None


class _Service(msgspec.Struct):
    # `warmup_per_s` is what one server bears while it is cold.
    name: str
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]


class _Heartbeat(msgspec.Struct):
    service: str
    addr: str
    zone: str
    slots: int
    state: str
    seq: int
    born: int = 0
    warmup_left_ms: float = 0.0


_CONFIGURATIONS = msgspec.json.Decoder(_Configuration)
_HEARTBEATS = msgspec.json.Decoder(_Heartbeat)
_STATES = {"ready": ServingState.READY, "draining": ServingState.DRAINING}


def decode_configuration(document: bytes) -> RoutingConfiguration:
    """Return a configuration, or raise `InvalidConfigurationError`."""
    try:
        read = _CONFIGURATIONS.decode(document)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        remedy = f"{error}; send the whole configuration as JSON"
        raise InvalidConfigurationError("body", remedy) from error
    if read.version < 1:
        raise InvalidConfigurationError("version", "number versions from 1")
    services = {service.name for service in read.services}
    routes = tuple(_read_route(route, services) for route in read.routes)
    places = {route.key for route in routes}
    if len(places) != len(routes):
        raise InvalidConfigurationError(
            "routes", "give each route a host and path_prefix of its own"
        )
    return RoutingConfiguration(
        read.version,
        routes,
        tuple(
            RoutedService(service.name, service.warmup_s, service.warmup_per_s)
            for service in read.services
        ),
    )


def decode_heartbeat(name: str, body: bytes) -> Heartbeat:
    """Return a heartbeat, or raise `InvalidHeartbeatError`."""
    try:
        read = _HEARTBEATS.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidHeartbeatError("body", f"{error}; send it as JSON") from error
    state = _STATES.get(read.state)
    if state is None:
        raise InvalidHeartbeatError("state", "say ready or draining")
    host, port = _read_address(read.addr)
    if read.slots < 1 or read.seq < 0 or not read.service:
        raise InvalidHeartbeatError("slots", "name a service and at least one slot")
    return Heartbeat(
        name,
        packet_identity_of(name),
        read.service,
        read.zone,
        host,
        port,
        state,
        read.born,
        read.seq,
        read.slots,
        max(0.0, read.warmup_left_ms / 1000),
    )


def packet_identity_of(name: str) -> bytes:
    """Return the eight bytes that name a server in a packet."""
    digits = name.rpartition("-")[2]
    try:
        number = int(digits, 16)
    except ValueError as error:
        raise InvalidHeartbeatError("id", "end it in hexadecimal digits") from error
    if not 0 < number < 1 << 64:
        raise InvalidHeartbeatError("id", "use at most 16 hexadecimal digits, not 0")
    return number.to_bytes(8, "big")


def _read_route(route: _Route, services: set[str]) -> Route:
    shares = _read_shares(route)
    for share in shares:
        if share.service not in services:
            raise InvalidConfigurationError(
                f"route {route.name}", f"name a service that exists: {share.service!r}"
            )
    if route.timeout_ms <= 0:
        raise InvalidConfigurationError(
            f"route {route.name}", "give it a timeout_ms above 0"
        )
    return Route(
        route.name,
        _read_place(route),
        shares,
        route.timeout_ms / 1000,
        route.slo_ms / 1000,
        route.priority,
    )


def _read_shares(route: _Route) -> tuple[ServiceShare, ...]:
    if route.split:
        if any(share.weight < 0 for share in route.split) or not any(
            share.weight for share in route.split
        ):
            raise InvalidConfigurationError(
                f"route {route.name}", "give its split a weight above 0"
            )
        return tuple(ServiceShare(share.service, share.weight) for share in route.split)
    if route.service is None:
        raise InvalidConfigurationError(
            f"route {route.name}", "name its service or its split"
        )
    return (ServiceShare(route.service, 1),)


def _read_place(route: _Route) -> bytes:
    try:
        address = socket.inet_pton(socket.AF_INET, route.host)
        port = int(route.path_prefix.strip("/"))
    except (OSError, ValueError) as error:
        raise InvalidConfigurationError(
            f"route {route.name}", "give host as an address and path_prefix as /PORT/"
        ) from error
    if not 0 < port <= _MAXIMUM_PORT:
        raise InvalidConfigurationError(
            f"route {route.name}", "give path_prefix a port from 1 to 65535"
        )
    return address + port.to_bytes(2, "big")


def _read_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
        number = int(port)
    except (OSError, ValueError) as error:
        raise InvalidHeartbeatError("addr", "write it as ADDRESS:PORT") from error
    if not 0 < number <= _MAXIMUM_PORT:
        raise InvalidHeartbeatError("addr", "use a port from 1 to 65535")
    return host, number
