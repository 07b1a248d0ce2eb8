"""Describe backend servers in the order in which flows are placed on them."""

from __future__ import annotations

from kingcuppulley.backend_servers.target_registry import RegisteredTarget
from kingcuppulley.fabric.server_index import has_capacity

# Servers are compared by rank first and by cost second; the lowest rank is the best.
UNREACHABLE_ZONE_RANK = 3
COLD_RANK = 2
SUSPECT_RANK = 1
AVAILABLE_RANK = 0
_RANK_NAMES = ("available", "suspect", "cold", "zone unreachable")


class RankedServer:
    """Describe a backend server as the choice sees it, without the tie break.

    `may_be_used` is false for a server that gets no flow before a later time.
    """

    __slots__ = ("target", "rank", "flows", "slowness", "cost", "may_be_used")

    def __init__(
        self,
        target: RegisteredTarget,
        rank: int,
        flows: int,
        slowness: float,
        cost: float,
        may_be_used: bool,
    ) -> None:
        self.target = target
        self.rank = rank
        self.flows = flows
        self.slowness = slowness
        self.cost = cost
        self.may_be_used = may_be_used

    @property
    def rank_name(self) -> str:
        """Return the rank in words."""
        return _RANK_NAMES[self.rank]

    @property
    def has_capacity(self) -> bool:
        """Return whether a flow would be placed on the server now."""
        return has_capacity(self.target.slots, self.flows, self.slowness)

    @property
    def counted_slots(self) -> int:
        """Return the slots that count towards the total of the service."""
        return 0 if self.rank == UNREACHABLE_ZONE_RANK else self.target.slots
