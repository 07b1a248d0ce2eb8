"""Decide which of the live entry hosts owns a flow, by rendezvous hashing."""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Mapping

from kingcuppulley.internal.rendezvous import hash_name, mix

BUCKET_COUNT = 4096
RANK_COUNT = 4


class OwnerTable:
    """Hold, for each bucket of flows, the hosts ranked by rendezvous hashing.

    Rank 0 owns the bucket.  The next ranks also show the earlier owners: after a host
    joins, the former owner is rank 1; after the owner fails, the former rank 1 is rank
    0.  Querying the next ranks therefore reaches the host that knew the flow.

    Copies are not simply kept by rank 1, because it may be in the owner's zone, and all
    hosts of a zone may fail together.  `backup` returns the first rank in another zone,
    if there is one.  For a bucket whose owner has changed, `_former_owners` holds the
    previous owner: it may be live without owning anything, because its zone was taken
    out of service or because it is leaving.

    The scores of a host are computed once, when it is first seen, so that a change of
    the hosts costs a merge instead of a hash for each pair of bucket and host.  They
    are packed arrays of 32 KB a host: as lists of integers, the scores of 168 hosts
    would take 27 MB.
    """

    __slots__ = ("_scores", "_ranks", "_hosts", "_former_owners", "_zones")

    def __init__(self, zones: Mapping[str, str]) -> None:
        self._zones = zones
        self._former_owners: list[str | None] = [None] * BUCKET_COUNT
        self._scores: dict[str, array[int]] = {}
        self._ranks: list[list[str]] = [[] for _ in range(BUCKET_COUNT)]
        self._hosts: frozenset[str] = frozenset()

    @property
    def hosts(self) -> frozenset[str]:
        """Return the hosts that may own buckets now."""
        return self._hosts

    def update(self, hosts: Iterable[str]) -> bool:
        """Replace the set of hosts and return whether it has changed."""
        new_hosts = frozenset(hosts)
        if new_hosts == self._hosts:
            return False
        for host in new_hosts - self._scores.keys():
            host_hash = hash_name(host)
            scores = (mix(bucket, host_hash) for bucket in range(BUCKET_COUNT))
            self._scores[host] = array("Q", scores)
        removed = self._hosts - new_hosts
        added = sorted(new_hosts - self._hosts)
        self._hosts = new_hosts
        for bucket in range(BUCKET_COUNT):
            self._update_bucket(bucket, removed, added)
        return True

    def ranked(self, flow: int) -> list[str]:
        """Return up to `RANK_COUNT` hosts of a flow's bucket, the owner first."""
        return self._ranks[flow % BUCKET_COUNT]

    def backup(self, flow: int) -> str | None:
        """Return the host that backs up a flow for its owner, or None."""
        ranked = self.ranked(flow)
        if len(ranked) < 2:
            return None
        zone = self._zones.get(ranked[0])
        for host in ranked[1:]:
            if self._zones.get(host) != zone:
                return host
        return ranked[1]

    def hosts_to_query(self, flow: int) -> list[str]:
        """Return the hosts that may know a flow which its owner does not know."""
        former_owner = self._former_owners[flow % BUCKET_COUNT]
        others = self.ranked(flow)[1:]
        if former_owner is not None and former_owner not in others:
            return [*others, former_owner]
        return others

    def _update_bucket(
        self, bucket: int, removed: frozenset[str], added: list[str]
    ) -> None:
        ranked = self._ranks[bucket]
        if removed and not removed.isdisjoint(ranked):
            candidates: Iterable[str] = self._hosts
        elif added:
            candidates = [*ranked, *added]
        else:
            return
        former_owner = ranked[0] if ranked else None
        scores = self._scores
        ordered = sorted(candidates, key=lambda h: (scores[h][bucket], h), reverse=True)
        self._ranks[bucket] = ordered[:RANK_COUNT]
        if former_owner is not None and (not ordered or ordered[0] != former_owner):
            self._former_owners[bucket] = former_owner
