"""Read the platform's settings file into the product's settings."""

from __future__ import annotations

import os
import tomllib

import msgspec

from kingcuppulley.errors import SettingsError, SettingsFaults
from kingcuppulley.seeded_settings import SeededSettings, SocketAddress

METRICS_PORT = 9464
FILE_VARIABLE = "KINGCUPPULLEY_CONFIG"


class _Listen(msgspec.Struct):
    packet_addr: str = ""
    ready: str = ""
    control: str = ""


class _Tolerate(msgspec.Struct):
    # Counts machines whose loss matters: those with a disk.
    machines: int = 1


class _Bounds(msgspec.Struct):
    grace_s: float = 6.0


class _Settings(msgspec.Struct):
    # `internal_ports` are the first and last port that own processes may use.
    node: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    seeds: list[str]
    zones: dict[str, str]
    listen: _Listen
    bootstrap: bool = False
    heartbeat_ms: int = 1000
    data_dir: str = ""
    tolerate: _Tolerate = msgspec.field(default_factory=_Tolerate)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_file() -> str:
    """Return the settings file that the environment names."""
    return os.environ.get(FILE_VARIABLE, "settings.toml")


def load_settings(file: str) -> SeededSettings:
    """Return the settings, or raise `SettingsFaults` with every fault."""
    try:
        with open(file, "rb") as opened:
            data = tomllib.load(opened)
    except OSError as error:
        raise _fault(file, "file", error.strerror, "name a readable file") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise _fault(file, "file", str(error), "write valid TOML") from error
    faults = _faults(file, data)
    if faults:
        raise SettingsFaults(f"{file} has faults", faults)
    read = msgspec.convert(data, _Settings)
    peer_port = read.internal_ports[0]
    return SeededSettings(
        name=read.node,
        zone=read.zone,
        zones=sorted(read.zones),
        peer=SocketAddress(read.ip, peer_port),
        seeds=[f"{seed.rpartition(':')[0]}:{peer_port}" for seed in read.seeds],
        is_first_start=read.bootstrap,
        tolerated_disk_losses=read.tolerate.machines,
        heartbeat_seconds=read.heartbeat_ms / 1000,
        grace_seconds=read.bounds.grace_s,
        packets=_address(read.listen.packet_addr),
        ready=_address(read.listen.ready),
        control=_address(read.listen.control),
        metrics=SocketAddress(read.ip, METRICS_PORT),
        data_folder=read.data_dir,
    )


def _faults(file: str, data: dict[str, object]) -> list[SettingsError]:
    # The library stops at the first fault, so each field is checked by itself.
    faults = []
    for field in msgspec.structs.fields(_Settings):
        if field.name not in data:
            if field.required:
                faults.append(SettingsError(file, field.name, None, "give it a value"))
            continue
        value = data[field.name]
        try:
            msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            remedy = f"{error}; correct it"
            faults.append(SettingsError(file, field.name, value, remedy))
    return faults


def _fault(file: str, key: str, value: object, remedy: str) -> SettingsFaults:
    fault = SettingsError(file, key, value, remedy)
    return SettingsFaults(f"{file} has faults", [fault])


def _address(text: str) -> SocketAddress | None:
    host, _, port = text.rpartition(":")
    return SocketAddress(host, int(port)) if host else None
