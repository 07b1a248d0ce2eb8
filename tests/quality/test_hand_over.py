"""Search for ways by which a packet reaches a server that may not take it.

They guard against retransmitted packets that go back to a server that is cold, drains,
has left or whose zone is out of service, because only a first choice asked for that.
"""

from __future__ import annotations

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.backend_servers.target_registry import TargetRegistry
from kingcuppulley.fabric.placement import Placement, PlacementOutcome
from tests.seeded_fakes import (
    OPENING_PACKET_TIMES_SECONDS,
    SERVICE,
    flow_request,
    heartbeat,
)

SERVERS = ("i-1", "i-2", "i-3")
ZONES = ("zone-a", "zone-a", "zone-b")
COLD_SECONDS = 2.0
# Requests in one second that a cold server can serve.
COLD_LIMIT = 5
TICK_SECONDS = 0.02
servers = st.integers(0, len(SERVERS) - 1)


class HandOvers(RuleBasedStateMachine):
    """Open flows while servers crash, come back, drain and leave."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 10.0
        self.registry = TargetRegistry()
        self.placement = Placement(
            "zone-a", self.registry, Random(1), self.handle_release
        )
        self.zones_out: frozenset[str] = frozenset()
        self.change_number = 0
        self.incarnations = dict.fromkeys(SERVERS, 1000)
        self.sequence = 0
        self.down: set[str] = set()
        self.flow_number = 0
        # Copies of opening packets that are due, of flows that no server has answered.
        self.due: dict[bytes, tuple[float, int]] = {}
        self.answered: dict[bytes, str] = {}
        self.arrivals: dict[tuple[str, int], dict[bytes, float]] = {}
        for name, zone in zip(SERVERS, ZONES, strict=True):
            self.report(name, zone, ServingState.READY)

    def report(self, name, zone, state, cold_seconds=0.0):
        self.change_number += 1
        self.sequence += 1
        server = heartbeat(
            name,
            zone=zone,
            host=f"10.0.0.{name[-1]}",
            state=state,
            incarnation=self.incarnations[name],
            sequence=self.sequence,
            cold_remaining_seconds=cold_seconds,
        )
        self.registry.update(
            "control",
            "instance",
            self.change_number,
            [server],
            self.now,
            self.change_number - 1,
        )

    @rule(server=servers)
    def crash(self, server):
        self.down.add(SERVERS[server])

    @rule(server=servers, is_cold=st.booleans())
    def start_again(self, server, is_cold):
        name = SERVERS[server]
        self.down.discard(name)
        self.incarnations[name] += 1000
        cold_seconds = COLD_SECONDS if is_cold else 0.0
        self.report(name, ZONES[server], ServingState.READY, cold_seconds)

    @rule(
        server=servers,
        state=st.sampled_from([ServingState.DRAINING, ServingState.UNRESPONSIVE]),
    )
    def stop_use(self, server, state):
        self.report(SERVERS[server], ZONES[server], state)

    @rule(zone=st.sampled_from(["zone-a", "zone-b"]))
    def change_zone(self, zone):
        self.zones_out = self.zones_out ^ {zone}
        self.placement.choice.update_zones(self.zones_out, frozenset())

    @rule(flows=st.integers(1, 12))
    def open_flows(self, flows):
        for _ in range(flows):
            self.flow_number += 1
            self.send_copy(b"%d" % self.flow_number, 0)

    @rule(flows=st.integers(1, 4))
    def repeat_packets(self, flows):
        # The network, or another entry host, delivers the newest copy once more.
        for flow, (_, copy) in list(self.due.items())[-flows:]:
            if copy > 0:
                self.hand_in(flow, copy - 1)
        for flow in list(self.answered)[-flows:]:
            self.hand_in(flow, 0)

    @rule(ticks=st.sampled_from([1, 5, 10, 30]))
    def pass_time(self, ticks):
        for _ in range(ticks):
            self.now += TICK_SECONDS
            self.placement.tick(self.now)
            for flow, (due_at, copy) in list(self.due.items()):
                if due_at <= self.now:
                    self.send_copy(flow, copy)

    def send_copy(self, flow, copy):
        """Send a copy of an opening packet, and schedule the next one."""
        self.due.pop(flow, None)
        times = OPENING_PACKET_TIMES_SECONDS
        if copy + 1 < len(times):
            self.due[flow] = (self.now + times[copy + 1] - times[copy], copy + 1)
        self.hand_in(flow, copy)

    def hand_in(self, flow, copy):
        request = flow_request(flow, self.now, copy)
        decision = self.placement.open_flow(request, self.now)
        self.handle(request, decision)

    def handle_release(self, request, decision, queued_seconds):
        self.handle(request, decision)

    def handle(self, request, decision):
        if decision.outcome is PlacementOutcome.REFUSED:
            self.due.pop(request.flow, None)
        if decision.outcome is not PlacementOutcome.PLACED:
            return
        target = decision.target
        holder = self.answered.get(request.flow)
        if holder is not None:
            assert target.name == holder
            return
        assert target is self.registry.by_cookie(target.cookie)
        assert target.state is ServingState.READY
        assert target.service == SERVICE
        assert target.zone not in self.zones_out
        if self.now < target.cold_deadline:
            self.record_cold_arrival(request.flow, target)
        if target.name not in self.down:
            self.answered[request.flow] = target.name
            self.due.pop(request.flow, None)
            self.placement.flow_established(request.flow, self.now)

    def record_cold_arrival(self, flow, target):
        arrivals = self.arrivals.setdefault((target.name, target.incarnation), {})
        arrivals.setdefault(flow, self.now)
        recent = [at for at in arrivals.values() if at > self.now - 1.0]
        assert len(recent) <= COLD_LIMIT


HandOvers.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
)
TestHandOvers = HandOvers.TestCase
