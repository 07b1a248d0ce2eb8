"""Own a UDP socket on asyncio."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

# A busy socket must not keep timers and other sockets waiting.
MAXIMUM_DATAGRAMS_PER_WAKEUP = 64

OnDatagram = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """Read whatever has arrived at each wake, and send without waiting.

    The library's own datagram transport wakes once for each datagram.
    """

    __slots__ = ("_socket", "_on_datagram", "_maximum_bytes")

    def __init__(self, on_datagram: OnDatagram, maximum_bytes: int) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._on_datagram = on_datagram
        self._maximum_bytes = maximum_bytes

    @property
    def address(self) -> tuple[str, int]:
        """Return the address and port that the socket has."""
        host, port = self._socket.getsockname()
        return host, port

    def open(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        port: int,
        buffer_bytes: int = 0,
    ) -> None:
        """Begin to read, or raise `OSError` if the address is taken."""
        if buffer_bytes:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self._socket.bind((host, port))
        loop.add_reader(self._socket.fileno(), self._read)

    def send(self, datagram: bytes, endpoint: tuple[str, int]) -> bool:
        """Send a datagram and return whether the system took it."""
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
                # Nothing more has arrived, or an earlier datagram was refused.
                return
            self._on_datagram(datagram, sender)
