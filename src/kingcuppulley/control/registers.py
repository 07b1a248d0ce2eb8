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


class AppliedChange(msgspec.Struct, frozen=True, array_like=True):
    """Remember one change that a register took, for resends and for the audit."""

    identifier: str
    version: int
    operator: str
    asked_at: float
    digest: int


class Register(msgspec.Struct, frozen=True, array_like=True):
    """Hold the state of one key; `document` is None once it is withdrawn."""

    key: str
    version: int
    document: bytes | None
    applied: list[AppliedChange]


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


class ChangeResult(msgspec.Struct, frozen=True):
    """Hold the register to propose and the answer to give once it is chosen."""

    register: Register | None
    answer: ChangeAnswer


def apply_change(register: Register | None, change: Change) -> ChangeResult:
    """Return what a change makes of a register.

    A register that stays as it is must be proposed again all the same: a value that
    was read may be accepted on a minority only, and an answer must not rest on it.
    """
    applied = register.applied if register is not None else []
    version = register.version if register is not None else 0
    digest = _digest(change)
    for earlier in applied:
        if earlier.identifier == change.identifier:
            return ChangeResult(register, _answer_again(earlier, change, digest))
    if change.expected_version != version:
        return ChangeResult(register, _conflict(change, version, applied))
    entry = AppliedChange(
        change.identifier, version + 1, change.operator, change.asked_at, digest
    )
    document = change.document if change.kind is ChangeKind.PUT else None
    kept = [*applied, entry][-REMEMBERED_CHANGES:]
    answer = ChangeAnswer(
        outcome=ChangeOutcome.ACCEPTED, key=change.key, version=version + 1
    )
    return ChangeResult(Register(change.key, version + 1, document, kept), answer)


def _answer_again(earlier: AppliedChange, change: Change, digest: int) -> ChangeAnswer:
    same = earlier.digest == digest
    outcome = ChangeOutcome.ACCEPTED if same else ChangeOutcome.IDENTIFIER_REUSED
    return ChangeAnswer(outcome=outcome, key=change.key, version=earlier.version)


def _conflict(
    change: Change, version: int, applied: list[AppliedChange]
) -> ChangeAnswer:
    # The winner is whoever took the number that this change was made for, and not
    # the latest: a resend long after must get the same answer.
    contested = change.expected_version + 1
    for entry in applied:
        if entry.version == contested:
            return ChangeAnswer(
                outcome=ChangeOutcome.CONFLICT,
                key=change.key,
                version=contested,
                winner=entry.operator,
                winner_change=entry.identifier,
            )
    return ChangeAnswer(outcome=ChangeOutcome.CONFLICT, key=change.key, version=version)


def _digest(change: Change) -> int:
    kind = change.kind.value.encode()
    return hash_bytes(kind + change.document + b"%d" % change.expected_version)
