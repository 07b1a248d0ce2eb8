"""Propose changes of the routing state, and read it from a quorum of voters."""

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

RESEND_INTERVAL_SECONDS = 0.1
ROUND_TIMEOUT_SECONDS = 0.6
MAXIMUM_BACKOFF_SECONDS = 0.03

StateCallback = Callable[[RoutingState | None], None]
# Returns whether the caller of a change still waits for the result.
CallerCheck = Callable[[], bool]


class RequestSender(Protocol):
    """Send a proposer's requests to voters."""

    def request(self, host: str, message: EnsembleRequest) -> None:
        """Send one request to the voter on a control host."""


class PendingOperation:
    """Hold one change or read, its deadline and the callback for its result.

    `change` is None for a read.  A change is proposed only while `is_awaited` returns
    True.
    """

    __slots__ = ("change", "on_result", "deadline", "is_awaited")

    def __init__(
        self,
        change: StateChange | None,
        on_result: StateCallback,
        deadline: float,
        is_awaited: CallerCheck = lambda: True,
    ) -> None:
        self.change = change
        self.on_result = on_result
        self.deadline = deadline
        self.is_awaited = is_awaited


class _Round:
    """Collect the promises and acceptances of one ballot.

    `promised_by` and `accepted_by` hold the identifiers of voters' disks.
    `newest_state` is the state accepted under `newest_ballot`, the highest that a
    promise reported; before that it is the state that this host knows.
    """

    __slots__ = (
        "ballot",
        "promised_by",
        "accepted_by",
        "proposed",
        "operations",
        "newest_state",
        "newest_ballot",
        "deadline",
        "resend_deadline",
    )

    def __init__(self, ballot: Ballot, known_state: RoutingState, now: float) -> None:
        self.ballot = ballot
        self.promised_by: set[str] = set()
        self.accepted_by: set[str] = set()
        self.proposed: RoutingState | None = None
        self.operations: list[PendingOperation] = []
        self.newest_state = known_state
        self.newest_ballot = ZERO_BALLOT
        self.deadline = now + ROUND_TIMEOUT_SECONDS
        self.resend_deadline = now + RESEND_INTERVAL_SECONDS


class _Read:
    """Collect the states that voters report as accepted, for pending reads."""

    __slots__ = (
        "number",
        "answered_by",
        "newest_state",
        "operations",
        "resend_deadline",
    )

    def __init__(
        self, number: int, operations: list[PendingOperation], now: float
    ) -> None:
        self.number = number
        self.answered_by: set[str] = set()
        self.newest_state: RoutingState | None = None
        self.operations = operations
        self.resend_deadline = now + RESEND_INTERVAL_SECONDS


