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
from kingcuppulley.internal.decoding import DECODING_ERRORS
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


class RegisterReport(msgspec.Struct, frozen=True, kw_only=True):
    """Show one register with its version, document and latest change.

    `changed_by` and `change` name the operator and the identifier of the latest
    accepted change, or of the latest answered one if no accepted change is stored.
    """

    key: str
    version: int
    document: msgspec.Raw | None
    changed_by: str
    change: str


class StatusReport(msgspec.Struct, frozen=True, kw_only=True):
    """Show a control host's state, the active versions and configuration faults."""

    name: str
    state: str
    versions: dict[str, int]
    zones_out: list[str]
    faults: list[str]


class DryRun(msgspec.Struct, frozen=True, kw_only=True):
    """Show which active services a change would add, remove or change."""

    added: list[str]
    removed: list[str]
    changed: list[str]


class PendingRequest:
    """Hold an unanswered request and track whether its connection is still open."""

    __slots__ = ("request", "is_connected")

    def __init__(self, request: ApiRequest) -> None:
        self.request = request
        self.is_connected = True
        request.notifyFinish().addErrback(self._connection_lost)

    def _connection_lost(self, _: Failure) -> None:
        self.is_connected = False


class AdministrationApi:
    """Authenticate operators, validate their requests and propose their changes.

    A change goes to the replica of this control host, which proposes it to a quorum.
    """

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
        """Answer one request; all paths except `/metrics` need an operator's token."""
        path = request.path.decode("utf-8", "replace").strip("/").split("/")
        if path == ["metrics"]:
            body = self._metrics.render().encode()
            request.answer(200, body, METRICS_CONTENT_TYPE)
            return
        operator = self._authenticate(request)
        if operator is None:
            answer_fault(
                request,
                401,
                "the request has no bearer token of a known operator",
                "send the token of an operator in the settings of this control host",
            )
        elif path == ["status"]:
            self._answer_status(request)
        elif path == ["audit"]:
            self._answer_audit(request)
        elif path[0] in _PREFIXES and len(path) == 1:
            self._answer_registers(request, _PREFIXES[path[0]])
        elif path[0] in _PREFIXES and len(path) == 2:
            self._handle_register(request, _PREFIXES[path[0]] + path[1], operator)
        else:
            answer_fault(
                request,
                404,
                f"there is no resource /{'/'.join(path)}",
                "use /status, /audit, /metrics, /templates, /accounts or /zones",
            )

    def _authenticate(self, request: ApiRequest) -> str | None:
        token = bearer_token(request)
        for operator in self._operators:
            if token_matches(token, operator.token_hash):
                return operator.name
        return None

    def _answer_status(self, request: ApiRequest) -> None:
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

    def _answer_audit(self, request: ApiRequest) -> None:
        answered_changes = [
            (change.asked_at, register.key, change)
            for register in self._replica.publisher.registers
            for change in register.answered_changes
        ]
        ordered = sorted(answered_changes, key=lambda entry: (entry[0], entry[1]))
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

    def _answer_registers(self, request: ApiRequest, prefix: str) -> None:
        registers = self._replica.publisher.registers
        reports = [
            _report_register(register)
            for register in registers
            if register.key.startswith(prefix)
        ]
        answer_json(request, 200, reports)

    def _handle_register(self, request: ApiRequest, key: str, operator: str) -> None:
        if request.method == b"GET":
            register = self._replica.publisher.get(key)
            if register is None:
                answer_fault(
                    request,
                    404,
                    f"{key} does not exist",
                    "check its name, or accept it first",
                )
            else:
                answer_json(request, 200, _report_register(register))
        elif request.method in (b"PUT", b"DELETE"):
            self._handle_change(request, key, operator)
        else:
            answer_fault(
                request, 405, "the method is not supported", "use GET, PUT or DELETE"
            )

    def _handle_change(self, request: ApiRequest, key: str, operator: str) -> None:
        identifier = request.getHeader(CHANGE_HEADER) or ""
        version = (request.getHeader(VERSION_HEADER) or "").strip('"')
        if not 0 < len(identifier) <= MAXIMUM_IDENTIFIER_CHARACTERS:
            fault = (
                f"{CHANGE_HEADER} has {len(identifier)} characters; it needs 1 to "
                f"{MAXIMUM_IDENTIFIER_CHARACTERS}"
            )
            remedy = f"send a unique {CHANGE_HEADER}, and the same one on a resend"
            answer_fault(request, 428, fault, remedy)
            return
        if not version.isdigit():
            fault = f"{VERSION_HEADER} is {version!r}, not a version number"
            remedy = f"send {VERSION_HEADER} with the version last seen, 0 if none"
            answer_fault(request, 428, fault, remedy)
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
        if not self._is_answered(change) and not self._is_valid(request, change):
            return
        if request.args.get(b"dry-run"):
            self._answer_dry_run(request, change)
            return
        pending = PendingRequest(request)
        self._replica.change(
            change,
            lambda answer: self._handle_answer(pending, change, answer),
            lambda failure: self._handle_failure(pending, failure),
            self._clock(),
        )

    def _is_answered(self, change: Change) -> bool:
        # A resend gets its first answer even if the change is no longer valid because
        # of other changes that were accepted since.
        register = self._replica.publisher.get(change.key)
        answered_changes = register.answered_changes if register is not None else []
        return any(
            answered.identifier == change.identifier for answered in answered_changes
        )

    def _is_valid(self, request: ApiRequest, change: Change) -> bool:
        configuration = render_configuration(self._replica.publisher.registers)
        try:
            if change.kind is ChangeKind.WITHDRAW:
                check_withdrawal(configuration, change.key)
                return True
            document = decode_document(change.key, change.document)
            if document.name != change.key.partition("/")[2]:
                raise msgspec.ValidationError(
                    f"the name {document.name!r} in the document differs from "
                    f"{change.key!r} in the path"
                )
            check_change(configuration, document)
        except DECODING_ERRORS as error:
            answer_fault(
                request, 422, str(error), "correct the document and send it again"
            )
            return False
        except TemplateFaults as group:
            remedies = [str(fault) for fault in group.exceptions]
            answer_fault(request, 422, group.message, *remedies)
            return False
        return True

    def _answer_dry_run(self, request: ApiRequest, change: Change) -> None:
        registers = {
            register.key: register for register in self._replica.publisher.registers
        }
        services_before = render_configuration(registers.values()).services
        document = change.document if change.kind is ChangeKind.PUT else None
        registers[change.key] = Register(change.key, 0, 0, document, [])
        services_after = render_configuration(registers.values()).services
        common_names = services_before.keys() & services_after.keys()
        report = DryRun(
            added=sorted(services_after.keys() - services_before.keys()),
            removed=sorted(services_before.keys() - services_after.keys()),
            changed=sorted(
                name
                for name in common_names
                if services_before[name] != services_after[name]
            ),
        )
        answer_json(request, 200, report)

    def _handle_answer(
        self, pending: PendingRequest, change: Change, answer: ChangeAnswer
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
        if pending.is_connected:
            answer_json(pending.request, status, answer)

    def _handle_failure(
        self, pending: PendingRequest, failure: KingcuppulleyError
    ) -> None:
        self._metrics.count("changes_failed")
        if pending.is_connected:
            answer_fault(pending.request, 503, type(failure).__name__, str(failure))


class AuditLine(msgspec.Struct, frozen=True, kw_only=True):
    """Show one answered change: when, by which operator and with which outcome.

    `asked_at` is Unix time in seconds.
    """

    asked_at: float
    key: str
    version: int
    outcome: str
    operator: str
    change: str


def _report_register(register: Register) -> RegisterReport:
    accepted_changes = [
        change
        for change in register.answered_changes
        if change.answer.outcome is ChangeOutcome.ACCEPTED
    ]
    latest = accepted_changes[-1] if accepted_changes else register.answered_changes[-1]
    document = register.document
    return RegisterReport(
        key=register.key,
        version=register.version,
        document=msgspec.Raw(document) if document is not None else None,
        changed_by=latest.operator,
        change=latest.identifier,
    )
