"""Vote on registers, and store every vote durably before it is sent."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

from kingcuppulley.control.journal import Journal
from kingcuppulley.control.messages import (
    Accept,
    Accepted,
    AcceptedEntry,
    PeerCounts,
    Prepare,
    Promise,
)
from kingcuppulley.control.registers import ZERO_BALLOT, Ballot, Register
from kingcuppulley.errors import StorageError
from kingcuppulley.internal.decoding import DECODING_ERRORS

# The journal is rewritten once it is larger than both the minimum and the factor times
# its size after the last rewrite or, before the first one, at the start.
REWRITE_MINIMUM_BYTES = 1_000_000
REWRITE_GROWTH_FACTOR = 2
# Growth of the journal after a failed rewrite before the next one is tried.
REWRITE_RETRY_GROWTH_BYTES = 100_000


class BootRecord(msgspec.Struct, frozen=True, tag="boot"):
    """Record this replica's counts of starts and votes."""

    boot: int
    votes: int


class VotingRecord(msgspec.Struct, frozen=True, tag="voting"):
    """Record whether this replica may vote."""

    voting: bool


class FloorRecord(msgspec.Struct, frozen=True, tag="floor"):
    """Record a ballot below which this replica does not vote, whatever the key."""

    ballot: Ballot


class PromiseRecord(msgspec.Struct, frozen=True, tag="promise"):
    """Record a promise for one key."""

    key: str
    ballot: Ballot


class AcceptRecord(msgspec.Struct, frozen=True, tag="accept"):
    """Record an accepted register."""

    entry: AcceptedEntry


class ChosenRecord(msgspec.Struct, frozen=True, tag="chosen"):
    """Record a register that a quorum has accepted."""

    register: Register


class PeerRecord(msgspec.Struct, frozen=True, tag="peer"):
    """Record the counts of starts and votes of another replica, as far as known."""

    host: str
    counts: PeerCounts = msgspec.field(name="memory")


