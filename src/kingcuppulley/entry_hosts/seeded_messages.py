"""Define the messages between entry hosts, and with the control hosts that they use.

An entry host subscribes to one control host, its relay, which answers each subscription
with the updates of all control hosts and sends further updates as soon as something
changes.  It subscribes directly to the control hosts that the relay does not reach.
Messages are encoded as arrays, so the order of fields and the tags are the wire format.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from kingcuppulley.backend_servers.heartbeats import Heartbeat
from kingcuppulley.internal.field_types import (
    Cookie,
    Count,
    Milliseconds,
    Name,
    PeerAddress,
    Revision,
    Seconds,
)


class EntryHostInfo(msgspec.Struct, frozen=True, array_like=True):
    """Describe an entry host that serves traffic.

    `is_leaving` says that the host stops soon and is no longer a placement
    coordinator.  `capacity` is in thousandths of a core that the process may use; it is
    0 if it is not known, as in lists of earlier builds.
    """

    address: PeerAddress
    zone: Name
    is_leaving: bool
    capacity: Count = 0


class SubscribeToControl(msgspec.Struct, frozen=True, array_like=True, tag="fc"):
    """Ask a control host for what changed since `change_number`.

    Change numbers are those of one control host process, `instance`.  A subscription
    that names another instance gets every backend server.  `capacity` is that of
    `EntryHostInfo`.
    """

    address: PeerAddress
    zone: Name
    is_ready: bool
    is_leaving: bool
    instance: Name
    change_number: Count
    capacity: Count = 0


class SourcePosition(msgspec.Struct, frozen=True, array_like=True):
    """Name the last change that was received of a control host.

    `instance` identifies the process of the control host; change numbers are its own.
    """

    host: PeerAddress
    instance: Name
    change_number: Count


class SubscribeToRelay(msgspec.Struct, frozen=True, array_like=True, tag="fy"):
    """Ask a control host for what changed at all control hosts since some positions.

    `capacity` is that of `EntryHostInfo`.  The answer names `number` unless it is 0.
    """

    address: PeerAddress
    zone: Name
    is_ready: bool
    is_leaving: bool
    positions: list[SourcePosition]
    capacity: Count = 0
    number: Count = 0


class FetchHosts(msgspec.Struct, frozen=True, array_like=True, tag="fh"):
    """Ask a control host for the ready entry hosts that subscribe to it."""


class FetchHostList(msgspec.Struct, frozen=True, array_like=True, tag="fl"):
    """Ask a relay for a list of entry hosts, its own or that of another control host.

    `digest` identifies the list.
    """

    digest: Count


class HostList(msgspec.Struct, frozen=True, array_like=True, tag="hl"):
    """List the ready entry hosts that subscribe to a control host.

    `digest` identifies the list, see `ControlUpdate.hosts_digest`.
    """

    digest: Count
    hosts: list[EntryHostInfo]


class ControlUpdate(msgspec.Struct, frozen=True, array_like=True, tag="cn"):
    """Send an entry host what changed since its last update.

    `targets` holds the backend servers that changed after `since_change_number` up to
    `change_number`; `has_more` says that they did not fit into one message.
    `hosts_digest` identifies the list of entry hosts: control hosts with equal lists
    send equal digests, so that an entry host fetches each list once.  It is 0 until an
    entry host is ready.  `revision` is that of the routing state.
    `discovery_remaining_ms` is how much longer the first heartbeats of backend
    servers may take to reach a control host that started recently.  `relay_zone` is the
    zone of a control host that answers `SubscribeToRelay`; earlier builds leave it out.
    """

    host: PeerAddress
    instance: Name
    since_change_number: Count
    change_number: Count
    has_more: bool
    targets: list[Heartbeat]
    hosts_digest: Count
    control_hosts: list[PeerAddress]
    revision: Revision
    discovery_remaining_ms: Milliseconds
    relay_zone: Name = ""


class RelayedUpdate(msgspec.Struct, frozen=True, array_like=True, tag="cr"):
    """Send an entry host the updates of the control hosts that a relay follows.

    `updates` starts with the relay's own update.  The others name no control hosts and
    no revision: the relay follows the routing state itself.  `ages_ms` says for each
    update how long ago the relay received a message from that control host.
    `answered_number` is that of the subscription that this update answers; it is 0 in
    other updates, and in all those of earlier builds.
    """

    updates: Annotated[list[ControlUpdate], msgspec.Meta(min_length=1)]
    ages_ms: list[Milliseconds]
    answered_number: Count = 0


class PlaceFlow(msgspec.Struct, frozen=True, array_like=True, tag="pf"):
    """Ask a placement coordinator to choose a backend server for a new flow.

    The coordinator sends `packet`, the one that opens the flow, to that server.
    `retransmission` is 0 for the first opening packet of a flow, then 1, 2 and so on.
    """

    flow: bytes
    service: Name
    retransmission: Count
    priority: Count
    objective_ms: Milliseconds
    packet: bytes


class FlowAcknowledged(msgspec.Struct, frozen=True, array_like=True, tag="ft"):
    """Confirm that the placement coordinator received a request to place a flow."""

    flow: bytes


class FlowRefused(msgspec.Struct, frozen=True, array_like=True, tag="fr"):
    """Report that the placement coordinator found no backend server for a new flow."""

    flow: bytes


class FlowEstablished(msgspec.Struct, frozen=True, array_like=True, tag="fo"):
    """Report that a flow's caller has received an answer from its backend server.

    `answer_seconds` is set if the flow pauses now: the time from its request to the end
    of the answer.  Without it, the server works on a request of the flow; `cookie` and
    `route` then name its server and its route, for a receiver that does not know the
    flow.  They are 0 and empty in messages of earlier builds.
    """

    flow: bytes
    answer_seconds: Seconds | None = None
    cookie: Cookie = 0
    route: bytes = b""


class FlowEnded(msgspec.Struct, frozen=True, array_like=True, tag="fe"):
    """Report that a flow's caller ended it, and whether a server had answered."""

    flow: bytes
    was_answered: bool


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="lr"):
    """Report how many open flows a host placed on each backend server.

    `loads` holds pairs of a server's cookie and its number of open flows.
    """

    zone: Name
    loads: list[tuple[Cookie, Count]]


class ForwardPacket(msgspec.Struct, frozen=True, array_like=True, tag="cp"):
    """Ask a host of the same zone to forward a packet.

    The sender knows no backend server of the packet's cookie.
    """

    packet: bytes


FlowMessage = (
    ForwardPacket
    | PlaceFlow
    | FlowAcknowledged
    | FlowRefused
    | FlowEstablished
    | FlowEnded
)
EntryMessage = FlowMessage | LoadReport
