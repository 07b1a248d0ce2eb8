"""Render registers into the active configuration, and check changes against it."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kingcuppulley.control.registers import Register
from kingcuppulley.errors import TemplateError
from kingcuppulley.internal.decoding import DECODING_ERRORS
from kingcuppulley.model import ClientAccount, Service, Template, Zone
from kingcuppulley.operators.templates import (
    TemplateFaults,
    check_template,
    render_account,
)

TEMPLATE_PREFIX = "template/"
ACCOUNT_PREFIX = "account/"
ZONE_PREFIX = "zone/"

Document = Template | ClientAccount | Zone


class Configuration(msgspec.Struct, frozen=True):
    """Hold the active configuration, with a fault for each part left out of it.

    `zones_out` names the availability zones that are out of service.
    """

    templates: dict[str, Template]
    accounts: dict[str, ClientAccount]
    services: dict[str, Service]
    zones_out: frozenset[str]
    faults: list[str]


def decode_document(key: str, document: bytes) -> Document:
    """Return the template, client account or zone that a register's bytes encode.

    Raises
    ------
    msgspec.MsgspecError, RecursionError
        If the bytes are not a document of the kind that the key's prefix names.
    """
    if key.startswith(TEMPLATE_PREFIX):
        return msgspec.json.decode(document, type=Template)
    if key.startswith(ACCOUNT_PREFIX):
        return msgspec.json.decode(document, type=ClientAccount)
    return msgspec.json.decode(document, type=Zone)


def render_configuration(registers: Iterable[Register]) -> Configuration:
    """Return the configuration that a set of registers makes active.

    Registers arrive one by one, so an account may arrive before its template.  A
    document, account or service that cannot become active is reported among the faults
    and does not affect the others.
    """
    templates: dict[str, Template] = {}
    accounts: dict[str, ClientAccount] = {}
    zones_out = set()
    faults: list[str] = []
    for register in registers:
        if register.document is None:
            continue
        try:
            document = decode_document(register.key, register.document)
        except DECODING_ERRORS as error:
            faults.append(f"{register.key}: {error}")
            continue
        if isinstance(document, Template):
            templates[document.name] = document
        elif isinstance(document, ClientAccount):
            accounts[document.name] = document
        elif not document.in_service:
            zones_out.add(document.name)
    services: dict[str, Service] = {}
    used_endpoints: set[tuple[str, int, str]] = set()
    for account in sorted(accounts.values(), key=lambda account: account.name):
        _add_services(account, templates, services, used_endpoints, faults)
    return Configuration(templates, accounts, services, frozenset(zones_out), faults)


def check_change(configuration: Configuration, document: Document | None) -> None:
    """Raise `TemplateFaults` if a change would leave an account without its services.

    The check uses the configuration that this host knows.  Two accounts that claim the
    same address concurrently both pass it.  Then the account whose name sorts first
    keeps the address on every host, and the other is reported among the faults.
    """
    if isinstance(document, Template):
        check_template(document)
        for account in configuration.accounts.values():
            if account.template == document.name:
                render_account(document, account)
    elif isinstance(document, ClientAccount):
        template = configuration.templates.get(document.template)
        if template is None:
            subject = f"account {document.name}"
            remedy = f"template {document.template} does not exist; accept it first"
            fault = TemplateError(subject, remedy)
            raise TemplateFaults(f"{subject} has faults", [fault])
        _check_addresses(configuration, document, render_account(template, document))


def check_withdrawal(configuration: Configuration, key: str) -> None:
    """Raise `TemplateFaults` if accounts still use the template to withdraw."""
    if not key.startswith(TEMPLATE_PREFIX):
        return
    name = key.removeprefix(TEMPLATE_PREFIX)
    faults = [
        TemplateError(
            f"template {name}",
            f"account {account.name} uses it; withdraw this account first",
        )
        for account in configuration.accounts.values()
        if account.template == name
    ]
    if faults:
        raise TemplateFaults(f"template {name} is in use", faults)


def _check_addresses(
    configuration: Configuration, account: ClientAccount, services: list[Service]
) -> None:
    faults = []
    for service in services:
        for other in configuration.services.values():
            if other.account != account.name and _endpoint(other) == _endpoint(service):
                remedy = (
                    f"service {other.identity} already uses {service.address}, "
                    f"{service.protocol.value} port {service.port}; use another "
                    "address or port"
                )
                faults.append(TemplateError(f"service {service.identity}", remedy))
    if faults:
        raise TemplateFaults(
            f"addresses of account {account.name} are already in use", faults
        )


def _add_services(
    account: ClientAccount,
    templates: dict[str, Template],
    services: dict[str, Service],
    used_endpoints: set[tuple[str, int, str]],
    faults: list[str],
) -> None:
    template = templates.get(account.template)
    if template is None:
        faults.append(
            f"account {account.name}: template {account.template} does not exist; "
            "accept it"
        )
        return
    try:
        rendered = render_account(template, account)
    except TemplateFaults as group:
        faults.extend(str(fault) for fault in group.exceptions)
        return
    for service in rendered:
        if _endpoint(service) in used_endpoints:
            faults.append(
                f"service {service.identity}: another service already uses "
                f"{service.address}, {service.protocol.value} port {service.port}"
            )
        else:
            used_endpoints.add(_endpoint(service))
            services[service.identity] = service


def _endpoint(service: Service) -> tuple[str, int, str]:
    return (service.address, service.port, service.protocol.value)
