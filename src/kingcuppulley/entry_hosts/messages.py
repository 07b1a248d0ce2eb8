"""Define the messages between entry hosts, encoded as MessagePack.

Deadlines are stored as points in time on the host that enforces them.  The clocks of
two hosts differ, so a message carries the remaining seconds, and the receiver computes
the deadline by its own clock.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from kingcuppulley.backend_servers.records import TargetRecord
from kingcuppulley.internal.message_codec import MessageCodec


class AttemptOutcome(StrEnum):
    """Name how an attempt to use a slot ended."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not-sent"
    LOST = "lost"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


class RefusalReason(StrEnum):
    """Name why a slot coordinator grants no slot."""

    BUSY = "busy"
    NO_TARGET = "no-target"
    NOT_COORDINATOR = "not-steward"
    LEARNING = "learning"


class ClaimVerdict(StrEnum):
    """Name the answer of an idempotency key's owner to a claim request."""

    GRANTED = "granted"
    REPEAT = "repeat"
    RUNNING = "running"
    MISMATCH = "mismatch"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


class MembershipHeartbeat(msgspec.Struct, frozen=True, tag="hb"):
    """Carry the heartbeat counts of every entry host that is live for the sender.

    `hosts` and `ineligible_hosts` are packed 16-bit numbers: the short number of each
    live host, and of those that may not own flows, keys and slots.  `counts` holds the
    lowest byte of each host's count, in the order of `hosts`.
    """

    hosts: bytes
    counts: bytes = msgspec.field(name="beats")
    ineligible_hosts: bytes = msgspec.field(name="aside")
    targets_digest: int


class TargetUpdate(msgspec.Struct, frozen=True, tag="tu"):
    """Carry backend server records that changed or that the receiver lacks."""

    records: list[TargetRecord]


class TargetRequest(msgspec.Struct, frozen=True, tag="tr"):
    """Request every backend server record, on a start or because the digests differ."""


class AnnouncementSeen(msgspec.Struct, frozen=True, tag="an"):
    """Forward a backend server's announcement to its slot coordinator."""

    record: TargetRecord


class AnnouncementsAlive(msgspec.Struct, frozen=True, tag="aa"):
    """Name to a slot coordinator the servers that announced themselves unchanged."""

    names: list[str]


class FlowQuery(msgspec.Struct, frozen=True, tag="fq"):
    """Ask for the target of a flow."""

    flow: int


class FlowAnswer(msgspec.Struct, frozen=True, tag="fa"):
    """Answer with the target of a flow, or None if it is unknown."""

    flow: int
    target: str | None


class FlowCopies(msgspec.Struct, frozen=True, tag="fc"):
    """Carry the flows of one target, packed 8 bytes each.

    With `as_owner` the receiver becomes their owner; otherwise it only stores a backup.
    """

    target: str
    flows: bytes
    as_owner: bool


class SlotRequest(msgspec.Struct, frozen=True, tag="sq"):
    """Request a slot of any backend server of a service in the receiver's zone.

    The receiver is the service's slot coordinator there.  It queues the request for up
    to `wait_seconds`, and grants a slot of the server `avoid` only if no other server
    has a free one.
    """

    lease: str
    service: str
    wait_seconds: float
    avoid: str | None = None


class SlotGrant(msgspec.Struct, frozen=True, tag="sg"):
    """Grant a slot of one backend server until the lease expires."""

    lease: str
    target: str
    host: str
    port: int
    lease_seconds: float


class SlotRefusal(msgspec.Struct, frozen=True, tag="sr"):
    """Refuse a slot."""

    lease: str
    reason: RefusalReason


class SlotRenewal(msgspec.Struct, frozen=True, tag="sn"):
    """Extend leases that the sender still uses."""

    leases: list[str]


class SlotRenewed(msgspec.Struct, frozen=True, tag="sk"):
    """Confirm leases that the slot coordinator has extended."""

    leases: list[str]
    lease_seconds: float


class SlotRelease(msgspec.Struct, frozen=True, tag="sf"):
    """Release a slot and report how its use ended."""

    lease: str
    outcome: AttemptOutcome
    service_seconds: float


class LeaseQuery(msgspec.Struct, frozen=True, tag="lq"):
    """Ask, as the new slot coordinator of a service and zone, for the held leases."""

    service: str
    zone: str


class HeldLease(msgspec.Struct, frozen=True, array_like=True):
    """Describe one slot lease that a gateway holds."""

    lease: str
    target: str


class LeaseReport(msgspec.Struct, frozen=True, tag="lr"):
    """List the leases of a service in a zone that the sender holds."""

    service: str
    zone: str
    leases: list[HeldLease]


class ClaimRequest(msgspec.Struct, frozen=True, tag="cq"):
    """Ask the owner of an idempotency key whether its request may run."""

    claim: str
    key: str
    fingerprint: str


class ClaimAnswer(msgspec.Struct, frozen=True, tag="ca"):
    """Answer a claim request.

    The verdict `REPEAT` comes with the status and body of the first request's answer.
    """

    claim: str
    verdict: ClaimVerdict
    status: int = 0
    body: bytes = b""
    content_type: str = ""


class ClaimCopy(msgspec.Struct, frozen=True, tag="cc"):
    """Ask another host to store a copy of a claim."""

    claim: str
    key: str
    fingerprint: str
    expires_in_seconds: float
    status: int = 0
    body: bytes = b""
    content_type: str = ""


class ClaimCopied(msgspec.Struct, frozen=True, tag="cd"):
    """Confirm a claim copy, or name the claim that already holds the key."""

    claim: str
    key: str
    holder: str


class ClaimResult(msgspec.Struct, frozen=True, tag="cr"):
    """Send the hosts that store a claim the result of its request.

    `status` 0 says that the request did not run and frees the key.
    """

    claim: str
    key: str
    status: int
    body: bytes
    content_type: str


class ClaimTransferRequest(msgspec.Struct, frozen=True, tag="ct"):
    """Request, after a start, every claim that the sender should store."""


class ClaimTransferDone(msgspec.Struct, frozen=True, tag="cx"):
    """Report that every claim was sent, and for how long their history is complete."""

    complete_for_seconds: float = msgspec.field(name="vouches_for_seconds")


Body = (
    MembershipHeartbeat
    | TargetUpdate
    | TargetRequest
    | AnnouncementSeen
    | AnnouncementsAlive
    | FlowQuery
    | FlowAnswer
    | FlowCopies
    | SlotRequest
    | SlotGrant
    | SlotRefusal
    | SlotRenewal
    | SlotRenewed
    | SlotRelease
    | LeaseQuery
    | LeaseReport
    | ClaimRequest
    | ClaimAnswer
    | ClaimCopy
    | ClaimCopied
    | ClaimResult
    | ClaimTransferRequest
    | ClaimTransferDone
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Wrap a message with its sender's name and incarnation.

    `incarnation` is the sender's start time in milliseconds.
    """

    sender: str
    incarnation: int
    body: Body


class Outgoing(msgspec.Struct, frozen=True):
    """Pair a message with the entry host that it is sent to."""

    host: str
    body: Body


CODEC = MessageCodec(Envelope)
