"""Vote on the routing state; a vote is durable before a reply reports it."""

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
from kingcuppulley.control.state import ChosenVoters, RoutingState, Vote

# Pause after a failed write before the next one, so that a full disk is not written to
# without interruption.
WRITE_RETRY_DELAY_SECONDS = 0.1

VoteRequest = PrepareState | AcceptState


class VoteWriter(Protocol):
    """Write a vote asynchronously, and report the result to `Voter.vote_written`."""

    def write(self, vote: Vote) -> None:
        """Start to write a vote; the voter starts one write at a time."""


class ReplySender(Protocol):
    """Send a voter's replies."""

    def reply(self, host: str, message: EnsembleReply) -> None:
        """Send one reply to the proposer on a control host."""


class Voter:
    """Hold one disk's vote, and send replies once the vote they report is synced.

    A write may take seconds, so requests that arrive meanwhile are queued and share
    the next write.  When a write fails, its requests are queued again and written after
    `WRITE_RETRY_DELAY_SECONDS`.  Only the newest request of each host is queued.
    """

    def __init__(self, vote: Vote, writer: VoteWriter, sender: ReplySender) -> None:
        self._durable_vote = vote
        self._chosen_voters = vote.chosen
        self._writer = writer
        self._sender = sender
        self._queued_requests: dict[str, VoteRequest] = {}
        self._requests_being_written: dict[str, VoteRequest] = {}
        self._pending_replies: list[tuple[str, EnsembleReply]] = []
        self._vote_being_written: Vote | None = None
        self._retry_deadline: float | None = None

    @property
    def vote(self) -> Vote:
        """Return the last durable vote."""
        return self._durable_vote

    @property
    def states(self) -> list[RoutingState]:
        """Return the states of the durable vote, and of the one being written."""
        states = [self._durable_vote.state]
        if self._vote_being_written is not None:
            states.append(self._vote_being_written.state)
        states.extend(
            request.state
            for requests in (self._queued_requests, self._requests_being_written)
            for request in requests.values()
            if isinstance(request, AcceptState)
        )
        return states

    @property
    def _may_write(self) -> bool:
        return self._vote_being_written is None and self._retry_deadline is None

    def receive(self, host: str, request: EnsembleRequest) -> None:
        """Answer a read at once, and process a vote request when the disk is free."""
        if isinstance(request, ReadState):
            self._sender.reply(host, self._answer(request))
            return
        self._queue_request(host, request)
        if self._may_write:
            self._process_queue()

    def learn(self, chosen_voters: ChosenVoters) -> None:
        """Record the chosen voters; write them at once if they changed."""
        if chosen_voters.revision <= self._chosen_voters.revision:
            return
        is_changed = chosen_voters.voters != self._chosen_voters.voters
        self._chosen_voters = chosen_voters
        if is_changed and self._may_write:
            self._process_queue()

    def vote_written(self, succeeded: bool, now: float) -> None:
        """Process the result of a write, and send the replies that it made durable."""
        replies, self._pending_replies = self._pending_replies, []
        requests, self._requests_being_written = self._requests_being_written, {}
        vote, self._vote_being_written = self._vote_being_written, None
        if not succeeded:
            for host, request in requests.items():
                self._queue_request(host, request)
            self._retry_deadline = now + WRITE_RETRY_DELAY_SECONDS
            return
        if vote is not None:
            self._durable_vote = vote
            for host, reply in replies:
                self._sender.reply(host, reply)
        self._process_queue()

    def tick(self, now: float) -> None:
        """Write again once the pause after a failed write has passed."""
        if self._retry_deadline is not None and now >= self._retry_deadline:
            self._retry_deadline = None
            self._process_queue()

    def _queue_request(self, host: str, request: VoteRequest) -> None:
        # A proposer runs one round at a time and resends what is not answered, so a
        # newer request of the same host replaces the queued one.
        queued = self._queued_requests.get(host)
        if queued is None or _supersedes(request, queued):
            self._queued_requests[host] = request

    def _process_queue(self) -> None:
        requests, self._queued_requests = self._queued_requests, {}
        vote = msgspec.structs.replace(self._durable_vote, chosen=self._chosen_voters)
        for host, request in requests.items():
            if isinstance(request, PrepareState):
                vote = self._promise(vote, host, request)
            else:
                vote = self._accept(vote, host, request)
        if _needs_no_write(vote, self._durable_vote):
            replies, self._pending_replies = self._pending_replies, []
            for host, reply in replies:
                self._sender.reply(host, reply)
            return
        self._vote_being_written = vote
        self._requests_being_written = requests
        self._writer.write(vote)

    def _promise(self, vote: Vote, host: str, prepare: PrepareState) -> Vote:
        # An equal ballot is a retransmission by the same proposer after a loss.
        granted = prepare.ballot >= vote.promised
        if granted:
            vote = msgspec.structs.replace(vote, promised=prepare.ballot)
        state = None if prepare.known_ballot == vote.accepted else vote.state
        reply = StatePromise(
            vote.disk_id, prepare.ballot, granted, vote.promised, vote.accepted, state
        )
        self._pending_replies.append((host, reply))
        return vote

    def _accept(self, vote: Vote, host: str, accept: AcceptState) -> Vote:
        granted = accept.ballot >= vote.promised
        if granted:
            vote = Vote(
                vote.disk_id, accept.ballot, accept.ballot, accept.state, vote.chosen
            )
        reply = StateAccepted(vote.disk_id, accept.ballot, granted, vote.promised)
        self._pending_replies.append((host, reply))
        return vote

    def _answer(self, read: ReadState) -> StateAnswer:
        vote = self._durable_vote
        state = None if read.known_ballot == vote.accepted else vote.state
        return StateAnswer(vote.disk_id, read.number, vote.accepted, state)


def _supersedes(request: VoteRequest, queued: VoteRequest) -> bool:
    """Return whether a request belongs to a later step than a queued one."""
    if request.ballot == queued.ballot:
        return not isinstance(queued, AcceptState)
    return request.ballot > queued.ballot


def _needs_no_write(vote: Vote, durable: Vote) -> bool:
    """Return whether a vote differs at most in the chosen voters' revision.

    The revision alone can wait for the next write.
    """
    return (
        vote.promised == durable.promised
        and vote.accepted == durable.accepted
        and vote.chosen.voters == durable.chosen.voters
    )
