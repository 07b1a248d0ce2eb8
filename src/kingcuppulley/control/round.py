"""Propose one change to a quorum: collect promises, then acceptances."""

from __future__ import annotations

from collections.abc import Callable

from kingcuppulley.control.messages import (
    Accept,
    Accepted,
    Body,
    Prepare,
    Promise,
)
from kingcuppulley.control.registers import (
    ZERO_BALLOT,
    Ballot,
    Change,
    ChangeAnswer,
    ChangeOutcome,
    ChangeResult,
    Register,
    apply_change,
)
from kingcuppulley.internal.sender import Sender

# Time after which a ballot without a quorum is replaced by a higher one.
BALLOT_TIMEOUT_SECONDS = 1.0
# Time after which a change, or a read, without a quorum is abandoned.
CHANGE_TIMEOUT_SECONDS = 10.0


class ChangeRound:
    """Run one change, or one read, of one register until it has a result.

    There is no leader: the control host that receives an operator's change proposes
    it.  At 420 changes a day two proposals rarely conflict.  When they do, the higher
    ballot wins and the other proposer retries under a new one.
    """

    def __init__(
        self,
        name: str,
        key: str,
        change: Change | None,
        hosts: list[str],
        sender: Sender[Body],
        next_ballot: Callable[[], Ballot],
        on_answer: Callable[[ChangeAnswer], None],
        on_chosen: Callable[[Register], None],
        now: float,
    ) -> None:
        self._key = key
        self._change = change
        self._hosts = hosts
        self._sender = sender
        self._next_ballot = next_ballot
        self._on_answer = on_answer
        self._on_chosen = on_chosen
        self._name = name
        self._deadline = now + CHANGE_TIMEOUT_SECONDS
        self._ballot_deadline = now
        self._ballot = ZERO_BALLOT
        self._promises: dict[str, Promise] = {}
        self._accepted_by: set[str] = set()
        self._result: ChangeResult | None = None
        self._is_done = False

    @property
    def key(self) -> str:
        """Return the key of the register."""
        return self._key

    @property
    def is_done(self) -> bool:
        """Return whether the round has finished or was abandoned."""
        return self._is_done

    def has_expired(self, now: float) -> bool:
        """Return whether the time limit of the change has passed."""
        return now >= self._deadline

    def start(self, now: float) -> None:
        """Start, or restart, under a new ballot."""
        self._ballot = self._next_ballot()
        self._promises.clear()
        self._accepted_by.clear()
        self._result = None
        self._ballot_deadline = now + BALLOT_TIMEOUT_SECONDS
        for host in self._hosts:
            self._sender.send(host, Prepare(self._key, self._ballot))

    def handle_promise(self, host: str, promise: Promise, now: float) -> None:
        """Handle one replica's promise or rejection of the ballot."""
        if promise.ballot != self._ballot or self._result or self._is_done:
            return
        if not promise.granted:
            self._schedule_restart(now, host)
            return
        self._promises[host] = promise
        if len(self._promises) >= self._quorum:
            self._propose()

    def handle_accepted(self, host: str, accepted: Accepted, now: float) -> None:
        """Handle one replica's acceptance or rejection of the register."""
        if accepted.ballot != self._ballot or self._result is None or self._is_done:
            return
        if not accepted.granted:
            self._schedule_restart(now, host)
            return
        self._accepted_by.add(host)
        if host == self._name and len(self._accepted_by) == 1:
            self._send_accepts_to_peers(self._result, accepted.votes)
        if len(self._accepted_by) >= self._quorum:
            self._finish(self._result)

    def abandon(self) -> None:
        """End without an answer; the caller reports the reason to the operator."""
        self._is_done = True

    def tick(self, now: float) -> None:
        """Restart under a higher ballot once the deadline of this one has passed."""
        if not self._is_done and now >= self._ballot_deadline:
            self.start(now)

    @property
    def _quorum(self) -> int:
        return len(self._hosts) // 2 + 1

    def _propose(self) -> None:
        newest = max(
            self._promises.values(), key=lambda promise: promise.accepted_ballot
        )
        register = newest.accepted
        if self._change is not None:
            self._result = apply_change(register, self._change)
        else:
            self._result = ChangeResult(register, _answer_read(self._key, register))
        if self._result.register is None:
            # A read of a key for which no replica of the quorum has accepted anything:
            # there is no register to propose.
            self._finish(self._result)
            return
        # The proposer votes first.  If its disk fails, no other replica was asked to
        # accept the change, so the change is certainly refused.  Otherwise the peers
        # receive a vote count that includes this vote.
        accept = Accept(self._key, self._ballot, self._result.register)
        self._sender.send(self._name, accept)

    def _send_accepts_to_peers(self, result: ChangeResult, votes: int) -> None:
        if result.register is None:
            return
        accept = Accept(self._key, self._ballot, result.register, votes)
        for host in self._hosts:
            if host != self._name:
                self._sender.send(host, accept)

    def _finish(self, result: ChangeResult) -> None:
        self._is_done = True
        if result.register is not None:
            self._on_chosen(result.register)
        self._on_answer(result.answer)

    def _schedule_restart(self, now: float, host: str) -> None:
        # Two proposers that restart at the same time would conflict again.  A delay of
        # 20 ms for each position in the list of hosts separates them without a random
        # generator.
        position = self._hosts.index(self._ballot.host) + 1
        restart_at = now + 0.02 * position
        self._ballot_deadline = min(self._ballot_deadline, restart_at)


def _answer_read(key: str, register: Register | None) -> ChangeAnswer:
    version = register.version if register is not None else 0
    return ChangeAnswer(outcome=ChangeOutcome.ACCEPTED, key=key, version=version)
