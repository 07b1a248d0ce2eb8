"""Compare policies of choice under cold starts, slow servers and sudden falls."""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable
from itertools import count

import msgspec

from kingcuppulley.backend_servers.choice import (
    ChoicePolicy,
    LeastLoadedWithDecay,
    LeastUsed,
    PowerOfTwoChoices,
    Rendezvous,
)
from kingcuppulley.backend_servers.records import TargetRecord, TargetState
from kingcuppulley.backend_servers.slot_coordinator import SlotCoordinator
from kingcuppulley.entry_hosts.messages import (
    AttemptOutcome,
    Body,
    LeaseReport,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from kingcuppulley.model import Protocol, Service, Tier

SEED = 5
TARGETS = 7
SERVICE_SECONDS = 0.1
COLD_FACTOR = 2.0
SLOW_FACTOR = 2.0
COLD_SECONDS = 5.0
FALL_AT_SECONDS = 30.0
DURATION_SECONDS = 60.0
LOAD_SHARE = 0.75
TICK_SECONDS = 0.05
WAIT_SECONDS = 1.0
GATEWAY = "entry-1"


class PolicyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one policy did: shares, a ratio, and seconds."""

    policy: str
    answered: float
    imbalance: float
    sheds: int
    p50: float
    p99: float


class ModelServer:
    """Model a server that starts cold, may be slow, and may fall back once."""

    __slots__ = ("name", "is_slow", "falls", "running", "answered")

    def __init__(self, number: int) -> None:
        self.name = f"desk-{number}"
        self.is_slow = number == 0
        self.falls = number == 1
        self.running = 0
        self.answered = 0

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold at a moment."""
        fell = self.falls and FALL_AT_SECONDS <= now < FALL_AT_SECONDS + COLD_SECONDS
        return now < COLD_SECONDS or fell

    def seconds(self, now: float, generator: random.Random) -> float:
        """Return how long the server takes for a request."""
        seconds = SERVICE_SECONDS * generator.uniform(0.7, 1.3)
        if self.is_slow:
            seconds *= SLOW_FACTOR
        return seconds * COLD_FACTOR if self.is_cold(now) else seconds


class Bench:
    """Drive the real coordinator with one policy against model servers."""

    def __init__(self, policy: ChoicePolicy) -> None:
        self._generator = random.Random(SEED)
        self._servers = {f"desk-{n}": ModelServer(n) for n in range(TARGETS)}
        self._now = 0.0
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._asked_at: dict[str, float] = {}
        self._latencies: list[float] = []
        self._refused = 0
        self._sheds = 0
        service = _service()
        self._coordinator = SlotCoordinator(
            service, "zone-a", [GATEWAY], self, policy, 0.0
        )
        self._coordinator.update_targets([_record(s.name) for s in self._all()], 0.0)
        report = LeaseReport(service.identity, "zone-a", [])
        self._coordinator.handle_lease_report(GATEWAY, report, 0.0)

    def send(self, host: str, message: Body) -> None:
        """Take what the coordinator sends to the gateway."""
        match message:
            case SlotGrant():
                self._begin(message)
            case SlotRefusal():
                self._refused += 1

    def run(self, name: str) -> PolicyResult:
        """Run the whole load and return what happened."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._tick)
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()
        answers = [server.answered for server in self._all()]
        quantiles = statistics.quantiles(self._latencies, n=100)
        return PolicyResult(
            policy=name,
            answered=len(self._latencies) / len(self._asked_at),
            imbalance=max(answers) / statistics.mean(answers),
            sheds=self._sheds,
            p50=quantiles[49],
            p99=quantiles[98],
        )

    def _all(self) -> list[ModelServer]:
        return list(self._servers.values())

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), act))

    def _arrive(self) -> None:
        if self._now >= DURATION_SECONDS:
            return
        lease = f"{GATEWAY}.{len(self._asked_at)}"
        self._asked_at[lease] = self._now
        request = SlotRequest(lease, "desk/desk", WAIT_SECONDS, None)
        self._coordinator.request(GATEWAY, request, self._now)
        # One slow server bears half, so the others set what the service bears.
        rate = LOAD_SHARE * 2 * (TARGETS - 0.5) / SERVICE_SECONDS
        self._at(self._now + self._generator.expovariate(rate), self._arrive)

    def _tick(self) -> None:
        self._coordinator.tick(self._now)
        if self._now < DURATION_SECONDS + WAIT_SECONDS:
            self._at(self._now + TICK_SECONDS, self._tick)

    def _begin(self, grant: SlotGrant) -> None:
        server = self._servers[grant.target]
        began_at = self._now
        bears = 1 if server.is_cold(self._now) else 2
        if server.running >= bears:
            self._sheds += 1
            self._at(self._now, lambda: self._end(grant, AttemptOutcome.SHED, began_at))
            return
        server.running += 1
        seconds = server.seconds(self._now, self._generator)
        self._at(
            self._now + seconds,
            lambda: self._end(grant, AttemptOutcome.ANSWERED, began_at),
        )

    def _end(self, grant: SlotGrant, outcome: AttemptOutcome, began_at: float) -> None:
        if outcome is AttemptOutcome.ANSWERED:
            server = self._servers[grant.target]
            server.running -= 1
            server.answered += 1
            self._latencies.append(self._now - self._asked_at[grant.lease])
        release = SlotRelease(grant.lease, outcome, self._now - began_at)
        self._coordinator.release(GATEWAY, release, self._now)


def compare_policies() -> list[PolicyResult]:
    """Return what each policy did with the same load."""
    policies: list[tuple[str, ChoicePolicy]] = [
        ("least used, then longest ago", LeastUsed()),
        ("power of two choices", PowerOfTwoChoices(random.Random(SEED))),
        ("least loaded with decay", LeastLoadedWithDecay()),
        ("rendezvous", Rendezvous()),
    ]
    return [Bench(policy).run(name) for name, policy in policies]


def _service() -> Service:
    return Service(
        account="desk",
        name="desk",
        address="192.0.2.1",
        port=1,
        protocol=Protocol.TCP,
        tier=Tier.REQUESTS,
        zones=("zone-a",),
        slots=2,
        cold_slots=1,
        cold_seconds=int(COLD_SECONDS),
        connections=2000,
        announcement_token_hash="",
    )


def _record(name: str) -> TargetRecord:
    return TargetRecord(
        name=name,
        service="desk/desk",
        zone="zone-a",
        host="127.0.0.1",
        request_port=1,
        packet_port=1,
        state=TargetState.WARM,
        incarnation=1,
    )


def main() -> None:
    """Write the comparison as a table in Markdown."""
    print("| policy | answered | imbalance | sheds | p50, s | p99, s |")
    print("|---|---|---|---|---|---|")
    for result in compare_policies():
        print(
            f"| {result.policy} | {result.answered:.4f} | {result.imbalance:.3f} | "
            f"{result.sheds} | {result.p50:.3f} | {result.p99:.3f} |"
        )


if __name__ == "__main__":
    main()
