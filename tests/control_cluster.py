"""Run the replicas of several control hosts on a fake network with fake disks."""

from __future__ import annotations

from typing import Any

from kingcuppulley.control.acceptor import Acceptor, ReplicaState
from kingcuppulley.control.registers import Change, ChangeKind
from kingcuppulley.control.replica import Replica
from tests.fakes import FakeNetwork, MemoryJournal, seeded

KEY = "zone/west-a"


class Cluster:
    """Hold replicas by name, their disks, and the answers and failures of changes."""

    def __init__(self, count: int = 3) -> None:
        self.network = FakeNetwork()
        self.names = [f"control-{number + 1}" for number in range(count)]
        self.journals: dict[str, MemoryJournal] = {}
        self.replicas: dict[str, Replica] = {}
        self.answers: list[tuple[str, Any]] = []
        self.failures: list[tuple[str, Any]] = []
        self._change_count = 0
        self._start_count = 0
        for name in self.names:
            journal = MemoryJournal()
            Acceptor.initialise(journal)
            self.journals[name] = journal
            self.start(name)

    def start(self, name: str) -> Replica:
        self._start_count += 1
        replica = Replica(
            name,
            self.names,
            Acceptor(self.journals[name]),
            self.network.sender(name),
            seeded(self._start_count),
        )
        self.replicas[name] = replica
        self.network.receivers[name] = replica.receive
        return replica

    def crash(self, name: str) -> None:
        self.replicas.pop(name, None)
        self.network.receivers.pop(name, None)
        self.network.drop_messages_from(name)

    def lose_disk(self, name: str) -> None:
        self.crash(name)
        self.journals[name] = MemoryJournal()

    def tick(self, seconds: float = 0.1) -> None:
        self.network.now += seconds
        for replica in list(self.replicas.values()):
            replica.tick(self.network.now)

    def run(self, seconds: float = 8.0) -> None:
        for _ in range(int(seconds / 0.25)):
            self.tick(0.25)
            self.network.deliver_all()

    def voting(self) -> list[str]:
        return [
            name
            for name, replica in self.replicas.items()
            if replica.state is ReplicaState.VOTING
        ]

    def submit(
        self,
        name: str,
        expected_version: int,
        identifier: str | None = None,
        key: str = KEY,
        document: bytes = b"document",
    ) -> str:
        self._change_count += 1
        identifier = identifier or f"change-{self._change_count}"
        change = Change(
            identifier=identifier,
            key=key,
            kind=ChangeKind.PUT,
            expected_version=expected_version,
            document=document,
            operator=f"operator-at-{name}",
            asked_at=self.network.now,
        )
        self.replicas[name].change(
            change,
            lambda answer: self.answers.append((identifier, answer)),
            lambda failure: self.failures.append((identifier, failure)),
            self.network.now,
        )
        return identifier

    def submit_and_wait(self, name: str, expected_version: int, **options: Any) -> Any:
        identifier = self.submit(name, expected_version, **options)
        self.run(1.0)
        found = [answer for answered, answer in self.answers if answered == identifier]
        return found[-1] if found else None

    def version(self, name: str, key: str = KEY) -> int:
        register = self.replicas[name].publisher.get(key)
        return register.version if register is not None else 0
