"""Compare choice policies in a simulation with cold starts and a slow server.

One server becomes cold a second time during the run, without notice to the slot
coordinator. Run with `python -m kingcuppulley.experiments.choice`.
"""

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
TARGET_COUNT = 7
SERVICE_SECONDS = 0.1
COLD_SERVICE_TIME_FACTOR = 2.0
SLOW_SERVICE_TIME_FACTOR = 2.0
COLD_START_SECONDS = 5.0
SECOND_COLD_START_AT_SECONDS = 30.0
DURATION_SECONDS = 60.0
LOAD_SHARE_OF_CAPACITY = 0.75
TICK_INTERVAL_SECONDS = 0.05
SLOT_WAIT_SECONDS = 1.0
GATEWAY = "entry-1"


class PolicyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the result of one policy.

    `answered` is the share of all requests that were answered, `imbalance` the highest
    number of answers of one server divided by the mean, and `sheds` the number of
    attempts that servers shed. `p50` and `p99` are latencies of answers in seconds.
    """

    policy: str
    answered: float
    imbalance: float
    sheds: int
    p50: float
    p99: float


class SimulatedServer:
    """Simulate a server that starts cold, may be slow, and may become cold again."""

    __slots__ = (
        "name",
        "is_slow",
        "has_second_cold_start",
        "running_count",
        "answered_count",
    )

    def __init__(self, number: int) -> None:
        self.name = f"desk-{number}"
        self.is_slow = number == 0
        self.has_second_cold_start = number == 1
        self.running_count = 0
        self.answered_count = 0

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold at the time `now`."""
        is_cold_again = (
            self.has_second_cold_start
            and SECOND_COLD_START_AT_SECONDS
            <= now
            < SECOND_COLD_START_AT_SECONDS + COLD_START_SECONDS
        )
        return now < COLD_START_SECONDS or is_cold_again

    def draw_service_seconds(self, now: float, generator: random.Random) -> float:
        """Return a random service time for a request that starts at the time `now`."""
        seconds = SERVICE_SECONDS * generator.uniform(0.7, 1.3)
        if self.is_slow:
            seconds *= SLOW_SERVICE_TIME_FACTOR
        return seconds * COLD_SERVICE_TIME_FACTOR if self.is_cold(now) else seconds


class PolicySimulation:
    """Run the real slot coordinator with one policy against simulated servers.

    The clock is virtual: events run in order of their time.
    """

    def __init__(self, policy: ChoicePolicy) -> None:
        self._generator = random.Random(SEED)
        self._servers = {f"desk-{n}": SimulatedServer(n) for n in range(TARGET_COUNT)}
        self._now = 0.0
        self._event_numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._requested_at: dict[str, float] = {}
        self._latencies_seconds: list[float] = []
        self._refused_count = 0
        self._shed_count = 0
        service = _make_service()
        self._coordinator = SlotCoordinator(
            service, "zone-a", [GATEWAY], self, policy, 0.0
        )
        self._coordinator.update_targets(
            [_make_record(s.name) for s in self._all_servers()], 0.0
        )
        report = LeaseReport(service.identity, "zone-a", [])
        self._coordinator.handle_lease_report(GATEWAY, report, 0.0)

    def send(self, host: str, message: Body) -> None:
        """Handle a message that the coordinator sends to the gateway."""
        match message:
            case SlotGrant():
                self._start_request(message)
            case SlotRefusal():
                self._refused_count += 1

    def run(self, policy_name: str) -> PolicyResult:
        """Send requests for DURATION_SECONDS, and return the result when all end."""
        self._schedule(0.0, self._handle_arrival)
        self._schedule(0.0, self._handle_tick)
        while self._events:
            self._now, _, callback = heapq.heappop(self._events)
            callback()
        answer_counts = [server.answered_count for server in self._all_servers()]
        quantiles = statistics.quantiles(self._latencies_seconds, n=100)
        return PolicyResult(
            policy=policy_name,
            answered=len(self._latencies_seconds) / len(self._requested_at),
            imbalance=max(answer_counts) / statistics.mean(answer_counts),
            sheds=self._shed_count,
            p50=quantiles[49],
            p99=quantiles[98],
        )

    def _all_servers(self) -> list[SimulatedServer]:
        return list(self._servers.values())

    def _schedule(self, due_at: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (due_at, next(self._event_numbers), callback))

    def _handle_arrival(self) -> None:
        if self._now >= DURATION_SECONDS:
            return
        lease = f"{GATEWAY}.{len(self._requested_at)}"
        self._requested_at[lease] = self._now
        request = SlotRequest(lease, "desk/desk", SLOT_WAIT_SECONDS, None)
        self._coordinator.request(GATEWAY, request, self._now)
        # The slow server has half the capacity of another one, so the service has
        # the capacity of TARGET_COUNT - 0.5 servers with two slots each.
        requests_per_second = (
            LOAD_SHARE_OF_CAPACITY * 2 * (TARGET_COUNT - 0.5) / SERVICE_SECONDS
        )
        self._schedule(
            self._now + self._generator.expovariate(requests_per_second),
            self._handle_arrival,
        )

    def _handle_tick(self) -> None:
        self._coordinator.tick(self._now)
        if self._now < DURATION_SECONDS + SLOT_WAIT_SECONDS:
            self._schedule(self._now + TICK_INTERVAL_SECONDS, self._handle_tick)

    def _start_request(self, grant: SlotGrant) -> None:
        server = self._servers[grant.target]
        started_at = self._now
        slot_limit = 1 if server.is_cold(self._now) else 2
        if server.running_count >= slot_limit:
            self._shed_count += 1
            self._schedule(
                self._now,
                lambda: self._finish_request(grant, AttemptOutcome.SHED, started_at),
            )
            return
        server.running_count += 1
        seconds = server.draw_service_seconds(self._now, self._generator)
        self._schedule(
            self._now + seconds,
            lambda: self._finish_request(grant, AttemptOutcome.ANSWERED, started_at),
        )

    def _finish_request(
        self, grant: SlotGrant, outcome: AttemptOutcome, started_at: float
    ) -> None:
        if outcome is AttemptOutcome.ANSWERED:
            server = self._servers[grant.target]
            server.running_count -= 1
            server.answered_count += 1
            self._latencies_seconds.append(self._now - self._requested_at[grant.lease])
        release = SlotRelease(grant.lease, outcome, self._now - started_at)
        self._coordinator.release(GATEWAY, release, self._now)


def compare_policies() -> list[PolicyResult]:
    """Return the result of each policy under the same load."""
    policies: list[tuple[str, ChoicePolicy]] = [
        ("least used, then longest ago", LeastUsed()),
        ("power of two choices", PowerOfTwoChoices(random.Random(SEED))),
        ("least loaded with decay", LeastLoadedWithDecay()),
        ("rendezvous", Rendezvous()),
    ]
    return [PolicySimulation(policy).run(name) for name, policy in policies]


def _make_service() -> Service:
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
        cold_seconds=int(COLD_START_SECONDS),
        connections=2000,
        announcement_token_hash="",
    )


def _make_record(name: str) -> TargetRecord:
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
    """Print the comparison as a Markdown table."""
    print("| policy | answered | imbalance | sheds | p50, s | p99, s |")
    print("|---|---|---|---|---|---|")
    for result in compare_policies():
        print(
            f"| {result.policy} | {result.answered:.4f} | {result.imbalance:.3f} | "
            f"{result.sheds} | {result.p50:.3f} | {result.p99:.3f} |"
        )


if __name__ == "__main__":
    main()
