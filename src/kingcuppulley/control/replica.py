"""Run one control host: vote, propose, recover, and distribute chosen registers."""

from __future__ import annotations

import random
from collections.abc import Callable

from kingcuppulley.control.acceptor import Acceptor, ReplicaState
from kingcuppulley.control.distribution import Publisher, Subscriber
from kingcuppulley.control.messages import (
    Accept,
    Accepted,
    AcceptedEntry,
    Body,
    Chosen,
    Delta,
    Hello,
    HelloReply,
    PeerCounts,
    Poll,
    Prepare,
    Promise,
    RecoverReply,
    RecoverRequest,
)
from kingcuppulley.control.registers import Ballot, Change, ChangeAnswer, Register
from kingcuppulley.control.round import ChangeRound
from kingcuppulley.errors import (
    KingcuppulleyError,
    NotEnoughControlHostsError,
    NotVotingError,
    StorageError,
)
from kingcuppulley.internal.sender import Sender

# Interval between hellos, or requests to recover, of a replica that does not vote yet.
HELLO_INTERVAL_SECONDS = 0.5
# Time after which the check at the start ends without a reply from every peer.
CHECK_TIMEOUT_SECONDS = 3.0
# Time for which an accepted register may stay unconfirmed before this replica confirms
# it on a quorum.
CONFIRMATION_DELAY_SECONDS = 2.0

AnswerCallback = Callable[[ChangeAnswer], None]
FailureCallback = Callable[[KingcuppulleyError], None]


class PendingRound:
    """Hold one round in progress and the callback for its failure."""

    __slots__ = ("round", "on_failure")

    def __init__(self, change_round: ChangeRound, on_failure: FailureCallback) -> None:
        self.round = change_round
        self.on_failure = on_failure


