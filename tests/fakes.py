"""Fake the network, clock, disk and packet transport of the classes under test."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from kingcuppulley.errors import StorageError


class FakeNetwork:
    """Keep messages in flight until a test delivers, drops or repeats them."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.in_flight: list[tuple[str, str, Any]] = []
        self.receivers: dict[str, Callable[[str, Any, float], None]] = {}
        self.cut_pairs: set[frozenset[str]] = set()
        self.delivered: list[tuple[str, str, Any]] = []

    def sender(self, name: str) -> FakeSender:
        return FakeSender(self, name)

    def cut(self, first: Iterable[str], second: Iterable[str]) -> None:
        others = list(second)
        for name in first:
            self.cut_pairs.update(frozenset((name, other)) for other in others)

    def heal(self) -> None:
        self.cut_pairs.clear()

    def deliver(self, index: int = 0) -> None:
        source, destination, message = self.in_flight.pop(index)
        receiver = self.receivers.get(destination)
        if receiver is None or frozenset((source, destination)) in self.cut_pairs:
            return
        self.delivered.append((source, destination, message))
        receiver(source, message, self.now)

    def deliver_all(self, limit: int = 100_000) -> None:
        for _ in range(limit):
            if not self.in_flight:
                return
            self.deliver()
        raise AssertionError(f"messages remain in flight after {limit} deliveries")

    def drop_messages_from(self, name: str) -> None:
        self.in_flight = [sent for sent in self.in_flight if sent[0] != name]


class FakeSender:
    """Send messages of one host over a fake network."""

    def __init__(self, network: FakeNetwork, name: str) -> None:
        self._network = network
        self._name = name

    def send(self, host: str, message: Any) -> None:
        self._network.in_flight.append((self._name, host, message))


class MemoryJournal:
    """Store records in memory, fail writes while `is_full`, and copy the records."""

    def __init__(self, records: Iterable[bytes] = ()) -> None:
        self.records = list(records)
        self.is_full = False

    @property
    def size_bytes(self) -> int:
        return sum(len(record) for record in self.records)

    def read(self) -> Iterator[bytes]:
        yield from list(self.records)

    def append(self, records: Iterable[bytes]) -> None:
        if self.is_full:
            raise StorageError("memory", "no space left")
        self.records.extend(records)

    def rewrite(self, records: Iterable[bytes]) -> None:
        if self.is_full:
            raise StorageError("memory", "no space left")
        self.records = list(records)

    def copy(self) -> MemoryJournal:
        return MemoryJournal(self.records)


class FakePacketTransport:
    """Record what one router sends to servers, callers and other hosts."""

    def __init__(self, name: str, fabric: FakeFabric) -> None:
        self._name = name
        self._fabric = fabric

    def send_to_target(self, packet: bytes, endpoint: tuple[str, int]) -> None:
        self._fabric.delivered.append((packet, endpoint[0]))

    def send_to_owner(self, packet: bytes, host: str, hops: int) -> None:
        self._fabric.between_hosts.append((packet, host, hops))

    def reset_caller(self, packet: bytes) -> None:
        self._fabric.resets.append(packet)

    def query_flow(self, hosts: list[str], flow: int) -> None:
        for host in hosts:
            self._fabric.send_flow_query(self._name, host, flow)


class FakeFabric:
    """Hold what the packet transports of all hosts sent.

    Flow queries are recorded unless a test replaces `send_flow_query`.
    """

    def __init__(self) -> None:
        self.delivered: list[tuple[bytes, str]] = []
        self.between_hosts: list[tuple[bytes, str, int]] = []
        self.resets: list[bytes] = []
        self.flow_queries: list[tuple[str, str, int]] = []
        self.send_flow_query: Callable[[str, str, int], None] = self._record

    def _record(self, requester: str, host: str, flow: int) -> None:
        self.flow_queries.append((requester, host, flow))


def seeded(seed: int = 1) -> random.Random:
    return random.Random(seed)
