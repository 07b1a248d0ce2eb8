"""Keep an entry host's configuration up to date and serve it to hosts of its zone."""

from __future__ import annotations

import random
from collections.abc import Callable

from kingcuppulley.control.distribution import Publisher, Subscriber
from kingcuppulley.control.messages import Body, Delta, Poll
from kingcuppulley.control.registers import Register
from kingcuppulley.internal.sender import Sender
from kingcuppulley.operators.configuration import Configuration, render_configuration


class ConfigurationFeed:
    """Poll for registers, reject older ones, and render the active configuration.

    The last received registers stay active until newer ones arrive: a host that is cut
    off from every control host continues to serve its zone with them.
    """

    def __init__(
        self,
        epoch: str,
        control_hosts: list[str],
        zone_peers: list[str],
        sender: Sender[Body],
        on_configuration: Callable[[Configuration], None],
        generator: random.Random,
    ) -> None:
        self._publisher = Publisher(epoch)
        self._sender = sender
        self._on_configuration = on_configuration
        self._subscriber = Subscriber(
            control_hosts, zone_peers, sender, self._store_register, generator
        )
        self._has_new_registers = False

    @property
    def versions(self) -> dict[str, int]:
        """Return the version of each active register by its key."""
        return {r.key: r.version for r in self._publisher.registers}

    def receive(self, host: str, body: Body, now: float) -> None:
        """Handle the answer to a poll, or answer the poll of another entry host."""
        match body:
            case Delta():
                self._subscriber.receive_delta(host, body, now)
            case Poll():
                self._sender.send(host, self._publisher.answer(body))
        self._render()

    def tick(self, now: float) -> None:
        """Poll if the next poll is due."""
        self._subscriber.tick(now)

    def _store_register(self, register: Register) -> None:
        self._has_new_registers = (
            self._publisher.publish(register) or self._has_new_registers
        )

    def _render(self) -> None:
        if self._has_new_registers:
            self._has_new_registers = False
            self._on_configuration(render_configuration(self._publisher.registers))
