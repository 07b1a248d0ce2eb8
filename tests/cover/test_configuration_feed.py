"""Check that entry hosts get changes after a control host stopped to answer."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from kingcuppulley.control.distribution import (
    FALLBACK_VALIDITY_SECONDS,
    POLL_INTERVAL_SECONDS,
    POLL_TIMEOUT_SECONDS,
    Publisher,
)
from kingcuppulley.control.messages import Body, Poll
from kingcuppulley.control.registers import Register
from kingcuppulley.entry_hosts.configuration_feed import ConfigurationFeed

CONTROL_HOSTS = ["control-1", "control-2", "control-3"]
ENTRY_HOSTS = ["a1", "a2"]
KEY = "zone/zone-b"
STEP_SECONDS = 0.05


def register(version: int) -> Register:
    return Register(KEY, version, version, b"{}", [])


class Sender:
    def __init__(self, network: Network, name: str) -> None:
        self._network = network
        self._name = name

    def send(self, host: str, body: Body) -> None:
        self._network.in_flight.append((self._name, host, body))


class Network:
    """Run three control hosts and the two entry hosts of one zone; no message is lost.

    Control hosts in `silent` answer no poll.
    """

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.silent: set[str] = set()
        self.in_flight: list[tuple[str, str, Body]] = []
        self.sent_registers: Counter[tuple[str, str]] = Counter()
        self.publishers = {name: Publisher(name) for name in CONTROL_HOSTS}
        generator = Random(seed)
        self.feeds = {
            name: ConfigurationFeed(
                name,
                CONTROL_HOSTS,
                [other for other in ENTRY_HOSTS if other != name],
                Sender(self, name),
                lambda _: None,
                generator,
            )
            for name in ENTRY_HOSTS
        }

    def choose(self, version: int) -> None:
        for publisher in self.publishers.values():
            publisher.publish(register(version))

    def run_until(self, end: float) -> None:
        while self.now < end:
            self.now += STEP_SECONDS
            for feed in self.feeds.values():
                feed.tick(self.now)
            in_flight, self.in_flight = self.in_flight, []
            for source, destination, body in in_flight:
                self._deliver(source, destination, body)

    def versions(self) -> list[int]:
        return [feed.versions.get(KEY, 0) for feed in self.feeds.values()]

    def _deliver(self, source: str, destination: str, body: Body) -> None:
        if destination in self.feeds:
            self.feeds[destination].receive(source, body, self.now)
        elif isinstance(body, Poll) and destination not in self.silent:
            answer = self.publishers[destination].answer(body)
            if answer.registers:
                self.sent_registers[destination, source] += 1
            self.in_flight.append((destination, source, answer))


@pytest.mark.parametrize("first_seed", range(0, 300, 50))
def test_a_change_arrives_after_one_control_host_was_silent(first_seed: int):
    """Two hosts that turned to each other must not stay with each other.

    `control-1` answers no poll for some seconds, and a change is chosen later.
    """
    late = []
    for seed in range(first_seed, first_seed + 50):
        network = Network(seed)
        network.choose(1)
        network.run_until(5.0)
        network.silent = {"control-1"}
        network.run_until(8.6)
        network.silent = set()
        network.run_until(15.0)
        network.choose(2)
        network.run_until(
            15.0
            + FALLBACK_VALIDITY_SECONDS
            + POLL_TIMEOUT_SECONDS
            + 2 * POLL_INTERVAL_SECONDS
        )
        if network.versions() != [2, 2]:
            late.append(seed)
    assert late == []


def test_a_host_that_reaches_no_control_host_follows_its_neighbour():
    network = Network(1)
    network.choose(1)
    network.run_until(3.0)
    network.silent = set(CONTROL_HOSTS)
    network.run_until(30.0)
    network.feeds["a1"]._store_register(register(7))
    network.run_until(60.0)
    assert network.versions() == [7, 7]


def test_a_host_that_returns_to_a_source_gets_nothing_twice():
    """A change of source must not cost a snapshot each time."""
    network = Network(3)
    network.choose(1)
    for cycle in range(6):
        network.run_until(16.0 * cycle + 8.0)
        network.silent = set(CONTROL_HOSTS)
        network.run_until(16.0 * cycle + 16.0)
        network.silent = set()
    assert len(network.sent_registers) > 2
    assert set(network.sent_registers.values()) == {1}
