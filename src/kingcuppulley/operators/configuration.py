"""Turn registers into the services and zones that are in force."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kingcuppulley.control.registers import Register
from kingcuppulley.errors import TemplateError
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
    """Hold everything that is in force, and what could not be put in force."""

    templates: dict[str, Template]
    accounts: dict[str, ClientAccount]
    services: dict[str, Service]
    zones_out: frozenset[str]
    faults: list[str]


def decode_document(key: str, document: bytes) -> Document:
    """Return the template, client account or zone of a register's bytes.

    Raises
    ------
    msgspec.MsgspecError
        If the bytes do not hold what the key says.
    """
    if key.startswith(TEMPLATE_PREFIX):
        return msgspec.json.decode(document, type=Template)
    if key.startswith(ACCOUNT_PREFIX):
        return msgspec.json.decode(document, type=ClientAccount)
    return msgspec.json.decode(document, type=Zone)


def render_configuration(registers: Iterable[Register]) -> Configuration:
    """Return what a set of registers puts in force.

    Registers arrive one by one, so an account may come before its template.  Whatever
    cannot be put in force is named among the faults and harms nothing else.
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
        except msgspec.MsgspecError as error:
            faults.append(f"{register.key}: {error}")
            continue
        if isinstance(document, Template):
            templates[document.name] = document
        elif isinstance(document, ClientAccount):
            accounts[document.name] = document
        elif not document.in_service:
            zones_out.add(document.name)
    services: dict[str, Service] = {}
    taken: set[tuple[str, int, str]] = set()
    for account in sorted(accounts.values(), key=lambda a: a.name):
        _add_services(account, templates, services, taken, faults)
    return Configuration(templates, accounts, services, frozenset(zones_out), faults)


def check_change(configuration: Configuration, document: Document | None) -> None:
    """Raise `TemplateFaults` if a change would leave an account without its services.

    The check is made against what is known here.  Two accounts that take the same
    address at the same moment both pass it; then the first by name keeps the address
    on every host, and the other is named among the faults.
    """
    if isinstance(document, Template):
        check_template(document)
        for account in configuration.accounts.values():
            if account.template == document.name:
                render_account(document, account)
    elif isinstance(document, ClientAccount):
        template = configuration.templates.get(document.template)
        if template is None:
            remedy = f"accept the template {document.template} first"
            fault = TemplateError(f"account {document.name}", remedy)
            raise TemplateFaults("the account has faults", [fault])
        _check_addresses(configuration, document, render_account(template, document))


def check_withdrawal(configuration: Configuration, key: str) -> None:
    """Raise `TemplateFaults` if accounts still use a template to be withdrawn."""
    if not key.startswith(TEMPLATE_PREFIX):
        return
    name = key.removeprefix(TEMPLATE_PREFIX)
    faults = [
        TemplateError(f"template {name}", f"withdraw the account {account.name} first")
        for account in configuration.accounts.values()
        if account.template == name
    ]
    if faults:
        raise TemplateFaults("the template is in use", faults)


def _check_addresses(
    configuration: Configuration, account: ClientAccount, services: list[Service]
) -> None:
    faults = []
    for service in services:
        for other in configuration.services.values():
            if other.account != account.name and _place(other) == _place(service):
                remedy = f"{other.identity} has this address and port; take another"
                faults.append(TemplateError(f"service {service.identity}", remedy))
    if faults:
        raise TemplateFaults("addresses are taken", faults)


def _add_services(
    account: ClientAccount,
    templates: dict[str, Template],
    services: dict[str, Service],
    taken: set[tuple[str, int, str]],
    faults: list[str],
) -> None:
    template = templates.get(account.template)
    if template is None:
        faults.append(f"account {account.name}: no template {account.template}")
        return
    try:
        rendered = render_account(template, account)
    except TemplateFaults as group:
        faults.extend(str(fault) for fault in group.exceptions)
        return
    for service in rendered:
        if _place(service) in taken:
            faults.append(f"service {service.identity}: its address is taken")
        else:
            taken.add(_place(service))
            services[service.identity] = service


def _place(service: Service) -> tuple[str, int, str]:
    return (service.address, service.port, service.protocol.value)
