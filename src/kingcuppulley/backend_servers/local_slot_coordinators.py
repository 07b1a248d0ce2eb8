"""Hold the stewards that one entry host is, and pass their messages to them."""

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

RETAKE_SECONDS = 1.0
CoordinatorMessage = SlotRequest | SlotRelease | SlotRenewal | LeaseReport


class LocalSlotCoordinators:
    """Take up and lay down the stewardship of services as the view changes."""

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
        self._stewards: dict[str, SlotCoordinator] = {}
        self._retake_deadline = math.inf

    def update(
        self,
        services: dict[str, Service],
        coordinator_of: Callable[[str], str | None],
        now: float,
    ) -> None:
        """Be the steward of just those services that the view gives to this host."""
        self._retake_deadline = math.inf
        for identity in list(self._stewards):
            if identity not in services or coordinator_of(identity) != self._name:
                del self._stewards[identity]
        for identity, service in services.items():
            if service.tier is not Tier.REQUESTS or self._zone not in service.zones:
                continue
            if coordinator_of(identity) != self._name:
                continue
            steward = self._stewards.get(identity)
            if steward is not None:
                steward.update_service(service, now)
            else:
                self._take_up(identity, service, now)

    def update_targets(
        self, records_of: Callable[[str], list[TargetRecord]], now: float
    ) -> None:
        """Take the backend servers of each stewarded service."""
        for identity, steward in self._stewards.items():
            steward.update_targets(records_of(identity), now)

    def receive(self, host: str, body: CoordinatorMessage, now: float) -> None:
        """Pass a gateway's message to the steward that it is for."""
        match body:
            case SlotRequest():
                steward = self._stewards.get(body.service)
                if steward is not None:
                    steward.request(host, body, now)
                else:
                    refusal = SlotRefusal(body.lease, RefusalReason.NOT_COORDINATOR)
                    self._sender.send(host, refusal)
            case SlotRelease():
                for steward in self._stewards.values():
                    steward.release(host, body, now)
            case SlotRenewal():
                for steward in self._stewards.values():
                    steward.renew(host, body, now)
            case LeaseReport():
                steward = self._stewards.get(body.service)
                if steward is not None and body.zone == self._zone:
                    steward.handle_lease_report(host, body, now)

    def handle_lease_query(self, host: str, query: LeaseQuery, now: float) -> None:
        """Lay a stewardship down that another host takes up.

        Whoever asks counts the slots from here on, so this host stops at once.  The
        other's view may have been wrong for a moment only, and this host's may never
        change: after a while it looks again, and has to ask first as well.
        """
        if host == self._name or query.zone != self._zone:
            return
        if self._stewards.pop(query.service, None) is not None:
            self._retake_deadline = now + RETAKE_SECONDS

    def is_reassessment_due(self, now: float) -> bool:
        """Return whether a stewardship that was laid down is to be looked at again."""
        return now >= self._retake_deadline

    def proven_limits(self) -> dict[str, int]:
        """Return each backend server's limit that its record does not show yet."""
        limits: dict[str, int] = {}
        for steward in self._stewards.values():
            limits.update(steward.proven_limits())
        return limits

    def tick(self, now: float) -> None:
        """Let every steward act on deadlines that have passed."""
        for steward in self._stewards.values():
            steward.tick(now)

    def _take_up(self, identity: str, service: Service, now: float) -> None:
        self._metrics.count("stewardships_taken")
        self._stewards[identity] = SlotCoordinator(
            service, self._zone, self._hosts, self._sender, LeastUsed(), now
        )
