"""Vote on registers, and keep every vote durable before it is sent."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

from kingcuppulley.control.journal import Journal
from kingcuppulley.control.messages import (
    Accept,
    Accepted,
    AcceptedEntry,
    PeerMemory,
    Prepare,
    Promise,
)
from kingcuppulley.control.registers import ZERO_BALLOT, Ballot, Register

REWRITE_ABOVE_BYTES = 1_000_000
REWRITE_GROWTH = 2


class BootRecord(msgspec.Struct, frozen=True, tag="boot"):
    """Record the number of this replica's start and how often it has voted."""

    boot: int
    votes: int


class VotingRecord(msgspec.Struct, frozen=True, tag="voting"):
    """Record whether this replica may vote."""

    voting: bool


class FloorRecord(msgspec.Struct, frozen=True, tag="floor"):
    """Record a ballot below which this replica votes on nothing."""

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
    """Record how many starts and votes of another replica were seen."""

    host: str
    memory: PeerMemory


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
    """Name where a replica stands between its start and its first vote."""

    CHECKING = "checking"
    RECOVERING = "recovering"
    VOTING = "voting"


class Acceptor:
    """Hold the durable state of one control host."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._promised: dict[str, Ballot] = {}
        self._accepted: dict[str, AcceptedEntry] = {}
        self._chosen: dict[str, Register] = {}
        self._peers: dict[str, PeerMemory] = {}
        self._floor = ZERO_BALLOT
        self._boot = 0
        self._votes = 0
        self._may_vote = False
        for data in journal.read():
            self._load(_DECODER.decode(data))
        self._rewritten_bytes = journal.size_bytes
        self._write([BootRecord(self._boot + 1, self._votes)])

    @staticmethod
    def initialise(journal: Journal) -> None:
        """Make a new journal that may vote; only at a deployment's first start."""
        journal.append([_ENCODER.encode(VotingRecord(True))])

    @property
    def boot(self) -> int:
        """Return the number of this start."""
        return self._boot

    @property
    def votes(self) -> int:
        """Return how many votes the journal holds, over all starts."""
        return self._votes

    @property
    def may_vote(self) -> bool:
        """Return whether the journal holds all that this replica ever voted."""
        return self._may_vote

    @property
    def highest_counter(self) -> int:
        """Return the highest ballot counter that was seen."""
        ballots = [self._floor, *self._promised.values()]
        return max(ballot.counter for ballot in ballots)

    @property
    def chosen(self) -> dict[str, Register]:
        """Return the registers that a quorum is known to have accepted."""
        return self._chosen

    def accepted_entries(self) -> list[AcceptedEntry]:
        """Return all that this replica has accepted."""
        return list(self._accepted.values())

    def prepare(self, prepare: Prepare) -> Promise:
        """Promise a ballot if none that is as high stands in its way."""
        standing = self._standing(prepare.key)
        granted = prepare.ballot > standing
        if granted:
            self._write([PromiseRecord(prepare.key, prepare.ballot)])
            standing = prepare.ballot
        entry = self._accepted.get(prepare.key)
        return Promise(
            prepare.key,
            prepare.ballot,
            granted,
            standing,
            entry.ballot if entry else ZERO_BALLOT,
            entry.register if entry else None,
            self._votes,
        )

    def accept(self, proposer: str, accept: Accept) -> Accepted:
        """Accept a register if no higher ballot stands in its way.

        The same write remembers how often the proposer has voted, so that whoever
        makes a quorum with it can tell later that its disk is an old copy.
        """
        standing = self._standing(accept.key)
        granted = accept.ballot >= standing
        if granted:
            entry = AcceptedEntry(accept.key, accept.ballot, accept.register)
            memory = self._newer_memory(proposer, PeerMemory(0, accept.votes))
            self._write([PeerRecord(proposer, memory), AcceptRecord(entry)])
            standing = accept.ballot
        return Accepted(accept.key, accept.ballot, granted, standing, self._votes)

    def learn(self, register: Register) -> bool:
        """Take a chosen register and return whether it is newer than the known one."""
        known = self._chosen.get(register.key)
        if known is not None and known.revision >= register.revision:
            return False
        self._write([ChosenRecord(register)])
        return True

    def remember_peer(self, host: str, memory: PeerMemory) -> PeerMemory:
        """Take a replica's numbers and return those that were remembered before."""
        before = self._peers.get(host, PeerMemory())
        newer = self._newer_memory(host, memory)
        if newer != before:
            self._write([PeerRecord(host, newer)])
        return before

    def raise_floor(self, host: str) -> Ballot:
        """Promise to vote on nothing below a new floor, and return the floor.

        A replica that lost its disk may have voted for a ballot whose messages are
        still on their way.  Once a quorum has raised its floor above every ballot that
        it knows, such a ballot cannot be chosen after its votes were forgotten.
        """
        floor = Ballot(self.highest_counter + 1, host, 0)
        self._write([FloorRecord(floor)])
        return floor

    def recover(
        self, floor: Ballot, entries: Iterable[AcceptedEntry], earlier: PeerMemory
    ) -> None:
        """Take the state that a quorum holds, and vote from now on.

        Starts and votes are counted on from what others remember of the earlier life;
        else the next start would look like an old disk to them.
        """
        records: list[Record] = [FloorRecord(floor)]
        for entry in entries:
            known = self._accepted.get(entry.key)
            if known is None or known.ballot < entry.ballot:
                records.append(AcceptRecord(entry))
        boot = max(self._boot, earlier.boot + 1)
        votes = max(self._votes, earlier.votes) + len(records)
        self._write([*records, BootRecord(boot, votes), VotingRecord(True)])

    def stop_voting(self) -> None:
        """Stop voting, because the journal is older than votes that were given."""
        self._write([VotingRecord(False)])

    def _newer_memory(self, host: str, memory: PeerMemory) -> PeerMemory:
        before = self._peers.get(host, PeerMemory())
        return PeerMemory(
            max(before.boot, memory.boot), max(before.votes, memory.votes)
        )

    def _standing(self, key: str) -> Ballot:
        return max(self._floor, self._promised.get(key, ZERO_BALLOT))

    def _write(self, records: list[Record]) -> None:
        # Durable first, in memory second: a failed write leaves both as they were.
        self._journal.append([_ENCODER.encode(record) for record in records])
        for record in records:
            self._load(record)
        grown = REWRITE_GROWTH * self._rewritten_bytes
        if self._journal.size_bytes > max(REWRITE_ABOVE_BYTES, grown):
            self._journal.rewrite(_ENCODER.encode(r) for r in self._snapshot())
            self._rewritten_bytes = self._journal.size_bytes

    def _snapshot(self) -> Iterator[Record]:
        yield FloorRecord(self._floor)
        for host, memory in self._peers.items():
            yield PeerRecord(host, memory)
        for key, ballot in self._promised.items():
            yield PromiseRecord(key, ballot)
        for entry in self._accepted.values():
            yield AcceptRecord(entry)
        for register in self._chosen.values():
            yield ChosenRecord(register)
        yield VotingRecord(self._may_vote)
        # Last, because reading the records above counts them as votes.
        yield BootRecord(self._boot, self._votes)

    def _load(self, record: Record) -> None:
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
                self._promise(record.key, record.ballot)
            case AcceptRecord():
                self._votes += 1
                self._promise(record.entry.key, record.entry.ballot)
                self._accepted[record.entry.key] = record.entry
            case ChosenRecord():
                self._chosen[record.register.key] = record.register
            case PeerRecord():
                self._peers[record.host] = record.memory

    def _promise(self, key: str, ballot: Ballot) -> None:
        self._promised[key] = max(self._promised.get(key, ZERO_BALLOT), ballot)
