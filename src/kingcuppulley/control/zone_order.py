"""Decide whether an order for a zone may still be applied."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kingcuppulley.control.receipt_history import ReceiptHistory
from kingcuppulley.control.state import RoutingState

# An operator goes on to another control host after one second without an answer.
OPERATION_TIMEOUT_SECONDS = 0.9


class Caller(Protocol):
    """Tell since when a caller waits for an answer, and whether it still does."""

    @property
    def began_at(self) -> float:
        """Return when this host first saw the request or its connection."""

    @property
    def is_disconnected(self) -> bool:
        """Return whether the caller has closed the connection."""


class ZoneOrder:
    """Hold one order for a zone until a quorum accepts it.

    Orders for zones have no version, so the order of a caller that has given up must
    not take effect after a later one.  While the caller certainly waits, the order may
    be applied.  After that it may be applied only to a state in which nothing was
    ordered for the zone since the request can have been sent.

    Attributes
    ----------
    outdated_reason : str
        Why the order may not be applied, or empty while it may.
    """

    def __init__(
        self,
        zone: str,
        in_service: bool,
        caller: Caller,
        receipts: ReceiptHistory,
        clock: Callable[[], float],
    ) -> None:
        self._zone = zone
        self._in_service = in_service
        self._caller = caller
        self._clock = clock
        self._sent_after = receipts.earliest_sending(caller.began_at, clock())
        self._known_revision = receipts.revision_at(self._sent_after)
        self.outdated_reason = ""

    def may_apply(self, state: RoutingState) -> bool:
        """Return whether the order may change a state."""
        if self._caller.is_disconnected:
            self.outdated_reason = "caller disconnected"
            return False
        is_awaited = self._clock() < self._sent_after + OPERATION_TIMEOUT_SECONDS
        is_repeated = (self._zone not in state.zones_out) is self._in_service
        last_revision = state.zone_order_revision(self._zone)
        if is_awaited or is_repeated or last_revision <= self._known_revision:
            return True
        self.outdated_reason = (
            f"may be {self._clock() - self._sent_after:.1f} s old; revision "
            f"{self._known_revision} was known then, and {last_revision} is the zone's "
            "last order"
        )
        return False
