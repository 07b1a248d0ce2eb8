"""The history of a run: what callers, backend servers and operators observed.

It is recorded outside the system, without its help. Only the active versions come from
the status that entry hosts report.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from kingcuppulley.stand_ins.backend_server import ServerAccount


class RequestEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One request as its caller observed it.

    Times are wall-clock seconds. `status` is 0 if no complete answer arrived, and
    `outcome` is the outcome header of the answer, if any. `is_whole` says that the
    body arrived completely, and `is_own` that it is the answer to this request. `host`
    is the address of the entry host that the request was sent to, and `reason` is the
    error of a request without a complete answer.
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
        """Return whether the status is a success, which only the service sends."""
        return 200 <= self.status < 300

    @property
    def was_cut(self) -> bool:
        """Return whether the connection ended before a complete answer."""
        return self.status == 0


class ChangeKind(StrEnum):
    """A kind of change that a run makes to its deployment.

    `TEMPLATE` is an accepted change to any register: a client account or a zone too.
    """

    ZONE_OUT = "zone-out"
    ZONE_IN = "zone-in"
    DRAIN = "drain"
    ENTRY_LEAVE = "entry-leave"
    ENTRY_KILL = "entry-kill"
    TARGET_ADDED = "target-added"
    TEMPLATE = "template"


class ChangeEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change to the deployment.

    `subject` names the changed zone, host, backend server or register. `key` and
    `version` are set only for an accepted change to a register.
    """

    kind: ChangeKind
    subject: str
    at: float
    key: str = ""
    version: int = 0


class ActiveVersionEvent(msgspec.Struct, frozen=True, kw_only=True):
    """The active version of a register, as an entry host reported it."""

    host: str
    key: str
    version: int
    at: float


class History(msgspec.Struct, kw_only=True):
    """All observations of one run.

    `forces` holds the active versions that entry hosts reported, `accounts` the
    counts of the backend servers, `reset_flows` the hashes of the flows that were
    reset, and `seconds` the duration of the run.
    """

    requests: list[RequestEvent] = []
    changes: list[ChangeEvent] = []
    forces: list[ActiveVersionEvent] = []
    accounts: list[ServerAccount] = []
    reset_flows: list[int] = []
    seconds: float = 0.0
