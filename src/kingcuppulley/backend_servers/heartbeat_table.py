"""Hold the heartbeats that one control host receives from backend servers.

The control host numbers the changes among them, so that it can send each subscribed
entry host just the servers that changed since the last update.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kingcuppulley.backend_servers.change_log import (
    ChangeLog,
    HeartbeatChanges,
    ServerEntry,
)
from kingcuppulley.backend_servers.heartbeats import Heartbeat, ServingState

HEARTBEAT_TIMEOUT_INTERVALS = 3.5
HEARTBEAT_RETENTION_SECONDS = 90.0
# Lower than any that a server sends.
RESTORED_SEQUENCE = -1


class HeartbeatTable:
    """Hold the last heartbeat of each backend server and number the changes.

    A heartbeat counts as a change only if subscribed entry hosts have to receive it.
    """

    def __init__(self, heartbeat_seconds: float) -> None:
        self._timeout_seconds = HEARTBEAT_TIMEOUT_INTERVALS * heartbeat_seconds
        self._log = ChangeLog()

    @property
    def log(self) -> ChangeLog:
        """Return the servers in the order of their changes."""
        return self._log

    @property
    def change_number(self) -> int:
        """Return the number of the last change."""
        return self._log.change_number

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Store a heartbeat and return whether it is a change."""
        entry = self._log.get(heartbeat.name)
        if entry is not None and not _is_newer(heartbeat, entry):
            return False
        if entry is not None:
            heartbeat = _keep_known_return(heartbeat, entry.heartbeat)
        if entry is not None and not _is_change(heartbeat, entry):
            self._log.record_unchanged(heartbeat, now)
            return False
        self._log.record_change(heartbeat, now)
        return True

    def restore(self, heartbeats: Iterable[Heartbeat], now: float) -> None:
        """Add servers that an earlier process knew, until their first heartbeat.

        They may have become cold or begun to leave since, so they get no new flows, and
        any heartbeat is newer than what is restored.
        """
        for heartbeat in heartbeats:
            restored = msgspec.structs.replace(
                heartbeat,
                state=ServingState.DRAINING,
                sequence=RESTORED_SEQUENCE,
                cold_remaining_seconds=0.0,
            )
            self._log.record_change(restored, now)

    def known_servers(self) -> list[Heartbeat]:
        """Return the last heartbeats of the servers that may have open flows."""
        return [
            entry.heartbeat
            for entry in self._log.entries()
            if entry.state in (ServingState.READY, ServingState.DRAINING)
        ]

    def deregister(self, name: str, now: float) -> bool:
        """Mark a backend server as gone and return whether that is a change."""
        entry = self._log.get(name)
        if entry is None or entry.state is ServingState.GONE:
            return False
        self._log.record_state(entry, ServingState.GONE)
        entry.last_received_at = now
        return True

    def tick(self, now: float) -> bool:
        """Mark servers whose heartbeats timed out and return whether any changed.

        Servers without a heartbeat for `HEARTBEAT_RETENTION_SECONDS` are removed; this
        does not count as a change.
        """
        before = self._log.change_number
        for entry in self._log.entries():
            elapsed = now - entry.last_received_at
            if elapsed > HEARTBEAT_RETENTION_SECONDS:
                self._log.remove(entry.heartbeat.name)
            elif elapsed > self._timeout_seconds and entry.state in (
                ServingState.READY,
                ServingState.DRAINING,
            ):
                self._log.record_state(entry, ServingState.UNRESPONSIVE)
        return self._log.change_number > before

    def changes_since(self, change_number: int, now: float) -> HeartbeatChanges:
        """Return the first servers that changed after a number; see `ChangeLog`."""
        return self._log.changes_since(change_number, now)


def _is_newer(heartbeat: Heartbeat, entry: ServerEntry) -> bool:
    stored = entry.heartbeat
    if heartbeat.incarnation != stored.incarnation:
        return heartbeat.incarnation > stored.incarnation
    return heartbeat.sequence > stored.sequence and entry.state is not ServingState.GONE


def _keep_known_return(heartbeat: Heartbeat, previous: Heartbeat) -> Heartbeat:
    """Return a heartbeat that is sent after every return before the previous one."""
    revision = previous.known_return_revision
    if heartbeat.known_return_revision >= revision:
        return heartbeat
    return msgspec.structs.replace(heartbeat, known_return_revision=revision)


def _is_change(heartbeat: Heartbeat, entry: ServerEntry) -> bool:
    stored = entry.heartbeat
    if (
        heartbeat.state is not entry.state
        or heartbeat.incarnation != stored.incarnation
    ):
        return True
    if (heartbeat.host, heartbeat.port) != (stored.host, stored.port):
        return True
    if heartbeat.known_return_revision != stored.known_return_revision:
        return True
    if heartbeat.cold_remaining_seconds > 0 or stored.cold_remaining_seconds > 0:
        return True
    # A gap in the sequence means that the server sent heartbeats to another control
    # host in between.  That host's older report must not prevail over this heartbeat.
    return heartbeat.sequence != stored.sequence + 1
