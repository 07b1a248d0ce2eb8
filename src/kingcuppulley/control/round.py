"""Bring one change to a quorum: one round of promises, one of acceptances."""

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

ROUND_SECONDS = 1.0
CHANGE_SECONDS = 10.0


class ChangeRound:
    """Drive one change, or one read, of one register to its end.

    There is no leader: any control host that operators reach proposes.  420 changes a
    day seldom meet; when two do, the higher ballot wins and the other starts again.
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
        self._deadline = now + CHANGE_SECONDS
        self._round_deadline = now
        self._ballot = ZERO_BALLOT
        self._promises: dict[str, Promise] = {}
        self._acceptances: set[str] = set()
        self._result: ChangeResult | None = None
        self._is_done = False

    @property
    def key(self) -> str:
        """Return the key of the register."""
        return self._key

    @property
    def is_done(self) -> bool:
        """Return whether the round has ended."""
        return self._is_done

    def has_expired(self, now: float) -> bool:
        """Return whether no quorum answered in time."""
        return now >= self._deadline

    def start(self, now: float) -> None:
        """Begin, or begin again, under a new ballot."""
        self._ballot = self._next_ballot()
        self._promises.clear()
        self._acceptances.clear()
        self._result = None
        self._round_deadline = now + ROUND_SECONDS
        for host in self._hosts:
            self._sender.send(host, Prepare(self._key, self._ballot))

    def promised(self, host: str, promise: Promise, now: float) -> None:
        """Take one replica's promise or rejection."""
        if promise.ballot != self._ballot or self._result or self._is_done:
            return
        if not promise.granted:
            self._restart_soon(now, host)
            return
        self._promises[host] = promise
        if len(self._promises) >= self._quorum:
            self._propose()

    def accepted(self, host: str, accepted: Accepted, now: float) -> None:
        """Take one replica's acceptance or rejection."""
        if accepted.ballot != self._ballot or self._result is None or self._is_done:
            return
        if not accepted.granted:
            self._restart_soon(now, host)
            return
        self._acceptances.add(host)
        if host == self._name and len(self._acceptances) == 1:
            self._spread(self._result, accepted.votes)
        if len(self._acceptances) >= self._quorum:
            self._finish(self._result)

    def abandon(self) -> None:
        """End without an answer; the caller tells the operator why."""
        self._is_done = True

    def tick(self, now: float) -> None:
        """Begin again under a higher ballot once the round's deadline has passed."""
        if not self._is_done and now >= self._round_deadline:
            self.start(now)

    @property
    def _quorum(self) -> int:
        return len(self._hosts) // 2 + 1

    def _propose(self) -> None:
        newest = max(self._promises.values(), key=lambda p: p.accepted_ballot)
        register = newest.accepted
        if self._change is not None:
            self._result = apply_change(register, self._change)
        else:
            self._result = ChangeResult(register, _read_answer(self._key, register))
        if self._result.register is None:
            # A quorum has accepted nothing for this key, so there is nothing to keep.
            self._finish(self._result)
            return
        # The proposer's own vote comes first.  If its disk fails, nothing was sent and
        # the refusal is certain; if not, the others learn how often it has voted.
        accept = Accept(self._key, self._ballot, self._result.register)
        self._sender.send(self._name, accept)

    def _spread(self, result: ChangeResult, votes: int) -> None:
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

    def _restart_soon(self, now: float, host: str) -> None:
        # Two proposers that restart at once would meet again.  The place in the list
        # of hosts sets them apart without a random generator.
        place = self._hosts.index(self._ballot.host) + 1
        soon = now + 0.02 * place
        self._round_deadline = min(self._round_deadline, soon)


def _read_answer(key: str, register: Register | None) -> ChangeAnswer:
    version = register.version if register is not None else 0
    return ChangeAnswer(outcome=ChangeOutcome.ACCEPTED, key=key, version=version)
