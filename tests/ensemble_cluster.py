"""Run control hosts of one ensemble with fake disks, a fake network and a clock."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

import msgspec

from kingcuppulley.control.content_store import ContentStore
from kingcuppulley.control.ensemble_host import EnsembleHost, initial_vote
from kingcuppulley.control.ensemble_messages import EnsembleHostMessage
from kingcuppulley.control.routing_content import RoutingContent
from kingcuppulley.control.state import (
    RoutingState,
    StateChange,
    Vote,
    put_configuration,
    set_zone,
)

STEP_SECONDS = 0.02
OPERATION_TIMEOUT_SECONDS = 0.9


class FakeDisk:
    """Hold a durable vote with its content, and a vote whose write is in progress."""

    def __init__(self) -> None:
        self.vote: Vote | None = None
        self.pending_vote: Vote | None = None
        self.content: bytes | None = None
        self.contents = ContentStore()
        self.is_stalled = False
        self.is_full = False

    def write(self, vote: Vote) -> None:
        self.pending_vote = vote

    def complete_write(self) -> bool | None:
        """End a write in progress; return whether it succeeded, or None."""
        if self.pending_vote is None or self.is_stalled:
            return None
        vote, self.pending_vote = self.pending_vote, None
        if not self.is_full:
            self.store(vote)
        return not self.is_full

    def store(self, vote: Vote) -> None:
        """Make a vote durable, with the content that its state names."""
        self.vote = vote
        reference = vote.state.content_reference
        self.content = None
        if reference is not None:
            self.content = self.contents.encoded(reference)
            assert self.content is not None, "a vote names a content that is missing"

    def load_contents(self) -> ContentStore:
        """Return the contents that a process knows after its start."""
        self.contents = ContentStore()
        if self.content is not None:
            self.contents.add(self.content)
        if self.vote is not None:
            state = self.contents.detach_large(self.vote.state)
            self.vote = msgspec.structs.replace(self.vote, state=state)
        return self.contents


class FakeTransport:
    """Forward a host's messages to the fake network."""

    def __init__(self, cluster: EnsembleCluster, host: str) -> None:
        self._cluster = cluster
        self._host = host

    def send(self, host: str, message: EnsembleHostMessage) -> None:
        self._cluster.send(self._host, host, message)

    def state_chosen(self, state: RoutingState) -> None:
        self._cluster.record_chosen(self._host, state)


class Operation:
    """Record the result of a change or read."""

    def __init__(self) -> None:
        self.is_done = False
        self.state: RoutingState | None = None

    def complete(self, state: RoutingState | None) -> None:
        self.is_done = True
        self.state = state


class EnsembleCluster:
    """Run hosts with their disks, the network between them and the clock."""

    def __init__(
        self, hosts: list[str], seeds: list[str], desired_voters: int, seed: int = 0
    ) -> None:
        self.random = Random(seed)
        self.now = 1000.0
        self.seeds = seeds
        self.desired_voters = desired_voters
        self.disks = {host: FakeDisk() for host in hosts}
        self.running: dict[str, EnsembleHost] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.chosen: dict[int, RoutingState] = {}
        self._messages: list[tuple[float, int, str, str, EnsembleHostMessage]] = []
        self._message_numbers = count()
        self._start_numbers = count(1)
        for host in hosts:
            self.start(host, is_first_start=True)

    def start(self, host: str, is_first_start: bool = False) -> None:
        disk = self.disks.setdefault(host, FakeDisk())
        disk.pending_vote = None
        instance = f"instance-{next(self._start_numbers)}"
        if disk.vote is None:
            disk.vote = initial_vote(
                host, self.seeds, f"disk:{instance}", is_first_start
            )
        contents = disk.load_contents()
        self.running[host] = EnsembleHost(
            host,
            f"zone-{host[-1]}",
            instance,
            disk.vote,
            disk,
            FakeTransport(self, host),
            self.seeds,
            self.desired_voters,
            Random(self.random.random()),
            self.now,
            contents,
        )

    def crash(self, host: str) -> None:
        self.running.pop(host, None)
        disk = self.disks[host]
        # A write that was in progress may or may not have reached the disk.
        if disk.pending_vote is not None and self.random.random() < 0.5:
            disk.store(disk.pending_vote)
        disk.pending_vote = None

    def wipe(self, host: str) -> None:
        self.crash(host)
        self.disks[host].vote = None
        self.disks[host].content = None

    def cut(self, host: str, other: str) -> None:
        self.cut_links |= {(host, other), (other, host)}

    def isolate(self, host: str) -> None:
        for other in self.disks:
            if other != host:
                self.cut(host, other)

    def heal(self) -> None:
        self.cut_links.clear()
        self.loss_rate = 0.0

    def send(self, source: str, target: str, message: EnsembleHostMessage) -> None:
        link = (source, target)
        if link in self.cut_links or self.random.random() < self.loss_rate:
            return
        arrival = self.now + self.random.uniform(0.0005, 0.004)
        if self.loss_rate and self.random.random() < 0.1:
            arrival += self.random.uniform(0.0, 0.5)
        entry = (arrival, next(self._message_numbers), source, target, message)
        heapq.heappush(self._messages, entry)

    def record_chosen(self, host: str, state: RoutingState) -> None:
        chosen = self.chosen.setdefault(state.revision, state)
        assert chosen == state, f"{host} has another state of revision {state.revision}"

    def put(self, host: str, version: int, document: bytes = b"document") -> Operation:
        """Propose a configuration; a large one is not spread before."""

        def add_content(state: RoutingState) -> RoutingState:
            contents = self.running[host].content_exchange.contents
            return contents.attach(state, RoutingContent(document))

        return self.change(host, put_configuration(version, add_content))

    def document(self, host: str, state: RoutingState) -> bytes | None:
        """Return the configuration of a state, if a host holds its content."""
        content = self.running[host].content_exchange.contents.content(state)
        return None if content is None else content.configuration

    def set_zone(self, host: str, zone: str, in_service: bool) -> Operation:
        return self.change(host, set_zone(zone, in_service))

    def change(self, host: str, change: StateChange) -> Operation:
        operation = Operation()
        if host in self.running:
            self.running[host].change(
                change, operation.complete, self.now + OPERATION_TIMEOUT_SECONDS
            )
        return operation

    def read(self, host: str) -> Operation:
        operation = Operation()
        if host in self.running:
            self.running[host].read(
                operation.complete, self.now + OPERATION_TIMEOUT_SECONDS
            )
        return operation

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self._step(min(end, self.now + STEP_SECONDS))

    def run_until_done(self, operation: Operation) -> Operation:
        for _ in range(60):
            if operation.is_done:
                break
            self.run(STEP_SECONDS)
        return operation

    def _step(self, until: float) -> None:
        while self._messages and self._messages[0][0] <= until:
            arrival, _, source, target, message = heapq.heappop(self._messages)
            self.now = max(self.now, arrival)
            if target in self.running and (source, target) not in self.cut_links:
                self.running[target].receive(source, message, self.now)
            self._complete_writes()
        self.now = until
        for host in list(self.running):
            self.running[host].tick(self.now)
        self._complete_writes()

    def _complete_writes(self) -> None:
        for host, ensemble_host in list(self.running.items()):
            disk = self.disks[host]
            while (succeeded := disk.complete_write()) is not None:
                ensemble_host.vote_written(succeeded, self.now)
