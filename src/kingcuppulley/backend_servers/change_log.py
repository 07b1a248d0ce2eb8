"""Order the backend servers that a control host reports by their last change.

A control host numbers the changes of the servers that send heartbeats to it.  Another
control host that relays them keeps a copy with the same numbers.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kingcuppulley.backend_servers.heartbeats import Heartbeat, ServingState

# An update with this many servers, and the rest of the last change, fits one datagram.
MAXIMUM_UPDATE_TARGETS = 100


class ServerEntry:
    """Hold the last heartbeat of one backend server and the server's current state."""

    __slots__ = (
        "heartbeat",
        "state",
        "last_received_at",
        "cold_deadline",
        "change_number",
    )

    def __init__(self, heartbeat: Heartbeat, now: float, change_number: int) -> None:
        self.heartbeat = heartbeat
        self.state = heartbeat.state
        self.last_received_at = now
        self.cold_deadline = now + heartbeat.cold_remaining_seconds
        self.change_number = change_number

    def current_heartbeat(self, now: float) -> Heartbeat:
        """Return the server's last heartbeat with its present state and cold time."""
        return msgspec.structs.replace(
            self.heartbeat,
            state=self.state,
            cold_remaining_seconds=max(0.0, self.cold_deadline - now),
        )


class HeartbeatChanges:
    """Hold servers that changed, for one update to an entry host.

    Attributes
    ----------
    change_number : int
        Number of the last change that `targets` covers.
    has_more : bool
        Whether later changes did not fit.
    """

    __slots__ = ("targets", "change_number", "has_more")

    def __init__(
        self, targets: list[Heartbeat], change_number: int, has_more: bool
    ) -> None:
        self.targets = targets
        self.change_number = change_number
        self.has_more = has_more


class ChangeLog:
    """Hold backend servers in the order of their last changes.

    Several servers may share a change number: those of one update of a control host
    whose changes are relayed.
    """

    __slots__ = ("_entries", "_change_number")

    def __init__(self) -> None:
        self._entries: dict[str, ServerEntry] = {}
        self._change_number = 0

    @property
    def change_number(self) -> int:
        """Return the number of the last change."""
        return self._change_number

    def get(self, name: str) -> ServerEntry | None:
        """Return the entry of a server, or None."""
        return self._entries.get(name)

    def entries(self) -> Iterable[ServerEntry]:
        """Return every entry, the oldest change first."""
        return list(self._entries.values())

    def record_unchanged(self, heartbeat: Heartbeat, now: float) -> None:
        """Replace the heartbeat of a known server without a change."""
        change_number = self._entries[heartbeat.name].change_number
        self._entries[heartbeat.name] = ServerEntry(heartbeat, now, change_number)

    def record_change(self, heartbeat: Heartbeat, now: float) -> None:
        """Add a server, or replace its heartbeat, as the next change."""
        self._change_number += 1
        self._append(ServerEntry(heartbeat, now, self._change_number))

    def record_state(self, entry: ServerEntry, state: ServingState) -> None:
        """Change the state of a known server, as the next change."""
        self._change_number += 1
        entry.change_number = self._change_number
        entry.state = state
        self._append(entry)

    def copy_changes(
        self, heartbeats: list[Heartbeat], change_number: int, now: float
    ) -> None:
        """Add the servers of an update that covers all changes up to a number."""
        self._change_number = max(self._change_number, change_number)
        for heartbeat in heartbeats:
            self._append(ServerEntry(heartbeat, now, self._change_number))

    def remove(self, name: str) -> None:
        """Remove a server; this is not a change."""
        del self._entries[name]

    def changes_since(
        self, change_number: int, now: float, limit: int = MAXIMUM_UPDATE_TARGETS
    ) -> HeartbeatChanges:
        """Return the first servers that changed after a number, oldest change first.

        There are `limit` of them at most, and all others that share the last change
        number.
        """
        if limit <= 0:
            has_more = self._change_number > change_number
            return HeartbeatChanges([], change_number, has_more)
        newest_first = []
        for entry in reversed(self._entries.values()):
            if entry.change_number <= change_number:
                break
            newest_first.append(entry)
        entries = newest_first[::-1]
        size = min(len(entries), limit)
        while 0 < size < len(entries) and (
            entries[size].change_number == entries[size - 1].change_number
        ):
            size += 1
        has_more = size < len(entries)
        up_to = entries[size - 1].change_number if has_more else self._change_number
        heartbeats = [entry.current_heartbeat(now) for entry in entries[:size]]
        return HeartbeatChanges(heartbeats, up_to, has_more)

    def _append(self, entry: ServerEntry) -> None:
        # `changes_since` relies on the order.
        self._entries.pop(entry.heartbeat.name, None)
        self._entries[entry.heartbeat.name] = entry
