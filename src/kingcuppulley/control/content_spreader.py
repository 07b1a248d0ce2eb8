"""Spread a routing content to a quorum of voters before a state names it.

A round that proposes the state is then as short as any other, and a change of a zone
does not wait for a large configuration.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kingcuppulley.control.content_transfer import ContentHeld, OfferContent
from kingcuppulley.control.routing_content import ContentReference
from kingcuppulley.control.state import VoterSet

OFFER_INTERVAL_SECONDS = 0.1


class VoterHosts(Protocol):
    """Tell which voters are known, and reach their hosts."""

    @property
    def voters(self) -> VoterSet:
        """Return the voters of the newest revision that is known to be chosen."""

    def offer(self, host: str, offer: OfferContent) -> None:
        """Send an offer to a control host; it may be this one."""


class _Offer:
    """Hold one content, the disks of voters that hold it and who waits for them."""

    __slots__ = ("reference", "held_by", "on_result", "deadline", "resend_deadline")

    def __init__(
        self,
        reference: ContentReference,
        on_result: Callable[[bool], None],
        deadline: float,
    ) -> None:
        self.reference = reference
        self.held_by: set[str] = set()
        self.on_result = on_result
        self.deadline = deadline
        self.resend_deadline = float("-inf")


class ContentSpreader:
    """Offer contents to the hosts of all voters until a quorum holds them."""

    __slots__ = ("_hosts", "_offers")

    def __init__(self, hosts: VoterHosts) -> None:
        self._hosts = hosts
        self._offers: list[_Offer] = []

    @property
    def references(self) -> list[ContentReference]:
        """Return the contents that are being offered."""
        return [offer.reference for offer in self._offers]

    def spread(
        self,
        reference: ContentReference,
        on_result: Callable[[bool], None],
        deadline: float,
        now: float,
    ) -> None:
        """Offer a content; `on_result` receives whether a quorum held it in time."""
        self._offers.append(_Offer(reference, on_result, deadline))
        self.tick(now)

    def receive(self, held: ContentHeld) -> None:
        """Record that a voter's host holds a content."""
        for offer in list(self._offers):
            if offer.reference != held.reference:
                continue
            offer.held_by.add(held.disk_id)
            if self._hosts.voters.has_quorum(offer.held_by):
                self._end(offer, True)

    def tick(self, now: float) -> None:
        """Repeat the offers that are not answered, and end those that are late."""
        for offer in list(self._offers):
            if now >= offer.deadline:
                self._end(offer, False)
            elif now >= offer.resend_deadline:
                offer.resend_deadline = now + OFFER_INTERVAL_SECONDS
                self._send(offer)

    def _send(self, offer: _Offer) -> None:
        for member in sorted(self._hosts.voters.all()):
            if member.disk_id not in offer.held_by:
                self._hosts.offer(member.host, OfferContent(offer.reference))

    def _end(self, offer: _Offer, is_held: bool) -> None:
        if offer in self._offers:
            self._offers.remove(offer)
            offer.on_result(is_held)
