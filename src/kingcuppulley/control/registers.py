"""Define the replicated register and how a change applies to it."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from kingcuppulley.internal.rendezvous import hash_bytes

REMEMBERED_CHANGES = 64


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Order the rounds of all proposers; each start of a host has its own."""

    counter: int = 0
    host: str = ""
    boot: int = 0


ZERO_BALLOT = Ballot()


class ChangeKind(StrEnum):
    """Name what a change does to its register."""

    PUT = "put"
    WITHDRAW = "withdraw"


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one change that an operator asks for.

    `expected_version` is the version that the operator saw; 0 means none.
    """

    identifier: str
    key: str
    kind: ChangeKind
    expected_version: int
    document: bytes
    operator: str
    asked_at: float


class ChangeOutcome(StrEnum):
    """Name how a change ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    IDENTIFIER_REUSED = "identifier-reused"


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Tell an operator how a change ended; a resend gets an equal answer.

    `winner` and `winner_change` name who took the version that a conflict is about.
    """

    outcome: ChangeOutcome
    key: str
    version: int
    winner: str = ""
    winner_change: str = ""


class AnsweredChange(msgspec.Struct, frozen=True, array_like=True):
    """Remember one change and its answer, for resends and for the audit."""

    identifier: str
    operator: str
    asked_at: float
    digest: int
    answer: ChangeAnswer


class Register(msgspec.Struct, frozen=True, array_like=True):
    """Hold the state of one key; `document` is None once it is withdrawn.

    `version` counts accepted changes and `revision` all answered ones: a refusal is
    remembered as well, because its resend must get the same answer even where the
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
    """Return what a change makes of a register.

    A register that stays as it is must be proposed again all the same: a value that
    was read may be accepted on a minority only, and an answer must not rest on it.
    """
    if register is None:
        register = Register(change.key, 0, 0, None, [])
    digest = _digest(change)
    for earlier in register.answered_changes:
        if earlier.identifier == change.identifier:
            return ChangeResult(register, _answer_again(earlier, change, digest))
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
        answer = _conflict(change, register)
    entry = AnsweredChange(
        change.identifier, change.operator, change.asked_at, digest, answer
    )
    answered = [*register.answered_changes, entry][-REMEMBERED_CHANGES:]
    revision = register.revision + 1
    changed = Register(change.key, version, revision, document, answered)
    return ChangeResult(changed, answer)


def _answer_again(earlier: AnsweredChange, change: Change, digest: int) -> ChangeAnswer:
    if earlier.digest == digest:
        return earlier.answer
    return ChangeAnswer(
        outcome=ChangeOutcome.IDENTIFIER_REUSED,
        key=change.key,
        version=earlier.answer.version,
    )


def _conflict(change: Change, register: Register) -> ChangeAnswer:
    # The winner is whoever took the number that this change was made for.
    contested = change.expected_version + 1
    for entry in register.answered_changes:
        answer = entry.answer
        if answer.outcome is ChangeOutcome.ACCEPTED and answer.version == contested:
            return ChangeAnswer(
                outcome=ChangeOutcome.CONFLICT,
                key=change.key,
                version=contested,
                winner=entry.operator,
                winner_change=entry.identifier,
            )
    return ChangeAnswer(
        outcome=ChangeOutcome.CONFLICT, key=change.key, version=register.version
    )


def _digest(change: Change) -> int:
    kind = change.kind.value.encode()
    return hash_bytes(kind + change.document + b"%d" % change.expected_version)
