"""Define the settings of hosts that discover each other from seed addresses."""

from __future__ import annotations

import msgspec

from kingcuppulley.control.routing_content import DEFAULT_DOCUMENT_BYTES


class SocketAddress(msgspec.Struct, frozen=True):
    """Identify a socket by host and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class SeededSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the settings of an entry host or control host that starts from seeds.

    Attributes
    ----------
    peer : SocketAddress
        Where this process receives the messages of the deployment's other hosts.
    seeds : list[str]
        Peer addresses of some control hosts.
    is_first_start : bool
        Whether the whole deployment starts for the first time, with empty disks.
    tolerated_disk_losses : int
        Number of control hosts' disks that may be lost at the same time.
    heartbeat_seconds : float
        Interval between two heartbeats of a backend server.
    grace_seconds : float
        Time from SIGTERM until the process is killed.
    packets : SocketAddress | None
        Where an entry host receives the packets of callers.
    ready : SocketAddress | None
        Where an entry host answers readiness probes.
    control : SocketAddress | None
        Where a control host serves HTTP requests of operators and backend servers.
    metrics : SocketAddress | None
        Where the process serves its metrics.
    data_folder : str
        Folder of a control host's durable data.
    link_bytes_per_second : float
        What the host's link carries; 0 if the settings do not name it.
    processor_cores : float
        Cores that the process may use; 0 if the settings do not name them.
    maximum_configuration_bytes : int
        Largest configuration that a control host accepts from operators.
    """

    name: str
    zone: str
    zones: list[str]
    peer: SocketAddress
    seeds: list[str]
    is_first_start: bool
    tolerated_disk_losses: int = msgspec.field(name="losses_borne")
    heartbeat_seconds: float
    grace_seconds: float
    packets: SocketAddress | None = None
    ready: SocketAddress | None = None
    control: SocketAddress | None = None
    metrics: SocketAddress | None = None
    data_folder: str = ""
    link_bytes_per_second: float = 0.0
    processor_cores: float = 0.0
    maximum_configuration_bytes: int = DEFAULT_DOCUMENT_BYTES
