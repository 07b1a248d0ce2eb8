"""Bring changes of the routing state to a quorum, and read it with certainty."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from kingcuppulley.control.ensemble_messages import (
    AcceptState,
    EnsembleReply,
    EnsembleRequest,
    PrepareState,
    ReadState,
    StateAccepted,
    StateAnswer,
    StatePromise,
)
from kingcuppulley.control.registers import ZERO_BALLOT, Ballot
from kingcuppulley.control.state import (
    ChosenVoters,
    Member,
    RoutingState,
    StateChange,
    VoterSet,
    apply_changes,
    end_member_change,
)

RESEND_SECONDS = 0.1
ROUND_SECONDS = 0.6
BACKOFF_SECONDS = 0.03

StateCallback = Callable[[RoutingState | None], None]


class RequestSender(Protocol):
    """Send a proposer's requests to voters."""

    def request(self, host: str, message: EnsembleRequest) -> None:
        """Send one request."""


class Asked:
    """Hold one change or read, and whom to tell how it ended."""

    __slots__ = ("change", "on_result", "deadline")

    def __init__(
        self, change: StateChange | None, on_result: StateCallback, deadline: float
    ) -> None:
        self.change = change
        self.on_result = on_result
        self.deadline = deadline


class _Round:
    """Collect the answers to one ballot."""

    __slots__ = (
        "ballot",
        "promises",
        "accepted",
        "proposed",
        "asked",
        "newest",
        "newest_ballot",
        "deadline",
        "resend_deadline",
    )

    def __init__(self, ballot: Ballot, state: RoutingState, now: float) -> None:
        self.ballot = ballot
        self.promises: set[str] = set()
        self.accepted: set[str] = set()
        self.proposed: RoutingState | None = None
        self.asked: list[Asked] = []
        self.newest = state
        self.newest_ballot = ZERO_BALLOT
        self.deadline = now + ROUND_SECONDS
        self.resend_deadline = now + RESEND_SECONDS


class _Read:
    """Collect what voters have accepted."""

    __slots__ = ("number", "answers", "newest", "asked", "resend_deadline")

    def __init__(self, number: int, asked: list[Asked], now: float) -> None:
        self.number = number
        self.answers: set[str] = set()
        self.newest: RoutingState | None = None
        self.asked = asked
        self.resend_deadline = now + RESEND_SECONDS


