"""Validate templates and render client accounts into services."""

from __future__ import annotations

import re
import socket
from collections.abc import Iterable

from kingcuppulley.errors import TemplateError
from kingcuppulley.model import (
    ClientAccount,
    Parameter,
    ParameterKind,
    ParameterValue,
    Service,
    ServicePattern,
    Template,
)

_REFERENCE = re.compile(r"^\$\{([a-z0-9_-]+)\}$")
_NAME = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
_TOKEN_HASH = re.compile(r"^[0-9a-f]{64}$")
_MAXIMUM_PORT = 65_535
# Bounds slots, cold_slots, cold_seconds and connections.
_MAXIMUM_LIMIT = 1_000_000


class TemplateFaults(ExceptionGroup[TemplateError]):
    """Group all faults of one template or client account."""

    def derive(self, excs: Iterable[TemplateError]) -> TemplateFaults:  # type: ignore[override]
        """Return a group with the same message and the given faults."""
        return TemplateFaults(self.message, list(excs))


def check_template(template: Template) -> None:
    """Raise `TemplateFaults` with all faults of a template, if it has any."""
    faults = []
    subject = f"template {template.name}"
    if not _NAME.match(template.name):
        faults.append(_name_fault(subject))
    names = [parameter.name for parameter in template.parameters]
    for name in {name for name in names if names.count(name) > 1}:
        remedy = "it is declared more than once; declare it once"
        faults.append(TemplateError(f"{subject}, parameter {name}", remedy))
    if not template.services:
        faults.append(TemplateError(subject, "it has no services; add at least one"))
    for pattern in template.services:
        faults.extend(_pattern_faults(subject, pattern, set(names)))
    if faults:
        raise TemplateFaults(f"{subject} has faults", faults)


def render_account(template: Template, account: ClientAccount) -> list[Service]:
    """Return the services of a client account with its parameters filled in.

    Raises `TemplateFaults` with all faults of the account, if it has any.
    """
    subject = f"account {account.name}"
    faults: list[TemplateError] = []
    if not _NAME.match(account.name):
        faults.append(_name_fault(subject))
    if not _TOKEN_HASH.match(account.announcement_token_hash):
        remedy = (
            "announcement_token_hash is not a SHA-256 in hexadecimal; give 64 "
            "lower-case hexadecimal digits"
        )
        faults.append(TemplateError(subject, remedy))
    values = _parameter_values(subject, template, account, faults)
    services = []
    for pattern in template.services if not faults else ():
        service = _render_service(subject, account, pattern, values, faults)
        if service is not None:
            services.append(service)
    if faults:
        raise TemplateFaults(f"{subject} has faults", faults)
    return services


def _name_fault(subject: str) -> TemplateError:
    return TemplateError(
        subject,
        "the name is invalid; use 1 to 63 lower-case letters, digits and hyphens, the "
        "first one not a hyphen",
    )


def _pattern_faults(
    subject: str, pattern: ServicePattern, parameters: set[str]
) -> list[TemplateError]:
    location = f"{subject}, service {pattern.name}"
    faults = []
    if not _NAME.match(pattern.name):
        faults.append(_name_fault(location))
    for value in _pattern_values(pattern):
        match = _REFERENCE.match(value) if isinstance(value, str) else None
        if match and match.group(1) not in parameters:
            remedy = (
                f"the template declares no parameter {match.group(1)}; declare it or "
                "refer to another"
            )
            faults.append(TemplateError(location, remedy))
    return faults


def _pattern_values(pattern: ServicePattern) -> list[ParameterValue]:
    return [
        pattern.address,
        pattern.port,
        pattern.zones,
        pattern.slots,
        pattern.cold_slots,
        pattern.cold_seconds,
        pattern.connections,
    ]


def _parameter_values(
    subject: str,
    template: Template,
    account: ClientAccount,
    faults: list[TemplateError],
) -> dict[str, ParameterValue]:
    known = {parameter.name for parameter in template.parameters}
    for name in sorted(account.parameters.keys() - known):
        remedy = f"template {template.name} has no such parameter; remove it"
        faults.append(TemplateError(f"{subject}, parameter {name}", remedy))
    values: dict[str, ParameterValue] = {}
    for parameter in template.parameters:
        value = account.parameters.get(parameter.name, parameter.default)
        value_remedy = _value_remedy(parameter, value)
        if value_remedy is not None:
            location = f"{subject}, parameter {parameter.name}"
            faults.append(TemplateError(location, value_remedy))
        elif value is not None:
            values[parameter.name] = value
    return values


