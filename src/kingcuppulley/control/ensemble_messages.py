"""Define the messages by which control hosts agree on the routing state."""

from __future__ import annotations

import msgspec

from kingcuppulley.control.registers import Ballot
from kingcuppulley.control.state import RoutingState


class PrepareState(msgspec.Struct, frozen=True, array_like=True, tag="sp"):
    """Ask for a promise, without the state if it was accepted under `known_ballot`."""

    ballot: Ballot
    known_ballot: Ballot


class StatePromise(msgspec.Struct, frozen=True, array_like=True, tag="sq"):
    """Promise a ballot, or refuse it and name the one that stands in its way.

    `state` is None where the proposer knows what was accepted.
    """

    disk_id: str
    ballot: Ballot
    granted: bool
    promised: Ballot
    accepted: Ballot
    state: RoutingState | None


class AcceptState(msgspec.Struct, frozen=True, array_like=True, tag="sa"):
    """Ask to accept a state."""

    ballot: Ballot
    state: RoutingState


class StateAccepted(msgspec.Struct, frozen=True, array_like=True, tag="sb"):
    """Accept a state durably, or refuse it."""

    disk_id: str
    ballot: Ballot
    granted: bool
    promised: Ballot


class ReadState(msgspec.Struct, frozen=True, array_like=True, tag="sr"):
    """Ask what a voter has accepted, for a read that must be certain."""

    number: int
    known_ballot: Ballot


class StateAnswer(msgspec.Struct, frozen=True, array_like=True, tag="ss"):
    """Tell what a voter has accepted durably."""

    disk_id: str
    number: int
    accepted: Ballot
    state: RoutingState | None


EnsembleMessage = (
    PrepareState | StatePromise | AcceptState | StateAccepted | ReadState | StateAnswer
)
EnsembleRequest = PrepareState | AcceptState | ReadState
EnsembleReply = StatePromise | StateAccepted | StateAnswer


class ControlHello(msgspec.Struct, frozen=True, array_like=True, tag="ch"):
    """Tell other control hosts of this one and of those that it knows.

    `revision` is the newest that is known to be chosen, -1 for none.
    """

    host: str
    disk_id: str
    zone: str
    is_leaving: bool
    revision: int
    live_hosts: list[str]


class FetchState(msgspec.Struct, frozen=True, array_like=True, tag="fs"):
    """Ask for the chosen state if it is newer than this revision."""

    revision: int


class ChosenState(msgspec.Struct, frozen=True, array_like=True, tag="cs"):
    """Tell a state that is chosen."""

    state: RoutingState


EnsembleHostMessage = EnsembleMessage | ControlHello | FetchState | ChosenState
