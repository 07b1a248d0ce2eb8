"""Send messages between the system's own processes over pynng push and pull sockets."""

from __future__ import annotations

from collections.abc import Callable

import pynng
from eliot import write_traceback

from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.reactor import ReaderReactor

SEND_BUFFER_MESSAGES = 1024
RECEIVE_BUFFER_MESSAGES = 4096
MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024
MINIMUM_RECONNECT_INTERVAL_MILLISECONDS = 100
MAXIMUM_RECONNECT_INTERVAL_MILLISECONDS = 1000
MAXIMUM_MESSAGES_PER_WAKEUP = 256


class PeerLink:
    """Own the sockets to and from other processes.

    Messages may be lost, and every protocol that uses this link tolerates that.  The
    queue to a host that is down or unreachable fills up, and further messages are
    dropped, so an unresponsive peer costs bounded memory and never blocks the sender.
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
        """Start to receive messages."""
        self._reactor.addReader(self)

    def send(self, address: str, data: bytes) -> None:
        """Send a message, or drop and count it if the peer's queue is full."""
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
        """Return a descriptor that is readable while received messages are queued."""
        return int(self._descriptor)

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name of this reader in the reactor's log."""
        return "peer link"

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Do nothing when the reactor reports that the descriptor was closed."""

    def doRead(self) -> None:  # noqa: N802
        """Deliver queued messages, up to a bound that lets other tasks run."""
        for _ in range(MAXIMUM_MESSAGES_PER_WAKEUP):
            try:
                data = self._incoming.recv(block=False)
            except (pynng.TryAgain, pynng.Timeout):
                return
            self._metrics.count("peer_bytes_received", len(data))
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        # The reactor removes a reader that raises.  A message that this version cannot
        # handle must not stop the host from receiving others, so the failure is counted
        # and logged.
        try:
            self._on_data(data)
        except Exception:
            self._metrics.count("peer_messages_failed")
            write_traceback()

    def _dial(self, address: str) -> pynng.Push0:
        socket = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
        socket.reconnect_time_min = MINIMUM_RECONNECT_INTERVAL_MILLISECONDS
        socket.reconnect_time_max = MAXIMUM_RECONNECT_INTERVAL_MILLISECONDS
        socket.dial(address, block=False)
        self._outgoing[address] = socket
        return socket
