"""Run the link to the other entry hosts."""

from __future__ import annotations

from collections.abc import Callable

from kingcuppulley.entry_hosts.host import EntryHost
from kingcuppulley.entry_hosts.membership import HostAddress
from kingcuppulley.entry_hosts.messages import (
    CODEC,
    Body,
    Envelope,
)
from kingcuppulley.errors import MalformedMessageError
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.peer_link import PeerLink
from kingcuppulley.internal.reactor import ReaderReactor, Timer


class EntryPeers:
    """Send messages to entry hosts, and pass those received to this one.

    A message of the host to itself takes the same path, without the link.
    """

    def __init__(
        self,
        own: HostAddress,
        hosts: list[HostAddress],
        incarnation: int,
        reactor: ReaderReactor,
        timer: Timer,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._own = own
        self._addresses = {
            host.name: f"tcp://{host.host}:{host.peer_port}" for host in hosts
        }
        self._incarnation = incarnation
        self._timer = timer
        self._clock = clock
        self._metrics = metrics
        self.host: EntryHost | None = None
        self._link = PeerLink(
            self._addresses[own.name], self._receive, reactor, metrics
        )

    def start(self, host: EntryHost) -> None:
        """Start the link and pass received messages to an entry host."""
        self.host = host
        self._link.start()

    def stop(self) -> None:
        """Close the link."""
        self._link.stop()

    def send(self, host: str, message: Body) -> None:
        """Send a message to an entry host by its name."""
        if host == self._own.name:
            # Deliver later, not within this call: the host's methods are not reentrant.
            self._timer.callLater(0, self._deliver, host, message)
            return
        envelope = Envelope(self._own.name, self._incarnation, message)
        self._link.send(self._addresses[host], CODEC.encode(envelope))

    def _receive(self, data: bytes) -> None:
        try:
            envelope = CODEC.decode(data)
        except MalformedMessageError:
            self._metrics.count("peer_messages_malformed")
            return
        if envelope.sender not in self._addresses:
            self._metrics.count("peer_messages_of_strangers")
            return
        self._deliver(envelope.sender, envelope.body)

    def _deliver(self, sender: str, body: Body) -> None:
        if self.host is not None:
            self.host.receive(sender, body, self._clock())
