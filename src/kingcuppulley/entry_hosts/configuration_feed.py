"""Keep an entry host's configuration up to date and pass it on to its neighbours."""

from __future__ import annotations

import random
from collections.abc import Callable

from kingcuppulley.control.distribution import Publisher, Subscriber
from kingcuppulley.control.messages import Body, Delta, Poll
from kingcuppulley.control.registers import Register
from kingcuppulley.internal.sender import Sender
from kingcuppulley.operators.configuration import Configuration, render_configuration


class ConfigurationFeed:
    """Poll for registers, refuse older ones, and render what is in force.

    What was heard stays in force for as long as nothing newer comes: a host that is
    cut off from every control host keeps serving its zone with it.
    """

    def __init__(
        self,
        epoch: str,
        control_hosts: list[str],
        neighbours: list[str],
        sender: Sender[Body],
        on_configuration: Callable[[Configuration], None],
        generator: random.Random,
    ) -> None:
        self._publisher = Publisher(epoch)
        self._sender = sender
        self._on_configuration = on_configuration
        self._subscriber = Subscriber(
            control_hosts, neighbours, sender, self._take, generator
        )
        self._is_stale = False

    @property
    def versions(self) -> dict[str, int]:
        """Return the version of each register that is in force here."""
        return {r.key: r.version for r in self._publisher.registers}

    def receive(self, host: str, body: Body, now: float) -> None:
        """Take an answer to a poll, or answer a neighbour's."""
        match body:
            case Delta():
                self._subscriber.received(host, body, now)
            case Poll():
                self._sender.send(host, self._publisher.answer(body))
        self._render()

    def tick(self, now: float) -> None:
        """Poll when it is time."""
        self._subscriber.tick(now)

    def _take(self, register: Register) -> None:
        self._is_stale = self._publisher.take(register) or self._is_stale

    def _render(self) -> None:
        if self._is_stale:
            self._is_stale = False
            self._on_configuration(render_configuration(self._publisher.registers))
