"""Define the heartbeats of backend servers and the states that they report."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

from kingcuppulley.internal.field_types import (
    Count,
    IPv4Address,
    Name,
    Port,
    Revision,
    Seconds,
    Slots,
)


class ServingState(StrEnum):
    """Name which flows a backend server may receive.

    A READY server may receive new flows, and a DRAINING one only packets of flows that
    it has.  A GONE server has left, and an UNRESPONSIVE one stopped sending heartbeats.
    """

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    UNRESPONSIVE = "silent"


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Hold one heartbeat of a backend server, as control hosts send it to entry hosts.

    Attributes
    ----------
    packet_identity : bytes
        Identifies this server in each packet that is sent to it.
    incarnation : int
        Start time of the server in milliseconds; orders the incarnations of one name.
    sequence : int
        Grows with each heartbeat of one incarnation.
    cold_remaining_seconds : float
        How much longer the server is cold, counted from when this message was sent.
    known_return_revision : int
        Revision at which the server's zone had last returned to service when the
        heartbeat was sent, or earlier; 0 if none is known.
    """

    name: Name
    packet_identity: Annotated[bytes, msgspec.Meta(min_length=8, max_length=8)]
    service: Name
    zone: Name
    host: IPv4Address
    port: Port
    state: ServingState
    incarnation: Count
    sequence: Revision
    slots: Slots
    cold_remaining_seconds: Seconds
    known_return_revision: Count = 0
