"""Decide which entry host owns a flow, from the hosts that are live now."""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Mapping

from kingcuppulley.internal.rendezvous import hash_name, mix

BUCKET_COUNT = 4096
RANKS = 4


class OwnerTable:
    """Hold, for each bucket of flows, the hosts in the order of rendezvous.

    Rank 0 owns the bucket and rank 1 backs it up.  Rendezvous makes the ranks tell
    the past: after a join the former owner is rank 1, after a death the backup has
    become rank 0.  Asking the next ranks therefore reaches whoever knew the flow.

    Rank 1 alone is no safe place for a copy: it may stand in the owner's own zone, and
    a zone goes as a whole.  `backup` is the first rank in another zone, where there is
    one.  For a bucket whose owner has changed, `former_owner` names the last one: it
    may still live, but own nothing, when its zone was taken out or it is leaving.

    The scores of a host are computed once, when it is first seen, so that a change
    of view costs a merge and not a hash for each pair of bucket and host.  They are
    packed, 32 KB a host: as lists of numbers, those of 168 hosts would take 27 MB.
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
        """Return the hosts that own buckets now."""
        return self._hosts

    def update(self, hosts: Iterable[str]) -> bool:
        """Take a new set of hosts and return whether it differs from the last."""
        wanted = frozenset(hosts)
        if wanted == self._hosts:
            return False
        for host in wanted - self._scores.keys():
            host_hash = hash_name(host)
            scores = (mix(bucket, host_hash) for bucket in range(BUCKET_COUNT))
            self._scores[host] = array("Q", scores)
        removed = self._hosts - wanted
        added = sorted(wanted - self._hosts)
        self._hosts = wanted
        for bucket in range(BUCKET_COUNT):
            self._update_bucket(bucket, removed, added)
        return True

    def ranked(self, flow: int) -> list[str]:
        """Return up to `RANKS` hosts of a flow's bucket, the owner first."""
        return self._ranks[flow % BUCKET_COUNT]

    def backup(self, flow: int) -> str | None:
        """Return the host that keeps copies for the owner of a flow, or None."""
        ranked = self.ranked(flow)
        if len(ranked) < 2:
            return None
        zone = self._zones.get(ranked[0])
        for host in ranked[1:]:
            if self._zones.get(host) != zone:
                return host
        return ranked[1]

    def hosts_to_ask(self, flow: int) -> list[str]:
        """Return the hosts that may know a flow that its owner does not."""
        former = self._former_owners[flow % BUCKET_COUNT]
        others = self.ranked(flow)[1:]
        if former is not None and former not in others:
            return [*others, former]
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
        former = ranked[0] if ranked else None
        scores = self._scores
        ordered = sorted(candidates, key=lambda h: (scores[h][bucket], h), reverse=True)
        self._ranks[bucket] = ordered[:RANKS]
        if former is not None and (not ordered or ordered[0] != former):
            self._former_owners[bucket] = former
