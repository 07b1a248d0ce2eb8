"""Run one control host: vote, propose, recover, and spread what was chosen."""

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
    PeerMemory,
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

HELLO_SECONDS = 0.5
CHECK_SECONDS = 3.0
SETTLE_SECONDS = 2.0

OnAnswer = Callable[[ChangeAnswer], None]
OnFailure = Callable[[KingcuppulleyError], None]


class AskedChange:
    """Hold one round and whom to tell how it ended."""

    __slots__ = ("round", "on_failure")

    def __init__(self, change_round: ChangeRound, on_failure: OnFailure) -> None:
        self.round = change_round
        self.on_failure = on_failure


class Replica:
    """Decide on each message of one control host.

    A replica votes only while its journal holds every vote that it ever gave.  After
    each start it asks the others how many starts and votes of it they have seen: more
    than its journal holds means that its disk is an old copy.  With an old or empty
    disk it recovers first, from a majority of all replicas other than itself.
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
        self._others = [host for host in self._hosts if host != name]
        self._acceptor = acceptor
        self._sender = sender
        self._publisher = Publisher(f"{name}:{generator.getrandbits(64):x}")
        for register in acceptor.chosen.values():
            self._publisher.publish(register)
        self._subscriber = Subscriber(self._others, [], sender, self.learn, generator)
        self._state = (
            ReplicaState.CHECKING if acceptor.may_vote else ReplicaState.RECOVERING
        )
        if not self._others:
            self._state = ReplicaState.VOTING
        self._counter = acceptor.highest_counter
        self._asked: list[AskedChange] = []
        self._hello_deadline = 0.0
        self._hello_replies: set[str] = set()
        self._check_deadline: float | None = None
        self._recover_replies: dict[str, RecoverReply] = {}
        self._unsettled: dict[str, float] = {}
        self._failed_writes = 0

    @property
    def state(self) -> ReplicaState:
        """Return whether this replica votes yet."""
        return self._state

    @property
    def publisher(self) -> Publisher:
        """Return the registers that are known to be chosen."""
        return self._publisher

    @property
    def failed_writes(self) -> int:
        """Return how many messages were dropped because the disk failed."""
        return self._failed_writes

    def change(
        self,
        change: Change,
        on_answer: OnAnswer,
        on_failure: OnFailure,
        now: float,
    ) -> None:
        """Bring a change to a quorum and tell how it ended."""
        if self._state is not ReplicaState.VOTING:
            on_failure(NotVotingError(self._name, self._state.value))
            return
        self._begin(change.key, change, on_answer, on_failure, now)

    def read(
        self, key: str, on_answer: OnAnswer, on_failure: OnFailure, now: float
    ) -> None:
        """Settle a register on a quorum, so that what was chosen is known here."""
        self._begin(key, None, on_answer, on_failure, now)

    def learn(self, register: Register) -> None:
        """Take a register that is known to be chosen."""
        if self._acceptor.learn(register):
            self._publisher.publish(register)

    def receive(self, host: str, body: Body, now: float) -> None:
        """Decide on one message; a vote that cannot be made durable is not given."""
        try:
            self._dispatch(host, body, now)
        except StorageError as error:
            self._failed_writes += 1
            if host == self._name and isinstance(body, Prepare | Accept):
                self._refuse_rounds(body.key, error)

    def tick(self, now: float) -> None:
        """Act on every deadline that has passed."""
        if self._state is not ReplicaState.VOTING and now >= self._hello_deadline:
            self._hello_deadline = now + HELLO_SECONDS
            self._greet()
        if self._state is ReplicaState.CHECKING:
            self._end_check(now)
        self._subscriber.tick(now)
        self._settle(now)
        for asked in self._asked:
            if asked.round.has_expired(now):
                asked.on_failure(NotEnoughControlHostsError(asked.round.key))
            else:
                asked.round.tick(now)
        self._asked = [
            asked
            for asked in self._asked
            if not asked.round.is_done and not asked.round.has_expired(now)
        ]

    def _dispatch(self, host: str, body: Body, now: float) -> None:
        match body:
            case Prepare() | Accept():
                self._vote(host, body)
            case Promise():
                self._acceptor.remember_peer(host, PeerMemory(0, body.votes))
                self._counter = max(self._counter, body.standing.counter)
                for asked in self._rounds(body.key):
                    asked.promised(host, body, now)
            case Accepted():
                # Remembered durably before it counts: should that replica come back
                # with an older copy of its disk, this number gives it away.
                self._acceptor.remember_peer(host, PeerMemory(0, body.votes))
                self._counter = max(self._counter, body.standing.counter)
                for asked in self._rounds(body.key):
                    asked.accepted(host, body, now)
            case Chosen():
                self.learn(body.register)
            case Hello():
                memory = PeerMemory(body.boot, body.votes)
                remembered = self._acceptor.remember_peer(host, memory)
                self._sender.send(host, HelloReply(body.boot, remembered))
            case HelloReply():
                self._hello_answered(host, body)
            case RecoverRequest():
                self._help_recover(host, body)
            case RecoverReply():
                self._recover(host, body)
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

    def _greet(self) -> None:
        boot = self._acceptor.boot
        recovering = self._state is ReplicaState.RECOVERING
        for host in self._others:
            hello = Hello(boot, self._acceptor.votes)
            self._sender.send(host, RecoverRequest(boot) if recovering else hello)

    def _hello_answered(self, host: str, reply: HelloReply) -> None:
        if self._state is not ReplicaState.CHECKING:
            return
        if reply.boot != self._acceptor.boot:
            return
        memory = reply.remembered
        if memory.boot > reply.boot or memory.votes > self._acceptor.votes:
            self._acceptor.stop_voting()
            self._state = ReplicaState.RECOVERING
            return
        self._hello_replies.add(host)
        if len(self._hello_replies) == len(self._others):
            self._state = ReplicaState.VOTING

    def _end_check(self, now: float) -> None:
        """Vote after a while though not all have answered, if a quorum could form.

        Waiting for all would stop every change as soon as one host is lost and
        another restarts.  The price: an old disk passes if, during this whole check,
        just those hosts are cut off that had seen its later votes.
        """
        if self._check_deadline is None:
            self._check_deadline = now + CHECK_SECONDS
        if now >= self._check_deadline:
            if len(self._hello_replies) >= len(self._hosts) // 2:
                self._state = ReplicaState.VOTING

    def _help_recover(self, host: str, request: RecoverRequest) -> None:
        if self._state is not ReplicaState.VOTING:
            return
        memory = PeerMemory(request.boot, 0)
        remembered = self._acceptor.remember_peer(host, memory)
        floor = self._acceptor.raise_floor(self._name)
        entries = self._acceptor.accepted_entries()
        self._sender.send(host, RecoverReply(request.boot, remembered, floor, entries))

    def _recover(self, host: str, reply: RecoverReply) -> None:
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
        earlier = PeerMemory(
            max(reply.remembered.boot for reply in replies),
            max(reply.remembered.votes for reply in replies),
        )
        self._acceptor.recover(floor, newest.values(), earlier)
        self._counter = max(self._counter, floor.counter)
        self._state = ReplicaState.VOTING

    def _refuse_rounds(self, key: str, error: StorageError) -> None:
        for asked in self._asked:
            if asked.round.key == key and not asked.round.is_done:
                asked.round.abandon()
                asked.on_failure(error)

    def _settle(self, now: float) -> None:
        """Finish what another host proposed, if nobody told that it was chosen."""
        for entry in self._acceptor.accepted_entries():
            known = self._publisher.get(entry.key)
            if known is not None and known.revision >= entry.register.revision:
                self._unsettled.pop(entry.key, None)
                continue
            deadline = self._unsettled.setdefault(entry.key, now + SETTLE_SECONDS)
            if now >= deadline and self._state is ReplicaState.VOTING:
                self._unsettled[entry.key] = now + SETTLE_SECONDS * len(self._hosts)
                self.read(entry.key, _ignore, _ignore, now)

    def _begin(
        self,
        key: str,
        change: Change | None,
        on_answer: OnAnswer,
        on_failure: OnFailure,
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
            self._chosen_here,
            now,
        )
        self._asked.append(AskedChange(change_round, on_failure))
        change_round.start(now)

    def _chosen_here(self, register: Register) -> None:
        for host in self._others:
            self._sender.send(host, Chosen(register))
        try:
            self.learn(register)
        except StorageError:
            # A quorum holds the register, so the change stands; polls bring it back.
            self._failed_writes += 1

    def _rounds(self, key: str) -> list[ChangeRound]:
        return [asked.round for asked in self._asked if asked.round.key == key]

    def _next_ballot(self) -> Ballot:
        self._counter += 1
        return Ballot(self._counter, self._name, self._acceptor.boot)


def _ignore(_: object) -> None:
    """Take an answer that nobody waits for."""
