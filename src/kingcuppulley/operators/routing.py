"""Define the routing configuration, which operators replace as a whole."""

from __future__ import annotations

import msgspec

from kingcuppulley.control.routing_content import EarlierServices
from kingcuppulley.internal.rendezvous import hash_bytes

# Earlier services that are kept for one route, so that the state stays small.
MAXIMUM_EARLIER_SERVICES = 8


class ServiceShare(msgspec.Struct, frozen=True):
    """Give a service a weighted share of a route's new flows."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Map an address and port to the services that receive its flows.

    Attributes
    ----------
    key : bytes
        Address and port in the encoding of the packets.
    objective_seconds : float
        Time within which a request should be answered.
    priority : int
        0 is the most urgent.
    """

    name: str
    key: bytes
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float
    objective_seconds: float
    priority: int

    @property
    def services(self) -> frozenset[str]:
        """Return the services that receive the route's new flows."""
        return frozenset(share.service for share in self.shares)

    def service_of(self, flow: bytes) -> str:
        """Return the service of a flow, which is the same on every host."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total_weight = sum(share.weight for share in self.shares)
        remaining_weight = hash_bytes(flow) % total_weight
        for share in self.shares:
            remaining_weight -= share.weight
            if remaining_weight < 0:
                return share.service
        return self.shares[-1].service


class RoutedService(msgspec.Struct, frozen=True):
    """Describe the cold start of a service's backend servers.

    Attributes
    ----------
    cold_seconds : float
        Duration of a cold start.
    cold_requests_per_second : float
        Requests per second that one backend server can serve while it is cold.  The
        configuration states it, but no decision uses it.
    """

    name: str
    cold_seconds: float
    cold_requests_per_second: float


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """Hold all routes and services of one configuration version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]


def find_earlier_services(
    previous: RoutingConfiguration,
    earlier: tuple[EarlierServices, ...],
    current: RoutingConfiguration,
) -> tuple[EarlierServices, ...]:
    """Return the services that only earlier configurations allow, for each route.

    `earlier` holds those of the routes of `previous`.  A route that is removed loses
    its earlier services: its flows are abandoned.
    """
    allowed_before = {route.key: route.services for route in previous.routes}
    for entry in earlier:
        allowed_before[entry.key] = allowed_before.get(
            entry.key, frozenset()
        ) | frozenset(entry.services)
    result = []
    for route in current.routes:
        services = allowed_before.get(route.key, frozenset()) - route.services
        if services:
            kept = tuple(sorted(services)[:MAXIMUM_EARLIER_SERVICES])
            result.append(EarlierServices(route.key, kept))
    return tuple(result)


class RoutingTable:
    """Look up routes by the address and port of a packet.

    Services that an earlier version allowed for a route remain allowed for its open
    flows.  Only the flows of a removed route are abandoned.
    """

    __slots__ = (
        "_version",
        "_routes",
        "_allowed_services",
        "_services",
        "_removed_keys",
    )

    def __init__(self) -> None:
        self._version = 0
        self._routes: dict[bytes, Route] = {}
        self._allowed_services: dict[bytes, frozenset[str]] = {}
        self._services: dict[str, RoutedService] = {}
        self._removed_keys: set[bytes] = set()

    @property
    def version(self) -> int:
        """Return the active version, or 0 if there is none."""
        return self._version

    def update(
        self,
        configuration: RoutingConfiguration,
        earlier: tuple[EarlierServices, ...] = (),
    ) -> bool:
        """Activate a configuration that is newer than the active one.

        `earlier` names services that only earlier configurations allowed, which this
        process may not have received.  Return whether it was activated.
        """
        if configuration.version <= self._version:
            return False
        self._version = configuration.version
        routes = {route.key: route for route in configuration.routes}
        allowed_services = {}
        for key, route in routes.items():
            earlier_services = self._allowed_services.get(key, frozenset())
            allowed_services[key] = route.services | earlier_services
        for entry in earlier:
            if entry.key in allowed_services:
                allowed_services[entry.key] |= frozenset(entry.services)
        self._removed_keys = (self._removed_keys | self._routes.keys()) - routes.keys()
        self._routes = routes
        self._allowed_services = allowed_services
        self._services = {service.name: service for service in configuration.services}
        return True

    def route(self, key: bytes) -> Route | None:
        """Return the route of an address and port, or None."""
        return self._routes.get(key)

    def service(self, name: str) -> RoutedService | None:
        """Return the service with this name, or None."""
        return self._services.get(name)

    def service_names(self) -> list[str]:
        """Return the names of all services."""
        return list(self._services)

    def may_forward(self, key: bytes, service: str) -> bool:
        """Return whether packets of open flows may be forwarded to a service.

        `key` is the address and port of the packets.  An unknown key is allowed,
        because another host may already have activated its route.
        """
        allowed = self._allowed_services.get(key)
        return key not in self._removed_keys if allowed is None else service in allowed
