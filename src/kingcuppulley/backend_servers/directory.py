"""Hold the records of backend servers on one entry host, and expire them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kingcuppulley.backend_servers.records import TargetRecord, TargetState
from kingcuppulley.internal.rendezvous import hash_name

ANNOUNCEMENT_TIMEOUT_SECONDS = 3.0
GONE_RECORD_RETENTION_SECONDS = 600.0


class Directory:
    """Hold the newest record of each backend server on one entry host.

    An announcement is a lease: the host that is a backend server's slot coordinator
    stores a deadline with each announcement, and marks the server as gone once the
    deadline has passed.  Records are sent to all other entry hosts.  On every host the
    record with the larger pair of incarnation and revision wins.
    """

    def __init__(self) -> None:
        self._records: dict[str, TargetRecord] = {}
        self._announcement_deadlines: dict[str, float] = {}
        self._eviction_deadlines: dict[str, float] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """Return a digest that is equal on hosts with equal records."""
        return self._digest

    @property
    def records(self) -> list[TargetRecord]:
        """Return the records of all backend servers, gone ones included."""
        return list(self._records.values())

    def get(self, name: str) -> TargetRecord | None:
        """Return the record of a backend server, or None."""
        return self._records.get(name)

    def of_service(self, service: str, zone: str | None = None) -> list[TargetRecord]:
        """Return the records of a service in one zone, or in all zones."""
        return [
            record
            for record in self._records.values()
            if record.service == service and zone in (None, record.zone)
        ]

    def merge(self, records: Iterable[TargetRecord]) -> list[TargetRecord]:
        """Store those of another host's records that are newer, and return them."""
        stored = []
        for record in records:
            known = self._records.get(record.name)
            if known is None or known.order < record.order:
                self._store(record)
                stored.append(record)
        return stored

    def record_announcement(
        self, record: TargetRecord, now: float
    ) -> TargetRecord | None:
        """Extend a server's deadline and store its record if anything changed.

        Return the stored record, which is to be sent to the other hosts, or None.
        """
        known = self._records.get(record.name)
        if known is not None and record.incarnation < known.incarnation:
            return None
        self._announcement_deadlines[record.name] = now + ANNOUNCEMENT_TIMEOUT_SECONDS
        if known is None or record.incarnation > known.incarnation:
            return self._store(msgspec.structs.replace(record, revision=1))
        state = record.state
        if known.state is TargetState.GONE and state is not TargetState.DRAINING:
            # The server's announcements had timed out, and its state in the meantime
            # is unknown.
            state = TargetState.COLD
        newer = msgspec.structs.replace(
            record,
            state=state,
            revision=known.revision + 1,
            proven_slots=known.proven_slots,
        )
        if msgspec.structs.replace(newer, revision=known.revision) == known:
            return None
        return self._store(newer)

    def differs_from_known(self, record: TargetRecord) -> bool:
        """Return whether an announcement differs from the stored record."""
        known = self._records.get(record.name)
        if known is None:
            return True
        same = msgspec.structs.replace(
            record, revision=known.revision, proven_slots=known.proven_slots
        )
        return same != known

    def refresh(self, names: Iterable[str], now: float) -> list[str]:
        """Extend servers' deadlines and return the names of those marked as gone."""
        gone = []
        for name in names:
            record = self._records.get(name)
            if record is None:
                continue
            self._announcement_deadlines[name] = now + ANNOUNCEMENT_TIMEOUT_SECONDS
            if record.state is TargetState.GONE:
                gone.append(name)
        return gone

    def expire(self, coordinated: Iterable[str], now: float) -> list[TargetRecord]:
        """Mark servers as gone whose announcements timed out, and return their records.

        `coordinated` names the servers that this host coordinates.  A host that has
        just become the coordinator of a server stores no deadline for it yet, and
        first waits for `ANNOUNCEMENT_TIMEOUT_SECONDS`.
        """
        gone = []
        for name in coordinated:
            record = self._records[name]
            if record.state is TargetState.GONE:
                continue
            deadline = self._announcement_deadlines.setdefault(
                name, now + ANNOUNCEMENT_TIMEOUT_SECONDS
            )
            if deadline <= now:
                gone.append(self.set_state(name, TargetState.GONE))
        return gone

    def set_state(self, name: str, state: TargetState) -> TargetRecord:
        """Change the state of a backend server and return its new record.

        The proven slots start again from 0.
        """
        known = self._records[name]
        return self._store(
            msgspec.structs.replace(
                known, state=state, revision=known.revision + 1, proven_slots=0
            )
        )

    def record_proven_slots(self, name: str, slots: int) -> TargetRecord:
        """Store the slot limit that a server has reached, and return its new record."""
        known = self._records[name]
        revision = known.revision + 1
        return self._store(
            msgspec.structs.replace(known, revision=revision, proven_slots=slots)
        )

    def clear_expiry(self, name: str) -> None:
        """Remove the deadline of a backend server that another host coordinates now."""
        self._announcement_deadlines.pop(name, None)

    def evict_gone(self, now: float) -> None:
        """Remove servers that were gone for `GONE_RECORD_RETENTION_SECONDS`."""
        for name, record in list(self._records.items()):
            if record.state is not TargetState.GONE:
                self._eviction_deadlines.pop(name, None)
            elif (
                self._eviction_deadlines.setdefault(
                    name, now + GONE_RECORD_RETENTION_SECONDS
                )
                <= now
            ):
                self._digest ^= _digest_of(record)
                del self._records[name]
                del self._eviction_deadlines[name]

    def _store(self, record: TargetRecord) -> TargetRecord:
        known = self._records.get(record.name)
        if known is not None:
            self._digest ^= _digest_of(known)
        self._digest ^= _digest_of(record)
        self._records[record.name] = record
        return record


def _digest_of(record: TargetRecord) -> int:
    return hash_name(f"{record.name} {record.incarnation} {record.revision}")
