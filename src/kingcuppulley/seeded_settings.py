"""Hold the settings of hosts that find each other from seeds."""

from __future__ import annotations

import msgspec


class SocketAddress(msgspec.Struct, frozen=True):
    """Name an address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class SeededSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a process that starts from seeds is told.

    Attributes
    ----------
    peer : SocketAddress
        Where the system's own processes reach this one.
    seeds : list[str]
        Peer addresses of some control hosts.
    is_first_start : bool
        Whether the whole deployment starts for the first time, with empty disks.
    tolerated_disk_losses : int
        How many disks may be lost at a time.
    grace_seconds : float
        How long after SIGTERM the process is killed.
    """

    name: str
    zone: str
    zones: list[str]
    peer: SocketAddress
    seeds: list[str]
    is_first_start: bool
    tolerated_disk_losses: int
    heartbeat_seconds: float
    grace_seconds: float
    packets: SocketAddress | None = None
    ready: SocketAddress | None = None
    control: SocketAddress | None = None
    metrics: SocketAddress | None = None
    data_folder: str = ""
