"""Run a keyed request at most once: each idempotency key has one owner.

The owner of a key is a host of one availability zone.  It records a claim, and two more
hosts of the zone store a copy, before any byte of the request is sent.  The message
that copies a claim is also a query: a host that has a claim of the key already answers
with it, so an owner that has just taken over learns of earlier claims in the same step,
without a transfer first.

An owner that sees no other host of its zone may be the last one, or may be cut off from
the others while these choose an owner among themselves.  It then copies to a witness
replica, the host of another zone that the key's hash selects, so that the claims of
both owners reach the same host.  A whole zone that is cut off needs no witness replica,
because its hosts copy to each other.
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
CLAIM_COPY_TIMEOUT_SECONDS = 0.4
CLAIM_COPIES = 2


class ZoneView(Protocol):
    """Provide the entry hosts of the deployment, and which of them are live now."""

    def eligible_hosts_in_zone(self, zone: str, now: float) -> list[str]:
        """Return the live hosts of a zone that are eligible to own keys."""

    def live_hosts(self, now: float) -> list[str]:
        """Return the live hosts of every zone."""

    def configured_in(self, zone: str) -> int:
        """Return how many hosts a zone has, live or not."""


class IssuedKey:
    """Format and parse the keys that the system issues: zone, time and a random part.

    The key names the zone of its owner, so a zone that is cut off can still grant first
    requests with the keys that it issued.  The key names the time of its issue, so a
    host can tell whether it knows every claim that the key could have had.
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
        """Return the parts of an issued key, or None for a key of the caller's own."""
        parts = key.split(".")
        if len(parts) != 3 or parts[0] not in zones or not parts[1].isdigit():
            return None
        return IssuedKey(parts[0], int(parts[1]) / 1000)


def key_owner_zone(key: str, zones: list[str]) -> str:
    """Return the availability zone of the host that owns a key."""
    issued = IssuedKey.parse(key, zones)
    if issued is not None:
        return issued.zone
    return sorted(zones)[hash_name(key) % len(zones)]


class ClaimRecord:
    """Hold the claim of one idempotency key.

    `claim` identifies the request that holds the key.  `status` is 0 until the request
    has ended; `deadline` is when the claim expires.
    """

    __slots__ = ("claim", "fingerprint", "status", "body", "content_type", "deadline")

    def __init__(self, claim: str, fingerprint: str, deadline: float) -> None:
        self.claim = claim
        self.fingerprint = fingerprint
        self.status = 0
        self.body = b""
        self.content_type = ""
        self.deadline = deadline


class PendingClaim:
    """Hold a claim whose copies are not confirmed yet."""

    __slots__ = ("key", "requester", "copy_hosts", "unconfirmed_hosts", "deadline")

    def __init__(
        self, key: str, requester: str, copy_hosts: list[str], deadline: float
    ) -> None:
        self.key = key
        self.requester = requester
        self.copy_hosts = copy_hosts
        self.unconfirmed_hosts = set(copy_hosts)
        self.deadline = deadline


