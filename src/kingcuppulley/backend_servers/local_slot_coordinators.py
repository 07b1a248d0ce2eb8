"""Run the slot coordinators of one entry host.

Each service has one slot coordinator in each zone, on one of the zone's entry hosts.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from kingcuppulley.backend_servers.choice import LeastUsed
from kingcuppulley.backend_servers.records import TargetRecord
from kingcuppulley.backend_servers.slot_coordinator import SlotCoordinator
from kingcuppulley.entry_hosts.messages import (
    Body,
    LeaseQuery,
    LeaseReport,
    RefusalReason,
    SlotRefusal,
    SlotRelease,
    SlotRenewal,
    SlotRequest,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.sender import Sender
from kingcuppulley.model import Service, Tier

REASSESSMENT_DELAY_SECONDS = 1.0
CoordinatorMessage = SlotRequest | SlotRelease | SlotRenewal | LeaseReport


class LocalSlotCoordinators:
    """Start and stop slot coordinators as the view of live entry hosts changes.

    Messages from gateways are passed to the coordinator of their service.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        hosts: Iterable[str],
        sender: Sender[Body],
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._zone = zone
        self._hosts = list(hosts)
        self._sender = sender
        self._metrics = metrics
        self._coordinators: dict[str, SlotCoordinator] = {}
        self._reassessment_deadline = math.inf

    def update(
        self,
        services: dict[str, Service],
        coordinator_of: Callable[[str], str | None],
        now: float,
    ) -> None:
        """Coordinate exactly the services that the view assigns to this host.

        `coordinator_of` returns the coordinating host of a service in this host's zone,
        or None.
        """
        self._reassessment_deadline = math.inf
        for identity in list(self._coordinators):
            if identity not in services or coordinator_of(identity) != self._name:
                del self._coordinators[identity]
        for identity, service in services.items():
            if service.tier is not Tier.REQUESTS or self._zone not in service.zones:
                continue
            if coordinator_of(identity) != self._name:
                continue
            coordinator = self._coordinators.get(identity)
            if coordinator is not None:
                coordinator.update_service(service, now)
            else:
                self._start(identity, service, now)

    def update_targets(
        self, records_of: Callable[[str], list[TargetRecord]], now: float
    ) -> None:
        """Update the backend servers of each service that this host coordinates."""
        for identity, coordinator in self._coordinators.items():
            coordinator.update_targets(records_of(identity), now)

    def receive(self, host: str, body: CoordinatorMessage, now: float) -> None:
        """Pass a gateway's message to the coordinator that it is for.

        A request for a service that this host does not coordinate is refused.
        """
        match body:
            case SlotRequest():
                coordinator = self._coordinators.get(body.service)
                if coordinator is not None:
                    coordinator.request(host, body, now)
                else:
                    refusal = SlotRefusal(body.lease, RefusalReason.NOT_COORDINATOR)
                    self._sender.send(host, refusal)
            case SlotRelease():
                for coordinator in self._coordinators.values():
                    coordinator.release(host, body, now)
            case SlotRenewal():
                for coordinator in self._coordinators.values():
                    coordinator.renew(host, body, now)
            case LeaseReport():
                coordinator = self._coordinators.get(body.service)
                if coordinator is not None and body.zone == self._zone:
                    coordinator.handle_lease_report(host, body, now)

    def handle_lease_query(self, host: str, query: LeaseQuery, now: float) -> None:
        """Stop coordinating a service that another host has started to coordinate.

        The querying host counts the slots from now on, so this host stops at once.  The
        other host's view may have been wrong only briefly, and this host's view may
        never change.  This host therefore reassesses its services after
        `REASSESSMENT_DELAY_SECONDS`; if it starts to coordinate again, it too has to
        query all hosts for their leases first.
        """
        if host == self._name or query.zone != self._zone:
            return
        if self._coordinators.pop(query.service, None) is not None:
            self._reassessment_deadline = now + REASSESSMENT_DELAY_SECONDS

    def is_reassessment_due(self, now: float) -> bool:
        """Return whether `update` is due after a query stopped a coordinator."""
        return now >= self._reassessment_deadline

    def proven_limits(self) -> dict[str, int]:
        """Return the proven slot limits that the servers' records do not hold yet."""
        limits: dict[str, int] = {}
        for coordinator in self._coordinators.values():
            limits.update(coordinator.proven_limits())
        return limits

    def tick(self, now: float) -> None:
        """Let every coordinator act on deadlines that have passed."""
        for coordinator in self._coordinators.values():
            coordinator.tick(now)

    def _start(self, identity: str, service: Service, now: float) -> None:
        self._metrics.count("stewardships_taken")
        self._coordinators[identity] = SlotCoordinator(
            service, self._zone, self._hosts, self._sender, LeastUsed(), now
        )
