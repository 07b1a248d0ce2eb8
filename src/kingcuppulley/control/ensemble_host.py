"""Run the voter and the proposer of one control host, and maintain the voters."""

from __future__ import annotations

from random import Random
from typing import Protocol

from kingcuppulley.control.content_exchange import ContentExchange
from kingcuppulley.control.content_store import ContentStore
from kingcuppulley.control.content_transfer import (
    ContentChunk,
    ContentHeld,
    FetchContent,
    OfferContent,
)
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
    StateAnswer,
    StatePromise,
)
from kingcuppulley.control.proposer import (
    CallerCheck,
    Proposer,
    StateCallback,
)
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

HELLO_INTERVAL_SECONDS = 0.25
LIVENESS_TIMEOUT_SECONDS = 1.2
# Time without a hello after which a voter is replaced.  For the same time after its own
# start, a host changes no voters.
VOTER_REPLACEMENT_DELAY_SECONDS = 2.5
PEER_RETENTION_SECONDS = 20.0
QUORUM_TIMEOUT_SECONDS = 2.0


class EnsembleTransport(Protocol):
    """Send messages to other control hosts, and receive chosen states."""

    def send(self, host: str, message: EnsembleHostMessage) -> None:
        """Send one message to the control host at an address."""

    def state_chosen(self, state: RoutingState) -> None:
        """Handle a state that is newly known to be chosen."""


class _Peer:
    """Store what the last hello of another control host reported."""

    __slots__ = ("disk_id", "zone", "is_leaving", "last_received_at", "revision")

    def __init__(self, now: float) -> None:
        self.disk_id = ""
        self.zone = ""
        self.is_leaving = False
        self.last_received_at = now
        self.revision = -1


def initial_vote(
    host: str, founders: list[str], disk_id: str, is_first_start: bool
) -> Vote:
    """Return the vote to write to an empty disk.

    At a deployment's first start the voters are `founders`, the seeds in the settings
    of all control hosts.  Later, an empty disk is new or has lost its vote.  It then
    starts without known voters under `disk_id`, an identifier that has never voted.
    """
    voters = VoterSet()
    revision = -1
    if is_first_start:
        members = tuple(
            Member(f"first:{founder}", founder) for founder in sorted(founders)
        )
        voters = VoterSet(members, members)
        revision = 0
        if host in founders:
            disk_id = f"first:{host}"
    state = RoutingState(voters=voters)
    return Vote(
        disk_id, ZERO_BALLOT, ZERO_BALLOT, state, ChosenVoters(revision, voters)
    )


