"""Divide the servers of a service in a zone among several placement coordinators.

Each share has its own coordinator, which counts the flows of the share's servers.  A
coordinator prefers these servers and uses others as it uses those of other zones.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.backend_servers.target_registry import (
    RegisteredTarget,
    TargetRegistry,
)
from kingcuppulley.internal.rendezvous import hash_bytes

# One coordinator per share must be able to place the flows of all its servers.  Hosts
# whose capacity is known may bear fewer.
SERVERS_PER_SHARE = 64


def share_count(servers: int, servers_per_share: int = SERVERS_PER_SHARE) -> int:
    """Return into how many shares a number of servers is divided."""
    count = 1
    while count * servers_per_share < servers:
        count *= 2
    return count


class ShareSizes(Protocol):
    """Say how many servers of a service a share may have in each zone."""

    @property
    def version(self) -> int:
        """Return a number that grows when a size may have changed."""

    def servers_per_share(self, zone: str) -> int:
        """Return the most servers of a share in a zone."""


class FixedShareSizes:
    """Use `SERVERS_PER_SHARE` in every zone."""

    version = 0

    def servers_per_share(self, zone: str) -> int:
        """Return the most servers of a share in a zone."""
        return SERVERS_PER_SHARE


class ServiceShares:
    """Compute the shares of each service and zone from the registry.

    The number of shares is a power of two, so that half of the servers keep their share
    when it changes.  All hosts with the same registry compute the same shares.
    """

    def __init__(
        self, registry: TargetRegistry, sizes: ShareSizes | None = None
    ) -> None:
        self._registry = registry
        self._sizes = FixedShareSizes() if sizes is None else sizes
        self._versions = (-1, -1)
        self._counts: dict[tuple[str, str], int] = {}

    def count(self, zone: str, service: str) -> int:
        """Return the number of shares of a service in a zone; at least 1."""
        versions = (self._registry.version, self._sizes.version)
        if self._versions != versions:
            self._versions = versions
            self._counts = self._compute_counts()
        return self._counts.get((zone, service), 1)

    def share_of_server(self, target: RegisteredTarget) -> int:
        """Return the share of a server among those of its zone."""
        return target.cookie % self.count(target.zone, target.service)

    def share_of_flow(self, zone: str, service: str, flow: bytes) -> int:
        """Return the share that a new flow belongs to, in the zone that received it."""
        count = self.count(zone, service)
        if count == 1:
            return 0
        # The lower bits of the hash choose the service of the flow.
        return (hash_bytes(flow) >> 32) % count

    def is_candidate(
        self, target: RegisteredTarget, zone: str, service: str, share: int
    ) -> bool:
        """Return whether the coordinator of a share in `zone` may use a server.

        It may use all servers of its zone, and in each other zone those of one share,
        whose coordinator it exchanges load reports with.
        """
        if target.zone == zone:
            return True
        count = self.count(target.zone, service)
        return target.cookie % count == share % count

    def _compute_counts(self) -> dict[tuple[str, str], int]:
        servers = Counter(
            (target.zone, target.service)
            for target in self._registry.targets
            if target.state in (ServingState.READY, ServingState.DRAINING)
        )
        return {
            (zone, service): share_count(number, self._sizes.servers_per_share(zone))
            for (zone, service), number in servers.items()
        }
