"""Keep what backend servers say of themselves to one control host."""

from __future__ import annotations

from enum import StrEnum

import msgspec

SILENT_HEARTBEATS = 3.5
FORGET_AFTER_SECONDS = 90.0
MAXIMUM_UPDATE_TARGETS = 400


class ServingState(StrEnum):
    """Name what may be sent to a backend server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    UNRESPONSIVE = "silent"


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Hold one heartbeat of a backend server, and pass it on to entry hosts.

    Attributes
    ----------
    incarnation : int
        Milliseconds of the server's start; orders the lives of one name.
    sequence : int
        Grows with each heartbeat of one life.
    cold_seconds : float
        How much longer the server is cold, from the moment when this was sent.
    packet_identity : bytes
        Names this server in a packet that is meant for it alone.
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
    cold_seconds: float


class _Entry:
    """Hold the last heartbeat of one backend server."""

    __slots__ = ("heartbeat", "state", "heard_at", "cold_deadline", "change_number")

    def __init__(self, heartbeat: Heartbeat, now: float, change_number: int) -> None:
        self.heartbeat = heartbeat
        self.state = heartbeat.state
        self.heard_at = now
        self.cold_deadline = now + heartbeat.cold_seconds
        self.change_number = change_number


class HeartbeatChanges:
    """Hold servers that changed, up to which change, and whether there are more."""

    __slots__ = ("targets", "change_number", "has_more")

    def __init__(
        self, targets: list[Heartbeat], change_number: int, has_more: bool
    ) -> None:
        self.targets = targets
        self.change_number = change_number
        self.has_more = has_more


class HeartbeatTable:
    """Remember heartbeats and number their changes, for hosts that follow."""

    def __init__(self, heartbeat_seconds: float) -> None:
        self._silent_seconds = SILENT_HEARTBEATS * heartbeat_seconds
        self._entries: dict[str, _Entry] = {}
        self._change_number = 0

    @property
    def change_number(self) -> int:
        """Return the number of the last change."""
        return self._change_number

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat and return whether it is news to hosts that follow."""
        entry = self._entries.get(heartbeat.name)
        if entry is not None and not _is_newer(heartbeat, entry):
            return False
        is_news = entry is None or _is_news(heartbeat, entry)
        if is_news or entry is None:
            self._change_number += 1
            self._entries.pop(heartbeat.name, None)
            number = self._change_number
        else:
            number = entry.change_number
        self._entries[heartbeat.name] = _Entry(heartbeat, now, number)
        return is_news

    def deregister(self, name: str, now: float) -> bool:
        """Take a backend server's leave and return whether it is news."""
        entry = self._entries.get(name)
        if entry is None or entry.state is ServingState.GONE:
            return False
        self._set_state(name, entry, ServingState.GONE)
        entry.heard_at = now
        return True

    def tick(self, now: float) -> bool:
        """Mark servers that fell silent and return whether there is news."""
        before = self._change_number
        for name, entry in list(self._entries.items()):
            silence = now - entry.heard_at
            if silence > FORGET_AFTER_SECONDS:
                del self._entries[name]
            elif silence > self._silent_seconds and entry.state in (
                ServingState.READY,
                ServingState.DRAINING,
            ):
                self._set_state(name, entry, ServingState.UNRESPONSIVE)
        return self._change_number > before

    def changes_since(self, change_number: int, now: float) -> HeartbeatChanges:
        """Return the first servers that changed after a number, oldest change first."""
        newest_first = []
        for entry in reversed(self._entries.values()):
            if entry.change_number <= change_number:
                break
            newest_first.append(entry)
        entries = newest_first[::-1][:MAXIMUM_UPDATE_TARGETS]
        has_more = len(newest_first) > len(entries)
        up_to = entries[-1].change_number if has_more else self._change_number
        return HeartbeatChanges(
            [_described(entry, now) for entry in entries], up_to, has_more
        )

    def _set_state(self, name: str, entry: _Entry, state: ServingState) -> None:
        self._change_number += 1
        entry.change_number = self._change_number
        entry.state = state
        # The dictionary is in order of changes, so that news are found at its end.
        self._entries[name] = self._entries.pop(name)


def _is_newer(heartbeat: Heartbeat, entry: _Entry) -> bool:
    held = entry.heartbeat
    if heartbeat.incarnation != held.incarnation:
        return heartbeat.incarnation > held.incarnation
    return heartbeat.sequence > held.sequence and entry.state is not ServingState.GONE


def _is_news(heartbeat: Heartbeat, entry: _Entry) -> bool:
    held = entry.heartbeat
    if heartbeat.state is not entry.state or heartbeat.incarnation != held.incarnation:
        return True
    if (heartbeat.host, heartbeat.port) != (held.host, held.port):
        return True
    if heartbeat.cold_seconds > 0 or held.cold_seconds > 0:
        return True
    # A gap says that the server called another control host meanwhile, whose older
    # word must not outlive this one.
    return heartbeat.sequence != held.sequence + 1


def _described(entry: _Entry, now: float) -> Heartbeat:
    cold_seconds = max(0.0, entry.cold_deadline - now)
    return msgspec.structs.replace(
        entry.heartbeat, state=entry.state, cold_seconds=cold_seconds
    )
