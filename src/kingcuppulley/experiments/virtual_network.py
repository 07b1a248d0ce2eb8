"""Connect several hosts in one process on a virtual clock.

The network and the journal stand in for the real ones in measurements.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any


class VirtualNetwork:
    """Deliver messages without delay and count each host's messages and bytes.

    The caller sets `now`, in seconds. Sizes are those of the encoded messages.
    Messages that a host sends to itself are delivered but not counted.
    """

    def __init__(self, encode: Callable[[str, Any], bytes], now: float) -> None:
        self._encode = encode
        self._queue: deque[tuple[str, str, Any]] = deque()
        self._receivers: dict[str, Callable[[str, Any, float], None]] = {}
        self.now = now
        self.bytes_sent: Counter[str] = Counter()
        self.bytes_received: Counter[str] = Counter()
        self.messages_received: Counter[str] = Counter()

    def attach(self, name: str, receive: Callable[[str, Any, float], None]) -> None:
        """Deliver the messages to the named host to `receive`."""
        self._receivers[name] = receive

    def sender(self, name: str) -> VirtualSender:
        """Return a sender for the named host."""
        return VirtualSender(self, name)

    def enqueue(self, source: str, destination: str, message: Any) -> None:
        """Count a message to another host, and add any message to the queue."""
        if source != destination:
            size = len(self._encode(source, message))
            self.bytes_sent[source] += size
            self.bytes_received[destination] += size
            self.messages_received[destination] += 1
        self._queue.append((source, destination, message))

    def deliver_all(self) -> None:
        """Deliver messages, in the order sent, until the queue is empty.

        Messages to hosts that are not attached are dropped.
        """
        while self._queue:
            source, destination, message = self._queue.popleft()
            receive = self._receivers.get(destination)
            if receive is not None:
                receive(source, message, self.now)

    def reset_counts(self) -> None:
        """Set all counts to zero."""
        self.bytes_sent.clear()
        self.bytes_received.clear()
        self.messages_received.clear()


class VirtualSender:
    """Send the messages of one host over a virtual network."""

    __slots__ = ("_network", "_name")

    def __init__(self, network: VirtualNetwork, name: str) -> None:
        self._network = network
        self._name = name

    def send(self, host: str, message: Any) -> None:
        """Enqueue a message to a host."""
        self._network.enqueue(self._name, host, message)


class MemoryJournal:
    """Keep journal records in memory, for measurements that exclude the disk."""

    def __init__(self) -> None:
        self._records: list[bytes] = []

    @property
    def size_bytes(self) -> int:
        """Return the total size of the records."""
        return sum(len(record) for record in self._records)

    def read(self) -> Any:
        """Yield the records, oldest first."""
        yield from list(self._records)

    def append(self, records: Any) -> None:
        """Append records."""
        self._records.extend(records)

    def rewrite(self, records: Any) -> None:
        """Replace all records with the given ones."""
        self._records = list(records)
