"""Check what callers with long flows cost the servers that they are idle on."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

from kingcuppulley.entry_hosts.seeded_messages import (
    FlowAcknowledged,
    FlowEnded,
    FlowEstablished,
)
from kingcuppulley.fabric.flow_records import QUIET_AFTER_ANSWER_SECONDS
from kingcuppulley.fabric.placement import Placement, PlacementOutcome
from tests.cover.test_cookie_router import OWN, Host, host_with_other_coordinator
from tests.seeded_fakes import (
    OPENING_PACKET_TIMES_SECONDS,
    OPENING_TIMEOUT_SECONDS,
    SERVICE,
    LoadedServer,
    flow_request,
    registry_of,
)

STEP_SECONDS = 0.01


class ReturningCallers:
    """Let callers with long flows open them anew, and send one request on each."""

    def __init__(self, callers: int, servers: int, work_seconds: float) -> None:
        self.now = 0.0
        self.answered: dict[int, float] = {}
        self.refused = 0
        self._random = Random(3)
        self._work_seconds = work_seconds
        registry = registry_of({"zone-a": servers}, slots=4)
        self._placement = Placement("zone-a", registry, Random(4), self._released)
        self._servers = {
            target.name: LoadedServer(4) for target in registry.of_service(SERVICE)
        }
        self._events: list[tuple[float, int, object]] = []
        self._numbers = count()
        self._caller_of: dict[bytes, int] = {}
        for caller in range(callers):
            self._schedule(0.3 * self._random.random(), self._open, caller)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            while self._events and self._events[0][0] <= self.now:
                _, _, call = heapq.heappop(self._events)
                call()  # type: ignore[operator]
            self._placement.tick(self.now)

    def share_answered_within(self, seconds: float, callers: int) -> float:
        return sum(at <= seconds for at in self.answered.values()) / callers

    def _schedule(self, at: float, call, *arguments) -> None:
        entry = (at, next(self._numbers), lambda: call(*arguments))
        heapq.heappush(self._events, entry)

    def _open(self, caller: int) -> None:
        flow = b"flow-%d" % next(self._numbers)
        self._caller_of[flow] = caller
        for retransmission, after in enumerate(OPENING_PACKET_TIMES_SECONDS):
            at = self.now + after
            self._schedule(at, self._send_opening, flow, retransmission)
        self._schedule(self.now + OPENING_TIMEOUT_SECONDS, self._give_up, flow)

    def _send_opening(self, flow: bytes, retransmission: int) -> None:
        if flow not in self._caller_of:
            return
        request = flow_request(flow, self.now, retransmission)
        self._apply(request, self._placement.open_flow(request, self.now))

    def _released(self, request, decision, _) -> None:
        self._apply(request, decision)

    def _apply(self, request, decision) -> None:
        if decision.outcome is PlacementOutcome.REFUSED:
            self.refused += 1
            self._come_back(request.flow)
        elif decision.target is not None and request.flow in self._caller_of:
            caller = self._caller_of.pop(request.flow)
            server = self._servers[decision.target.name]
            work_seconds = self._work_seconds * self._random.uniform(0.5, 1.5)
            end = server.serve(self.now, work_seconds)
            self._placement.flow_established(request.flow, self.now)
            self._schedule(end, self._receive_answer, request.flow, caller, self.now)

    def _receive_answer(self, flow: bytes, caller: int, sent_at: float) -> None:
        """The caller keeps its flow open and pauses."""
        self.answered[caller] = self.now
        at = self.now + QUIET_AFTER_ANSWER_SECONDS
        seconds = self.now - sent_at
        self._schedule(at, self._report_answer, flow, seconds)

    def _report_answer(self, flow: bytes, seconds: float) -> None:
        self._placement.flow_answered(flow, seconds, self.now)

    def _give_up(self, flow: bytes) -> None:
        if flow in self._caller_of:
            self._come_back(flow)

    def _come_back(self, flow: bytes) -> None:
        caller = self._caller_of.pop(flow, None)
        if caller is not None:
            self._schedule(self.now + 0.1, self._open, caller)


def test_pattern_callers_of_long_flows_return_at_once_after_an_outage():
    """Flows that only pause must not keep others from a server.

    200 callers and two servers of four slots: the work of all first requests is done in
    1.5 s.  Counted until their end, the first flows would fill both servers.
    """
    callers = 200
    run = ReturningCallers(callers, servers=2, work_seconds=0.06)
    run.run(4.0)
    assert run.share_answered_within(2.2, callers) > 0.9
    assert len(run.answered) == callers
    assert run.refused < 3 * callers


def packets(host: Host, *steps: tuple[float, str]) -> None:
    for at, text in steps:
        host.router.tick(at)
        host.packet(text, at)


def host_with_open_flow() -> Host:
    host = host_with_other_coordinator()
    host.packet("flow open 0", 0.0)
    host.router.flow_acknowledged(FlowAcknowledged(b"flow"))
    return host


def answer_reports(host: Host) -> list[float]:
    return [
        message.answer_seconds
        for _, message in host.sent.to_hosts
        if isinstance(message, FlowEstablished) and message.answer_seconds is not None
    ]


def cookie_of(host: Host) -> int:
    return host.registry.of_service(SERVICE)[0].cookie


def test_a_flow_that_pauses_after_its_answer_is_reported_once():
    host = host_with_open_flow()
    cookie = cookie_of(host)
    packets(
        host,
        (0.01, f"flow ack {cookie}"),
        (0.01, f"flow data {cookie}"),
        (0.07, f"flow ack {cookie}"),
    )
    host.router.tick(0.07 + QUIET_AFTER_ANSWER_SECONDS / 2)
    assert not answer_reports(host)
    host.router.tick(0.07 + QUIET_AFTER_ANSWER_SECONDS)
    host.router.tick(0.5)
    (seconds,) = answer_reports(host)
    assert abs(seconds - 0.06) < 1e-9


def test_a_flow_that_ends_after_its_answer_sends_no_report_of_the_answer():
    host = host_with_open_flow()
    cookie = cookie_of(host)
    packets(
        host,
        (0.01, f"flow data {cookie}"),
        (0.07, f"flow ack {cookie}"),
        (0.08, f"flow end {cookie}"),
    )
    host.router.tick(0.5)
    assert not answer_reports(host)
    ended = [m for _, m in host.sent.to_hosts if isinstance(m, FlowEnded)]
    assert len(ended) == 1


def test_an_answer_in_many_packets_is_reported_after_the_last():
    host = host_with_open_flow()
    cookie = cookie_of(host)
    packets(host, (0.01, f"flow data {cookie}"))
    packets(host, *((0.02 * step, f"flow ack {cookie}") for step in range(2, 12)))
    assert not answer_reports(host)
    host.router.tick(0.5)
    assert len(answer_reports(host)) == 1


def test_the_next_request_on_a_flow_counts_again():
    host = Host(OWN)
    host.packet("flow open 0", 0.0)
    cookie = next(cookie for cookie in host_cookies(host) if own_flows(host, cookie))
    packets(host, (0.01, f"flow data {cookie}"), (0.07, f"flow ack {cookie}"))
    host.router.tick(0.2)
    assert own_flows(host, cookie) == 0
    host.packet(f"flow data {cookie}", 0.3)
    assert own_flows(host, cookie) == 1
    packets(host, (0.36, f"flow ack {cookie}"))
    host.router.tick(0.5)
    assert own_flows(host, cookie) == 0


def host_cookies(host: Host) -> list[int]:
    return [target.cookie for target in host.registry.of_service(SERVICE)]


def own_flows(host: Host, cookie: int) -> int:
    return host.placement.choice.load(cookie).own_flows
