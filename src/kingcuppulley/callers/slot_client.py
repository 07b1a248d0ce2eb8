"""Ask coordinators for slots and hold the leases that they grant."""

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

RENEWAL_SECONDS = 0.8


class SlotUser(Protocol):
    """Use a slot; one request at a time stands behind it."""

    def slot_granted(self, grant: SlotGrant) -> None:
        """Take a granted slot."""

    def slot_refused(self, reason: RefusalReason) -> None:
        """Take a refusal."""

    def lease_lost(self) -> None:
        """Stop using a slot whose lease has run out."""


class HeldSlot:
    """Hold a slot that is asked for or granted."""

    __slots__ = (
        "user",
        "service",
        "zone",
        "coordinator",
        "target",
        "granted_at",
        "asked_at",
        "renewal_sent_at",
        "deadline",
    )

    def __init__(
        self, user: SlotUser, service: str, zone: str, coordinator: str, asked_at: float
    ) -> None:
        self.user = user
        self.service = service
        self.zone = zone
        self.coordinator = coordinator
        self.target = ""
        self.asked_at = asked_at
        self.granted_at = 0.0
        self.renewal_sent_at = asked_at
        self.deadline = float("inf")


class SlotClient:
    """Hold every slot lease of one gateway.

    Once a new coordinator has asked for this gateway's leases, a grant that the former
    coordinator sent before is no longer counted by anyone: it is given back unused.
    """

    def __init__(self, sender: Sender[Body]) -> None:
        self._sender = sender
        self._slots: dict[str, HeldSlot] = {}
        self._asked_by: dict[tuple[str, str], str] = {}
        self._renewal_deadline = 0.0

    @property
    def held_count(self) -> int:
        """Return how many slots are granted now."""
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
        """Ask the coordinator of a zone for a slot."""
        self._slots[lease] = HeldSlot(user, service, zone, coordinator, now)
        self._sender.send(coordinator, SlotRequest(lease, service, wait_seconds, avoid))

    def handle_grant(self, host: str, grant: SlotGrant, now: float) -> None:
        """Take a grant, or give it back where it came too late."""
        slot = self._slots.get(grant.lease)
        asked_by = slot and self._asked_by.get((slot.service, slot.zone), host)
        if slot is None or slot.coordinator != host or asked_by != host:
            cancelled = SlotRelease(grant.lease, AttemptOutcome.CANCELLED, 0.0)
            self._sender.send(host, cancelled)
            if slot is not None and slot.coordinator == host and not slot.target:
                del self._slots[grant.lease]
                slot.user.slot_refused(RefusalReason.NOT_COORDINATOR)
            return
        slot.target = grant.target
        slot.granted_at = now
        # Counted from when the request was sent, before the coordinator counts.
        slot.deadline = now + grant.lease_seconds
        slot.user.slot_granted(grant)

    def handle_refusal(self, host: str, refusal: SlotRefusal) -> None:
        """Take a refusal."""
        slot = self._slots.get(refusal.lease)
        if slot is not None and slot.coordinator == host and not slot.target:
            del self._slots[refusal.lease]
            slot.user.slot_refused(refusal.reason)

    def release(self, lease: str, outcome: AttemptOutcome, now: float) -> None:
        """Give a slot back, or withdraw a request for one."""
        slot = self._slots.pop(lease, None)
        if slot is None:
            return
        seconds = now - slot.granted_at if slot.target else 0.0
        self._sender.send(slot.coordinator, SlotRelease(lease, outcome, seconds))

    def handle_renewed(self, host: str, renewed: SlotRenewed) -> None:
        """Extend leases that their coordinator has confirmed."""
        for lease in renewed.leases:
            slot = self._slots.get(lease)
            if slot is not None and slot.coordinator == host:
                slot.deadline = slot.renewal_sent_at + renewed.lease_seconds

    def handle_lease_query(self, host: str, query: LeaseQuery, now: float) -> None:
        """Tell a new coordinator what is held, and follow it from now on."""
        self._asked_by[(query.service, query.zone)] = host
        held = []
        for lease, slot in self._slots.items():
            if (slot.service, slot.zone) != (query.service, query.zone):
                continue
            if slot.target:
                slot.coordinator = host
                slot.renewal_sent_at = now
                held.append(HeldLease(lease, slot.target))
        self._sender.send(host, LeaseReport(query.service, query.zone, held))

    def tick(self, now: float) -> None:
        """Renew what is held and stop what was not renewed in time."""
        for lease, slot in list(self._slots.items()):
            if slot.deadline <= now:
                slot.user.lease_lost()
                self.release(lease, AttemptOutcome.LOST, now)
        if now < self._renewal_deadline:
            return
        self._renewal_deadline = now + RENEWAL_SECONDS
        by_coordinator: dict[str, list[str]] = {}
        for lease, slot in self._slots.items():
            if slot.target:
                slot.renewal_sent_at = now
                by_coordinator.setdefault(slot.coordinator, []).append(lease)
        for coordinator, leases in by_coordinator.items():
            self._sender.send(coordinator, SlotRenewal(leases))
