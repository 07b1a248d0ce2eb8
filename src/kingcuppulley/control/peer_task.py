"""Exchange messages with control hosts and with the hosts that poll this process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kingcuppulley.control.messages import (
    CODEC,
    Body,
    Envelope,
)
from kingcuppulley.errors import MalformedMessageError
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.peer_link import PeerLink
from kingcuppulley.internal.reactor import ReaderReactor, Timer

# Limit on known addresses, the configured ones included.
MAXIMUM_REPLY_ADDRESSES = 2048


class ControlReceiver(Protocol):
    """Handle messages from control hosts and from hosts that poll."""

    def receive(self, host: str, body: Body, now: float) -> None:
        """Handle one message."""


class ControlPeers:
    """Send and receive control messages.

    The addresses of some hosts are configured.  Any other sender is reached at the
    reply address in its first message.
    """

    def __init__(
        self,
        name: str,
        listen_address: str,
        addresses: dict[str, str],
        reactor: ReaderReactor,
        timer: Timer,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._own_address = listen_address
        self._addresses = dict(addresses)
        self._timer = timer
        self._clock = clock
        self._metrics = metrics
        self._receiver: ControlReceiver | None = None
        self._link = PeerLink(listen_address, self._receive, reactor, metrics)

    def start(self, receiver: ControlReceiver) -> None:
        """Start to deliver messages to a receiver."""
        self._receiver = receiver
        self._link.start()

    def stop(self) -> None:
        """Close the link."""
        self._link.stop()

    def send(self, host: str, message: Body) -> None:
        """Send a message to a host by name; drop it if the address is not known."""
        if host == self._name:
            self._timer.callLater(0, self._deliver, host, message)
            return
        address = self._addresses.get(host)
        if address is not None:
            envelope = Envelope(self._name, self._own_address, message)
            self._link.send(address, CODEC.encode(envelope))

    def _receive(self, data: bytes) -> None:
        try:
            envelope = CODEC.decode(data)
        except MalformedMessageError:
            self._metrics.count("control_messages_malformed")
            return
        if envelope.sender not in self._addresses:
            if len(self._addresses) >= MAXIMUM_REPLY_ADDRESSES:
                self._metrics.count("control_messages_of_strangers")
                return
            self._addresses[envelope.sender] = envelope.reply_to
        self._deliver(envelope.sender, envelope.body)

    def _deliver(self, sender: str, body: Body) -> None:
        if self._receiver is not None:
            self._receiver.receive(sender, body, self._clock())