class ClaimRegister:
    """Store the claims of the keys that this host owns or has copies of.

    A claim is granted once every host that it was copied to has confirmed.  If one of
    them has a different claim of the key, the new claim is withdrawn.
    """

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
        # Every claim of this zone since this Unix time in seconds is known to this host
        # or to a host that it copies claims to.
        self._complete_since = now

    @property
    def complete_since(self) -> float:
        """Return the Unix time since which the zone's claim history is complete."""
        return self._complete_since

    def __len__(self) -> int:
        return len(self._records)

    def handle_request(self, requester: str, request: ClaimRequest, now: float) -> None:
        """Answer a claim request; a new claim is granted only once it is copied."""
        ranked_hosts = self._ranked(request.key, now)
        if not ranked_hosts or ranked_hosts[0] != self._name:
            self._answer(requester, request.claim, ClaimVerdict.UNAVAILABLE)
            return
        record = self._records.get(request.key)
        if record is not None:
            self._answer_from_record(requester, request, record)
            return
        if not self._is_history_complete(request.key, now):
            self._answer(requester, request.claim, ClaimVerdict.UNKNOWN)
            return
        deadline = now + CLAIM_RETENTION_SECONDS
        record = ClaimRecord(request.claim, request.fingerprint, deadline)
        self._records[request.key] = record
        copy_hosts = ranked_hosts[1 : 1 + CLAIM_COPIES] or self._witness_replica(
            request.key, now
        )
        if not copy_hosts:
            self._answer_without_copies(requester, request)
            return
        self._pending[request.claim] = PendingClaim(
            request.key, requester, copy_hosts, now + CLAIM_COPY_TIMEOUT_SECONDS
        )
        for host in copy_hosts:
            self._sender.send(host, self._copy_of(request.key, record, now))

    def handle_copy(self, owner: str, copy: ClaimCopy, now: float) -> None:
        """Store a copy, or answer with the claim that already holds the key."""
        record = self._records.get(copy.key)
        if record is None:
            deadline = now + copy.expires_in_seconds
            record = ClaimRecord(copy.claim, copy.fingerprint, deadline)
            self._records[copy.key] = record
        if record.claim == copy.claim and copy.status:
            record.status = copy.status
            record.body = copy.body
            record.content_type = copy.content_type
        self._sender.send(owner, ClaimCopied(copy.claim, copy.key, record.claim))
        if record.claim != copy.claim:
            # The owner lacks this claim: send it, so that a repeated request finds it.
            self._sender.send(owner, self._copy_of(copy.key, record, now))

    def handle_copied(self, host: str, copied: ClaimCopied) -> None:
        """Handle the answer to a copy; the last confirmation grants the claim."""
        pending = self._pending.get(copied.claim)
        if pending is None:
            return
        if copied.holder != copied.claim:
            del self._pending[copied.claim]
            self._remove_record(copied.key, copied.claim)
            self._release_copies(copied.key, copied.claim, pending.copy_hosts)
            self._answer(pending.requester, copied.claim, ClaimVerdict.RUNNING)
            return
        pending.unconfirmed_hosts.discard(host)
        if not pending.unconfirmed_hosts:
            del self._pending[copied.claim]
            self._answer(pending.requester, copied.claim, ClaimVerdict.GRANTED)

    def handle_result(self, result: ClaimResult, now: float) -> None:
        """Store the result of a request; one that did not run frees its key."""
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
        """Send a host every claim that it should store.

        The host has just started, or takes over from this one, which leaves.
        """
        # A host that has just started is not eligible yet, but will be ranked soon.
        hosts_ranked_soon = {host, *self._view.eligible_hosts_in_zone(self._zone, now)}
        for key, record in self._records.items():
            if host in rank_names(key, hosts_ranked_soon)[: 1 + CLAIM_COPIES]:
                self._sender.send(host, self._copy_of(key, record, now))
        complete_for_seconds = max(0.0, now - self._complete_since)
        self._sender.send(host, ClaimTransferDone(complete_for_seconds))

    def handle_transfer_done(self, complete_for_seconds: float, now: float) -> None:
        """Extend the complete history by that of a host that sent all its claims."""
        self._complete_since = min(self._complete_since, now - complete_for_seconds)

    def tick(self, now: float) -> None:
        """Refuse claims whose copies timed out, and remove expired claims."""
        for claim, pending in list(self._pending.items()):
            if pending.deadline > now:
                continue
            del self._pending[claim]
            self._remove_record(pending.key, claim)
            self._release_copies(pending.key, claim, pending.copy_hosts)
            self._answer(pending.requester, claim, ClaimVerdict.UNAVAILABLE)
        for key in [
            key for key, record in self._records.items() if record.deadline <= now
        ]:
            del self._records[key]

    def _witness_replica(self, key: str, now: float) -> list[str]:
        zone_hosts = self._view.eligible_hosts_in_zone(self._zone, now)
        other_live_hosts = set(self._view.live_hosts(now)).difference(zone_hosts)
        return list(rank_names(key, other_live_hosts))[:1]

    def _answer_without_copies(self, requester: str, request: ClaimRequest) -> None:
        if self._view.configured_in(self._zone) == 1:
            self._answer(requester, request.claim, ClaimVerdict.GRANTED)
            return
        self._remove_record(request.key, request.claim)
        self._answer(requester, request.claim, ClaimVerdict.UNAVAILABLE)

    def _is_history_complete(self, key: str, now: float) -> bool:
        if now - self._complete_since >= CLAIM_RETENTION_SECONDS:
            return True
        issued = IssuedKey.parse(key, self._zones)
        return issued is not None and issued.issued_at >= self._complete_since

    def _answer_from_record(
        self, requester: str, request: ClaimRequest, record: ClaimRecord
    ) -> None:
        if record.fingerprint != request.fingerprint:
            self._answer(requester, request.claim, ClaimVerdict.MISMATCH)
        elif record.status == 0:
            self._answer(requester, request.claim, ClaimVerdict.RUNNING)
        else:
            answer = ClaimAnswer(
                request.claim,
                ClaimVerdict.REPEAT,
                record.status,
                record.body,
                record.content_type,
            )
            self._sender.send(requester, answer)

    def _answer(self, requester: str, claim: str, verdict: ClaimVerdict) -> None:
        self._sender.send(requester, ClaimAnswer(claim, verdict))

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

    def _remove_record(self, key: str, claim: str) -> None:
        record = self._records.get(key)
        if record is not None and record.claim == claim:
            del self._records[key]

    def _release_copies(self, key: str, claim: str, hosts: Iterable[str]) -> None:
        for host in sorted(hosts):
            self._sender.send(host, ClaimResult(claim, key, 0, b"", ""))

    def _ranked(self, key: str, now: float) -> list[str]:
        hosts = self._view.eligible_hosts_in_zone(self._zone, now)
        return list(rank_names(key, hosts))
