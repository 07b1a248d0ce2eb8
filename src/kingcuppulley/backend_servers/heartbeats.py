"""Hold the heartbeats that one control host receives from backend servers.

The control host numbers the changes among them, so that it can send each subscribed
entry host just the servers that changed since the last update.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

HEARTBEAT_TIMEOUT_INTERVALS = 3.5
HEARTBEAT_RETENTION_SECONDS = 90.0
MAXIMUM_UPDATE_TARGETS = 400


class ServingState(StrEnum):
    """Name which flows a backend server may receive.

    A READY server may receive new flows, and a DRAINING one only packets of flows that
    it has.  A GONE server has left, and an UNRESPONSIVE one stopped sending heartbeats.
    """

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    UNRESPONSIVE = "silent"


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Hold one heartbeat of a backend server, as control hosts send it to entry hosts.

    Attributes
    ----------
    packet_identity : bytes
        Identifies this server in each packet that is sent to it.
    incarnation : int
        Start time of the server in milliseconds; orders the incarnations of one name.
    sequence : int
        Grows with each heartbeat of one incarnation.
    cold_remaining_seconds : float
        How much longer the server is cold, counted from when this message was sent.
    """

    name: str
    packet_identity: bytes
    service: str
    zone: str
    host: str
    port: int
    state: ServingState
    incarnation: int
    sequence: int
    slots: int
    cold_remaining_seconds: float


class _Entry:
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


class HeartbeatTable:
    """Hold the last heartbeat of each backend server and number the changes.

    A heartbeat counts as a change only if subscribed entry hosts have to receive it.
    """

    def __init__(self, heartbeat_seconds: float) -> None:
        self._timeout_seconds = HEARTBEAT_TIMEOUT_INTERVALS * heartbeat_seconds
        # In order of change numbers, the latest last.
        self._entries: dict[str, _Entry] = {}
        self._change_number = 0

    @property
    def change_number(self) -> int:
        """Return the number of the last change."""
        return self._change_number

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Store a heartbeat and return whether it is a change."""
        entry = self._entries.get(heartbeat.name)
        if entry is not None and not _is_newer(heartbeat, entry):
            return False
        is_change = entry is None or _is_change(heartbeat, entry)
        if is_change or entry is None:
            self._change_number += 1
            self._entries.pop(heartbeat.name, None)
            change_number = self._change_number
        else:
            change_number = entry.change_number
        self._entries[heartbeat.name] = _Entry(heartbeat, now, change_number)
        return is_change

    def deregister(self, name: str, now: float) -> bool:
        """Mark a backend server as gone and return whether that is a change."""
        entry = self._entries.get(name)
        if entry is None or entry.state is ServingState.GONE:
            return False
        self._set_state(name, entry, ServingState.GONE)
        entry.last_received_at = now
        return True

    def tick(self, now: float) -> bool:
        """Mark servers whose heartbeats timed out and return whether any changed.

        Servers without a heartbeat for `HEARTBEAT_RETENTION_SECONDS` are removed; this
        does not count as a change.
        """
        before = self._change_number
        for name, entry in list(self._entries.items()):
            elapsed = now - entry.last_received_at
            if elapsed > HEARTBEAT_RETENTION_SECONDS:
                del self._entries[name]
            elif elapsed > self._timeout_seconds and entry.state in (
                ServingState.READY,
                ServingState.DRAINING,
            ):
                self._set_state(name, entry, ServingState.UNRESPONSIVE)
        return self._change_number > before

    def changes_since(self, change_number: int, now: float) -> HeartbeatChanges:
        """Return the first servers that changed after a number, oldest change first.

        There are at most `MAXIMUM_UPDATE_TARGETS` of them, so that an update fits into
        one message.
        """
        newest_first = []
        for entry in reversed(self._entries.values()):
            if entry.change_number <= change_number:
                break
            newest_first.append(entry)
        entries = newest_first[::-1][:MAXIMUM_UPDATE_TARGETS]
        has_more = len(newest_first) > len(entries)
        up_to = entries[-1].change_number if has_more else self._change_number
        return HeartbeatChanges(
            [_current_heartbeat(entry, now) for entry in entries], up_to, has_more
        )

    def _set_state(self, name: str, entry: _Entry, state: ServingState) -> None:
        self._change_number += 1
        entry.change_number = self._change_number
        entry.state = state
        # Move the entry to the end: `changes_since` relies on the order.
        self._entries[name] = self._entries.pop(name)


def _is_newer(heartbeat: Heartbeat, entry: _Entry) -> bool:
    stored = entry.heartbeat
    if heartbeat.incarnation != stored.incarnation:
        return heartbeat.incarnation > stored.incarnation
    return heartbeat.sequence > stored.sequence and entry.state is not ServingState.GONE


def _is_change(heartbeat: Heartbeat, entry: _Entry) -> bool:
    stored = entry.heartbeat
    if (
        heartbeat.state is not entry.state
        or heartbeat.incarnation != stored.incarnation
    ):
        return True
    if (heartbeat.host, heartbeat.port) != (stored.host, stored.port):
        return True
    if heartbeat.cold_remaining_seconds > 0 or stored.cold_remaining_seconds > 0:
        return True
    # A gap in the sequence means that the server sent heartbeats to another control
    # host in between.  That host's older report must not prevail over this heartbeat.
    return heartbeat.sequence != stored.sequence + 1


def _current_heartbeat(entry: _Entry, now: float) -> Heartbeat:
    """Return a server's last heartbeat with its present state and cold time."""
    cold_remaining_seconds = max(0.0, entry.cold_deadline - now)
    return msgspec.structs.replace(
        entry.heartbeat,
        state=entry.state,
        cold_remaining_seconds=cold_remaining_seconds,
    )
