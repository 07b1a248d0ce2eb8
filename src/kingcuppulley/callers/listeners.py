"""Listen on the ports of the services that accept HTTP requests."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, Request
from twisted.web.resource import Resource
from twisted.web.server import Site

from kingcuppulley.callers.gateway import Gateway
from kingcuppulley.internal.reactor import ListeningReactor
from kingcuppulley.model import Service, Tier

LISTEN_BACKLOG = 1024


class LimitedRequest(Request):
    """Read one request, and discard a body that is above the limit."""

    def __init__(self, channel: HTTPChannel, *arguments: Any, **named: Any) -> None:
        super().__init__(channel, *arguments, **named)
        self._site: Any = channel.site  # type: ignore[attr-defined]
        self._remaining_body_bytes = self._site.gateway.settings.maximum_body_bytes

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body until the limit is reached."""
        self._remaining_body_bytes -= len(data)
        if self._remaining_body_bytes >= 0:
            super().handleContentChunk(data)

    def process(self) -> None:
        """Pass the request to the gateway."""
        self._site.pending_connections.discard(self.channel)
        self._site.gateway.handle(
            self._site.service, self, self._remaining_body_bytes >= 0
        )


class ServiceChannel(HTTPChannel):
    """Track its connection as open, and as pending until the first complete request."""

    site: Any

    def connectionMade(self) -> None:  # noqa: N802
        """Add the connection to the open and the pending ones."""
        self.site.open_connections.add(self)
        self.site.pending_connections.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]  # noqa: N802
        """Remove the connection from the open and the pending ones."""
        self.site.open_connections.discard(self)
        self.site.pending_connections.discard(self)
        super().connectionLost(reason)


class ServiceSite(Site):
    """Serve one service on one port.

    Attributes
    ----------
    open_connections : set[ServiceChannel]
        Connections that are not closed, or still have data to send.
    pending_connections : set[ServiceChannel]
        Open connections on which no complete request has arrived yet.
    """

    protocol = ServiceChannel  # type: ignore[assignment]

    def __init__(self, gateway: Gateway, service: Service) -> None:
        self.gateway = gateway
        self.service = service
        self.open_connections: set[ServiceChannel] = set()
        self.pending_connections: set[ServiceChannel] = set()
        super().__init__(
            resource=Resource(),
            requestFactory=LimitedRequest,
            timeout=int(gateway.settings.idle_seconds),
        )

    def log(self, request: Request) -> None:
        """Log nothing per request; the metrics count requests."""


class ServiceListeners:
    """Open and close ports as services are added to and removed from the configuration.

    With `listen_host` set, every service listens on that host, on the service's port.
    Otherwise each service listens on its own address, which every entry host must then
    have.  A port that cannot be opened is counted and tried again: a conflict with
    another service, or with a program on the host, must not stop the other services.
    """

    def __init__(self, gateway: Gateway, reactor: ListeningReactor) -> None:
        self._gateway = gateway
        self._reactor = reactor
        self._ports: dict[str, Any] = {}
        self._sites: dict[str, ServiceSite] = {}
        self._unopened_services: dict[str, Service] = {}

    @property
    def pending_connection_count(self) -> int:
        """Return the number of open connections without a complete request so far."""
        return sum(len(site.pending_connections) for site in self._sites.values())

    @property
    def open_connection_count(self) -> int:
        """Return the number of open connections of the services that are active."""
        return sum(len(site.open_connections) for site in self._sites.values())

    def update(self, services: Iterable[Service]) -> None:
        """Open and close ports so that they match the active services."""
        services_by_identity = {
            service.identity: service
            for service in services
            if service.tier is Tier.REQUESTS
        }
        for identity in list(self._ports):
            service = services_by_identity.get(identity)
            if service is None or service.port != self._sites[identity].service.port:
                self._ports.pop(identity).stopListening()
                del self._sites[identity]
        self._unopened_services.clear()
        for identity, service in services_by_identity.items():
            site = self._sites.get(identity)
            if site is None:
                self._open(service)
            else:
                site.service = service

    def retry(self) -> None:
        """Try again to open the ports that could not be opened."""
        for service in list(self._unopened_services.values()):
            self._open(service)

    def stop(self) -> None:
        """Stop accepting connections; open ones continue."""
        for port in self._ports.values():
            _accept_backlog(port)
            port.stopListening()
        self._ports.clear()
        self._unopened_services.clear()

    def close_connections(self) -> None:
        """Close each open connection once all that was written to it is sent."""
        for site in self._sites.values():
            for channel in list(site.open_connections):
                channel.loseConnection()

    def _open(self, service: Service) -> None:
        site = ServiceSite(self._gateway, service)
        host = self._gateway.settings.listen_host or service.address
        try:
            port = self._reactor.listenTCP(
                service.port, site, interface=host, backlog=LISTEN_BACKLOG
            )
        except CannotListenError:
            self._gateway.metrics.count("listeners_not_opened")
            self._unopened_services[service.identity] = service
            return
        self._unopened_services.pop(service.identity, None)
        self._sites[service.identity] = site
        self._ports[service.identity] = port


def _accept_backlog(port: Any) -> None:
    # The operating system resets connections that still wait to be accepted when their
    # port closes, so they are accepted first.  `sessionno` counts accepted connections.
    last_session = -1
    while port.sessionno != last_session:
        last_session = port.sessionno
        port.doRead()
