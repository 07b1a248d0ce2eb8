"""Define the records of backend servers that entry hosts store and exchange."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from kingcuppulley.internal.field_types import Count, IPv4Address, LongName, Port


class TargetState(StrEnum):
    """Name the stages of a backend server from its start to its removal."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"
    GONE = "gone"


class TargetRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one backend server as its slot coordinator last recorded it.

    `incarnation` grows with each start of the backend server and `revision` with each
    change that an entry host records, so that the larger pair is always the newer one.
    `proven_slots` is the slot limit that the server's coordinator has reached, from
    which the next coordinator continues.
    """

    name: LongName
    service: LongName
    zone: LongName
    host: IPv4Address
    request_port: Port
    packet_port: Port
    state: TargetState
    incarnation: Count
    revision: Count = 0
    proven_slots: Count = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return the key that orders records of one backend server, newest last."""
        return (self.incarnation, self.revision)

    @property
    def is_eligible(self) -> bool:
        """Return whether the backend server may get new requests and flows."""
        return self.state in (TargetState.COLD, TargetState.WARM)


class Announcement(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the body that a backend server posts to announce itself."""

    name: LongName
    service: LongName
    zone: LongName
    host: IPv4Address
    request_port: Port
    packet_port: Port
    incarnation: Count
    state: TargetState = TargetState.COLD
