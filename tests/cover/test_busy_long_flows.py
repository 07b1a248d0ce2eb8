"""Check that requests on flows that are long open count on the servers they occupy.

The load is callers that keep flows open with pauses of seconds, and then all send at
once: a server whose requests are not counted gets new flows until its own queue is
full, rejects requests and answers the others late.
"""

from __future__ import annotations

from random import Random

import pytest

from kingcuppulley.backend_servers.target_registry import TargetRegistry
from kingcuppulley.entry_hosts.seeded_messages import (
    EntryHostInfo,
    FlowEstablished,
)
from kingcuppulley.fabric.flow_records import FLOW_RECORD_RETENTION_SECONDS
from kingcuppulley.fabric.placement import (
    PLACEMENT_RETENTION_SECONDS,
    Placement,
    PlacementOutcome,
)
from tests.cover.test_cookie_router import OWN, SERVICE_KEY, Host
from tests.cover.test_long_flows import cookie_of, host_cookies, own_flows, packets
from tests.seeded_fakes import SERVICE, flow_request, heartbeat, registry_of

OTHER_ZONE_HOST = "b1"


def host_with_server_in_other_zone() -> Host:
    """Return a host whose only server is counted by a host of another zone."""
    host = Host(OWN)
    host.coordinators.update(
        [
            EntryHostInfo(OWN, "zone-a", False),
            EntryHostInfo(OTHER_ZONE_HOST, "zone-b", False),
        ],
        0.0,
    )
    host.registry = TargetRegistry()
    host.build_router()
    host.update_registry(heartbeat("i-3", zone="zone-b"))
    return host


def test_a_request_counts_on_a_flow_that_was_idle_for_longer_than_it_is_recorded():
    host = Host(OWN)
    host.packet("flow open 0", 0.0)
    cookie = next(cookie for cookie in host_cookies(host) if own_flows(host, cookie))
    packets(host, (0.01, f"flow data {cookie}"), (0.07, f"flow ack {cookie}"))
    resumed_at = 1.0 + FLOW_RECORD_RETENTION_SECONDS + PLACEMENT_RETENTION_SECONDS
    host.router.tick(resumed_at)
    host.packet(f"flow data {cookie}", resumed_at)
    assert own_flows(host, cookie) == 1
    packets(host, (resumed_at + 0.05, f"flow ack {cookie}"))
    host.router.tick(resumed_at + 0.2)
    assert own_flows(host, cookie) == 0


def test_a_request_longer_than_flows_are_recorded_counts_until_its_answer():
    """The record of a flow must not expire between a request and its answer."""
    host = Host(OWN)
    host.packet("flow open 0", 0.0)
    cookie = next(cookie for cookie in host_cookies(host) if own_flows(host, cookie))
    begun_at = FLOW_RECORD_RETENTION_SECONDS - 0.5
    packets(host, (0.01, f"flow data {cookie}"), (0.07, f"flow ack {cookie}"))
    packets(host, (begun_at, f"flow data {cookie}"))
    packets(host, (begun_at + 0.9, f"flow ack {cookie}"))
    host.router.tick(begun_at + 1.0)
    assert own_flows(host, cookie) == 0
    assert host.metrics.counts.get("flows_adopted", 0) == 0


def test_the_coordinator_of_the_server_counts_a_flow_that_no_host_has_on_record():
    host = host_with_server_in_other_zone()
    cookie = cookie_of(host)
    host.packet(f"unknown data {cookie}", 5.0)
    ((address, report),) = host.sent.to_hosts
    assert isinstance(report, FlowEstablished)
    assert address == OTHER_ZONE_HOST
    assert (report.cookie, report.route) == (cookie, SERVICE_KEY)
    placement = Placement("zone-b", host.registry, Random(1), lambda *_: None)
    target = host.registry.by_cookie(cookie)
    placement.flow_established(report.flow, 5.0, target, report.route)
    assert placement.choice.load(cookie).own_flows == 1
    placement.flow_answered(report.flow, 0.05, 5.05)
    assert placement.choice.load(cookie).own_flows == 0


def test_a_report_of_an_earlier_build_on_an_unknown_flow_changes_nothing():
    host = Host(OWN)
    host.router.flow_established(FlowEstablished(b"unknown"), 1.0)
    assert host.placement.open_count == 0


@pytest.mark.parametrize("kind", ["ack", "end"])
def test_a_packet_without_data_records_no_unknown_flow(kind):
    """An acknowledgement shows that a server has answered, so it does not work."""
    host = Host(OWN)
    host.packet(f"unknown {kind} {cookie_of(host)}", 1.0)
    assert host.metrics.counts.get("flows_adopted", 0) == 0


def test_new_flows_avoid_a_server_that_is_busy_with_requests_on_old_flows():
    registry = registry_of({"zone-a": 2}, slots=2)
    placement = Placement("zone-a", registry, Random(1), lambda *_: None)
    busy, free = registry.of_service(SERVICE)
    for number in range(4):
        placement.flow_established(b"old-%d" % number, 0.0, busy, b"route")
    for number in range(4):
        decision = placement.open_flow(flow_request(b"new-%d" % number), 0.0)
        assert decision.target is free
    decision = placement.open_flow(flow_request(b"one more"), 0.0)
    assert decision.outcome is PlacementOutcome.QUEUED
