"""Check templates and fill in their parameters."""

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
_HIGHEST_PORT = 65_535
_HIGHEST_LIMIT = 1_000_000


class TemplateFaults(ExceptionGroup[TemplateError]):
    """Carry every fault of one template or client account."""

    def derive(self, excs: Iterable[TemplateError]) -> TemplateFaults:  # type: ignore[override]
        """Return a group of the same kind with other faults."""
        return TemplateFaults(self.message, list(excs))


def check_template(template: Template) -> None:
    """Raise `TemplateFaults` with every fault of a template."""
    faults = []
    subject = f"template {template.name}"
    if not _NAME.match(template.name):
        faults.append(_name_fault(subject))
    names = [parameter.name for parameter in template.parameters]
    for name in {name for name in names if names.count(name) > 1}:
        faults.append(TemplateError(f"{subject}, parameter {name}", "name it once"))
    if not template.services:
        faults.append(TemplateError(subject, "give it at least one service"))
    for pattern in template.services:
        faults.extend(_pattern_faults(subject, pattern, set(names)))
    if faults:
        raise TemplateFaults(f"{subject} has faults", faults)


def render_account(template: Template, account: ClientAccount) -> list[Service]:
    """Return the services of a client account, or raise `TemplateFaults`."""
    subject = f"account {account.name}"
    faults: list[TemplateError] = []
    if not _NAME.match(account.name):
        faults.append(_name_fault(subject))
    if not _TOKEN_HASH.match(account.announcement_token_hash):
        remedy = "give announcement_token_hash as a SHA-256 in hexadecimal"
        faults.append(TemplateError(subject, remedy))
    values = _parameter_values(subject, template, account, faults)
    services = []
    for pattern in template.services if not faults else ():
        service = _fill(subject, account, pattern, values, faults)
        if service is not None:
            services.append(service)
    if faults:
        raise TemplateFaults(f"{subject} has faults", faults)
    return services


def _name_fault(subject: str) -> TemplateError:
    return TemplateError(
        subject, "use 1 to 63 lower-case letters, digits and hyphens as its name"
    )


def _pattern_faults(
    subject: str, pattern: ServicePattern, parameters: set[str]
) -> list[TemplateError]:
    place = f"{subject}, service {pattern.name}"
    faults = []
    if not _NAME.match(pattern.name):
        faults.append(_name_fault(place))
    for value in _pattern_values(pattern):
        match = _REFERENCE.match(value) if isinstance(value, str) else None
        if match and match.group(1) not in parameters:
            remedy = f"declare the parameter {match.group(1)} or name another"
            faults.append(TemplateError(place, remedy))
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
            place = f"{subject}, parameter {parameter.name}"
            faults.append(TemplateError(place, value_remedy))
        elif value is not None:
            values[parameter.name] = value
    return values


def _value_remedy(parameter: Parameter, value: ParameterValue | None) -> str | None:
    if value is None:
        return "give it a value, because the template has no default"
    match parameter.kind:
        case ParameterKind.TEXT:
            return None if isinstance(value, str) else "give it text"
        case ParameterKind.ADDRESS:
            return None if _is_address(value) else "give it an IPv4 address"
        case ParameterKind.ZONES:
            return None if _is_zone_list(value) else "give it a list of zone names"
        case ParameterKind.INTEGER:
            return _integer_remedy(parameter, value)


def _integer_remedy(parameter: Parameter, value: ParameterValue) -> str | None:
    if not isinstance(value, int):
        return "give it a whole number"
    if parameter.minimum is not None and value < parameter.minimum:
        return f"give it at least {parameter.minimum}"
    if parameter.maximum is not None and value > parameter.maximum:
        return f"give it at most {parameter.maximum}"
    return None


def _fill(
    subject: str,
    account: ClientAccount,
    pattern: ServicePattern,
    values: dict[str, ParameterValue],
    faults: list[TemplateError],
) -> Service | None:
    place = f"{subject}, service {pattern.name}"
    address = _resolve(pattern.address, values)
    zones = _resolve(pattern.zones, values)
    port = _whole(place, "port", pattern.port, values, 1, _HIGHEST_PORT, faults)
    slots = _whole(place, "slots", pattern.slots, values, 1, _HIGHEST_LIMIT, faults)
    cold = _whole(
        place, "cold_slots", pattern.cold_slots, values, 1, _HIGHEST_LIMIT, faults
    )
    cold_seconds = _whole(
        place, "cold_seconds", pattern.cold_seconds, values, 0, _HIGHEST_LIMIT, faults
    )
    connections = _whole(
        place, "connections", pattern.connections, values, 1, _HIGHEST_LIMIT, faults
    )
    if not _is_address(address):
        faults.append(TemplateError(f"{place}, address", "give an IPv4 address"))
    if not _is_zone_list(zones):
        faults.append(TemplateError(f"{place}, zones", "give a list of zone names"))
    if cold > slots:
        faults.append(TemplateError(f"{place}, cold_slots", "give no more than slots"))
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
        cold_slots=cold,
        cold_seconds=cold_seconds,
        connections=connections,
        announcement_token_hash=account.announcement_token_hash,
    )


def _resolve(
    value: ParameterValue, values: dict[str, ParameterValue]
) -> ParameterValue:
    match = _REFERENCE.match(value) if isinstance(value, str) else None
    return values[match.group(1)] if match else value


def _whole(
    place: str,
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
    remedy = f"give a whole number from {minimum} to {maximum}"
    faults.append(TemplateError(f"{place}, {field}", remedy))
    return minimum


def _is_address(value: ParameterValue) -> bool:
    if not isinstance(value, str):
        return False
    try:
        socket.inet_pton(socket.AF_INET, value)
    except OSError:
        return False
    return True


def _is_zone_list(value: ParameterValue) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(zone, str) and _NAME.match(zone) for zone in value)
    )