class Replica:
    """Handle the messages and deadlines of one control host.

    A replica votes only while its journal holds every vote that it has ever cast.
    After each start it asks its peers how many of its starts and votes they have
    recorded.  If that is more than its journal holds, its disk is an outdated copy.
    With an outdated or empty disk it recovers first, from a majority of all replicas
    that does not include itself.
    """

    def __init__(
        self,
        name: str,
        hosts: list[str],
        acceptor: Acceptor,
        sender: Sender[Body],
        generator: random.Random,
    ) -> None:
        self._name = name
        self._hosts = sorted(hosts)
        self._peers = [host for host in self._hosts if host != name]
        self._acceptor = acceptor
        self._sender = sender
        self._publisher = Publisher(f"{name}:{generator.getrandbits(64):x}")
        for register in acceptor.chosen.values():
            self._publisher.publish(register)
        self._subscriber = Subscriber(self._peers, [], sender, self.learn, generator)
        self._state = (
            ReplicaState.CHECKING if acceptor.may_vote else ReplicaState.RECOVERING
        )
        if not self._peers:
            self._state = ReplicaState.VOTING
        self._ballot_counter = acceptor.highest_counter
        self._pending: list[PendingRound] = []
        self._hello_deadline = 0.0
        self._hello_replies: set[str] = set()
        self._check_deadline: float | None = None
        self._recover_replies: dict[str, RecoverReply] = {}
        self._confirmation_deadlines: dict[str, float] = {}
        self._failed_writes = 0

    @property
    def state(self) -> ReplicaState:
        """Return whether this replica is checking, recovering or voting."""
        return self._state

    @property
    def publisher(self) -> Publisher:
        """Return the publisher of the registers that are known to be chosen."""
        return self._publisher

    @property
    def failed_writes(self) -> int:
        """Return how many messages were not processed because the disk failed."""
        return self._failed_writes

    @property
    def failed_rewrites(self) -> int:
        """Return how many rewrites of the journal failed."""
        return self._acceptor.failed_rewrites

    def change(
        self,
        change: Change,
        on_answer: AnswerCallback,
        on_failure: FailureCallback,
        now: float,
    ) -> None:
        """Propose a change to a quorum and report its answer or failure.

        `on_failure` gets `NotVotingError` at once if this replica does not vote yet.
        """
        if self._state is not ReplicaState.VOTING:
            on_failure(NotVotingError(self._name, self._state.value))
            return
        self._start_round(change.key, change, on_answer, on_failure, now)

    def read(
        self,
        key: str,
        on_answer: AnswerCallback,
        on_failure: FailureCallback,
        now: float,
    ) -> None:
        """Confirm a register on a quorum, so that the chosen value is known here."""
        self._start_round(key, None, on_answer, on_failure, now)

    def learn(self, register: Register) -> None:
        """Store and publish a register that is known to be chosen."""
        if self._acceptor.learn(register):
            self._publisher.publish(register)

    def receive(self, host: str, body: Body, now: float) -> None:
        """Handle one message; a vote that cannot be stored durably is not sent."""
        try:
            self._dispatch(host, body, now)
        except StorageError as error:
            self._failed_writes += 1
            if host == self._name and isinstance(body, Prepare | Accept):
                self._fail_rounds(body.key, error)

    def tick(self, now: float) -> None:
        """Handle every deadline that has passed."""
        if self._state is not ReplicaState.VOTING and now >= self._hello_deadline:
            self._hello_deadline = now + HELLO_INTERVAL_SECONDS
            self._query_peers()
        if self._state is ReplicaState.CHECKING:
            self._end_check(now)
        self._subscriber.tick(now)
        self._confirm_accepted(now)
        for pending in self._pending:
            if pending.round.is_done:
                # Its answer or failure was reported when it ended.
                continue
            if pending.round.has_expired(now):
                pending.on_failure(NotEnoughControlHostsError(pending.round.key))
            else:
                pending.round.tick(now)
        self._pending = [
            pending
            for pending in self._pending
            if not pending.round.is_done and not pending.round.has_expired(now)
        ]

    def _dispatch(self, host: str, body: Body, now: float) -> None:
        match body:
            case Prepare() | Accept():
                self._vote(host, body)
            case Promise():
                self._acceptor.record_peer(host, PeerCounts(0, body.votes))
                self._ballot_counter = max(
                    self._ballot_counter, body.promised_ballot.counter
                )
                for change_round in self._rounds(body.key):
                    change_round.handle_promise(host, body, now)
            case Accepted():
                # Stored durably before the vote counts: if that replica restarts
                # with an older copy of its disk, the stored count reveals it.
                self._acceptor.record_peer(host, PeerCounts(0, body.votes))
                self._ballot_counter = max(
                    self._ballot_counter, body.promised_ballot.counter
                )
                for change_round in self._rounds(body.key):
                    change_round.handle_accepted(host, body, now)
            case Chosen():
                self.learn(body.register)
            case Hello():
                counts = PeerCounts(body.boot, body.votes)
                recorded = self._acceptor.record_peer(host, counts)
                self._sender.send(host, HelloReply(body.boot, recorded))
            case HelloReply():
                self._handle_hello_reply(host, body)
            case RecoverRequest():
                self._handle_recover_request(host, body)
            case RecoverReply():
                self._handle_recover_reply(host, body)
            case Poll():
                self._sender.send(host, self._publisher.answer(body))
            case Delta():
                self._subscriber.receive_delta(host, body, now)

    def _vote(self, host: str, body: Prepare | Accept) -> None:
        if self._state is not ReplicaState.VOTING:
            return
        if isinstance(body, Prepare):
            self._sender.send(host, self._acceptor.prepare(body))
        else:
            self._sender.send(host, self._acceptor.accept(host, body))

    def _query_peers(self) -> None:
        boot = self._acceptor.boot
        recovering = self._state is ReplicaState.RECOVERING
        for host in self._peers:
            hello = Hello(boot, self._acceptor.votes)
            self._sender.send(host, RecoverRequest(boot) if recovering else hello)

    def _handle_hello_reply(self, host: str, reply: HelloReply) -> None:
        if self._state is not ReplicaState.CHECKING:
            return
        if reply.boot != self._acceptor.boot:
            return
        recorded = reply.recorded
        if recorded.boot > reply.boot or recorded.votes > self._acceptor.votes:
            # The state changes even if the disk is full: a replica with an outdated
            # disk must not vote once the check ends.
            self._state = ReplicaState.RECOVERING
            self._acceptor.stop_voting()
            return
        self._hello_replies.add(host)
        if len(self._hello_replies) == len(self._peers):
            self._state = ReplicaState.VOTING

    def _end_check(self, now: float) -> None:
        """Start voting after the timeout if enough peers replied to form a quorum.

        Waiting for every peer would block all changes as soon as one host is lost and
        another restarts.  The cost is that an outdated disk goes undetected if exactly
        the hosts that recorded its later votes are unreachable during the whole check.
        """
        if self._check_deadline is None:
            self._check_deadline = now + CHECK_TIMEOUT_SECONDS
        if now >= self._check_deadline:
            if len(self._hello_replies) >= len(self._hosts) // 2:
                self._state = ReplicaState.VOTING

    def _handle_recover_request(self, host: str, request: RecoverRequest) -> None:
        if self._state is not ReplicaState.VOTING:
            return
        counts = PeerCounts(request.boot, 0)
        recorded = self._acceptor.record_peer(host, counts)
        floor = self._acceptor.raise_floor(self._name)
        entries = self._acceptor.accepted_entries()
        self._sender.send(host, RecoverReply(request.boot, recorded, floor, entries))

    def _handle_recover_reply(self, host: str, reply: RecoverReply) -> None:
        if self._state is not ReplicaState.RECOVERING:
            return
        if reply.boot != self._acceptor.boot:
            return
        self._recover_replies[host] = reply
        if len(self._recover_replies) < len(self._hosts) // 2 + 1:
            return
        replies = self._recover_replies.values()
        newest: dict[str, AcceptedEntry] = {}
        for entry in (entry for reply in replies for entry in reply.entries):
            known = newest.get(entry.key)
            if known is None or known.ballot < entry.ballot:
                newest[entry.key] = entry
        floor = max(reply.floor for reply in replies)
        recorded = PeerCounts(
            max(reply.recorded.boot for reply in replies),
            max(reply.recorded.votes for reply in replies),
        )
        self._acceptor.recover(floor, newest.values(), recorded)
        self._ballot_counter = max(self._ballot_counter, floor.counter)
        self._state = ReplicaState.VOTING

    def _fail_rounds(self, key: str, error: StorageError) -> None:
        for pending in self._pending:
            if pending.round.key == key and not pending.round.is_done:
                pending.round.abandon()
                pending.on_failure(error)

    def _confirm_accepted(self, now: float) -> None:
        """Confirm each accepted register that is not known to be chosen in time.

        The host that proposed it may have crashed before it sent `Chosen`.
        """
        for entry in self._acceptor.accepted_entries():
            known = self._publisher.get(entry.key)
            if known is not None and known.revision >= entry.register.revision:
                self._confirmation_deadlines.pop(entry.key, None)
                continue
            deadline = self._confirmation_deadlines.setdefault(
                entry.key, now + CONFIRMATION_DELAY_SECONDS
            )
            if now >= deadline and self._state is ReplicaState.VOTING:
                self._confirmation_deadlines[entry.key] = (
                    now + CONFIRMATION_DELAY_SECONDS * len(self._hosts)
                )
                self.read(entry.key, _ignore, _ignore, now)

    def _start_round(
        self,
        key: str,
        change: Change | None,
        on_answer: AnswerCallback,
        on_failure: FailureCallback,
        now: float,
    ) -> None:
        change_round = ChangeRound(
            self._name,
            key,
            change,
            self._hosts,
            self._sender,
            self._next_ballot,
            on_answer,
            self._handle_chosen,
            now,
        )
        self._pending.append(PendingRound(change_round, on_failure))
        change_round.start(now)

    def _handle_chosen(self, register: Register) -> None:
        for host in self._peers:
            self._sender.send(host, Chosen(register))
        try:
            self.learn(register)
        except StorageError:
            # A quorum holds the register, so the change is accepted; this replica gets
            # the register again when it polls its peers.
            self._failed_writes += 1

    def _rounds(self, key: str) -> list[ChangeRound]:
        return [pending.round for pending in self._pending if pending.round.key == key]

    def _next_ballot(self) -> Ballot:
        self._ballot_counter += 1
        return Ballot(self._ballot_counter, self._name, self._acceptor.boot)


def _ignore(_: object) -> None:
    """Ignore the result of a read that this replica started itself."""
