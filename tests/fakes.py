"""Fake the interfaces of the cores: a network, a clock, a disk and packet ports."""

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
        self.log: list[tuple[str, str, Any]] = []

    def sender(self, name: str) -> FakeSender:
        return FakeSender(self, name)

    def cut(self, first: Iterable[str], second: Iterable[str]) -> None:
        others = list(second)
        for one in first:
            self.cut_pairs.update(frozenset((one, other)) for other in others)

    def heal(self) -> None:
        self.cut_pairs.clear()

    def deliver(self, index: int = 0) -> None:
        source, target, message = self.in_flight.pop(index)
        receiver = self.receivers.get(target)
        if receiver is None or frozenset((source, target)) in self.cut_pairs:
            return
        self.log.append((source, target, message))
        receiver(source, message, self.now)

    def settle(self, limit: int = 100_000) -> None:
        for _ in range(limit):
            if not self.in_flight:
                return
            self.deliver()
        raise AssertionError("the messages never end")

    def forget_messages_of(self, name: str) -> None:
        self.in_flight = [m for m in self.in_flight if m[0] != name]


class FakeSender:
    """Send into a fake network as one host."""

    def __init__(self, network: FakeNetwork, name: str) -> None:
        self._network = network
        self._name = name

    def send(self, host: str, message: Any) -> None:
        self._network.in_flight.append((self._name, host, message))


class MemoryJournal:
    """Keep records in memory, fail on request, and hand out copies of the disk."""

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
    """Record what a router sends, and pass packets to other routers if it is told."""

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
            self._fabric.ask(self._name, host, flow)


class FakeFabric:
    """Hold what packet transports sent."""

    def __init__(self) -> None:
        self.delivered: list[tuple[bytes, str]] = []
        self.between_hosts: list[tuple[bytes, str, int]] = []
        self.resets: list[bytes] = []
        self.questions: list[tuple[str, str, int]] = []
        self.ask: Callable[[str, str, int], None] = self._record

    def _record(self, asker: str, host: str, flow: int) -> None:
        self.questions.append((asker, host, flow))


def seeded(seed: int = 1) -> random.Random:
    return random.Random(seed)
