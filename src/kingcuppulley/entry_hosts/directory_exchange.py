"""Tell other entry hosts what is known of backend servers, and only what is news."""

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

ALIVE_SECONDS = 1.0
DIFFERENCE_SECONDS = 1.0
RECORDS_PER_UPDATE = 64


class DirectoryDifference:
    """Hold a difference between two hosts' records and when it is acted on."""

    __slots__ = ("difference", "deadline")

    def __init__(self, difference: int, deadline: float) -> None:
        self.difference = difference
        self.deadline = deadline


class DirectoryExchange:
    """Send records that changed, names of servers that live, and requests for all."""

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
        """Forward an announcement to its coordinator, in full only on a change."""
        if self._directory.differs_from_known(record):
            self._sender.send(coordinator, AnnouncementSeen(record))
        else:
            self._alive_names.setdefault(coordinator, []).append(record.name)

    def spread(self, records: list[TargetRecord], hosts: Iterable[str]) -> None:
        """Send records to other hosts."""
        for host in hosts:
            if host != self._name:
                self._send(host, records)

    def send_all(self, host: str) -> None:
        """Send every record to a host that asked for them."""
        self._send(host, self._directory.records)

    def compare_digest(self, host: str, digest: int, now: float) -> None:
        """Ask a host for its records if they have differed for a while.

        Records that are on their way make digests differ for a moment.  Asking for all
        of them only pays once one difference has stood.
        """
        if digest == self._directory.digest:
            self._differences.pop(host, None)
            return
        difference = digest ^ self._directory.digest
        known = self._differences.get(host)
        if known is None or known.difference != difference:
            deadline = now + DIFFERENCE_SECONDS
            self._differences[host] = DirectoryDifference(difference, deadline)
        elif now >= known.deadline:
            del self._differences[host]
            self._sender.send(host, TargetRequest())

    def tick(self, now: float) -> None:
        """Pass on the names of servers that announced themselves with nothing new."""
        if now < self._alive_deadline:
            return
        self._alive_deadline = now + ALIVE_SECONDS
        for coordinator, names in self._alive_names.items():
            self._sender.send(coordinator, AnnouncementsAlive(names))
        self._alive_names = {}

    def _send(self, host: str, records: list[TargetRecord]) -> None:
        # An empty answer is sent as well: it tells that there is nothing to know.
        for start in range(0, max(1, len(records)), RECORDS_PER_UPDATE):
            piece = records[start : start + RECORDS_PER_UPDATE]
            self._sender.send(host, TargetUpdate(piece))
