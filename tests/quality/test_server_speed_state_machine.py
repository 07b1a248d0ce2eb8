"""Search with Hypothesis for durations that break the bounds of the estimates."""

from __future__ import annotations

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from kingcuppulley.fabric import server_timing
from kingcuppulley.fabric.server_speed import MAXIMUM_SLOWNESS, MINIMUM_SLOWNESS
from kingcuppulley.fabric.server_timing import ServerSpeeds, ServerTiming
from tests.seeded_fakes import SERVICE, registry_of

servers = st.integers(0, 2)
counts = st.integers(0, 5)


class TimedServers(RuleBasedStateMachine):
    """Time requests on three servers; their durations and times may be absurd."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.targets = registry_of({"zone-a": 3}).of_service(SERVICE)
        self.timings = [ServerTiming() for _ in self.targets]
        self.slow: set[int] = set()
        self.speeds = ServerSpeeds(lambda _: None, self.handle_slow)
        self.requests: list = []

    def handle_slow(self, target, speed) -> None:
        assert speed.is_slow != (target.cookie in self.slow)
        self.slow ^= {target.cookie}

    @rule(server=servers, route=st.binary(max_size=2), own=counts, reported=counts)
    def start(self, server, route, own, reported):
        target, timing = self.targets[server], self.timings[server]
        request = self.speeds.start(target, timing, route, own, reported, self.now)
        if request is not None:
            self.requests.append((server, request))

    @rule(server=servers, repeats=st.integers(1, 30), seconds=st.floats(0.001, 50.0))
    def answer_alike(self, server, repeats, seconds):
        for _ in range(repeats):
            target, timing = self.targets[server], self.timings[server]
            request = self.speeds.start(target, timing, b"", 0, 0, self.now)
            if request is not None:
                self.speeds.finish(request, seconds, self.now)

    @rule(data=st.data(), seconds=st.floats())
    def finish(self, data, seconds):
        if self.requests:
            index = data.draw(st.integers(0, len(self.requests) - 1))
            self.speeds.finish(self.requests.pop(index)[1], seconds, self.now)

    @rule(data=st.data())
    def establish_or_expire(self, data):
        if self.requests:
            server, request = data.draw(st.sampled_from(self.requests))
            if data.draw(st.booleans()):
                self.speeds.establish(request)
            else:
                self.speeds.expire(self.timings[server], request, self.now)

    @rule(server=servers, flows=counts, is_late=st.booleans())
    def free_slots(self, server, flows, is_late):
        target, timing = self.targets[server], self.timings[server]
        self.speeds.start_waiting(target, timing, flows, self.now, is_late=is_late)

    @rule(seconds=st.sampled_from([-0.1, 0.02, 0.3, 2.0, 1e6]))
    def pass_time(self, seconds):
        self.now += seconds
        self.speeds.tick(self.now)

    @invariant()
    def estimates_are_bounded(self):
        for timing in self.timings:
            estimate = math.exp(timing.speed._log_estimate)
            for slowness in (estimate, timing.speed.slowness):
                assert MINIMUM_SLOWNESS - 1e-9 <= slowness <= MAXIMUM_SLOWNESS + 1e-9
        for route in self.speeds._routes.values():
            assert math.isfinite(route.log_seconds)

    @invariant()
    def memory_is_bounded(self):
        assert len(self.speeds._routes) <= server_timing.MAXIMUM_ROUTES
        assert len(self.speeds._watched) <= server_timing.MAXIMUM_WATCHED_REQUESTS
        assert len(self.speeds._estimated) <= len(self.targets)
        assert self.speeds.slow_count == len(self.slow)
        for timing in self.timings:
            assert len(timing.waiting) <= server_timing.MAXIMUM_WAITING_REQUESTS
            assert len(timing.expired) <= server_timing.MAXIMUM_EXPIRED_REQUESTS


TimedServers.TestCase.settings = settings(
    max_examples=40, stateful_step_count=40, deadline=None
)
TestTimedServers = TimedServers.TestCase
