"""Define the replicated register and how a change applies to it."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from kingcuppulley.internal.field_types import Count, Name
from kingcuppulley.internal.rendezvous import hash_bytes

# How many answered changes a register stores; older ones are removed.
MAXIMUM_ANSWERED_CHANGES = 64


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Number the proposals of all hosts in one order.

    No ballot is used twice.  For registers, `boot` counts the starts of `host`.  For
    the routing state, `host` holds the instance, a random identifier of the process
    that is drawn at each start, and `boot` is 0.
    """

    counter: Count = 0
    host: Name = ""
    boot: Count = 0


ZERO_BALLOT = Ballot()


class ChangeKind(StrEnum):
    """Name the effect of a change on the document of its register."""

    PUT = "put"
    WITHDRAW = "withdraw"


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one change that an operator requests.

    `expected_version` is the version that the operator last saw, 0 if there was none.
    `asked_at` is Unix time in seconds.
    """

    identifier: str
    key: str
    kind: ChangeKind
    expected_version: int
    document: bytes
    operator: str
    asked_at: float


class ChangeOutcome(StrEnum):
    """Name the outcome of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    IDENTIFIER_REUSED = "identifier-reused"


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Report the outcome of a change to an operator; a resend gets an equal answer.

    For a conflict, `winner` and `winner_change` name the operator and the change that
    created the contested version; they are empty if that change is not stored.
    """

    outcome: ChangeOutcome
    key: str
    version: int
    winner: str = ""
    winner_change: str = ""


class AnsweredChange(msgspec.Struct, frozen=True, array_like=True):
    """Store one change and its answer, for resends and for the audit."""

    identifier: str
    operator: str
    asked_at: float
    digest: int
    answer: ChangeAnswer


class Register(msgspec.Struct, frozen=True, array_like=True):
    """Hold the state of one key; `document` is None once it is withdrawn.

    `version` counts accepted changes and `revision` all answered ones.  A refused
    change is stored as well, because its resend must get the same answer even if the
    change would be accepted by then.
    """

    key: str
    version: int
    revision: int
    document: bytes | None
    answered_changes: list[AnsweredChange]


class ChangeResult(msgspec.Struct, frozen=True):
    """Hold the register to propose and the answer to give once it is chosen."""

    register: Register | None
    answer: ChangeAnswer


def apply_change(register: Register | None, change: Change) -> ChangeResult:
    """Return the register and the answer that result from a change.

    A register must be proposed again even if the change leaves it as it is.  The value
    that was read may have been accepted by a minority only, and no answer may depend
    on such a value.
    """
    if register is None:
        register = Register(change.key, 0, 0, None, [])
    digest = _digest(change)
    for earlier in register.answered_changes:
        if earlier.identifier == change.identifier:
            return ChangeResult(register, _repeat_answer(earlier, change, digest))
    is_accepted = change.expected_version == register.version
    version = register.version
    document = register.document
    if is_accepted:
        version += 1
        document = change.document if change.kind is ChangeKind.PUT else None
        answer = ChangeAnswer(
            outcome=ChangeOutcome.ACCEPTED, key=change.key, version=version
        )
    else:
        answer = _answer_conflict(change, register)
    latest = AnsweredChange(
        change.identifier, change.operator, change.asked_at, digest, answer
    )
    answered_changes = [*register.answered_changes, latest][-MAXIMUM_ANSWERED_CHANGES:]
    revision = register.revision + 1
    changed = Register(change.key, version, revision, document, answered_changes)
    return ChangeResult(changed, answer)


def _repeat_answer(
    earlier: AnsweredChange, change: Change, digest: int
) -> ChangeAnswer:
    if earlier.digest == digest:
        return earlier.answer
    return ChangeAnswer(
        outcome=ChangeOutcome.IDENTIFIER_REUSED,
        key=change.key,
        version=earlier.answer.version,
    )


def _answer_conflict(change: Change, register: Register) -> ChangeAnswer:
    # The winner is the accepted change that created the version after the expected one.
    contested = change.expected_version + 1
    for answered in register.answered_changes:
        answer = answered.answer
        if answer.outcome is ChangeOutcome.ACCEPTED and answer.version == contested:
            return ChangeAnswer(
                outcome=ChangeOutcome.CONFLICT,
                key=change.key,
                version=contested,
                winner=answered.operator,
                winner_change=answered.identifier,
            )
    return ChangeAnswer(
        outcome=ChangeOutcome.CONFLICT, key=change.key, version=register.version
    )


def _digest(change: Change) -> int:
    kind = change.kind.value.encode()
    return hash_bytes(kind + change.document + b"%d" % change.expected_version)
