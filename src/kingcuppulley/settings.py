"""Define the settings of each daemon, and load them with all faults reported."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from kingcuppulley.entry_hosts.membership import HostAddress
from kingcuppulley.errors import SettingsError, SettingsFaults
from kingcuppulley.internal.field_types import (
    MAXIMUM_COUNT,
    MAXIMUM_DURATION_SECONDS,
    Port,
)

Seconds = Annotated[float, msgspec.Meta(gt=0, le=MAXIMUM_DURATION_SECONDS)]
Bytes = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_COUNT)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Settings = TypeVar("Settings", bound=msgspec.Struct)


class FabricSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set the sockets for packets and the expiry of idle flows.

    Packets arrive at `listen_host` and `listen_port`; resets are sent to `return_host`
    and `return_port`.  A flow may expire after `flow_generation_seconds` without a
    packet.
    """

    listen_host: str
    listen_port: Port
    return_host: str
    return_port: Port
    flow_generation_seconds: Seconds = 300.0


class CallerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set where callers connect and the limits of one request.

    Without `listen_host`, each service listens on its own address.  `idle_seconds`
    bounds how long a caller's connection, or an answer whose headers have arrived, may
    go without further data.
    """

    listen_host: str = ""
    maximum_body_bytes: Bytes = 1_048_576
    default_timeout_seconds: Seconds = 30.0
    idle_seconds: Seconds = 60.0


class AdministrationSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set the socket for announcements, metrics and the administration API."""

    listen_host: str
    listen_port: Port


class ControlAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Name a control host and the address and port where other hosts reach it."""

    name: Name
    host: str
    port: Port


# A change needs a majority of all of them, so that more make each change slower.
MAXIMUM_CONTROL_HOSTS = 7


class TraceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set the file to which spans are written; with an empty name, none are written."""

    file: str = ""


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all settings of an entry host.

    `leave_seconds` is the maximum time that the host drains requests when it leaves.
    """

    name: Name
    fabric: FabricSettings
    callers: CallerSettings
    administration: AdministrationSettings
    entry_hosts: list[HostAddress]
    control_hosts: list[ControlAddress]
    traces: TraceSettings = TraceSettings()
    leave_seconds: Seconds = 30.0


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Name an operator and the SHA-256, in hexadecimal, of the operator's token."""

    name: Name
    token_hash: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all settings of a control host."""

    name: Name
    data_folder: str
    administration: AdministrationSettings
    control_hosts: list[ControlAddress]
    operators: list[OperatorSettings]


def load_entry_settings(file: Path) -> EntrySettings:
    """Return an entry host's settings, or raise their faults as `SettingsFaults`."""
    settings, faults = _load(file, EntrySettings)
    if settings is not None:
        names = [host.name for host in settings.entry_hosts]
        faults.extend(_name_faults(file, "entry_hosts", settings.name, names))
    if settings is None or faults:
        raise SettingsFaults(f"{file} has faults", faults)
    return settings


def load_control_settings(file: Path) -> ControlSettings:
    """Return a control host's settings, or raise their faults as `SettingsFaults`."""
    settings, faults = _load(file, ControlSettings)
    if settings is not None:
        names = [host.name for host in settings.control_hosts]
        faults.extend(_name_faults(file, "control_hosts", settings.name, names))
        if len(names) % 2 == 0 or len(names) > MAXIMUM_CONTROL_HOSTS:
            remedy = (
                f"{len(names)} hosts are listed; list an odd number, at most "
                f"{MAXIMUM_CONTROL_HOSTS}"
            )
            faults.append(SettingsError(str(file), "control_hosts", names, remedy))
    if settings is None or faults:
        raise SettingsFaults(f"{file} has faults", faults)
    return settings


def _load(
    file: Path, settings_type: type[Settings]
) -> tuple[Settings | None, list[SettingsError]]:
    faults: list[SettingsError] = []
    try:
        data = tomllib.loads(file.read_text(encoding="utf-8"))
        _check_struct(str(file), "", data, settings_type, faults)
    except OSError as error:
        remedy = "the file cannot be read; check its path and permissions"
        return None, [SettingsError(str(file), "file", error.strerror, remedy)]
    except (ValueError, RecursionError) as error:
        # Invalid TOML or UTF-8, a number with thousands of digits, or tables that are
        # nested too deep.
        remedy = "write valid TOML, encoded as UTF-8"
        return None, [SettingsError(str(file), "file", str(error), remedy)]
    if faults:
        return None, faults
    return msgspec.convert(data, settings_type), faults


def _check_struct(
    file: str, path: str, data: Any, struct_type: type, faults: list[SettingsError]
) -> None:
    """Append all faults of a table to `faults`; msgspec alone stops at the first."""
    if not isinstance(data, dict):
        faults.append(SettingsError(file, path, data, "this is not a table; write one"))
        return
    hints = get_type_hints(struct_type, include_extras=True)
    fields = {field.name: field for field in msgspec.structs.fields(struct_type)}
    for key in data.keys() - fields.keys():
        remedy = f"unknown key; remove it, or use one of {', '.join(sorted(fields))}"
        faults.append(SettingsError(file, f"{path}{key}", data[key], remedy))
    for name, field in fields.items():
        if name in data:
            _check_value(file, f"{path}{name}", data[name], hints[name], faults)
        elif field.required:
            remedy = "it is required and has no default; set it"
            faults.append(SettingsError(file, f"{path}{name}", None, remedy))


def _check_value(
    file: str, path: str, value: Any, value_type: Any, faults: list[SettingsError]
) -> None:
    if isinstance(value_type, type) and issubclass(value_type, msgspec.Struct):
        _check_struct(file, f"{path}.", value, value_type, faults)
        return
    if get_origin(value_type) is list and isinstance(value, list):
        for index, element in enumerate(value):
            element_path = f"{path}[{index}]"
            _check_value(file, element_path, element, get_args(value_type)[0], faults)
        return
    try:
        msgspec.convert(value, value_type)
    except msgspec.ValidationError as error:
        faults.append(SettingsError(file, path, value, f"{error}; correct it"))


def _name_faults(
    file: Path, key: str, own_name: str, names: list[str]
) -> list[SettingsError]:
    faults = []
    if own_name not in names:
        remedy = f"no host of this name is listed under {key}; use one of {names}"
        faults.append(SettingsError(str(file), "name", own_name, remedy))
    if len(set(names)) != len(names):
        remedy = "some names occur more than once; give each host a unique name"
        faults.append(SettingsError(str(file), key, names, remedy))
    return faults
