"""Carry messages between the system's own processes over pynng push and pull."""

from __future__ import annotations

from collections.abc import Callable

import pynng
from eliot import write_traceback

from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.reactor import ReaderReactor

SEND_BUFFER_MESSAGES = 1024
RECEIVE_BUFFER_MESSAGES = 4096
MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024
RECONNECT_MILLISECONDS = 100
MAXIMUM_RECONNECT_MILLISECONDS = 1000
MESSAGES_PER_TURN = 256


class PeerLink:
    """Own the sockets to and from other processes.

    Messages may be lost, and every protocol above copes with that: a queue to a host
    that is down or cut off fills up and then drops, so a silent peer costs bounded
    memory and never blocks.
    """

    def __init__(
        self,
        listen_address: str,
        on_data: Callable[[bytes], None],
        reactor: ReaderReactor,
        metrics: Metrics,
    ) -> None:
        self._on_data = on_data
        self._reactor = reactor
        self._metrics = metrics
        self._outgoing: dict[str, pynng.Push0] = {}
        self._incoming = pynng.Pull0(
            listen=listen_address, recv_buffer_size=RECEIVE_BUFFER_MESSAGES
        )
        self._incoming.recv_max_size = MAXIMUM_MESSAGE_BYTES
        self._descriptor = self._incoming.recv_fd

    def start(self) -> None:
        """Begin to take messages."""
        self._reactor.addReader(self)

    def send(self, address: str, data: bytes) -> None:
        """Send a message, or drop it if the peer's queue is full."""
        socket = self._outgoing.get(address)
        if socket is None:
            socket = self._dial(address)
        try:
            socket.send(data, block=False)
        except (pynng.TryAgain, pynng.Timeout):
            self._metrics.count("peer_messages_dropped")
            return
        self._metrics.count("peer_messages_sent")
        self._metrics.count("peer_bytes_sent", len(data))

    def stop(self) -> None:
        """Close every socket."""
        self._reactor.removeReader(self)
        self._incoming.close()
        for socket in self._outgoing.values():
            socket.close()

    def fileno(self) -> int:
        """Return the descriptor that is readable while messages wait."""
        return int(self._descriptor)

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name that the reactor logs."""
        return "peer link"

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Take the end of the descriptor."""

    def doRead(self) -> None:  # noqa: N802
        """Take the messages that wait, up to a bound that lets other tasks run."""
        for _ in range(MESSAGES_PER_TURN):
            try:
                data = self._incoming.recv(block=False)
            except (pynng.TryAgain, pynng.Timeout):
                return
            self._metrics.count("peer_bytes_received", len(data))
            self._pass_on(data)

    def _pass_on(self, data: bytes) -> None:
        # The reactor drops a reader that raises.  A message that this version cannot
        # handle must not make the host deaf to all others, so it is counted and logged.
        try:
            self._on_data(data)
        except Exception:
            self._metrics.count("peer_messages_failed")
            write_traceback()

    def _dial(self, address: str) -> pynng.Push0:
        socket = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
        socket.reconnect_time_min = RECONNECT_MILLISECONDS
        socket.reconnect_time_max = MAXIMUM_RECONNECT_MILLISECONDS
        socket.dial(address, block=False)
        self._outgoing[address] = socket
        return socket