class Proposer:
    """Run Paxos rounds of one control host, one at a time.

    Any control host may propose.  Members change by joint majorities: a state with two
    sets of voters needs a majority of both, and the next state keeps only the new set.
    A proposer starts from voters that are known to be chosen.  A majority of them
    reveals every later set, because each set was accepted by a majority of the
    previous one.
    """

    def __init__(
        self,
        instance: str,
        chosen_voters: ChosenVoters,
        sender: RequestSender,
        on_state_chosen: Callable[[RoutingState], None],
        generator: Random,
    ) -> None:
        self._instance = instance
        self._chosen_voters = chosen_voters
        self._sender = sender
        self._on_state_chosen = on_state_chosen
        self._generator = generator
        self._current: RoutingState | None = None
        self._known_ballot = ZERO_BALLOT
        self._known_states = {ZERO_BALLOT: RoutingState(voters=chosen_voters.voters)}
        self._ballot_counter = 0
        self._pending_changes: list[PendingOperation] = []
        self._pending_reads: list[PendingOperation] = []
        self._round: _Round | None = None
        self._read: _Read | None = None
        self._read_number = 0
        self._next_round_at = 0.0

    @property
    def current(self) -> RoutingState | None:
        """Return the newest state that is known to be chosen, or None."""
        return self._current

    @property
    def voters(self) -> VoterSet:
        """Return the voters of the newest revision that is known to be chosen."""
        return self._chosen_voters.voters

    @property
    def states(self) -> list[RoutingState]:
        """Return the states that this proposer knows or proposes."""
        states = list(self._known_states.values())
        if self._current is not None:
            states.append(self._current)
        if self._round is not None:
            states.append(self._round.proposed or self._round.newest_state)
        return states

    @property
    def is_busy(self) -> bool:
        """Return whether a change or a read is pending or in progress."""
        return bool(
            self._pending_changes or self._pending_reads or self._round or self._read
        )

    def submit(
        self,
        change: StateChange,
        on_result: StateCallback,
        deadline: float,
        is_awaited: CallerCheck = lambda: True,
    ) -> None:
        """Propose a change until a quorum accepts it or the deadline passes.

        `is_awaited` is asked in each round, before the change is proposed.  `on_result`
        receives the chosen state, or None if `is_awaited` returned False, or after the
        deadline.
        """
        operation = PendingOperation(change, on_result, deadline, is_awaited)
        self._pending_changes.append(operation)

    def read(self, on_result: StateCallback, deadline: float) -> None:
        """Read the state that a quorum confirms before the deadline passes.

        `on_result` receives the state, or None after the deadline.
        """
        self._pending_reads.append(PendingOperation(None, on_result, deadline))

    def learn(self, state: RoutingState) -> None:
        """Record a chosen state if it is newer than the known one."""
        if self._current is not None and state.revision <= self._current.revision:
            return
        self._current = state
        if state.revision >= self._chosen_voters.revision:
            self._chosen_voters = ChosenVoters(state.revision, state.voters)
        self._on_state_chosen(state)

    def tick(self, now: float) -> None:
        """Expire late operations, start pending ones and resend requests."""
        self._expire_operations(now)
        if self._round is not None:
            self._tick_round(self._round, now)
        elif self._needs_round() and now >= self._next_round_at:
            self._start_round(now)
        if self._read is not None:
            if now >= self._read.resend_deadline:
                self._read.resend_deadline = now + RESEND_INTERVAL_SECONDS
                self._send_read_requests(self._read)
        elif self._pending_reads:
            self._start_read(now)

    def receive(self, reply: EnsembleReply, now: float) -> None:
        """Process a voter's reply."""
        if isinstance(reply, StateAnswer):
            self._handle_answer(reply, now)
        elif self._round is None or reply.ballot != self._round.ballot:
            return
        elif not reply.granted:
            self._ballot_counter = max(self._ballot_counter, reply.promised.counter)
            self._abandon_round(now)
        elif isinstance(reply, StatePromise):
            self._handle_promise(self._round, reply, now)
        else:
            self._handle_accepted(self._round, reply, now)

    def _needs_round(self) -> bool:
        if self._pending_changes:
            return True
        return self._current is not None and self._current.voters.is_joint

    def _start_round(self, now: float) -> None:
        self._ballot_counter += 1
        ballot = Ballot(self._ballot_counter, self._instance, 0)
        known_state = self._current or RoutingState(voters=self._chosen_voters.voters)
        self._round = _Round(ballot, known_state, now)
        self._send_round_requests(self._round)

    def _tick_round(self, current_round: _Round, now: float) -> None:
        if now >= current_round.deadline:
            self._abandon_round(now)
        elif now >= current_round.resend_deadline:
            current_round.resend_deadline = now + RESEND_INTERVAL_SECONDS
            self._send_round_requests(current_round)

    def _send_round_requests(self, current_round: _Round) -> None:
        answered_by = (
            current_round.promised_by
            if current_round.proposed is None
            else current_round.accepted_by
        )
        for member in self._recipients(current_round):
            if member.disk_id in answered_by:
                continue
            if current_round.proposed is None:
                prepare = PrepareState(current_round.ballot, self._known_ballot)
                self._sender.request(member.host, prepare)
            else:
                accept = AcceptState(current_round.ballot, current_round.proposed)
                self._sender.request(member.host, accept)

    def _recipients(self, current_round: _Round) -> list[Member]:
        members = (
            set(self._chosen_voters.voters.all())
            | current_round.newest_state.voters.all()
        )
        if current_round.proposed is not None:
            members = set(current_round.proposed.voters.all())
        return sorted(members)

    def _handle_promise(
        self, current_round: _Round, promise: StatePromise, now: float
    ) -> None:
        if current_round.proposed is not None:
            return
        state = self._accepted_state(promise)
        if state is None:
            return
        current_round.promised_by.add(promise.disk_id)
        if promise.accepted > current_round.newest_ballot:
            current_round.newest_ballot = promise.accepted
            previous_voters = current_round.newest_state.voters
            current_round.newest_state = state
            self._record_accepted(promise.accepted, state)
            if state.voters != previous_voters:
                self._send_round_requests(current_round)
        if self._has_quorum(
            current_round.newest_state.voters, current_round.promised_by
        ):
            self._propose(current_round, now)

    def _has_quorum(self, voters: VoterSet, disk_ids: set[str]) -> bool:
        return self._chosen_voters.voters.has_quorum(disk_ids) and voters.has_quorum(
            disk_ids
        )

    def _propose(self, current_round: _Round, now: float) -> None:
        newest = current_round.newest_state
        is_chosen = newest.revision <= self._chosen_voters.revision
        if newest.voters.is_joint:
            # Other changes wait until this change of voters is complete.
            state = end_member_change(newest) if is_chosen else newest
        else:
            # A process that was paused reads promises before its next tick.
            self._expire_operations(now)
            operations, self._pending_changes = self._pending_changes, []
            current_round.operations = _drop_abandoned(operations)
            changes = [
                operation.change
                for operation in current_round.operations
                if operation.change
            ]
            state = apply_changes(newest, changes)
        if state == newest and is_chosen and self._current == newest:
            self._end_round(current_round, state)
            return
        current_round.proposed = state
        current_round.resend_deadline = now + RESEND_INTERVAL_SECONDS
        self._send_round_requests(current_round)

    def _handle_accepted(
        self, current_round: _Round, accepted: StateAccepted, now: float
    ) -> None:
        if current_round.proposed is None:
            return
        current_round.accepted_by.add(accepted.disk_id)
        if not current_round.proposed.voters.has_quorum(current_round.accepted_by):
            return
        self._record_accepted(current_round.ballot, current_round.proposed)
        self._next_round_at = now
        self._end_round(current_round, current_round.proposed)

    def _end_round(self, current_round: _Round, state: RoutingState) -> None:
        self._round = None
        self.learn(state)
        for operation in current_round.operations:
            operation.on_result(state)

    def _abandon_round(self, now: float) -> None:
        abandoned, self._round = self._round, None
        if abandoned is None:
            return
        self._pending_changes = abandoned.operations + self._pending_changes
        # Two proposers that restart at the same time would conflict again.
        self._next_round_at = (
            now + self._generator.uniform(0.2, 1.0) * MAXIMUM_BACKOFF_SECONDS
        )

    def _accepted_state(self, reply: StatePromise | StateAnswer) -> RoutingState | None:
        # A voter omits a state that the request names as known.  If this host has
        # evicted it since, the next request names the ballot that is known by then.
        if reply.state is not None:
            return reply.state
        return self._known_states.get(reply.accepted)

    def _record_accepted(self, ballot: Ballot, state: RoutingState) -> None:
        if ballot > self._known_ballot:
            self._known_states = {
                self._known_ballot: self._known_states[self._known_ballot],
                ballot: state,
            }
            self._known_ballot = ballot
            self._ballot_counter = max(self._ballot_counter, ballot.counter)

    def _start_read(self, now: float) -> None:
        self._read_number += 1
        operations, self._pending_reads = self._pending_reads, []
        self._read = _Read(self._read_number, operations, now)
        self._send_read_requests(self._read)

    def _send_read_requests(self, read: _Read) -> None:
        voters = set(self._chosen_voters.voters.all())
        if read.newest_state is not None:
            voters |= read.newest_state.voters.all()
        for member in sorted(voters):
            if member.disk_id not in read.answered_by:
                request = ReadState(read.number, self._known_ballot)
                self._sender.request(member.host, request)

    def _handle_answer(self, answer: StateAnswer, now: float) -> None:
        read = self._read
        if read is None or answer.number != read.number:
            return
        state = self._accepted_state(answer)
        if state is None:
            return
        self._record_accepted(answer.accepted, state)
        read.answered_by.add(answer.disk_id)
        if read.newest_state is None or state.revision > read.newest_state.revision:
            read.newest_state = state
        if not self._has_quorum(read.newest_state.voters, read.answered_by):
            return
        self._read = None
        current = self._current
        if current is not None and read.newest_state.revision <= current.revision:
            for operation in read.operations:
                operation.on_result(current)
            return
        # A voter has accepted a newer state; a round decides whether it is chosen.
        self._pending_changes.extend(
            PendingOperation(_unchanged, operation.on_result, operation.deadline)
            for operation in read.operations
        )

    def _expire_operations(self, now: float) -> None:
        self._pending_changes = _drop_expired(self._pending_changes, now)
        self._pending_reads = _drop_expired(self._pending_reads, now)
        if self._round is not None:
            self._round.operations = _drop_expired(self._round.operations, now)
        if self._read is not None:
            self._read.operations = _drop_expired(self._read.operations, now)
            if not self._read.operations:
                self._read = None


def _unchanged(state: RoutingState) -> RoutingState:
    return state


def _drop_abandoned(operations: list[PendingOperation]) -> list[PendingOperation]:
    """Return the operations whose callers wait; report None to the others."""
    remaining = []
    for operation in operations:
        if operation.is_awaited():
            remaining.append(operation)
        else:
            operation.on_result(None)
    return remaining


def _drop_expired(
    operations: list[PendingOperation], now: float
) -> list[PendingOperation]:
    """Return the operations before their deadline; report None to the expired ones."""
    expired = [operation for operation in operations if now >= operation.deadline]
    if not expired:
        return operations
    for operation in expired:
        operation.on_result(None)
    return [operation for operation in operations if now < operation.deadline]
