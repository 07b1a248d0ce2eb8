"""Define the settings of each daemon and check them whole."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from kingcuppulley.entry_hosts.membership import HostAddress
from kingcuppulley.errors import SettingsError, SettingsFaults

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Bytes = Annotated[int, msgspec.Meta(ge=1)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Settings = TypeVar("Settings", bound=msgspec.Struct)


class FabricSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Say where packets come from and where resets go back to.

    `flow_generation_seconds` is how long a flow must be silent to be forgotten.
    """

    listen_host: str
    listen_port: Port
    return_host: str
    return_port: Port
    flow_generation_seconds: Seconds = 300.0


class CallerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Say where callers connect and what one request may take.

    Without `listen_host` each service listens on its own address.
    """

    listen_host: str = ""
    maximum_body_bytes: Bytes = 1_048_576
    default_timeout_seconds: Seconds = 30.0
    idle_seconds: Seconds = 60.0


class AdministrationSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Say where announcements, metrics and operators are served."""

    listen_host: str
    listen_port: Port


class ControlAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Name a control host and where it is reached."""

    name: Name
    host: str
    port: Port


class TraceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Say where spans are written; an empty name writes none."""

    file: str = ""


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold every setting of an entry host."""

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
    """Hold every setting of a control host."""

    name: Name
    data_folder: str
    administration: AdministrationSettings
    control_hosts: list[ControlAddress]
    operators: list[OperatorSettings]


def load_entry_settings(file: Path) -> EntrySettings:
    """Return the settings of an entry host, or raise `SettingsFaults`."""
    settings, faults = _load(file, EntrySettings)
    if settings is not None:
        names = [host.name for host in settings.entry_hosts]
        faults.extend(_name_faults(file, "entry_hosts", settings.name, names))
    if settings is None or faults:
        raise SettingsFaults(f"{file} has faults", faults)
    return settings


def load_control_settings(file: Path) -> ControlSettings:
    """Return the settings of a control host, or raise `SettingsFaults`."""
    settings, faults = _load(file, ControlSettings)
    if settings is not None:
        names = [host.name for host in settings.control_hosts]
        faults.extend(_name_faults(file, "control_hosts", settings.name, names))
        if len(names) % 2 == 0:
            remedy = "name an odd number of control hosts, at most 7"
            faults.append(SettingsError(str(file), "control_hosts", names, remedy))
    if settings is None or faults:
        raise SettingsFaults(f"{file} has faults", faults)
    return settings


def _load(
    file: Path, kind: type[Settings]
) -> tuple[Settings | None, list[SettingsError]]:
    faults: list[SettingsError] = []
    try:
        data = tomllib.loads(file.read_text())
    except OSError as error:
        remedy = "name a file that can be read"
        return None, [SettingsError(str(file), "file", error.strerror, remedy)]
    except tomllib.TOMLDecodeError as error:
        return None, [SettingsError(str(file), "file", str(error), "write valid TOML")]
    _check_struct(str(file), "", data, kind, faults)
    if faults:
        return None, faults
    return msgspec.convert(data, kind), faults


def _check_struct(
    file: str, path: str, data: Any, kind: type, faults: list[SettingsError]
) -> None:
    """Collect every fault; the library alone would stop at the first."""
    if not isinstance(data, dict):
        faults.append(SettingsError(file, path, data, "write a table"))
        return
    hints = get_type_hints(kind, include_extras=True)
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    for key in data.keys() - fields.keys():
        remedy = f"remove it; known keys are {', '.join(sorted(fields))}"
        faults.append(SettingsError(file, f"{path}{key}", data[key], remedy))
    for name, field in fields.items():
        if name in data:
            _check_value(file, f"{path}{name}", data[name], hints[name], faults)
        elif field.required:
            faults.append(SettingsError(file, f"{path}{name}", None, "give it a value"))


def _check_value(
    file: str, path: str, value: Any, kind: Any, faults: list[SettingsError]
) -> None:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        _check_struct(file, f"{path}.", value, kind, faults)
        return
    if get_origin(kind) is list and isinstance(value, list):
        for index, element in enumerate(value):
            place = f"{path}[{index}]"
            _check_value(file, place, element, get_args(kind)[0], faults)
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        faults.append(SettingsError(file, path, value, f"{error}; correct it"))


def _name_faults(
    file: Path, key: str, own: str, names: list[str]
) -> list[SettingsError]:
    faults = []
    if own not in names:
        remedy = f"name a host that is listed under {key}"
        faults.append(SettingsError(str(file), "name", own, remedy))
    if len(set(names)) != len(names):
        remedy = "give each host a name of its own"
        faults.append(SettingsError(str(file), key, names, remedy))
    return faults
