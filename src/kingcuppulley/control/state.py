"""Define the routing state that control hosts agree on, and changes to it."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

import msgspec

from kingcuppulley.control.registers import Ballot
from kingcuppulley.control.routing_content import (
    ContentReference,
    EarlierServices,
    RoutingContent,
)
from kingcuppulley.internal.field_types import Count, Name, PeerAddress, Revision


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identify one voter by its disk and its host.

    `disk_id` is assigned when an empty disk is first written.  A host that lost its
    disk thus becomes another member, and cannot vote as the one whose votes are lost.
    """

    disk_id: Name
    host: PeerAddress


class VoterSet(msgspec.Struct, frozen=True, array_like=True):
    """Hold the members that vote; a quorum needs a majority of each of the two sets.

    The sets differ only while the voters change.  A host that does not know the voters
    starts with two empty sets, which have no quorum.
    """

    members: tuple[Member, ...] = ()
    previous: tuple[Member, ...] = ()

    @property
    def is_joint(self) -> bool:
        """Return whether a change of voters is in progress."""
        return self.members != self.previous

    def all(self) -> frozenset[Member]:
        """Return the members of both sets."""
        return frozenset(self.members) | frozenset(self.previous)

    def has_quorum(self, disk_ids: Container[str]) -> bool:
        """Return whether these disks include a majority of each of the two sets."""
        return _is_majority(self.members, disk_ids) and _is_majority(
            self.previous, disk_ids
        )


class ZoneReturn(msgspec.Struct, frozen=True, array_like=True):
    """Name the revision at which a zone last came back into service."""

    zone: Name
    revision: Count


class RoutingState(msgspec.Struct, frozen=True, array_like=True):
    """Hold all accepted operator changes, and the voters.

    `revision` grows by one with each change.  `configuration` and `earlier_services`
    are those of a `RoutingContent`.  If that is large, `configuration` is a reference
    to it instead, and `earlier_services` is empty.  `zones_out` are the zones out of
    service.  `zone_returns` has an entry for each zone that ever came back into
    service; states of earlier builds have none.
    """

    revision: Count = 0
    voters: VoterSet = VoterSet()
    configuration_version: Count = 0
    # Hosts of earlier builds cannot decode a state with a reference, so they neither
    # vote for one nor apply one without its content.
    configuration: bytes | ContentReference = b""
    zones_out: tuple[Name, ...] = ()
    earlier_services: tuple[EarlierServices, ...] = ()
    zone_returns: tuple[ZoneReturn, ...] = ()

    @property
    def content_reference(self) -> ContentReference | None:
        """Return the reference to the content, or None if the state contains it."""
        configuration = self.configuration
        return configuration if isinstance(configuration, ContentReference) else None

    @property
    def inline_content(self) -> RoutingContent:
        """Return the content that the state itself contains."""
        assert isinstance(self.configuration, bytes)
        return RoutingContent(self.configuration, self.earlier_services)

    def with_content(self, content: RoutingContent) -> RoutingState:
        """Return this state with a content as a part of it."""
        return msgspec.structs.replace(
            self,
            configuration=content.configuration,
            earlier_services=content.earlier_services,
        )

    def with_reference(self, reference: ContentReference) -> RoutingState:
        """Return this state with a reference to a content that is sent apart."""
        return msgspec.structs.replace(
            self, configuration=reference, earlier_services=()
        )

    def zone_return_revision(self, zone: str) -> int:
        """Return the revision at which a zone last returned, or 0 if it never did."""
        for zone_return in self.zone_returns:
            if zone_return.zone == zone:
                return zone_return.revision
        return 0


class ChosenVoters(msgspec.Struct, frozen=True, array_like=True):
    """Hold the voters of a revision that is known to be chosen."""

    revision: Revision = -1
    voters: VoterSet = VoterSet()


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """Hold the durable state of one control host's voter.

    `chosen` holds the voters from which a restarted proposer starts.
    """

    disk_id: str
    promised: Ballot
    accepted: Ballot
    state: RoutingState
    chosen: ChosenVoters


StateChange = Callable[[RoutingState], RoutingState]


def put_configuration(
    version: int, add_content: Callable[[RoutingState], RoutingState | None]
) -> StateChange:
    """Return the change that activates a configuration if its version is higher.

    `add_content` returns a state with the new content, from the state before the
    change.  It returns None if that cannot be done now; the state then stays as it is.
    """

    def change(state: RoutingState) -> RoutingState:
        if version <= state.configuration_version:
            return state
        changed = add_content(state)
        if changed is None:
            return state
        return msgspec.structs.replace(changed, configuration_version=version)

    return change


def set_zone(zone: str, in_service: bool) -> StateChange:
    """Return the change that takes a zone out of service, or puts it back."""

    def change(state: RoutingState) -> RoutingState:
        zones = set(state.zones_out)
        returns = state.zone_returns
        if in_service and zone in zones:
            others = [entry for entry in returns if entry.zone != zone]
            # The revision of the state that this change is part of.
            zone_return = ZoneReturn(zone, state.revision + 1)
            returns = tuple(sorted((*others, zone_return), key=_zone_of))
        if in_service:
            zones.discard(zone)
        else:
            zones.add(zone)
        return msgspec.structs.replace(
            state, zones_out=tuple(sorted(zones)), zone_returns=returns
        )

    return change


def replace_members(
    expected: tuple[Member, ...], members: tuple[Member, ...]
) -> StateChange:
    """Return the change that starts to replace the expected members by `members`.

    The change applies only to a state whose members are the expected ones.  Both sets
    vote until `end_member_change`.
    """

    def change(state: RoutingState) -> RoutingState:
        voters = state.voters
        if voters.is_joint or voters.members != expected or not members:
            return state
        return msgspec.structs.replace(state, voters=VoterSet(members, expected))

    return change


def apply_changes(state: RoutingState, changes: Iterable[StateChange]) -> RoutingState:
    """Return the state after changes, with the next revision if the state differs."""
    changed = state
    for change in changes:
        changed = change(changed)
    if changed == state:
        return state
    return msgspec.structs.replace(changed, revision=state.revision + 1)


def end_member_change(state: RoutingState) -> RoutingState:
    """Return the next revision, in which only the new members vote."""
    members = state.voters.members
    return msgspec.structs.replace(
        state, voters=VoterSet(members, members), revision=state.revision + 1
    )


def _zone_of(zone_return: ZoneReturn) -> str:
    return zone_return.zone


def _is_majority(members: tuple[Member, ...], disk_ids: Container[str]) -> bool:
    count = sum(1 for member in members if member.disk_id in disk_ids)
    return count >= len(members) // 2 + 1
