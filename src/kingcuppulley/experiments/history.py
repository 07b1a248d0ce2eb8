"""Record what callers, backend servers and operators saw, without the system's help."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from kingcuppulley.stand_ins.backend_server import Account


class RequestEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Record one request as its caller saw it.

    `outcome` is what a refusal said; `is_whole` and `is_own` judge the body.
    """

    service: str
    is_booking: bool
    booking: str
    key: str
    asked_at: float
    ended_at: float
    deadline: float
    status: int
    outcome: str
    is_whole: bool
    is_own: bool
    host: str = ""
    reason: str = ""

    @property
    def is_answered(self) -> bool:
        """Return whether the service itself answered."""
        return 200 <= self.status < 300

    @property
    def was_cut(self) -> bool:
        """Return whether the caller's connection ended without an answer."""
        return self.status == 0


class ChangeKind(StrEnum):
    """Name a planned change that operators or teams made."""

    ZONE_OUT = "zone-out"
    ZONE_IN = "zone-in"
    DRAIN = "drain"
    ENTRY_LEAVE = "entry-leave"
    ENTRY_KILL = "entry-kill"
    TARGET_ADDED = "target-added"
    TEMPLATE = "template"


class ChangeEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Record a change: who or what it was made to, when, and its version."""

    kind: ChangeKind
    subject: str
    at: float
    key: str = ""
    version: int = 0


class ForceEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Record which version of a register an entry host said is in force."""

    host: str
    key: str
    version: int
    at: float


class History(msgspec.Struct, kw_only=True):
    """Hold one run's record."""

    requests: list[RequestEvent] = []
    changes: list[ChangeEvent] = []
    forces: list[ForceEvent] = []
    accounts: list[Account] = []
    reset_flows: list[int] = []
    seconds: float = 0.0
