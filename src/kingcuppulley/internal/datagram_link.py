"""Carry messages between the system's own processes as datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.datagram_socket import DatagramSocket

MAXIMUM_DATAGRAM_BYTES = 60_000


class DatagramLink:
    """Exchange typed messages with other processes.

    A datagram has no connection that could go silent, or that a restarted peer would
    have to notice; every protocol above copes with loss.
    """

    def __init__(
        self,
        messages: Any,
        on_message: Callable[[str, Any], None],
        metrics: Metrics,
    ) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(messages)
        self._on_message = on_message
        self._metrics = metrics
        self._addresses: dict[str, tuple[str, int]] = {}
        self._socket = DatagramSocket(self._receive, MAXIMUM_DATAGRAM_BYTES)

    def open(self, loop: asyncio.AbstractEventLoop, host: str, port: int) -> None:
        """Begin to read, or raise `OSError` if the address is taken."""
        self._socket.open(loop, host, port)

    def send(self, address: str, message: object) -> None:
        """Send a message to `HOST:PORT`, or count it as dropped."""
        data = self._encoder.encode(message)
        if len(data) > MAXIMUM_DATAGRAM_BYTES:
            self._metrics.count("peer_messages_too_large")
            return
        target = self._addresses.get(address)
        if target is None:
            host, _, port = address.rpartition(":")
            target = self._addresses[address] = (host, int(port))
        if not self._socket.send(data, target):
            self._metrics.count("peer_messages_dropped")
            return
        self._metrics.count("peer_messages_sent")
        self._metrics.count("peer_bytes_sent", len(data))

    def _receive(self, datagram: bytes, sender: tuple[str, int]) -> None:
        try:
            message = self._decoder.decode(datagram)
        except msgspec.MsgspecError:
            self._metrics.count("peer_messages_malformed")
            return
        self._on_message(f"{sender[0]}:{sender[1]}", message)
