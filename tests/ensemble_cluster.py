"""Run control hosts that agree on the routing state, on a fake network and clock."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

from kingcuppulley.control.ensemble_host import EnsembleHost, initial_vote
from kingcuppulley.control.ensemble_messages import EnsembleHostMessage
from kingcuppulley.control.state import (
    RoutingState,
    StateChange,
    Vote,
    put_configuration,
    set_zone,
)

STEP_SECONDS = 0.02
ORDER_SECONDS = 0.9


class FakeDisk:
    """Keep a vote durable once its write has ended."""

    def __init__(self) -> None:
        self.vote: Vote | None = None
        self.pending_vote: Vote | None = None
        self.is_stalled = False
        self.is_full = False

    def write(self, vote: Vote) -> None:
        self.pending_vote = vote


class FakeTransport:
    """Pass a host's messages to the fake network."""

    def __init__(self, cluster: EnsembleCluster, host: str) -> None:
        self._cluster = cluster
        self._host = host

    def send(self, host: str, message: EnsembleHostMessage) -> None:
        self._cluster.post(self._host, host, message)

    def state_chosen(self, state: RoutingState) -> None:
        self._cluster.record_chosen(self._host, state)


class Order:
    """Remember an operator's order and how it ended."""

    def __init__(self) -> None:
        self.is_done = False
        self.state: RoutingState | None = None

    def end(self, state: RoutingState | None) -> None:
        self.is_done = True
        self.state = state


class EnsembleCluster:
    """Own the hosts, their disks, the network between them and the clock."""

    def __init__(
        self, hosts: list[str], seeds: list[str], desired: int, seed: int = 0
    ) -> None:
        self.random = Random(seed)
        self.now = 1000.0
        self.seeds = seeds
        self.desired = desired
        self.disks = {host: FakeDisk() for host in hosts}
        self.running: dict[str, EnsembleHost] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.chosen: dict[int, RoutingState] = {}
        self._messages: list[tuple[float, int, str, str, EnsembleHostMessage]] = []
        self._ticket = count()
        self._starts = count(1)
        for host in hosts:
            self.start(host, is_first=True)

    def start(self, host: str, is_first: bool = False) -> None:
        disk = self.disks.setdefault(host, FakeDisk())
        disk.pending_vote = None
        process = f"process-{next(self._starts)}"
        if disk.vote is None:
            disk.vote = initial_vote(host, self.seeds, f"disk:{process}", is_first)
        self.running[host] = EnsembleHost(
            host,
            f"zone-{host[-1]}",
            process,
            disk.vote,
            disk,
            FakeTransport(self, host),
            self.seeds,
            self.desired,
            Random(self.random.random()),
            self.now,
        )

    def crash(self, host: str) -> None:
        self.running.pop(host, None)
        disk = self.disks[host]
        # A write that was under way may or may not have reached the disk.
        if disk.pending_vote is not None and self.random.random() < 0.5:
            disk.vote = disk.pending_vote
        disk.pending_vote = None

    def wipe(self, host: str) -> None:
        self.crash(host)
        self.disks[host].vote = None

    def cut(self, host: str, other: str) -> None:
        self.cuts |= {(host, other), (other, host)}

    def isolate(self, host: str) -> None:
        for other in self.disks:
            if other != host:
                self.cut(host, other)

    def heal(self) -> None:
        self.cuts.clear()
        self.loss = 0.0

    def post(self, host: str, other: str, message: EnsembleHostMessage) -> None:
        if (host, other) in self.cuts or self.random.random() < self.loss:
            return
        arrival = self.now + self.random.uniform(0.0005, 0.004)
        if self.loss and self.random.random() < 0.1:
            arrival += self.random.uniform(0.0, 0.5)
        entry = (arrival, next(self._ticket), host, other, message)
        heapq.heappush(self._messages, entry)

    def record_chosen(self, host: str, state: RoutingState) -> None:
        held = self.chosen.setdefault(state.revision, state)
        assert held == state, f"{host} holds another state of {state.revision}"

    def put(self, host: str, version: int, document: bytes = b"document") -> Order:
        return self.order(host, put_configuration(version, document))

    def set_zone(self, host: str, zone: str, in_service: bool) -> Order:
        return self.order(host, set_zone(zone, in_service))

    def order(self, host: str, change: StateChange) -> Order:
        order = Order()
        if host in self.running:
            self.running[host].change(change, order.end, self.now + ORDER_SECONDS)
        return order

    def read(self, host: str) -> Order:
        order = Order()
        if host in self.running:
            self.running[host].read(order.end, self.now + ORDER_SECONDS)
        return order

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self._step(min(end, self.now + STEP_SECONDS))

    def run_until_done(self, order: Order) -> Order:
        for _ in range(60):
            if order.is_done:
                break
            self.run(STEP_SECONDS)
        return order

    def _step(self, until: float) -> None:
        while self._messages and self._messages[0][0] <= until:
            arrival, _, host, other, message = heapq.heappop(self._messages)
            self.now = max(self.now, arrival)
            if other in self.running and (host, other) not in self.cuts:
                self.running[other].receive(host, message, self.now)
            self._write()
        self.now = until
        for host in list(self.running):
            self.running[host].tick(self.now)
        self._write()

    def _write(self) -> None:
        for host, node in list(self.running.items()):
            disk = self.disks[host]
            while disk.pending_vote is not None and not disk.is_stalled:
                vote, disk.pending_vote = disk.pending_vote, None
                if not disk.is_full:
                    disk.vote = vote
                node.vote_written(not disk.is_full, self.now)
