"""Send messages between the system's own processes as UDP datagrams."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.datagram_socket import DatagramSocket
from kingcuppulley.internal.decoding import DECODING_ERRORS

MAXIMUM_DATAGRAM_BYTES = 60_000


class DatagramLink:
    """Exchange typed messages with other processes.

    Datagrams need no connection.  A connection could become unresponsive, and its loss
    would have to be detected when a peer restarts.  Every protocol that uses this link
    tolerates lost messages.  `on_sent` is called with the size of each datagram sent.
    """

    def __init__(
        self,
        message_types: Any,
        on_message: Callable[[str, Any], None],
        metrics: Metrics,
        on_sent: Callable[[int], None] | None = None,
    ) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
            message_types
        )
        self._on_message = on_message
        self._metrics = metrics
        self._on_sent = on_sent
        self._endpoints: dict[str, tuple[str, int]] = {}
        self._bytes_counters: dict[type, str] = {}
        self._socket = DatagramSocket(self._receive, MAXIMUM_DATAGRAM_BYTES)

    def open(self, loop: asyncio.AbstractEventLoop, host: str, port: int) -> None:
        """Start to receive messages, or raise `OSError` if the address is in use."""
        self._socket.open(loop, host, port)

    def send(self, address: str, message: object) -> None:
        """Send a message to `HOST:PORT`, or drop and count it if it cannot be sent."""
        self.send_to_all((address,), message)

    def send_to_all(self, addresses: Iterable[str], message: object) -> None:
        """Send a message to several addresses; it is encoded once."""
        data = self._encoder.encode(message)
        if len(data) > MAXIMUM_DATAGRAM_BYTES:
            self._metrics.count("peer_messages_too_large")
            return
        kind = type(message)
        bytes_counter = self._bytes_counters.get(kind)
        if bytes_counter is None:
            bytes_counter = f"peer_bytes_sent_{_snake_case(kind.__name__)}"
            self._bytes_counters[kind] = bytes_counter
        for address in addresses:
            self._send_data(address, data, bytes_counter)

    def _send_data(self, address: str, data: bytes, bytes_counter: str) -> None:
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            host, _, port = address.rpartition(":")
            endpoint = self._endpoints[address] = (host, int(port))
        if not self._socket.send(data, endpoint):
            self._metrics.count("peer_messages_dropped")
            return
        self._metrics.count("peer_messages_sent")
        self._metrics.count("peer_bytes_sent", len(data))
        self._metrics.count(bytes_counter, len(data))
        if self._on_sent is not None:
            self._on_sent(len(data))

    def _receive(self, datagram: bytes, sender: tuple[str, int]) -> None:
        try:
            message = self._decoder.decode(datagram)
        except DECODING_ERRORS:
            self._metrics.count("peer_messages_malformed")
            return
        self._on_message(f"{sender[0]}:{sender[1]}", message)


def _snake_case(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()
