"""Define every message between entry hosts, encoded as MessagePack.

Deadlines are stored as points in time on the host that keeps them.  Clocks of two
hosts differ, so a message carries the seconds that remain, and whoever receives it
stores the deadline on its own clock.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from kingcuppulley.backend_servers.records import TargetRecord
from kingcuppulley.internal.message_codec import MessageCodec


class AttemptOutcome(StrEnum):
    """Name how the use of a slot ended."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not-sent"
    LOST = "lost"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


class RefusalReason(StrEnum):
    """Name why a coordinator grants no slot."""

    BUSY = "busy"
    NO_TARGET = "no-target"
    NOT_COORDINATOR = "not-steward"
    LEARNING = "learning"


class ClaimVerdict(StrEnum):
    """Name what the home of an idempotency key says of a request."""

    GRANTED = "granted"
    REPEAT = "repeat"
    RUNNING = "running"
    MISMATCH = "mismatch"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


class MembershipHeartbeat(msgspec.Struct, frozen=True, tag="hb"):
    """Carry what the sender knows of every live entry host.

    `hosts` and `aside` are packed 16-bit numbers: the short number of each live host,
    and of those that stand aside.  `beats` holds the lowest byte of each count.
    """

    hosts: bytes
    beats: bytes
    aside: bytes
    targets_digest: int


class TargetUpdate(msgspec.Struct, frozen=True, tag="tu"):
    """Carry backend server records that changed or that the receiver lacks."""

    records: list[TargetRecord]


class TargetRequest(msgspec.Struct, frozen=True, tag="tr"):
    """Ask for every backend server record, because the digests differ."""


class AnnouncementSeen(msgspec.Struct, frozen=True, tag="an"):
    """Pass a backend server's announcement on to its coordinator."""

    record: TargetRecord


class AnnouncementsAlive(msgspec.Struct, frozen=True, tag="aa"):
    """Name the backend servers that announced themselves without any change."""

    names: list[str]


class FlowQuery(msgspec.Struct, frozen=True, tag="fq"):
    """Ask which target a flow has."""

    flow: int


class FlowAnswer(msgspec.Struct, frozen=True, tag="fa"):
    """Answer which target a flow has, or None."""

    flow: int
    target: str | None


class FlowCopies(msgspec.Struct, frozen=True, tag="fc"):
    """Carry flows by target, packed 8 bytes each.

    `as_owner` hands them over; otherwise the receiver only backs them up.
    """

    target: str
    flows: bytes
    as_owner: bool


class SlotRequest(msgspec.Struct, frozen=True, tag="sq"):
    """Ask a coordinator for a slot of any backend server of a service in its zone."""

    lease: str
    service: str
    wait_seconds: float
    avoid: str | None = None


class SlotGrant(msgspec.Struct, frozen=True, tag="sg"):
    """Grant a slot of one backend server until the lease runs out."""

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
    """Confirm leases that the coordinator has extended."""

    leases: list[str]
    lease_seconds: float


class SlotRelease(msgspec.Struct, frozen=True, tag="sf"):
    """Give a slot back and say how its use ended."""

    lease: str
    outcome: AttemptOutcome
    service_seconds: float


class LeaseQuery(msgspec.Struct, frozen=True, tag="lq"):
    """Ask, as the new coordinator of a service in a zone, which leases are held."""

    service: str
    zone: str


class HeldLease(msgspec.Struct, frozen=True, array_like=True):
    """Describe one slot lease that a gateway holds."""

    lease: str
    target: str


class LeaseReport(msgspec.Struct, frozen=True, tag="lr"):
    """Answer which leases of a service in a zone the sender holds."""

    service: str
    zone: str
    leases: list[HeldLease]


class ClaimRequest(msgspec.Struct, frozen=True, tag="cq"):
    """Ask the home of an idempotency key for the right to run its request."""

    claim: str
    key: str
    fingerprint: str


class ClaimAnswer(msgspec.Struct, frozen=True, tag="ca"):
    """Answer a claim request.

    A repeat carries the status and body that the first request got.
    """

    claim: str
    verdict: ClaimVerdict
    status: int = 0
    body: bytes = b""
    content_type: str = ""


class ClaimCopy(msgspec.Struct, frozen=True, tag="cc"):
    """Ask another host of the zone to keep a copy of a claim."""

    claim: str
    key: str
    fingerprint: str
    expires_in_seconds: float
    status: int = 0
    body: bytes = b""
    content_type: str = ""


class ClaimCopied(msgspec.Struct, frozen=True, tag="cd"):
    """Answer a claim copy; a different `holder` has the key already."""

    claim: str
    key: str
    holder: str


class ClaimResult(msgspec.Struct, frozen=True, tag="cr"):
    """Tell the home of a key how its request ended.

    `status` 0 says that the request did not run and frees the key.
    """

    claim: str
    key: str
    status: int
    body: bytes
    content_type: str


class ClaimTransferRequest(msgspec.Struct, frozen=True, tag="ct"):
    """Ask for every claim that the sender should hold, after it started."""


class ClaimTransferDone(msgspec.Struct, frozen=True, tag="cx"):
    """Say that every claim was sent, and since when they are complete."""

    vouches_for_seconds: float


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
    """Name the sender of a message."""

    sender: str
    incarnation: int
    body: Body


class Outgoing(msgspec.Struct, frozen=True):
    """Name the entry host that a message is for."""

    host: str
    body: Body


CODEC = MessageCodec(Envelope)
