"""Keep what is known of every backend server and who watches over which."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kingcuppulley.backend_servers.records import TargetRecord, TargetState
from kingcuppulley.internal.rendezvous import hash_name

SILENCE_SECONDS = 3.0
GONE_RECORD_RETENTION_SECONDS = 600.0


class Directory:
    """Hold the newest record of each backend server on one entry host.

    Announcements are leases: the host that stewards a backend server stores a deadline
    with each, and marks the server gone once it has passed.  Records travel to all
    other hosts; the larger pair of incarnation and revision wins everywhere.
    """

    def __init__(self) -> None:
        self._records: dict[str, TargetRecord] = {}
        self._announced_until: dict[str, float] = {}
        self._gone_until: dict[str, float] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """Return a number that is equal on hosts that hold equal records."""
        return self._digest

    @property
    def records(self) -> list[TargetRecord]:
        """Return every record."""
        return list(self._records.values())

    def get(self, name: str) -> TargetRecord | None:
        """Return the record of a backend server, or None."""
        return self._records.get(name)

    def of_service(self, service: str, zone: str | None = None) -> list[TargetRecord]:
        """Return the records of a service, of one zone or of all."""
        return [
            record
            for record in self._records.values()
            if record.service == service and zone in (None, record.zone)
        ]

    def merge(self, records: Iterable[TargetRecord]) -> list[TargetRecord]:
        """Take another host's records and return those that were news."""
        news = []
        for record in records:
            known = self._records.get(record.name)
            if known is None or known.order < record.order:
                self._store(record)
                news.append(record)
        return news

    def record_announcement(
        self, record: TargetRecord, now: float
    ) -> TargetRecord | None:
        """Take an announcement and return the record to spread if it is news."""
        known = self._records.get(record.name)
        if known is not None and record.incarnation < known.incarnation:
            return None
        self._announced_until[record.name] = now + SILENCE_SECONDS
        if known is None or record.incarnation > known.incarnation:
            return self._store(msgspec.structs.replace(record, revision=1))
        state = record.state
        if known.state is TargetState.GONE and state is not TargetState.DRAINING:
            # It was silent for a while, and nobody knows what it went through.
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
        """Return whether an announcement tells more than that the server lives."""
        known = self._records.get(record.name)
        if known is None:
            return True
        same = msgspec.structs.replace(
            record, revision=known.revision, proven_slots=known.proven_slots
        )
        return same != known

    def refresh(self, names: Iterable[str], now: float) -> list[str]:
        """Extend the deadlines of servers that live, and return those marked gone."""
        returned = []
        for name in names:
            record = self._records.get(name)
            if record is None:
                continue
            self._announced_until[name] = now + SILENCE_SECONDS
            if record.state is TargetState.GONE:
                returned.append(name)
        return returned

    def expire(self, watched: Iterable[str], now: float) -> list[TargetRecord]:
        """Mark watched backend servers gone that were silent, and return them.

        A host that has just become the steward grants each server one whole period
        of silence before it judges.
        """
        gone = []
        for name in watched:
            record = self._records[name]
            if record.state is TargetState.GONE:
                continue
            deadline = self._announced_until.setdefault(name, now + SILENCE_SECONDS)
            if deadline <= now:
                gone.append(self.set_state(name, TargetState.GONE))
        return gone

    def set_state(self, name: str, state: TargetState) -> TargetRecord:
        """Change the state of a backend server and return the record to spread."""
        known = self._records[name]
        return self._store(
            msgspec.structs.replace(
                known, state=state, revision=known.revision + 1, proven_slots=0
            )
        )

    def record_proven_slots(self, name: str, slots: int) -> TargetRecord:
        """Note how many slots a server has proved to bear, and return its record."""
        known = self._records[name]
        revision = known.revision + 1
        return self._store(
            msgspec.structs.replace(known, revision=revision, proven_slots=slots)
        )

    def clear_expiry(self, name: str) -> None:
        """Drop the deadline of a backend server that another host now watches."""
        self._announced_until.pop(name, None)

    def evict_gone(self, now: float) -> None:
        """Drop records of servers that have been gone for long."""
        for name, record in list(self._records.items()):
            if record.state is not TargetState.GONE:
                self._gone_until.pop(name, None)
            elif (
                self._gone_until.setdefault(name, now + GONE_RECORD_RETENTION_SECONDS)
                <= now
            ):
                self._digest ^= _digest_of(record)
                del self._records[name]
                del self._gone_until[name]

    def _store(self, record: TargetRecord) -> TargetRecord:
        known = self._records.get(record.name)
        if known is not None:
            self._digest ^= _digest_of(known)
        self._digest ^= _digest_of(record)
        self._records[record.name] = record
        return record


def _digest_of(record: TargetRecord) -> int:
    return hash_name(f"{record.name} {record.incarnation} {record.revision}")
