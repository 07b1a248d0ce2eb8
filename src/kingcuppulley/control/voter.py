"""Vote on the routing state, each vote durable before it is told."""

from __future__ import annotations

from typing import Protocol

import msgspec

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
from kingcuppulley.control.state import ChosenVoters, Vote


class VoteWriter(Protocol):
    """Write a vote elsewhere, and tell the voter by `Voter.vote_written`."""

    def write(self, vote: Vote) -> None:
        """Begin to write a vote; only one write is under way at a time."""


class ReplySender(Protocol):
    """Send a voter's replies."""

    def reply(self, host: str, message: EnsembleReply) -> None:
        """Send one reply."""


class Voter:
    """Hold one disk's vote; replies wait until the vote they tell is synced.

    The disk may take seconds, so requests that arrive meanwhile wait in a queue and
    share the next write.  What can't be written is not told: its askers hear nothing.
    """

    def __init__(self, vote: Vote, writer: VoteWriter, sender: ReplySender) -> None:
        self._durable = vote
        self._chosen = vote.chosen
        self._writer = writer
        self._sender = sender
        self._waiting: list[tuple[str, PrepareState | AcceptState]] = []
        self._written_replies: list[tuple[str, EnsembleReply]] = []
        self._vote_under_way: Vote | None = None

    @property
    def vote(self) -> Vote:
        """Return the vote that is durable."""
        return self._durable

    def receive(self, host: str, request: EnsembleRequest) -> None:
        """Answer a question at once, and vote when the disk is free."""
        if isinstance(request, ReadState):
            self._sender.reply(host, self._answer(request))
            return
        self._waiting.append((host, request))
        if self._vote_under_way is None:
            self._vote_on_waiting()

    def learn(self, chosen: ChosenVoters) -> None:
        """Take who votes from now on; it is written at once if it is news."""
        if chosen.revision <= self._chosen.revision:
            return
        is_news = chosen.voters != self._chosen.voters
        self._chosen = chosen
        if is_news and self._vote_under_way is None:
            self._vote_on_waiting()

    def vote_written(self, succeeded: bool) -> None:
        """Take the end of a write: tell the votes that it made durable."""
        replies, self._written_replies = self._written_replies, []
        vote, self._vote_under_way = self._vote_under_way, None
        if succeeded and vote is not None:
            self._durable = vote
            for host, reply in replies:
                self._sender.reply(host, reply)
        self._vote_on_waiting()

    def _vote_on_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        vote = msgspec.structs.replace(self._durable, chosen=self._chosen)
        for host, request in waiting:
            if isinstance(request, PrepareState):
                vote = self._promise(vote, host, request)
            else:
                vote = self._accept(vote, host, request)
        if _is_told_alike(vote, self._durable):
            replies, self._written_replies = self._written_replies, []
            for host, reply in replies:
                self._sender.reply(host, reply)
            return
        self._vote_under_way = vote
        self._writer.write(vote)

    def _promise(self, vote: Vote, host: str, prepare: PrepareState) -> Vote:
        # An equal ballot is the same proposer's, asking again after a loss.
        granted = prepare.ballot >= vote.promised
        if granted:
            vote = msgspec.structs.replace(vote, promised=prepare.ballot)
        state = None if prepare.known_ballot == vote.accepted else vote.state
        reply = StatePromise(
            vote.disk_id, prepare.ballot, granted, vote.promised, vote.accepted, state
        )
        self._written_replies.append((host, reply))
        return vote

    def _accept(self, vote: Vote, host: str, accept: AcceptState) -> Vote:
        granted = accept.ballot >= vote.promised
        if granted:
            vote = Vote(
                vote.disk_id, accept.ballot, accept.ballot, accept.state, vote.chosen
            )
        reply = StateAccepted(vote.disk_id, accept.ballot, granted, vote.promised)
        self._written_replies.append((host, reply))
        return vote

    def _answer(self, ask: ReadState) -> StateAnswer:
        vote = self._durable
        state = None if ask.known_ballot == vote.accepted else vote.state
        return StateAnswer(vote.disk_id, ask.number, vote.accepted, state)


def _is_told_alike(vote: Vote, other: Vote) -> bool:
    """Return whether two votes differ at most in a revision, which can wait."""
    return (
        vote.promised == other.promised
        and vote.accepted == other.accepted
        and vote.chosen.voters == other.chosen.voters
    )
