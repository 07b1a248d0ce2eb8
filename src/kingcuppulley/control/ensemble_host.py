"""Run one control host's part in agreeing on the routing state."""

from __future__ import annotations

from random import Random
from typing import Protocol

from kingcuppulley.control.ensemble_messages import (
    AcceptState,
    ChosenState,
    ControlHello,
    EnsembleHostMessage,
    EnsembleReply,
    EnsembleRequest,
    FetchState,
    PrepareState,
    ReadState,
)
from kingcuppulley.control.proposer import Proposer, StateCallback
from kingcuppulley.control.registers import ZERO_BALLOT
from kingcuppulley.control.state import (
    ChosenVoters,
    Member,
    RoutingState,
    StateChange,
    Vote,
    VoterSet,
    replace_members,
)
from kingcuppulley.control.voter import Voter, VoteWriter

HELLO_SECONDS = 0.25
LIVE_SECONDS = 1.2
REPLACE_AFTER_SECONDS = 2.5
FORGET_AFTER_SECONDS = 20.0
MEMBER_CHANGE_SECONDS = 2.0


class EnsembleTransport(Protocol):
    """Send messages of the ensemble, and tell when a state is chosen."""

    def send(self, host: str, message: EnsembleHostMessage) -> None:
        """Send one message."""

    def state_chosen(self, state: RoutingState) -> None:
        """Take the newest state that is known to be chosen."""


class _Peer:
    """Remember another control host."""

    __slots__ = ("disk_id", "zone", "is_leaving", "heard_at", "revision")

    def __init__(self, now: float) -> None:
        self.disk_id = ""
        self.zone = ""
        self.is_leaving = False
        self.heard_at = now
        self.revision = -1


def initial_vote(host: str, founders: list[str], disk_id: str, is_first: bool) -> Vote:
    """Return the vote of an empty disk.

    At a deployment's first start the control hosts that all were told of are its
    voters.  Later an empty disk has lost what it knew, or is new: it knows no voters,
    and takes the name `disk_id`, under which it never voted.
    """
    voters = VoterSet()
    revision = -1
    if is_first:
        members = tuple(Member(f"first:{each}", each) for each in sorted(founders))
        voters = VoterSet(members, members)
        revision = 0
        if host in founders:
            disk_id = f"first:{host}"
    state = RoutingState(voters=voters)
    return Vote(
        disk_id, ZERO_BALLOT, ZERO_BALLOT, state, ChosenVoters(revision, voters)
    )


