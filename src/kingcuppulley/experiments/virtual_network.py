"""Carry encoded messages between cores in one process, on a clock that is set."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any


class VirtualNetwork:
    """Deliver messages at once and count the bytes that each host sends and takes."""

    def __init__(self, encode: Callable[[str, Any], bytes], now: float) -> None:
        self._encode = encode
        self._queue: deque[tuple[str, str, Any]] = deque()
        self._receivers: dict[str, Callable[[str, Any, float], None]] = {}
        self.now = now
        self.bytes_sent: Counter[str] = Counter()
        self.bytes_received: Counter[str] = Counter()
        self.messages_received: Counter[str] = Counter()

    def attach(self, name: str, receive: Callable[[str, Any, float], None]) -> None:
        """Deliver a host's messages to a function."""
        self._receivers[name] = receive

    def sender(self, name: str) -> VirtualSender:
        """Return what a host sends with."""
        return VirtualSender(self, name)

    def post(self, source: str, target: str, message: Any) -> None:
        """Take a message for delivery."""
        if source != target:
            size = len(self._encode(source, message))
            self.bytes_sent[source] += size
            self.bytes_received[target] += size
            self.messages_received[target] += 1
        self._queue.append((source, target, message))

    def settle(self) -> None:
        """Deliver until nothing is on its way."""
        while self._queue:
            source, target, message = self._queue.popleft()
            receive = self._receivers.get(target)
            if receive is not None:
                receive(source, message, self.now)

    def forget_counts(self) -> None:
        """Begin to count anew."""
        self.bytes_sent.clear()
        self.bytes_received.clear()
        self.messages_received.clear()


class VirtualSender:
    """Send as one host."""

    __slots__ = ("_network", "_name")

    def __init__(self, network: VirtualNetwork, name: str) -> None:
        self._network = network
        self._name = name

    def send(self, host: str, message: Any) -> None:
        """Send one message."""
        self._network.post(self._name, host, message)


class MemoryJournal:
    """Keep records in memory, where a measurement is not about the disk."""

    def __init__(self) -> None:
        self._records: list[bytes] = []

    @property
    def size_bytes(self) -> int:
        """Return the size of what is kept."""
        return sum(len(record) for record in self._records)

    def read(self) -> Any:
        """Yield the records."""
        yield from list(self._records)

    def append(self, records: Any) -> None:
        """Keep records."""
        self._records.extend(records)

    def rewrite(self, records: Any) -> None:
        """Put these records in the place of all others."""
        self._records = list(records)
