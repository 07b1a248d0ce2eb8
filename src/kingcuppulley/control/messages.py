"""Define the messages between control hosts and with their subscribers.

They are encoded as MessagePack, each body as a map of its field names and its tag.
`msgspec.field(name=...)` holds the encoded name where the attribute has another one.
"""

from __future__ import annotations

import msgspec

from kingcuppulley.control.registers import Ballot, Register
from kingcuppulley.internal.message_codec import MessageCodec


class Prepare(msgspec.Struct, frozen=True, tag="p"):
    """Ask a replica to promise a ballot and to return what it has accepted."""

    key: str
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, tag="P"):
    """Promise a ballot, or reject it because one at least as high was promised.

    `promised_ballot` is the highest ballot that the replica has promised for the key,
    and `votes` its vote count.
    """

    key: str
    ballot: Ballot
    granted: bool
    promised_ballot: Ballot = msgspec.field(name="standing")
    accepted_ballot: Ballot
    accepted: Register | None
    votes: int


class Accept(msgspec.Struct, frozen=True, tag="a"):
    """Ask a replica to accept a register under a ballot.

    `votes` is the proposer's vote count, its own vote for this ballot included; it is
    0 in the message that the proposer sends to itself.
    """

    key: str
    ballot: Ballot
    register: Register
    votes: int = 0


class Accepted(msgspec.Struct, frozen=True, tag="A"):
    """Report that a register was accepted durably, or reject its ballot.

    A ballot is rejected if a higher one was promised, which `promised_ballot` names.
    """

    key: str
    ballot: Ballot
    granted: bool
    promised_ballot: Ballot = msgspec.field(name="standing")
    votes: int


class Chosen(msgspec.Struct, frozen=True, tag="c"):
    """Send a register that a quorum has accepted."""

    register: Register


class PeerCounts(msgspec.Struct, frozen=True, array_like=True):
    """Hold how many starts and votes of a replica another replica has recorded."""

    boot: int = 0
    votes: int = 0


class Hello(msgspec.Struct, frozen=True, tag="h"):
    """Send a replica's counts of starts and votes, and request the recorded ones.

    The receiver returns the counts that it recorded before this message.
    """

    boot: int
    votes: int


class HelloReply(msgspec.Struct, frozen=True, tag="H"):
    """Return the counts that were recorded for the requester before its hello."""

    boot: int
    recorded: PeerCounts = msgspec.field(name="remembered")


class RecoverRequest(msgspec.Struct, frozen=True, tag="r"):
    """Ask a voting replica for its complete state, because the sender lost its own."""

    boot: int


class AcceptedEntry(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a replica has accepted for one key."""

    key: str
    ballot: Ballot
    register: Register


class RecoverReply(msgspec.Struct, frozen=True, tag="R"):
    """Return all that a voting replica has accepted, and the floor it has promised.

    `recorded` holds the requester's counts that were recorded before the request.
    They include its starts and votes from before it lost its state.
    """

    boot: int
    recorded: PeerCounts = msgspec.field(name="remembered")
    floor: Ballot
    entries: list[AcceptedEntry]


class Poll(msgspec.Struct, frozen=True, tag="q"):
    """Request the registers chosen after a point in the receiver's sequence.

    `epoch` identifies that sequence; a restart of the receiver begins another one.
    """

    epoch: str
    sequence: int


class Delta(msgspec.Struct, frozen=True, tag="d"):
    """Return chosen registers up to a point in the sender's sequence.

    `complete` is false if more registers follow that point.
    """

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
    """Wrap a message with the name of its sender and the address for replies."""

    sender: str
    reply_to: str
    body: Body


CODEC = MessageCodec(Envelope)
