"""Define what entry hosts know and tell each other of a backend server."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class TargetState(StrEnum):
    """Name where a backend server stands between its start and its leaving."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"
    GONE = "gone"


class TargetRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one backend server as its steward last saw it.

    `incarnation` grows with each start of the backend server and `revision` with each
    change that an entry host records, so that the larger pair is always the newer.
    `proven_slots` is the limit that its steward had reached, for the next steward.
    """

    name: str
    service: str
    zone: str
    host: str
    request_port: int
    packet_port: int
    state: TargetState
    incarnation: int
    revision: int = 0
    proven_slots: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return what orders two records of the same backend server."""
        return (self.incarnation, self.revision)

    @property
    def is_eligible(self) -> bool:
        """Return whether the backend server may be given anything new."""
        return self.state in (TargetState.COLD, TargetState.WARM)


class Announcement(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold what a backend server posts to announce itself."""

    name: str
    service: str
    zone: str
    host: str
    request_port: int
    packet_port: int
    incarnation: int
    state: TargetState = TargetState.COLD