Record = (
    BootRecord
    | VotingRecord
    | FloorRecord
    | PromiseRecord
    | AcceptRecord
    | ChosenRecord
    | PeerRecord
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


class ReplicaState(Enum):
    """Name the steps from the start of a replica to its first vote.

    While checking, it finds out from its peers whether its journal is up to date;
    while recovering, it fetches the state from a majority of all replicas that does
    not include itself.
    """

    CHECKING = "checking"
    RECOVERING = "recovering"
    VOTING = "voting"


def _decode_record(data: bytes) -> Record:
    try:
        return _DECODER.decode(data)
    except DECODING_ERRORS as error:
        # The checksum is right, so the record was written by another build.
        reason = f"a record cannot be decoded by this version: {error}"
        raise StorageError("journal", reason) from error


class Acceptor:
    """Hold the durable state of one control host: its votes and chosen registers.

    Every change of state is a record in the journal.  The state in memory is the
    result of all records, applied in the order of writing.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._promised: dict[str, Ballot] = {}
        self._accepted: dict[str, AcceptedEntry] = {}
        self._chosen: dict[str, Register] = {}
        self._peer_counts: dict[str, PeerCounts] = {}
        self._floor = ZERO_BALLOT
        self._boot = 0
        self._votes = 0
        self._may_vote = False
        for data in journal.read():
            self._apply(_decode_record(data))
        self._failed_rewrites = 0
        self._next_rewrite_bytes = _rewrite_limit(journal.size_bytes)
        self._write([BootRecord(self._boot + 1, self._votes)])

    @staticmethod
    def initialise(journal: Journal) -> None:
        """Allow an empty journal to vote; only for the first start of a deployment."""
        journal.append([_ENCODER.encode(VotingRecord(True))])

    @property
    def boot(self) -> int:
        """Return the number of this start; the first is 1."""
        return self._boot

    @property
    def votes(self) -> int:
        """Return how many votes the journal holds, over all starts."""
        return self._votes

    @property
    def may_vote(self) -> bool:
        """Return whether the journal holds every vote that this replica has cast."""
        return self._may_vote

    @property
    def failed_rewrites(self) -> int:
        """Return how many rewrites of the journal failed."""
        return self._failed_rewrites

    @property
    def highest_counter(self) -> int:
        """Return the highest counter of the floor and of every promised ballot."""
        ballots = [self._floor, *self._promised.values()]
        return max(ballot.counter for ballot in ballots)

    @property
    def chosen(self) -> dict[str, Register]:
        """Return the registers that a quorum is known to have accepted."""
        return self._chosen

    def accepted_entries(self) -> list[AcceptedEntry]:
        """Return the newest register that this replica has accepted for each key."""
        return list(self._accepted.values())

    def prepare(self, prepare: Prepare) -> Promise:
        """Promise a ballot unless one at least as high was promised."""
        promised = self._promised_ballot(prepare.key)
        granted = prepare.ballot > promised
        if granted:
            self._write([PromiseRecord(prepare.key, prepare.ballot)])
            promised = prepare.ballot
        entry = self._accepted.get(prepare.key)
        return Promise(
            prepare.key,
            prepare.ballot,
            granted,
            promised,
            entry.ballot if entry else ZERO_BALLOT,
            entry.register if entry else None,
            self._votes,
        )

    def accept(self, proposer: str, accept: Accept) -> Accepted:
        """Accept a register unless a higher ballot was promised.

        The same write stores the proposer's vote count.  Every replica that forms a
        quorum with the proposer can therefore detect later that the proposer's disk
        is an outdated copy.
        """
        promised = self._promised_ballot(accept.key)
        granted = accept.ballot >= promised
        if granted:
            entry = AcceptedEntry(accept.key, accept.ballot, accept.register)
            counts = self._merge_counts(proposer, PeerCounts(0, accept.votes))
            self._write([PeerRecord(proposer, counts), AcceptRecord(entry)])
            promised = accept.ballot
        return Accepted(accept.key, accept.ballot, granted, promised, self._votes)

    def learn(self, register: Register) -> bool:
        """Store a chosen register and return whether it is newer than the known one."""
        known = self._chosen.get(register.key)
        if known is not None and known.revision >= register.revision:
            return False
        self._write([ChosenRecord(register)])
        return True

    def record_peer(self, host: str, counts: PeerCounts) -> PeerCounts:
        """Store a replica's counts and return those that were recorded before."""
        recorded = self._peer_counts.get(host, PeerCounts())
        merged = self._merge_counts(host, counts)
        if merged != recorded:
            self._write([PeerRecord(host, merged)])
        return recorded

    def raise_floor(self, host: str) -> Ballot:
        """Promise not to vote on any ballot below a new floor, and return the floor.

        A replica that lost its disk may have voted for a ballot whose messages are
        still in flight.  Once a quorum has raised its floor above every ballot that it
        knows, such a ballot can no longer be chosen with a vote that was lost.
        """
        floor = Ballot(self.highest_counter + 1, host, 0)
        self._write([FloorRecord(floor)])
        return floor

    def recover(
        self, floor: Ballot, entries: Iterable[AcceptedEntry], recorded: PeerCounts
    ) -> None:
        """Store the state that a quorum holds, and allow this replica to vote.

        The counts of starts and votes continue from those that the peers recorded
        before the disk was lost.  Otherwise the disk would be taken for an outdated
        copy at the next start.
        """
        records: list[Record] = [FloorRecord(floor)]
        for entry in entries:
            known = self._accepted.get(entry.key)
            if known is None or known.ballot < entry.ballot:
                records.append(AcceptRecord(entry))
        boot = max(self._boot, recorded.boot + 1)
        votes = max(self._votes, recorded.votes) + len(records)
        self._write([*records, BootRecord(boot, votes), VotingRecord(True)])

    def stop_voting(self) -> None:
        """Record that this replica may not vote, as its journal lacks votes."""
        self._write([VotingRecord(False)])

    def _merge_counts(self, host: str, counts: PeerCounts) -> PeerCounts:
        recorded = self._peer_counts.get(host, PeerCounts())
        return PeerCounts(
            max(recorded.boot, counts.boot), max(recorded.votes, counts.votes)
        )

    def _promised_ballot(self, key: str) -> Ballot:
        return max(self._floor, self._promised.get(key, ZERO_BALLOT))

    def _write(self, records: list[Record]) -> None:
        # The journal comes first: a failed append changes neither journal nor memory.
        self._journal.append([_ENCODER.encode(record) for record in records])
        for record in records:
            self._apply(record)
        if self._journal.size_bytes > self._next_rewrite_bytes:
            self._rewrite()

    def _rewrite(self) -> None:
        """Rewrite the journal, or keep appending to the present one.

        A rewrite needs room for two copies.  The records are durable without it, so a
        disk with less room still votes.
        """
        try:
            self._journal.rewrite(_ENCODER.encode(r) for r in self._snapshot())
        except StorageError:
            self._failed_rewrites += 1
            self._next_rewrite_bytes = (
                self._journal.size_bytes + REWRITE_RETRY_GROWTH_BYTES
            )
        else:
            self._next_rewrite_bytes = _rewrite_limit(self._journal.size_bytes)

    def _snapshot(self) -> Iterator[Record]:
        yield FloorRecord(self._floor)
        for host, counts in self._peer_counts.items():
            yield PeerRecord(host, counts)
        for key, ballot in self._promised.items():
            yield PromiseRecord(key, ballot)
        for entry in self._accepted.values():
            yield AcceptRecord(entry)
        for register in self._chosen.values():
            yield ChosenRecord(register)
        yield VotingRecord(self._may_vote)
        # Last, because applying the records above counts them as votes again.
        yield BootRecord(self._boot, self._votes)

    def _apply(self, record: Record) -> None:
        match record:
            case BootRecord():
                self._boot = record.boot
                self._votes = record.votes
            case VotingRecord():
                self._may_vote = record.voting
            case FloorRecord():
                self._votes += 1
                self._floor = max(self._floor, record.ballot)
            case PromiseRecord():
                self._votes += 1
                self._raise_promise(record.key, record.ballot)
            case AcceptRecord():
                self._votes += 1
                self._raise_promise(record.entry.key, record.entry.ballot)
                self._accepted[record.entry.key] = record.entry
            case ChosenRecord():
                self._chosen[record.register.key] = record.register
            case PeerRecord():
                self._peer_counts[record.host] = record.counts

    def _raise_promise(self, key: str, ballot: Ballot) -> None:
        self._promised[key] = max(self._promised.get(key, ZERO_BALLOT), ballot)


def _rewrite_limit(size_bytes: int) -> int:
    return max(REWRITE_MINIMUM_BYTES, REWRITE_GROWTH_FACTOR * size_bytes)
