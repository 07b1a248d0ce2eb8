"""Define the routing configuration that operators put in force as a whole."""

from __future__ import annotations

import msgspec

from kingcuppulley.internal.rendezvous import hash_bytes


class ServiceShare(msgspec.Struct, frozen=True):
    """Give a service its share of a route's new flows."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Say which services an address and port leads to.

    Attributes
    ----------
    key : bytes
        Address and port as packets carry them.
    objective_seconds : float
        Within which a request should be answered.
    priority : int
        0 is the most urgent.
    """

    name: str
    key: bytes
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float
    objective_seconds: float
    priority: int

    def service_of(self, flow: bytes) -> str:
        """Return the service of a flow, alike on every host."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        place = hash_bytes(flow) % total
        for share in self.shares:
            place -= share.weight
            if place < 0:
                return share.service
        return self.shares[-1].service


class RoutedService(msgspec.Struct, frozen=True):
    """Say what a service's backend servers bear after a cold start."""

    name: str
    cold_seconds: float
    cold_requests_per_second: float


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """Hold all routes and services of one version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]


class RoutingTable:
    """Look routes up by the address and port of a packet.

    Services that an earlier version allowed for a route stay allowed for flows that
    are open; only a route that is gone gives its flows up.
    """

    __slots__ = ("_version", "_routes", "_allowed", "_services", "_former")

    def __init__(self) -> None:
        self._version = 0
        self._routes: dict[bytes, Route] = {}
        self._allowed: dict[bytes, frozenset[str]] = {}
        self._services: dict[str, RoutedService] = {}
        self._former: set[bytes] = set()

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self._version

    def update(self, configuration: RoutingConfiguration) -> bool:
        """Put a configuration in force unless it is older than the one held."""
        if configuration.version <= self._version:
            return False
        self._version = configuration.version
        routes = {route.key: route for route in configuration.routes}
        allowed = {}
        for key, route in routes.items():
            services = frozenset(share.service for share in route.shares)
            allowed[key] = services | self._allowed.get(key, frozenset())
        self._former = (self._former | self._routes.keys()) - routes.keys()
        self._routes = routes
        self._allowed = allowed
        self._services = {service.name: service for service in configuration.services}
        return True

    def route(self, key: bytes) -> Route | None:
        """Return the route of an address and port."""
        return self._routes.get(key)

    def service(self, name: str) -> RoutedService | None:
        """Return a service by its name."""
        return self._services.get(name)

    def service_names(self) -> list[str]:
        """Return the names of all services."""
        return list(self._services)

    def may_forward(self, key: bytes, service: str) -> bool:
        """Return whether open flows of an address may go to a service.

        A route that is not known here yet may have been put in force elsewhere.
        """
        allowed = self._allowed.get(key)
        return key not in self._former if allowed is None else service in allowed
