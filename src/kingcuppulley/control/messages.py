"""Define every message to and between control hosts, encoded as MessagePack."""

from __future__ import annotations

import msgspec

from kingcuppulley.control.registers import Ballot, Register
from kingcuppulley.internal.message_codec import MessageCodec


class Prepare(msgspec.Struct, frozen=True, tag="p"):
    """Ask a replica to promise a ballot and to tell what it has accepted."""

    key: str
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, tag="P"):
    """Promise a ballot, or name the higher one that stands in its way."""

    key: str
    ballot: Ballot
    granted: bool
    standing: Ballot
    accepted_ballot: Ballot
    accepted: Register | None
    votes: int


class Accept(msgspec.Struct, frozen=True, tag="a"):
    """Ask a replica to accept a register under a ballot.

    `votes` counts the proposer's own votes, this one included.
    """

    key: str
    ballot: Ballot
    register: Register
    votes: int = 0


class Accepted(msgspec.Struct, frozen=True, tag="A"):
    """Accept a register durably, or name the higher ballot that stands in its way."""

    key: str
    ballot: Ballot
    granted: bool
    standing: Ballot
    votes: int


class Chosen(msgspec.Struct, frozen=True, tag="c"):
    """Tell that a quorum has accepted a register."""

    register: Register


class PeerMemory(msgspec.Struct, frozen=True, array_like=True):
    """Hold how many starts and votes of a replica another one has seen."""

    boot: int = 0
    votes: int = 0


class Hello(msgspec.Struct, frozen=True, tag="h"):
    """Tell the sender's starts and votes and ask which numbers are remembered."""

    boot: int
    votes: int


class HelloReply(msgspec.Struct, frozen=True, tag="H"):
    """Tell which starts and votes of the asker were remembered before."""

    boot: int
    remembered: PeerMemory


class RecoverRequest(msgspec.Struct, frozen=True, tag="r"):
    """Ask a voting replica for all its state, because the sender lost its own."""

    boot: int


class AcceptedEntry(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a replica has accepted for one key."""

    key: str
    ballot: Ballot
    register: Register


class RecoverReply(msgspec.Struct, frozen=True, tag="R"):
    """Carry all that a voting replica has accepted, and the floor it has promised.

    `remembered` is what the asker's earlier life was seen to do.
    """

    boot: int
    remembered: PeerMemory
    floor: Ballot
    entries: list[AcceptedEntry]


class Poll(msgspec.Struct, frozen=True, tag="q"):
    """Ask for what was chosen after a point in the receiver's sequence."""

    epoch: str
    sequence: int


class Delta(msgspec.Struct, frozen=True, tag="d"):
    """Carry chosen registers up to a point in the sender's sequence."""

    epoch: str
    sequence: int
    registers: list[Register]
    complete: bool


Body = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Chosen
    | Hello
    | HelloReply
    | RecoverRequest
    | RecoverReply
    | Poll
    | Delta
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Name the sender of a message and where it is answered."""

    sender: str
    reply_to: str
    body: Body


CODEC = MessageCodec(Envelope)