class Proposer:
    """Drive rounds of one host, one at a time; any control host may propose.

    Members change by joint majorities: a state with two sets of voters needs a
    majority of both, and is ended by one that keeps just the new set.  A proposer
    begins from voters that it knows to be chosen.  From their majority it sees every
    later set, because each was accepted by a majority of the one before it.
    """

    def __init__(
        self,
        process: str,
        chosen: ChosenVoters,
        sender: RequestSender,
        on_chosen: Callable[[RoutingState], None],
        generator: Random,
    ) -> None:
        self._process = process
        self._chosen = chosen
        self._sender = sender
        self._on_chosen = on_chosen
        self._generator = generator
        self._current: RoutingState | None = None
        self._known_ballot = ZERO_BALLOT
        self._known_states = {ZERO_BALLOT: RoutingState(voters=chosen.voters)}
        self._counter = 0
        self._pending: list[Asked] = []
        self._reads_pending: list[Asked] = []
        self._round: _Round | None = None
        self._read: _Read | None = None
        self._read_number = 0
        self._next_round_at = 0.0

    @property
    def current(self) -> RoutingState | None:
        """Return the newest state that is known to be chosen, if any is."""
        return self._current

    @property
    def voters(self) -> VoterSet:
        """Return who votes, as far as this host knows."""
        return self._chosen.voters

    @property
    def is_busy(self) -> bool:
        """Return whether a change or a read waits for its quorum."""
        return bool(self._pending or self._reads_pending or self._round or self._read)

    def submit(
        self, change: StateChange, on_result: StateCallback, deadline: float
    ) -> None:
        """Propose a change until a quorum accepts it or the deadline passes.

        `on_result` receives the chosen state, or None after the deadline.
        """
        self._pending.append(Asked(change, on_result, deadline))

    def read(self, on_result: StateCallback, deadline: float) -> None:
        """Read the state that a quorum confirms before the deadline passes.

        `on_result` receives the state, or None after the deadline.
        """
        self._reads_pending.append(Asked(None, on_result, deadline))

    def learn(self, state: RoutingState) -> None:
        """Take a state that another host knows to be chosen."""
        if self._current is not None and state.revision <= self._current.revision:
            return
        self._current = state
        if state.revision >= self._chosen.revision:
            self._chosen = ChosenVoters(state.revision, state.voters)
        self._on_chosen(state)

    def tick(self, now: float) -> None:
        """Begin what waits, ask again where an answer is missing, give up the late."""
        self._give_up(now)
        if self._round is not None:
            self._tick_round(self._round, now)
        elif self._wants_round() and now >= self._next_round_at:
            self._begin_round(now)
        if self._read is not None:
            if now >= self._read.resend_deadline:
                self._read.resend_deadline = now + RESEND_SECONDS
                self._ask(self._read)
        elif self._reads_pending:
            self._begin_read(now)

    def receive(self, reply: EnsembleReply, now: float) -> None:
        """Take a voter's reply."""
        if isinstance(reply, StateAnswer):
            self._take_answer(reply, now)
        elif self._round is None or reply.ballot != self._round.ballot:
            return
        elif not reply.granted:
            self._counter = max(self._counter, reply.promised.counter)
            self._abandon_round(now)
        elif isinstance(reply, StatePromise):
            self._take_promise(self._round, reply, now)
        else:
            self._take_accepted(self._round, reply, now)

    def _wants_round(self) -> bool:
        if self._pending:
            return True
        return self._current is not None and self._current.voters.is_joint

    def _begin_round(self, now: float) -> None:
        self._counter += 1
        ballot = Ballot(self._counter, self._process, 0)
        start = self._current or RoutingState(voters=self._chosen.voters)
        self._round = _Round(ballot, start, now)
        self._send_round(self._round)

    def _tick_round(self, current: _Round, now: float) -> None:
        if now >= current.deadline:
            self._abandon_round(now)
        elif now >= current.resend_deadline:
            current.resend_deadline = now + RESEND_SECONDS
            self._send_round(current)

    def _send_round(self, current: _Round) -> None:
        done = current.promises if current.proposed is None else current.accepted
        for member in self._audience(current):
            if member.disk_id in done:
                continue
            if current.proposed is None:
                prepare = PrepareState(current.ballot, self._known_ballot)
                self._sender.request(member.host, prepare)
            else:
                accept = AcceptState(current.ballot, current.proposed)
                self._sender.request(member.host, accept)

    def _audience(self, current: _Round) -> list[Member]:
        members = set(self._chosen.voters.all()) | current.newest.voters.all()
        if current.proposed is not None:
            members = set(current.proposed.voters.all())
        return sorted(members)

    def _take_promise(self, current: _Round, promise: StatePromise, now: float) -> None:
        if current.proposed is not None:
            return
        state = self._state_of(promise)
        if state is None:
            return
        current.promises.add(promise.disk_id)
        if promise.accepted > current.newest_ballot:
            current.newest_ballot = promise.accepted
            before = current.newest.voters
            current.newest = state
            self._know(promise.accepted, state)
            if state.voters != before:
                self._send_round(current)
        if self._is_covered(current.newest.voters, current.promises):
            self._propose(current, now)

    def _is_covered(self, voters: VoterSet, disk_ids: set[str]) -> bool:
        return self._chosen.voters.has_quorum(disk_ids) and voters.has_quorum(disk_ids)

    def _propose(self, current: _Round, now: float) -> None:
        newest = current.newest
        is_chosen = newest.revision <= self._chosen.revision
        if newest.voters.is_joint:
            # Other changes wait until this change of voters has ended.
            state = end_member_change(newest) if is_chosen else newest
        else:
            current.asked, self._pending = self._pending, []
            changes = [asked.change for asked in current.asked if asked.change]
            state = apply_changes(newest, changes)
        if state == newest and is_chosen and self._current == newest:
            self._end_round(current, state)
            return
        current.proposed = state
        current.resend_deadline = now + RESEND_SECONDS
        self._send_round(current)

    def _take_accepted(
        self, current: _Round, accepted: StateAccepted, now: float
    ) -> None:
        if current.proposed is None:
            return
        current.accepted.add(accepted.disk_id)
        if not current.proposed.voters.has_quorum(current.accepted):
            return
        self._know(current.ballot, current.proposed)
        self._next_round_at = now
        self._end_round(current, current.proposed)

    def _end_round(self, current: _Round, state: RoutingState) -> None:
        self._round = None
        self.learn(state)
        for asked in current.asked:
            asked.on_result(state)

    def _abandon_round(self, now: float) -> None:
        current, self._round = self._round, None
        if current is None:
            return
        self._pending = current.asked + self._pending
        # Two proposers that restart at once would meet again.
        self._next_round_at = now + self._generator.uniform(0.2, 1.0) * BACKOFF_SECONDS

    def _state_of(self, reply: StatePromise | StateAnswer) -> RoutingState | None:
        # A state that was left out as known may have been forgotten since; the next
        # request names what is known by then.
        if reply.state is not None:
            return reply.state
        return self._known_states.get(reply.accepted)

    def _know(self, ballot: Ballot, state: RoutingState) -> None:
        if ballot > self._known_ballot:
            self._known_states = {
                self._known_ballot: self._known_states[self._known_ballot],
                ballot: state,
            }
            self._known_ballot = ballot
            self._counter = max(self._counter, ballot.counter)

    def _begin_read(self, now: float) -> None:
        self._read_number += 1
        asked, self._reads_pending = self._reads_pending, []
        self._read = _Read(self._read_number, asked, now)
        self._ask(self._read)

    def _ask(self, read: _Read) -> None:
        voters = set(self._chosen.voters.all())
        if read.newest is not None:
            voters |= read.newest.voters.all()
        for member in sorted(voters):
            if member.disk_id not in read.answers:
                ask = ReadState(read.number, self._known_ballot)
                self._sender.request(member.host, ask)

    def _take_answer(self, answer: StateAnswer, now: float) -> None:
        read = self._read
        if read is None or answer.number != read.number:
            return
        state = self._state_of(answer)
        if state is None:
            return
        self._know(answer.accepted, state)
        read.answers.add(answer.disk_id)
        if read.newest is None or state.revision > read.newest.revision:
            read.newest = state
        if not self._is_covered(read.newest.voters, read.answers):
            return
        self._read = None
        current = self._current
        if current is not None and read.newest.revision <= current.revision:
            for asked in read.asked:
                asked.on_result(current)
            return
        # Something newer was accepted somewhere; a round settles whether it holds.
        self._pending.extend(
            Asked(_keep, asked.on_result, asked.deadline) for asked in read.asked
        )

    def _give_up(self, now: float) -> None:
        self._pending = _without_late(self._pending, now)
        self._reads_pending = _without_late(self._reads_pending, now)
        if self._round is not None:
            self._round.asked = _without_late(self._round.asked, now)
        if self._read is not None:
            self._read.asked = _without_late(self._read.asked, now)
            if not self._read.asked:
                self._read = None


def _keep(state: RoutingState) -> RoutingState:
    return state


def _without_late(asked: list[Asked], now: float) -> list[Asked]:
    late = [one for one in asked if now >= one.deadline]
    if not late:
        return asked
    for one in late:
        one.on_result(None)
    return [one for one in asked if now < one.deadline]