class EnsembleHost:
    """Vote, propose, and replace failed voters on one control host.

    Control hosts exchange hellos, from which each knows the live hosts and the newest
    chosen revision.  The host with the lowest address among the live ones, apart from
    those that are leaving, changes the set of voters.

    A state may name a large content that is sent apart.  A voter receives a request to
    accept such a state only once this host holds the content, so that every accepted
    state can be reported in one message and its content can be fetched.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        instance: str,
        vote: Vote,
        writer: VoteWriter,
        transport: EnsembleTransport,
        seeds: list[str],
        desired_voters: int,
        generator: Random,
        now: float,
        contents: ContentStore | None = None,
    ) -> None:
        self._host = host
        self._zone = zone
        self._transport = transport
        self._seeds = seeds
        self._desired_voters = desired_voters
        self._content_exchange = ContentExchange(
            host, self, contents if contents is not None else ContentStore()
        )
        self._voter = Voter(vote, writer, self)
        self._proposer = Proposer(
            instance, vote.chosen, self, self._handle_chosen_state, generator
        )
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
    def content_exchange(self) -> ContentExchange:
        """Return what fetches, holds and sends the contents that states name."""
        return self._content_exchange

    @property
    def disk_id(self) -> str:
        """Return the identifier of this host's disk."""
        return self._voter.vote.disk_id

    @property
    def voters(self) -> VoterSet:
        """Return the voters of the newest revision that is known to be chosen."""
        return self._proposer.voters

    @property
    def current(self) -> RoutingState | None:
        """Return the newest state that is known to be chosen, or None."""
        return self._proposer.current

    @property
    def revision(self) -> int:
        """Return the newest revision that is known to be chosen, or -1."""
        current = self.current
        return current.revision if current is not None else -1

    @property
    def is_member(self) -> bool:
        """Return whether this host's disk is in the newest known set of voters."""
        disk_id = self._voter.vote.disk_id
        return any(member.disk_id == disk_id for member in self._proposer.voters.all())

    def known_hosts(self) -> list[str]:
        """Return the addresses of all peers, seeds and voters except this host."""
        members = {member.host for member in self._proposer.voters.all()}
        return sorted(({*self._peers, *self._seeds} | members) - {self._host})

    def live_hosts(self, now: float) -> list[str]:
        """Return the peers whose last hello is within `LIVENESS_TIMEOUT_SECONDS`."""
        return sorted(host for host, peer in self._peers.items() if _is_live(peer, now))

    def quorum_contact_at(self, now: float) -> float:
        """Return when a quorum of the known voters, or more, was last heard."""
        voters = self._proposer.voters
        return min(
            self._majority_contact_at(members, now)
            for members in (voters.members, voters.previous)
        )

    def update_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds, the control hosts that the settings name."""
        self._seeds = seeds

    def leave(self, now: float) -> None:
        """Notify the other control hosts that this host is about to stop."""
        self._is_leaving = True
        self._send_hello(now)

    def change(
        self,
        change: StateChange,
        on_result: StateCallback,
        deadline: float,
        is_awaited: CallerCheck = lambda: True,
    ) -> None:
        """Propose a change; see `Proposer.submit`."""
        self._proposer.submit(change, on_result, deadline, is_awaited)
        self._proposer.tick(self._now)

    def read(self, on_result: StateCallback, deadline: float) -> None:
        """Read the state that a quorum confirms.

        `on_result` receives the state, or None after the deadline.
        """
        self._proposer.read(on_result, deadline)
        self._proposer.tick(self._now)

    def send(self, host: str, message: EnsembleHostMessage) -> None:
        """Send a message to another host."""
        self._transport.send(host, message)

    def accept_is_possible(self, host: str, request: AcceptState) -> None:
        """Pass on a request to accept a state whose content has arrived."""
        self._voter.receive(host, request)

    def reply(self, host: str, message: EnsembleReply) -> None:
        """Deliver a reply of this host's voter to the proposer on `host`."""
        if host == self._host:
            self._proposer.receive(message, self._now)
        else:
            self._transport.send(host, message)

    def request(self, host: str, message: EnsembleRequest) -> None:
        """Deliver a request of this host's proposer to the voter on `host`."""
        if host == self._host:
            self._pass_to_voter(host, message)
        else:
            self._transport.send(host, message)

    def receive(self, host: str, message: EnsembleHostMessage, now: float) -> None:
        """Process a message from another control host."""
        self._now = now
        message = self._content_exchange.with_small_state(message)
        match message:
            case PrepareState() | AcceptState() | ReadState():
                self._pass_to_voter(host, message)
            case ControlHello():
                self._handle_hello(message, now)
            case FetchState():
                self.answer_fetch(host, message)
            case ChosenState():
                self._content_exchange.fetch(message.state, host, now)
                self._proposer.learn(message.state)
            case FetchContent() | ContentChunk() | OfferContent() | ContentHeld():
                self._content_exchange.receive(host, message, now)
            case _:
                if isinstance(message, StatePromise | StateAnswer) and message.state:
                    self._content_exchange.fetch(message.state, host, now)
                self._proposer.receive(message, now)

    def answer_fetch(self, host: str, fetch: FetchState) -> None:
        """Send the chosen state if it is newer than the requester's revision."""
        current = self.current
        if current is not None and current.revision > fetch.revision:
            self._transport.send(host, ChosenState(current))

    def tick(self, now: float) -> None:
        """Send hellos, replace failed voters, and advance voter and proposer."""
        self._now = now
        self._tick_contents(now)
        self._voter.tick(now)
        if now >= self._hello_deadline:
            self._hello_deadline = now + HELLO_INTERVAL_SECONDS
            self._send_hello(now)
            self._recover_state(now)
            self._maintain_members(now)
        self._proposer.tick(now)

    def vote_written(self, succeeded: bool, now: float) -> None:
        """Process the result of writing this host's vote."""
        self._now = now
        self._voter.vote_written(succeeded, now)

    def _pass_to_voter(self, host: str, request: EnsembleRequest) -> None:
        """Pass a request to this host's voter, once it can keep the state."""
        if isinstance(request, AcceptState) and self._content_exchange.hold_back(
            host, request, self._now
        ):
            return
        self._voter.receive(host, request)

    def _tick_contents(self, now: float) -> None:
        # The stored content of the vote may be damaged.
        states = [self._voter.vote.state]
        if self.current is not None:
            states.append(self.current)
        for state in states:
            self._content_exchange.fetch(state, "", now)
        self._content_exchange.tick((*self._voter.states, *self._proposer.states), now)

    def _majority_contact_at(self, members: tuple[Member, ...], now: float) -> float:
        heard_at = {host: peer.last_received_at for host, peer in self._peers.items()}
        heard_at[self._host] = now
        times = [heard_at.get(member.host, float("-inf")) for member in members]
        majority = len(members) // 2 + 1
        # A host that does not know the voters has no contact with them.
        return sorted(times, reverse=True)[majority - 1] if members else float("-inf")

    def _handle_chosen_state(self, state: RoutingState) -> None:
        self._voter.learn(ChosenVoters(state.revision, state.voters))
        for host in self.live_hosts(self._now):
            peer = self._peers[host]
            if peer.revision < state.revision:
                self._transport.send(host, ChosenState(state))
        self._transport.state_chosen(state)

    def _send_hello(self, now: float) -> None:
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

    def _handle_hello(self, hello: ControlHello, now: float) -> None:
        peer = self._peers.get(hello.host)
        is_new = peer is None
        if peer is None:
            peer = self._peers[hello.host] = _Peer(now)
        peer.disk_id = hello.disk_id
        peer.zone = hello.zone
        peer.is_leaving = hello.is_leaving
        peer.last_received_at = now
        peer.revision = hello.revision
        for host in hello.live_hosts:
            if host != self._host and host not in self._peers:
                # `host` receives hellos from now on, but is live only after its own.
                self._peers[host] = _Peer(now - LIVENESS_TIMEOUT_SECONDS)
        if hello.revision > self.revision:
            self._transport.send(hello.host, FetchState(self.revision))
        if is_new:
            self._send_hello(now)

    def _recover_state(self, now: float) -> None:
        """Read from a quorum until a chosen state is known after a start."""
        if self.current is None and not self._proposer.is_busy:
            self._proposer.read(_discard_result, now + QUORUM_TIMEOUT_SECONDS)

    def _maintain_members(self, now: float) -> None:
        for host in [
            host
            for host, peer in self._peers.items()
            if now - peer.last_received_at > PEER_RETENTION_SECONDS
        ]:
            del self._peers[host]
        current = self.current
        if current is None or current.voters.is_joint or self._is_changing_members:
            return
        if (
            now - self._started_at < VOTER_REPLACEMENT_DELAY_SECONDS
            or not self._may_change_members(now)
        ):
            return
        members = current.voters.members
        desired = self._desired_members(members, now)
        if desired == members:
            return
        self._is_changing_members = True
        self._proposer.submit(
            replace_members(members, desired),
            self._handle_member_change_result,
            now + QUORUM_TIMEOUT_SECONDS,
        )

    def _handle_member_change_result(self, _: RoutingState | None) -> None:
        self._is_changing_members = False

    def _may_change_members(self, now: float) -> bool:
        # Only one live host changes members, so that proposers rarely compete.
        remaining = [
            host for host in self.live_hosts(now) if not self._peers[host].is_leaving
        ]
        return not self._is_leaving and all(self._host < host for host in remaining)

    def _desired_members(
        self, members: tuple[Member, ...], now: float
    ) -> tuple[Member, ...]:
        """Return the members after at most one change, the most urgent one.

        In this order: a voter whose host has another disk now is replaced by one with
        that disk; an unavailable voter is replaced, if possible by a host of the same
        zone; if there are fewer voters than desired, a host is added, from the zone
        with the fewest voters among those that have a candidate.
        """
        disk_ids = {self._host: self._voter.vote.disk_id}
        zones = {self._host: self._zone}
        for host, peer in self._peers.items():
            zones[host] = peer.zone
            if _is_live(peer, now) and not peer.is_leaving:
                disk_ids[host] = peer.disk_id
        for member in members:
            disk_id = disk_ids.get(member.host, member.disk_id)
            if disk_id != member.disk_id:
                return _replace_member(members, member, Member(disk_id, member.host))
        member_hosts = {member.host for member in members}
        candidates = sorted(host for host in disk_ids if host not in member_hosts)
        if not candidates:
            return members
        for member in members:
            if member.host not in disk_ids and self._is_unavailable(member, now):
                zone = zones.get(member.host, "")
                host = min(
                    candidates,
                    key=lambda candidate: (zones[candidate] != zone, candidate),
                )
                return _replace_member(members, member, Member(disk_ids[host], host))
        if len(members) < self._desired_voters:
            member_zones = [zones.get(host, "") for host in member_hosts]
            host = min(
                candidates,
                key=lambda candidate: (
                    member_zones.count(zones[candidate]),
                    candidate,
                ),
            )
            return tuple(sorted((*members, Member(disk_ids[host], host))))
        return members

    def _is_unavailable(self, member: Member, now: float) -> bool:
        peer = self._peers.get(member.host)
        if peer is None or peer.is_leaving:
            return True
        return now - peer.last_received_at > VOTER_REPLACEMENT_DELAY_SECONDS


def _is_live(peer: _Peer, now: float) -> bool:
    return bool(peer.disk_id) and now - peer.last_received_at < LIVENESS_TIMEOUT_SECONDS


def _replace_member(
    members: tuple[Member, ...], old: Member, new: Member
) -> tuple[Member, ...]:
    return tuple(sorted(new if member == old else member for member in members))


def _discard_result(_: RoutingState | None) -> None:
    """Discard a read's result: the proposer has recorded the state already."""
