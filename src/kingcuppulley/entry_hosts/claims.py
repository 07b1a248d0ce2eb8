"""Let a keyed request run at most once: one home for each idempotency key.

A key's home is a host of one availability zone.  The home records a claim, and two
more hosts of the zone copy it, before a byte of the request leaves.  A copy is also a
question: a host that has the key already names its holder, so a home that has just
taken over learns of earlier claims in the same step, without a transfer first.

A home that sees no other host of its zone may be the last one, or may be cut off from
the others while they take themselves for the home.  It then copies to a witness, the
host of another zone that the key's hash names, where the two would meet.  A whole
zone that is cut off needs no witness, because its hosts copy to each other.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from kingcuppulley.entry_hosts.messages import (
    Body,
    ClaimAnswer,
    ClaimCopied,
    ClaimCopy,
    ClaimRequest,
    ClaimResult,
    ClaimTransferDone,
    ClaimVerdict,
)
from kingcuppulley.internal.rendezvous import hash_name, rank_names
from kingcuppulley.internal.sender import Sender

CLAIM_RETENTION_SECONDS = 600.0
COPY_SECONDS = 0.4
COPIES = 2


class ZoneView(Protocol):
    """Tell which hosts of a zone live now."""

    def eligible_hosts_in_zone(self, zone: str, now: float) -> list[str]:
        """Return the live hosts of a zone that do not stand aside."""

    def live_hosts(self, now: float) -> list[str]:
        """Return the live hosts of every zone."""

    def configured_in(self, zone: str) -> int:
        """Return how many hosts a zone has, live or not."""


class IssuedKey:
    """Read and write the keys that the system issues: zone, time and a random part.

    Such a key names its home zone, so a zone that is cut off can still take first
    requests, and names the time of its issue, so that a host knows whether it has
    seen every claim that the key could have had.
    """

    __slots__ = ("zone", "issued_at")

    def __init__(self, zone: str, issued_at: float) -> None:
        self.zone = zone
        self.issued_at = issued_at

    @staticmethod
    def format(zone: str, issued_at: float, unique: str) -> str:
        """Return the text of a new key; `issued_at` is Unix time in seconds."""
        return f"{zone}.{int(issued_at * 1000)}.{unique}"

    @staticmethod
    def parse(key: str, zones: Iterable[str]) -> IssuedKey | None:
        """Return what an issued key says, or None for a key of the caller's own."""
        parts = key.split(".")
        if len(parts) != 3 or parts[0] not in zones or not parts[1].isdigit():
            return None
        return IssuedKey(parts[0], int(parts[1]) / 1000)


def key_owner_zone(key: str, zones: list[str]) -> str:
    """Return the availability zone where a key is at home."""
    issued = IssuedKey.parse(key, zones)
    if issued is not None:
        return issued.zone
    return sorted(zones)[hash_name(key) % len(zones)]


class ClaimRecord:
    """Hold the claim of one idempotency key."""

    __slots__ = ("claim", "fingerprint", "status", "body", "content_type", "deadline")

    def __init__(self, claim: str, fingerprint: str, deadline: float) -> None:
        self.claim = claim
        self.fingerprint = fingerprint
        self.status = 0
        self.body = b""
        self.content_type = ""
        self.deadline = deadline


class PendingClaim:
    """Hold a claim that waits for its copies."""

    __slots__ = ("key", "asker", "asked", "unanswered", "deadline")

    def __init__(self, key: str, asker: str, asked: list[str], deadline: float) -> None:
        self.key = key
        self.asker = asker
        self.asked = asked
        self.unanswered = set(asked)
        self.deadline = deadline


