"""Serve the administration API of a control host over HTTP."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from eliot import log_message
from twisted.python.failure import Failure

from kingcuppulley.control.registers import (
    Change,
    ChangeAnswer,
    ChangeKind,
    ChangeOutcome,
    Register,
)
from kingcuppulley.control.replica import Replica
from kingcuppulley.errors import KingcuppulleyError
from kingcuppulley.internal.counters import METRICS_CONTENT_TYPE, Metrics
from kingcuppulley.internal.http_api import answer_fault, answer_json
from kingcuppulley.internal.http_server import (
    ApiRequest,
    bearer_token,
    read_body,
    token_matches,
)
from kingcuppulley.operators.configuration import (
    ACCOUNT_PREFIX,
    TEMPLATE_PREFIX,
    ZONE_PREFIX,
    check_change,
    check_withdrawal,
    decode_document,
    render_configuration,
)
from kingcuppulley.operators.templates import TemplateFaults
from kingcuppulley.settings import OperatorSettings

CHANGE_HEADER = "Change-Id"
VERSION_HEADER = "If-Match"
MAXIMUM_IDENTIFIER_CHARACTERS = 200
_PREFIXES = {
    "templates": TEMPLATE_PREFIX,
    "accounts": ACCOUNT_PREFIX,
    "zones": ZONE_PREFIX,
}


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """Show one register to an operator."""

    key: str
    version: int
    document: msgspec.Raw | None
    changed_by: str
    change: str


class StatusReport(msgspec.Struct, frozen=True, kw_only=True):
    """Show a control host to an operator."""

    name: str
    state: str
    versions: dict[str, int]
    zones_out: list[str]
    faults: list[str]


class DryRun(msgspec.Struct, frozen=True, kw_only=True):
    """Show what a change would do to the services in force."""

    added: list[str]
    removed: list[str]
    changed: list[str]


class WaitingOperator:
    """Hold the request of an operator who may hang up before the answer."""

    __slots__ = ("request", "is_there")

    def __init__(self, request: ApiRequest) -> None:
        self.request = request
        self.is_there = True
        request.notifyFinish().addErrback(self._hung_up)

    def _hung_up(self, _: Failure) -> None:
        self.is_there = False


class AdministrationApi:
    """Check each operator's request and bring changes to the replica."""

    def __init__(
        self,
        name: str,
        replica: Replica,
        operators: list[OperatorSettings],
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._replica = replica
        self._operators = operators
        self._clock = clock
        self._metrics = metrics

    def handle(self, request: ApiRequest) -> None:
        """Answer one request of an operator."""
        path = request.path.decode("utf-8", "replace").strip("/").split("/")
        if path == ["metrics"]:
            body = self._metrics.render().encode()
            request.answer(200, body, METRICS_CONTENT_TYPE)
            return
        operator = self._operator_of(request)
        if operator is None:
            answer_fault(request, 401, "no operator has this token", "send your token")
        elif path == ["status"]:
            self._status(request)
        elif path == ["audit"]:
            self._audit(request)
        elif path[0] in _PREFIXES and len(path) == 1:
            self._list(request, _PREFIXES[path[0]])
        elif path[0] in _PREFIXES and len(path) == 2:
            self._one(request, _PREFIXES[path[0]] + path[1], operator)
        else:
            answer_fault(
                request, 404, "no such page", "ask for templates, accounts or zones"
            )

    def _operator_of(self, request: ApiRequest) -> str | None:
        token = bearer_token(request)
        for operator in self._operators:
            if token_matches(token, operator.token_hash):
                return operator.name
        return None

    def _status(self, request: ApiRequest) -> None:
        registers = self._replica.publisher.registers
        configuration = render_configuration(registers)
        report = StatusReport(
            name=self._name,
            state=self._replica.state.value,
            versions={register.key: register.version for register in registers},
            zones_out=sorted(configuration.zones_out),
            faults=configuration.faults,
        )
        answer_json(request, 200, report)

    def _audit(self, request: ApiRequest) -> None:
        entries = [
            (change.asked_at, register.key, change)
            for register in self._replica.publisher.registers
            for change in register.answered_changes
        ]
        ordered = sorted(entries, key=lambda entry: (entry[0], entry[1]))
        lines = [
            AuditLine(
                asked_at=asked_at,
                key=key,
                version=change.answer.version,
                outcome=change.answer.outcome.value,
                operator=change.operator,
                change=change.identifier,
            )
            for asked_at, key, change in ordered
        ]
        answer_json(request, 200, lines)

    def _list(self, request: ApiRequest, prefix: str) -> None:
        registers = self._replica.publisher.registers
        entries = [_entry(r) for r in registers if r.key.startswith(prefix)]
        answer_json(request, 200, entries)

    def _one(self, request: ApiRequest, key: str, operator: str) -> None:
        if request.method == b"GET":
            register = self._replica.publisher.get(key)
            if register is None:
                answer_fault(request, 404, f"no {key}", "accept it first")
            else:
                answer_json(request, 200, _entry(register))
        elif request.method in (b"PUT", b"DELETE"):
            self._change(request, key, operator)
        else:
            answer_fault(request, 405, "no such method", "use GET, PUT or DELETE")

    def _change(self, request: ApiRequest, key: str, operator: str) -> None:
        identifier = request.getHeader(CHANGE_HEADER) or ""
        version = (request.getHeader(VERSION_HEADER) or "").strip('"')
        if not 0 < len(identifier) <= MAXIMUM_IDENTIFIER_CHARACTERS:
            remedy = f"send a {CHANGE_HEADER} of your own, and the same on a resend"
            answer_fault(request, 428, "the change has no identifier", remedy)
            return
        if not version.isdigit():
            remedy = f"send {VERSION_HEADER} with the version that you saw, 0 for none"
            answer_fault(request, 428, "the change names no version", remedy)
            return
        kind = ChangeKind.PUT if request.method == b"PUT" else ChangeKind.WITHDRAW
        body = read_body(request) if kind is ChangeKind.PUT else b""
        change = Change(
            identifier=identifier,
            key=key,
            kind=kind,
            expected_version=int(version),
            document=body,
            operator=operator,
            asked_at=self._clock(),
        )
        if not self._was_answered(change) and not self._is_valid(request, change):
            return
        if request.args.get(b"dry-run"):
            self._dry_run(request, change)
            return
        caller = WaitingOperator(request)
        self._replica.change(
            change,
            lambda answer: self._answered(caller, change, answer),
            lambda failure: self._failed(caller, failure),
            self._clock(),
        )

    def _was_answered(self, change: Change) -> bool:
        # A resend gets its first answer even where the change would not pass the
        # checks any more, because others have changed things since.
        register = self._replica.publisher.get(change.key)
        answered = register.answered_changes if register is not None else []
        return any(entry.identifier == change.identifier for entry in answered)

    def _is_valid(self, request: ApiRequest, change: Change) -> bool:
        configuration = render_configuration(self._replica.publisher.registers)
        try:
            if change.kind is ChangeKind.WITHDRAW:
                check_withdrawal(configuration, change.key)
                return True
            document = decode_document(change.key, change.document)
            if document.name != change.key.partition("/")[2]:
                raise msgspec.ValidationError("the name differs from the path's")
            check_change(configuration, document)
        except msgspec.MsgspecError as error:
            answer_fault(request, 422, str(error), "correct the document")
            return False
        except TemplateFaults as group:
            remedies = [str(fault) for fault in group.exceptions]
            answer_fault(request, 422, group.message, *remedies)
            return False
        return True

    def _dry_run(self, request: ApiRequest, change: Change) -> None:
        registers = {r.key: r for r in self._replica.publisher.registers}
        before = render_configuration(registers.values()).services
        document = change.document if change.kind is ChangeKind.PUT else None
        registers[change.key] = Register(change.key, 0, 0, document, [])
        after = render_configuration(registers.values()).services
        common = before.keys() & after.keys()
        report = DryRun(
            added=sorted(after.keys() - before.keys()),
            removed=sorted(before.keys() - after.keys()),
            changed=sorted(name for name in common if before[name] != after[name]),
        )
        answer_json(request, 200, report)

    def _answered(
        self, caller: WaitingOperator, change: Change, answer: ChangeAnswer
    ) -> None:
        if answer.outcome is ChangeOutcome.ACCEPTED:
            status = 200
            self._metrics.count("changes_accepted")
            log_message(
                message_type="kingcuppulley:change-accepted",
                key=answer.key,
                version=answer.version,
                operator=change.operator,
                change=change.identifier,
            )
        else:
            status = 409
            self._metrics.count("changes_in_conflict")
        if caller.is_there:
            answer_json(caller.request, status, answer)

    def _failed(self, caller: WaitingOperator, failure: KingcuppulleyError) -> None:
        self._metrics.count("changes_failed")
        if caller.is_there:
            answer_fault(caller.request, 503, type(failure).__name__, str(failure))


class AuditLine(msgspec.Struct, frozen=True, kw_only=True):
    """Show who changed what and when; `asked_at` is Unix time in seconds."""

    asked_at: float
    key: str
    version: int
    outcome: str
    operator: str
    change: str


def _entry(register: Register) -> Entry:
    accepted = [
        entry
        for entry in register.answered_changes
        if entry.answer.outcome is ChangeOutcome.ACCEPTED
    ]
    latest = accepted[-1] if accepted else register.answered_changes[-1]
    document = register.document
    return Entry(
        key=register.key,
        version=register.version,
        document=msgspec.Raw(document) if document is not None else None,
        changed_by=latest.operator,
        change=latest.identifier,
    )
