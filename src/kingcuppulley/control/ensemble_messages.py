"""Define the messages with which control hosts agree on the routing state."""

from __future__ import annotations

import msgspec

from kingcuppulley.control.content_transfer import ContentMessage
from kingcuppulley.control.registers import Ballot
from kingcuppulley.control.state import RoutingState
from kingcuppulley.internal.field_types import Count, Name, PeerAddress, Revision


class PrepareState(msgspec.Struct, frozen=True, array_like=True, tag="sp"):
    """Ask a voter to promise a ballot.

    The voter omits its accepted state if it accepted it under `known_ballot`.
    """

    ballot: Ballot
    known_ballot: Ballot


class StatePromise(msgspec.Struct, frozen=True, array_like=True, tag="sq"):
    """Promise a ballot, or reject it because a higher one was promised.

    `promised` is the highest ballot that the voter has promised.  `state` was accepted
    under `accepted`, and is None if the proposer knows it.
    """

    disk_id: Name
    ballot: Ballot
    granted: bool
    promised: Ballot
    accepted: Ballot
    state: RoutingState | None


class AcceptState(msgspec.Struct, frozen=True, array_like=True, tag="sa"):
    """Ask a voter to accept a state under a ballot."""

    ballot: Ballot
    state: RoutingState


class StateAccepted(msgspec.Struct, frozen=True, array_like=True, tag="sb"):
    """Report that a state was accepted durably, or reject its ballot.

    A ballot is rejected if `promised`, the highest that the voter has promised, is
    higher.
    """

    disk_id: Name
    ballot: Ballot
    granted: bool
    promised: Ballot


class ReadState(msgspec.Struct, frozen=True, array_like=True, tag="sr"):
    """Ask a voter for the state that it has accepted, for a read from a quorum."""

    number: Count
    known_ballot: Ballot


class StateAnswer(msgspec.Struct, frozen=True, array_like=True, tag="ss"):
    """Report the state that a voter has accepted durably, for the read `number`.

    `state` is None if the proposer knows the state accepted under `accepted`.
    """

    disk_id: Name
    number: Count
    accepted: Ballot
    state: RoutingState | None


EnsembleMessage = (
    PrepareState | StatePromise | AcceptState | StateAccepted | ReadState | StateAnswer
)
EnsembleRequest = PrepareState | AcceptState | ReadState
EnsembleReply = StatePromise | StateAccepted | StateAnswer


class ControlHello(msgspec.Struct, frozen=True, array_like=True, tag="ch"):
    """Describe a control host, its disk and the live hosts that it knows.

    `revision` is the newest that is known to be chosen, or -1.
    """

    host: PeerAddress
    disk_id: Name
    zone: Name
    is_leaving: bool
    revision: Revision
    live_hosts: list[PeerAddress]


class FetchState(msgspec.Struct, frozen=True, array_like=True, tag="fs"):
    """Ask for the chosen state if it is newer than `revision`."""

    revision: Revision


class ChosenState(msgspec.Struct, frozen=True, array_like=True, tag="cs"):
    """Send a state that is known to be chosen."""

    state: RoutingState


EnsembleHostMessage = (
    EnsembleMessage | ControlHello | FetchState | ChosenState | ContentMessage
)
