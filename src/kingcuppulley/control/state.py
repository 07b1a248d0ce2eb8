"""Define the state that control hosts agree on, and how a change applies to it."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

import msgspec

from kingcuppulley.control.registers import Ballot


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Name one voter by its disk; an emptied disk makes another member.

    `disk_id` is drawn when a disk is first written, so that a host which lost its disk
    can never vote with the authority of what it has forgotten.
    """

    disk_id: str
    host: str


class VoterSet(msgspec.Struct, frozen=True, array_like=True):
    """Say whose votes count; while the two sets differ, a majority of both is needed.

    Without members it has no quorum: so begins a host that does not know yet.
    """

    members: tuple[Member, ...] = ()
    previous: tuple[Member, ...] = ()

    @property
    def is_joint(self) -> bool:
        """Return whether a change of voters is under way."""
        return self.members != self.previous

    def all(self) -> frozenset[Member]:
        """Return every member whose vote may count."""
        return frozenset(self.members) | frozenset(self.previous)

    def has_quorum(self, disk_ids: Container[str]) -> bool:
        """Return whether these disks are a majority wherever one is needed."""
        return _is_majority(self.members, disk_ids) and _is_majority(
            self.previous, disk_ids
        )


class RoutingState(msgspec.Struct, frozen=True, array_like=True):
    """Hold everything that operators have had accepted, and who votes on it.

    `revision` grows by one with each change.  `configuration` is the operator's
    document, compressed.
    """

    revision: int = 0
    voters: VoterSet = VoterSet()
    configuration_version: int = 0
    configuration: bytes = b""
    zones_out: tuple[str, ...] = ()


class ChosenVoters(msgspec.Struct, frozen=True, array_like=True):
    """Remember who voted at a revision that is known to be chosen."""

    revision: int = -1
    voters: VoterSet = VoterSet()


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """Hold what one control host keeps durable.

    `chosen` is where a proposer that has restarted begins to look for a quorum.
    """

    disk_id: str
    promised: Ballot
    accepted: Ballot
    state: RoutingState
    chosen: ChosenVoters


StateChange = Callable[[RoutingState], RoutingState]


def put_configuration(version: int, document: bytes) -> StateChange:
    """Return the change that puts a configuration in force if it is the highest."""

    def change(state: RoutingState) -> RoutingState:
        if version <= state.configuration_version:
            return state
        return msgspec.structs.replace(
            state, configuration_version=version, configuration=document
        )

    return change


def set_zone(zone: str, in_service: bool) -> StateChange:
    """Return the change that takes a zone out of service or back."""

    def change(state: RoutingState) -> RoutingState:
        zones = set(state.zones_out)
        if in_service:
            zones.discard(zone)
        else:
            zones.add(zone)
        return msgspec.structs.replace(state, zones_out=tuple(sorted(zones)))

    return change


def replace_members(
    expected: tuple[Member, ...], members: tuple[Member, ...]
) -> StateChange:
    """Return the change that begins to vote with other members.

    It applies only to the members that it was worked out from.
    """

    def change(state: RoutingState) -> RoutingState:
        voters = state.voters
        if voters.is_joint or voters.members != expected or not members:
            return state
        return msgspec.structs.replace(state, voters=VoterSet(members, expected))

    return change


def apply_changes(state: RoutingState, changes: Iterable[StateChange]) -> RoutingState:
    """Return the state after these changes, with the next revision if it differs."""
    changed = state
    for change in changes:
        changed = change(changed)
    if changed == state:
        return state
    return msgspec.structs.replace(changed, revision=state.revision + 1)


def end_member_change(state: RoutingState) -> RoutingState:
    """Return the state in which only the new members vote."""
    members = state.voters.members
    return msgspec.structs.replace(
        state, voters=VoterSet(members, members), revision=state.revision + 1
    )


def _is_majority(members: tuple[Member, ...], disk_ids: Container[str]) -> bool:
    held = sum(1 for member in members if member.disk_id in disk_ids)
    return held >= len(members) // 2 + 1
