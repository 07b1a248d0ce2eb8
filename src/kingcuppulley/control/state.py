"""Define the routing state that control hosts agree on, and changes to it."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Container, Iterable

import msgspec

from kingcuppulley.control.registers import Ballot
from kingcuppulley.errors import MalformedMessageError
from kingcuppulley.internal.field_types import Count, Name, PeerAddress, Revision

# As large as the body of a request.
MAXIMUM_DOCUMENT_BYTES = 4 * 1024 * 1024


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


class EarlierServices(msgspec.Struct, frozen=True, array_like=True):
    """Name the services that only earlier configurations allowed for a route.

    `key` is the address and port of the route.  Flows that were opened then stay where
    they are, and a host that restarts must still forward their packets.
    """

    key: bytes
    services: tuple[Name, ...]


class ZoneReturn(msgspec.Struct, frozen=True, array_like=True):
    """Name the revision at which a zone last came back into service."""

    zone: Name
    revision: Count


class RoutingState(msgspec.Struct, frozen=True, array_like=True):
    """Hold all accepted operator changes, and the voters.

    `revision` grows by one with each change.  `configuration` is the operator's
    document, compressed with zlib.  `zones_out` are the zones out of service.
    `earlier_services` has an entry for each route that earlier configurations sent to
    other services.  `zone_returns` has an entry for each zone that ever came back into
    service; states of earlier builds have none.
    """

    revision: Count = 0
    voters: VoterSet = VoterSet()
    configuration_version: Count = 0
    configuration: bytes = b""
    zones_out: tuple[Name, ...] = ()
    earlier_services: tuple[EarlierServices, ...] = ()
    zone_returns: tuple[ZoneReturn, ...] = ()

    @property
    def document(self) -> bytes | None:
        """Return the operator's document, or None without one.

        Raises `MalformedMessageError` if the bytes are not a compressed document.
        """
        if not self.configuration:
            return None
        decompressor = zlib.decompressobj()
        try:
            document = decompressor.decompress(
                self.configuration, MAXIMUM_DOCUMENT_BYTES
            )
        except zlib.error as error:
            raise MalformedMessageError(
                f"the configuration cannot be decompressed: {error}; send the "
                "configuration with a higher version"
            ) from error
        if not decompressor.eof:
            raise MalformedMessageError(
                "the configuration is incomplete or larger than "
                f"{MAXIMUM_DOCUMENT_BYTES} bytes; send one with a higher version"
            )
        return document

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
    version: int,
    document: bytes,
    find_earlier_services: Callable[[RoutingState], tuple[EarlierServices, ...]],
) -> StateChange:
    """Return the change that activates a configuration if its version is higher.

    `find_earlier_services` returns those of the routes in `document`, from the state
    before the change.
    """

    def change(state: RoutingState) -> RoutingState:
        if version <= state.configuration_version:
            return state
        return msgspec.structs.replace(
            state,
            configuration_version=version,
            configuration=document,
            earlier_services=find_earlier_services(state),
        )

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