class EnsembleHost:
    """Vote, propose, and keep the set of voters whole on one control host."""

    def __init__(
        self,
        host: str,
        zone: str,
        process: str,
        vote: Vote,
        writer: VoteWriter,
        transport: EnsembleTransport,
        seeds: list[str],
        desired_voters: int,
        generator: Random,
        now: float,
    ) -> None:
        self._host = host
        self._zone = zone
        self._transport = transport
        self._seeds = seeds
        self._desired_voters = desired_voters
        self._voter = Voter(vote, writer, self)
        self._proposer = Proposer(process, vote.chosen, self, self._chosen, generator)
        self._peers: dict[str, _Peer] = {}
        self._hello_deadline = now
        self._is_leaving = False
        self._is_changing_members = False
        self._started_at = now
        self._now = now

    @property
    def voter(self) -> Voter:
        """Return this host's voter."""
        return self._voter

    @property
    def current(self) -> RoutingState | None:
        """Return the newest state that is known to be chosen."""
        return self._proposer.current

    @property
    def revision(self) -> int:
        """Return the newest revision that is known to be chosen, -1 for none."""
        current = self.current
        return current.revision if current is not None else -1

    @property
    def is_member(self) -> bool:
        """Return whether this host's disk votes."""
        disk_id = self._voter.vote.disk_id
        return any(member.disk_id == disk_id for member in self._proposer.voters.all())

    def known_hosts(self) -> list[str]:
        """Return every control host that was heard lately or that settings name."""
        members = {member.host for member in self._proposer.voters.all()}
        return sorted(({*self._peers, *self._seeds} | members) - {self._host})

    def live_hosts(self, now: float) -> list[str]:
        """Return the control hosts that were heard lately."""
        return sorted(host for host, peer in self._peers.items() if _is_live(peer, now))

    def update_seeds(self, seeds: list[str]) -> None:
        """Take the control hosts that the settings name now."""
        self._seeds = seeds

    def leave(self, now: float) -> None:
        """Tell the others that this host stops soon."""
        self._is_leaving = True
        self._say_hello(now)

    def change(
        self, change: StateChange, on_result: StateCallback, deadline: float
    ) -> None:
        """Bring an operator's change to a quorum."""
        self._proposer.submit(change, on_result, deadline)
        self._proposer.tick(self._now)

    def read(self, on_result: StateCallback, deadline: float) -> None:
        """Read the state that a quorum confirms."""
        self._proposer.read(on_result, deadline)
        self._proposer.tick(self._now)

    def reply(self, host: str, message: EnsembleReply) -> None:
        """Send a voter's reply to whoever proposed."""
        if host == self._host:
            self._proposer.receive(message, self._now)
        else:
            self._transport.send(host, message)

    def request(self, host: str, message: EnsembleRequest) -> None:
        """Send a proposer's request to a voter."""
        if host == self._host:
            self._voter.receive(host, message)
        else:
            self._transport.send(host, message)

    def receive(self, host: str, message: EnsembleHostMessage, now: float) -> None:
        """Take one message of another control host."""
        self._now = now
        match message:
            case PrepareState() | AcceptState() | ReadState():
                self._voter.receive(host, message)
            case ControlHello():
                self._take_hello(message, now)
            case FetchState():
                self.answer_fetch(host, message)
            case ChosenState():
                self._proposer.learn(message.state)
            case _:
                self._proposer.receive(message, now)

    def answer_fetch(self, host: str, fetch: FetchState) -> None:
        """Send the chosen state to a host that has an older one."""
        current = self.current
        if current is not None and current.revision > fetch.revision:
            self._transport.send(host, ChosenState(current))

    def tick(self, now: float) -> None:
        """Greet, propose, and replace voters that are lost."""
        self._now = now
        if now >= self._hello_deadline:
            self._hello_deadline = now + HELLO_SECONDS
            self._say_hello(now)
            self._settle_start(now)
            self._mend_members(now)
        self._proposer.tick(now)

    def vote_written(self, succeeded: bool, now: float) -> None:
        """Take the end of a write of this host's vote."""
        self._now = now
        self._voter.vote_written(succeeded)

    def _chosen(self, state: RoutingState) -> None:
        self._voter.learn(ChosenVoters(state.revision, state.voters))
        for host in self.live_hosts(self._now):
            peer = self._peers[host]
            if peer.revision < state.revision:
                self._transport.send(host, ChosenState(state))
        self._transport.state_chosen(state)

    def _say_hello(self, now: float) -> None:
        hello = ControlHello(
            self._host,
            self._voter.vote.disk_id,
            self._zone,
            self._is_leaving,
            self.revision,
            self.live_hosts(now),
        )
        for host in self.known_hosts():
            self._transport.send(host, hello)

    def _take_hello(self, hello: ControlHello, now: float) -> None:
        peer = self._peers.get(hello.host)
        is_new = peer is None
        if peer is None:
            peer = self._peers[hello.host] = _Peer(now)
        peer.disk_id = hello.disk_id
        peer.zone = hello.zone
        peer.is_leaving = hello.is_leaving
        peer.heard_at = now
        peer.revision = hello.revision
        for host in hello.live_hosts:
            if host != self._host and host not in self._peers:
                # Greeted, but not live until it is heard itself.
                self._peers[host] = _Peer(now - LIVE_SECONDS)
        if hello.revision > self.revision:
            self._transport.send(hello.host, FetchState(self.revision))
        if is_new:
            self._say_hello(now)

    def _settle_start(self, now: float) -> None:
        """Read from a quorum until this start knows a chosen state."""
        if self.current is None and not self._proposer.is_busy:
            self._proposer.read(_ignore, now + MEMBER_CHANGE_SECONDS)

    def _mend_members(self, now: float) -> None:
        for host in [
            host
            for host, peer in self._peers.items()
            if now - peer.heard_at > FORGET_AFTER_SECONDS
        ]:
            del self._peers[host]
        current = self.current
        if current is None or current.voters.is_joint or self._is_changing_members:
            return
        if now - self._started_at < REPLACE_AFTER_SECONDS or not self._acts(now):
            return
        members = current.voters.members
        wanted = self._wanted_members(members, now)
        if wanted == members:
            return
        self._is_changing_members = True
        self._proposer.submit(
            replace_members(members, wanted),
            self._members_changed,
            now + MEMBER_CHANGE_SECONDS,
        )

    def _members_changed(self, _: RoutingState | None) -> None:
        self._is_changing_members = False

    def _acts(self, now: float) -> bool:
        # One live host acts for all, so that proposers seldom meet.
        staying = [
            host for host in self.live_hosts(now) if not self._peers[host].is_leaving
        ]
        return not self._is_leaving and all(self._host < host for host in staying)

    def _wanted_members(
        self, members: tuple[Member, ...], now: float
    ) -> tuple[Member, ...]:
        """Return the members after the most urgent change, one disk at a time."""
        disk_ids = {self._host: self._voter.vote.disk_id}
        zones = {self._host: self._zone}
        for host, peer in self._peers.items():
            zones[host] = peer.zone
            if _is_live(peer, now) and not peer.is_leaving:
                disk_ids[host] = peer.disk_id
        for member in members:
            disk_id = disk_ids.get(member.host, member.disk_id)
            if disk_id != member.disk_id:
                return _replaced(members, member, Member(disk_id, member.host))
        hosts = {member.host for member in members}
        spare = sorted(host for host in disk_ids if host not in hosts)
        if not spare:
            return members
        for member in members:
            if member.host not in disk_ids and self._is_lost(member, now):
                zone = zones.get(member.host, "")
                host = min(spare, key=lambda each: (zones[each] != zone, each))
                return _replaced(members, member, Member(disk_ids[host], host))
        if len(members) < self._desired_voters:
            crowd = [zones.get(host, "") for host in hosts]
            host = min(spare, key=lambda each: (crowd.count(zones[each]), each))
            return tuple(sorted((*members, Member(disk_ids[host], host))))
        return members

    def _is_lost(self, member: Member, now: float) -> bool:
        peer = self._peers.get(member.host)
        if peer is None or peer.is_leaving:
            return True
        return now - peer.heard_at > REPLACE_AFTER_SECONDS


def _is_live(peer: _Peer, now: float) -> bool:
    return bool(peer.disk_id) and now - peer.heard_at < LIVE_SECONDS


def _replaced(
    members: tuple[Member, ...], old: Member, new: Member
) -> tuple[Member, ...]:
    return tuple(sorted(new if member == old else member for member in members))


def _ignore(_: RoutingState | None) -> None:
    """Take the end of a read that nobody waits for."""