class ClaimRegister:
    """Keep the claims of the keys that this host is home or copy of."""

    def __init__(
        self,
        name: str,
        zone: str,
        zones: list[str],
        view: ZoneView,
        sender: Sender[Body],
        now: float,
    ) -> None:
        self._name = name
        self._zone = zone
        self._zones = zones
        self._view = view
        self._sender = sender
        self._records: dict[str, ClaimRecord] = {}
        self._pending: dict[str, PendingClaim] = {}
        # Every claim that was made in this zone since this point in time, Unix time
        # in seconds, is known to this host or to one that it asks.
        self._vouches_since = now

    @property
    def vouches_since(self) -> float:
        """Return the Unix time since which no claim of the zone can be missing."""
        return self._vouches_since

    def __len__(self) -> int:
        return len(self._records)

    def handle_request(self, asker: str, request: ClaimRequest, now: float) -> None:
        """Answer whether a keyed request may run."""
        ranked = self._ranked(request.key, now)
        if not ranked or ranked[0] != self._name:
            self._answer(asker, request.claim, ClaimVerdict.UNAVAILABLE)
            return
        record = self._records.get(request.key)
        if record is not None:
            self._answer_known(asker, request, record)
            return
        if not self._vouches_for(request.key, now):
            self._answer(asker, request.claim, ClaimVerdict.UNKNOWN)
            return
        deadline = now + CLAIM_RETENTION_SECONDS
        record = ClaimRecord(request.claim, request.fingerprint, deadline)
        self._records[request.key] = record
        copies = ranked[1 : 1 + COPIES] or self._witness(request.key, now)
        if not copies:
            self._grant_alone(asker, request)
            return
        self._pending[request.claim] = PendingClaim(
            request.key, asker, copies, now + COPY_SECONDS
        )
        for host in copies:
            self._sender.send(host, self._copy_of(request.key, record, now))

    def handle_copy(self, home: str, copy: ClaimCopy, now: float) -> None:
        """Keep a copy, or name the holder of the key that is known already."""
        record = self._records.get(copy.key)
        if record is None:
            deadline = now + copy.expires_in_seconds
            record = ClaimRecord(copy.claim, copy.fingerprint, deadline)
            self._records[copy.key] = record
        if record.claim == copy.claim and copy.status:
            record.status = copy.status
            record.body = copy.body
            record.content_type = copy.content_type
        self._sender.send(home, ClaimCopied(copy.claim, copy.key, record.claim))
        if record.claim != copy.claim:
            # The home lacks this claim: hand it over, so that a repeat finds it there.
            self._sender.send(home, self._copy_of(copy.key, record, now))

    def handle_copied(self, host: str, copied: ClaimCopied) -> None:
        """Take a host's answer to a copy and grant the claim after the last."""
        pending = self._pending.get(copied.claim)
        if pending is None:
            return
        if copied.holder != copied.claim:
            del self._pending[copied.claim]
            self._drop_own(copied.key, copied.claim)
            self._free_copies(copied.key, copied.claim, pending.asked)
            self._answer(pending.asker, copied.claim, ClaimVerdict.RUNNING)
            return
        pending.unanswered.discard(host)
        if not pending.unanswered:
            del self._pending[copied.claim]
            self._answer(pending.asker, copied.claim, ClaimVerdict.GRANTED)

    def handle_result(self, result: ClaimResult, now: float) -> None:
        """Take the end of a claimed request; one that did not run frees its key."""
        record = self._records.get(result.key)
        if record is None or record.claim != result.claim:
            return
        if result.status == 0:
            del self._records[result.key]
        else:
            record.status = result.status
            record.body = result.body
            record.content_type = result.content_type
            record.deadline = now + CLAIM_RETENTION_SECONDS

    def send_claims_to(self, host: str, now: float) -> None:
        """Send a host that has started every claim that it should hold."""
        # A host that has just started stands aside, but will be ranked soon.
        ranked_soon = {host, *self._view.eligible_hosts_in_zone(self._zone, now)}
        for key, record in self._records.items():
            if host in rank_names(key, ranked_soon)[: 1 + COPIES]:
                self._sender.send(host, self._copy_of(key, record, now))
        age = max(0.0, now - self._vouches_since)
        self._sender.send(host, ClaimTransferDone(age))

    def handle_transfer_done(self, vouches_for_seconds: float, now: float) -> None:
        """Vouch for as long as the host that has sent all its claims."""
        self._vouches_since = min(self._vouches_since, now - vouches_for_seconds)

    def tick(self, now: float) -> None:
        """Give up on copies past their deadline and forget old claims."""
        for claim, pending in list(self._pending.items()):
            if pending.deadline > now:
                continue
            del self._pending[claim]
            self._drop_own(pending.key, claim)
            self._free_copies(pending.key, claim, pending.asked)
            self._answer(pending.asker, claim, ClaimVerdict.UNAVAILABLE)
        for key in [k for k, r in self._records.items() if r.deadline <= now]:
            del self._records[key]

    def _witness(self, key: str, now: float) -> list[str]:
        zone_hosts = self._view.eligible_hosts_in_zone(self._zone, now)
        others = set(self._view.live_hosts(now)).difference(zone_hosts)
        return list(rank_names(key, others))[:1]

    def _grant_alone(self, asker: str, request: ClaimRequest) -> None:
        if self._view.configured_in(self._zone) == 1:
            self._answer(asker, request.claim, ClaimVerdict.GRANTED)
            return
        self._drop_own(request.key, request.claim)
        self._answer(asker, request.claim, ClaimVerdict.UNAVAILABLE)

    def _vouches_for(self, key: str, now: float) -> bool:
        if now - self._vouches_since >= CLAIM_RETENTION_SECONDS:
            return True
        issued = IssuedKey.parse(key, self._zones)
        return issued is not None and issued.issued_at >= self._vouches_since

    def _answer_known(
        self, asker: str, request: ClaimRequest, record: ClaimRecord
    ) -> None:
        if record.fingerprint != request.fingerprint:
            self._answer(asker, request.claim, ClaimVerdict.MISMATCH)
        elif record.status == 0:
            self._answer(asker, request.claim, ClaimVerdict.RUNNING)
        else:
            answer = ClaimAnswer(
                request.claim,
                ClaimVerdict.REPEAT,
                record.status,
                record.body,
                record.content_type,
            )
            self._sender.send(asker, answer)

    def _answer(self, asker: str, claim: str, verdict: ClaimVerdict) -> None:
        self._sender.send(asker, ClaimAnswer(claim, verdict))

    def _copy_of(self, key: str, record: ClaimRecord, now: float) -> ClaimCopy:
        return ClaimCopy(
            record.claim,
            key,
            record.fingerprint,
            record.deadline - now,
            record.status,
            record.body,
            record.content_type,
        )

    def _drop_own(self, key: str, claim: str) -> None:
        record = self._records.get(key)
        if record is not None and record.claim == claim:
            del self._records[key]

    def _free_copies(self, key: str, claim: str, hosts: Iterable[str]) -> None:
        for host in sorted(hosts):
            self._sender.send(host, ClaimResult(claim, key, 0, b"", ""))

    def _ranked(self, key: str, now: float) -> list[str]:
        hosts = self._view.eligible_hosts_in_zone(self._zone, now)
        return list(rank_names(key, hosts))
