"""Send and receive UDP datagrams on asyncio."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

# Bounds the reads of one wakeup, so that a busy socket does not delay timers and other
# sockets.
MAXIMUM_DATAGRAMS_PER_WAKEUP = 64

DatagramCallback = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """Own a UDP socket: read several datagrams per wakeup, and send without blocking.

    asyncio's own datagram transport reads only one datagram per wakeup.
    """

    __slots__ = ("_socket", "_on_datagram", "_maximum_bytes")

    def __init__(self, on_datagram: DatagramCallback, maximum_bytes: int) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._on_datagram = on_datagram
        self._maximum_bytes = maximum_bytes

    @property
    def address(self) -> tuple[str, int]:
        """Return the address and port that the socket is bound to."""
        host, port = self._socket.getsockname()
        return host, port

    def open(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        port: int,
        buffer_bytes: int = 0,
    ) -> None:
        """Start to read, or raise `OSError` if the address is in use.

        `buffer_bytes` is the size of the receive buffer; 0 leaves the system's default.
        """
        if buffer_bytes:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self._socket.bind((host, port))
        loop.add_reader(self._socket.fileno(), self._read)

    def send(self, datagram: bytes, endpoint: tuple[str, int]) -> bool:
        """Send a datagram and return whether the system accepted it."""
        try:
            self._socket.sendto(datagram, endpoint)
        except OSError:
            return False
        return True

    def _read(self) -> None:
        for _ in range(MAXIMUM_DATAGRAMS_PER_WAKEUP):
            try:
                datagram, sender = self._socket.recvfrom(self._maximum_bytes)
            except OSError:
                # No datagram is left, or the system reports that one sent earlier was
                # refused.
                return
            self._on_datagram(datagram, sender)
