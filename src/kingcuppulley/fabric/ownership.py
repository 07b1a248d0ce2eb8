"""Decide which entry host owns a flow, from the hosts that are live now."""

from __future__ import annotations

from collections.abc import Iterable

from kingcuppulley.internal.rendezvous import hash_name, mix

BUCKET_COUNT = 4096
RANKS = 4


class OwnerTable:
    """Hold, for each bucket of flows, the hosts in the order of rendezvous.

    Rank 0 owns the bucket and rank 1 backs it up.  Rendezvous makes the ranks tell
    the past: after a join the former owner is rank 1, after a death the backup has
    become rank 0.  Asking the next ranks therefore reaches whoever knew the flow.

    The scores of a host are computed once, when it is first seen, so that a change
    of view costs a merge and not a hash for each pair of bucket and host.
    """

    __slots__ = ("_scores", "_ranks", "_hosts")

    def __init__(self) -> None:
        self._scores: dict[str, list[int]] = {}
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
            self._scores[host] = [mix(b, host_hash) for b in range(BUCKET_COUNT)]
        removed = self._hosts - wanted
        added = sorted(wanted - self._hosts)
        self._hosts = wanted
        for bucket in range(BUCKET_COUNT):
            self._update_bucket(bucket, removed, added)
        return True

    def ranked(self, flow: int) -> list[str]:
        """Return up to `RANKS` hosts of a flow's bucket, the owner first."""
        return self._ranks[flow % BUCKET_COUNT]

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
        scores = self._scores
        ordered = sorted(candidates, key=lambda h: (scores[h][bucket], h), reverse=True)
        self._ranks[bucket] = ordered[:RANKS]
