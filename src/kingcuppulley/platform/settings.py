"""Read the platform's settings file.

The fields of the private structs are the keys of the platform's TOML file.
"""

from __future__ import annotations

import os
import tomllib
from typing import Annotated

import msgspec

from kingcuppulley.control.routing_content import (
    DEFAULT_DOCUMENT_BYTES,
    LARGEST_DOCUMENT_BYTES,
)
from kingcuppulley.errors import SettingsError, SettingsFaults
from kingcuppulley.internal.field_types import (
    IPv4Address,
    Name,
    PeerAddress,
    Port,
    PositiveMilliseconds,
    Seconds,
)
from kingcuppulley.seeded_settings import SeededSettings, SocketAddress

METRICS_PORT = 9464
# A majority that bears the loss of this many disks has one vote more.
_MAXIMUM_DISK_LOSSES = 100
_BYTES_PER_MEGABIT = 1_000_000 / 8
# Heartbeats and small configurations must always be accepted.
_LEAST_CONFIGURATION_BYTES = 64 * 1024
SETTINGS_FILE_VARIABLE = "KINGCUPPULLEY_CONFIG"


_ConfigurationBytes = Annotated[
    int, msgspec.Meta(ge=_LEAST_CONFIGURATION_BYTES, le=LARGEST_DOCUMENT_BYTES)
]


class _Listen(msgspec.Struct):
    # ADDRESS:PORT for callers' packets.
    packet_addr: str = ""
    # ADDRESS:PORT for readiness probes.
    ready: str = ""
    # ADDRESS:PORT for HTTP requests of operators and backend servers.
    control: str = ""


class _Tolerate(msgspec.Struct):
    # How many machines may be lost at a time; only machines with a disk count.
    machines: Annotated[int, msgspec.Meta(ge=0, le=_MAXIMUM_DISK_LOSSES)] = 1


class _Limits(msgspec.Struct):
    # Share of each core that the process may use.
    cpu_share: float = 0.0
    cores: float = 1.0
    # Rate of the host's link in megabits per second; 0 if it is not limited.
    link_mbps: float = 0.0
    # Largest configuration that a control host accepts, in bytes.
    configuration_bytes: _ConfigurationBytes = DEFAULT_DOCUMENT_BYTES


class _Bounds(msgspec.Struct):
    # How long after SIGTERM the process is killed.
    grace_s: Seconds = 6.0


class _Settings(msgspec.Struct):
    # Name of this host.
    node: str
    # Address at which other hosts and the metrics collector reach this host.
    ip: IPv4Address
    zone: Name
    # First and last port that the system's own processes may use.  The first one is the
    # port at which every host receives messages of other hosts.
    internal_ports: tuple[Port, Port]
    # ADDRESS:PORT of some control hosts; the first of `internal_ports` is used instead
    # of the port.
    seeds: list[str]
    # Only the keys are used: the names of all zones.
    zones: dict[Name, str]
    listen: _Listen
    # Whether the whole deployment starts for the first time, with empty disks.
    bootstrap: bool = False
    # Interval between two heartbeats of a backend server.
    heartbeat_ms: PositiveMilliseconds = 1000
    data_dir: str = ""
    tolerate: _Tolerate = msgspec.field(default_factory=_Tolerate)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def settings_file() -> str:
    """Return the path of the settings file, which an environment variable may name."""
    return os.environ.get(SETTINGS_FILE_VARIABLE, "settings.toml")


def load_settings(file: str) -> SeededSettings:
    """Read a settings file, or raise `SettingsFaults` with every fault."""
    try:
        with open(file, "rb") as stream:
            data = tomllib.load(stream)
        faults = _find_faults(file, data)
    except OSError as error:
        raise _single_fault(
            file, "file", error.strerror, "name a readable file"
        ) from error
    except (ValueError, RecursionError) as error:
        # Invalid TOML or UTF-8, a number with thousands of digits, or tables that are
        # nested too deep.
        raise _single_fault(file, "file", str(error), "write valid TOML") from error
    if faults:
        raise SettingsFaults(f"{file} has faults", faults)
    decoded = msgspec.convert(data, _Settings)
    peer_port = decoded.internal_ports[0]
    return SeededSettings(
        name=decoded.node,
        zone=decoded.zone,
        zones=sorted(decoded.zones),
        peer=SocketAddress(decoded.ip, peer_port),
        seeds=[f"{seed.rpartition(':')[0]}:{peer_port}" for seed in decoded.seeds],
        is_first_start=decoded.bootstrap,
        tolerated_disk_losses=decoded.tolerate.machines,
        heartbeat_seconds=decoded.heartbeat_ms / 1000,
        grace_seconds=decoded.bounds.grace_s,
        packets=_parse_address(decoded.listen.packet_addr),
        ready=_parse_address(decoded.listen.ready),
        control=_parse_address(decoded.listen.control),
        metrics=SocketAddress(decoded.ip, METRICS_PORT),
        data_folder=decoded.data_dir,
        link_bytes_per_second=decoded.limits.link_mbps * _BYTES_PER_MEGABIT,
        processor_cores=decoded.limits.cpu_share * decoded.limits.cores,
        maximum_configuration_bytes=decoded.limits.configuration_bytes,
    )


def _find_faults(file: str, data: dict[str, object]) -> list[SettingsError]:
    # msgspec stops at the first fault, so each field is checked separately.
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
    if not faults:
        faults.extend(_find_value_faults(file, msgspec.convert(data, _Settings)))
    return faults


def _find_value_faults(file: str, settings: _Settings) -> list[SettingsError]:
    addresses = [("seeds", seed) for seed in settings.seeds]
    for field in msgspec.structs.fields(_Listen):
        address = getattr(settings.listen, field.name)
        if address:
            addresses.append((f"listen.{field.name}", address))
    faults = [
        SettingsError(file, key, address, "write it as IPV4:PORT, port 1 to 65535")
        for key, address in addresses
        if not _is_address(address)
    ]
    for field in msgspec.structs.fields(_Limits):
        limit = getattr(settings.limits, field.name)
        if not 0 <= limit < float("inf"):
            remedy = "use a finite number that is not negative"
            faults.append(SettingsError(file, f"limits.{field.name}", limit, remedy))
    return faults


def _is_address(text: str) -> bool:
    try:
        msgspec.convert(text, PeerAddress)
    except msgspec.ValidationError:
        return False
    return True


def _single_fault(file: str, key: str, value: object, remedy: str) -> SettingsFaults:
    fault = SettingsError(file, key, value, remedy)
    return SettingsFaults(f"{file} has faults", [fault])


def _parse_address(text: str) -> SocketAddress | None:
    host, _, port = text.rpartition(":")
    return SocketAddress(host, int(port)) if host else None
