"""Hold what one control host reports to entry hosts, or a relay's copy of it."""

from __future__ import annotations

import msgspec

from kingcuppulley.backend_servers.change_log import MAXIMUM_UPDATE_TARGETS, ChangeLog
from kingcuppulley.entry_hosts.seeded_messages import ControlUpdate, EntryHostInfo
from kingcuppulley.internal.rendezvous import hash_bytes


class UpdateSource:
    """Hold the backend servers and entry hosts that one control host reports.

    Attributes
    ----------
    instance : str
        Identifies the process of the control host.
    hosts : list of EntryHostInfo
        The ready entry hosts that subscribe to the control host.
    hosts_digest : int
        Identifies `hosts`; 0 until an entry host is ready.
    discovery_deadline : float
        Until when first heartbeats may still reach the control host.
    relay_zone : str
        Zone of the control host if it can be a relay, else empty.
    last_received_at : float
        When a message of the control host last arrived.
    """

    __slots__ = (
        "host",
        "instance",
        "log",
        "hosts",
        "hosts_digest",
        "discovery_deadline",
        "relay_zone",
        "last_received_at",
    )

    def __init__(self, host: str, instance: str, log: ChangeLog, now: float) -> None:
        self.host = host
        self.instance = instance
        self.log = log
        self.hosts: list[EntryHostInfo] = []
        self.hosts_digest = 0
        self.discovery_deadline = 0.0
        self.relay_zone = ""
        self.last_received_at = now

    def update_hosts(self, hosts: list[EntryHostInfo]) -> None:
        """Replace the ready entry hosts."""
        self.hosts = hosts
        self.hosts_digest = hash_bytes(msgspec.msgpack.encode(hosts)) >> 1

    def build_update(
        self,
        since_change_number: int,
        control_hosts: list[str],
        revision: int,
        now: float,
        limit: int = MAXIMUM_UPDATE_TARGETS,
    ) -> ControlUpdate:
        """Return the changes after a number, about `limit` servers at most."""
        changes = self.log.changes_since(since_change_number, now, limit)
        return ControlUpdate(
            self.host,
            self.instance,
            since_change_number,
            changes.change_number,
            changes.has_more,
            changes.targets,
            self.hosts_digest,
            control_hosts,
            revision,
            round(max(0.0, self.discovery_deadline - now) * 1000),
            self.relay_zone,
        )
