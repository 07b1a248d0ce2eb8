"""Listen on the port of each service that requests may come for."""

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
    """Take one request and drop a body that is above the limit."""

    def __init__(self, channel: HTTPChannel, *arguments: Any, **named: Any) -> None:
        super().__init__(channel, *arguments, **named)
        self._site: Any = channel.site  # type: ignore[attr-defined]
        self._room = self._site.gateway.settings.maximum_body_bytes

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece of the body while there is room."""
        self._room -= len(data)
        if self._room >= 0:
            super().handleContentChunk(data)

    def process(self) -> None:
        """Pass the request to the gateway."""
        self._site.pending_connections.discard(self.channel)
        self._site.gateway.handle(self._site.service, self, self._room >= 0)


class ServiceChannel(HTTPChannel):
    """Tell its site from when to when a connection is open."""

    site: Any

    def connectionMade(self) -> None:  # noqa: N802
        """Expect a request."""
        self.site.pending_connections.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]  # noqa: N802
        """Expect no request any more."""
        self.site.pending_connections.discard(self)
        super().connectionLost(reason)


class ServiceSite(Site):
    """Serve one service on one port.

    Attributes
    ----------
    pending_connections : set[ServiceChannel]
        Open connections on which no whole request has arrived yet.
    """

    protocol = ServiceChannel  # type: ignore[assignment]

    def __init__(self, gateway: Gateway, service: Service) -> None:
        self.gateway = gateway
        self.service = service
        self.pending_connections: set[ServiceChannel] = set()
        super().__init__(
            resource=Resource(),
            requestFactory=LimitedRequest,
            timeout=int(gateway.settings.idle_seconds),
        )

    def log(self, request: Request) -> None:
        """Write no line a request; counters tell."""


class ServiceListeners:
    """Open and close ports as services come into force and leave it.

    With `listen_host` set, every service listens there, on its own port.  With none,
    each listens on its own address, which every entry host then has to hold.  A port
    that cannot be opened is counted and tried again: one service that clashes with
    another, or with a program on the host, must not stop the rest.
    """

    def __init__(self, gateway: Gateway, reactor: ListeningReactor) -> None:
        self._gateway = gateway
        self._reactor = reactor
        self._ports: dict[str, Any] = {}
        self._sites: dict[str, ServiceSite] = {}
        self._unopened: dict[str, Service] = {}

    @property
    def pending_connection_count(self) -> int:
        """Return how many open connections have not brought a whole request yet."""
        return sum(len(site.pending_connections) for site in self._sites.values())

    def update(self, services: Iterable[Service]) -> None:
        """Take the services that are in force."""
        wanted = {s.identity: s for s in services if s.tier is Tier.REQUESTS}
        for identity in list(self._ports):
            service = wanted.get(identity)
            if service is None or service.port != self._sites[identity].service.port:
                self._ports.pop(identity).stopListening()
                del self._sites[identity]
        self._unopened.clear()
        for identity, service in wanted.items():
            site = self._sites.get(identity)
            if site is None:
                self._open(service)
            else:
                site.service = service

    def retry(self) -> None:
        """Try the ports again that could not be opened."""
        for service in list(self._unopened.values()):
            self._open(service)

    def stop(self) -> None:
        """Stop taking connections; those that are open go on."""
        for port in self._ports.values():
            _take_waiting(port)
            port.stopListening()
        self._ports.clear()
        self._unopened.clear()

    def _open(self, service: Service) -> None:
        site = ServiceSite(self._gateway, service)
        host = self._gateway.settings.listen_host or service.address
        try:
            port = self._reactor.listenTCP(
                service.port, site, interface=host, backlog=LISTEN_BACKLOG
            )
        except CannotListenError:
            self._gateway.metrics.count("listeners_not_opened")
            self._unopened[service.identity] = service
            return
        self._unopened.pop(service.identity, None)
        self._sites[service.identity] = site
        self._ports[service.identity] = port


def _take_waiting(port: Any) -> None:
    # The system resets connections that wait when a port closes.
    taken = -1
    while port.sessionno != taken:
        taken = port.sessionno
        port.doRead()
