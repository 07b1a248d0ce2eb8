"""Request slots from slot coordinators and hold the leases that they grant."""

from __future__ import annotations

from typing import Protocol

from kingcuppulley.entry_hosts.messages import (
    AttemptOutcome,
    Body,
    HeldLease,
    LeaseQuery,
    LeaseReport,
    RefusalReason,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRenewal,
    SlotRenewed,
    SlotRequest,
)
from kingcuppulley.internal.sender import Sender

LEASE_RENEWAL_INTERVAL_SECONDS = 0.8


class SlotUser(Protocol):
    """Use a slot for one request."""

    def slot_granted(self, grant: SlotGrant) -> None:
        """Handle a granted slot."""

    def slot_refused(self, reason: RefusalReason) -> None:
        """Handle a refusal."""

    def lease_lost(self) -> None:
        """Stop using a slot whose lease has expired."""


class HeldSlot:
    """Hold one slot that is requested or granted.

    `deadline` is when the lease expires.  Until the slot is granted, `target` is empty
    and `deadline` is infinite.
    """

    __slots__ = (
        "user",
        "service",
        "zone",
        "coordinator",
        "target",
        "granted_at",
        "requested_at",
        "renewal_sent_at",
        "deadline",
    )

    def __init__(
        self,
        user: SlotUser,
        service: str,
        zone: str,
        coordinator: str,
        requested_at: float,
    ) -> None:
        self.user = user
        self.service = service
        self.zone = zone
        self.coordinator = coordinator
        self.target = ""
        self.requested_at = requested_at
        self.granted_at = 0.0
        self.renewal_sent_at = requested_at
        self.deadline = float("inf")


class SlotClient:
    """Request, renew and release the slot leases of one gateway.

    A new slot coordinator queries this gateway's leases and counts only those that the
    gateway then reports.  A grant of the former coordinator that arrives after the
    query is not counted by the new one, so it is released unused.
    """

    def __init__(self, sender: Sender[Body]) -> None:
        self._sender = sender
        self._slots: dict[str, HeldSlot] = {}
        self._queried_by: dict[tuple[str, str], str] = {}
        self._renewal_deadline = 0.0

    @property
    def held_count(self) -> int:
        """Return how many granted slots the gateway holds."""
        return sum(1 for slot in self._slots.values() if slot.target)

    def request(
        self,
        lease: str,
        user: SlotUser,
        service: str,
        zone: str,
        coordinator: str,
        wait_seconds: float,
        avoid: str | None,
        now: float,
    ) -> None:
        """Request a slot from a slot coordinator; `user` receives the answer."""
        self._slots[lease] = HeldSlot(user, service, zone, coordinator, now)
        self._sender.send(coordinator, SlotRequest(lease, service, wait_seconds, avoid))

    def handle_grant(self, host: str, grant: SlotGrant, now: float) -> None:
        """Notify the user of a grant, or release the slot if the grant is not valid."""
        slot = self._slots.get(grant.lease)
        queried_by = slot and self._queried_by.get((slot.service, slot.zone), host)
        if slot is None or slot.coordinator != host or queried_by != host:
            release = SlotRelease(grant.lease, AttemptOutcome.CANCELLED, 0.0)
            self._sender.send(host, release)
            if slot is not None and slot.coordinator == host and not slot.target:
                del self._slots[grant.lease]
                slot.user.slot_refused(RefusalReason.NOT_COORDINATOR)
            return
        slot.target = grant.target
        slot.granted_at = now
        # Counted from the arrival of the grant.  The coordinator counts from when it
        # sends the grant and adds LEASE_MARGIN_SECONDS, so the lease ends here first
        # only if the grant arrives within that margin.
        slot.deadline = now + grant.lease_seconds
        slot.user.slot_granted(grant)

    def handle_refusal(self, host: str, refusal: SlotRefusal) -> None:
        """Notify the user of a refused request."""
        slot = self._slots.get(refusal.lease)
        if slot is not None and slot.coordinator == host and not slot.target:
            del self._slots[refusal.lease]
            slot.user.slot_refused(refusal.reason)

    def release(self, lease: str, outcome: AttemptOutcome, now: float) -> None:
        """Release a slot, or cancel the request for one."""
        slot = self._slots.pop(lease, None)
        if slot is None:
            return
        seconds = now - slot.granted_at if slot.target else 0.0
        self._sender.send(slot.coordinator, SlotRelease(lease, outcome, seconds))

    def handle_renewed(self, host: str, renewed: SlotRenewed) -> None:
        """Extend leases that their coordinator has renewed."""
        for lease in renewed.leases:
            slot = self._slots.get(lease)
            if slot is not None and slot.coordinator == host:
                # Counted from when the last renewal or lease report was sent.  The
                # coordinator starts to count later, provided that it confirms this
                # message and not an earlier one.
                slot.deadline = slot.renewal_sent_at + renewed.lease_seconds

    def handle_lease_query(self, host: str, query: LeaseQuery, now: float) -> None:
        """Report the held leases to a new coordinator, which then manages them."""
        self._queried_by[(query.service, query.zone)] = host
        held_leases = []
        for lease, slot in self._slots.items():
            if (slot.service, slot.zone) != (query.service, query.zone):
                continue
            if slot.target:
                slot.coordinator = host
                slot.renewal_sent_at = now
                held_leases.append(HeldLease(lease, slot.target))
        self._sender.send(host, LeaseReport(query.service, query.zone, held_leases))

    def tick(self, now: float) -> None:
        """Renew the held leases, and release those that were not renewed in time."""
        for lease, slot in list(self._slots.items()):
            if slot.deadline <= now:
                slot.user.lease_lost()
                self.release(lease, AttemptOutcome.LOST, now)
        if now < self._renewal_deadline:
            return
        self._renewal_deadline = now + LEASE_RENEWAL_INTERVAL_SECONDS
        leases_by_coordinator: dict[str, list[str]] = {}
        for lease, slot in self._slots.items():
            if slot.target:
                slot.renewal_sent_at = now
                leases_by_coordinator.setdefault(slot.coordinator, []).append(lease)
        for coordinator, leases in leases_by_coordinator.items():
            self._sender.send(coordinator, SlotRenewal(leases))
