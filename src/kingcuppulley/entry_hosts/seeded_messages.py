"""Define the messages between entry hosts, and with the control hosts they follow."""

from __future__ import annotations

import msgspec

from kingcuppulley.backend_servers.heartbeats import Heartbeat


class EntryHostInfo(msgspec.Struct, frozen=True, array_like=True):
    """Name an entry host that carries traffic."""

    address: str
    zone: str
    is_leaving: bool


class FollowControl(msgspec.Struct, frozen=True, array_like=True, tag="fc"):
    """Ask a control host for what is news since a change of its present life."""

    address: str
    zone: str
    is_ready: bool
    is_leaving: bool
    instance: str
    change: int


class FetchHosts(msgspec.Struct, frozen=True, array_like=True, tag="fh"):
    """Ask a control host for the entry hosts that it has heard of."""


class HostList(msgspec.Struct, frozen=True, array_like=True, tag="hl"):
    """Tell the entry hosts that a control host has heard of."""

    digest: int
    hosts: list[EntryHostInfo]


class ControlNews(msgspec.Struct, frozen=True, array_like=True, tag="cn"):
    """Tell what is news to an entry host.

    The list of targets holds what changed after `since` up to `change`; `has_more`
    says that it was too long for one message.  `hosts_digest` names
    the list of entry hosts: control hosts that have heard the same send equal digests,
    so that an entry host fetches each list once.  `revision` is the routing state's.
    `unsettled_ms` is how long backend servers have yet to announce themselves to
    a control host that has started lately.
    """

    host: str
    instance: str
    since: int
    change: int
    has_more: bool
    targets: list[Heartbeat]
    hosts_digest: int
    control_hosts: list[str]
    revision: int
    unsettled_ms: int


class PlaceFlow(msgspec.Struct, frozen=True, array_like=True, tag="pf"):
    """Ask a steward to choose a server for a new flow and send its packet there."""

    flow: bytes
    service: str
    copy: int
    priority: int
    objective_ms: int
    packet: bytes


class FlowTaken(msgspec.Struct, frozen=True, array_like=True, tag="ft"):
    """Say that a steward has taken a new flow."""

    flow: bytes


class FlowRefused(msgspec.Struct, frozen=True, array_like=True, tag="fr"):
    """Say that a steward found no server for a new flow."""

    flow: bytes


class FlowOpened(msgspec.Struct, frozen=True, array_like=True, tag="fo"):
    """Say that a flow's caller has heard its server."""

    flow: bytes


class FlowEnded(msgspec.Struct, frozen=True, array_like=True, tag="fe"):
    """Say that a flow's caller has ended it, and whether a server had answered."""

    flow: bytes
    was_answered: bool


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="lr"):
    """Tell the open flows that a host placed, by the servers' cookies."""

    zone: str
    loads: list[tuple[int, int]]


class CarryPacket(msgspec.Struct, frozen=True, array_like=True, tag="cp"):
    """Ask a neighbour to carry a packet whose cookie is not known here."""

    packet: bytes


FlowMessage = CarryPacket | PlaceFlow | FlowTaken | FlowRefused | FlowOpened | FlowEnded
EntryMessage = FlowMessage | LoadReport
