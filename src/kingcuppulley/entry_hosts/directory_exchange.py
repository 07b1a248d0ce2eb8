"""Send other entry hosts the records of backend servers that they lack."""

from __future__ import annotations

from collections.abc import Iterable

from kingcuppulley.backend_servers.directory import Directory
from kingcuppulley.backend_servers.records import TargetRecord
from kingcuppulley.entry_hosts.messages import (
    AnnouncementsAlive,
    AnnouncementSeen,
    Body,
    TargetRequest,
    TargetUpdate,
)
from kingcuppulley.internal.sender import Sender

ALIVE_INTERVAL_SECONDS = 1.0
DIGEST_DIFFERENCE_TIMEOUT_SECONDS = 1.0
MAXIMUM_RECORDS_PER_UPDATE = 64


class DirectoryDifference:
    """Hold the XOR of a host's digest and the own one.

    If the XOR is still the same at `deadline`, the host's records are requested.
    """

    __slots__ = ("difference", "deadline")

    def __init__(self, difference: int, deadline: float) -> None:
        self.difference = difference
        self.deadline = deadline


class DirectoryExchange:
    """Keep the directories of all entry hosts equal.

    Changed records are sent to the other hosts at once.  Announcements without a change
    are collected and sent to the slot coordinator as names only.  A host whose digest
    differs for too long is asked for all its records.
    """

    def __init__(
        self, name: str, directory: Directory, sender: Sender[Body], now: float
    ) -> None:
        self._name = name
        self._directory = directory
        self._sender = sender
        self._differences: dict[str, DirectoryDifference] = {}
        self._alive_names: dict[str, list[str]] = {}
        self._alive_deadline = now

    def forward_announcement(self, coordinator: str, record: TargetRecord) -> None:
        """Forward an announcement to a slot coordinator, in full only on a change."""
        if self._directory.differs_from_known(record):
            self._sender.send(coordinator, AnnouncementSeen(record))
        else:
            self._alive_names.setdefault(coordinator, []).append(record.name)

    def broadcast(self, records: list[TargetRecord], hosts: Iterable[str]) -> None:
        """Send records to all of the given hosts except this one."""
        for host in hosts:
            if host != self._name:
                self._send(host, records)

    def send_all(self, host: str) -> None:
        """Send every record to a host that requested them."""
        self._send(host, self._directory.records)

    def compare_digest(self, host: str, digest: int, now: float) -> None:
        """Request a host's records if its digest differs for too long.

        Records in transit make digests differ for a short time.  Requesting all records
        pays only once the same difference has lasted for
        `DIGEST_DIFFERENCE_TIMEOUT_SECONDS`.
        """
        if digest == self._directory.digest:
            self._differences.pop(host, None)
            return
        difference = digest ^ self._directory.digest
        recorded = self._differences.get(host)
        if recorded is None or recorded.difference != difference:
            deadline = now + DIGEST_DIFFERENCE_TIMEOUT_SECONDS
            self._differences[host] = DirectoryDifference(difference, deadline)
        elif now >= recorded.deadline:
            del self._differences[host]
            self._sender.send(host, TargetRequest())

    def tick(self, now: float) -> None:
        """Send the names of servers that announced themselves without a change."""
        if now < self._alive_deadline:
            return
        self._alive_deadline = now + ALIVE_INTERVAL_SECONDS
        for coordinator, names in self._alive_names.items():
            self._sender.send(coordinator, AnnouncementsAlive(names))
        self._alive_names = {}

    def _send(self, host: str, records: list[TargetRecord]) -> None:
        # Without records an empty update is sent, which says that there are none.
        for start in range(0, max(1, len(records)), MAXIMUM_RECORDS_PER_UPDATE):
            chunk = records[start : start + MAXIMUM_RECORDS_PER_UPDATE]
            self._sender.send(host, TargetUpdate(chunk))
