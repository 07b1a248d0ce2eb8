"""Carry messages between the system's own processes as datagrams."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from eliot import write_traceback
from twisted.internet.protocol import DatagramProtocol

from kingcuppulley.internal.counters import Metrics

MAXIMUM_DATAGRAM_BYTES = 60_000


class DatagramLink(DatagramProtocol):
    """Own the socket to other processes of a deployment that starts from seeds.

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
        try:
            self.transport.socket.sendto(data, target)  # type: ignore[union-attr]
        except OSError:
            self._metrics.count("peer_messages_dropped")
            return
        self._metrics.count("peer_messages_sent")
        self._metrics.count("peer_bytes_sent", len(data))

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Decode a message and pass it on."""
        try:
            message = self._decoder.decode(datagram)
        except msgspec.MsgspecError:
            self._metrics.count("peer_messages_malformed")
            return
        try:
            self._on_message(f"{addr[0]}:{addr[1]}", message)
        except Exception:
            # One message that fails must not make the host deaf to all others.
            self._metrics.count("peer_messages_failed")
            write_traceback()