def _value_remedy(parameter: Parameter, value: ParameterValue | None) -> str | None:
    if value is None:
        return "it has no value and the template has no default; set it"
    match parameter.kind:
        case ParameterKind.TEXT:
            return None if isinstance(value, str) else f"give text instead of {value!r}"
        case ParameterKind.ADDRESS:
            return (
                None
                if _is_address(value)
                else f"give an IPv4 address instead of {value!r}"
            )
        case ParameterKind.ZONES:
            return (
                None
                if _is_zone_list(value)
                else f"give a list of zone names instead of {value!r}"
            )
        case ParameterKind.INTEGER:
            return _integer_remedy(parameter, value)


def _integer_remedy(parameter: Parameter, value: ParameterValue) -> str | None:
    if not isinstance(value, int):
        return f"give a whole number instead of {value!r}"
    if parameter.minimum is not None and value < parameter.minimum:
        return f"give at least {parameter.minimum} instead of {value}"
    if parameter.maximum is not None and value > parameter.maximum:
        return f"give at most {parameter.maximum} instead of {value}"
    return None


def _render_service(
    subject: str,
    account: ClientAccount,
    pattern: ServicePattern,
    values: dict[str, ParameterValue],
    faults: list[TemplateError],
) -> Service | None:
    location = f"{subject}, service {pattern.name}"
    address = _resolve(pattern.address, values)
    zones = _resolve(pattern.zones, values)
    port = _resolve_integer(
        location, "port", pattern.port, values, 1, _MAXIMUM_PORT, faults
    )
    slots = _resolve_integer(
        location, "slots", pattern.slots, values, 1, _MAXIMUM_LIMIT, faults
    )
    cold_slots = _resolve_integer(
        location, "cold_slots", pattern.cold_slots, values, 1, _MAXIMUM_LIMIT, faults
    )
    cold_seconds = _resolve_integer(
        location,
        "cold_seconds",
        pattern.cold_seconds,
        values,
        0,
        _MAXIMUM_LIMIT,
        faults,
    )
    connections = _resolve_integer(
        location, "connections", pattern.connections, values, 1, _MAXIMUM_LIMIT, faults
    )
    if not _is_address(address):
        remedy = f"give an IPv4 address instead of {address!r}"
        faults.append(TemplateError(f"{location}, address", remedy))
    if not _is_zone_list(zones):
        remedy = f"give a list of zone names instead of {zones!r}"
        faults.append(TemplateError(f"{location}, zones", remedy))
    if cold_slots > slots:
        remedy = "give at most as many cold_slots as slots"
        faults.append(TemplateError(f"{location}, cold_slots", remedy))
    if faults or not isinstance(zones, list):
        return None
    return Service(
        account=account.name,
        name=pattern.name,
        address=str(address),
        port=port,
        protocol=pattern.protocol,
        tier=pattern.tier,
        zones=tuple(zones),
        slots=slots,
        cold_slots=cold_slots,
        cold_seconds=cold_seconds,
        connections=connections,
        announcement_token_hash=account.announcement_token_hash,
    )


def _resolve(
    value: ParameterValue, values: dict[str, ParameterValue]
) -> ParameterValue:
    match = _REFERENCE.match(value) if isinstance(value, str) else None
    return values[match.group(1)] if match else value


def _resolve_integer(
    location: str,
    field: str,
    value: ParameterValue,
    values: dict[str, ParameterValue],
    minimum: int,
    maximum: int,
    faults: list[TemplateError],
) -> int:
    resolved = _resolve(value, values)
    if isinstance(resolved, int) and minimum <= resolved <= maximum:
        return resolved
    remedy = f"give a whole number from {minimum} to {maximum} instead of {resolved!r}"
    faults.append(TemplateError(f"{location}, {field}", remedy))
    return minimum


def _is_address(value: ParameterValue) -> bool:
    if not isinstance(value, str):
        return False
    try:
        socket.inet_pton(socket.AF_INET, value)
    except (OSError, ValueError):
        # A text with a null character or with letters beyond ASCII raises `ValueError`.
        return False
    return True


def _is_zone_list(value: ParameterValue) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(zone, str) and _NAME.match(zone) for zone in value)
    )
